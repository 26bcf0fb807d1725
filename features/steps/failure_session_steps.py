"""Steps on sessions that must keep their version while processes fail."""

import concurrent.futures
import itertools
import signal
import time

from behave import given
from behave import then
from behave import when
from support import callers
from support import failures
from support import fleets
from support import operators

from rhubarbbank_core import ledger_records
from rhubarbbank_experiments import fleet

TURN_WAIT_S = 30.0
RETRY_S = 0.2
PARALLEL_TURNS = 8
NUMBERS = itertools.count()
VERSION_HEADER = "X-Model-Version"


def find_running(context):
    """Returns the names of the entries that are neither dead nor paused."""
    paused = getattr(context, "paused", None)
    return [
        x.name
        for x in context.fleet.find_places("entry")
        if context.fleet.members[x.name].process.poll() is None
        and x.name != paused
    ]


def take_turn(context, entry, session, model="auto"):
    """Sends a turn until it is answered; returns the version that answered."""
    deadline = time.monotonic() + TURN_WAIT_S
    while True:
        call = callers.ask(
            context.fleet,
            entry,
            "And on Sunday?",
            organisation=failures.ORGANISATION,
            model=model,
            headers={"X-Session": session, "X-Request-Class": "chat"},
        )
        if call.is_whole:
            version = call.answer.headers[VERSION_HEADER]
            assert call.answer.json["model"] == version, call
            return version
        assert call.refused_cleanly, call
        print(f"{entry} refused {session}: {call.answer.error['code']}")
        assert time.monotonic() < deadline, call
        time.sleep(RETRY_S)


def begin(context, entries, count):
    """Begins sessions in turn at some entries; notes their versions."""
    names = [f"session-{next(NUMBERS)}" for _ in range(count)]
    begin_named(context, entries, names)
    return names


def begin_named(context, entries, names):
    asked = list(zip(itertools.cycle(entries), names, strict=False))
    found = take_turns(context, asked, model="kurz")
    context.sessions |= dict(zip(names, found, strict=True))


def take_turns(context, asked, *, model="auto"):
    """Takes a turn for each (entry, session), many at once."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_TURNS) as pool:
        return list(pool.map(lambda x: take_turn(context, *x, model), asked))


def check_versions(context, sessions):
    """Takes a turn of each session at each entry that runs."""
    asked = list(itertools.product(find_running(context), sessions))
    for turn, found in zip(asked, take_turns(context, asked), strict=True):
        assert found == context.sessions[turn[1]], (turn, found)


def find_on(context, version):
    return [x for x, found in context.sessions.items() if found == version]


def find_key(session):
    return f"pin/{failures.ORGANISATION}/{session}"


def find_first_key(context):
    return find_key(next(iter(context.sessions)))


@given("{count:d} sessions begun at entry {number:d}")
def begin_sessions(context, count, number):
    context.sessions = {}
    begin(context, [f"entry-{number}"], count)


@when("{count:d} sessions are begun at entries that run")
def begin_more(context, count):
    context.newest = begin(context, find_running(context), count)


@when("the outage is known to every entry")
def wait_for_outage(context):
    def is_known():
        found = [
            operators.read_status(context.fleet, x)
            for x in find_running(context)
        ]
        return all(x["freshness"] == "outage" for x in found)

    fleets.wait_until(is_known, "every entry knows of the outage")


@when("{count:d} sessions are begun at the entry that owns their shards")
def begin_at_owner(context, count):
    context.holder = context.owners[0]
    names = []
    while len(names) < count:
        name = f"session-{next(NUMBERS)}"
        shard = ledger_records.shard_of(find_key(name), fleet.SHARDS)
        if context.owners[shard] == context.holder:
            names.append(name)
    begin_named(context, [context.holder], names)


@when("that entry is killed")
def kill_holder(context):
    failures.kill(context, context.holder)


@then("every session keeps its version at each entry that runs")
def check_all(context):
    check_versions(context, context.sessions)


@then('the sessions on "{version}" keep their version')
def check_some(context, version):
    found = find_on(context, version)
    assert found, context.sessions
    check_versions(context, found)


@then('none of them is on "{version}"')
def check_none(context, version):
    found = [x for x in context.newest if context.sessions[x] == version]
    assert not found, found


@then('the sessions on "{version}" are refused with "{remedy}"')
def check_refused(context, version, remedy):
    found = find_on(context, version)
    assert found, context.sessions
    before = operators.count_version_runs(context.fleet, version)
    for entry, name in itertools.product(find_running(context), found):
        call = callers.ask(
            context.fleet,
            entry,
            "And on Sunday?",
            organisation=failures.ORGANISATION,
            model="auto",
            headers={"X-Session": name, "X-Request-Class": "chat"},
        )
        assert call.refused_cleanly, call
        assert call.answer.error["code"] == "session_version_withdrawn", call
        assert call.answer.error["remedy"] == remedy, call
    assert operators.count_version_runs(context.fleet, version) == before


@when("entry {number:d} is killed")
def kill_entry(context, number):
    failures.kill(context, f"entry-{number}")


@when("the owner of the first session's shard is killed")
def kill_owner(context):
    owner = failures.find_owner(context.fleet, find_first_key(context))
    failures.kill(context, owner)


@when("the owner of the first session's shard is paused until it is replaced")
def pause_owner(context):
    key = find_first_key(context)
    context.paused = failures.find_owner(context.fleet, key)
    failures.freeze(context, context.paused)
    fleets.wait_until(
        lambda: failures.find_owner(context.fleet, key) != context.paused,
        "another entry owns the shard",
    )


@when("the paused owner goes on")
def thaw_owner(context):
    context.fleet.members[context.paused].send(signal.SIGCONT)
    context.paused = None


def book(context, entry):
    return fleets.call(
        context.fleet.places[entry].http_address,
        "/services/booking/courts",
        body=b'{"court": 2}',
        headers={
            "X-Organisation": failures.ORGANISATION,
            "X-Request-Class": "booking",
            "Idempotency-Key": context.booking_key,
        },
    )


def count_bookings(context):
    counts = fleets.read_counts(context.fleet, "service")
    return sum(x["runs_by_key"].get(context.booking_key, 0) for x in counts)


@given("a booking with the key of this scenario has run")
def run_booking(context):
    context.booking_key = f"booking-{next(NUMBERS)}"
    answer = book(context, "entry-0")
    assert answer.status == 200, answer
    assert count_bookings(context) == 1


@then("a repeat of the booking at each entry runs nothing")
def repeat_booking(context):
    for place in context.fleet.find_places("entry"):
        book(context, place.name)
    assert count_bookings(context) == 1


@then("every shard has one owner")
def check_owners(context):
    context.fleet.wait_settled()
