"""Data classes of the configuration: team files, operators' file and hosts."""

import enum
import typing as t

import msgspec

Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
RoutePath = t.Annotated[str, msgspec.Meta(pattern=r"^/[!-~]*$", max_length=512)]
Method = t.Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
# A service with this many slots has no limit of its own; its workers report theirs.
MAX_SLOTS = 10_000
Slots = t.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
MIN_RATE_PER_S = 0.1
RatePerS = t.Annotated[float, msgspec.Meta(ge=MIN_RATE_PER_S, le=10_000)]
QueueLength = t.Annotated[int, msgspec.Meta(ge=0, le=100_000)]
Attempts = t.Annotated[int, msgspec.Meta(ge=1, le=5)]
Weight = t.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Priority = t.Annotated[int, msgspec.Meta(ge=0, le=100)]
HostName = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9.-]*$", max_length=253)]
MAX_TIMEOUT_MS = 600_000
TimeoutMs = t.Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMEOUT_MS)]
WindowMs = t.Annotated[int, msgspec.Meta(ge=1_000, le=86_400_000)]
Permille = t.Annotated[int, msgspec.Meta(ge=0, le=1_000)]


class Config(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the frozen data classes that files are validated against."""


class RouteClass(enum.Enum):
    """How a route's requests may be treated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    AT_MOST_ONCE = "at_most_once"
    BULK = "bulk"


class Visibility(enum.Enum):
    """Who may call a route."""

    PUBLIC = "public"
    INTERNAL = "internal"


class Limits(Config, kw_only=True):
    """Load limits of one worker of a service.

    Attributes:
        slots: number of requests that run at once.
        connections: number of open connections to the backend server.
        queue_length: number of requests that may wait for a slot.
        queue_timeout_ms: longest wait for a slot.
        ramp_ms: time from one slot to all slots after a cold start.
        cold_requests_per_s: requests per second that a cold worker can handle;
            replaces the ramp if the worker reports how long it stays cold.
    """

    slots: Slots
    connections: Slots
    queue_length: QueueLength = 50
    queue_timeout_ms: TimeoutMs = 500
    ramp_ms: TimeoutMs = 10_000
    cold_requests_per_s: RatePerS | None = None


class SplitPart(Config, kw_only=True):
    """One service that receives a share of a route's requests.

    Attributes:
        service: the service.
        weight: its share, relative to the other parts.
    """

    service: Name
    weight: Weight


class Route(Config, kw_only=True):
    """One route of a team file.

    Attributes:
        path: prefix of the request path.
        methods: methods that it serves.
        route_class: how requests may be treated.
        service: the service that runs it; the file's own by default.
        visibility: who may call it.
        timeout_ms: longest time of a request, its answer included.
        attempts: maximum number of times that a request is sent to a worker.
        key_header: header that contains the key of an at-most-once request.
        resend_window_ms: how long a caller may resend with the same key.
        host: the ``Host`` that it serves; empty for any host.
        split: services that share the requests, in place of ``service``.
        objective_ms: time within which an answer is fully useful; the timeout by
            default.
        priority: rank in a queue; 0 comes first.
    """

    path: RoutePath
    methods: tuple[Method, ...] = ("GET",)
    route_class: RouteClass = msgspec.field(name="class")
    service: Name | None = None
    visibility: Visibility = Visibility.PUBLIC
    timeout_ms: TimeoutMs = 5_000
    attempts: Attempts = 3
    key_header: str = "idempotency-key"
    resend_window_ms: WindowMs = 600_000
    host: HostName = ""
    split: tuple[SplitPart, ...] = ()
    objective_ms: TimeoutMs | None = None
    priority: Priority = 0


class TeamFile(Config, kw_only=True):
    """File that a team keeps beside its service's code: ``NAME.cactushook.jsonc``.

    Attributes:
        service: the service's name.
        team: name of the team that owns it.
        failure_domains: failure domains in which its workers may run.
        limits: load limits of one worker.
        routes: routes that reach it.
        retry_budget_permille: retries allowed per thousand requests.
        health_path: path at which the backend server reports its health.
    """

    service: Name
    team: str
    failure_domains: tuple[Name, ...]
    limits: Limits
    routes: tuple[Route, ...] = ()
    retry_budget_permille: Permille = 100
    health_path: RoutePath = "/healthz"


class DomainState(enum.Enum):
    """Whether a failure domain accepts new work."""

    IN = "in"
    OUT = "out"


class Domain(Config, kw_only=True):
    """A failure domain in the operators' file."""

    name: Name
    region: Name
    state: DomainState = DomainState.IN


class OperatorsFile(Config, kw_only=True):
    """File that operators keep: ``operators.cactushook.jsonc``.

    Attributes:
        failure_domains: every failure domain with its region and state.
    """

    failure_domains: tuple[Domain, ...]


class HostState(enum.Enum):
    """State of a host in the platform's list or in messages between nodes."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostRecord(Config, kw_only=True):
    """One host of the fleet.

    Attributes:
        name: host name, unique in the fleet.
        address: ``ip:port`` of the node for other nodes.
        domain: failure domain.
        region: region.
        service: service that the host's backend server runs.
        state: live, leaving or gone.
        incarnation: grows with each start of the node, milliseconds since the epoch.
        instance: id that changes with each start of the backend server, empty if
            unknown.
    """

    name: str
    address: str
    domain: Name
    region: Name
    service: Name
    state: HostState = HostState.LIVE
    incarnation: int = 0
    instance: str = ""
