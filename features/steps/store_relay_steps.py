"""Steps for entries that read the store for one another."""

import random

from behave import given
from behave import then
from behave import when
from support import relay_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

LOSS = 0.03
HISTORY_S = 40.0


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
        if node.world.state.relay.reading
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
    assert context.world.state.relay.reading
    asks = [
        x
        for x in context.world.messages()
        if isinstance(x.message, messages.StoreAsk)
    ]
    assert not asks
