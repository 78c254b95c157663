"""Benchmarks; their results are in ``docs/measurements``."""
