"""Checks a serving transcript against the promises in `docs/PROMISES.md`."""

import collections
import dataclasses
import typing as t

from cactushook import DomainState
from cactushook import ERROR_RESPONSES
from cactushook import Ran

from bench import serving_events as events

NEW_WORK_BOUND_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Holds the name of a check that failed and what it found."""

    check: str
    detail: str


Transcript: t.TypeAlias = t.Sequence[events.Event]
Check: t.TypeAlias = t.Callable[[Transcript], t.Iterator[str]]


def check(transcript: Transcript) -> list[Violation]:
    """Returns the violations of all checks."""
    return [
        Violation(name, detail)
        for name, checker in CHECKS.items()
        for detail in checker(transcript)
    ]


def duplicate_runs(transcript: Transcript) -> t.Iterator[str]:
    """Yields the keys that ran more than once."""
    runs: dict[str, list[str]] = collections.defaultdict(list)
    for event in transcript:
        if isinstance(event, events.Started) and event.key:
            runs[event.key].append(event.host)
    for key, hosts in runs.items():
        if len(hosts) > 1:
            yield f"{key} ran at {hosts}"


def false_not_run(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests reported as not run that ran before or after the report."""
    ran: set[str] = set()
    refused: set[str] = set()
    for event in sorted(transcript, key=lambda item: item.at_ms):
        match event:
            case events.Started(label=label, key=key):
                ran.add(key or label)
                if label in refused:
                    yield f"{label} {key} ran after its refusal"
            case events.Failed(label=label, key=key, kind=kind):
                if ERROR_RESPONSES[kind].ran is not Ran.NO:
                    continue
                refused.add(label)
                if (key or label) in ran:
                    yield f"{label} {key} was refused as {kind.value}"


def work_at_out_domain(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests begun in a domain that went out longer ago than the bound."""
    out_ms: dict[str, float] = {}
    for event in transcript:
        match event:
            case events.DomainSet(at_ms, domain, DomainState.OUT):
                out_ms[domain] = at_ms
            case events.DomainSet(_, domain, DomainState.IN):
                out_ms.pop(domain, None)
            case events.Started(at_ms=at_ms, label=label, host=host):
                for domain, since_ms in out_ms.items():
                    if f"-{domain}-" in host and at_ms > since_ms + NEW_WORK_BOUND_MS:
                        yield f"{label} began at {host}"


def work_at_leaving_host(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests begun at a host that left longer ago than the bound."""
    left_ms: dict[str, float] = {}
    for event in transcript:
        match event:
            case events.HostLeaves(at_ms, host):
                left_ms[host] = at_ms
            case events.Fault(detail=detail) if detail.startswith("revive "):
                left_ms.pop(detail.removeprefix("revive "), None)
            case events.Started(at_ms=at_ms, label=label, host=host):
                if at_ms > left_ms.get(host, at_ms) + NEW_WORK_BOUND_MS:
                    yield f"{label} began at {host}"


def slots_exceeded(transcript: Transcript) -> t.Iterator[str]:
    """Yields the workers that ran more requests than they have slots."""
    for event in transcript:
        if isinstance(event, events.Started) and event.running > event.slots:
            yield f"{event.host} ran {event.running} of {event.slots}"


def cold_worker_overloaded(transcript: Transcript) -> t.Iterator[str]:
    """Yields the overloads of workers in a cold start."""
    for event in transcript:
        if isinstance(event, events.Fault) and event.detail.startswith("overload "):
            yield event.detail


def half_answer_as_whole(transcript: Transcript) -> t.Iterator[str]:
    """Yields the truncated answers that were presented as complete."""
    for event in transcript:
        claimed = isinstance(event, events.Answered) and event.claimed_whole
        if claimed and not event.whole:
            yield event.label


def wrong_answer(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests that received the answer to another request."""
    keys = {e.label: e.key for e in transcript if isinstance(e, events.RequestSent)}
    for event in transcript:
        if not isinstance(event, events.Answered) or event.answer_of == event.label:
            continue
        key = keys[event.label]
        if not key or keys.get(event.answer_of) != key:
            yield f"{event.label} got the answer to {event.answer_of}"


def idle_slots(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests that waited while their worker had an idle slot."""
    for event in transcript:
        if isinstance(event, events.Waiting):
            yield f"{event.queued} waited at {event.host} with {event.idle} idle"


def left_without_end(transcript: Transcript) -> t.Iterator[str]:
    """Yields the requests that received neither an answer nor a refusal."""
    asked = {e.label for e in transcript if isinstance(e, events.RequestSent)}
    ends = (events.Answered, events.Failed)
    yield from asked - {e.label for e in transcript if isinstance(e, ends)}


CHECKS: dict[str, Check] = {
    checker.__name__: checker
    for checker in (
        duplicate_runs,
        false_not_run,
        work_at_out_domain,
        work_at_leaving_host,
        slots_exceeded,
        cold_worker_overloaded,
        half_answer_as_whole,
        wrong_answer,
        idle_slots,
        left_without_end,
    )
}
