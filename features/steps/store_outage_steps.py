"""Steps for removals of upstreams around failed calls to the store."""

import asyncio

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_platform import wire
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import store_position
from rhubarbbank_standins import platform_store

CUT_PERIOD_S = 0.4
RELAY_BOUNDS = {"config_apply_ms": 4_000.0, "drain_ms": 4_000.0}
CALL_ENDS = {
    "list": events.StoreAnswered(events.Subject.UPSTREAMS),
    "configuration": events.StoreAnswered(events.Subject.CONFIGURATION),
    "failure": events.StoreFailed(events.Subject.UPSTREAMS, "test"),
    "cut": events.WatchCut(events.Subject.UPSTREAMS),
}


def play_calls(world, calls):
    """Applies the ends of calls, such as "list 0, failure 1.5"."""
    began_at = world.now
    for each in calls.split(","):
        name, at = each.split()
        world.run(began_at + float(at) - world.now)
        world.configure(world.state.active_configuration)
        world.apply(CALL_ENDS[name])


@when('its calls to the store end like "{calls}"')
def play_own_calls(context, calls):
    play_calls(context.world, calls)


@when("upstream {number:d} is listed again")
def list_again(context, number):
    listed = router_world.build_upstream(number)
    context.world.apply(events.UpstreamChanged(listed))


@given('a reader whose calls to the store end like "{calls}"')
def start_reader(context, calls):
    context.reader = router_world.World(name="entry-1", **RELAY_BOUNDS)
    context.reader.start()
    play_calls(context.reader, calls)


@when("the reader sends that upstream {number:d} was removed")
def relay_removal(context, number):
    world, reader = context.world, context.reader
    world.now = reader.now
    world.configure(world.state.active_configuration)
    world.state.relay.is_reader = False
    request = messages.StoreUpdateRequest(
        name=world.state.settings.name,
        address=world.state.settings.peer_address,
        asked_at=world.now,
        position=0,
    )
    reader.apply(core_events.MessageReceived(request))
    reader.apply(events.UpstreamUnlisted(f"up-{number}"))
    reader.effects.clear()
    reader.apply(
        events.UpstreamsConfirmed(
            position=store_position.StorePosition(0, 20),
            current_at=reader.now,
        )
    )
    (update,) = (each.message for each in reader.messages())
    assert update.gone == (f"up-{number}",), update
    world.apply(core_events.MessageReceived(update))


@when(
    "the store cuts the watches, and upstream {number:d} leaves {delay:g} s "
    "later"
)
def cut_before_removal(context, number, delay):
    store = context.watched.store

    async def change():
        store.cut_watches()
        await asyncio.sleep(delay)
        store.remove(wire.UPSTREAM_KIND, f"up-{number}")

    context.change = change


@when(
    "the store cuts the watches {count:d} times, and upstream {number:d} "
    "leaves meanwhile"
)
def cut_around_removal(context, count, number):
    store = context.watched.store

    async def change():
        for turn in range(count):
            store.cut_watches()
            await asyncio.sleep(CUT_PERIOD_S)
            if turn == count - 2:
                store.remove(wire.UPSTREAM_KIND, f"up-{number}")

    context.change = change


@when("the store is away for {duration:g} s, and upstream {number:d} lapses")
def lapse(context, duration, number):
    watched = context.watched

    async def change():
        watched.store.faults[watched.port] = platform_store.Fault.RESET
        watched.store.cut_watches()
        await asyncio.sleep(duration)
        watched.store.remove(wire.UPSTREAM_KIND, f"up-{number}")
        watched.store.faults.clear()

    context.change = change


def is_used(context, number):
    accepting = context.watched.world.state.view.list_accepting(
        "pool", now=context.watched.world.now
    )
    return f"up-{number}" in {each.listed.upstream_id for each in accepting}


@then("the entry no longer uses upstream {number:d} within {bound:g} s")
def check_removed(context, number, bound):
    asyncio.run(context.watched.run(context.change, bound))
    assert not is_used(context, number)


@then("the entry still uses upstream {number:d} after {duration:g} s")
def check_lapsed(context, number, duration):
    asyncio.run(context.watched.run(context.change, 3.0))
    context.watched.world.run(duration)
    assert is_used(context, number)
