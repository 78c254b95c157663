"""Exchanges changes of the store between a node, its upstreams and its followers."""

import dataclasses
import functools
import math
import typing as t
import zlib

from cactushook import deltas
from cactushook import ErrorKind
from cactushook import RequestError
from cactushook import WireError
from cactushook.replica import Item
from cactushook.replica import Position
from cactushook.replica import Reading
from cactushook.replica import Replica
from cactushook.upstreams import Upstreams

from . import wire
from .environment import Environment
from .link_pool import LinkPool
from .links import Link
from .supervision import TaskStarter

FOLLOW_PERIOD_MS = 500.0
# A follower that does not renew its subscription in this time gets no more changes.
LEASE_MS = 2_000.0
# Minimum time before changes are sent again to a follower that still lacks them.
RESEND_MS = 2_000.0
# An older state of the store is not reported to followers.
MAX_SYNCED_AGE_MS = 600_000.0
# Shorter values are sent uncompressed.
MIN_DEFLATE_BYTES = 1_024
DEFLATE_LEVEL = 3
MAX_VALUE_BYTES = 16_777_216


@dataclasses.dataclass(slots=True)
class _Follower:
    expires_ms: float
    push: bool
    position: Position
    sent_ms: float = float("-inf")


class ChangeFeed:
    """Subscribes to the upstreams' changes and sends changes to the followers.

    Args:
        environment: the node's central object.
        links: connections to other nodes.
        tasks: runs the tasks that send messages.
        replica: the node's replica of the store.
        is_fresh: returns whether the node itself reads the store and is up to date.
        overruling_items: returns the items after a revision that overrule late writes.
        synced_ms: returns up to which time the node itself read what the store had.
    """

    def __init__(
        self,
        environment: Environment,
        links: LinkPool,
        tasks: TaskStarter,
        replica: Replica,
        is_fresh: t.Callable[[float], bool],
        overruling_items: t.Callable[[int], tuple[Item, ...]] = lambda revision: (),
        synced_ms: t.Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._environment = environment
        self._links = links
        self._tasks = tasks
        self._replica = replica
        self._is_fresh = is_fresh
        self._overruling_items = overruling_items
        self._synced_ms = synced_ms
        self.upstream_synced_ms = -math.inf
        self._followers: dict[Link, _Follower] = {}
        self._subscribed_ms: dict[str, float] = {}
        self.upstreams = Upstreams(
            environment.membership.own,
            environment.settings.peers,
            environment.rng,
            environment.now_ms(),
        )

    def renew_subscriptions(self, addresses: t.Sequence[str], now_ms: float) -> None:
        """Renews the subscriptions to upstreams.

        The first upstream sends the changes themselves, the others only revisions.
        """
        self._subscribed_ms = {
            a: s for a, s in self._subscribed_ms.items() if a in addresses
        }
        for index, address in enumerate(addresses):
            subscribed_ms = self._subscribed_ms.get(address, float("-inf"))
            if now_ms - subscribed_ms >= FOLLOW_PERIOD_MS:
                self._subscribed_ms[address] = now_ms
                self._tasks.start_soon(self._subscribe, address, index == 0)

    def on_follow(self, link: Link, message: wire.Message) -> None:
        """Records a follower's subscription and sends it the changes that it lacks."""
        now_ms = self._environment.now_ms()
        known = self._followers.get(link)
        after = Position(message.era, message.after)
        if known is None or known.position < after:
            known = _Follower(0, message.push, after)
            self._followers[link] = known
        known.push = message.push
        known.expires_ms = now_ms + LEASE_MS
        may_resend = now_ms - known.sent_ms > RESEND_MS
        if after < self._replica.position and message.push:
            if may_resend:
                known.position = after
            self._send_changes(link, known, now_ms)
        link.send_soon(self.revision_message(answer=True, asked_ms=message.sent_ms))

    def on_revision(self, link: Link, message: wire.Message) -> None:
        """Records whether an upstream is up to date."""
        if link.peer_hello is None:
            return
        now_ms = self._environment.now_ms()
        address = link.peer_hello.host.address
        position = Position(message.era, message.revision)
        if message.synced_age_ms >= 0 and position == self._replica.position:
            # The answer may have travelled long, so the time of the question counts.
            asked_ms = min(now_ms, message.asked_ms)
            synced_ms = asked_ms - message.synced_age_ms
            self.upstream_synced_ms = max(self.upstream_synced_ms, synced_ms)
        if message.fresh and position >= self._replica.position:
            self.upstreams.on_upstream_status(address, True, now_ms)
        elif message.answer and not message.fresh:
            self.upstreams.on_upstream_status(address, False, now_ms)

    def publish(self) -> None:
        """Sends changes, or the new revision, to all followers."""
        now_ms = self._environment.now_ms()
        ended = [
            link
            for link, follower in self._followers.items()
            if link.closed or follower.expires_ms < now_ms
        ]
        for link in ended:
            del self._followers[link]
        for link, follower in self._followers.items():
            if follower.push:
                self._send_changes(link, follower, now_ms)
            else:
                link.send_soon(self.revision_message(answer=False))

    def changes_since(self, position: Position) -> Reading:
        """Returns the changes after a position, or all values.

        An item that overrules a late write comes before that write, since a receiver
        that gets the late write alone would put it in force.
        """
        reading = self._replica.changes_since(position)
        overruling_items = self._overruling_items(reading.base)
        if not overruling_items:
            return reading
        items = (*overruling_items, *reading.items)
        return dataclasses.replace(reading, items=items)

    def revision_message(self, answer: bool, asked_ms: int = 0) -> wire.Message:
        """Returns a message with the position and freshness of the node's replica.

        Args:
            answer: whether it answers a message.
            asked_ms: the time of the subscription that it answers, or 0.
        """
        now_ms = self._environment.now_ms()
        fresh = self._is_fresh(now_ms)
        age_ms = now_ms - self._synced_ms()
        synced_age_ms = -1
        if asked_ms and age_ms <= MAX_SYNCED_AGE_MS:
            synced_age_ms = math.ceil(age_ms)
        replica = self._replica
        return wire.RevisionMessage(
            replica.revision, answer, fresh, replica.era, asked_ms, synced_age_ms
        )

    def _send_changes(self, link: Link, follower: _Follower, now_ms: float) -> None:
        if follower.position >= self._replica.position:
            return
        reading = self.changes_since(follower.position)
        link.send_soon(_changes_to_message(reading, self._replica))
        follower.position = self._replica.position
        follower.sent_ms = now_ms

    async def _subscribe(self, address: str, push: bool) -> None:
        try:
            link = await self._links.get(address)
        except RequestError as error:
            self._environment.log.debug(
                "peer_unreachable", address=address, reason=error.message
            )
            self.upstreams.mark_unavailable(address, self._environment.now_ms())
            return
        replica = self._replica
        sent_ms = int(self._environment.now_ms())
        await link.send(
            wire.FollowMessage(replica.revision, push, replica.era, sent_ms)
        )


def reading_to_message(reading: Reading) -> wire.Message:
    """Converts a reading to its message."""
    items = [_item_to_message(item) for item in reading.items]
    return wire.ItemsMessage(reading.base, reading.revision, items, reading.era)


def reading_from_message(message: wire.Message, replica: Replica) -> Reading | None:
    """Converts a message to a reading; returns None if the replica lacks a base.

    Raises:
        WireError: a value cannot be inflated.
    """
    if any(_lacks_base(item, message.era, replica) for item in message.items):
        return None
    try:
        items = tuple(
            Item(item.key, _decode_value(item, replica), item.revision, item.deleted)
            for item in message.items
        )
    except ValueError:
        # The replica has another value of the base's revision.
        return None
    return Reading(items, message.revision, message.base, message.era)


def _changes_to_message(reading: Reading, replica: Replica) -> wire.Message:
    """Converts a reading to its message, with values as deltas where possible.

    The receiver is assumed to know all values up to the reading's base.
    """
    items = [
        _item_to_delta_message(item, reading.base, replica) for item in reading.items
    ]
    return wire.ItemsMessage(reading.base, reading.revision, items, reading.era)


def _item_to_delta_message(item: Item, base: int, replica: Replica) -> wire.Message:
    before = replica.previous_item(item.key)
    if before is None or item.deleted or not before.revision <= base < item.revision:
        return _item_to_message(item)
    delta = _encode_delta(before.value, item.value)
    return wire.StoreItem(item.key, delta, item.revision, False, True, before.revision)


@functools.lru_cache(maxsize=4)
def _encode_delta(before: bytes, value: bytes) -> bytes:
    return zlib.compress(deltas.encode(before, value), DEFLATE_LEVEL)


def _lacks_base(item: wire.Message, era: int, replica: Replica) -> bool:
    if not item.base_revision:
        return False
    known = replica.get(item.key)
    return era != replica.era or known is None or known.revision != item.base_revision


def _item_to_message(item: Item) -> wire.Message:
    deflated = len(item.value) >= MIN_DEFLATE_BYTES
    value = _deflate(item.value) if deflated else item.value
    return wire.StoreItem(item.key, value, item.revision, item.deleted, deflated)


@functools.lru_cache(maxsize=4)
def _deflate(value: bytes) -> bytes:
    return zlib.compress(value, DEFLATE_LEVEL)


def _decode_value(item: wire.Message, replica: Replica) -> bytes:
    value = _inflate(item)
    if not item.base_revision:
        return value
    known = t.cast(Item, replica.get(item.key))
    return deltas.apply(known.value, value)


def _inflate(item: wire.Message) -> bytes:
    if not item.deflated:
        return item.value
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(item.value, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise WireError(
            ErrorKind.FRAME_INVALID, f"value of {item.key!r}: {error}"
        ) from error
    if not inflater.eof:
        raise WireError(
            ErrorKind.FRAME_INVALID,
            f"value of {item.key!r} is truncated or exceeds {MAX_VALUE_BYTES} bytes",
        )
    return value
