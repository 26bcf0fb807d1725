"""Steps for heartbeats that are forwarded between data centres."""

import random

from behave import given
from behave import then
from behave import when
import msgspec
from support import news_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

FAR = "west-1"
ELSEWHERE = "west-2"
LOSS = 0.05


@given("{places:d} data centres with {entries:d} entries each")
def build_fleet(context, places, entries):
    context.news = news_fleet.NewsFleet(
        rng=random.Random(places), places=places, entries=entries
    )


@given(
    "{places:d} data centres with {entries:d} entries each, and 5 % of the "
    "messages between them lost"
)
def build_lossy_fleet(context, places, entries):
    build_fleet(context, places, entries)
    context.news.loss = LOSS


@when("heartbeat ages are measured for {wait:g} s, starting after {start:g} s")
def run_and_look(context, wait, start):
    fleet = context.news
    if start:
        fleet.run(start)
    fleet.far_frames = fleet.far_bytes = 0
    fleet.run(wait, look=True)
    context.looked_s = wait


@when("the entries run on for {wait:g} s")
def run(context, wait):
    context.news.run(wait)


@given("every entry has served {count:d} sessions")
def run_sessions(context, count):
    # In the first second the entries learn which data centre each is in.
    context.news.run(1.0)
    context.news.run_sessions(count)


@then(
    "every entry knows all sessions that keep their version within {wait:g} s"
)
def check_kept(context, wait):
    context.news.run(wait)
    kept = context.news.list_kept()
    assert kept[0], "no session keeps its version"
    assert all(x == kept[0] for x in kept), [len(x) for x in kept]


@when("a roll-out is ordered")
def order(context):
    context.news.order()


@then("each entry's latest heartbeat from any other was at most {age:g} s old")
def check_ages(context, age):
    assert 0.0 < context.news.oldest_s <= age, context.news.oldest_s


@then(
    "at most {frames:d} messages and {size:d} KB a second were sent between "
    "data centres"
)
def check_far(context, frames, size):
    fleet = context.news
    told = fleet.far_frames / context.looked_s, fleet.far_bytes
    assert 0 < fleet.far_frames <= frames * context.looked_s, told
    assert fleet.far_bytes <= size * 1000 * context.looked_s, told


@when("the first forwarder of one data centre is suspended")
def lose_carrier(context):
    fleet = context.news
    context.lost = fleet.list_carriers(FAR)[:1]
    fleet.asleep.update(context.lost)
    # Restart the measurement: the known heartbeats of this entry age from now.
    fleet.oldest_s = 0.0


@when("both forwarders of one data centre are suspended")
def lose_carriers(context):
    fleet = context.news
    context.lost = fleet.list_carriers(FAR)[:2]
    fleet.asleep.update(context.lost)


@when("an entry of another data centre is suspended {wait:g} s later")
def lose_entry(context, wait):
    fleet = context.news
    fleet.run(wait)
    context.carrier = context.lost[0]
    context.lost = fleet.list_carriers(ELSEWHERE)[-1:]
    fleet.asleep.update(context.lost)


@when("the forwarder resumes after {wait:g} s")
def wake_carrier(context, wait):
    context.news.run(wait)
    context.news.wake(context.carrier)


def list_live(world, now):
    return {x.name for x in world.state.entries.list_live(now=now)}


@then("the forwarder counts as silent everywhere")
def check_silent(context):
    check_silent_with(context, context.news.list_awake())


@then("the log says which entries are the forwarders now, and why")
def check_lines(context):
    fleet = context.news
    _, second, third = fleet.list_carriers(FAR)[:3]
    told = [
        (name, line.reason)
        for name, line in fleet.lines
        if line.decision == "carrying_begun"
    ]
    assert (second, "place 1 by name") in told, told
    assert (third, "place 2 by name") in told, told


@then("all entries that kept running count the suspended entry as silent")
def check_silent_elsewhere(context):
    fleet = context.news
    woken = fleet.worlds[context.carrier]
    check_silent_with(context, [x for x in fleet.list_awake() if x != woken])


def check_silent_with(context, worlds):
    fleet = context.news
    for world in worlds:
        live = list_live(world, fleet.now)
        assert not live & set(context.lost), world.state.settings.name


@then("the running entries know one another as live")
def check_live(context):
    fleet = context.news
    awake = len(fleet.list_awake())
    assert fleet.count_live() == (awake - 1, awake - 1), fleet.count_live()


@when("one data centre is isolated for {wait:g} s")
def cut_place(context, wait):
    fleet = context.news
    fleet.cut.add(FAR)
    fleet.run(wait)
    context.seen = {
        name: list_live(x, fleet.now) for name, x in fleet.worlds.items()
    }
    fleet.cut.clear()


@then("no other data centre counts its entries as live")
def check_cut(context):
    there = set(context.news.list_carriers(FAR))
    for name, live in context.seen.items():
        if name not in there:
            assert not live & there, name


@when("an entry is added")
def add_entry(context):
    fleet = context.news
    fleet.build(len(fleet.worlds), FAR)
    fleet.register()


@when("a heartbeat from before an entry's restart is forwarded")
def pass_on_old(context):
    fleet = context.news
    context.world = fleet.worlds[fleet.list_carriers(FAR)[0]]
    known = context.world.state.entries.peers[fleet.list_carriers(ELSEWHERE)[0]]
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
