import random

import behave
import fleet as fleets

from rhubarbbank_core import effects
from rhubarbbank_core import store
from rhubarbbank_core import table_sync
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import table_sync_messages


@behave.then("every process of the fleet holds the newest table")
def then_newest(context):
    assert context.fleet.converged()


@behave.then("host {name} holds an older table")
def then_older(context, name):
    held = context.fleet.node(name).sync.revision
    assert held < context.fleet.revision


@behave.when("the fleet heals")
def when_heals(context):
    context.fleet.no_store.clear()
    context.fleet.group.clear()


@behave.then("the store gets at most {most:d} calls a second for each watcher")
def then_calls(context, most):
    fleet = context.fleet
    before = fleet.store_calls
    fleet.run(20)
    watchers = sum(
        place.is_entry and place.node.membership.watching
        for place in fleet.places.values()
    )
    rate = (fleet.store_calls - before) / 20
    print(f"{rate} calls a second with {watchers} watchers")
    assert 0 < rate <= most * watchers, rate


@behave.given("a table sync that holds revision {revision:d}")
def given_sync(context, revision):
    context.sync = table_sync.TableSync(
        name="a-1",
        address="a-1:1",
        decode=fleets.decode,
        call_ids=effects.CallIds(),
        rng=random.Random(1),
    )
    push(context, f"{revision}:{revision * 7}")


def push(context, raw):
    context.step = context.sync.on_push(
        table_sync_messages.TablePush(name="a-2", raw=raw.encode())
    )


@behave.when("the table sync gets revision {revision:d} from a peer")
def when_push(context, revision):
    push(context, f"{revision}:{revision * 7}")


@behave.when("the table sync hears of revision {revision:d} with digest {d:d}")
def when_hears(context, revision, d):
    context.step = context.sync.on_peer_table(
        name="a-2", address="a-2:1", revision=revision, digest=d, now=1.0
    )


@behave.then("the table sync reports a fault")
def then_fault(context):
    kinds = [type(event) for event in context.step.events]
    assert kinds == [table_sync_events.TableFault], kinds


@behave.when(
    "the table sync reads revision {revision:d} with digest {d:d} "
    "from the store"
)
def when_reads(context, revision, d):
    sync = context.sync
    calls = []
    for now in (1.0, 3.0):
        calls += sync.tick(
            now=now, watching=False, confirmed_age_s=0.0, neighbours={}
        ).effects
    (call,) = calls
    stored = store.StoredObject("table", 1, f"{revision}:{d}".encode())
    sync.on_store_reply(
        store.StoreReply(
            call_id=call.call_id,
            outcome=store.StoreOutcome.OK,
            objects=(stored,),
        ),
        now=3.1,
    )


@behave.then("the table sync holds revision {revision:d} with digest {d:d}")
def then_holds(context, revision, d):
    assert (context.sync.revision, context.sync.digest) == (revision, d)
