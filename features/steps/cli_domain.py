"""Steps about edits of the operators' file."""

import difflib
import functools
import pathlib
import re
import shutil
import tempfile

import msgspec
from behave import given
from behave import then
from behave import when
from cactushook import DomainState
from cactushook import jsonc
from cactushook import OperatorsFile
from cactushook_cli import operators
from hypothesis import given as given_each
from hypothesis import settings
from hypothesis import strategies as st

from features import command
from features.parallel import run_at_once
from features.parallel import run_overlapped

COMMENT_PATTERN = re.compile(r"<<[0-9]+>>")
PADDING = st.sampled_from(
    ("", " ", "\n", "\r\n  ", "\t", ' // "name": "d0" <<1>>\n', "/* { [ <<2>> */")
)


@given("an operators' file")
def operators_file(context):
    name = tempfile.mkdtemp(prefix="cactushook-test-")
    context.resources.callback(shutil.rmtree, name, ignore_errors=True)
    context.directory = pathlib.Path(name)
    target = context.directory / "kept" / "shared.jsonc"
    target.parent.mkdir()
    target.write_text(context.text)
    target.chmod(0o640)
    (context.directory / "operators.cactushook.jsonc").symlink_to(target)


@when("these domain commands run, each shown with the lines that changed")
def domain_commands(context):
    link = context.directory / "operators.cactushook.jsonc"
    for line in context.text.splitlines():
        before = link.read_text().splitlines()
        outcome = command.run_line(f"cactushook domain {line}", context.directory)
        after = link.read_text().splitlines()
        changed = difflib.unified_diff(before, after, lineterm="", n=0)
        context.transcript += [f"$ domain {line}", *outcome.lines()]
        context.transcript += [text for text in changed if text[:2] not in ("--", "++")]
    assert link.is_symlink()
    assert link.stat().st_mode & 0o777 == 0o640


@st.composite
def operators_texts(draw):
    names = [f"d{index}" for index in range(draw(st.integers(2, 4)))]
    objects = []
    for name in names:
        members = [('"name"', f'"{name}"'), ('"region"', '"r"')]
        if draw(st.booleans()):
            members.append(
                (draw(st.sampled_from(('"state"', '"st\\u0061te"'))), '"in"')
            )
        members = draw(st.permutations(members))
        pad = [draw(PADDING) for _ in range(5)]
        body = f"{pad[0]},{pad[1]}".join(
            f"{key}{pad[2]}:{pad[3]}{value}" for key, value in members
        )
        comma = draw(st.sampled_from(("", ",")))
        objects.append(f"{{{pad[4]}{body}{comma}{draw(PADDING)}}}")
    pad = [draw(PADDING) for _ in range(3)]
    listed = f",{pad[0]}".join(objects)
    return f'{pad[1]}{{"failure_domains":{pad[2]}[{listed}]}}', draw(
        st.sampled_from(names)
    )


@when("{count:d} generated operators' files are edited")
def generated_edits(context, count):
    context.edits = []

    # Hypothesis derives the examples from the source text of the function, so that
    # an edit of it changes them.
    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given_each(operators_texts())
    def edit(drawn):
        text, name = drawn
        out = operators.edit_domain_state(text, name, DomainState.OUT)
        back = operators.edit_domain_state(out, name, DomainState.IN)
        context.edits.append((text, name, out, back))

    edit()
    assert len(context.edits) >= count // 2


def expect_state(text, name, state):
    parsed = jsonc.parse(text.encode(), OperatorsFile)
    domains = tuple(
        msgspec.structs.replace(domain, state=state) if domain.name == name else domain
        for domain in parsed.failure_domains
    )
    return OperatorsFile(failure_domains=domains)


@then("each differs in one state only and keeps its comments")
def one_state_only(context):
    for text, name, out, back in context.edits:
        expected = expect_state(text, name, DomainState.OUT)
        assert jsonc.parse(out.encode(), OperatorsFile) == expected, (text, out)
        assert jsonc.parse(back.encode(), OperatorsFile) == expect_state(
            text, name, DomainState.IN
        )
        assert COMMENT_PATTERN.findall(text) == COMMENT_PATTERN.findall(out)
        assert len(out) - len(text) <= len('"state": "out", ') + 40


@when('"{first}" and "{second}" run at once {count:d} times')
def edits_at_once(context, first, second, count):
    context.raced = []
    path = context.directory / "operators.cactushook.jsonc"
    original = path.read_text()
    for _ in range(count):
        path.write_text(original)
        codes = run_at_once([first.split(), second.split()], context.directory)
        context.raced.append((codes, read_domains_out(path)))


@when("one edit reads the file while another is about to write it")
def overlapping_edits(context):
    path = context.directory / "operators.cactushook.jsonc"
    calls = [
        functools.partial(operators.set_domain_state, path, name, DomainState.OUT)
        for name in ("cesis", "sigulda")
    ]
    run_overlapped(operators, "edit_domain_state", calls)
    context.raced = [([0, 0], read_domains_out(path))]


def read_domains_out(path):
    parsed = jsonc.read_file(path, OperatorsFile)
    return {d.name for d in parsed.failure_domains if d.state is DomainState.OUT}


@then("the operators' file has both changes each time")
def both_changes(context):
    assert context.raced == [([0, 0], {"cesis", "sigulda"})] * len(context.raced)
