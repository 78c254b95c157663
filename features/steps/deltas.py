"""Steps on deltas between long values."""

import json
import random

from behave import given
from behave import then
from behave import when
from cactushook import deltas


def encode_records(records):
    return json.dumps({"version": f"r{len(records)}", "resources": records}).encode()


@given("a configuration of {count:d} records")
def configuration(context, count):
    context.records = [{"name": f"r-{i}", "spec": {"at": i}} for i in range(count)]
    context.base = encode_records(context.records)


@when("record {index:d} changes")
def changes(context, index):
    context.records[index] = {"name": f"r-{index}", "spec": {"at": -1}}


@when("{added:d} records are added and {removed:d} are removed")
def added_removed(context, added, removed):
    rng = random.Random(1)
    for _ in range(removed):
        del context.records[rng.randrange(len(context.records))]
    for number in range(added):
        record = {"name": f"new-{number}", "spec": {}}
        context.records.insert(rng.randrange(len(context.records)), record)


@then("the delta is shorter than {limit_bytes:d} bytes and gives the new value")
def short_delta(context, limit_bytes):
    value = encode_records(context.records)
    delta = deltas.encode(context.base, value)
    assert deltas.apply(context.base, delta) == value
    assert len(delta) < limit_bytes, len(delta)


@then("applied to a shorter value the delta is refused")
def refused(context):
    delta = deltas.encode(context.base, encode_records(context.records))
    try:
        deltas.apply(context.base[:500], delta)
    except ValueError:
        return
    raise AssertionError("the delta was applied")


@then("deltas between {count:d} pairs of random values rebuild the second one")
def random_values(context, count):
    rng = random.Random(1)
    for _ in range(count):
        first, second = (
            bytes(rng.choices(b"ab},{", k=rng.randrange(60))) for _ in range(2)
        )
        assert deltas.apply(first, deltas.encode(first, second)) == second
