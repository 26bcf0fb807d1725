"""Steps for what runners say of themselves, over real sockets."""

import time

from behave import then
from behave import when
from support import platform_callers

from rhubarbbank_experiments import platform_fleet


def count_new(fleet, runner, path, count):
    """Asks a number of times; returns how many the runner ran."""
    before = len(fleet.runners[runner].runs)
    for number in range(count):
        assert fleet.ask(f"{path}{number}").status == 200
    return len(fleet.runners[runner].runs) - before


@when('a runner that is asked for "{path}" does "{misdeed}"')
def misbehave_once(context, path, misdeed):
    platform_callers.start_asking(context)
    fleet = context.platform
    models = path.startswith("/chat")
    service = platform_fleet.MODELS if models else platform_fleet.BOOKINGS
    fleet.misbehave(misdeed, service=service, count=1)
    waiting = {name: x for name, x in fleet.runners.items() if x.misdeeds}
    before = {name: len(x.runs) for name, x in waiting.items()}
    fleet.ask(path)
    ran = [n for n, x in waiting.items() if len(x.runs) > before[n]]
    lines = [
        line["upstream"]
        for line in fleet.entries[0].read_log()
        if line.get("decision") in ("upstream_leaving", "upstream_closed")
    ]
    context.path = path
    # One that refuses has run nothing.
    context.runner = lines[-1]
    assert misdeed == "close" or context.runner in ran, (lines, ran)


@then("it got none of the next {count:d} requests")
def check_none(context, count):
    found = count_new(context.platform, context.runner, context.path, count)
    assert found == 0, found


@then("after {wait:g} s it gets some of {count:d} requests")
def check_again(context, wait, count):
    time.sleep(wait)
    found = count_new(context.platform, context.runner, context.path, count)
    assert found > 0
