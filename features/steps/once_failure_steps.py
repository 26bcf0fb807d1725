"""Steps for calls that may not be repeated, under failure."""

import dataclasses
import itertools
import json
import time

from behave import given
from behave import then
from behave import when
from support import caller_threads
from support import fleets
from support import harm

from rhubarbbank_core import ledger_records
from rhubarbbank_experiments import fleet

ENTRIES = 3
SLOW_FACTOR = 250.0
UNCERTAIN = ("key_already_used", "unknown")
PAUSE_S = 0.5
REPEAT_PERIOD_S = 0.3
SETTLED_S = 20.0
# The store counts as down for everyone only after some calls have failed.
OUTAGE_SEEN_S = 20.0


def shard_of(key):
    return ledger_records.shard_of(key, fleet.SHARDS)


def is_uncertain(caller):
    return caller.error is not None and caller.error["run_state"] == "unknown"


def find_runs(context, key):
    return harm.count_runs(context.fleet, key)


@given("the services take long for each booking")
def slow_services(context):
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(context.fleet, "service", slow_factor=SLOW_FACTOR)


@given("the services die after each run")
def let_services_die(context):
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(context.fleet, "service", die_after_run=True)


@when(
    'a booking with key "{key}" is sent {times:d} times to each entry at once'
)
def send_burst(context, key, times):
    context.key = key
    context.asked = [
        caller_threads.book(harm.find_entry(context.fleet, number), key)
        for number in range(ENTRIES)
        for _ in range(times)
    ]
    caller_threads.join_all(context.asked)


@when('a booking with key "{key}" is sent')
@when('a booking with key "{key}" is answered')
def send_booking(context, key):
    context.key = key
    context.booking = caller_threads.book(
        harm.find_entry(context.fleet, 0), key
    )
    context.booking.join()


@when('a booking with key "{key}" runs')
def start_booking(context, key):
    context.key = key
    context.booking = caller_threads.book(
        harm.find_entry(context.fleet, 0), key
    )
    context.runner = harm.find_runner(context.fleet, key, context.booking)


def repeat(context, number, **headers):
    address = harm.find_entry(context.fleet, number)
    return caller_threads.book(address, context.key, headers=headers)


def find_key(context):
    """Returns a key whose claim entry 2 keeps, and whose outcome it doesn't."""
    owners = harm.read_owners(context.fleet)
    for number in itertools.count():
        key = f"once-owner-{time.monotonic_ns()}-{number}"
        name = f"tc-innsbruck/booking/{key}/1"
        if (
            owners[shard_of(f"claim/{name}")] == "entry-2"
            and owners[shard_of(f"outcome/{name}")] != "entry-2"
        ):
            return key
    raise AssertionError("no key")


@when("a booking runs whose claim entry 2 keeps and whose outcome it doesn't")
def start_booking_by_owner(context):
    start_booking(context, find_key(context))


@when("a booking runs out of time while entry 2, which keeps claims, is paused")
def let_booking_lapse(context):
    context.key = find_key(context)
    with harm.paused(context.fleet, "entry-2"):
        context.booking = repeat(context, 0, **{"X-Deadline-Ms": "300"}).join()
        time.sleep(PAUSE_S)


@then("the booking's caller hears that it did not run")
def check_not_run(context):
    harm.check_refused(
        context.booking, code="deadline_exceeded", run_state="not_run"
    )


@then("a repeat of it at entry {number:d} is answered")
def check_answered_repeat(context, number):
    def is_answered():
        return repeat(context, number).join().is_answered

    fleets.wait_until(is_answered, "a repeat is answered", wait_s=5)


@when("repeats of it are left by their callers while entry 2 is paused")
def leave_repeats(context):
    with harm.paused(context.fleet, "entry-2"):
        for number in (0, 1):
            address = harm.find_entry(context.fleet, number)
            caller_threads.hang_up(
                dataclasses.replace(context.booking.sent, address=address)
            )
        time.sleep(PAUSE_S)


@when("repeats of it run out of time while entry 2 is paused")
def let_repeats_lapse(context):
    with harm.paused(context.fleet, "entry-2"):
        late = [
            repeat(context, number, **{"X-Deadline-Ms": "300"})
            for number in (0, 1)
        ]
        caller_threads.join_all(late)
        time.sleep(PAUSE_S)


@when("the booking is repeated at every entry")
def repeat_everywhere(context):
    deadline = time.monotonic() + 4
    while time.monotonic() < deadline:
        context.repeats = [repeat(context, x) for x in range(ENTRIES)]
        caller_threads.join_all(context.repeats)
        time.sleep(REPEAT_PERIOD_S)
    context.booking.join()


def repeat_until_settled(context, number):
    """Repeats the booking for as long as it is told to come back."""
    deadline = time.monotonic() + SETTLED_S
    while time.monotonic() < deadline:
        found = repeat(context, number).join()
        if "Retry-After" not in found.headers:
            return found
        context.refused.append(found)
        time.sleep(REPEAT_PERIOD_S)
    raise AssertionError(found.describe())


@when("the booking's entry is killed")
def kill_entry(context):
    context.stack.callback(harm.restart, context.fleet, "entry-0")
    harm.kill(context.fleet, "entry-0")


@when("the booking is repeated at the other entries")
def repeat_elsewhere(context):
    context.refused = []
    context.repeats = [repeat_until_settled(context, x) for x in (1, 2)]


@when("the booking's sidecar is killed and started again")
def restart_sidecar(context):
    harm.kill(context.fleet, context.runner)
    harm.restart(context.fleet, context.runner)


@when("the booking's sidecar is paused until its caller is answered")
def pause_sidecar(context):
    with harm.paused(context.fleet, context.runner):
        context.booking.join()
    harm.wait_for_sidecar(context.fleet, context.runner)


@when(
    "the store loses a third of its answers and {count:d} bookings are sent"
    " twice"
)
def book_with_lost_answers(context, count):
    context.stack.callback(harm.clear_faults, context.fleet)
    fleets.set_faults(context.fleet.store_url, lose_replies=0.33)
    keys = [f"once-lost-{number}" for number in range(count)]
    context.asked = [
        caller_threads.book(
            harm.find_entry(context.fleet, number % ENTRIES), key
        )
        for key in keys
        for number in range(2)
    ]
    caller_threads.join_all(context.asked)


@when('the store goes down and a booking with key "{key}" is sent')
def book_in_outage(context, key):
    context.stack.callback(harm.clear_faults, context.fleet)
    fleets.set_faults(context.fleet.store_url, down=True)
    fleets.wait_until(
        lambda: (
            harm.read_status(context.fleet, "entry-0")["freshness"] == "outage"
        ),
        "the outage is known",
        wait_s=OUTAGE_SEEN_S,
    )
    send_booking(context, key)


@then('the booking "{key}" has run {times:d} time')
@then('the booking "{key}" has run {times:d} times')
def check_runs(context, key, times):
    assert find_runs(context, key) == times, find_runs(context, key)


@then("that booking has run {times:d} time")
def check_those_runs(context, times):
    check_runs(context, context.key, times)


@then("each answer to it is the same, or says that it may have run")
def check_burst(context):
    answered = [x for x in context.asked if x.is_answered]
    assert answered, [x.describe() for x in context.asked]
    assert len({x.body for x in answered}) == 1
    context.booking = answered[0]
    for caller in context.asked:
        assert caller.is_answered or is_uncertain(caller), caller.describe()


@then("a repeat of it at entry {number:d} gets the same answer")
def check_recorded(context, number):
    again = repeat(context, number).join()
    assert again.is_answered, again.describe()
    assert again.body == context.booking.body


@then('the key "{key}" on another path is refused as used')
def check_other_path(context, key):
    other = caller_threads.book(
        harm.find_entry(context.fleet, 1), key, path="/services/booking/halls"
    ).join()
    harm.check_refused(other, code="key_already_used", run_state="unknown")


@then("each repeat of it says that it may have run")
def check_repeats(context):
    harm.check_not_run(context.fleet, context.refused)
    for caller in context.repeats:
        harm.check_refused(caller, code=UNCERTAIN[0], run_state=UNCERTAIN[1])


@then("a repeat of it at entry {number:d} says that it may have run")
def check_uncertain_repeat(context, number):
    again = repeat(context, number).join()
    harm.check_refused(again, code=UNCERTAIN[0], run_state=UNCERTAIN[1])


@then("the booking's caller hears that it may have run")
def check_caller(context):
    assert is_uncertain(context.booking.join()), context.booking.describe()


@then("none of these bookings has run twice")
def check_none_twice(context):
    for caller in context.asked:
        key = caller.sent.headers["Idempotency-Key"]
        assert find_runs(context, key) <= 1, caller.describe()


@then('each of them that was answered has run, and none that is "not run"')
def check_states(context):
    by_key = {}
    for caller in context.asked:
        key = caller.sent.headers["Idempotency-Key"]
        by_key.setdefault(key, []).append(caller)
    assert any(x.is_answered for x in context.asked)
    harm.check_not_run(context.fleet, context.asked)
    for key, asked in by_key.items():
        runs = find_runs(context, key)
        states = {x.error["run_state"] for x in asked if x.error is not None}
        if any(x.is_answered for x in asked):
            assert runs == 1, (key, [x.describe() for x in asked])
        elif states == {"not_run"}:
            assert runs == 0, (key, [x.describe() for x in asked])


@then("the booking is refused as not run long before its deadline")
def check_refused_early(context):
    harm.check_refused(
        context.booking, code="store_unavailable", run_state="not_run"
    )
    assert context.booking.headers.get("Retry-After")
    assert context.booking.took_s < 6, context.booking.took_s
    assert json.loads(context.booking.body)["error"]["retry_after_s"] > 0
