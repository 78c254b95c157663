"""Stand-ins for external systems, used by the demo, the tests and the benchmarks."""
