"""Steps for watching a settings file, on a real event loop."""

import asyncio
import logging
import pathlib
import tempfile
import time

from behave import given
from behave import then
from behave import when

from rhubarbbank_core import options
from rhubarbbank_core import program_effects as fx
from rhubarbbank_runtime import settings_file
from rhubarbbank_runtime import settings_watch
from rhubarbbank_runtime import timers

FAULT = options.SettingsFault(field="file", fault="no end", remedy="End it.")
CRASH = "crash;"
UNFIT = "unfit;"


class Refusals(logging.Handler):
    """Keeps why readings were refused."""

    def __init__(self):
        super().__init__()
        self.reasons = []

    def emit(self, record):
        decision = getattr(record, "decision", None)
        if getattr(decision, "decision", "") == "reload_refused":
            self.reasons.append(decision.reason)


class Watched:
    """A settings file with a watch.

    Attributes:
        applied: The settings that were applied.
        readings: How often the file was read.
    """

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "settings"
        self.path.write_text("one;")
        self.applied = []
        self.readings = 0
        self.loop = asyncio.new_event_loop()
        self.timers = timers.TimerService(loop=self.loop)
        self.file = settings_file.SettingsFile(
            path=str(self.path), parse=self.parse
        )
        self.file.read()
        self.watch = settings_watch.SettingsWatch(
            file=self.file, apply=self.apply, loop=self.loop
        )
        read_change = self.file.read_change

        def count_reading():
            self.readings += 1
            return read_change()

        self.file.read_change = count_reading

    def parse(self, text):
        found = text.decode()
        if found == CRASH:
            raise RecursionError("too deep")
        return found if found.endswith(";") else [FAULT]

    def apply(self, changed):
        if changed == UNFIT:
            raise ValueError("doesn't fit")
        self.applied.append(changed)
        return fx.LogDecision(decision="reloaded", reason="test")

    def open(self):
        self.watch.open(self.timers)

    def run(self, duration_s):
        """Lets the event loop run for a while."""
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def close(self):
        self.watch.close()
        self.timers.close()
        self.loop.close()


@given("a settings file that changed after it was read")
def change_before_watch(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.watched = Watched(folder)
    context.stack.callback(context.watched.close)
    context.refusals = Refusals()
    log = logging.getLogger("rhubarbbank.decision")
    log.addHandler(context.refusals)
    context.stack.callback(log.removeHandler, context.refusals)
    context.watched.path.write_text("two;")


@when("it is watched")
def open_watch(context):
    context.watched.open()


@given("a watched settings file")
def start_watch(context):
    change_before_watch(context)
    context.watched.path.write_text("one;")
    context.watched.open()
    context.watched.run(0.05)
    context.watched.readings = 0


@when("{count:d} signals arrive within {duration:g} s")
def request_readings(context, count, duration):
    for _ in range(count):
        context.watched.watch.request(0.0)
        context.watched.run(duration / count)


@then("the file has been read {count:d} time after {pause:g} s")
def check_readings(context, count, pause):
    context.watched.run(pause)
    assert context.watched.readings == count, context.watched.readings


@when("the file {fault}")
def spoil_file(context, fault):
    path = context.watched.path
    match fault:
        case "is only half written":
            path.write_text("tw")
        case "is missing":
            path.unlink()
        case "makes the parser fail":
            path.write_text(CRASH)
        case "can't be applied":
            path.write_text(UNFIT)
        case "is whole again with other settings":
            path.write_text("two;")
            return
    context.watched.watch.request(0.0)
    context.watched.run(2.3)


@then("the settings before are kept, and the log says why once")
def check_kept(context):
    assert context.watched.applied == [], context.watched.applied
    assert len(context.refusals.reasons) == 1, context.refusals.reasons
    assert context.watched.readings >= 3, context.watched.readings


@then("the changed settings are applied within {bound:g} s")
def check_applied(context, bound):
    ends_at = time.monotonic() + bound
    while not context.watched.applied and time.monotonic() < ends_at:
        context.watched.run(0.01)
    assert context.watched.applied == ["two;"], context.watched.applied
