"""Steps on planned stops under traffic."""

import concurrent.futures
import json
import signal
import time
import uuid

from behave import given
from behave import then
from behave import when
from support import callers
from support import failures
from support import fleets

from rhubarbbank_core import defaults
from rhubarbbank_experiments import fleet

LONG_TEXT = "Tell me all about clay. "
STREAMS = 6
CALLERS_PER_ENTRY = 3
SLOW_FACTOR = 8.0
BOOKINGS = 24
WATCHED_S = 3.0


def read_runs(context, name):
    """Returns how much an upstream has started so far."""
    place = context.fleet.places[name]
    counts = json.loads(fleet.fetch(f"{place.upstream_url}/counts"))
    return sum(counts["runs_by_request_id"].values())


def read_count(context, name, what):
    place = context.fleet.places[name]
    return json.loads(fleet.fetch(f"{place.upstream_url}/counts"))[what]


@given("callers stream long answers from every entry")
def stream_on(context):
    failures.start_traffic(
        context,
        callers=CALLERS_PER_ENTRY,
        model="lang",
        stream=True,
        headers={"X-Request-Class": "chat"},
    )


@given("the host list lags {lag:d} seconds behind")
def set_lag(context, lag):
    fleets.set_faults(context.fleet.hosts_url, lag_s=lag)
    context.stack.callback(fleets.set_faults, context.fleet.hosts_url)


@when("the sidecar of {kind} {number:d} is asked to stop")
def stop_sidecar(context, kind, number):
    context.stopped = f"{kind}-{number}"
    fleets.wait_until(
        lambda: read_count(context, context.stopped, "running") > 0,
        "work runs there",
    )
    if kind == "engine":
        context.broken_off = read_count(context, context.stopped, "cancelled")
    member = context.fleet.members[context.stopped]
    member.send(signal.SIGTERM)
    context.stopped_at = time.monotonic()
    context.stack.callback(failures.restore, context.fleet, context.stopped)


@when("the host list marks engine {number:d} as leaving")
def mark_leaving(context, number):
    context.stopped = f"engine-{number}"
    fleets.wait_until(
        lambda: read_count(context, context.stopped, "running") > 0,
        "work runs there",
    )
    place = context.fleet.places[context.stopped]
    host = context.fleet.describe_host(place)
    put_host(context, host | {"state": "leaving"})
    context.stopped_at = time.monotonic()
    context.stack.callback(put_host, context, host)


def put_host(context, host):
    fleet.post_json(
        f"{context.fleet.hosts_url}/hosts/{host['name']}", host, method="PUT"
    )


@then("engine {number:d} gets nothing new from {bound:d} seconds later on")
def check_nothing_new(context, number, bound):
    name = f"engine-{number}"
    time.sleep(max(0.0, context.stopped_at + bound - time.monotonic()))
    before = read_runs(context, name)
    assert before > 0
    time.sleep(WATCHED_S)
    failures.wait_for_answers(context.traffic)
    assert read_runs(context, name) == before, (
        before,
        read_runs(context, name),
    )


@then("nothing that ran at engine {number:d} was broken off")
def check_not_broken_off(context, number):
    found = read_count(context, f"engine-{number}", "cancelled")
    assert found == context.broken_off, (context.broken_off, found)


@then("the process has ended with exit code 0")
def check_exit(context):
    code = context.fleet.members[context.stopped].process.wait(
        timeout=fleet.STOP_WAIT_S
    )
    context.ended_at = time.monotonic()
    log = context.fleet.read_log(context.stopped)[-2000:]
    assert code == 0, (code, log)
    assert "Traceback" not in log, log


@then("it has not waited for its stop's time limit")
def check_stop_time(context):
    lasted = context.ended_at - context.stopped_at
    assert lasted < defaults.STOP_GRACE_S, lasted


@then("every answer was whole")
def check_whole(context):
    context.traffic.close()
    bad = [x for x in context.traffic.calls if not x.is_whole]
    assert not bad, (len(bad), len(context.traffic.calls), bad[:3])


@given("bookings take a while and run on every service")
def slow_bookings(context):
    for place in context.fleet.find_places("service"):
        fleets.set_faults(place.upstream_url, slow_factor=100.0)
        context.stack.callback(fleets.set_faults, place.upstream_url)
    pool = concurrent.futures.ThreadPoolExecutor(BOOKINGS)
    context.stack.callback(pool.shutdown)
    entries = context.fleet.find_places("entry")
    keys = [uuid.uuid4().hex for _ in range(BOOKINGS)]
    context.bookings = {
        key: pool.submit(
            fleets.call,
            entries[number % len(entries)].http_address,
            "/services/booking/courts",
            body=b'{"court": 2}',
            headers={
                "X-Organisation": failures.ORGANISATION,
                "X-Request-Class": "booking",
                "Idempotency-Key": key,
            },
        )
        for number, key in enumerate(keys)
    }


@then("every booking was answered and ran once")
def check_bookings(context):
    for future in context.bookings.values():
        answer = future.result(timeout=60)
        assert answer.status == 200, answer
    counts = fleets.read_counts(context.fleet, "service")
    for key in context.bookings:
        runs = sum(x["runs_by_key"].get(key, 0) for x in counts)
        assert runs == 1, (key, runs)


@given("the engines answer slowly")
def slow_engines(context):
    for place in context.fleet.find_places("engine"):
        fleets.set_faults(place.upstream_url, slow_factor=SLOW_FACTOR)
        context.stack.callback(fleets.set_faults, place.upstream_url)


@when("entry {number:d} is asked to stop with open streams")
def stop_entry(context, number):
    context.stopped = f"entry-{number}"
    pool = concurrent.futures.ThreadPoolExecutor(STREAMS)
    context.stack.callback(pool.shutdown)
    asked = [
        pool.submit(
            callers.ask,
            context.fleet,
            context.stopped,
            LONG_TEXT * (x + 1),
            organisation=failures.ORGANISATION,
            model="lang",
            stream=True,
            headers={"X-Request-Class": "chat"},
        )
        for x in range(STREAMS)
    ]
    # The traffic has up to one stream per caller open there, too.
    least = STREAMS + CALLERS_PER_ENTRY
    fleets.wait_until(
        lambda: read_open(context) >= least, "the streams are open"
    )
    context.fleet.members[context.stopped].send(signal.SIGTERM)
    context.stack.callback(failures.restore, context.fleet, context.stopped)
    context.streams = asked


def read_open(context):
    place = context.fleet.places[context.stopped]
    status = json.loads(fleet.fetch(f"http://{place.http_address}/status"))
    return status["open_requests"]


@then("the streams that were open at that entry ended whole")
def check_streams(context):
    for future in context.streams:
        call = future.result(timeout=60)
        assert call.is_whole, call
