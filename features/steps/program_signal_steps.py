"""Steps for signals to the programs of the own interface."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from support import signals

from rhubarbbank_experiments import fleet
from rhubarbbank_experiments import ports
from rhubarbbank_experiments import stop_signals

LOCAL = "127.0.0.1"
# Loaded early by each program; it says that the program's first line has run.
LIBRARIES = {"entry": "msgspec", "sidecar": "msgspec", "stand-ins": "uvloop"}
MODULES = {
    "entry": ["rhubarbbank_entry.main", "entry"],
    "sidecar": ["rhubarbbank_sidecar.main"],
    "stand-ins": ["rhubarbbank_standins", "bundle"],
}


def find_address():
    return f"{LOCAL}:{ports.FINDER.find()}"


def build_settings(program):
    """Returns settings; nothing listens at the addresses of other programs."""
    if program == "stand-ins":
        return {"standins": [{"kind": "hosts", "port": ports.FINDER.find()}]}
    settings = {
        "name": program,
        "data_centre": "west-a",
        "region": "west",
        "peer_address": find_address(),
    }
    if program == "sidecar":
        return settings | {
            "upstream": "b-0",
            "upstream_url": f"http://{find_address()}",
            "kind": "service",
            "service_version": "booking@v1",
        }
    return settings | {
        "http_address": find_address(),
        "store_url": f"http://{find_address()}",
        "hosts_url": f"http://{find_address()}",
    }


def receive_hang_up(number, frame):
    """Handles SIGHUP here, so that a child begins with its default action."""
    del number, frame


@contextlib.contextmanager
def handle_hang_up(handler):
    """Sets SIGHUP for children, which inherit whether it is ignored."""
    before = signal.signal(signal.SIGHUP, handler)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, before)


def start_program(context, program, *, hang_up=receive_hang_up):
    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    path = folder / "settings.json"
    path.write_text(json.dumps(build_settings(program)), encoding="utf-8")
    context.log = folder / "log"
    arguments = ["--settings", str(path)]
    with context.log.open("wb") as output, handle_hang_up(hang_up):
        context.process = subprocess.Popen(
            [sys.executable, "-m", *MODULES[program], *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    context.stack.callback(end, context.process)


def end(process):
    if process.poll() is None:
        process.kill()
    process.wait()


@when("the {program} is started, and gets {name} while it loads")
def signal_loading(context, program, name):
    start_program(context, program)
    signals.wait_mapped(context.process, LIBRARIES[program])
    context.process.send_signal(signal.Signals[name])


@when(
    "the {program} is started, and gets SIGTERM and SIGHUP every {pause:g} ms "
    "from then on"
)
def signal_throughout(context, program, pause):
    start_program(context, program)
    signals.wait_mapped(context.process, LIBRARIES[program])

    def send():
        numbers = [signal.SIGTERM, signal.SIGHUP]
        for turn in range(4000):
            if context.process.poll() is not None:
                return
            context.process.send_signal(numbers[turn % 2])
            time.sleep(pause / 1000)

    thread = threading.Thread(target=send)
    thread.start()
    context.stack.callback(thread.join)


@when("the entry is started with SIGHUP ignored, and gets it while it loads")
def signal_ignoring(context):
    start_program(context, "entry", hang_up=signal.SIG_IGN)
    signals.wait_mapped(context.process, LIBRARIES["entry"])
    context.process.send_signal(signal.SIGHUP)


@then("it exits with code {code:d} within {bound:g} s")
def check_code(context, code, bound):
    found = context.process.wait(bound)
    assert found == code, (found, context.log.read_text()[-2000:])


@then("it still runs after {pause:g} s")
def check_running(context, pause):
    time.sleep(pause)
    assert context.process.poll() is None, context.process.returncode


def list_children(pid):
    """Returns the ids of the processes that a process has started."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*"):
        status = signals.read_status(path.name)
        if status.get("PPid") == str(pid):
            found.append(int(path.name))
    return found


@when("the demo has started processes, and gets {name}")
def signal_demo(context, name):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.log = pathlib.Path(folder) / "log"
    with context.log.open("wb") as output, handle_hang_up(receive_hang_up):
        context.process = subprocess.Popen(
            [sys.executable, "-m", "rhubarbbank_experiments", "demo"],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    context.stack.callback(end, context.process)
    ends_at = time.monotonic() + 20.0
    while len(list_children(context.process.pid)) < 3:
        assert time.monotonic() < ends_at, context.log.read_text()
        time.sleep(0.02)
    context.children = set(list_children(context.process.pid))
    context.stack.callback(kill_left, context.children)
    context.process.send_signal(signal.Signals[name])
    # A start that was under way may become visible only now.
    while context.process.poll() is None and time.monotonic() < ends_at:
        context.children |= set(list_children(context.process.pid))
        time.sleep(0.02)


def list_left(pids):
    """Returns the ids of the processes that still run."""
    return [
        pid for pid in pids if not signals.is_ended(signals.read_status(pid))
    ]


def kill_left(pids):
    for pid in list_left(pids):
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


@then("none of its processes is left")
def check_none_left(context):
    left = list_left(context.children)
    assert not left, left


@given("a program whose signals end it by an exception")
def install_stop_signals(context):
    stopping = stop_signals.STOP_SIGNALS
    for number in stop_signals.NUMBERS:
        before = signal.signal(number, stopping.handle)
        context.stack.callback(signal.signal, number, before)

    def forget():
        stopping.pending = None

    context.stack.callback(forget)


@when("{name} comes before the start of a process returns")
def signal_starting(context, name):
    class SignalledStart(subprocess.Popen):
        """Gets a signal when the process runs, and nobody knows it yet."""

        def __init__(self, *arguments, **options):
            super().__init__(*arguments, **options)
            context.stack.callback(end, self)
            signal.raise_signal(signal.Signals[name])

    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    context.member = fleet.Member(
        name="sleeper", command=["sleep", "60"], log=folder / "log"
    )
    context.code = None
    with mock.patch.object(subprocess, "Popen", SignalledStart):
        try:
            context.member.start()
        except SystemExit as error:
            context.code = error.code


@then("the program ends with code {code:d}, and has noted the process")
def check_noted(context, code):
    assert context.code == code, context.code
    assert context.member.process is not None
