"""The table in which a home keeps its at-most-once keys."""

import collections
import dataclasses
import enum
import typing as t

from .calls import Call
from .homes import CALLER_SKEW_MS

MAX_ENTRIES = 50_000
MAX_ANSWER_BYTES = 8_000_000
ANSWER_OVERHEAD_BYTES = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A worker's answer, kept for copies of the request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The key is not in the table."""


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """A copy is running; the caller waits for its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The key has an answer, which the caller gets again."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The home cannot know whether the key has run, or cannot repeat its answer."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """This gate has promised not to run the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """The key belongs to a different request."""


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedInFuture:
    """The key was issued in the future: the caller's clock is wrong."""


KeyVerdict: t.TypeAlias = (
    Fresh | InFlight | Replay | OutcomeUnknown | Fenced | Reused | IssuedInFuture
)


class _State(enum.Enum):
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@dataclasses.dataclass(slots=True)
class _Entry:
    fingerprint: str
    expires_ms: float
    state: _State
    answer: StoredAnswer | None = None
    reason: str = ""


class KeyTable:
    """Holds the keys that this home has seen within their resend window.

    All times are milliseconds since the epoch.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._answers: collections.deque[str] = collections.deque()
        self._answer_bytes = 0

    def look_up(self, call: Call, now_ms: float) -> KeyVerdict:
        """Returns what is known of a key."""
        entry = self._entries.get(call.key)
        if entry is not None:
            return _entry_verdict(entry, call)
        if call.key_issued_ms > now_ms + CALLER_SKEW_MS:
            return IssuedInFuture()
        if call.key_issued_ms + call.resend_window_ms < now_ms:
            return OutcomeUnknown("the key is older than its resend window")
        return Fresh()

    def reserve(self, call: Call, now_ms: float) -> bool:
        """Reserves a fresh key for a run; returns False if the table is full."""
        return self._add(call, now_ms, _State.RUNNING)

    def fence(self, call: Call, now_ms: float) -> bool:
        """Promises not to run a fresh key; returns False if the table is full."""
        return self._add(call, now_ms, _State.FENCED)

    def release(self, key: str) -> None:
        """Frees a key whose request certainly did not run."""
        del self._entries[key]

    def fence_reserved(self, key: str) -> None:
        """Promises not to run a key whose request certainly did not run."""
        self._entries[key].state = _State.FENCED

    def record_answer(self, key: str, answer: StoredAnswer) -> None:
        """Stores the answer for copies of the request.

        Above `MAX_ANSWER_BYTES` in total, the oldest answers are dropped; their keys
        are then known to have run, without an answer to repeat.
        """
        entry = self._entries[key]
        entry.state = _State.ANSWERED
        entry.answer = answer
        self._answers.append(key)
        self._answer_bytes += _stored_bytes(answer)
        while self._answer_bytes > MAX_ANSWER_BYTES and len(self._answers) > 1:
            self._drop_oldest_answer()

    def mark_outcome_unknown(self, key: str, reason: str) -> None:
        """Records that the request may have run, without an answer to repeat."""
        entry = self._entries[key]
        entry.state = _State.UNKNOWN
        entry.reason = reason

    def _drop_oldest_answer(self) -> None:
        entry = self._entries.get(self._answers.popleft())
        if entry is None or entry.answer is None:
            return
        self._answer_bytes -= _stored_bytes(entry.answer)
        entry.answer = None
        entry.state = _State.UNKNOWN
        entry.reason = "the request ran, but its answer is no longer kept"

    def _add(self, call: Call, now_ms: float, state: _State) -> bool:
        if len(self._entries) >= MAX_ENTRIES:
            self._forget_expired(now_ms)
        if len(self._entries) >= MAX_ENTRIES:
            return False
        expires_ms = now_ms + call.resend_window_ms + CALLER_SKEW_MS
        self._entries[call.key] = _Entry(call.fingerprint, expires_ms, state)
        return True

    def _forget_expired(self, now_ms: float) -> None:
        for key, entry in list(self._entries.items()):
            if entry.expires_ms > now_ms or entry.state is _State.RUNNING:
                continue
            del self._entries[key]
            if entry.answer is not None:
                self._answer_bytes -= _stored_bytes(entry.answer)


def _stored_bytes(answer: StoredAnswer) -> int:
    return len(answer.body) + ANSWER_OVERHEAD_BYTES


def _entry_verdict(entry: _Entry, call: Call) -> KeyVerdict:
    if entry.fingerprint != call.fingerprint:
        return Reused()
    match entry.state:
        case _State.RUNNING:
            return InFlight()
        case _State.FENCED:
            return Fenced()
        case _State.ANSWERED:
            return Replay(t.cast(StoredAnswer, entry.answer))
        case _State.UNKNOWN:
            return OutcomeUnknown(entry.reason)
