"""One request on a link between nodes, at the entry's side."""

import contextlib
import typing as t

import trio
from cactushook import ErrorKind
from cactushook import WireError

from . import wire
from .http_messages import ReplyEvent
from .http_messages import ReplyRefused
from .http_messages import ReplyStart

# The start of an answer and a refusal at its end use no credit.
REPLY_QUEUE_EVENTS = wire.INITIAL_CREDIT_CHUNKS + 2
CREDIT_BATCH_CHUNKS = 8


class ExchangeLink(t.Protocol):
    """The connection that an exchange uses."""

    def send_soon(self, message: wire.Message) -> bool:
        """Queues a message and returns whether it was queued."""

    def remove_exchange(self, stream_id: int) -> None:
        """Removes an exchange; answers that arrive later are dropped."""


class Exchange:
    """One request on a link, at the entry's side.

    Attributes:
        stream_id: number of the request on its link.
        is_repeatable: whether another node may run the request if this one is silent.
        events: the answer's events, in order.
    """

    def __init__(self, link: ExchangeLink, stream_id: int, is_repeatable: bool) -> None:
        self._link = link
        self.stream_id = stream_id
        self.is_repeatable = is_repeatable
        self._send, self.events = trio.open_memory_channel[ReplyEvent](
            REPLY_QUEUE_EVENTS
        )
        self._started = False
        self._ended = False
        # The start of the answer uses no credit.
        self._consumed_chunks = -1

    @property
    def has_started(self) -> bool:
        """Whether the start of the answer has arrived."""
        return self._started

    def deliver(self, event: ReplyEvent) -> None:
        """Queues an event that arrived on the link.

        Raises:
            WireError: the event is out of order or exceeds the credit.
        """
        is_start = isinstance(event, ReplyStart)
        in_order = isinstance(event, ReplyRefused) or is_start is not self._started
        if self._ended or not in_order:
            raise WireError(ErrorKind.FRAME_INVALID, "an answer is out of order")
        self._started = True
        self._ended = isinstance(event, ReplyRefused) or event.last
        try:
            self._send.send_nowait(event)
        except trio.WouldBlock as error:
            raise WireError(
                ErrorKind.CREDIT_OVERRUN, "more chunks arrived than credit allows"
            ) from error
        except trio.BrokenResourceError:
            return

    def fail(self, kind: ErrorKind, detail: str) -> None:
        """Ends the exchange because its link has closed."""
        if not self._ended:
            self._ended = True
            with contextlib.suppress(trio.WouldBlock, trio.BrokenResourceError):
                self._send.send_nowait(ReplyRefused(kind, detail))
        self._send.close()

    def give_up(self, detail: str) -> None:
        """Ends the exchange and cancels the request at a peer that is silent."""
        self.close()
        self.fail(ErrorKind.PEER_LOST, detail)

    def on_event_consumed(self) -> None:
        """Records that an event was forwarded; grants credit in batches."""
        self._consumed_chunks += 1
        if self._ended or self._consumed_chunks < CREDIT_BATCH_CHUNKS:
            return
        self._consumed_chunks -= CREDIT_BATCH_CHUNKS
        self._link.send_soon(wire.CreditMessage(self.stream_id, CREDIT_BATCH_CHUNKS))

    def close(self) -> None:
        """Removes the exchange; cancels the request if it still runs."""
        self._link.remove_exchange(self.stream_id)
        if not self._ended:
            self._link.send_soon(wire.CancelMessage(self.stream_id))
