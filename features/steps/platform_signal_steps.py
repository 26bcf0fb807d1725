"""Steps for signals to entries that start, serve and stop."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from behave import then
from behave import when
from support import signals

from rhubarbbank_experiments import platform_fleet

ROOT = platform_fleet.ROOT
SETTINGS_WAIT_S = 10.0
# What an entry may import before it catches signals.
SIGNALS_PACKAGE = "rhubarbbank_runtime"
SIGNALS_MODULE = "rhubarbbank_runtime.process_signals"


def end_entry(context):
    """Ends entry 0 at once."""
    process = context.platform.entries[0].process
    process.kill()
    process.wait()


def restart(context):
    """Ends and starts entry 0; returns once its first lines have run."""
    end_entry(context)
    fleet = context.platform
    fleet.relaunch_entry(0)
    context.entry = fleet.entries[0]
    signals.wait_listening(context.entry)


def change_settings(context, share=1.0):
    """Writes other bounds into the settings of entry 0, or a part of them."""
    fleet = context.platform
    entry = fleet.entries[0]
    settings = fleet.build_settings(0, entry.ports)
    settings["bounds"] = settings["bounds"] | {"retry_extra": 41.5}
    text = json.dumps(settings).encode()
    context.changed_text = text
    context.changed_at = time.monotonic()
    entry.settings.write_bytes(text[: int(len(text) * share)])


def send_signals(context, numbers, *, count, pause_s):
    """Sends signals to entry 0 until it has ended, `count` at most."""
    process = context.entry.process
    for turn in range(count):
        if process.poll() is not None:
            return
        process.send_signal(numbers[turn % len(numbers)])
        time.sleep(pause_s)


@when("entry 0 starts again")
def start_again(context):
    restart(context)


@when("its settings change, with {count:d} SIGHUPs from {moment:g} s on")
def change_and_signal(context, count, moment):
    time.sleep(moment)
    change_settings(context)
    send_signals(context, [signal.SIGHUP], count=count, pause_s=0.002)


@then("the process gets ready, with the changed settings within {bound:g} s")
def check_in_force(context, bound):
    entry = context.platform.entries[0]
    wanted = signals.compute_digest(context.changed_text)
    context.platform.wait_until(
        lambda: (
            entry.process.poll() is not None
            or signals.find_digest(entry) == wanted
        ),
        "the changed settings in force",
        wait_s=SETTINGS_WAIT_S,
    )
    assert entry.process.poll() is None, entry.process.returncode
    in_force_at = signals.find_digest_time(entry, wanted)
    ready_at = signals.find_started_time(entry)
    changed_at = time.time() - (time.monotonic() - context.changed_at)
    since = max(ready_at, changed_at)
    assert in_force_at - since <= bound, (in_force_at, ready_at, changed_at)
    context.platform.wait_ready(entry)
    assert entry.process.poll() is None, entry.process.returncode


@then("it has read changed settings at most once")
def check_read_once(context):
    # Another reading would come within a period of the watch.
    time.sleep(1.2)
    found = signals.count_decisions(context.entry, "reloaded")
    assert found <= 1, found


@when("entry 0 starts again and is watched until it has been stopped")
def watch_process(context):
    restart(context)
    with signals.watch_handlers(context.entry.process.pid) as samples:
        context.platform.wait_ready(context.entry)
        context.entry.process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        context.entry.process.send_signal(signal.SIGTERM)
        # Not waited for, so that its state can be read to the very end.
        signals.wait_zombie(context.entry.process.pid)
    context.samples = samples
    assert context.entry.process.wait(1.0) == 0


@then("SIGHUP, SIGTERM and SIGINT were handled or ignored all the while")
def check_handled(context):
    wanted = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}
    assert len(context.samples) > 100, len(context.samples)
    missed = [
        (round(sample.at_s, 3), sorted(wanted - sample.handled))
        for sample in context.samples
        if not wanted <= sample.handled
    ]
    assert not missed, (len(missed), missed[:3], missed[-3:])


@then("an entry imports only the package of its signals before them")
def check_imports(context):
    def list_imports(*arguments):
        found = subprocess.run(
            [sys.executable, "-S", "-X", "importtime", *arguments],
            env=os.environ | {"RHUBARBBANK_CONFIG": os.devnull},
            cwd=ROOT,
            capture_output=True,
            timeout=20.0,
            check=False,
        ).stderr.decode()
        return [
            line.rpartition("|")[2].strip()
            for line in found.splitlines()
            if line.startswith("import time:")
        ]

    start = set(list_imports("-c", ""))
    found = list_imports(str(ROOT / "platform" / "entry.py"))
    assert SIGNALS_MODULE in found, found
    before = set(found[: found.index(SIGNALS_MODULE)]) - start
    assert before <= {SIGNALS_PACKAGE}, before


@when("entry 0 starts again, and a caller's request waits for it")
def start_with_caller(context):
    restart(context)
    caller = socket.create_connection(
        (platform_fleet.LOCAL, context.entry.ports[0]), timeout=10.0
    )
    context.stack.callback(caller.close)
    caller.sendall(
        b"POST /look/waits HTTP/1.1\r\nHost: api.example\r\n"
        b"X-Attempt-Id: waits\r\nX-Deadline-Ms: 9000\r\n"
        b"Authorization: Bearer "
        + platform_fleet.KEY.encode()
        + b"\r\nContent-Length: 0\r\n\r\n"
    )
    context.caller = caller


@when("{name} arrives after {moment:g} s")
def send_stop(context, name, moment):
    time.sleep(moment)
    context.entry.process.send_signal(signal.Signals[name])
    context.signalled_at = time.monotonic()


@when("the process is held up for {duration:g} s")
def hold_up(context, duration):
    context.entry.process.send_signal(signal.SIGSTOP)
    time.sleep(duration)
    context.entry.process.send_signal(signal.SIGCONT)


@then("the caller that waited is answered")
def check_waiting_answered(context):
    response = http.client.HTTPResponse(context.caller)
    response.begin()
    body = response.read()
    assert response.status in {200, 503}, (response.status, body)
    if response.status == http.client.SERVICE_UNAVAILABLE:
        assert response.headers["Retry-After"], response.headers
    context.platform.wait_until(
        lambda: context.caller.recv(1) == b"", "the connection closed"
    )


@then("the process exits with code {code:d} within {bound:g} s of the signal")
def check_exit_code(context, code, bound):
    left_s = bound - (time.monotonic() - context.signalled_at)
    found = context.entry.process.wait(max(0.1, left_s))
    assert found == code, (found, context.entry.read_log()[-5:])


@when(
    "entry 0 gets SIGTERM, SIGHUP and SIGINT every {pause:g} ms until it is "
    "gone"
)
def signal_throughout(context, pause):
    context.entry = context.platform.entries[0]
    context.signalled_at = time.monotonic()
    numbers = [signal.SIGTERM, signal.SIGHUP, signal.SIGINT]
    send_signals(context, numbers, count=5000, pause_s=pause / 1000)


@when("the settings of entry 0 change without a signal")
def change_silently(context):
    change_settings(context)


@when(
    "half of the settings of entry 0 are written before a SIGHUP, and the "
    "rest {pause:g} s later"
)
def write_in_halves(context, pause):
    context.entry = context.platform.entries[0]
    change_settings(context, share=0.5)
    context.entry.process.send_signal(signal.SIGHUP)
    time.sleep(pause)
    change_settings(context)


@then("the half was refused once")
def check_refused_once(context):
    found = signals.count_decisions(context.entry, "reload_refused")
    assert found == 1, found


def start_with_half(context):
    end_entry(context)
    fleet = context.platform
    change_settings(context, share=0.5)
    fleet.relaunch_entry(0)
    context.entry = fleet.entries[0]
    context.signalled_at = time.monotonic()


@when(
    "entry 0 starts again with half of its settings, and the rest {pause:g} s "
    "later"
)
def start_in_halves(context, pause):
    start_with_half(context)
    time.sleep(pause)
    change_settings(context)


@when("entry 0 starts again with half of its settings")
def start_without_rest(context):
    start_with_half(context)


@when(
    "a booking's body is sent to entry 0 over {duration:g} s, beside a SIGHUP "
    "every {pause:g} ms"
)
def upload_beside_signals(context, duration, pause):
    context.entry = context.platform.entries[0]
    pieces = 20

    def send_body():
        for _ in range(pieces):
            time.sleep(duration / pieces)
            yield b"x" * 1000

    count = int(duration / pause * 1000)
    thread = threading.Thread(
        target=lambda: send_signals(
            context, [signal.SIGHUP], count=count, pause_s=pause / 1000
        )
    )
    thread.start()
    context.reply = context.platform.ask(
        "/book/slow",
        body=send_body(),
        headers={"Transfer-Encoding": "chunked"},
    )
    thread.join()


@then("the booking is answered with {status:d} and has run once")
def check_booking(context, status):
    assert context.reply.status == status, context.reply
    assert len(context.platform.list_runs("/book/slow")) == 1
