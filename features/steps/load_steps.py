"""Steps for the load tool's own parts."""

import asyncio
import json
import random

from behave import given
from behave import then
from behave import when
import msgspec

from rhubarbbank_core import allowances
from rhubarbbank_core import events
from rhubarbbank_core import membership_messages
from rhubarbbank_core import program_effects
from rhubarbbank_core import requests
from rhubarbbank_experiments import load_offer
from rhubarbbank_experiments import load_schedule
from rhubarbbank_experiments import report_latency
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_fit


def plan(seed):
    phases = [
        load_schedule.Phase(duration_s=10.0, rate_per_s=50.0),
        load_schedule.Phase(duration_s=5.0, rate_per_s=0.0),
        load_schedule.Phase(duration_s=10.0, rate_per_s=50.0),
    ]
    return load_schedule.draw_arrivals(phases, seed=seed)


@when("the load tool plans 20 s at 50 calls a second with seed 7 twice")
def plan_twice(context):
    context.schedules = [plan(7), plan(7)]


@then("both load schedules are the same")
def check_same(context):
    assert context.schedules[0] == context.schedules[1]


@then("the load schedule of seed 8 differs")
def check_differs(context):
    assert plan(8) != context.schedules[0]


@then("each load arrival lies within its phase")
def check_phases(context):
    arrivals = context.schedules[0]
    assert arrivals == sorted(arrivals)
    assert all(0 <= x < 10 or 15 <= x < 25 for x in arrivals)


@then("the load tool plans between {least:d} and {most:d} calls")
def check_count(context, least, most):
    assert least <= len(context.schedules[0]) <= most


@when("the load tool offers calls at 0.00, 0.02 and 0.04 s that all take 0.3 s")
def offer(context):
    state = {"open": 0, "most": 0}

    async def call(number):
        state["open"] += 1
        state["most"] = max(state["most"], state["open"])
        await asyncio.sleep(0.3)
        state["open"] -= 1

    asyncio.run(load_offer.offer(call, [0.0, 0.02, 0.04]))
    context.most_open = state["most"]


@then("all {count:d} offered calls are open at the same time")
def check_open(context, count):
    assert context.most_open == count


@when("{count:d} seeded durations go into a latency histogram")
def record(context, count):
    rng = random.Random(3)
    context.durations = sorted(rng.lognormvariate(-3, 1) for _ in range(count))
    context.latencies = report_latency.Latencies()
    for duration in rng.sample(context.durations, count):
        context.latencies.record(duration)


@then("its percentiles lie within 0.2 % of the sorted durations'")
def check_percentiles(context):
    count = len(context.durations)
    for percentile in (50, 95, 99, 100):
        rank = -(-percentile * count // 100) - 1
        wanted = context.durations[rank] * 1000
        found = context.latencies.percentile_ms(percentile)
        assert abs(found - wanted) <= 0.002 * wanted, (found, wanted)


@when("a line is fitted to points on y = 3 x + 2")
def fit(context):
    context.fit = slopes_fit.fit_line([1, 2, 5, 9], [5, 8, 17, 29])


@then("the fit's slope is 3, its base 2 and its r2 1")
def check_fit(context):
    assert abs(context.fit.slope - 3) < 1e-9
    assert abs(context.fit.base - 2) < 1e-9
    assert abs(context.fit.r2 - 1) < 1e-9


@given("a bench of an entry with {count:d} sidecars")
def make_bench(context, count):
    shape = slopes_entry.FleetShape(entries=1, sidecars=count)
    context.bench = slopes_entry.EntryBench(shape=shape)
    context.bench.run(8.0)


@when("a request waits for the first slice of its allowance")
def ask(context):
    parsed = requests.parse_request(
        request_id="bench-1",
        kind=requests.WorkKind.CHAT,
        headers=requests.CallerHeaders(organisation="organisation-0001"),
        body=json.dumps(
            {
                "model": "model-0",
                "messages": [{"role": "user", "content": "hello"}],
            }
        ).encode(),
    )
    assert isinstance(parsed, requests.CallerRequest), parsed
    context.bench.reset()
    context.bench.apply(events.RequestReceived(parsed))
    waiting = [type(x) for x in context.bench.own]
    assert waiting == [allowances.SliceRequest], (
        waiting,
        context.bench.effects,
    )


@when("the bench delivers the grant, and the wake-up that the entry asks for")
def grant(context):
    bench = context.bench
    bench.carry_own()
    context.waited_s = 0.0
    position = 0
    # Rounding may leave a hair's breadth to wait for a second time.
    while position < len(bench.effects):
        effect = bench.effects[position]
        position += 1
        if isinstance(effect, program_effects.RetryAfter):
            bench.now += effect.delay_s
            context.waited_s += effect.delay_s
            bench.apply(events.RetryDue(effect.request_id))


@then("the entry asked to be woken within {most_ms:d} ms")
def check_wait(context, most_ms):
    assert 0 < context.waited_s * 1000 <= most_ms, context.waited_s


@then("the request is submitted to a sidecar")
def check_submitted(context):
    sent = context.bench.sent.messages
    assert sent["Submit"] == 1, (sent, context.bench.effects)


def change_hosts(bench, rng):
    kinds = [("entry", x) for x in range(6)] + [("engine", 0)]
    hosts = [
        msgspec.structs.replace(
            bench.make_host(kind, number),
            state=rng.choice(["live", "live", "leaving"]),
        )
        for kind, number in kinds
        if rng.random() < 0.8
    ]
    bench.apply(events.HostsListed(hosts))


def change_row(bench, rng):
    row = membership_messages.EntryRow(
        name=f"entry-{rng.randrange(1, 8)}",
        incarnation=rng.randrange(1, 4),
        refutation=rng.randrange(3),
        address="127.0.0.1:9",
        data_centre="data-centre-0",
        state=rng.choice(list(membership_messages.EntryState)),
    )
    update = membership_messages.DirectoryUpdate(name="x", entries=(row,))
    bench.deliver(update)


@when("{count:d} seeded changes of the host list and of entries' rows arrive")
def change_fleet(context, count):
    rng = random.Random(11)
    view = context.bench.reducer.state.control.fleet.membership
    context.wrong = 0
    context.required = []
    for _ in range(count):
        context.bench.now += rng.choice([0.1, 1.0, 300.0])
        rng.choice([change_hosts, change_row])(context.bench, rng)
        kept = view.required_entries()
        context.wrong += kept != view.find_required()
        context.required.append(kept)


@then("the required entries were always those found anew")
def check_required(context):
    assert context.wrong == 0, context.wrong


@then("the required entries changed at least {count:d} times")
def check_changes(context, count):
    pairs = zip(context.required, context.required[1:], strict=False)
    assert sum(a != b for a, b in pairs) >= count
