"""Steps for requests that crash the upstreams that run them."""

import random

from behave import given
from behave import then
from behave import when
from support import crash_fleet
from support import crash_history

from rhubarbbank_core import answer_bounds
from rhubarbbank_router import events
from rhubarbbank_router import messages

# By then all entries have exchanged heartbeats.
SETTLE_S = 3.0
# Late attempts that the users allow from entries without faults.
MAX_LATE = 3
# Length of a generated history.
HISTORY_S = 40.0
SUSPECT_INPUTS = {"fingerprint", "crashes", "seen_here"}


@given(
    '{entries:d} entry in {places:d} data centre, and a "{route}" request '
    "that crashes upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centre, and a "{route}" request '
    "that crashes upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centres, and a "{route}" request '
    "that crashes upstreams"
)
def build_fleet(context, entries, places, route):
    context.crash_fleet = crash_fleet.CrashFleet(
        rng=random.Random(entries),
        data_centres=places,
        entries=entries // places,
        route=route,
    )
    context.crash_fleet.run(SETTLE_S)


@given("every third of its attempts is answered with 500 instead of a crash")
def answer_some_with_error(context):
    context.crash_fleet.error_every = 3


@given("upstreams crash without closing their connections")
def crash_silently(context):
    context.crash_fleet.crashes_silently = True


@given("the list of upstreams shows no restarts")
def hide_restarts(context):
    context.crash_fleet.lists_restarts = False


@when("its caller sends it {times:d} times, every {pause:g} s")
def send_repeatedly(context, times, pause):
    for _ in range(times):
        context.crash_fleet.send_next()
        context.crash_fleet.run(pause)


@when(
    "its caller sends it {times:d} times, every {pause:g} s, and each entry "
    "that took it is replaced"
)
def send_and_replace(context, times, pause):
    fleet = context.crash_fleet
    for _ in range(times):
        name = fleet.send_next()
        fleet.run(pause / 2)
        fleet.replace(name)
        fleet.run(pause / 2)


@when(
    "its caller sends it {times:d} times, every {pause:g} s, and {count:d} "
    "other requests are interrupted each time"
)
def send_with_interruptions(context, times, pause, count):
    for _ in range(times):
        context.crash_fleet.send_next()
        context.crash_fleet.interrupt_others(count)
        context.crash_fleet.run(pause)


@when(
    "its caller sends it {times:d} times, every {pause:g} s, with a new key "
    "each time"
)
def send_with_new_keys(context, times, pause):
    for _ in range(times):
        context.crash_fleet.change_key()
        context.crash_fleet.send_next()
        context.crash_fleet.run(pause)


@when(
    'another entry reports to "{entry}" {count:d} other requests that crashed '
    "upstreams"
)
def report_other_suspects(context, entry, count):
    fleet = context.crash_fleet
    reported = tuple(
        messages.SuspectReport(
            trait=f"{number:016x}",
            crashes=1,
            ends=(messages.CrashReport(upstream=number, age_ms=0),),
        )
        for number in range(count)
    )
    heartbeat = messages.Heartbeat(
        name="entry-1",
        incarnation=0,
        address="none",
        stopping=False,
        trials=(),
        suspects=reported,
    )
    fleet.deliver(fleet.worlds[entry], heartbeat)


ANSWERS = {
    "a missing signature": lambda world, request_id: world.head(
        request_id, 200, genuine=False
    ),
    "more than the limit": lambda world, request_id: (
        world.head(request_id),
        world.data(request_id, bytes(answer_bounds.MAX_ANSWER_BYTES + 1)),
    ),
}


@when(
    'the same "{route}" request comes {times:d} times, and its upstreams '
    "answer with {answer}"
)
def answer_repeatedly(context, route, times, answer):
    for _ in range(times):
        request_id = context.world.ask(route, body=crash_fleet.BODY)
        if context.world.sent(request_id):
            ANSWERS[answer](context.world, request_id)
        context.world.run(SETTLE_S)
        context.world.configure()


@then('the same "{route}" request is sent to an upstream again')
def check_sent_again(context, route):
    request_id = context.world.ask(route, body=crash_fleet.BODY)
    assert context.world.sent(request_id), context.world.answers(request_id)


@when("it is sent once to an upstream that survives it")
def send_harmless(context):
    fleet = context.crash_fleet
    fleet.is_harmless = True
    fleet.send_next()
    fleet.is_harmless = False


@when(
    "it is sent {times:d} times to upstreams that are silent but alive, every "
    "{pause:g} s"
)
def send_to_silent(context, times, pause):
    fleet = context.crash_fleet
    fleet.is_harmless = True
    send_repeatedly(context, times, pause)


@when("that attempt has a good answer")
def answer_pending(context):
    context.crash_fleet.answer_pending()


@when('"{place}" is cut off for {wait:g} s while it has a good answer')
def answer_during_partition(context, place, wait):
    fleet = context.crash_fleet
    fleet.isolated.add(place)
    fleet.answer_pending()
    fleet.run(wait)
    fleet.isolated.discard(place)


@when("the entries run for {wait:g} s")
def run_entries(context, wait):
    context.crash_fleet.run(wait)


@then("every entry sends it to an upstream again")
def check_sent(context):
    fleet = context.crash_fleet
    for name, world in fleet.worlds.items():
        world.now = fleet.now
        request_id = world.ask("note", key=fleet.key, body=crash_fleet.BODY)
        assert world.sent(request_id), name


@then(
    "at most {most:d} attempts reach upstreams later than {after:g} s after "
    "the third crash"
)
def check_late(context, most, after):
    fleet = context.crash_fleet
    assert len(fleet.crashes) >= crash_fleet.CRASHES_TO_REFUSE, fleet.crashes
    assert fleet.count_late(after) <= most, fleet.crashes


@then("some of the requests are refused as a crash suspect")
def check_refused(context):
    assert "crash_suspect" in context.crash_fleet.refusals


@then('"{entry}" logs how many of the {count:d} it removed, and removed some')
def check_removal_lines(context, entry, count):
    fleet = context.crash_fleet
    kept = len(fleet.worlds[entry].state.suspects.suspects)
    assert kept < count, kept
    logged = [
        dict(line.inputs)["count"]
        for name, line in fleet.decisions
        if (name, line.decision) == (entry, "suspects_forgotten")
    ]
    assert sum(logged) == count - kept, (logged, kept)


@then("each log line on a failed attempt names the request and its crashes")
def check_failed_lines(context):
    fleet = context.crash_fleet
    lines = fleet.list_log_lines("failed_attempt")
    assert len(lines) == len(fleet.crashes), lines
    for line in lines:
        inputs = dict(line.inputs)
        assert inputs.keys() >= SUSPECT_INPUTS, line
        assert inputs["crashes"] >= inputs["seen_here"] > 0, line
        assert inputs["events"] == 0, line


@then("each log line on a failed attempt names the shared parts of its prompt")
def check_part_lines(context):
    lines = context.crash_fleet.list_log_lines("failed_attempt")
    assert lines
    for line in lines:
        parts = dict(line.inputs)["shared_parts"].split(",")
        assert parts[0] == "all", line
        assert len(parts) == 2, line


@then("log lines say what other entries reported of it")
def check_peer_lines(context):
    lines = context.crash_fleet.list_log_lines("suspect_told")
    assert lines
    assert {x.reason for x in lines} <= set(context.crash_fleet.worlds)
    assert all(dict(x.inputs).keys() >= SUSPECT_INPUTS for x in lines)


@then("the log line on its refusal names its known crashes")
def check_refusal_lines(context):
    lines = [
        line
        for line in context.crash_fleet.list_log_lines("refused")
        if line.reason == "crash_suspect"
    ]
    assert lines
    assert all(dict(x.inputs).keys() >= SUSPECT_INPUTS for x in lines)


@then(
    "in {count:d} generated histories of {entries:d} entries in {places:d} "
    "data centre few upstreams crash"
)
@then(
    "in {count:d} generated histories of {entries:d} entries in {places:d} "
    "data centres few upstreams crash"
)
def check_histories(context, count, entries, places):
    crash_counts = []
    for seed in range(count):
        fleet = crash_history.CrashHistory(
            rng=random.Random(seed),
            data_centres=places,
            entries=entries // places,
            route=("note", "look", "chat")[seed % 3],
        )
        fleet.run(SETTLE_S)
        fleet.run_with_faults(HISTORY_S)
        crash_counts.append(len(fleet.crashes))
        assert fleet.count_late_undisturbed() <= MAX_LATE, (seed, fleet.crashes)
    print("crashes per history:", crash_counts)
    assert sum(crash_counts) >= crash_fleet.CRASHES_TO_REFUSE * count, (
        crash_counts
    )


@when(
    "it is sent three times to one upstream, and one attempt is answered "
    "between the interruptions of the others"
)
def answer_and_break_off(context):
    fleet = context.crash_fleet
    world = fleet.worlds["entry-0"]
    world.list_upstreams(fleet.listed["up-0"])
    fleet.is_harmless = True
    started = []
    for _ in range(3):
        fleet.send_next()
        started.append(fleet.unanswered)
    fleet.is_harmless = False
    fleet.end_exchange(started[0], events.AttemptEnd.BROKEN)
    fleet.answer_pending()
    fleet.end_exchange(started[1], events.AttemptEnd.BROKEN)
    fleet.lists_restarts = False
