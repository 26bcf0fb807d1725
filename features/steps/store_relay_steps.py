"""Steps for the sharing of store reads among entries."""

import asyncio
import random

from behave import given
from behave import then
from behave import when
from support import growing_store
from support import relay_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

LOSS_RATE = 0.03
HISTORY_DURATION_S = 40.0
SETTLE_S = 0.5


@when("{entries:d} entries run for {duration:g} s")
def run_fleet(context, entries, duration):
    context.fleet = relay_fleet.RelayFleet(
        rng=random.Random(entries),
        entries=entries,
        faults=False,
        own_changes=True,
    )
    context.fleet.run(duration)


@then("at most {most:d} of them is a reader")
def check_readers(context, most):
    found = [
        name
        for name, node in context.fleet.nodes.items()
        if node.world.state.relay.is_reader
    ]
    assert 1 <= len(found) <= most, found


@then("the store received at most {most:d} calls")
def check_calls(context, most):
    assert context.fleet.calls <= most, context.fleet.calls


@then("every entry's data stayed within its age limits")
def check_violations(context):
    assert not context.fleet.violations, context.fleet.violations[:5]


@then(
    "in {count:d} histories with {entries:d} entries all data stays within its "
    "age limits"
)
def check_histories(context, count, entries):
    for seed in range(count):
        fleet = relay_fleet.RelayFleet(
            rng=random.Random(seed), entries=entries, loss_rate=LOSS_RATE
        )
        fleet.run(HISTORY_DURATION_S)
        assert not fleet.violations, (seed, fleet.violations[:5])


@given("a peer that is a reader")
def add_reader(context):
    context.world.apply(
        core_events.MessageReceived(
            messages.Heartbeat(
                name="entry-",
                incarnation=1,
                address="127.0.0.1:9",
                stopping=False,
                data_centre="west-a",
                reads=True,
            )
        )
    )


@then("it is still a reader and has sent no update requests")
def check_still_reader(context):
    assert context.world.state.relay.is_reader
    requests = [
        x
        for x in context.world.messages()
        if isinstance(x.message, messages.StoreUpdateRequest)
    ]
    assert not requests


@when(
    "an entry whose bounds {bounds} a relay watches {count:d} upstreams "
    "register in {period:g} s"
)
def register_upstreams(context, bounds, count, period):
    store = growing_store.GrowingStore(
        count=count,
        period_s=period,
        relays_enabled=bounds == "allow",
    )
    asyncio.run(store.follow(SETTLE_S))
    context.store = store


@then("it knows all of them {wait:g} s after the last")
def check_known(context, wait):
    assert wait == SETTLE_S
    store = context.store
    assert len(store.known_ids) == store.count, len(store.known_ids)


@then("it used between {least:d} and {most:d} watches")
def check_watches(context, least, most):
    assert least <= context.store.watches <= most, context.store.watches
