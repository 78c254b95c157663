"""The JSON responses of a node's admin address."""

import msgspec

from .outlines import OutlineEntry


class DomainStatus(msgspec.Struct, frozen=True):
    """A failure domain as the node sees it."""

    name: str
    state: str


class ReasonCount(msgspec.Struct, frozen=True):
    """How often an error kind was counted since the node started."""

    kind: str
    count: int


class QuotaStatus(msgspec.Struct, frozen=True):
    """What an entry holds of a workspace's quota.

    Attributes:
        workspace: name of the workspace.
        rate_per_s: its rate over all entries.
        burst: requests in addition that may come at once.
        home: name of the host that grants tokens.
        is_home_serving: whether that host grants tokens, as far as this entry knows.
        tokens: tokens on lease here.
        demand_per_s: requests that arrive here, refused ones included.
        granted_per_s: tokens that the home granted to this entry lately.
        fallback_tokens: tokens of a window while no home is reached.
    """

    workspace: str
    rate_per_s: float
    burst: float
    home: str
    is_home_serving: bool
    tokens: int
    demand_per_s: float
    granted_per_s: float
    fallback_tokens: int


class Status(msgspec.Struct, frozen=True):
    """The response of ``/status``.

    Attributes:
        host: the node's host.
        domain: its failure domain.
        service: the service that its backend server runs.
        version: configuration version in force.
        digest: root digest of that version.
        age_ms: time since that version was put in force here.
        ready: whether the node accepts work.
        reason: ``ready``, or why the node does not accept work.
        role: ``reader`` if the node reads the platform for others, or ``relay``.
        source_reachable: whether the platform answered the last call, if any.
        hosts: number of hosts known.
        leaving_hosts: names of hosts that are shutting down.
        domains: every failure domain with its state.
        refusals: requests refused here.
        retries: requests sent again from here.
        quotas: balances of the workspaces in use here.
    """

    host: str
    domain: str
    service: str
    version: int
    digest: str
    age_ms: int
    ready: bool
    reason: str
    role: str
    source_reachable: bool | None
    hosts: int
    leaving_hosts: tuple[str, ...]
    domains: tuple[DomainStatus, ...]
    refusals: tuple[ReasonCount, ...]
    retries: tuple[ReasonCount, ...]
    quotas: tuple[QuotaStatus, ...] = ()


class PassedWorker(msgspec.Struct, frozen=True):
    """A worker that would not be chosen, and why."""

    host: str
    domain: str
    reason: str


class Explanation(msgspec.Struct, frozen=True):
    """The response of ``/explain``.

    Attributes:
        version: configuration version in force.
        route: path prefix of the route, or empty without one.
        route_class: how requests may be treated.
        visibility: who may call the route.
        needs_key: whether callers need a workspace's key.
        service: the service that runs it.
        host: the worker that would receive a request now, or empty.
        domain: that worker's failure domain.
        reason: why this worker would be chosen, or why none would.
        passed: the service's other workers.
    """

    version: int
    route: str = ""
    route_class: str = ""
    visibility: str = ""
    needs_key: bool = False
    service: str = ""
    host: str = ""
    domain: str = ""
    reason: str = ""
    passed: tuple[PassedWorker, ...] = ()


class ConfigurationPage(msgspec.Struct, frozen=True):
    """The response of ``/configuration``: a part of the configuration in force.

    Keys of workspaces and their digests are left out.

    Attributes:
        version: configuration version in force.
        digest: root digest of that version.
        entries: entries of this part.
        next_start: the ``start`` of the next part; None if this is the last one.
    """

    version: int
    digest: str
    entries: tuple[OutlineEntry, ...]
    next_start: int | None = None
