"""Converts events of an answer to messages between nodes, and back."""

import typing as t

from cactushook import Load

from . import wire
from .http_messages import ReplyChunk
from .http_messages import ReplyEvent
from .http_messages import ReplyRefused
from .http_messages import ReplyStart


def reply_to_message(
    stream_id: int, event: ReplyEvent, load: t.Callable[[], Load]
) -> wire.Message:
    """Converts an event; `load` is called for a refusal that reports none."""
    match event:
        case ReplyStart(status, headers, body, last, reported):
            return wire.ReplyMessage(
                stream_id=stream_id,
                status=status,
                headers=[wire.Header(name, value) for name, value in headers],
                body=body,
                last=last,
                load=wire.load_to_message(reported),
            )
        case ReplyChunk(data, last):
            return wire.ChunkMessage(stream_id, data, last)
        case ReplyRefused(kind, detail, reported, home, fenced):
            return wire.RefusalMessage(
                stream_id=stream_id,
                kind=kind.value,
                detail=detail,
                load=wire.load_to_message(reported or load()),
                home=[wire.host_to_message(home)] if home is not None else [],
                fenced=fenced,
                retry_after_ms=event.retry_after_ms,
            )


def event_from_message(message: wire.Message) -> ReplyEvent:
    """Converts a message to an event."""
    match message:
        case wire.ReplyMessage():
            return ReplyStart(
                message.status,
                tuple((header.name, header.value) for header in message.headers),
                message.body,
                message.last,
                wire.load_from_message(message.load),
            )
        case wire.ChunkMessage():
            return ReplyChunk(message.data, message.last)
        case _:
            return ReplyRefused(
                wire.error_kind_from_code(message.kind),
                message.detail,
                wire.load_from_message(message.load),
                wire.home_from_message(message.home),
                message.fenced,
                message.retry_after_ms,
            )
