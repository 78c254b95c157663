"""Assembles a published version and compiles it into one frozen snapshot."""

import dataclasses
import functools
import typing as t

import msgspec

from .digests import digest
from .exceptions import ConfigError
from .exceptions import ErrorKind
from .exceptions import VersionError
from .nodes import Config
from .nodes import Domain
from .nodes import DomainState
from .nodes import OperatorsFile
from .nodes import Route
from .nodes import TeamFile
from .publication import Head
from .publication import MAX_VALUE_BYTES
from .publication import Root
from .publication import ServiceRef
from .publication import Shard
from .publication import SHARD_COUNT
from .publication import shard_index
from .validation import check_fleet
from .validation import SourceFile
from .workspaces import CredentialTable
from .workspaces import EMPTY_CREDENTIALS
from .workspaces import Workspace

T = t.TypeVar("T", bound=Config)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service that receives a share of a route's requests."""

    team_file: TeamFile
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class BoundRoute:
    """A route together with the services that run its requests.

    Attributes:
        route: the route.
        team_file: file of the service that runs its requests, unless they are split.
        shares: services that share its requests; empty if one service runs all.
        is_open: whether callers need no key where others do.
    """

    route: Route
    team_file: TeamFile
    shares: tuple[Share, ...] = ()
    is_open: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that its requests may go to."""
        if not self.shares:
            return (self.team_file.service,)
        return tuple(share.team_file.service for share in self.shares)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A complete, validated and immutable configuration.

    Attributes:
        head: version and root digest.
        services: team files by service name.
        domains: failure domains by name.
        routes: routes, longest path first.
        workspaces: workspaces by name; if there are none, callers need no key.
        credentials: finds the workspace of a caller's key.
    """

    head: Head
    services: t.Mapping[str, TeamFile]
    domains: t.Mapping[str, Domain]
    routes: tuple[BoundRoute, ...]
    workspaces: t.Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    credentials: CredentialTable = EMPTY_CREDENTIALS

    def match(self, method: str, path: str, host: str = "") -> BoundRoute | None:
        """Returns the longest route that covers a request, or None."""
        for prefix in _prefixes(path, self._longest_path):
            for bound in self.routes_by_path.get(prefix, ()):
                route = bound.route
                if method in route.methods and route.host in ("", host):
                    return bound
        return None

    def is_open(self, method: str, path: str, host: str = "") -> bool:
        """Returns whether a request needs no key because of its route."""
        if not self._has_open_routes:
            return False
        bound = self.match(method, path, host)
        return bound is not None and bound.is_open

    @functools.cached_property
    def _has_open_routes(self) -> bool:
        return any(bound.is_open for bound in self.routes)

    @functools.cached_property
    def _longest_path(self) -> int:
        return max((len(bound.route.path) for bound in self.routes), default=0)

    @functools.cached_property
    def routes_by_path(self) -> t.Mapping[str, tuple[BoundRoute, ...]]:
        """Routes by path, in the order in which `match` tries them.

        Routes of one host precede those of any host.
        """
        found: dict[str, list[BoundRoute]] = {}
        for bound in sorted(self.routes, key=lambda bound: not bound.route.host):
            found.setdefault(bound.route.path, []).append(bound)
        return {path: tuple(routes) for path, routes in found.items()}

    def is_out(self, domain: str) -> bool:
        """Returns whether operators took a failure domain out of service."""
        found = self.domains.get(domain)
        return found is not None and found.state is DomainState.OUT


@dataclasses.dataclass(frozen=True, slots=True)
class AssembledVersion:
    """A complete version.

    Attributes:
        snapshot: the compiled configuration.
        values: bytes by digest, of the root and every value that it references.
        decoded: decoded values by digest.
    """

    snapshot: Snapshot
    values: t.Mapping[str, bytes]
    decoded: t.Mapping[str, Config]


EMPTY_SNAPSHOT = Snapshot(Head(version=0, root=""), {}, {}, ())
EMPTY_ASSEMBLED = AssembledVersion(EMPTY_SNAPSHOT, {}, {})


def missing_values(head: Head, values: t.Mapping[str, bytes]) -> list[str]:
    """Returns digests still needed to assemble a version, those next to the root first.

    Raises:
        ConfigError: a value that was received cannot be decoded.
    """
    if head.root not in values:
        return [head.root]
    root = _decode(values, head.root, Root)
    named = [root.operators, *root.shards]
    missing = [name for name in named if name not in values]
    for name in root.shards:
        if name in values:
            shard = _decode(values, name, Shard)
            missing += [r.digest for r in shard.services if r.digest not in values]
    return list(dict.fromkeys(missing))


def assemble(
    head: Head,
    values: t.Mapping[str, bytes],
    before: AssembledVersion = EMPTY_ASSEMBLED,
) -> AssembledVersion:
    """Builds a snapshot from published bytes.

    The result depends on the bytes alone, so all nodes reach the same result.

    Args:
        head: version and root digest.
        values: bytes by digest; may contain more than the version needs.
        before: an assembled version, whose values are not decoded again.

    Raises:
        VersionError: values are missing or do not have their digest.
        ConfigError: the configuration is not valid.
    """
    loader = _Loader(values, before)
    root = loader.load(head.root, Root)
    if len(root.shards) != SHARD_COUNT:
        raise ConfigError(
            ErrorKind.CONFIG_FIELD,
            f"root {head.root!r} names {len(root.shards)} shards, not {SHARD_COUNT}",
        )
    operators = loader.load(root.operators, OperatorsFile)
    team_files: list[TeamFile] = []
    for index, name in enumerate(root.shards):
        for ref in loader.load(name, Shard).services:
            team_file = loader.load(ref.digest, TeamFile)
            _check_shard_entry(index, ref, team_file)
            team_files.append(team_file)
    faults = check_fleet(operators, [SourceFile("", item) for item in team_files])
    if faults:
        raise faults[0]
    snapshot = _compile(head, operators, team_files)
    return AssembledVersion(snapshot, loader.values, loader.decoded)


def _check_shard_entry(index: int, ref: ServiceRef, team_file: TeamFile) -> None:
    if ref.service != team_file.service or shard_index(ref.service) != index:
        raise ConfigError(
            ErrorKind.CONFIG_FIELD,
            f"shard {index} names service {ref.service!r}, but value {ref.digest!r} "
            f"declares service {team_file.service!r}",
        )


def _compile(
    head: Head, operators: OperatorsFile, team_files: t.Sequence[TeamFile]
) -> Snapshot:
    services = {item.service: item for item in team_files}
    routes = [
        bind_route(route, services, item.service)
        for item in team_files
        for route in item.routes
    ]
    routes.sort(key=lambda bound: (-len(bound.route.path), bound.route.path))
    domains = {domain.name: domain for domain in operators.failure_domains}
    return Snapshot(head, services, domains, tuple(routes))


def bind_route(
    route: Route,
    services: t.Mapping[str, TeamFile],
    default_service: str,
    is_open: bool = False,
) -> BoundRoute:
    """Binds a route to the services that it names."""
    shares = tuple(Share(services[part.service], part.weight) for part in route.split)
    if shares:
        return BoundRoute(route, shares[0].team_file, shares, is_open)
    team_file = services[route.service or default_service]
    return BoundRoute(route, team_file, is_open=is_open)


def _prefixes(path: str, longest: int) -> t.Iterator[str]:
    """Yields the route paths that may cover a request's path, longest first.

    Paths of more than ``longest`` characters are left out, so that the cost is bounded
    by the routes and not by what a caller sends.
    """
    if len(path) <= longest:
        yield path
    end = min(len(path), longest + 1)
    while (slash := path.rfind("/", 0, end)) >= 0:
        if slash + 1 < len(path):
            yield path[: slash + 1]
        if slash:
            yield path[:slash]
        end = slash


class _Loader:
    """Loads values by digest and collects those that a version uses."""

    def __init__(
        self, received: t.Mapping[str, bytes], before: AssembledVersion
    ) -> None:
        self.values: dict[str, bytes] = {}
        self.decoded: dict[str, Config] = {}
        self._received = received
        self._before = before

    def load(self, name: str, kind: type[T]) -> T:
        """Returns a decoded value.

        Its bytes are checked against the digest, unless the version before has it.
        """
        known = self._before.decoded.get(name)
        if isinstance(known, kind):
            self.values[name] = self._before.values[name]
            self.decoded[name] = known
            return known
        raw = self._received.get(name)
        if raw is None:
            raise VersionError(
                ErrorKind.SNAPSHOT_INCOMPLETE, f"value {name!r} has not been received"
            )
        if digest(raw) != name:
            raise VersionError(
                ErrorKind.DIGEST_MISMATCH, f"value {name!r} has digest {digest(raw)!r}"
            )
        value = _decode(self._received, name, kind)
        self.values[name] = raw
        self.decoded[name] = value
        return value


def _decode(values: t.Mapping[str, bytes], name: str, kind: type[T]) -> T:
    raw = values[name]
    if len(raw) > MAX_VALUE_BYTES:
        raise ConfigError(
            ErrorKind.VALUE_TOO_LARGE,
            f"value {name!r} takes {len(raw)} bytes, more than {MAX_VALUE_BYTES}",
        )
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise ConfigError(ErrorKind.CONFIG_FIELD, f"value {name!r}: {error}") from error


__all__ = [
    "AssembledVersion",
    "BoundRoute",
    "EMPTY_ASSEMBLED",
    "EMPTY_SNAPSHOT",
    "Share",
    "Snapshot",
    "assemble",
    "bind_route",
    "missing_values",
]
