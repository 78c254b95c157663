"""Publications, sessions and invariant checks of the distribution features."""

import collections

import msgspec
from cactushook import ErrorKind
from cactushook import HostState
from cactushook import messages
from cactushook import OperatorsFile
from cactushook import publish
from cactushook import Route
from cactushook import RouteClass
from cactushook import TeamFile
from cactushook.nodes import Domain
from cactushook.nodes import DomainState
from cactushook.nodes import Limits

from bench.distribution_world import make_hosts
from bench.distribution_world import World

SOURCE_CALLS_LIMIT = 2_000
CONVERGENCE_LIMIT_MS = 4_000
SAMPLE_MS = 100
SERVICES = 12


class Configuration:
    """The operators' and the teams' files and the versions built from them."""

    def __init__(self, regions, domains):
        self.operators = OperatorsFile(
            failure_domains=tuple(
                Domain(name=f"d{i:02d}", region=f"r{i % regions}")
                for i in range(domains)
            )
        )
        self.teams = {
            f"s{i:03d}": self._make_team_file(f"s{i:03d}") for i in range(SERVICES)
        }
        self.published = {}
        self.invalid = set()

    def _make_team_file(self, service):
        return TeamFile(
            service=service,
            team="paddles",
            failure_domains=("d00", "d01"),
            limits=Limits(slots=12, connections=110),
            routes=(Route(path=f"/{service}", route_class=RouteClass.IDEMPOTENT),),
        )

    def build_publication(self, version):
        """Builds a version in which one service's team changed its file."""
        service = f"s{version % SERVICES:03d}"
        team = f"paddles-{version}"
        self.teams[service] = msgspec.structs.replace(self.teams[service], team=team)
        return self._build(version)

    def build_domain_out(self, version, name):
        """Builds a version in which a failure domain is out of service."""
        self.operators = OperatorsFile(
            failure_domains=tuple(
                msgspec.structs.replace(d, state=DomainState.OUT)
                if d.name == name
                else d
                for d in self.operators.failure_domains
            )
        )
        return self._build(version)

    def build_invalid_publication(self, version):
        """Builds a version with a route to a service that does not exist."""
        route = Route(
            path="/lost", route_class=RouteClass.IDEMPOTENT, service="missing"
        )
        team = msgspec.structs.replace(self.teams["s000"], routes=(route,))
        built = publish(version, self.operators, [*self._other_teams(), team])
        self.invalid.add(built.head)
        return built

    def _other_teams(self):
        return [team for name, team in self.teams.items() if name != "s000"]

    def _build(self, version):
        built = publish(version, self.operators, self.teams.values())
        self.published[built.head] = (self.operators, dict(self.teams))
        return built


class Checker:
    """Collects violations of the invariants over a whole session."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.violations = collections.Counter()
        self.refusals = collections.Counter()
        self._verdicts = {}
        self._highest = {}

    def observe(self, state, action, now_ms):
        match action:
            case messages.ApplySnapshot(snapshot):
                self._check_applied(state, snapshot)
            case messages.RefuseVersion(head, error):
                self.refusals[error.kind.value] += 1
                if error.kind is not ErrorKind.VERSION_CONFLICT:
                    self._check_verdict(head, error.kind)

    def sample(self, world):
        """Checks all ready nodes; compares versions by host name, across restarts."""
        for state in world.running_nodes():
            if not state.distributor.readiness(world.now_ms).ready:
                continue
            highest = self._highest.get(state.record.name, 0)
            if state.version < highest:
                self.violations["version decreased"] += 1
            self._highest[state.record.name] = max(highest, state.version)
        if world.source.max_calls_per_s > SOURCE_CALLS_LIMIT:
            self.violations["source calls over the limit"] += 1

    def check_converged(self, world, version):
        behind = [s for s in world.running_nodes() if s.version < version]
        if behind:
            self.violations["not converged"] += 1

    def _check_applied(self, state, snapshot):
        versions = [version for version, _ in state.applied]
        if versions != sorted(set(versions)):
            self.violations["version decreased"] += 1
        self._check_verdict(snapshot.head, None)
        for bound in snapshot.routes:
            service = snapshot.services.get(
                bound.route.service or bound.team_file.service
            )
            known = service and set(service.failure_domains) <= snapshot.domains.keys()
            if not known:
                self.violations["route to a missing resource"] += 1
        self._check_complete(snapshot)

    def _check_complete(self, snapshot):
        expected = self.configuration.published.get(snapshot.head)
        if expected is None:
            return
        operators, teams = expected
        domains = {domain.name: domain for domain in operators.failure_domains}
        if snapshot.services != teams or snapshot.domains != domains:
            self.violations["partly applied"] += 1

    def _check_verdict(self, head, kind):
        if self._verdicts.setdefault(head, kind) is not kind:
            self.violations["different verdicts"] += 1


class Session:
    """A simulated world with its configuration, checker and transcript."""

    def __init__(self, transcript, hosts, domains, regions, seed, **options):
        self.transcript = transcript
        self.configuration = Configuration(regions, domains)
        self.checker = Checker(self.configuration)
        self.records = make_hosts(regions, domains, hosts, SERVICES)
        self.world = World(self.records, seed, observer=self.checker.observe, **options)
        self.world.list_all_hosts()
        self.version = 0
        self.good_version = 0

    def log(self, text):
        self.transcript.append(f"{self.world.now_ms:>9.0f} ms  {text}")

    def run(self, length_ms):
        end_ms = self.world.now_ms + length_ms
        while self.world.now_ms < end_ms:
            self.world.run_until(min(end_ms, self.world.now_ms + SAMPLE_MS))
            self.checker.sample(self.world)

    def run_and_log(self, length_ms):
        self.run(length_ms)
        self.log(self.summary())

    def summary(self):
        states = list(self.world.running_nodes())
        versions = collections.Counter(state.version for state in states)
        ready = sum(s.distributor.readiness(self.world.now_ms).ready for s in states)
        refusals = dict(sorted(self.checker.refusals.items()))
        return (
            f"versions {dict(sorted(versions.items()))}, ready {ready} of "
            f"{len(states)}, refused {refusals}"
        )

    def publish(self):
        self.version += 1
        self.good_version = self.version
        self._publish(self.configuration.build_publication(self.version), "published")

    def publish_invalid(self):
        self.version += 1
        self._publish(
            self.configuration.build_invalid_publication(self.version),
            "published, not valid",
        )

    def take_domain_out(self, domain):
        self.version += 1
        self.good_version = self.version
        built = self.configuration.build_domain_out(self.version, domain)
        self._publish(built, f"published: {domain} is out")

    def _publish(self, built, text):
        self.world.publish(built)
        self.log(f"version {built.head.version} {text}")

    def host_names(self, domain):
        return [record.name for record in self.records if record.domain == domain]

    def readers(self):
        """Returns the names of the running nodes that see themselves as readers."""
        found = []
        for state in self.world.running_nodes():
            domain = state.record.domain
            if state.record.name in state.membership.view(domain).readers:
                found.append(state.record.name)
        return found

    def count_states(self, name):
        """Counts in which states the other running nodes see a host."""
        records = (
            state.membership.get(name)
            for state in self.world.running_nodes()
            if state.record.name != name
        )
        counts = collections.Counter(
            record.state.value if record else "unknown" for record in records
        )
        return dict(sorted(counts.items()))

    def is_known_as(self, name, state: HostState):
        return self.count_states(name) == {
            state.value: self._count_others_running(name)
        }

    def _count_others_running(self, name):
        return sum(s.record.name != name for s in self.world.running_nodes())
