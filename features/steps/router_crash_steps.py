"""Steps for requests that end the upstreams that run them."""

import random

from behave import given
from behave import then
from behave import when
from support import crash_fleet
from support import crash_history

from rhubarbbank_router import events
from rhubarbbank_router import messages

# All entries have heard of one another by then.
SETTLE_S = 3.0
# Sendings that the users allow after the third end, of entries in touch.
MOST_LATE = 3
HISTORY_S = 40.0
KNOWN = {"fingerprint", "crashes", "seen_here"}


@given(
    '{entries:d} entry in {places:d} data centre, and a "{route}" request '
    "that ends upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centre, and a "{route}" request '
    "that ends upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centres, and a "{route}" request '
    "that ends upstreams"
)
def build_fleet(context, entries, places, route):
    context.crashes = crash_fleet.CrashFleet(
        rng=random.Random(entries),
        places=places,
        entries=entries // places,
        route=route,
    )
    context.crashes.run(SETTLE_S)


@given("every third of its attempts is answered with 500 in place of an end")
def fail_some(context):
    context.crashes.fail_each = 3


@given("upstreams that end do so silently")
def end_silently(context):
    context.crashes.silent = True


@given("the list tells of no restart")
def hide_restarts(context):
    context.crashes.tells_ends = False


@when("its caller sends it {times:d} times, each {pause:g} s")
def ask_often(context, times, pause):
    for _ in range(times):
        context.crashes.ask_next()
        context.crashes.run(pause)


@when(
    "its caller sends it {times:d} times, each {pause:g} s, and each entry "
    "that took it is replaced"
)
def ask_and_replace(context, times, pause):
    fleet = context.crashes
    for _ in range(times):
        name = fleet.ask_next()
        fleet.run(pause / 2)
        fleet.replace(name)
        fleet.run(pause / 2)


@when(
    "its caller sends it {times:d} times, each {pause:g} s, and {count:d} "
    "other requests break off each time"
)
def ask_beside_others(context, times, pause, count):
    for _ in range(times):
        context.crashes.ask_next()
        context.crashes.break_others(count)
        context.crashes.run(pause)


@when(
    "its caller sends it {times:d} times, each {pause:g} s, with a new key "
    "each time"
)
def ask_with_new_keys(context, times, pause):
    for _ in range(times):
        context.crashes.change_key()
        context.crashes.ask_next()
        context.crashes.run(pause)


@when('peers tell "{entry}" of {count:d} other requests that ended upstreams')
def tell_of_others(context, entry, count):
    fleet = context.crashes
    told = tuple(
        messages.SuspectNews(
            fingerprint=f"{number:016x}",
            crashes=1,
            ends=(messages.EndNews(upstream=number, age_ms=0),),
        )
        for number in range(count)
    )
    news = messages.EntryNews(
        name="entry-1",
        incarnation=0,
        address="none",
        stopping=False,
        trials=(),
        suspects=told,
    )
    fleet.deliver(fleet.worlds[entry], news)


@when("it is sent once to an upstream that bears it")
def begin_spared(context):
    fleet = context.crashes
    fleet.spares = True
    fleet.ask_next()
    fleet.spares = False


@when(
    "it is sent {times:d} times to upstreams that are silent and live, each "
    "{pause:g} s"
)
def ask_silent(context, times, pause):
    fleet = context.crashes
    fleet.spares = True
    ask_often(context, times, pause)


@when("that sending has a good answer")
def answer_spared(context):
    context.crashes.answer_spared()


@when('"{place}" is cut off for {wait:g} s in which it has a good answer')
def answer_beside_cut(context, place, wait):
    fleet = context.crashes
    fleet.cut.add(place)
    fleet.answer_spared()
    fleet.run(wait)
    fleet.cut.discard(place)


@when("the fleet goes on for {wait:g} s")
def go_on(context, wait):
    context.crashes.run(wait)


@then("every entry sends it to an upstream again")
def check_sent(context):
    fleet = context.crashes
    for name, world in fleet.worlds.items():
        world.now = fleet.now
        request_id = world.ask("note", key=fleet.key, body=crash_fleet.BODY)
        assert world.sent(request_id), name


@then(
    "at most {most:d} sendings reach upstreams later than {after:g} s after "
    "the third end"
)
def check_late(context, most, after):
    fleet = context.crashes
    assert len(fleet.sendings) >= crash_fleet.KNOWN_AFTER, fleet.sendings
    assert fleet.count_late(after) <= most, fleet.sendings


@then("some of its sendings are refused as a crash suspect")
def check_refused(context):
    assert "crash_suspect" in context.crashes.refusals


@then(
    '"{entry}" has a line on each of the {count:d} that it forgot, and forgot '
    "some"
)
def check_forgotten_lines(context, entry, count):
    fleet = context.crashes
    kept = len(fleet.worlds[entry].state.suspects.suspects)
    assert kept < count, kept
    logged = [
        dict(line.inputs)["count"]
        for name, line in fleet.lines
        if (name, line.decision) == (entry, "suspects_forgotten")
    ]
    assert sum(logged) == count - kept, (logged, kept)


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


@then(
    "in {count:d} generated histories of {entries:d} entries in {places:d} "
    "data centre few upstreams end"
)
@then(
    "in {count:d} generated histories of {entries:d} entries in {places:d} "
    "data centres few upstreams end"
)
def check_histories(context, count, entries, places):
    ended = []
    for seed in range(count):
        fleet = crash_history.CrashHistory(
            rng=random.Random(seed),
            places=places,
            entries=entries // places,
            route=("note", "look", "chat")[seed % 3],
        )
        fleet.run(SETTLE_S)
        fleet.play(HISTORY_S)
        ended.append(len(fleet.sendings))
        assert fleet.count_late_calm() <= MOST_LATE, (seed, fleet.sendings)
    print("upstreams ended:", ended)
    assert sum(ended) >= crash_fleet.KNOWN_AFTER * count, ended


@when(
    "it is sent twice to one upstream, and one sending is answered as the "
    "other breaks off"
)
def answer_and_break_off(context):
    fleet = context.crashes
    world = fleet.worlds["entry-0"]
    world.list_upstreams(fleet.listed["up-0"])
    fleet.spares = True
    begun = []
    for _ in range(3):
        fleet.ask_next()
        begun.append(fleet.spared)
    fleet.spares = False
    fleet.end_exchange(begun[0], events.AttemptEnd.BROKEN)
    fleet.answer_spared()
    fleet.end_exchange(begun[1], events.AttemptEnd.BROKEN)
    fleet.tells_ends = False
