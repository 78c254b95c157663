"""Steps of the first golden session: one entry and several gates in virtual time."""

import heapq
import itertools
import pathlib
import random

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import Admission
from cactushook import Admitted
from cactushook import CactushookError
from cactushook import Call
from cactushook import DomainState
from cactushook import HostRecord
from cactushook import publish
from cactushook import Refused
from cactushook import RouteClass
from cactushook import Router
from cactushook import VersionStore
from cactushook_cli import fleet_files


class Session:
    """The decision code of a fleet and its events, on a virtual clock."""

    def __init__(self, config, transcript):
        fleet, faults = fleet_files.read_fleet([pathlib.Path(config)])
        assert not faults, faults
        self.operators = fleet.operators
        self.team_files = [source.team_file for source in fleet.sources]
        self.transcript = transcript
        self.now_ms = 0.0
        self.store = VersionStore()
        self.published = {}
        self.hosts = []
        self.gates = {}
        self.router = None
        self.running = {}
        self.most_running = {}
        self._events = []
        self._order = itertools.count()
        self._ids = itertools.count(1)

    def log(self, text):
        self.transcript.append(f"{self.now_ms:>8.0f} ms  {text}")

    def schedule(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self):
        while self._events:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def apply_version(self, version):
        if version not in self.published:
            self.published[version] = publish(version, self.operators, self.team_files)
        publication = self.published[version]
        try:
            snapshot = self.store.apply_version(publication.head, publication.values)
        except CactushookError as error:
            self.log(f"version {version} refused: {error.kind.value}")
            return
        self.log(f"version {version} in force")
        for host in self.hosts:
            if host.name not in self.gates:
                limits = snapshot.services[host.service].limits
                self.gates[host.name] = Admission(limits, self.now_ms)
            self.gates[host.name].domain_out = snapshot.is_out(host.domain)

    def set_domain_state(self, name, state):
        domains = tuple(
            msgspec.structs.replace(d, state=state) if d.name == name else d
            for d in self.operators.failure_domains
        )
        self.operators = msgspec.structs.replace(
            self.operators, failure_domains=domains
        )

    def send_request(self, work_ms):
        bound = self.store.snapshot.match("GET", "/catalogue")
        choice = self.router.choose(
            bound.team_file.service, self.store.snapshot, self.hosts, self.now_ms
        )
        call = Call(
            request_id=f"r{next(self._ids)}",
            service=bound.team_file.service,
            route_class=RouteClass.IDEMPOTENT,
            deadline_ms=self.now_ms + bound.route.timeout_ms,
            version=self.store.head.version,
        )
        host = choice.host
        self.log(f"{call.request_id} sent to {host.name}")
        self.router.on_request_sent(host.name)
        for verdict in self.gates[host.name].offer(call, self.now_ms):
            self.handle_verdict(host, verdict, work_ms)

    def handle_verdict(self, host, verdict, work_ms):
        match verdict:
            case Admitted(call):
                running = self.running.setdefault(host.name, set())
                running.add(call.request_id)
                peak = max(len(running), self.most_running.get(host.name, 0))
                self.most_running[host.name] = peak
                self.schedule(work_ms, self.finish_request, host, call, work_ms)
            case Refused(call, refusal):
                self.log(f"{call.request_id} refused: {refusal.kind.value}")
                self.router.on_request_ended(host.name)

    def finish_request(self, host, call, work_ms):
        gate = self.gates[host.name]
        self.running[host.name].discard(call.request_id)
        self.log(f"{call.request_id} answered by {host.name}")
        self.router.on_request_ended(host.name)
        verdicts = gate.release(call.request_id, self.now_ms)
        self.router.record_load(host.name, gate.load(self.now_ms), self.now_ms)
        for verdict in verdicts:
            self.handle_verdict(host, verdict, work_ms)


@given('the configuration in "{directory}"')
def configuration(context, directory):
    context.session = Session(directory, context.transcript)


@given("two order-desk workers in each failure domain")
def workers(context):
    context.session.hosts = [
        HostRecord(
            name=f"{domain.name}-{index}",
            address=f"10.0.0.{index}:1",
            domain=domain.name,
            region=domain.region,
            service="order-desk",
        )
        for domain in context.session.operators.failure_domains
        for index in range(2)
    ]


@given('an entry in "{domain}" with seed {seed:d}')
def entry(context, domain, seed):
    context.session.router = Router(domain, "th-central", random.Random(seed))


@when("version {version:d} is published and {pause_ms:d} ms pass")
def published(context, version, pause_ms):
    context.session.apply_version(version)
    context.session.now_ms += pause_ms


@when(
    "{count:d} catalogue reads arrive {gap_ms:d} ms apart and take {work_ms:d} ms each"
)
def reads(context, count, gap_ms, work_ms):
    session = context.session
    for index in range(count):
        session.schedule(index * gap_ms, session.send_request, work_ms)
    session.run()


@when('"{domain}" is taken out in version {version:d}')
def domain_taken_out(context, domain, version):
    context.session.set_domain_state(domain, DomainState.OUT)
    context.session.apply_version(version)


@when('"{domain}" returns in version {version:d}')
def domain_returns(context, domain, version):
    context.session.set_domain_state(domain, DomainState.IN)
    context.session.apply_version(version)


@when("version {version:d} arrives again")
def arrives_again(context, version):
    context.session.apply_version(version)


@then("no worker ran more than its slots")
def slots_respected(context):
    session = context.session
    assert session.most_running, "no worker ran a request"
    for host, peak in session.most_running.items():
        assert peak <= session.gates[host].limits.slots, (host, peak)
