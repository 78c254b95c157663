"""Settings of one node, read from JSON with comments."""

import collections
import pathlib
import re
import typing as t

import msgspec
from cactushook import ConfigError
from cactushook import ErrorKind
from cactushook import jsonc
from cactushook.homes import LINGER_MS
from cactushook.nodes import Config
from cactushook.nodes import Name
from cactushook.nodes import TimeoutMs

Address = t.Annotated[str, msgspec.Meta(max_length=21)]
Bytes = t.Annotated[int, msgspec.Meta(ge=1_024, le=1_000_000_000)]
Count = t.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
LISTEN_FIELDS = ("node_listen", "public_listen", "internal_listen", "admin_listen")
GraceMs = t.Annotated[float, msgspec.Meta(ge=1_000, le=600_000)]
FRAME_OVERHEAD_BYTES = 65_536
# Left between the end of a planned stop and the platform's kill.
KILL_MARGIN_MS = 400
_ADDRESS_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
_MAX_OCTET = 255
_MAX_PORT = 65_535


class WorkerSettings(Config, kw_only=True):
    """The backend server beside this node.

    Attributes:
        address: the address that the backend server listens on.
        instance_header: response header whose change indicates a restart.
        connect_timeout_ms: longest wait for a connection.
    """

    address: Address
    instance_header: str = "worker-instance"
    connect_timeout_ms: TimeoutMs = 500


class HeaderSettings(Config, kw_only=True):
    """Header names; a header whose name is empty is neither read nor set.

    Attributes:
        request_id: id of the request; callers send it, backend servers echo it.
        timeout_ms: milliseconds that the sender waits.
        hops: number of services that the request has passed through.
        attempts: number of attempts that are left.
        caller_service: service of the host whose entry forwards the request; every
            entry sets it anew.
        target_instance: instance of the backend server that may run the request; a
            restart creates a new instance.
        signature: proof that an answer is the backend server's; a successful answer
            without it is rejected.
        not_executed: states that the backend server did not run the request.
        cold_remaining_ms: how much longer the backend server stays cold.
        workspace: name of the caller's workspace, for the backend server; every entry
            sets or removes it.
    """

    request_id: str = ""
    timeout_ms: str = "cactushook-timeout-ms"
    hops: str = "cactushook-hops"
    attempts: str = "cactushook-attempts-left"
    caller_service: str = ""
    target_instance: str = ""
    signature: str = ""
    not_executed: str = ""
    cold_remaining_ms: str = ""
    workspace: str = ""


class RetrySettings(Config, kw_only=True):
    """Limits on the retries of an entry.

    Attributes:
        redirects: number of further gates that may be tried after a gate refused a
            request without sending it to its backend server.
        ratio: retries per request of the window, over the whole fleet; 0 selects the
            budget of the team file.
        slack: additional retries of the whole fleet in any window.
        window_ms: length of the window.
    """

    redirects: t.Annotated[int, msgspec.Meta(ge=0, le=10)] = 0
    ratio: t.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    slack: t.Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 10.0
    window_ms: TimeoutMs = 10_000


class QuotaSettings(Config, kw_only=True):
    """The bound on the requests of a workspace over the whole fleet.

    In any window it runs at most (rate x window + burst) x (1 + overage) + slack.

    Attributes:
        window_ms: length of the window.
        overage: share of the quota by which a workspace may exceed it.
        slack: number of requests in a window beyond that.
    """

    window_ms: t.Annotated[float, msgspec.Meta(ge=1_000, le=600_000)] = 5_000.0
    overage: t.Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.25
    slack: t.Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 20.0


class RoutingSettings(Config, kw_only=True):
    """The choice between failure domains.

    Attributes:
        cross_domain_ms_per_kib: by how much the expected wait in another failure domain
            must be shorter, per KiB of request and answer, for a request to go there;
            0 if bytes between domains cost nothing.
    """

    cross_domain_ms_per_kib: t.Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 40.0


class AdapterSettings(Config, kw_only=True):
    """A module that connects the node to another kind of platform.

    Attributes:
        module: name of a Python module that has ``create``.
        drain_ms: how long the work of a leaving host may go on. A host that vanished
            from the list during an outage of the platform is treated as live for 0.8
            times as long after the outage.
        heartbeat_ms: how often a host's record is renewed.
        cold_ms: how long a backend server that may have restarted is treated as cold.
        cold_overage: times its usual cold rate that a cold backend server may get.
        cold_slack_per_s: requests per second that it may get in addition.
    """

    module: t.Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_.]*$")]
    drain_ms: TimeoutMs = 2_000
    heartbeat_ms: TimeoutMs = 1_500
    cold_ms: TimeoutMs = 3_000
    cold_overage: t.Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    cold_slack_per_s: t.Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.0


class PlatformSettings(Config, kw_only=True):
    """The platform's configuration service.

    Attributes:
        address: the address that the service listens on.
        watch_wait_ms: how long a watch waits for a change.
        host_list_period_ms: time between readings of the host list.
        fleet_size_hint: maximum number of hosts in the fleet; a node that knows fewer
            hosts limits its calls as if the fleet had this many.
        domain_count_hint: maximum number of failure domains in the fleet.
    """

    address: Address
    watch_wait_ms: TimeoutMs = 20_000
    host_list_period_ms: TimeoutMs = 5_000
    fleet_size_hint: Count = 50
    domain_count_hint: Count = 3


class EdgeLimits(Config, kw_only=True):
    """Limits on what callers and peers may send.

    Attributes:
        header_bytes: length of the request line and the headers together.
        header_count: number of headers of one request.
        target_bytes: length of the path and the query.
        body_bytes: length of the body of one request.
        frame_bytes: length of one message from another node.
        connections: number of open connections of each listener.
        hops: number of services that a request may pass through.
        slow_caller_timeout_ms: longest wait for a whole request, or for the caller
            to receive one part of its answer.
        idle_timeout_ms: how long a caller's connection may stay idle.
    """

    header_bytes: Bytes = 32_768
    header_count: Count = 100
    target_bytes: Bytes = 8_192
    body_bytes: Bytes = 1_048_576
    frame_bytes: Bytes = 8_388_608
    connections: Count = 2_000
    hops: Count = 24
    slow_caller_timeout_ms: TimeoutMs = 10_000
    idle_timeout_ms: TimeoutMs = 120_000


class LogSettings(Config, kw_only=True):
    """Settings of the log."""

    level: t.Literal["debug", "info", "warning", "error"] = "info"


class Settings(Config, kw_only=True):
    """Settings of one node.

    Attributes:
        host: name of this host, unique in the fleet.
        domain: failure domain.
        region: region.
        service: service that the backend server runs.
        node_listen: address for other nodes.
        public_listen: address for callers from outside.
        internal_listen: address for the users' own services.
        admin_listen: address for operators and metrics.
        worker: the backend server.
        platform: the platform's configuration service.
        peers: nodes to query at the start, before the host list is known.
        limits: limits on what callers and peers may send.
        log: settings of the log.
        drain_limit_ms: longest wait for running work at a planned stop.
        grace_ms: time after which the platform kills a node that stops; running work
            is ended before. None if it waits for the node's end.
        linger_ms: how long a stopping node still accepts requests, so that callers can
            detect that it is not ready.
        gossip_period_ms: time between exchanges with a random peer.
        boot_wait_ms: longest wait for peers before the node is ready.
        link_mbps: rate of the host's network link in megabits a second; large answers
            to other nodes are paced below it. None disables pacing.
        confirmation_max_age_ms: age of the last confirmation of the configuration from
            which on keys do not count; they are refused from 0.9 of it on. None if they
            count whatever the age.
        seed: seed of the node's random choices; 0 uses a seed from the system.
        metrics_listen: additional address for the admin pages, none by default.
        ready_path: path on the admin address that reports whether the node accepts
            requests.
        headers: names of headers.
        retry: limits on retries.
        quota: bound on the requests of a workspace.
        routing: the choice between failure domains.
        adapter: module that replaces the built-in client of the platform.
        learned_concurrency: whether the gate leaves slots unused that it has observed
            not to add to the backend server's throughput.
    """

    host: t.Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
    domain: Name
    region: Name
    service: Name
    node_listen: Address
    public_listen: Address
    internal_listen: Address
    admin_listen: Address
    worker: WorkerSettings
    platform: PlatformSettings
    peers: tuple[Address, ...] = ()
    limits: EdgeLimits = EdgeLimits()
    log: LogSettings = LogSettings()
    drain_limit_ms: TimeoutMs = 20_000
    grace_ms: GraceMs | None = None
    linger_ms: TimeoutMs = LINGER_MS
    gossip_period_ms: TimeoutMs = 1_000
    boot_wait_ms: TimeoutMs = 2_000
    link_mbps: t.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] | None = None
    confirmation_max_age_ms: TimeoutMs | None = None
    seed: int = 0
    metrics_listen: Address | None = None
    ready_path: str = "/readyz"
    headers: HeaderSettings = HeaderSettings()
    retry: RetrySettings = RetrySettings()
    quota: QuotaSettings = QuotaSettings()
    routing: RoutingSettings = RoutingSettings()
    adapter: AdapterSettings | None = None
    learned_concurrency: bool = True

    @property
    def stop_limit_ms(self) -> float:
        """Longest time that a planned stop takes."""
        if self.grace_ms is None:
            return self.drain_limit_ms
        return min(self.drain_limit_ms, self.grace_ms - KILL_MARGIN_MS)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        ConfigError: the file is not valid; the error names file, field and reason.
    """
    settings = jsonc.read_file(path, Settings)
    for fault in find_faults(settings, str(path)):
        raise fault
    return settings


def find_faults(settings: Settings, file: str = "") -> t.Iterator[ConfigError]:
    """Yields faults that the field types permit: invalid or conflicting values."""
    for field, address in _addresses(settings):
        reason = _find_address_fault(field, address)
        if reason:
            yield ConfigError(ErrorKind.CONFIG_FIELD, reason, file=file, field=field)
    yield from _find_shared_addresses(settings, file)
    limits = settings.limits
    min_frame_bytes = limits.header_bytes + limits.body_bytes + FRAME_OVERHEAD_BYTES
    if limits.frame_bytes < min_frame_bytes:
        yield ConfigError(
            ErrorKind.LIMIT_OUT_OF_RANGE,
            f"{limits.frame_bytes} bytes cannot hold a request; "
            f"at least {min_frame_bytes} are needed",
            file=file,
            field="limits.frame_bytes",
        )


def _addresses(settings: Settings) -> t.Iterator[tuple[str, str]]:
    for field in LISTEN_FIELDS:
        yield field, getattr(settings, field)
    yield "worker.address", settings.worker.address
    yield "platform.address", settings.platform.address
    for index, peer in enumerate(settings.peers):
        yield f"peers[{index}]", peer


def _find_address_fault(field: str, address: str) -> str:
    match = _ADDRESS_PATTERN.fullmatch(address)
    if match is None:
        return f"{address!r} is not IP:PORT"
    *octets, port = (int(part) for part in match.groups())
    if max(octets) > _MAX_OCTET or not 1 <= port <= _MAX_PORT:
        return f"{address!r} is not IP:PORT"
    if not any(octets) and field not in LISTEN_FIELDS[1:]:
        return f"{address!r} cannot be reached by other hosts"
    return ""


def _find_shared_addresses(settings: Settings, file: str) -> t.Iterator[ConfigError]:
    fields: dict[str, list[str]] = collections.defaultdict(list)
    for field in (*LISTEN_FIELDS, "worker.address", "platform.address"):
        address = dict(_addresses(settings))[field]
        fields[address].append(field)
    for address, (first, *others) in fields.items():
        for field in others:
            yield ConfigError(
                ErrorKind.CONFIG_FIELD,
                f"{address!r} is already used by {first}",
                file=file,
                field=field,
            )
