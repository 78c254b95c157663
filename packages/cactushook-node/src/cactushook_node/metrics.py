"""Prometheus metrics of a node."""

import prometheus_client as prom


class Metrics:
    """All metrics of one node, in a separate registry."""

    def __init__(self) -> None:
        self.registry = prom.CollectorRegistry()
        self.refusals = self._counter(
            "cactushook_refusals", "Requests refused, by reason.", "kind", "place"
        )
        self.retries = self._counter(
            "cactushook_retries", "Requests sent again, by reason.", "kind"
        )
        self.crossings = self._counter(
            "cactushook_crossings", "Requests sent to another failure domain."
        )
        self.crossing_bytes = self._counter(
            "cactushook_crossing_bytes",
            "Bytes of bodies between failure domains.",
            "direction",
        )
        self.shed = self._counter(
            "cactushook_shed", "Requests shed because of their urgency.", "priority"
        )
        self.overload_level = prom.Gauge(
            "cactushook_overload_level",
            "Level below which requests of a service are shed.",
            ("service",),
            registry=self.registry,
        )
        self.requests = self._counter(
            "cactushook_requests",
            "Requests, by class and outcome.",
            "route_class",
            "outcome",
        )
        self.versions_refused = self._counter(
            "cactushook_versions_refused", "Versions not applied, by reason.", "kind"
        )
        self.versions_applied = self._counter(
            "cactushook_versions_applied", "Versions applied."
        )
        self.frames_refused = self._counter(
            "cactushook_frames_refused", "Frames that closed a connection.", "kind"
        )
        self.answers_cut = self._counter(
            "cactushook_answers_cut", "Answers truncated, by reason.", "reason"
        )
        self.handler_failures = self._counter(
            "cactushook_handler_failures", "Unexpected errors, by place.", "place"
        )
        self.links_ended = self._counter(
            "cactushook_links_ended", "Links aborted, by reason.", "reason"
        )
        self.late_answers = self._counter(
            "cactushook_late_answers", "Answers that arrived after their request ended."
        )
        self.source_calls = self._counter(
            "cactushook_source_calls", "Calls to the platform, by outcome.", "outcome"
        )
        self.control_bytes = self._counter(
            "cactushook_control_bytes", "Control bytes between nodes.", "direction"
        )
        self.quota_requests = self._counter(
            "cactushook_quota_requests", "Requests with a quota, by verdict.", "verdict"
        )
        self.quota_tokens = self._counter(
            "cactushook_quota_tokens", "Tokens granted to entries as a home."
        )
        self.quota_answers_ignored = self._counter(
            "cactushook_quota_answers_ignored", "Late or repeated answers of homes."
        )
        self.quota_homes = self._gauge(
            "cactushook_quota_homes", "Workspaces whose home this node is."
        )
        self.crashes_learned = self._counter(
            "cactushook_crashes_learned",
            "Crashes of other hosts' workers that were counted, by origin.",
            "origin",
        )
        self.crash_suspects_cleared = self._counter(
            "cactushook_crash_suspects_cleared",
            "Requests not held to crash workers, since they were answered.",
            "reason",
        )
        self.pauses = self._counter(
            "cactushook_pauses", "Detected pauses of the process."
        )
        self.version = self._gauge("cactushook_version", "Version in force.")
        self.running = self._gauge("cactushook_running", "Requests at the worker.")
        self.capacity = self._gauge("cactushook_capacity", "Slots usable at present.")
        self.reset_limit = self._gauge(
            "cactushook_reset_limit",
            "Requests beyond which the worker resets connections; 0 if none are known.",
        )
        self.blocked_routes = self._gauge(
            "cactushook_blocked_routes",
            "Routes refused because the requests that they make are not served.",
        )
        self.useful_slots = self._gauge(
            "cactushook_useful_slots", "Slots that add to the worker's throughput."
        )
        self.silent_peers = self._gauge(
            "cactushook_silent_peers", "Nodes that do not respond at present."
        )
        self.lag = self._gauge(
            "cactushook_event_loop_lag_seconds", "How late the node runs its timers."
        )
        self.confirmation_age = self._gauge(
            "cactushook_confirmation_age_seconds",
            "Time since the configuration was known to be current.",
        )
        self.added_seconds = prom.Histogram(
            "cactushook_entry_seconds",
            "Time from a request's arrival to its answer's start.",
            buckets=(0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1, 5),
            registry=self.registry,
        )

    def expose(self) -> bytes:
        """Returns the metrics in the text format."""
        return prom.generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> prom.Counter:
        return prom.Counter(name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> prom.Gauge:
        return prom.Gauge(name, text, registry=self.registry)
