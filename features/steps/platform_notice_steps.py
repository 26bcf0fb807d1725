"""Steps for notices from runners, over real sockets."""

import time

from behave import then
from behave import when
from support import platform_callers

from rhubarbbank_experiments import platform_fleet


def count_new_runs(fleet, runner, path, count):
    """Sends a number of requests; returns how many of them a runner ran."""
    before = len(fleet.runners[runner].runs)
    for number in range(count):
        assert fleet.ask(f"{path}{number}").status == 200
    return len(fleet.runners[runner].runs) - before


@when('a runner answers a request for "{path}" with fault "{fault}"')
def answer_with_fault(context, path, fault):
    platform_callers.prepare_fleet(context)
    fleet = context.platform
    uses_models = path.startswith("/chat")
    service = platform_fleet.MODELS if uses_models else platform_fleet.BOOKINGS
    fleet.misbehave(fault, service=service, count=1)
    faulty = {name: x for name, x in fleet.runners.items() if x.misdeeds}
    before = {name: len(x.runs) for name, x in faulty.items()}
    fleet.ask(path)
    runners_that_ran = [
        name for name, x in faulty.items() if len(x.runs) > before[name]
    ]
    notices = [
        line["upstream"]
        for line in fleet.entries[0].read_log()
        if line.get("decision") in ("upstream_leaving", "upstream_closed")
    ]
    context.path = path
    context.runner = notices[-1]
    # A runner with the fault "close" refuses, so it has run nothing.
    assert fault == "close" or context.runner in runners_that_ran, (
        notices,
        runners_that_ran,
    )


@then("it receives none of the next {count:d} requests")
def check_none(context, count):
    found = count_new_runs(
        context.platform, context.runner, context.path, count
    )
    assert found == 0, found


@then("after {wait:g} s it receives some of {count:d} requests")
def check_again(context, wait, count):
    time.sleep(wait)
    found = count_new_runs(
        context.platform, context.runner, context.path, count
    )
    assert found > 0
