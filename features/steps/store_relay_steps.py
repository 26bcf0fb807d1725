"""Steps for entries that read the store for one another."""

import asyncio
import random

from behave import given
from behave import then
from behave import when
from support import growing_store
from support import relay_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

LOSS = 0.03
HISTORY_S = 40.0
KNOWN_WITHIN_S = 0.5


@when("{entries:d} entries follow the store for {duration:g} s")
def follow(context, entries, duration):
    context.fleet = relay_fleet.RelayFleet(
        rng=random.Random(entries), entries=entries, troubles=False
    )
    context.fleet.run(duration)


@then("at most {most:d} of them reads it")
def check_readers(context, most):
    found = [
        name
        for name, node in context.fleet.nodes.items()
        if node.world.state.relay.is_reader
    ]
    assert 1 <= len(found) <= most, found


@then("it got at most {most:d} calls")
def check_calls(context, most):
    assert context.fleet.calls <= most, context.fleet.calls


@then("every entry knew in time what holds")
def check_faults(context):
    assert not context.fleet.faults, context.fleet.faults[:5]


@then(
    "in {count:d} histories with {entries:d} entries each entry knows in time "
    "what holds"
)
def check_histories(context, count, entries):
    for seed in range(count):
        fleet = relay_fleet.RelayFleet(
            rng=random.Random(seed), entries=entries, loss=LOSS
        )
        fleet.run(HISTORY_S)
        assert not fleet.faults, (seed, fleet.faults[:5])


@given("a peer that reads the store and keeps it informed")
def add_reader(context):
    context.world.apply(
        core_events.MessageReceived(
            messages.EntryNews(
                name="entry-",
                incarnation=1,
                address="127.0.0.1:9",
                stopping=False,
                data_centre="west-a",
                reads=True,
            )
        )
    )


@then("it still reads the store itself")
def check_reading(context):
    assert context.world.state.relay.is_reader
    asks = [
        x
        for x in context.world.messages()
        if isinstance(x.message, messages.StoreAsk)
    ]
    assert not asks


@when(
    "an entry whose bounds {allow} follows the store while {count:d} upstreams "
    "register in {period:g} s"
)
def register_upstreams(context, allow, count, period):
    store = growing_store.GrowingStore(
        count=count,
        period_s=period,
        relays_enabled=allow == "allow for readers",
    )
    asyncio.run(store.follow(KNOWN_WITHIN_S))
    context.store = store


@then("it knows all of them within {wait:g} s of the last")
def check_known(context, wait):
    assert wait == KNOWN_WITHIN_S
    store = context.store
    assert len(store.known) == store.count, len(store.known)


@then("its watches were at least {least:d} and at most {most:d}")
def check_watches(context, least, most):
    assert least <= context.store.watches <= most, context.store.watches
