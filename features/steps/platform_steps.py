"""Steps for entry processes on loopback addresses."""

import contextlib
import gzip
import http.client
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time
import urllib.request

from behave import given
from behave import then
from behave import when
from support import fleets
from support import platform_callers

from rhubarbbank_experiments import platform_fleet
from rhubarbbank_platform import wire
from rhubarbbank_standins import platform_runner
from rhubarbbank_standins import platform_store

LOCAL = platform_fleet.LOCAL
SYSTEM_HEADERS = {
    "X-Tenant": "somebody",
    "X-Expect-Instance": "i-nobody",
    "X-Hold": "h1",
    "X-Pin-Ms": "100",
    "X-Kv-Backup": "127.0.0.1:1",
    "Kv-From": "127.0.0.1:1/x",
    "X-Request-Priority": "0",
}
STORE_FAULTS = {
    "is busy": platform_store.Fault.BUSY,
    "doesn't respond": platform_store.Fault.SILENT,
    "resets connections": platform_store.Fault.RESET,
    "loses responses": platform_store.Fault.LOST,
    "delays writes": platform_store.Fault.LATE,
}
REQUEST_PERIOD_S = 0.1
PIECE_BYTES = 20_000
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3}) ")


@when('a caller requests "{path}" from the platform')
def send_request(context, path):
    platform_callers.prepare_fleet(context)
    context.path = path
    context.reply = context.platform.ask(path)


@when('a caller requests "{path}" from the platform with a body')
def send_body(context, path):
    platform_callers.prepare_fleet(context)
    context.path = path
    context.body = b'{"court": 2}'
    context.reply = context.platform.ask(path, body=context.body)


@then("the platform's response is the runner's, including its signature")
def check_response(context):
    (run,) = context.platform.list_runs(context.path.split("?")[0])
    reply = context.reply
    assert reply.status == 200, reply
    assert reply.body == platform_runner.build_body(run), reply
    assert reply.headers["x-response-stamp"] == f"stamp.{run.runner}", reply
    assert reply.headers["x-attempt-id"] == run.attempt_id, reply
    context.run = run


@then("the runner received the method, target and body as sent")
def check_forwarded(context):
    run = context.run
    assert run.method == "POST"
    assert run.target == context.path, run
    assert run.body == context.body


@then("the runner received the organisation but not the API key")
def check_organisation(context):
    found = context.run.headers
    assert found["x-tenant"] == platform_fleet.ORGANISATION
    assert "authorization" not in found


@then("the runner received a deadline within the caller's, and its own name")
def check_deadline(context):
    found = context.run.headers
    assert 0 < int(found["x-deadline-ms"]) <= 2500, found
    assert found["x-expect-instance"] == context.run.runner


@then("the platform's response is a stream of events {first:d} to {last:d}")
def check_stream(context, first, last):
    reply = context.reply
    assert reply.status == 200, reply
    assert reply.whole, reply
    assert reply.events == list(range(first, last + 1)), reply


@then('the events come from model "{model}"')
def check_model(context, model):
    lines = [x for x in context.reply.body.splitlines() if b"data" in x]
    assert all(model.encode() in line for line in lines), lines


@when("a caller sends the platform a chunked body")
def send_chunked_body(context):
    platform_callers.prepare_fleet(context)
    context.path = "/book/chunks"
    context.reply = context.platform.ask(
        context.path,
        body=iter([b"one", b"two"]),
        headers={"Transfer-Encoding": "chunked"},
    )


@when("a caller sends the platform a compressed body")
def send_compressed_body(context):
    platform_callers.prepare_fleet(context)
    context.path = "/book/compressed"
    context.body = gzip.compress(b"court 2")
    context.reply = context.platform.ask(
        context.path, body=context.body, headers={"Content-Encoding": "gzip"}
    )


@when(
    "a caller sends the platform {count:d} bodies of {size:d} bytes in small "
    "pieces"
)
def send_largest_bodies(context, count, size):
    platform_callers.prepare_fleet(context)
    context.body = b"x" * size
    length = {"Content-Length": str(size)}
    pieces = [
        context.body[start : start + PIECE_BYTES]
        for start in range(0, size, PIECE_BYTES)
    ]
    context.replies = [
        context.platform.ask("/book/large", body=iter(pieces), headers=length)
        for _ in range(count)
    ]


@then("each response is the runner's, and each body was received completely")
def check_largest_bodies(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * len(statuses), statuses
    bodies = [run.body for run in context.platform.list_runs("/book/large")]
    assert bodies == [context.body] * len(statuses), len(bodies)


@when("a caller sends the platform headers that only the system may set")
def send_system_headers(context):
    platform_callers.prepare_fleet(context)
    context.reply = context.platform.ask("/look/own", headers=SYSTEM_HEADERS)


@then("the runner received none of these headers")
def check_headers_removed(context):
    (run,) = context.platform.list_runs("/look/own")
    for name, value in SYSTEM_HEADERS.items():
        assert run.headers.get(name.lower()) != value, (name, run.headers)


@when(
    'a caller requests "{path}" while runners have fault "{fault}" for '
    "{count:d} requests"
)
def send_with_faults(context, fault, count, path):
    platform_callers.prepare_fleet(context)
    service = platform_fleet.BOOKINGS
    if path.startswith("/chat"):
        service = platform_fleet.MODELS
    # A unique path, since a repeated request would be suspected of crashing
    # runners.
    path = f"{path}-{fault}-{context.platform.asked}"
    # All runners share the list, so that the faults happen `count` times in
    # all, whichever runners get the requests.
    faults = [platform_runner.Misdeed(fault)] * count
    for name, runner in context.platform.runners.items():
        if name.startswith("m-" if service == "model-pool" else "b-"):
            runner.misdeeds = faults
    started_at = time.monotonic()
    context.reply = context.platform.ask(path)
    context.took_s = time.monotonic() - started_at
    faults.clear()
    context.path = path


@then("the platform returns {response}, and {count:d} runs started")
def check_response_source(context, response, count):
    reply = context.reply
    source, status = response.rsplit(" ", 1)
    assert reply.status == int(status), reply
    is_signed = "x-response-stamp" in reply.headers
    assert is_signed == (source == "the runner's"), reply
    assert ("retry-after" in reply.headers) == (status == "503"), reply
    runs = context.platform.list_runs(context.path)
    assert len(runs) == count, runs


@then("it took at most {most:g} s")
def check_duration(context, most):
    assert context.took_s <= most, context.took_s


@when("a caller disconnects after {wait:g} s while its runner hangs")
def disconnect(context, wait):
    platform_callers.prepare_fleet(context)
    fleet = context.platform
    fleet.misbehave("hang", service=platform_fleet.BOOKINGS)
    with platform_callers.connect(fleet) as caller:
        caller.sendall(platform_callers.build_request("/book/leave"))
        fleet.wait_until(
            lambda: fleet.list_runs("/book/leave"), "the request runs"
        )
        time.sleep(wait)


@then("all runners are idle within {wait:g} s")
def check_idle(context, wait):
    fleet = context.platform
    fleet.wait_until(
        lambda: not any(x.working for x in fleet.runners.values()),
        "idle",
        wait_s=wait,
    )


@when("the operators add a route and revoke the key")
def change_configuration(context):
    platform_callers.prepare_fleet(context)
    added = platform_fleet.build_route(
        "added", "idempotent", platform_fleet.BOOKINGS
    )
    context.platform.configure(9, keys=("key-new",), extra=(added,))
    context.changed_at = time.monotonic()


@then("within {bound:g} s the old key gets 401 and the new route works")
def check_configuration_active(context, bound):
    fleet = context.platform
    new = {"Authorization": "Bearer key-new"}
    fleet.wait_until(
        lambda: (
            fleet.ask("/look/x").status == 401
            and fleet.ask("/added/x", headers=new).status == 200
        ),
        "the new configuration",
        wait_s=bound,
    )
    fleet.configure(10)
    fleet.wait_until(lambda: fleet.ask("/look/x").status == 200, "back")


@then("the entry's log names the runner and the reason for its choice")
def check_log(context):
    fleet = context.platform
    (run,) = fleet.list_runs(context.path)

    def find():
        return [
            line
            for line in fleet.entries[0].read_log()
            if line.get("request_id") == run.attempt_id
        ]

    fleet.wait_until(lambda: len(find()) == 2, "two lines")
    placed, answered = find()
    assert placed["decision"] == "placed", placed
    assert placed["upstream"] == run.runner, placed
    assert {"candidates", "left_s"} <= placed["inputs"].keys(), placed
    assert answered["decision"] == "answered", answered


@then("the entry's metrics include the request")
def check_metrics(context):
    entry = context.platform.entries[0]
    with urllib.request.urlopen(
        f"http://{LOCAL}:{entry.ports[2]}/metrics", timeout=5.0
    ) as answer:
        text = answer.read().decode()
    assert "rhubarbbank_requests_total" in text, text
    assert "rhubarbbank_answer_seconds_bucket" in text, text


# Store failures, stops and kills.


@given("{count:d} entries on the platform")
def start_fleet(context, count):
    context.platform = platform_fleet.PlatformFleet(entries=count)
    context.stack.enter_context(context.platform)


@when("the store {fault} for entry {number:d}")
def fail_store(context, fault, number):
    fleet = context.platform
    fleet.store.faults[fleet.store_ports[number]] = STORE_FAULTS[fault]
    context.failed_at = time.monotonic()


@then(
    "entry {number:d} starts to refuse keys after {least:g} s to {most:g} s, "
    "and runs no such request"
)
def check_keys_refused(context, number, least, most):
    fleet = context.platform
    while (reply := fleet.ask("/book/stale", entry=number)).status == 200:
        time.sleep(REQUEST_PERIOD_S)
    took_s = time.monotonic() - context.failed_at
    assert least <= took_s <= most, took_s
    assert reply.status == 503, reply
    assert "retry-after" in reply.headers, reply
    before = len(fleet.list_runs("/book/stale"))
    assert fleet.ask("/book/stale", entry=number).status == 503
    assert len(fleet.list_runs("/book/stale")) == before


@then("entry 0 isn't ready, but entry 1 is ready and serves")
def check_other_entry(context):
    fleet = context.platform
    assert not fleet.is_ready(fleet.entries[0])
    assert fleet.is_ready(fleet.entries[1])
    assert fleet.ask("/book/other", entry=1).status == 200


@when("the store serves entry {number:d} again")
def clear_store_fault(context, number):
    fleet = context.platform
    fleet.store.faults.clear()


@then("entry {number:d} serves again within {wait:g} s")
def check_serving(context, number, wait):
    fleet = context.platform
    fleet.wait_until(
        lambda: fleet.ask("/book/back", entry=number).status == 200,
        "serves",
        wait_s=wait,
    )


@when("entry {number:d} is suspended, the key is revoked, and {wait:g} s pass")
def suspend_entry(context, number, wait):
    fleet = context.platform
    fleet.entries[number].process.send_signal(signal.SIGSTOP)
    fleet.configure(5, keys=("key-new",))
    time.sleep(wait)


@when("entry {number:d} is resumed")
def resume_entry(context, number):
    context.platform.entries[number].process.send_signal(signal.SIGCONT)


@then("no request sent to entry 0 with that key is run")
def check_revoked_key(context):
    fleet = context.platform
    for _ in range(20):
        reply = fleet.ask("/book/revoked")
        assert reply.status in (401, 503), reply
    assert not fleet.list_runs("/book/revoked")


@when("a runner is removed and the store discards its history")
def remove_runner(context):
    fleet = context.platform
    fleet.call(lambda: fleet.store.remove("servers", "b-0"))
    fleet.call(fleet.store.drop_history)


@when("a runner is registered as draining")
def drain_runner(context):
    context.platform.register("b-0", platform_fleet.BOOKINGS, state="draining")


@then("no request reaches that runner after {wait:g} s")
def check_no_requests(context, wait):
    fleet = context.platform
    time.sleep(wait)
    before = len(fleet.runners["b-0"].runs)
    for _ in range(30):
        assert fleet.ask("/look/x").status == 200
    assert len(fleet.runners["b-0"].runs) == before


@when("invalid upstreams are written beside the runners")
def write_invalid_upstreams(context):
    fleet = context.platform
    for name, spec in (
        ("f-0", {"service": "bookings"}),
        ("f-1", {"service": 7, "addr": [], "state": None}),
        ("f-2", "not an object"),
        ("f-3", {"service": "bookings", "addr": "nowhere", "state": "ready"}),
    ):
        fleet.call(
            lambda name=name, spec=spec: fleet.store.put(
                "servers", name, spec=spec
            )
        )


@then("the entry continues to serve and logs each invalid upstream")
def check_invalid_upstreams(context):
    fleet = context.platform
    for _ in range(20):
        assert fleet.ask("/look/x").status == 200
    fleet.wait_until(
        lambda: (
            sum(
                "ignoring invalid upstream" in line.get("message", "")
                for line in fleet.entries[0].read_log()
            )
            >= 4
        ),
        "logged",
    )


@when("entry 0 is asked to stop while it streams to callers")
def stream_and_stop(context):
    fleet = context.platform
    for runner in fleet.runners.values():
        runner.events = 100
    context.replies = []

    def stream():
        context.replies.append(fleet.ask("/chat/long"))

    threads = [threading.Thread(target=stream) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    fleet.stop(0)
    context.stopped_at = time.monotonic()
    time.sleep(0.1)
    context.ready_after = fleet.is_ready(fleet.entries[0])
    for thread in threads:
        thread.join()


@then("all streams are complete")
def check_streams(context):
    assert len(context.replies) == 8
    for reply in context.replies:
        assert reply.whole, reply
        assert reply.events == list(range(1, 101)), reply.status


@then(
    "entry 0 stops being ready at once, and exits within {bound:g} s with "
    "code 0"
)
def check_exit(context, bound):
    assert not context.ready_after
    left_s = bound - (time.monotonic() - context.stopped_at)
    entry = context.platform.entries[0]
    try:
        code = entry.process.wait(left_s)
    except subprocess.TimeoutExpired:
        raise AssertionError(
            ("it still runs", entry.read_log()[-12:])
        ) from None
    assert code == 0, (code, entry.read_log()[-12:])


@then("its registration is removed")
def check_unregistered(context):
    kinds = context.platform.store.kinds
    assert "entry-0" not in kinds["rhubarbbank-entries"], kinds
    assert "entry-1" in kinds["rhubarbbank-entries"]


@when("entry 0 is killed and restarted")
def restart_killed_entry(context):
    fleet = context.platform
    fleet.entries[0].process.kill()
    fleet.entries[0].process.wait()
    ports = fleet.entries[0].ports
    fleet.restart_entry(0)
    context.old_ports = ports


@then("a caller that connects during the start is served")
def check_early_caller(context):
    fleet = context.platform
    # Connects as soon as the port is open, before the entry is ready.
    deadline = time.monotonic() + 10.0
    while time.monotonic() < deadline:
        try:
            early_ready = fleet.is_ready(fleet.entries[0])
            reply = fleet.ask("/look/early", wait_ms=8000)
        except ConnectionRefusedError:
            time.sleep(0.005)
            continue
        assert not early_ready
        assert reply.status == 200, reply
        return
    raise AssertionError("never served")


def order_rollout(context, duration, fault):
    fleet = context.platform
    for number in range(3):
        name = f"b-{10 + number}"
        fleet.add_runner(name, platform_fleet.BOOKINGS, version="v2")
        fleet.runners[name].misdeed = platform_runner.Misdeed(fault)
    spec = {
        "service": platform_fleet.BOOKINGS,
        "target": "v2",
        "duration_s": duration,
    }
    fleet.call(
        lambda: fleet.store.put("rollouts", platform_fleet.BOOKINGS, spec=spec)
    )
    context.ordered_at = time.monotonic()
    context.stop_requests = threading.Event()

    def send_requests():
        number = itertools.count()
        while not context.stop_requests.is_set():
            entry = next(number) % len(fleet.entries)
            with contextlib.suppress(OSError, http.client.HTTPException):
                fleet.ask(f"/look/r{entry}", entry=entry)

    thread = threading.Thread(target=send_requests)
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(context.stop_requests.set)


@when("a roll-out of a working version over {duration:g} s is ordered")
def order_working(context, duration):
    order_rollout(context, duration, "none")


@when("a roll-out of a failing version over {duration:g} s is ordered")
def order_failing(context, duration):
    order_rollout(context, duration, "fail")


@then('the roll-out\'s status is "{state}" within {wait:g} s')
def check_rollout(context, state, wait):
    kinds = context.platform.store.kinds
    context.platform.wait_until(
        lambda: (
            (kinds["rollouts"][platform_fleet.BOOKINGS].status or {}).get(
                "state"
            )
            == state
        ),
        state,
        wait_s=wait - (time.monotonic() - context.ordered_at),
    )


@then("its status was written with conditional calls, once per state")
def check_conditional(context):
    store = context.platform.store
    states = [
        change.rendered["status"]["state"]
        for change in store.history
        if change.kind == "rollouts" and change.rendered["status"]
    ]
    assert states == ["running", "completed"], states


@then("every entry receives heartbeats from {count:d} others within {wait:g} s")
def check_heartbeats(context, count, wait):
    def have_heartbeats():
        return all(
            len(
                {
                    line["reason"]
                    for line in entry.read_log()
                    if line.get("decision") == "entry_heard"
                }
            )
            >= count
            for entry in context.platform.entries
        )

    fleets.wait_until(
        have_heartbeats, "heartbeats from all entries", wait_s=wait
    )


@then("only watches of entries and roll-outs allow stale responses")
def check_stale_watches(context):
    fleet = context.platform
    watches = dict(fleet.call(lambda: fleet.store.watches))
    stale = {kind for kind, allows_stale in watches if allows_stale}
    fresh = {kind for kind, allows_stale in watches if not allows_stale}
    assert stale == {wire.ENTRY_KIND, wire.ROLLOUT_KIND}, watches
    assert fresh == {wire.UPSTREAM_KIND}, watches


@then(
    "an entry with invalid settings exits with code 1 and names each invalid "
    "field"
)
def check_bad_settings(context):
    root = platform_fleet.ROOT
    folder = pathlib.Path(context.config.base_dir)
    del folder
    with contextlib.ExitStack() as stack:
        path = (
            pathlib.Path(
                stack.enter_context(__import__("tempfile").TemporaryDirectory())
            )
            / "bad.json"
        )
        path.write_text(
            json.dumps(
                {
                    "name": "",
                    "data_centre": "west-a",
                    "caller_address": "nowhere",
                    "ready_address": "127.0.0.1:1",
                    "metrics_address": "127.0.0.1:2",
                    "peer_address": "127.0.0.1:3",
                    "store_address": "127.0.0.1:0",
                    "bounds": {"revoke_ms": -1},
                }
            ),
            encoding="utf-8",
        )
        found = subprocess.run(
            [sys.executable, str(root / "platform" / "entry.py")],
            env=os.environ | {"RHUBARBBANK_CONFIG": str(path)},
            capture_output=True,
            text=True,
            timeout=20.0,
            check=False,
        )
    assert found.returncode == 1, found
    for field in ("name", "caller_address", "store_address", "revoke_ms"):
        assert field in found.stderr, found.stderr
