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
FRAME_OVERHEAD_BYTES = 65_536
_ADDRESS_PATTERN = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")
_MAX_OCTET = 255
_MAX_PORT = 65_535


class WorkerSettings(Config, kw_only=True):
    """The backend server beside this node.

    Attributes:
        address: where it listens.
        instance_header: response header whose change shows a restart.
        connect_timeout_ms: longest wait for a connection.
    """

    address: Address
    instance_header: str = "worker-instance"
    connect_timeout_ms: TimeoutMs = 500


class HeaderSettings(Config, kw_only=True):
    """Names of headers; one that is left empty is neither read nor set.

    Attributes:
        request_id: identity of a request; callers send it, backend servers echo it.
        timeout_ms: milliseconds that the sender waits.
        hops: services that the request has passed through.
        attempts: sends that are left.
        caller_service: service of the host where the request began.
        target_instance: the start of the backend server that may run the request.
        signature: an answer that succeeds without it is not accepted.
        not_executed: states that the backend server did not run the request.
        cold_remaining_ms: how much longer the backend server stays cold.
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


class RetrySettings(Config, kw_only=True):
    """Bounds on requests that an entry sends again.

    Attributes:
        redirects: gates that may be asked after one refused and sent nothing on.
        ratio: retries per request of the window, over the whole fleet; 0 takes the
            budget that the team file gives.
        slack: retries of the whole fleet besides, in any window.
        window_ms: length of the window.
    """

    redirects: t.Annotated[int, msgspec.Meta(ge=0, le=10)] = 0
    ratio: t.Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    slack: t.Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 10.0
    window_ms: TimeoutMs = 10_000


class AdapterSettings(Config, kw_only=True):
    """A module that connects the node with a platform of another kind.

    Attributes:
        module: name of a Python module that has ``create``.
        drain_ms: how long a host that vanished from the list while the platform was
            away is still taken as live after its return.
        cold_ms: how long a backend server is taken as cold when it may have restarted.
    """

    module: t.Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_.]*$")]
    drain_ms: TimeoutMs = 2_000
    cold_ms: TimeoutMs = 3_000


class PlatformSettings(Config, kw_only=True):
    """The platform's configuration service.

    Attributes:
        address: where it listens.
        watch_wait_ms: how long a watch waits for a change.
        host_list_period_ms: time between readings of the host list.
        fleet_size_hint: hosts that the fleet may have, never fewer than it has; while
            a node knows fewer, its calls are bounded as if there were so many.
        domain_count_hint: failure domains that the fleet may have.
    """

    address: Address
    watch_wait_ms: TimeoutMs = 20_000
    host_list_period_ms: TimeoutMs = 5_000
    fleet_size_hint: Count = 50
    domain_count_hint: Count = 3


class EdgeLimits(Config, kw_only=True):
    """Limits on what callers and peers may send.

    Attributes:
        header_bytes: request line and headers together.
        header_count: headers of one request.
        target_bytes: path and query.
        body_bytes: body of one request.
        frame_bytes: one message from another node.
        connections: open connections of each listener.
        hops: services that a request may pass through.
        slow_caller_timeout_ms: longest wait for a whole request, or for the caller
            to take in one part of its answer.
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
    """What is logged."""

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
        peers: nodes to ask at the start, before the host list is known.
        drain_limit_ms: longest wait for running work at a planned stop.
        linger_ms: how long a node that stops still takes requests, until callers
            have seen that it is not ready.
        gossip_period_ms: time between exchanges with a random peer.
        boot_wait_ms: longest wait for peers before the node is ready.
        link_mbps: rate of the host's network link in megabits a second; large answers
            to other nodes are paced below it. None does not pace them.
        seed: seed of the node's random choices; 0 takes one from the system.
        metrics_listen: a further address of the admin pages, none by default.
        ready_path: path on the admin address that tells whether the node takes work.
        headers: names of headers.
        retry: bounds on requests that are sent again.
        adapter: takes the place of the platform's own protocol.
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
    linger_ms: TimeoutMs = LINGER_MS
    gossip_period_ms: TimeoutMs = 1_000
    boot_wait_ms: TimeoutMs = 2_000
    link_mbps: t.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] | None = None
    seed: int = 0
    metrics_listen: Address | None = None
    ready_path: str = "/readyz"
    headers: HeaderSettings = HeaderSettings()
    retry: RetrySettings = RetrySettings()
    adapter: AdapterSettings | None = None


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        ConfigError: naming the file, the field and the reason.
    """
    settings = jsonc.read_file(path, Settings)
    for fault in find_faults(settings, str(path)):
        raise fault
    return settings


def find_faults(settings: Settings, file: str = "") -> t.Iterator[ConfigError]:
    """Yields what the fields' types cannot tell: addresses and limits that clash."""
    for field, address in _addresses(settings):
        reason = _address_fault(field, address)
        if reason:
            yield ConfigError(ErrorKind.CONFIG_FIELD, reason, file=file, field=field)
    yield from _find_shared(settings, file)
    limits = settings.limits
    least = limits.header_bytes + limits.body_bytes + FRAME_OVERHEAD_BYTES
    if limits.frame_bytes < least:
        yield ConfigError(
            ErrorKind.LIMIT_OUT_OF_RANGE,
            f"{limits.frame_bytes} bytes do not hold a request; {least} do",
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


def _address_fault(field: str, address: str) -> str:
    found = _ADDRESS_PATTERN.fullmatch(address)
    if found is None:
        return f"{address!r} is not IP:PORT"
    *octets, port = (int(part) for part in found.groups())
    if max(octets) > _MAX_OCTET or not 1 <= port <= _MAX_PORT:
        return f"{address!r} is not IP:PORT"
    if not any(octets) and field not in LISTEN_FIELDS[1:]:
        return f"{address!r} cannot be reached by other hosts"
    return ""


def _find_shared(settings: Settings, file: str) -> t.Iterator[ConfigError]:
    fields: dict[str, list[str]] = collections.defaultdict(list)
    for field in (*LISTEN_FIELDS, "worker.address", "platform.address"):
        address = dict(_addresses(settings))[field]
        fields[address].append(field)
    for address, (first, *others) in fields.items():
        for field in others:
            yield ConfigError(
                ErrorKind.CONFIG_FIELD,
                f"{address!r} is given to {first} too",
                file=file,
                field=field,
            )
