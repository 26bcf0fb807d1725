"""Steps for the store client."""

import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import ledger_fake_store
from support import trials

from rhubarbbank_core import effects
from rhubarbbank_core import store
from rhubarbbank_core import store_client

Fault = ledger_fake_store.Fault
Outcome = store.StoreOutcome
TICK_S = 0.05


def new_client(*, seed=1, call_ids=None, **limits):
    return store_client.StoreClient(
        call_ids=call_ids or effects.CallIds(),
        rng=random.Random(seed),
        limits=store_client.StoreLimits(**limits),
    )


def put_call(client, key, value, version=0):
    return store.StoreCall(
        call_id=client.call_ids.allocate(),
        operation=store.StoreOperation.PUT,
        key=key,
        value=value.encode(),
        expected_version=version,
    )


def get_call(client, key):
    return store.StoreCall(
        call_id=client.call_ids.allocate(),
        operation=store.StoreOperation.GET,
        key=key,
    )


def run_calls(context, step, now, faults):
    """Carries out calls at once until none is left; returns settled ones."""
    settled = list(step.settled)
    waiting = list(step.calls)
    while waiting:
        call = waiting.pop(0)
        context.sent.append((now, call))
        fault = faults.pop(0) if faults else Fault.NONE
        reply = context.store.call(call, fault)
        answer = context.client.reply(now=now, reply=reply)
        settled.extend(answer.settled)
        waiting.extend(answer.calls)
    return settled


def settle(context, call, faults):
    now = 0.0
    step = context.client.submit(now=now, call=call)
    settled = run_calls(context, step, now, faults)
    while not settled and now < 60.0:
        now += TICK_S
        step = context.client.tick(now=now)
        settled = run_calls(context, step, now, faults)
    assert [reply.call_id for reply in settled] == [call.call_id], settled
    return settled[0]


@given("a store client with {writes:d} writes and {reads:d} reads a second")
def make_client(context, writes, reads):
    context.client = new_client(writes_per_s=writes, reads_per_s=reads)
    context.store = ledger_fake_store.FakeStore()
    context.sent = []


@given('the store object "{key}" holds "{value}"')
def store_holds(context, key, value):
    context.store.apply(put_call(context.client, key, value))


@given('the store object "{key}" holds ""')
def store_holds_nothing(context, key):
    assert key not in context.store.objects


@when(
    'the store client creates "{key}" with "{value}" and the faults "{faults}"'
)
def create_with_faults(context, key, value, faults):
    planned = [Fault(fault) for fault in faults.split(", ")]
    call = put_call(context.client, key, value)
    context.reply = settle(context, call, planned)


@when("the first try of a store client's create lands after its read-back")
def late_landing(context):
    call = put_call(context.client, "a", "mine#1")
    client = context.client
    first = client.submit(now=0.0, call=call).calls[0]
    client.reply(now=0.1, reply=context.store.call(first, Fault.DELAYED))
    back = client.tick(now=1.0).calls[0]
    assert back.operation is store.StoreOperation.GET
    client.reply(now=1.1, reply=context.store.call(back))
    context.store.land()
    again = client.tick(now=3.0).calls[0]
    step = client.reply(now=3.1, reply=context.store.call(again))
    context.reply = step.settled[0]


@then('the store client answers "{outcome}" and the object holds "{value}"')
def check_answer(context, outcome, value):
    held = context.store.objects["a"]
    assert context.reply.outcome == outcome, context.reply
    assert context.reply.objects == (held,), context.reply
    assert held.value == value.encode()


@then('the store applied "{value}" {times:d} times')
def check_applied(context, value, times):
    assert context.store.applied.count(value.encode()) == times


@when("{count:d} store client calls of each kind are submitted at once")
def submit_many(context, count):
    client = context.client
    context.refused = collections.Counter()
    for number in range(count):
        for call in (
            put_call(client, f"k{number}", f"v#{number}"),
            get_call(client, "k"),
        ):
            step = client.submit(now=0.0, call=call)
            context.sent.extend((0.0, call) for call in step.calls)
            for reply in step.settled:
                context.refused[call.operation, reply.outcome] += 1
    for number in range(1, 200):
        now = number * TICK_S
        for call in client.tick(now=now).calls:
            context.sent.append((now, call))


@then(
    "the store client sends at most {rate:d} of each kind in any second after"
    " a burst of {burst:d}"
)
def check_budget(context, rate, burst):
    for operation in (store.StoreOperation.PUT, store.StoreOperation.GET):
        times = [at for at, call in context.sent if call.operation == operation]
        assert len(times) == 60, len(times)
        for start in times:
            for end in times:
                sent = sum(start <= at <= end for at in times)
                assert sent <= burst + rate * max(0.0, end - start) + 1e-6


@then("the store client refuses {count:d} calls of each kind as throttled")
def check_refused(context, count):
    for operation in (store.StoreOperation.PUT, store.StoreOperation.GET):
        assert context.refused == {
            (store.StoreOperation.PUT, Outcome.THROTTLED): count,
            (store.StoreOperation.GET, Outcome.THROTTLED): count,
        }, (operation, context.refused)


@when("the store fails {count:d} store client calls in a row")
def fail_calls(context, count):
    for number in range(count):
        assert not context.client.is_down(now=0.0)
        call = get_call(context.client, f"k{number}")
        step = context.client.submit(now=0.0, call=call)
        run_calls(context, step, 0.0, [Fault.DOWN])


@then(
    'the store client is down and answers the next call "{outcome}" with no'
    " call sent"
)
def check_down(context, outcome):
    assert context.client.is_down(now=0.0)
    assert context.client.last_success is None
    call = get_call(context.client, "k")
    step = context.client.submit(now=0.0, call=call)
    assert not step.calls
    assert step.settled[0].outcome == outcome


@then("the store client sends at most {count:d} probes in {seconds:d} seconds")
def check_probes(context, count, seconds):
    context.sent = []
    for number in range(int(seconds / TICK_S)):
        now = number * TICK_S
        run_calls(context, context.client.tick(now=now), now, [Fault.DOWN])
    assert 5 <= len(context.sent) <= count, len(context.sent)
    assert context.client.is_down(now=60.0)


@then("the store client is up after the first probe that succeeds")
def check_up(context):
    context.sent = []
    run_calls(context, context.client.tick(now=100.0), 100.0, [])
    assert len(context.sent) == 1
    assert not context.client.is_down(now=100.0)
    assert context.client.last_success == 100.0


@then(
    "the store client then sends {first:d} of {count:d} calls at once and the"
    " others at its rate"
)
def check_slow_start(context, first, count):
    client = context.client
    sent = 0
    for number in range(count):
        call = get_call(client, f"k{number}")
        sent += len(client.submit(now=100.0, call=call).calls)
    assert sent == first, sent
    sent += len(client.tick(now=100.5).calls)
    assert sent == first + 0.5 * client.limits.reads_per_s, sent


@given("{count:d} store clients that found the store down at the same time")
def many_down(context, count):
    context.clients = [new_client(seed=seed) for seed in range(count)]
    for client in context.clients:
        for _ in range(3):
            call = get_call(client, "k")
            sent = client.submit(now=0.0, call=call).calls[0]
            down = store.StoreReply(
                call_id=sent.call_id, outcome=Outcome.UNAVAILABLE
            )
            client.reply(now=0.0, reply=down)
        assert client.is_down(now=0.0)


@when(
    "the store recovers {seconds:d} seconds later and each client has"
    " {calls:d} calls to make"
)
def recover_many(context, seconds, calls):
    context.loads = []
    fake = ledger_fake_store.FakeStore()
    left = dict.fromkeys(range(len(context.clients)), calls)
    for number in range(seconds * 10 + 300):
        now = number * 0.1
        fault = Fault.DOWN if now < seconds else Fault.NONE
        load = 0
        for index, client in enumerate(context.clients):
            sent = client.tick(now=now).calls
            if not client.is_down(now=now):
                for _ in range(left[index]):
                    call = get_call(client, "k")
                    sent.extend(client.submit(now=now, call=call).calls)
                left[index] = 0
            load += len(sent)
            for call in sent:
                client.reply(now=now, reply=fake.call(call, fault))
        context.loads.append(load)
    assert not any(left.values())


@then("the store never sees more than {bound:d} calls in a tenth of a second")
def check_load(context, bound):
    peak = max(context.loads[20:])
    assert peak <= bound, peak


@then(
    "{runs:d} random runs of two store clients agree with the store's history"
)
def random_runs(context, runs):
    @trials.repeat(runs)
    @hypothesis.given(strategies.data())
    def run(data):
        check_random_run(data)

    run()


def check_random_run(data):
    fake = ledger_fake_store.FakeStore()
    ids = effects.CallIds()
    clients = [
        new_client(seed=seed, call_ids=ids, failures_to_open=4)
        for seed in (1, 2)
    ]
    submitted = {}
    in_flight = []
    now = 0.0
    for number in range(data.draw(strategies.integers(5, 60))):
        now += data.draw(strategies.sampled_from([0.0, 0.2, 3.0]))
        client = data.draw(strategies.sampled_from(clients))
        action = data.draw(
            strategies.sampled_from(["put", "tick", "answer", "answer", "land"])
        )
        if action == "put":
            key = data.draw(strategies.sampled_from("ab"))
            found = fake.objects.get(key)
            version = data.draw(
                strategies.sampled_from([0, found.version if found else 0])
            )
            call = put_call(client, key, f"{number}", version)
            submitted[call.call_id] = call
            step = client.submit(now=now, call=call)
        elif action == "tick":
            step = client.tick(now=now)
        elif action == "land":
            fake.land()
            continue
        elif in_flight:
            position = data.draw(strategies.integers(0, len(in_flight) - 1))
            client, call = in_flight.pop(position)
            fault = data.draw(strategies.sampled_from(Fault))
            step = client.reply(now=now, reply=fake.call(call, fault))
        else:
            continue
        in_flight.extend((client, call) for call in step.calls)
        for reply in step.settled:
            check_settled(fake, submitted.pop(reply.call_id), reply)


def check_settled(fake, call, reply):
    times = fake.applied.count(call.value)
    late = sum(delayed.value == call.value for delayed in fake.delayed)
    assert times <= 1, "a write was applied twice"
    if reply.outcome == Outcome.OK:
        assert times == 1, "OK without the write"
    elif reply.outcome in {Outcome.UNAVAILABLE, Outcome.THROTTLED}:
        assert times == 0, f"{reply.outcome} after the write"
        assert late == 0, f"{reply.outcome} before the write"
    elif reply.outcome == Outcome.CONFLICT:
        held = fake.objects.get(call.key)
        assert held is None or held.value != call.value
