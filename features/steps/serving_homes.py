"""Steps for the homes of keys, with random views, starts and departures."""

import collections
import random
from unittest import mock

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import Call
from cactushook import HostRecord
from cactushook import HostState
from cactushook import key_table
from cactushook import KeyTable
from cactushook import Membership
from cactushook import RouteClass
from cactushook.homes import Acknowledgement
from cactushook.homes import ConfirmedHome
from cactushook.homes import Homes
from cactushook.homes import NotYetHome
from cactushook.homes import ranking

RESEND_WINDOW_MS = 600_000
MAX_GATES = 9
EXCHANGE_PROBABILITY = 0.15
HOST_SKEW_MS = 300


def keyed(key, issued_ms, fences=(), fingerprint="f"):
    return Call(
        request_id=key,
        service="s",
        route_class=RouteClass.AT_MOST_ONCE,
        deadline_ms=1e12,
        version=1,
        key=key,
        key_issued_ms=issued_ms,
        resend_window_ms=RESEND_WINDOW_MS,
        fingerprint=fingerprint,
        fences=tuple(fences),
    )


class Gate:
    """A gate reduced to its homes, its table and its view."""

    def __init__(self, name, now_ms, skew_ms):
        record = HostRecord(
            name=name,
            address=name,
            domain="d",
            region="r",
            service="s",
            incarnation=int(now_ms + skew_ms),
        )
        self.members = Membership(record)
        self.skew_ms = skew_ms
        self.homes = Homes(record)
        self.table = KeyTable()
        self.accepting = True

    @property
    def record(self):
        return self.members.own

    def serve(self, call, now_ms):
        """Returns "run", "fence", "refuse", or the host that must be asked first."""
        now_ms += self.skew_ms
        match self.table.look_up(call, now_ms):
            case key_table.Fresh():
                pass
            case key_table.Fenced():
                return "fence"
            case _:
                return "refuse"
        self.homes.record_departures(self.members.hosts, now_ms)
        verdict = self.homes.classify_key(call, self.members.hosts)
        if isinstance(verdict, ConfirmedHome) and self.accepting:
            self.table.reserve(call, now_ms)
            self.table.mark_outcome_unknown(
                call.key, "the caller did not receive the answer"
            )
            return "run"
        if isinstance(verdict, ConfirmedHome | NotYetHome):
            self.table.fence(call, now_ms)
            return "fence"
        return getattr(verdict, "host", "refuse")


class Service:
    """Simulates entries, and gates that start, leave and learn of each other late."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 1_000_000.0
        self.gates = {}
        self.runs = collections.defaultdict(list)
        self.keys = {}
        first = self.start()
        first.homes.on_host_list_read()

    def start(self):
        name = f"h{len(self.gates)}"
        gate = Gate(name, self.now_ms, self.rng.uniform(0, HOST_SKEW_MS))
        # The list that a new gate reads is stale, but names a home if there is one.
        known = [g for g in self.gates.values() if self.is_home(g)]
        for other in known[:1] + self.rng.sample(
            known, self.rng.randint(0, len(known))
        ):
            gate.members.merge(other.record)
        self.gates[name] = gate
        return gate

    def is_home(self, gate):
        return gate.homes.home_since_ms(gate.members.hosts) is not None

    def exchange(self):
        """Lets a random gate learn from another one.

        A gate that lacks acknowledgements exchanges records with one of the hosts that
        owe it one, and receives it. Any other gate merges the record of a random gate.
        """
        gate = self.rng.choice(list(self.gates.values()))
        pending = gate.homes.pending_acknowledgers(gate.members.hosts)
        if not pending:
            other = self.rng.choice(list(self.gates.values()))
            gate.members.merge(other.record)
            return
        other = self.gates[self.rng.choice(pending).name]
        other.members.merge(gate.record)
        for record in list(other.members.hosts):
            gate.members.merge(record)
        at_ms = self.now_ms + other.skew_ms
        acknowledgement = Acknowledgement(
            other.record.name, other.record.incarnation, at_ms
        )
        gate.homes.record_acknowledgement(acknowledgement)

    def leave(self):
        staying = [g for g in self.gates.values() if g.accepting]
        if len(staying) > 2:
            gate = self.rng.choice(staying)
            gate.accepting = False
            gate.members.change_state(HostState.LEAVING)

    def send(self, key, issued_ms):
        """Sends a key through an entry that knows some of the hosts."""
        gates = list(self.gates.values())
        view = self.rng.sample(gates, self.rng.randint(1, len(gates)))
        hosts = {gate.record.name: gate.record for gate in view}
        fences = []
        for _ in range(12):
            unfenced = [
                h for h in ranking(key, "s", hosts.values()) if h.name not in fences
            ]
            if not unfenced:
                return
            gate = self.gates[unfenced[0].name]
            answer = gate.serve(keyed(key, issued_ms, fences), self.now_ms)
            if answer == "run":
                self.runs[key].append(gate.record.name)
                return
            if answer == "fence":
                fences.append(gate.record.name)
            elif isinstance(answer, HostRecord) and answer.name not in hosts:
                hosts[answer.name] = answer
            else:
                return

    def step(self):
        self.now_ms += self.rng.uniform(0, 60)
        if self.rng.random() < EXCHANGE_PROBABILITY:
            self.exchange()
        if len(self.gates) < MAX_GATES and self.rng.random() < 0.02:
            self.start()
        if self.rng.random() < 0.004:
            self.leave()
        for key, issued_ms in self.rng.sample(
            sorted(self.keys.items()), min(3, len(self.keys))
        ):
            self.send(key, issued_ms)


@given("gates that do not wait for acknowledgements")
def no_wait_for_acknowledgements(context):
    def home_since_ms(self, hosts):
        return float(self._own.incarnation)

    patch = mock.patch.object(Homes, "home_since_ms", home_since_ms)
    context.resources.enter_context(patch)


@given(
    "a service whose hosts start, leave and learn of each other at random, "
    "seed {seed:d}"
)
def service(context, seed):
    context.service = Service(seed)


@when("{count:d} keys are each sent several times through entries with different views")
def keys_sent(context, count):
    service = context.service
    for index in range(count):
        service.now_ms += service.rng.uniform(0, 40)
        issued_ms = service.now_ms + service.rng.uniform(-300, 300)
        service.keys[f"k{index}"] = issued_ms
        service.send(f"k{index}", issued_ms)
        service.step()
    for _ in range(count):
        service.step()


@then("no key ran at two gates")
def no_key_ran_twice(context):
    twice = {k: v for k, v in context.service.runs.items() if len(v) > 1}
    assert not twice, twice


@then("some key ran at two gates")
def some_key_ran_twice(context):
    assert any(len(v) > 1 for v in context.service.runs.values())


@then("most keys ran")
def most_ran(context):
    assert len(context.service.runs) > len(context.service.keys) / 2, len(
        context.service.runs
    )


@given("a home that started at {started:d} ms and is acknowledged at {at:d} ms")
def home(context, started, at):
    own = HostRecord(
        name="b", address="b", domain="d", region="r", service="s", incarnation=started
    )
    context.hosts = [own, msgspec.structs.replace(own, name="a", incarnation=1)]
    context.homes = Homes(own)
    context.homes.record_acknowledgement(Acknowledgement("a", 1, at))


@when("keys issued at these times arrive, then it decides")
def decides(context):
    for row in context.table:
        call = keyed("key", float(row["issued_ms"]), fences=("a",))
        verdict = context.homes.classify_key(call, context.hosts)
        assert type(verdict).__name__ == row["decision"], (row, verdict)


@given("a table of keys with a window of {window_ms:d} ms")
def table(context, window_ms):
    context.key_table = KeyTable()


@when("a key issued at {issued:d} ms runs and is answered at {at:d} ms")
def runs(context, issued, at):
    context.call = keyed("key", issued)
    assert context.key_table.reserve(context.call, issued)
    context.key_table.record_answer("key", key_table.StoredAnswer(200, (), b"done"))


@then('at {at:d} ms the key is "{verdict}"')
def verdict_at(context, at, verdict):
    seen = context.key_table.look_up(context.call, at)
    assert type(seen).__name__ == verdict, seen


@then('after {count:d} further keys at {at:d} ms the key is "{verdict}"')
def verdict_after_further_keys(context, count, at, verdict):
    for index in range(count):
        context.key_table.reserve(keyed(f"other-{index}", at), at)
    verdict_at(context, at, verdict)


@then('a key issued {ahead_ms:d} ms in the future is "{verdict}"')
def ahead(context, ahead_ms, verdict):
    seen = context.key_table.look_up(keyed("new", 1_000 + ahead_ms), 1_000)
    assert type(seen).__name__ == verdict, seen


@then('the same key with another body is "{verdict}"')
def reused(context, verdict):
    context.key_table.reserve(keyed("third", 700_000), 700_000)
    seen = context.key_table.look_up(keyed("third", 700_000, fingerprint="g"), 700_001)
    assert type(seen).__name__ == verdict, seen
