"""Steps for the fleet in memory: differential, stateful and by replay."""

import collections
import contextlib
import http
import os
import random
import socket
import subprocess
import sys
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import caller_threads
from support import fleet_model
from support import fleet_reducers
from support import fleets
from support import harm
from support import naive_answers

from rhubarbbank_core import allowances
from rhubarbbank_core import errors
from rhubarbbank_core import event_log
from rhubarbbank_core import events
from rhubarbbank_core import gate
from rhubarbbank_core import ledger_records
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import table
from rhubarbbank_core import version_choice
from rhubarbbank_experiments import replay_log

WARM_UP_S = 8.0
QUIET_S = 40.0
ENTRY = strategies.sampled_from(fleet_reducers.ENTRIES)
SIDECAR = strategies.sampled_from(
    (*fleet_reducers.ENGINES, *fleet_reducers.SERVICES)
)
STATES = strategies.sampled_from(list(table.VersionState))
STEP = strategies.one_of(
    strategies.tuples(
        strategies.just("chat"), ENTRY, strategies.integers(0, 3)
    ),
    strategies.tuples(
        strategies.just("book"), ENTRY, strategies.integers(0, 3)
    ),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 30)),
    strategies.tuples(strategies.just("edit"), STATES),
    strategies.tuples(strategies.just("kill"), ENTRY | SIDECAR),
    strategies.tuples(strategies.just("break"), SIDECAR),
    strategies.tuples(strategies.just("store"), strategies.booleans()),
    strategies.tuples(strategies.just("network"), strategies.booleans()),
    strategies.tuples(strategies.just("leave")),
)


def do_step(world, step):
    """Does one step of an interleaving."""
    match step:
        case ("chat", name, number):
            session = f"s{number}" if number else ""
            world.ask(name, f"ask {number}", session=session, stream=number < 2)
        case ("book", name, number):
            world.ask(
                name, "court", kind=requests.WorkKind.SERVICE, key=f"k{number}"
            )
        case ("wait", tenths):
            world.run(tenths / 10)
        case ("edit", state):
            world.edit({"kurz@v1": state})
        case ("kill", name):
            world.kill(name)
            world.run(0.3)
            world.start(name)
        case ("break", name):
            world.break_calls(name)
        case ("store", down):
            world.store_down = down
        case ("network", bad):
            world.lose_messages = 0.2 if bad else 0.0
            world.lose_replies = 0.3 if bad else 0.0
        case ("leave",):
            world.hang_up()
    world.run(0.2)


def calm(world):
    """Clears every fault and lets everything come to its end."""
    world.store_down = False
    world.lose_messages = 0.0
    world.lose_replies = 0.0
    world.run(QUIET_S)


def check_settled(world):
    """Checks that no request is left open, and the bills."""
    for name in fleet_reducers.ENTRIES:
        state = world.processes[name].reducer.state
        assert not state.open, list(state.open)
        assert not state.unsettled, list(state.unsettled)
    world.callers.check_bills(world.read_bills())


@when(
    "{examples:d} interleavings of {steps:d} steps are tried on the fleet in"
    " memory"
)
def try_interleavings(context, examples, steps):
    context.seen = collections.Counter()

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        seed=strategies.integers(0, 1000),
        script=strategies.lists(STEP, min_size=steps, max_size=steps),
    )
    def check(seed, script):
        world = fleet_model.World(seed=seed)
        world.run(WARM_UP_S)
        for step in script:
            do_step(world, step)
            context.seen[step[0]] += 1
        calm(world)
        check_settled(world)
        for asked in world.callers.asked.values():
            kind = asked.request.kind
            context.seen[f"answered {kind}"] += asked.answered
            if asked.problem is not None:
                context.seen[f"refused {asked.problem.code}"] += 1

    check()


@then("each answer, run, refusal, session and bill was as in the naive model")
def check_tried(context):
    assert context.seen


@then("the interleavings answered chats and bookings, and met each fault")
def check_seen(context):
    for name in ("kill", "break", "store", "network", "edit", "leave"):
        assert context.seen[name] > 10, context.seen
    assert context.seen[f"answered {requests.WorkKind.CHAT}"] > 50, context.seen
    assert context.seen[f"answered {requests.WorkKind.SERVICE}"] > 10, (
        context.seen
    )


@given("a booking that the sidecar in memory has run")
def run_booking(context):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)
    context.world.ask(
        "entry-0", "court", kind=requests.WorkKind.SERVICE, key="k"
    )
    context.world.run(3.0)
    process = context.world.processes["service-0"]
    recorded = [event_log.decode(x).event for x in process.recorded]
    context.submit = next(
        x
        for x in recorded
        if isinstance(x, events.MessageReceived)
        and isinstance(x.message, path_messages.Submit)
    )


def submit_again(context):
    world = context.world
    process = world.processes["service-0"]
    world.apply("service-0", 0, context.submit, at=world.now)
    context.answers = process.effects[-1]


@when("a caller repeats the booking")
def repeat_booking(context):
    context.world.ask(
        "entry-0", "court", kind=requests.WorkKind.SERVICE, key="k"
    )
    context.world.run(3.0)


@then("its answer is the recorded one, and names the request")
def check_named(context):
    process = context.world.processes["entry-0"]
    whole = [
        effect
        for found in process.effects
        for effect in found
        if isinstance(effect, fx.WholeAnswer)
    ]
    first, repeat = whole
    assert first.body == repeat.body
    assert first.request_id != repeat.request_id
    for answer in whole:
        name = fx.AnswerHeader("X-Request-Id", answer.request_id)
        assert name in answer.headers, answer


@when("that sidecar restarts and the submit comes again")
def restart_and_submit(context):
    context.world.kill("service-0")
    context.world.start("service-0")
    context.world.run(3.0)
    submit_again(context)


@when("the submit comes again after the end")
def submit_after_end(context):
    submit_again(context)


@then("the sidecar in memory says that it doesn't know the attempt")
def check_unknown(context):
    messages = [type(x.message) for x in context.answers]
    assert messages == [path_messages.AttemptUnknown], messages
    assert context.world.callers.runs_by_key["k"] == 1


@then("the sidecar in memory repeats the end and runs nothing")
def check_end_repeated(context):
    messages = [type(x.message) for x in context.answers]
    assert messages == [path_messages.Done], messages
    assert context.world.callers.runs_by_key["k"] == 1


@given("the fleet in memory has run for a while")
def run_quietly(context):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)


@when("the owner of the chats' allowances dies, and 60 chats come at once")
def kill_allowance_owner(context):
    world = context.world
    model, _, version = naive_answers.MODELS[0].partition("@")
    key = allowances.allowance_key(naive_answers.ORGANISATION, model, version)
    first, second = fleet_reducers.ENTRIES
    control = world.processes[first].reducer.state.control
    shard = ledger_records.shard_of(key, control.owner.shards)
    is_first = shard in control.owner.owned
    world.kill(first if is_first else second)
    # More than the entry's reserves of the three versions bring in time.
    for number in range(60):
        world.ask(second if is_first else first, f"ask {number}")
    world.run(QUIET_S)


@then("all of them run")
def check_all_run(context):
    asked = context.world.callers.asked.values()
    assert len(asked) == 60, len(asked)
    for item in asked:
        # Some ratings come only after the deadline.
        state = item.problem and item.problem.run_state
        assert item.answered or state is errors.RunState.RAN, item


def run_with_faults(seed):
    world = fleet_model.World(seed=seed)
    world.run(WARM_UP_S)
    rng = random.Random(seed)
    do_step(world, ("network", True))
    for number in range(30):
        name = rng.choice(fleet_reducers.ENTRIES)
        do_step(world, (rng.choice(["chat", "book"]), name, number % 4))
    do_step(world, ("kill", "engine-0"))
    do_step(world, ("kill", "entry-1"))
    do_step(world, ("store", True))
    world.run(3.0)
    calm(world)
    return world


@when("the fleet in memory runs with faults and records its events")
def run_recorded(context):
    context.world = run_with_faults(7)


@then("each process's events replay to the same effects in a fresh reducer")
def check_replay(context):
    assert len(context.world.all_processes) > len(context.world.processes)
    for process in context.world.all_processes:
        fresh = fleet_reducers.make_reducer(process.name, process.incarnation)
        recorded = [event_log.decode(x) for x in process.recorded]
        found = event_log.replay(fresh, recorded)
        assert found == process.effects, process.name


def bar(*_args, **_kwargs):
    raise AssertionError("a reducer reached outside")


@when("the fleet in memory runs while sockets, clocks and threads are barred")
def run_barred(context):
    barred = [
        (socket, "socket"),
        (threading.Thread, "start"),
        *((time, x) for x in ("time", "monotonic", "time_ns", "sleep")),
    ]
    with contextlib.ExitStack() as stack:
        for owner, name in barred:
            stack.enter_context(mock.patch.object(owner, name, bar))
        context.world = run_with_faults(3)


@then("it has answered requests")
def check_answered(context):
    assert any(x.answered for x in context.world.callers.asked.values())


def record(process):
    """Returns a process's events with digests, as a real one logs them."""
    return [
        record
        for data, effects in zip(process.recorded, process.effects, strict=True)
        for record in (event_log.decode(data), event_log.digest(effects))
    ]


def find_differences(world, names):
    """Returns the differences that replays find, by the process's name."""
    found = {}
    for process in world.all_processes:
        if process.name in names:
            fresh = fleet_reducers.make_reducer(
                process.name, process.incarnation
            )
            found[process.name] = event_log.find_difference(
                fresh, record(process)
            )
    return found


@then("a replay where entries choose other versions differs for an entry")
def check_other_choice(context):
    names = fleet_reducers.ENTRIES
    assert not any(find_differences(context.world, names).values())
    with mock.patch.object(
        version_choice, "pick", lambda shares, *, text: shares[0].row
    ):
        assert any(find_differences(context.world, names).values())


@then("a replay where gates refuse all differs for a sidecar")
def check_other_gate(context):
    names = fleet_reducers.ENGINES
    assert not any(find_differences(context.world, names).values())
    refusal = errors.Problem(code=errors.ErrorCode.VERSION_WITHDRAWN)
    with mock.patch.object(gate, "check", lambda **_: refusal):
        assert any(find_differences(context.world, names).values())


def ask_each_class(running):
    """Returns callers of each class, of streams, sessions and one repeat."""
    callers = []
    for number, name in enumerate(("tag", "chat", "plan") * 4):
        headers = {"X-Request-Class": name}
        if number % 2:
            headers["X-Session"] = f"session-{number // 4}"
        callers.append(
            caller_threads.stream(
                harm.find_entry(running, number % 3),
                f"Court {number}?",
                model="auto",
                headers=headers,
                streamed=number % 4 < 3,
            )
        )
    for number in range(6):
        address = harm.find_entry(running, number % 3)
        callers.append(caller_threads.book(address, f"key-{number // 2}"))
    return callers


@when("a real fleet serves each class of work and records its events")
def record_real(context):
    options = {"record_events": True}
    running = context.stack.enter_context(
        fleets.run_fleet(
            "platzwart", entry_settings=options, sidecar_settings=options
        )
    )
    callers = ask_each_class(running)
    caller_threads.hang_up(callers[0].sent)
    caller_threads.join_all(callers)
    for caller in callers:
        # A repeat of a booking that is running still is refused.
        repeated = caller.status == http.HTTPStatus.CONFLICT
        assert caller.is_answered or repeated, caller.describe()
    context.request_ids = {x.request_id for x in callers}
    places = running.find_places("entry", "engine", "service")
    context.logs = {x.name: running.members[x.name].log for x in places}
    running.stop()


@then("each process's log holds what it was asked, and who answered")
def check_real_events(context):
    received = set()
    submitted = set()
    for log in context.logs.values():
        for record in replay_log.read_records(log.read_text(encoding="utf-8")):
            match record:
                case event_log.RecordedEvent(
                    event=events.RequestReceived(request)
                ):
                    received.add(request.request_id)
                case event_log.RecordedEvent(
                    event=events.MessageReceived(path_messages.Submit() as sent)
                ):
                    submitted.add(sent.request_id)
    unknown = context.request_ids - received
    assert not unknown, f"no entry recorded {unknown}"
    unknown = submitted - received
    assert not unknown, f"no entry recorded, yet submitted: {unknown}"
    assert len(submitted) >= len(context.request_ids) / 2, submitted


@then("each log replays to the recorded effects with hash seeds 1, 2 and 3")
def check_real_replay(context):
    for seed in ("1", "2", "3"):
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "rhubarbbank_experiments",
                "replay",
                *map(str, context.logs.values()),
            ],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr[-4000:]
        assert done.stdout.count("the same effects") == len(context.logs)
