"""Steps on the ranges of ports of test runs."""

import contextlib
import socket

from behave import given
from behave import then
from behave import when

from features import port_ranges
from standins.fleet import free_addresses


@given("{count:d} ranges of ports, of which another run holds {held:d}")
def ranges(context, count, held):
    addresses = free_addresses(count)
    context.ports = [int(address.rpartition(":")[2]) for address in addresses]
    context.held = context.ports[:held]
    for port in context.held:
        holder = context.resources.enter_context(socket.socket())
        holder.bind(("127.0.0.1", port))


@when("{count:d} processes claim a range")
def claims(context, count):
    context.claimed = []
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            try:
                claimed = stack.enter_context(port_ranges.claim(context.ports))
            except OSError as error:
                claimed = error
            context.claimed.append(claimed)


@then("{count:d} of them get one that nobody holds, and the third fails")
def distinct(context, count):
    *claimed, failure = context.claimed
    assert len(set(claimed)) == count, claimed
    assert not set(claimed) & set(context.held), claimed
    assert isinstance(failure, OSError), failure
