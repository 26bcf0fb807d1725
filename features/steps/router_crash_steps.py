"""Steps for requests that end the upstreams that run them."""

import random

from behave import given
from behave import then
from behave import when
from support import crash_fleet

# All entries have heard of one another by then.
SETTLE_S = 3.0
KNOWN = {"fingerprint", "crashes", "seen_here"}


@given(
    "{entries:d} entries before {upstreams:d} upstreams, and a request that "
    "ends them"
)
def build_fleet(context, entries, upstreams):
    context.crashes = crash_fleet.CrashFleet(
        rng=random.Random(entries),
        places=1,
        entries=entries,
        upstreams=upstreams,
    )
    context.crashes.run(SETTLE_S)


@when("its caller sends it {times:d} times")
def ask_often(context, times):
    context.crashes.ask_often(times)


@then("each line on a failed attempt names the request and its break-offs")
def check_failed_lines(context):
    fleet = context.crashes
    lines = fleet.list_lines("failed_attempt")
    assert len(lines) == len(fleet.sendings), lines
    for line in lines:
        inputs = dict(line.inputs)
        assert inputs.keys() >= KNOWN, line
        assert inputs["crashes"] >= inputs["seen_here"] > 0, line


@then("lines say what peers told of it")
def check_told_lines(context):
    lines = context.crashes.list_lines("suspect_told")
    assert lines
    assert {x.reason for x in lines} <= set(context.crashes.worlds)
    assert all(dict(x.inputs).keys() >= KNOWN for x in lines)


@then("the line on its refusal names what was known")
def check_refusal_lines(context):
    lines = [
        line
        for line in context.crashes.list_lines("refused")
        if line.reason == "crash_suspect"
    ]
    assert lines
    assert all(dict(x.inputs).keys() >= KNOWN for x in lines)
