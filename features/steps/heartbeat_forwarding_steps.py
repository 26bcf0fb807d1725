"""Steps for heartbeats that are forwarded between data centres."""

import random

from behave import given
from behave import then
from behave import when
import msgspec
from support import heartbeat_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

DATA_CENTRE = "west-1"
OTHER_DATA_CENTRE = "west-2"
LOSS_RATE = 0.05
SLOW_LINK_MBPS = 10.0


@given("{data_centres:d} data centres with {entries:d} entries each")
def build_fleet(context, data_centres, entries):
    context.heartbeat_fleet = heartbeat_fleet.HeartbeatFleet(
        rng=random.Random(data_centres),
        data_centres=data_centres,
        entries=entries,
    )


@given(
    "{data_centres:d} data centres with {entries:d} entries each, and 5 % of "
    "the messages between them lost"
)
def build_lossy_fleet(context, data_centres, entries):
    build_fleet(context, data_centres, entries)
    context.heartbeat_fleet.loss_rate = LOSS_RATE


@given(
    "{data_centres:d} data centres with {entries:d} entries each, the last "
    "{fast:d} of which have links ten times as fast"
)
def build_fleet_with_links(context, data_centres, entries, fast):
    build_fleet(context, data_centres, entries)
    fleet = context.heartbeat_fleet
    for number in range(data_centres):
        names = fleet.list_names(f"west-{number}")
        for name in names[:-fast]:
            fleet.set_link(name, SLOW_LINK_MBPS)
        for name in names[-fast:]:
            fleet.set_link(name, 10 * SLOW_LINK_MBPS)
    context.fast = fast


@then("in each data centre the last {fast:d} entries are the forwarders")
def check_fast_forwarders(context, fast):
    fleet = context.heartbeat_fleet
    for name, world in fleet.worlds.items():
        nearby = fleet.list_names(world.state.settings.data_centre)
        is_forwarder = world.state.forwarder_rank is not None
        assert is_forwarder == (name in nearby[-fast:]), name


@then(
    "an entry with a slow link sends at most a quarter of what the busiest "
    "one sends"
)
def check_slow_links(context):
    fleet = context.heartbeat_fleet
    fleet.sent_bytes.clear()
    fleet.run(4.0)
    slow = [
        fleet.sent_bytes[name]
        for name, world in fleet.worlds.items()
        if world.state.settings.host.link_mbps == SLOW_LINK_MBPS
    ]
    busiest = max(fleet.sent_bytes.values())
    assert max(slow) <= busiest / 4, (max(slow), busiest)


@when("heartbeat ages are measured for {wait:g} s, starting after {start:g} s")
def measure_ages(context, wait, start):
    fleet = context.heartbeat_fleet
    if start:
        fleet.run(start)
    fleet.remote_messages = fleet.remote_bytes = 0
    fleet.run(wait, measure_age=True)
    context.measured_s = wait


@when("the entries run on for {wait:g} s")
def run(context, wait):
    context.heartbeat_fleet.run(wait)


@given("every entry has served {count:d} sessions")
def run_sessions(context, count):
    # In the first second the entries learn which data centre each is in.
    context.heartbeat_fleet.run(1.0)
    context.heartbeat_fleet.run_sessions(count)


@then(
    "every entry knows all sessions that keep their version within {wait:g} s"
)
def check_kept_sessions(context, wait):
    context.heartbeat_fleet.run(wait)
    kept = context.heartbeat_fleet.list_kept_sessions()
    assert kept[0], "no session keeps its version"
    assert all(x == kept[0] for x in kept), [len(x) for x in kept]


@when("a roll-out is ordered")
def order_rollout(context):
    context.heartbeat_fleet.order_rollout()


@then("each entry's latest heartbeat from any other was at most {age:g} s old")
def check_ages(context, age):
    assert 0.0 < context.heartbeat_fleet.max_age_s <= age, (
        context.heartbeat_fleet.max_age_s
    )


@then(
    "at most {count:d} messages and {size:d} KB a second were sent between "
    "data centres"
)
def check_remote_traffic(context, count, size):
    fleet = context.heartbeat_fleet
    traffic = fleet.remote_messages / context.measured_s, fleet.remote_bytes
    assert 0 < fleet.remote_messages <= count * context.measured_s, traffic
    assert fleet.remote_bytes <= size * 1000 * context.measured_s, traffic


@when("the first forwarder of one data centre is suspended")
def suspend_forwarder(context):
    fleet = context.heartbeat_fleet
    context.suspended = fleet.list_names(DATA_CENTRE)[:1]
    fleet.suspended.update(context.suspended)
    # Restart the measurement: the known heartbeats of this entry age from now.
    fleet.max_age_s = 0.0


@when("both forwarders of one data centre are suspended")
def suspend_forwarders(context):
    fleet = context.heartbeat_fleet
    context.suspended = fleet.list_names(DATA_CENTRE)[:2]
    fleet.suspended.update(context.suspended)


@when("an entry of another data centre is suspended {wait:g} s later")
def suspend_entry(context, wait):
    fleet = context.heartbeat_fleet
    fleet.run(wait)
    context.forwarder = context.suspended[0]
    context.suspended = fleet.list_names(OTHER_DATA_CENTRE)[-1:]
    fleet.suspended.update(context.suspended)


@when("the forwarder resumes after {wait:g} s")
def resume_forwarder(context, wait):
    context.heartbeat_fleet.run(wait)
    context.heartbeat_fleet.resume(context.forwarder)


def list_live(world, now):
    return {x.name for x in world.state.entries.list_live(now=now)}


@then("the forwarder counts as silent everywhere")
def check_forwarder_silent(context):
    check_suspended_silent(
        context, context.heartbeat_fleet.list_running_entries()
    )


@then("the log says which entries are the forwarders now, and why")
def check_forwarders_logged(context):
    fleet = context.heartbeat_fleet
    _, second, third = fleet.list_names(DATA_CENTRE)[:3]
    begun = [
        (name, line.reason)
        for name, line in fleet.decisions
        if line.decision == "carrying_begun"
    ]
    assert (second, "place 1 by link and name") in begun, begun
    assert (third, "place 2 by link and name") in begun, begun


@then("all entries that kept running count the suspended entry as silent")
def check_entry_silent(context):
    fleet = context.heartbeat_fleet
    resumed = fleet.worlds[context.forwarder]
    check_suspended_silent(
        context, [x for x in fleet.list_running_entries() if x != resumed]
    )


def check_suspended_silent(context, worlds):
    fleet = context.heartbeat_fleet
    for world in worlds:
        live = list_live(world, fleet.now)
        assert not live & set(context.suspended), world.state.settings.name


@then("the running entries know one another as live")
def check_live(context):
    fleet = context.heartbeat_fleet
    running = len(fleet.list_running_entries())
    assert fleet.count_live_peers() == (running - 1, running - 1), (
        fleet.count_live_peers()
    )


@when("one data centre is isolated for {wait:g} s")
def isolate_data_centre(context, wait):
    fleet = context.heartbeat_fleet
    fleet.isolated.add(DATA_CENTRE)
    fleet.run(wait)
    context.live_by_entry = {
        name: list_live(x, fleet.now) for name, x in fleet.worlds.items()
    }
    fleet.isolated.clear()


@then("no other data centre counts its entries as live")
def check_isolated(context):
    isolated = set(context.heartbeat_fleet.list_names(DATA_CENTRE))
    for name, live in context.live_by_entry.items():
        if name not in isolated:
            assert not live & isolated, name


@when("an entry is added")
def add_entry(context):
    fleet = context.heartbeat_fleet
    fleet.add_entry(len(fleet.worlds), DATA_CENTRE)
    fleet.register_entries()


@when("a heartbeat from before an entry's restart is forwarded")
def forward_old_heartbeat(context):
    fleet = context.heartbeat_fleet
    context.world = fleet.worlds[fleet.list_names(DATA_CENTRE)[0]]
    known = context.world.state.entries.peers[
        fleet.list_names(OTHER_DATA_CENTRE)[0]
    ]
    context.newest = known.heartbeat
    old = msgspec.structs.replace(
        known.heartbeat,
        incarnation=known.heartbeat.incarnation - 1,
        stopping=True,
    )
    bundle = messages.HeartbeatBundle(
        told=(messages.ForwardedHeartbeat(age_ms=0, news=old),), onward=False
    )
    context.world.now = fleet.now + 1.0
    context.world.apply(core_events.MessageReceived(bundle))


@then("the entry's newest incarnation is still known")
def check_newest(context):
    known = context.world.state.entries.peers[context.newest.name]
    assert known.heartbeat == context.newest, known
