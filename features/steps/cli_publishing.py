"""Steps about publishing into a directory."""

import functools
import pathlib
import random
import shutil
from unittest import mock

import msgspec
from behave import then
from behave import when
from cactushook import assemble
from cactushook import Head
from cactushook_cli import files
from cactushook_cli import publishing

from features import command
from features.parallel import run_at_once
from features.parallel import run_overlapped

MORE_SERVICES = 64
BUNDLE = "cactushook bundle . --out ../out"


class Interrupted(BaseException):
    """Simulates the end of the process."""


def read_published(out):
    """Returns the snapshot that a reader would assemble, or None without a head."""
    path = out / "head.json"
    if not path.exists():
        return None
    head = msgspec.json.decode(path.read_bytes(), type=Head)
    values = {item.name: item.read_bytes() for item in (out / "values").iterdir()}
    return assemble(head, values).snapshot


@when(
    "it is published {count:d} times, its files renamed and written in a shuffled order"
)
def publish_shuffled(context, count):
    rng = random.Random(5)
    originals = {path: path.read_bytes() for path in context.directory.rglob("*.jsonc")}
    source = next(path for path in originals if path.name.startswith("workshop-files"))
    for index in range(MORE_SERVICES):
        text = originals[source].decode().replace("workshop-files", f"files-{index}")
        text = text.replace('"path": "', f'"path": "/{index}')
        originals[source.with_name(f"files-{index}.jsonc")] = text.encode()
    context.bundles = []
    for index in range(count):
        directory = context.directory.parent / f"shuffled-{index}"
        out = context.directory.parent / f"out-{index}"
        for path in rng.sample(sorted(originals), len(originals)):
            name = path.name
            if not name.startswith("operators"):
                name = f"{rng.randrange(10**6)}.cactushook.jsonc"
            target = directory / str(rng.randrange(10)) / name
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(originals[path])
        line = f"cactushook bundle {directory} --out {out}"
        assert command.run_line(line, context.directory).code == 0
        context.bundles.append(
            {p.name: p.read_bytes() for p in out.rglob("*") if p.is_file()}
        )


@then("all published directories hold the same bytes")
def same_bytes(context):
    assert len(context.bundles) > 1
    assert len(context.bundles[0]) > MORE_SERVICES
    assert all(bundle == context.bundles[0] for bundle in context.bundles)


@when("the published head holds each of these")
def damaged_heads(context):
    context.seen = []
    head = context.directory.parent / "out" / "head.json"
    head.parent.mkdir()
    for row in context.table:
        head.write_text(row["text"])
        outcome = command.run_line(BUNDLE, context.directory)
        context.seen.append((outcome, head.read_text() == row["text"]))


@then("each publication is refused and the head stays")
def head_stays(context):
    for outcome, stayed in context.seen:
        assert outcome.code == 1 and stayed, outcome
        assert "head.json" in outcome.err or "version" in outcome.err, outcome


@when("a publication is interrupted at each of its writes")
def interrupt_at_each_write(context):
    out = context.directory.parent / "out"
    assert command.run_line(BUNDLE, context.directory).code == 0
    context.first = read_published(out)
    assert command.run_line("cactushook domain out cesis", context.directory).code == 0
    replace = files.os.replace
    context.seen = []
    for last in range(1_000):
        trial = context.directory.parent / f"trial-{last}"
        shutil.copytree(out, trial)
        left = [last]

        def replace_until_interrupted(source, target, left=left):
            if not left[0]:
                raise Interrupted
            left[0] -= 1
            replace(source, target)

        with mock.patch.object(files.os, "replace", replace_until_interrupted):
            try:
                line = f"cactushook bundle . --out {trial}"
                ended = command.run_line(line, context.directory)
            except Interrupted:
                ended = None
        context.seen.append(read_published(trial))
        if ended is not None:
            break


@then("every state that a reader could see is a whole version")
def whole_versions(context):
    assert len(context.seen) > 3
    versions = [snapshot.head.version for snapshot in context.seen]
    assert versions == [1] * (len(versions) - 1) + [2], versions


@then("publishing again repairs a value that was damaged")
def repaired(context):
    out = context.directory.parent / "out"
    assert command.run_line(BUNDLE, context.directory).code == 0
    damaged = sorted((out / "values").iterdir())[0]
    damaged.write_bytes(b"{}")
    assert command.run_line(BUNDLE, context.directory).code == 0
    assert read_published(out).head.version == 2


def write_configurations(context, count):
    """Writes different configurations and returns their directories."""
    base = context.directory.parent
    context.out = base / "out"
    directories = [base / f"config-{index}" for index in range(count)]
    for slots, directory in enumerate(directories, 1):
        shutil.copytree(context.directory, directory)
        path = directory / "reports" / "reports.cactushook.jsonc"
        text = path.read_text().replace('"slots": 10', f'"slots": {slots}')
        path.write_text(text)
    return directories


@when("{count:d} publishers of different configurations run at once on one directory")
def publishers_at_once(context, count):
    commands = [
        ["bundle", str(directory), "--out", str(context.out)]
        for directory in write_configurations(context, count)
    ]
    context.codes = run_at_once(commands, pathlib.Path.cwd())


@when("one publisher reads the head while another is about to publish")
def publishers_overlap(context):
    calls = [
        functools.partial(publishing.publish_directory, directory, context.out)
        for directory in write_configurations(context, 2)
    ]
    run_overlapped(publishing, "read_head", calls)
    context.codes = [0, 0]


@then("they published {count:d} versions and the last one is whole")
def all_published(context, count):
    assert context.codes == [0] * count, context.codes
    assert read_published(context.out).head.version == count
