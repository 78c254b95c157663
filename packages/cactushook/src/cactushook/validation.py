"""Checks that a set of team files and an operators' file fit together."""

import collections
import dataclasses
import typing as t

from .exceptions import ConfigError
from .exceptions import ErrorKind
from .nodes import DomainState
from .nodes import OperatorsFile
from .nodes import TeamFile


@dataclasses.dataclass(frozen=True, slots=True)
class SourceFile:
    """A team file together with the name used for it in errors."""

    file: str
    team_file: TeamFile


def check_fleet(
    operators: OperatorsFile, sources: t.Sequence[SourceFile], operators_file: str = ""
) -> list[ConfigError]:
    """Returns every fault of a configuration, in a fixed order.

    The result depends on the content alone, so all nodes reach the same result.

    Args:
        operators: the failure domains and their states.
        sources: the team files.
        operators_file: name of the operators' file in errors.
    """
    ordered = sorted(
        sources, key=lambda source: (source.team_file.service, source.file)
    )
    return [
        *_check_domains(operators, operators_file),
        *_check_service_names(ordered),
        *_check_domain_references(operators, ordered),
        *_check_limits(ordered),
        *_check_routes(ordered),
    ]


def _check_domains(operators: OperatorsFile, file: str) -> t.Iterator[ConfigError]:
    counts = collections.Counter(domain.name for domain in operators.failure_domains)
    for name, count in sorted(counts.items()):
        if count > 1:
            yield ConfigError(
                ErrorKind.DUPLICATE_DOMAIN,
                f"failure domain {name!r} is listed {count} times",
                file=file,
                field="failure_domains",
            )
    states = {domain.state for domain in operators.failure_domains}
    if DomainState.IN not in states:
        yield ConfigError(
            ErrorKind.LAST_DOMAIN_OUT,
            "at least one failure domain must be in service",
            file=file,
            field="failure_domains",
        )


def _check_service_names(sources: t.Sequence[SourceFile]) -> t.Iterator[ConfigError]:
    owners: dict[str, SourceFile] = {}
    for source in sources:
        name = source.team_file.service
        owner = owners.setdefault(name, source)
        if owner is not source:
            yield ConfigError(
                ErrorKind.DUPLICATE_SERVICE,
                f"service {name!r} is already declared in {owner.file}",
                file=source.file,
                field="service",
            )


def _check_domain_references(
    operators: OperatorsFile, sources: t.Sequence[SourceFile]
) -> t.Iterator[ConfigError]:
    known = {domain.name for domain in operators.failure_domains}
    for source in sources:
        for index, name in enumerate(source.team_file.failure_domains):
            if name not in known:
                yield ConfigError(
                    ErrorKind.UNKNOWN_DOMAIN,
                    f"service {source.team_file.service!r} names failure domain "
                    f"{name!r}, which does not exist",
                    file=source.file,
                    field=f"failure_domains[{index}]",
                )


def _check_limits(sources: t.Sequence[SourceFile]) -> t.Iterator[ConfigError]:
    for source in sources:
        team_file = source.team_file
        limits = team_file.limits
        if not team_file.failure_domains:
            yield ConfigError(
                ErrorKind.CONFIG_FIELD,
                f"service {team_file.service!r} names no failure domain",
                file=source.file,
                field="failure_domains",
            )
        if limits.connections < limits.slots:
            yield ConfigError(
                ErrorKind.LIMIT_OUT_OF_RANGE,
                f"service {team_file.service!r} has {limits.slots} slots but only "
                f"{limits.connections} connections",
                file=source.file,
                field="limits.connections",
            )


def _check_routes(sources: t.Sequence[SourceFile]) -> t.Iterator[ConfigError]:
    services = {source.team_file.service for source in sources}
    owners: dict[str, tuple[SourceFile, int]] = {}
    for source in sources:
        for index, route in enumerate(source.team_file.routes):
            field = f"routes[{index}]"
            if route.service is not None and route.service not in services:
                yield ConfigError(
                    ErrorKind.UNKNOWN_SERVICE,
                    f"route {route.path!r} names service {route.service!r}, "
                    "which does not exist",
                    file=source.file,
                    field=f"{field}.service",
                )
            for part_index, part in enumerate(route.split):
                if part.service not in services:
                    yield ConfigError(
                        ErrorKind.UNKNOWN_SERVICE,
                        f"route {route.path!r} names service {part.service!r}, "
                        "which does not exist",
                        file=source.file,
                        field=f"{field}.split[{part_index}].service",
                    )
            if route.split and not any(part.weight for part in route.split):
                yield ConfigError(
                    ErrorKind.LIMIT_OUT_OF_RANGE,
                    f"route {route.path!r} is split, but every weight is 0",
                    file=source.file,
                    field=f"{field}.split",
                )
            for method in sorted(set(route.methods)):
                claim = f"{method} {route.host}{route.path}"
                owner, owner_index = owners.setdefault(claim, (source, index))
                if owner is not source or owner_index != index:
                    yield ConfigError(
                        ErrorKind.DUPLICATE_ROUTE,
                        f"route {claim!r} is already claimed by service "
                        f"{owner.team_file.service!r} in {owner.file}",
                        file=source.file,
                        field=f"{field}.path",
                    )
