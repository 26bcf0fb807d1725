"""Steps for whole answers under failure, and for early refusals."""

import json
import time

from behave import given
from behave import then
from behave import when
from support import caller_threads
from support import fleets
from support import harm

from rhubarbbank_experiments import fleet

ENTRIES = 3
SLOW_FACTOR = 4.0
DEADLINE_S = 60.0
TENTH = 0.1


def stream_chats(context, count, **options):
    word = f"{time.monotonic_ns():x}"
    context.asked = [
        caller_threads.stream(
            harm.find_entry(context.fleet, number % ENTRIES),
            f"How do I book court {number}? {word}",
            **options,
        )
        for number in range(count)
    ]


def ask_with_deadline(context, deadline_s):
    return caller_threads.stream(
        harm.find_entry(context.fleet, 0),
        "How long does this take?",
        headers={"X-Deadline-Ms": str(int(deadline_s * 1000))},
    ).join()


def list_placements(context):
    first = context.asked[0]
    url = f"http://{first.sent.address}/explain/{first.request_id}"
    lines = json.loads(fleet.fetch(url))["decisions"]
    return [x["upstream"] for x in lines if x["decision"] == "placed"]


def is_refused_early(caller, deadline_s):
    if caller.error is None or caller.error["run_state"] != "not_run":
        return False
    assert caller.headers.get("Retry-After"), caller.describe()
    return caller.took_s < deadline_s * TENTH


@given("every sidecar beside an engine is paused for this")
def pause_sidecars(context):
    context.stack.callback(harm.wait_served, context.fleet)
    for place in context.fleet.find_places("engine"):
        context.stack.enter_context(harm.paused(context.fleet, place.name))


@given("a fleet of engines with few places that are known to be slow")
def run_small_engines(context):
    context.fleet = context.stack.enter_context(
        fleets.run_fleet("platzwart", engine_settings={"max_batch": 4})
    )
    harm.set_upstream_faults(context.fleet, "engine", slow_factor=SLOW_FACTOR)
    stream_chats(context, 40)
    caller_threads.join_all(context.asked)


@given("the engines hang")
def hang_engines(context):
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(context.fleet, "engine", hang=True)


@when("{count:d} callers stream different chats from all entries")
def stream_from_all(context, count):
    stream_chats(context, count)


@when("{count:d} callers stream slow chats from all entries")
def stream_slowly(context, count):
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(context.fleet, "engine", slow_factor=SLOW_FACTOR)
    stream_chats(context, count)
    caller_threads.wait_for_pieces(context.asked, 3)
    context.server = harm.find_server(context.fleet, context.asked[0])


@when(
    "{count:d} callers stream chats with a deadline of {deadline_s:d} seconds"
)
def stream_with_deadline(context, count, deadline_s):
    context.deadline_s = deadline_s
    stream_chats(
        context, count, headers={"X-Deadline-Ms": str(deadline_s * 1000)}
    )


@when(
    "an organisation with 600 requests a minute sends {count:d} chats at once"
)
def use_allowance_up(context, count):
    stream_chats(context, count, organisation="tc-lienz", model="kurz")


@when("the sidecar of the first stream is killed")
def kill_sidecar(context):
    context.stack.callback(harm.restart, context.fleet, context.server)
    harm.kill(context.fleet, context.server)


@when("the engine of the first stream crashes")
def crash_engine(context):
    url = context.fleet.places[context.server].upstream_url
    fleets.set_faults(url, crash_now=True, slow_factor=SLOW_FACTOR)


@when("the sidecar of the first stream is paused until it is resumed elsewhere")
def pause_until_resumed(context):
    context.stack.callback(harm.wait_for_sidecar, context.fleet, context.server)
    with harm.paused(context.fleet, context.server):
        fleets.wait_until(
            lambda: list_placements(context)[-1] != context.server,
            "the first stream is resumed elsewhere",
        )


@when("the sidecar of the first stream is paused for {pause_s:d} second")
def pause_sidecar(context, pause_s):
    with harm.paused(context.fleet, context.server):
        time.sleep(pause_s)


@when("entry {number:d} is paused for {pause_s:d} seconds")
def pause_entry(context, number, pause_s):
    with harm.paused(context.fleet, f"entry-{number}"):
        time.sleep(pause_s)


@then("each stream has the undisturbed text of its own chat")
def check_streams(context):
    caller_threads.join_all(context.asked)
    harm.check_whole(context.fleet, context.asked)


@then("the first stream was resumed at another sidecar")
def check_resumed(context):
    placed = list_placements(context)
    assert placed[0] == context.server, placed
    assert placed[-1] != context.server, placed


@then("a chat without upstreams is refused long before its deadline")
def check_no_upstream(context):
    address = harm.find_entry(context.fleet, 0)

    def is_refused():
        caller = caller_threads.stream(address, "Is anybody there?").join()
        code = caller.error["code"] if caller.error else ""
        return code == "no_upstream" and is_refused_early(caller, DEADLINE_S)

    fleets.wait_until(is_refused, "a chat is refused for want of upstreams")


@then(
    "a chat with a deadline of {deadline_s:d} seconds is refused soon after it"
)
def check_deadline(context, deadline_s):
    caller = ask_with_deadline(context, deadline_s)
    harm.check_refused(caller, code="deadline_exceeded", run_state="unknown")
    assert caller.headers.get("Retry-After"), caller.describe()
    assert caller.took_s < DEADLINE_S * TENTH, caller.took_s


@then("a chat with a deadline of 0.2 seconds is refused, as not run")
def check_unreachable(context):
    caller = ask_with_deadline(context, 0.2)
    harm.check_refused(caller, code="deadline_unreachable", run_state="not_run")
    assert caller.headers.get("Retry-After"), caller.describe()
    harm.check_not_run(context.fleet, [caller])


@then("some are refused long before their deadline, as not run")
def check_overload(context):
    def list_early():
        return [
            x
            for x in context.asked
            if x.is_over() and is_refused_early(x, context.deadline_s)
        ]

    fleets.wait_until(list_early, "some are refused early")
    harm.check_not_run(context.fleet, list_early())


@then("some of them are refused at once for the allowance, as not run")
def check_allowance(context):
    caller_threads.join_all(context.asked)
    refused = [x for x in context.asked if x.error is not None]
    assert refused
    for caller in refused:
        harm.check_refused(
            caller, code="allowance_exhausted", run_state="not_run"
        )
        assert is_refused_early(caller, DEADLINE_S), caller.took_s
    harm.check_not_run(context.fleet, refused)
