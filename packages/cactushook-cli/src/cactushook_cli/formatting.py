"""Formats the output of the commands as text and defines it as JSON."""

import collections
import dataclasses
import typing as t

from cactushook.exceptions import one_line
from cactushook.findings import Finding
from cactushook.findings import Severity
from cactushook.reports import Explanation
from cactushook.reports import ReasonCount
from cactushook.reports import Status

from . import fleet_files


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Holds the outcome of ``check``.

    Attributes:
        services: number of team files.
        together: whether references between the files were checked.
        findings: findings about the configuration.
        against: version that it was compared with; None without a comparison, and 0 if
            the files compared with have no version.
        differences: what differs from that version.
    """

    services: int
    together: bool
    findings: tuple[Finding, ...] = ()
    against: int | None = None
    differences: tuple[Finding, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DomainChange:
    """Holds the outcome of ``domain out`` and ``domain in``."""

    name: str
    state: str
    changed: bool


def format_check(shown: CheckResult) -> str:
    """Returns the outcome of ``check`` as lines of text, a summary last."""
    lines = [_format_finding(item) for item in shown.findings]
    lines += [_format_finding(item) for item in shown.differences]
    counts = collections.Counter(item.severity for item in shown.findings)
    summary = f"{'errors' if counts[Severity.ERROR] else 'ok'}: "
    summary += f"{shown.services} services"
    for severity in (Severity.ERROR, Severity.WARNING, Severity.NOTE):
        if counts[severity]:
            summary += f", {_format_number(counts[severity], severity.value)}"
    if shown.against is not None:
        place = f"version {shown.against}" if shown.against else "the files in force"
        number = _format_number(len(shown.differences), Severity.DIFFERENCE.value)
        summary += f", {number} from {place}"
    if not shown.together:
        summary += (
            f"; without {fleet_files.OPERATORS_FILE_NAME}, each file was checked alone"
        )
    return "\n".join((*lines, summary))


def _format_finding(shown: Finding) -> str:
    text = f"{shown.severity.value}: {shown.place}: {shown.code.value}: {shown.text}"
    return one_line(text)


def _format_number(number: int, noun: str) -> str:
    return f"{number} {noun}{'' if number == 1 else 's'}"


def format_status(shown: Status) -> str:
    """Returns a node's state as lines of text."""
    ready = "yes" if shown.ready else f"no: {shown.reason}"
    domains = ", ".join(f"{domain.name} {domain.state}" for domain in shown.domains)
    return "\n".join(
        (
            f"host: {shown.host} in {shown.domain}, role {shown.role}",
            f"ready: {ready}",
            f"version: {shown.version} root {shown.digest or '-'}",
            f"age: {shown.age_ms / 1_000:.1f} s",
            f"failure domains: {domains or '-'}",
            f"hosts: {shown.hosts}, leaving: {', '.join(shown.leaving_hosts) or '-'}",
            f"refusals: {_format_counts(shown.refusals)}",
            f"retries: {_format_counts(shown.retries)}",
        )
    )


def format_explanation(shown: Explanation) -> str:
    """Returns a routing decision as lines of text."""
    if not shown.route:
        return f"version: {shown.version}\nroute: none, {shown.reason}"
    worker = f"{shown.host} in {shown.domain}" if shown.host else "-"
    lines = [
        f"version: {shown.version}",
        f"route: {shown.route}, {shown.route_class}, {shown.visibility}",
        f"key: {'needed' if shown.needs_key else 'not needed'}",
        f"service: {shown.service}",
        f"worker: {worker}, {shown.reason}",
    ]
    lines += [f"other worker: {p.host} in {p.domain}, {p.reason}" for p in shown.passed]
    return "\n".join(lines)


def _format_counts(counts: t.Iterable[ReasonCount]) -> str:
    return ", ".join(f"{item.kind} {item.count}" for item in counts) or "-"
