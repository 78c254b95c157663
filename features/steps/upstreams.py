"""Steps on the choice of the upstreams that a node's copy of the store comes from."""

import collections
import random

from behave import given
from behave import then
from behave import when
from cactushook import HostRecord
from cactushook.upstreams import Upstreams

STEP_MS = 50.0
SETTLED_MS = 3_000.0


def make_host(domain, number):
    name = f"{domain}-{number}"
    return HostRecord(
        name=name,
        address=f"address-{name}",
        domain=domain,
        region="r",
        service="s",
        incarnation=1,
    )


class Node:
    """Drives a node's choice of upstreams in steps of virtual time."""

    def __init__(self, own, hosts=(), seeds=(), seed=1):
        self.now_ms = 0.0
        self.own = own
        self.upstreams = Upstreams(own, seeds, random.Random(seed), 0.0)
        self.upstreams.update_hosts(hosts)
        self.plan = self.upstreams.plan(0.0)

    def run(self, length_ms, fresh_at=lambda address: True, until=None):
        """Passes on the status of each followed node until the time is over.

        Args:
            length_ms: longest time to run.
            fresh_at: returns whether the node at an address is up to date, or None
                if it does not answer.
            until: ends the run early once it is true for the plan.

        Returns:
            The time taken, in milliseconds.
        """
        started_ms = self.now_ms
        while self.now_ms < started_ms + length_ms:
            for address in self.plan.follow_addresses:
                is_fresh = fresh_at(address)
                if is_fresh is not None:
                    self.upstreams.on_upstream_status(address, is_fresh, self.now_ms)
            self.now_ms += STEP_MS
            self.plan = self.upstreams.plan(self.now_ms)
            if until is not None and until(self.plan):
                break
        return self.now_ms - started_ms


@given("failure domains of {first:d}, {second:d} and {third:d} hosts")
def domains(context, first, second, third):
    sizes = {"a": first, "b": second, "c": third}
    context.hosts = [
        make_host(domain, number)
        for domain, size in sizes.items()
        for number in range(size)
    ]
    context.nodes = [Node(own, context.hosts, seed=own.name) for own in context.hosts]


def find_readers(context):
    return [node.own for node in context.nodes if node.upstreams.is_reader]


@then("{first:d}, {second:d} and {third:d} of their hosts read the store")
def few_read(context, first, second, third):
    found = collections.Counter(reader.domain for reader in find_readers(context))
    assert found == {"a": first, "b": second, "c": third}, found


@then("every other node follows two readers, the first one in its own domain")
def follow_two(context):
    domain_of = {reader.address: reader.domain for reader in find_readers(context)}
    for node in context.nodes:
        if node.upstreams.is_reader:
            continue
        first, second = node.plan.follow_addresses
        assert domain_of[first] == node.own.domain
        assert domain_of[second] != node.own.domain


@then("no node follows itself")
def not_itself(context):
    assert all(
        node.own.address not in node.plan.follow_addresses for node in context.nodes
    )


def find_first(context, but=None):
    """Returns the readers that hold themselves for the first one."""
    nodes = [node for node in context.nodes if node.own.address != but]
    return [node.own.address for node in nodes if node.plan.is_first_reader]


@then("just one reader is the first")
def one_first(context):
    assert len(find_first(context)) == 1, find_first(context)


@then(
    "every other reader gets its changes from one nearer to the first, at most "
    "{most:d} away"
)
def readers_tree(context, most):
    first = find_first(context)[0]
    readers = [node for node in context.nodes if node.upstreams.is_reader]
    source = {n.own.address: n.plan.follow_addresses[0] for n in readers}
    for address in source:
        steps = 0
        while address != first:
            address = source[address]
            steps += 1
            assert steps <= most, (address, steps)


@when("the first reader stops answering")
def first_silent(context):
    context.silent = find_first(context)[0]


@then("just one other reader is the first within {limit_ms:d} ms")
def other_first(context, limit_ms):
    for node in context.nodes:
        if node.own.address != context.silent:
            node.run(
                limit_ms, lambda address: None if address == context.silent else True
            )
    assert len(find_first(context, but=context.silent)) == 1


@then("no reader has more than {limit:d} followers that it sends changes to")
def share_followers(context, limit):
    firsts = collections.Counter(
        node.plan.follow_addresses[0]
        for node in context.nodes
        if not node.upstreams.is_reader
    )
    assert max(firsts.values()) <= limit, firsts


@given("a node that follows two readers")
def follower(context):
    hosts = [make_host(domain, number) for domain in "abc" for number in range(20)]
    nodes = (Node(own, hosts) for own in hosts)
    context.node = next(node for node in nodes if not node.upstreams.is_reader)
    context.node.run(SETTLED_MS)
    assert not context.node.plan.should_read_store
    context.first = context.node.plan.follow_addresses[0]


@when("its first reader stops answering")
def first_stops_answering(context):
    context.answers = lambda address: None if address == context.first else True


@when("its first reader reports that it is not up to date")
def first_behind(context):
    context.answers = lambda address: address != context.first


@then("it follows another one within {limit_ms:d} ms")
def follows_another(context, limit_ms):
    def has_left_first(plan):
        return context.first not in plan.follow_addresses

    took_ms = context.node.run(10_000, context.answers, has_left_first)
    assert took_ms <= limit_ms, took_ms
    assert len(context.node.plan.follow_addresses) == 2


@then("it does not read the store")
def does_not_read(context):
    context.node.run(500, context.answers)
    assert not context.node.plan.should_read_store


@when("all readers stop answering")
def all_stop_answering(context):
    context.answers = lambda address: None


@then("it reads the store within {limit_ms:d} ms")
def reads_within(context, limit_ms):
    took_ms = context.node.run(
        10_000, context.answers, lambda plan: plan.should_read_store
    )
    assert took_ms <= limit_ms, took_ms


@when("a reader is up to date again")
def fresh_again(context):
    context.node.run(SETTLED_MS)


@then("it stops reading the store")
def stops(context):
    assert not context.node.plan.should_read_store


@when("no reader is up to date")
def none_fresh(context):
    context.began_ms = [
        node.run(10_000, lambda address: None, lambda plan: plan.should_read_store)
        for node in context.nodes
        if not node.upstreams.is_reader
    ]


@then("its nodes start reading over more than {least_ms:d} ms")
def starts_spread(context, least_ms):
    assert max(context.began_ms) - min(context.began_ms) > least_ms


@given("a node that knows two seeds and no hosts")
def starting(context):
    context.node = Node(make_host("a", 1), seeds=("seed-1", "seed-2"))


@then("it follows both seeds and does not read")
def follows_seeds(context):
    assert set(context.node.plan.follow_addresses) == {"seed-1", "seed-2"}
    assert not context.node.plan.should_read_store


@when("{length_ms:d} ms pass without an answer")
def no_answer(context, length_ms):
    context.node.run(length_ms, lambda address: None)


@given("a node that is a seed and knows no hosts")
def seed_starting(context):
    own = make_host("a", 1)
    context.node = Node(own, seeds=(own.address, "seed-2"))


@then("it reads the store")
@then("it reads the store at once")
def reads(context):
    assert context.node.plan.should_read_store
