"""Steps for parts of prompts that crash the upstreams that run them."""

import math
import random

from behave import given
from behave import then
from behave import when
from support import part_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages
from rhubarbbank_router import request_traits

# By then all entries have exchanged heartbeats.
SETTLE_S = 3.0


@given(
    '{entries:d} entry in {places:d} data centre, and a part of "{route}" '
    "prompts that crashes upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centre, and a part of "{route}" '
    "prompts that crashes upstreams"
)
@given(
    '{entries:d} entries in {places:d} data centres, and a part of "{route}" '
    "prompts that crashes upstreams"
)
def build_fleet(context, entries, places, route):
    context.part_fleet = part_fleet.PartFleet(
        rng=random.Random(entries),
        data_centres=places,
        entries=entries // places,
        route=route,
    )
    context.part_fleet.run(SETTLE_S)


@given("crashed upstreams end their answers as if they were complete")
def end_answers_by_close(context):
    context.part_fleet.end_of_crash = "close"


@given("crashed upstreams leave their connections open")
def leave_connections_open(context):
    context.part_fleet.end_of_crash = "silent"


@when("requests with and without that part come for {duration:g} s")
def play(context, duration):
    context.part_fleet.play(duration)


@when(
    'requests with that part and first part "{first}" come for {duration:g} s, '
    'and sound ones with first part "{first_again}" every {gap:g} s'
)
def play_with_rare_part(context, first, duration, first_again, gap):
    assert first == first_again
    context.part_fleet.play(duration, bad_first=first, rare_gap_s=gap)


@when(
    "a request with that part is sent, and a peer then reports {count:d} "
    "crashes under the part"
)
def send_before_report(context, count):
    fleet = context.part_fleet
    name, context.request_id = fleet.ask(None, ("all", part_fleet.BAD_PART))
    context.world = fleet.worlds[name]
    report_crashes(context.world, part_fleet.BAD_PART, count)


def report_crashes(world, part_id, count):
    """Has a peer report crashes under a part."""
    ends = tuple(
        messages.CrashReport(upstream=number, age_ms=0)
        for number in range(count)
    )
    report = messages.SuspectReport(
        trait=request_traits.name_part(part_id), crashes=count, ends=ends
    )
    heartbeat = messages.Heartbeat(
        name="entry-9",
        incarnation=0,
        address="none",
        stopping=False,
        suspects=(report,),
    )
    world.apply(core_events.MessageReceived(heartbeat))


@when(
    'a peer reports {count:d} crashes under the part "{part_id}", which no '
    "request caused"
)
def report_mistake(context, count, part_id):
    for world in context.part_fleet.worlds.values():
        report_crashes(world, part_id, count)


@when("requests without the crashing part come for {duration:g} s")
def play_sound(context, duration):
    context.part_fleet.play(duration, bad_gap_s=math.inf)


@then("all of the sound requests of the last {period:g} s begin")
def check_all_begun(context, period):
    fleet = context.part_fleet
    fleet.run(part_fleet.STABLE_S)
    since = fleet.now - part_fleet.STABLE_S - period
    recent = [x for x in fleet.sound.values() if x.arrived_at >= since]
    assert len(recent) >= part_fleet.MIN_SOUND
    assert all(x.has_begun for x in recent)


@when("an upstream answers that request with little confidence")
def answer_with_little_confidence(context):
    context.world.head(context.request_id, confidence=5)


@then("that request is sent to no further upstream")
def check_sent_once(context):
    assert len(context.world.sent(context.request_id)) == 1


@then(
    "at most {most:d} attempts with that part are sent later than {after:g} s "
    "after the fifth crash"
)
def check_late(context, most, after):
    fleet = context.part_fleet
    assert after == part_fleet.STABLE_S
    assert fleet.crashes
    late = fleet.count_late()
    assert late <= most, (late, len(fleet.crashes))


@then('at least half of the sound requests with first part "{first}" begin')
def check_begun(context, first):
    fleet = context.part_fleet
    came, begun = fleet.count_begun(first)
    assert came >= part_fleet.MIN_SOUND, came
    assert begun * 2 >= came, (came, begun)
