"""Converts the messages of quotas to their thrift form and back."""

import typing as t

from cactushook import ErrorKind
from cactushook import WireError
from cactushook.quota_messages import LeaseGrant
from cactushook.quota_messages import LeaseRequest
from cactushook.quota_messages import MAX_RETURNS
from cactushook.quota_messages import TokenGrant
from cactushook.quota_messages import TokenRequest
from cactushook.quota_messages import TokenReturn

from . import wire

MAX_ASKS = 10_000
MAX_NAMES = 100_000
_MILLI = 1_000


def request_to_message(request: LeaseRequest) -> wire.Message:
    """Converts a lease request; the connection tells the entry's name."""
    return wire.QuotaRequestMessage(
        incarnation=request.incarnation,
        sequence=request.sequence,
        asks=[_ask_to_message(item) for item in request.requests],
    )


def request_from_message(message: wire.Message, entry: str) -> LeaseRequest:
    """Converts a message of an entry.

    Raises:
        WireError: a number is missing or negative, or the lists are too long.
    """
    return LeaseRequest(
        entry=entry,
        incarnation=_count(message.incarnation),
        sequence=_count(message.sequence),
        requests=tuple(map(_ask_from_message, _limited(message.asks, MAX_ASKS))),
    )


def grant_to_message(grant: LeaseGrant) -> wire.Message:
    """Converts a home's answer."""
    return wire.QuotaGrantMessage(
        incarnation=grant.incarnation,
        sequence=grant.sequence,
        grants=[
            wire.QuotaGrant(
                workspace=g.workspace,
                tokens=g.tokens,
                wait_ms=g.wait_ms,
                serving=g.is_serving,
                rate_per_ks=round(g.rate_per_s * _MILLI),
            )
            for g in grant.grants
        ],
    )


def grant_from_message(message: wire.Message) -> LeaseGrant:
    """Converts a home's message.

    Raises:
        WireError: a number is missing or negative, or the list is too long.
    """
    grants = tuple(
        TokenGrant(
            workspace=g.workspace,
            tokens=_count(g.tokens),
            wait_ms=_count(g.wait_ms),
            rate_per_s=_count(g.rate_per_ks) / _MILLI,
            is_serving=bool(g.serving),
        )
        for g in _limited(message.grants, MAX_ASKS)
    )
    incarnation, sequence = _count(message.incarnation), _count(message.sequence)
    return LeaseGrant(incarnation, sequence, grants)


def handover_names(names: t.Sequence[str] | None) -> frozenset[str]:
    """Returns a message's names of workspaces.

    Raises:
        WireError: the list is missing or too long.
    """
    return frozenset(_limited(names, MAX_NAMES))


def _ask_to_message(request: TokenRequest) -> wire.Message:
    return wire.QuotaAsk(
        workspace=request.workspace,
        wanted=min(request.wanted, wire.MAX_WIRE_MS),
        returned=[wire.QuotaReturn(r.sequence, r.tokens) for r in request.returned],
        demand_per_ks=round(request.demand_per_s * _MILLI),
    )


def _ask_from_message(ask: wire.Message) -> TokenRequest:
    returned = tuple(
        TokenReturn(_count(item.sequence), _count(item.tokens))
        for item in _limited(ask.returned, MAX_RETURNS)
    )
    demand_per_s = _count(ask.demand_per_ks) / _MILLI
    return TokenRequest(ask.workspace, _count(ask.wanted), returned, demand_per_s)


def _count(number: int | None) -> int:
    if number is None or number < 0:
        raise WireError(ErrorKind.FRAME_INVALID, f"{number} is not a count")
    return number


def _limited(items: t.Sequence[t.Any] | None, most: int) -> t.Sequence[t.Any]:
    if items is None or len(items) > most:
        raise WireError(ErrorKind.FRAME_INVALID, "a list of quotas is too long")
    return items
