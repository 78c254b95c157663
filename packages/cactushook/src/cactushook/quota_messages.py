"""Messages between entries and the homes of quotas."""

import dataclasses

# Leases of which one request for tokens may return some.
MAX_RETURNS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReturn:
    """Unused tokens of one lease.

    Attributes:
        sequence: sequence number of the request that brought the lease.
        tokens: number of tokens.
    """

    sequence: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """An entry's request for tokens of one workspace.

    Attributes:
        workspace: name of the workspace.
        wanted: tokens that the entry can use within a lease.
        returned: unused tokens, by lease.
        demand_per_s: requests that arrive at the entry.
    """

    workspace: str
    wanted: int
    returned: tuple[TokenReturn, ...]
    demand_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """All of an entry's requests to one home.

    Attributes:
        entry: name of the entry's host.
        incarnation: differs for each start of the entry.
        sequence: grows with each message of the entry.
        requests: one for each workspace.
    """

    entry: str
    incarnation: int
    sequence: int
    requests: tuple[TokenRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """A home's answer for one workspace.

    Attributes:
        workspace: name of the workspace.
        tokens: tokens on lease.
        wait_ms: time until another token is expected; 0 if all wanted were granted.
        rate_per_s: tokens a second that the entry can expect.
        is_serving: whether the node is the workspace's home and grants tokens.
    """

    workspace: str
    tokens: int
    wait_ms: int
    rate_per_s: float = 0.0
    is_serving: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A home's answer to a lease request.

    Attributes:
        incarnation: the entry's incarnation in the request.
        sequence: the sequence number of the request.
        grants: one for each workspace.
    """

    incarnation: int
    sequence: int
    grants: tuple[TokenGrant, ...]


__all__ = [
    "MAX_RETURNS",
    "LeaseGrant",
    "LeaseRequest",
    "TokenGrant",
    "TokenRequest",
    "TokenReturn",
]
