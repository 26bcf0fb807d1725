"""Steps for billing under failure: bills in the store equal answers."""

import collections
import dataclasses
import time

from behave import given
from behave import then
from behave import when
from support import caller_threads
from support import fleets
from support import harm

ENTRIES = 3
SLOW_FACTOR = 4.0
OUTAGE_S = 4.0
SETTLED_S = 20.0
REPEAT_PERIOD_S = 0.3
SENTENCE = "Which hours are left on court"


def make_word():
    """Returns a word that no earlier scenario has used."""
    return f"{time.monotonic_ns():x}"


def stream_from_all(context, count):
    word = make_word()
    context.asked = [
        caller_threads.stream(
            harm.find_entry(context.fleet, number % ENTRIES),
            f"{SENTENCE} {number}? {word}",
            key=f"bill-{word}-{number}",
        )
        for number in range(count)
    ]


def find_asked_of(context, number):
    address = harm.find_entry(context.fleet, number)
    return [x for x in context.asked if x.sent.address == address]


@given("the store loses a third of its answers")
def lose_answers(context):
    context.stack.callback(harm.clear_faults, context.fleet)
    fleets.set_faults(context.fleet.store_url, lose_replies=0.33)


@when("{count:d} callers stream billed answers from all entries")
def stream_answers(context, count):
    stream_from_all(context, count)


@when("{count:d} callers stream billed answers slowly from all entries")
def stream_slowly(context, count):
    context.stack.callback(harm.clear_faults, context.fleet)
    harm.set_upstream_faults(context.fleet, "engine", slow_factor=SLOW_FACTOR)
    stream_from_all(context, count)
    caller_threads.wait_for_pieces(context.asked, 3)


@when(
    "{count:d} billed answers are asked for twice, each time with the same key"
)
def ask_twice(context, count):
    word = make_word()
    context.keys = [f"bill-{word}-{number}" for number in range(count)]
    context.asked = []
    for entry in (0, 1):
        round_asked = [
            caller_threads.stream(
                harm.find_entry(context.fleet, entry),
                f"{SENTENCE} {key}?",
                key=key,
            )
            for key in context.keys
        ]
        caller_threads.join_all(round_asked)
        context.asked += round_asked


@when("one key is used for a billed chat, another chat and a booking")
def reuse_key(context):
    key = f"bill-{make_word()}"
    address = harm.find_entry(context.fleet, 0)
    context.asked = [
        caller_threads.stream(address, f"{SENTENCE} 1?", key=key),
        caller_threads.stream(address, f"{SENTENCE} 2?", key=key),
        caller_threads.book(address, key),
    ]
    caller_threads.join_all(context.asked)


@when("a sidecar that answers some of them is killed")
def kill_sidecar(context):
    name = harm.find_server(context.fleet, context.asked[0])
    context.stack.callback(harm.restart, context.fleet, name)
    harm.kill(context.fleet, name)


@when("the store is down until all of them are answered")
def take_store_down(context):
    fleets.set_faults(context.fleet.store_url, down=True)
    began = time.monotonic()
    caller_threads.join_all(context.asked)
    time.sleep(max(0.0, OUTAGE_S - (time.monotonic() - began)))
    fleets.set_faults(context.fleet.store_url)


@when("the store is down until they are answered and entry 1 is killed")
def kill_in_outage(context):
    fleets.set_faults(context.fleet.store_url, down=True)
    caller_threads.join_all(context.asked)
    context.stack.callback(harm.restart, context.fleet, "entry-1")
    harm.kill(context.fleet, "entry-1")
    fleets.set_faults(context.fleet.store_url)


@when("entry {number:d} is killed in the middle of its billed answers")
def kill_in_the_middle(context, number):
    context.lost = find_asked_of(context, number)
    context.stack.callback(harm.restart, context.fleet, f"entry-{number}")
    harm.kill(context.fleet, f"entry-{number}")
    caller_threads.join_all(context.lost)
    assert not any(x.is_answered for x in context.lost)


@when(
    "the callers that lost their billed answers repeat them at entry {number:d}"
)
def repeat_lost(context, number):
    address = harm.find_entry(context.fleet, number)
    context.again = [
        repeat_until_settled(dataclasses.replace(x.sent, address=address))
        for x in context.lost
    ]


def repeat_until_settled(sent):
    """Sends a request for as long as it is told to come back."""
    deadline = time.monotonic() + SETTLED_S
    while time.monotonic() < deadline:
        caller = caller_threads.Caller(sent).join()
        if "Retry-After" not in caller.headers:
            return caller
        time.sleep(REPEAT_PERIOD_S)
    raise AssertionError(caller.describe())


@then("all billed answers end")
def check_ended(context):
    caller_threads.join_all(context.asked)
    harm.check_whole(context.fleet, context.asked)


@then("all repeated billed answers end")
def check_repeats_ended(context):
    caller_threads.join_all(context.asked)
    harm.check_whole(context.fleet, context.again)


@then("there is one bill for each billed answer and no other")
def check_bills(context):
    caller_threads.join_all(context.asked)
    assert any(x.is_answered for x in context.asked)
    fleets.set_faults(context.fleet.store_url)
    harm.check_bills(context.fleet, context.asked)


@then("there is one bill for each of the {count:d} keys")
def check_keys(context, count):
    check_one_per_key(context, context.asked, count)


@then("each of the {count:d} has a bill of its own")
def check_own_bills(context, count):
    assert len(context.asked) == count
    assert all(x.is_answered for x in context.asked)
    harm.check_bills(context.fleet, context.asked)


@then("each of these keys has one bill, whoever made it")
def check_lost_keys(context):
    check_one_per_key(
        context, [*context.lost, *context.again], len(context.lost)
    )
    rest = [x for x in context.asked if x not in context.lost]
    harm.check_bills(context.fleet, rest)


def check_one_per_key(context, asked, count):
    """Checks that requests which share a key share one bill."""

    def count_by_key():
        bills = harm.count_bills(context.fleet)
        found = collections.Counter()
        for caller in asked:
            key = caller.sent.headers["Idempotency-Key"]
            found[key] += bills[caller.request_id]
        return found

    fleets.wait_until(
        lambda: all(count_by_key().values()), "a bill for each key"
    )
    harm.wait_for_flush(context.fleet)
    found = count_by_key()
    assert len(found) == count
    assert set(found.values()) == {1}, found
