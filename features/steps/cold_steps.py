"""Steps for upstreams that are cold after a start."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when
import msgspec
from support import cold_fleet
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_platform import wire
from rhubarbbank_router import cold_upstreams
from rhubarbbank_router import configuration
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import options
from rhubarbbank_router import upstream_limits

WARM_UP_S = 8.0
HISTORY_DURATION_S = 25.0
FULL_USE = 0.8
# After this time, an entry knows that it is cut off from all.
CUT_KNOWN_S = 6.0


def build_fleet(entries, centres, *, rate=10.0, seed=1, **given):
    fleet = cold_fleet.ColdFleet(
        rng=random.Random(seed),
        data_centres=centres,
        entries=1,
        rate_per_s=rate,
        **{"upstreams": 2, "demand_per_s": 100.0} | given,
    )
    while len(fleet.worlds) < entries:
        fleet.add(f"west-{len(fleet.worlds) % centres}")
    fleet.run(WARM_UP_S)
    return fleet


@given(
    "{entries:d} entries in {centres:d} data centres under uneven load, and "
    "upstreams that tolerate {rate:g} requests a second when cold"
)
def start_fleet(context, entries, centres, rate):
    demand = max(100.0, 10.0 * rate)
    context.fleet = build_fleet(
        entries, centres, rate=rate, demand_per_s=demand
    )


@given("{entries:d} entries that divide permits equally")
def start_equal_fleet(context, entries):
    context.fleet = build_fleet(
        entries, 3, division=cold_upstreams.EqualDivision()
    )


@given("{entries:d} entries and {count:d} upstreams under a burst")
def start_burst(context, entries, count):
    context.fleet = build_fleet(
        entries, 3, upstreams=count, demand_per_s=30.0 * count
    )


@when("the list says for {duration:g} s that all upstreams are cold")
def list_all_cold(context, duration):
    fleet = context.fleet
    for upstream in fleet.listed:
        fleet.list_changed(upstream, cold_left_s=duration + 1.0)
    fleet.run(duration / 4)
    fleet.refusals.clear()
    fleet.run(duration * 3 / 4)
    context.used_since = fleet.now - duration * 3 / 4


@when("a data centre is dark for {dark_s:g} s, and is back unannounced")
def darken(context, dark_s):
    fleet = context.fleet
    fleet.dark = {
        x for x, y in fleet.listed.items() if y.data_centre == "west-0"
    }
    fleet.run(dark_s)
    fleet.cold_from = dict.fromkeys(fleet.dark, fleet.now)
    fleet.dark = set()
    fleet.run(cold_fleet.COLD_S)


@when("an evacuation of a data centre ends")
def end_evacuation(context):
    context.fleet.end_evacuation("west-0")
    context.fleet.run(cold_fleet.COLD_S)


@given("5 entries in 3 data centres under a burst")
def start_five(context):
    fleet = context.fleet = cold_fleet.ColdFleet(
        rng=random.Random(0),
        data_centres=3,
        entries=1,
        rate_per_s=10.0,
        upstreams=2,
        demand_per_s=200.0,
    )
    for data_centre in ("west-0", "west-1"):
        fleet.add(data_centre)
    fleet.run(WARM_UP_S)
    assert len(fleet.worlds) == 5


@when("an evacuation of a data centre ends, and two entries start")
def start_after_evacuation(context):
    context.fleet.end_evacuation("west-0")
    context.fleet.run(0.6)
    context.fleet.add("west-0")
    context.fleet.add("west-1")
    context.fleet.run(2.2)


@when("an upstream has started again, and the list doesn't say it is cold")
def restart(context):
    context.fleet.list_changed("up-0", started_ms=2)
    context.fleet.run(cold_fleet.COLD_S)


@when("a data centre is cut off for {duration:g} s")
def cut_off(context, duration):
    fleet = context.fleet
    fleet.isolated = {"west-0"}
    fleet.run(CUT_KNOWN_S)
    for upstream in fleet.listed:
        fleet.list_changed(upstream, cold_left_s=2.0 * duration)
    fleet.run(duration)


def find_excess(fleet):
    return {
        upstream: most
        for upstream in fleet.cold_from
        if (most := fleet.find_most(upstream)) > fleet.compute_allowed(upstream)
    }


@then("no cold upstream gets more than allowed in any second")
def check_allowed(context):
    assert context.fleet.cold_from
    assert not find_excess(context.fleet), find_excess(context.fleet)


def compute_use(context):
    """Returns the least share of its rate that an upstream has got."""
    fleet = context.fleet
    since = context.used_since
    return min(
        sum(x.upstream == upstream and x.at >= since for x in fleet.arrivals)
        / (fleet.now - since)
        / fleet.rate_per_s
        for upstream in fleet.listed
    )


@then("each gets at least 0.8 of that")
def check_used(context):
    assert compute_use(context) >= FULL_USE, compute_use(context)


@then("one gets less than 0.8 of that")
def check_unused(context):
    assert compute_use(context) < FULL_USE, compute_use(context)


def inject_fault(fleet, rng):
    match rng.randrange(4):
        case 0:
            fleet.replace(rng.choice(list(fleet.worlds)))
        case 1:
            fleet.add(f"west-{rng.randrange(3)}")
        case 2:
            fleet.isolated = {f"west-{rng.randrange(3)}"}
        case _:
            fleet.isolated = set()


@then("in {count:d} histories no cold upstream gets more than allowed")
def check_histories(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        fleet = build_fleet(7, 3, seed=seed, loss_rate=0.03)
        for upstream in fleet.listed:
            fleet.list_changed(upstream, cold_left_s=60.0)
        end = fleet.now + HISTORY_DURATION_S
        while fleet.now < end:
            fleet.run(rng.uniform(0.5, 4.0))
            inject_fault(fleet, rng)
        assert not find_excess(fleet), (seed, find_excess(fleet))


@then("without the settings a cold upstream gets the same as a warm one")
def check_unchanged(context):
    arrivals = []
    for left_s in (0.0, 20.0):
        fleet = build_fleet(5, 3, bounds={})
        fleet.list_changed("up-0", cold_left_s=left_s)
        fleet.run(5.0)
        arrivals.append(fleet.arrivals)
    assert arrivals[0] == arrivals[1]


COLD_KEY = upstream_limits.build_key("up-0", 0)


@given("an entry whose upstreams may be cold")
def start_entry(context):
    world = router_world.World(**cold_fleet.BOUNDS)
    service = configuration.Service(
        name="pool",
        max_connections=100,
        cold_duration_s=3.0,
        cold_rate_per_s=10.0,
    )
    world.apply(events.EntriesListed(()))
    world.start(1)
    world.configure(
        dataclasses.replace(
            router_world.build_configuration(2), services={"pool": service}
        )
    )
    context.world, context.key = world, COLD_KEY


@when("nothing has happened")
def do_nothing(context):
    del context


@when('the list says that "up-0" is cold for {left:g} s')
def list_cold(context, left):
    listed = router_world.build_upstream(0, cold_left_s=left)
    context.world.apply(events.UpstreamChanged(listed))


@when('"up-0" is listed with another start')
def list_restart(context):
    listed = router_world.build_upstream(0, started_ms=7)
    context.world.apply(events.UpstreamChanged(listed))
    context.key = upstream_limits.build_key("up-0", 7)


@when('"up-0" isn\'t reached')
def fail_to_reach(context):
    context.world.end(context.world.ask("open"), "unreached")


@when('"up-0" isn\'t reached, and answers the next request')
def reach_again(context):
    world = context.world
    world.run(cold_upstreams.defaults.COLD_HOLD_S + 1.0)
    fail_to_reach(context)
    world.run(1.0)
    world.answer_whole(world.ask("open"))


@when("it is listed as cold for 8 s, fails and answers")
def list_and_reach_again(context):
    context.world.run(cold_upstreams.defaults.COLD_HOLD_S + 1.0)
    list_cold(context, 8.0)
    fail_to_reach(context)
    context.world.run(1.0)
    context.world.answer_whole(context.world.ask("open"))


@when('another entry tells that "up-0" is cold for {left:g} s')
def tell_cold(context, left):
    report = messages.ColdReport(COLD_KEY[0], 0, round(left * 1000))
    heartbeat = messages.Heartbeat(
        name="entry-9",
        incarnation=1,
        address="127.0.0.1:19",
        stopping=False,
        cold=(report,),
    )
    context.world.apply(core_events.MessageReceived(heartbeat))


@then('"up-0" counts as cold for {left:g} s')
def check_cold(context, left):
    belief = context.world.state.view.cold.beliefs.get(context.key)
    found = belief.until - context.world.now if belief else 0.0
    assert abs(found - left) < 1e-6, found


@then("its next heartbeat reports no cold upstream")
def check_not_told(context):
    context.world.run(1.0)
    told = [
        x.message
        for x in context.world.messages()
        if isinstance(x.message, messages.Heartbeat)
    ]
    assert told and not any(x.cold for x in told)
    assert context.world.state.view.cold.is_cold(
        COLD_KEY, now=context.world.now
    )


@then('the log has "upstream_cold" and "upstream_warm" of "up-0"')
def check_log(context):
    found = [
        x.decision
        for x in context.world.effects
        if getattr(x, "upstream", "") == "up-0" and hasattr(x, "decision")
    ]
    assert found[-2:] == ["upstream_cold", "upstream_warm"], found


@then("settings may lack the bounds of cold upstreams, and have a slack of 0")
def check_settings(context):
    del context
    settings = router_world.build_settings()
    for bounds in ({}, {"cold_overshoot": 1.5, "cold_slack": 0}):
        changed = msgspec.structs.replace(settings.bounds, **bounds)
        given = msgspec.structs.replace(settings, bounds=changed)
        assert options.parse_settings(msgspec.json.encode(given)) == given


@then("the list and the configuration tell what upstreams tolerate when cold")
def check_wire(context):
    del context
    service = wire.build_service(
        wire.WireService(name="pool", cold_s=3.0, cold_per_s=10.0)
    )
    assert (service.cold_duration_s, service.cold_rate_per_s) == (3.0, 10.0)
    spec = {"service": "pool", "addr": "127.0.0.1:1", "state": wire.READY}
    stored = wire.StoredObject(
        metadata=wire.Metadata(name="up-0"),
        spec=msgspec.Raw(msgspec.json.encode(spec | {"cold_left_ms": 1500})),
    )
    assert wire.decode_upstream(stored, era=0).cold_left_s == 1.5
