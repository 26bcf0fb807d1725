"""Steps for an entry whose ledger has no room for more claims."""

import dataclasses

from behave import given
from behave import then
from behave import when
import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import entry_claims
from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_placement

CLAIM_BYTES = 200
SETTLED_S = 20.0


@given("an entry whose only shard has room for {count:d} claim")
def make_entry(context, count):
    shape = slopes_entry.FleetShape(
        entries=1, sidecars=3, data_centres=1, shards=1
    )
    context.bench = slopes_entry.EntryBench(shape=shape)
    context.bench.run(SETTLED_S)
    (shard,) = context.bench.reducer.state.control.owner.owned.values()
    shard.memory.retention = dataclasses.replace(
        shard.memory.retention, claim_bytes=count * CLAIM_BYTES
    )
    context.memory = shard.memory


def send_call(bench, number):
    state = bench.reducer.state
    opened = slopes_placement.open_request(state)
    opened.request = msgspec.structs.replace(
        opened.request,
        request_id=f"{number:032x}",
        idempotency_key=f"key-{number:032x}",
        idempotent=False,
    )
    state.open[opened.request.request_id] = opened
    for effect in entry_claims.claim(state, opened, now=bench.now):
        assert isinstance(effect, effects.Send)
        bench.send(effect)
    return opened


@when(
    "{count:d} calls that may not be repeated come, each with a key of its own"
)
def send_calls(context, count):
    bench = context.bench
    bench.effects.clear()
    context.opened = []
    for number in range(count):
        context.opened.append(send_call(bench, number))
        bench.carry_own()
        # The refusal needs no turn of the clock; the claim needs its commit.
        context.at_once = [
            x for x in bench.effects if isinstance(x, fx.RefuseCaller)
        ]
        bench.run(1.0)


@then("{count:d} of them is claimed")
def check_claimed(context, count):
    assert sum(opened.claimed for opened in context.opened) == count
    assert context.opened[0].claimed


@then("{count:d} are refused at once as not run, to be sent again later")
def check_refused(context, count):
    assert len(context.at_once) == count, context.bench.effects
    for refused in context.at_once:
        assert refused.problem.run_state is errors.RunState.NOT_RUN
        assert refused.problem.retry_after_s > 0.0


@then("the first claim is still known")
def check_first(context):
    (name,) = context.memory.kept["c"]
    assert context.memory.find(name, now=context.bench.now)
