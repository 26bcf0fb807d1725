"""Steps for notices from runners, over real sockets."""

import time

from behave import then
from behave import when
from support import platform_callers

from rhubarbbank_experiments import platform_fleet

LOG_TIMEOUT_S = 5.0
LOG_POLL_S = 0.05


def count_new_runs(fleet, runner, path, count):
    """Sends a number of requests; returns how many of them a runner ran."""
    before = len(fleet.runners[runner].runs)
    for number in range(count):
        assert fleet.ask(f"{path}{number}").status == 200
    return len(fleet.runners[runner].runs) - before


def list_notices(fleet):
    """Returns the runners whose notices the first entry has logged."""
    return [
        line["upstream"]
        for line in fleet.entries[0].read_log()
        if line.get("decision") in ("upstream_leaving", "upstream_closed")
    ]


def wait_for_notices(fleet, known):
    """Returns the notices logged after the first `known` ones.

    The log is written beside the answers, on a busy machine after them.
    """
    deadline = time.monotonic() + LOG_TIMEOUT_S
    while time.monotonic() < deadline:
        notices = list_notices(fleet)[known:]
        if notices:
            return notices
        time.sleep(LOG_POLL_S)
    raise AssertionError("no notice was logged")


@when('a runner answers a request for "{path}" with fault "{fault}"')
def answer_with_fault(context, path, fault):
    platform_callers.prepare_fleet(context)
    fleet = context.platform
    uses_models = path.startswith("/chat")
    service = platform_fleet.MODELS if uses_models else platform_fleet.BOOKINGS
    fleet.misbehave(fault, service=service, count=1)
    faulty = {name: x for name, x in fleet.runners.items() if x.misdeeds}
    before = {name: len(x.runs) for name, x in faulty.items()}
    known = len(list_notices(fleet))
    fleet.ask(path)
    runners_that_ran = [
        name for name, x in faulty.items() if len(x.runs) > before[name]
    ]
    notices = wait_for_notices(fleet, known)
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


@when(
    'runner "{name}" names a limit of "{limit}" and callers send {rate:d} '
    "requests a second for {duration:g} s"
)
def name_limit(context, name, limit, rate, duration):
    fleet = context.platform
    runner = fleet.runners[name]
    runner.limit = limit
    context.statuses = []
    # When the number of the runner's runs was read, and that number.
    context.runs = []
    started_at = time.monotonic()
    for number in range(int(rate * duration)):
        entry = number % len(fleet.entries)
        reply = fleet.ask(f"/look/{number}", entry=entry)
        context.statuses.append(reply.status)
        now = time.monotonic()
        context.runs.append((now - started_at, len(runner.runs)))
        time.sleep(max(0.0, started_at + number / rate - now))


@then("every request is served")
def check_served(context):
    assert set(context.statuses) == {200}, set(context.statuses)


@then(
    "the runner gets at most {most:d} requests in any {window:g} s from "
    "{start:g} s on"
)
def check_window(context, most, window, start):
    for since, before in context.runs:
        found = max(
            runs - before
            for at, runs in context.runs
            if since <= at <= since + window
        )
        assert since < start or found <= most, (since, found)
