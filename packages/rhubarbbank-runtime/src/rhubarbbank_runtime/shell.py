"""The shell around a reducer: steps it and carries out its effects.

`Shell` holds what both programs need: the reducer's clock, the link to other
processes, logs and metrics. Each program adds the handlers of its own effects;
`PlatformShell` carries out what only entries do, calls to the platform.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
import signal
from typing import Any
from typing import Protocol

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_runtime import http_session
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import peer_link
from rhubarbbank_runtime import timers

LOG = logging.getLogger(__name__)
# Long enough that work which fails at once doesn't fill the log, short
# against the seconds for which what it keeps up to date stays usable.
RESTART_PAUSE_S = 0.2
# Longer than cancelled work takes to clean up.
CANCEL_RETRY_S = 0.5


class Reducer(Protocol):
    """What a shell drives."""

    def step(self, *, now: float, event: Any) -> Sequence[Any]:
        """Applies one event; returns the effects."""


class MetricsSink(Protocol):
    """Where metrics go."""

    def count(self, effect: fx.Count) -> None:
        """Adds to a counter."""

    def gauge(self, effect: fx.Gauge) -> None:
        """Sets a gauge."""

    def timing(self, effect: fx.Timing) -> None:
        """Records a timing."""

    def close(self) -> None:
        """Releases what the sink holds."""


class Recorder(Protocol):
    """Keeps all that drives a reducer, so that it can be replayed."""

    def record_start(self) -> None:
        """Records what the reducer begins with."""

    def record_event(self, now: float, event: Any) -> None:
        """Records an event before the step that takes it."""

    def record_effects(self, produced: list[Any]) -> None:
        """Records what a step led to."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShellParts:
    """What a program chooses of its shell.

    Attributes:
        metrics: Where metrics go.
        decode: Returns the messages of a frame of another process.
        clock: Tells the reducer's time in seconds; None for the loop's.
        tick_s: Seconds between two beats.
        recorder: Records events; None if they aren't recorded.
    """

    metrics: MetricsSink
    decode: Callable[[bytes], list[Any]]
    clock: Callable[[], float] | None = None
    tick_s: float = defaults.TICK_S
    recorder: Recorder | None = None


class ShellSettings(Protocol):
    """The settings that all programs have."""

    @property
    def name(self) -> str:
        """Unique among all processes."""

    @property
    def peer_address(self) -> str:
        """Where other processes reach this one."""


class Shell:
    """Carries out the effects that both programs have.

    Attributes:
        settings: The process's settings.
        parts: What the program chose of its shell.
        clock: Tells the reducer's time in seconds.
        reducer: What decides.
        loop: The event loop.
        stack: Owns all that must be closed.
        session: For all HTTP calls.
        handlers: What carries out an effect, by the effect's type.
        stopped: Set once the process may end.
        tasks: Work under way.
    """

    def __init__(
        self,
        *,
        settings: ShellSettings,
        reducer: Reducer,
        parts: ShellParts,
    ) -> None:
        self.settings = settings
        self.parts = parts
        self.reducer = reducer
        self.loop = asyncio.get_running_loop()
        self.stack = contextlib.AsyncExitStack()
        self.session = http_session.open_session()
        self.clock = parts.clock or self.loop.time
        self.metrics = parts.metrics
        self.timers = timers.TimerService(loop=self.loop)
        self.link = peer_link.PeerLink(
            address=settings.peer_address,
            loop=self.loop,
            deliver=self.deliver,
            decode=parts.decode,
        )
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.handlers: dict[type, Callable[[Any], None]] = {
            effects.Send: self.send,
            fx.LogDecision: logs.write_decision,
            fx.Count: self.metrics.count,
            fx.Gauge: self.metrics.gauge,
            fx.Timing: self.metrics.timing,
            fx.RetryAfter: self.retry_after,
            fx.Exit: self.exit,
        }

    async def open(self) -> None:
        """Opens links and timers."""
        if self.parts.recorder is not None:
            self.parts.recorder.record_start()
        self.stack.push_async_callback(self.session.close)
        self.stack.callback(self.metrics.close)
        self.link.open()
        self.stack.callback(self.link.close)
        self.stack.push_async_callback(self.cancel_tasks)
        self.stack.callback(self.timers.close)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(
                number, self.apply, events.StopRequested()
            )
        self.timers.subscribe(period_s=self.parts.tick_s, callback=self.tick)

    async def close(self) -> None:
        """Closes everything, in reverse order."""
        await self.stack.aclose()

    def apply(self, event: Any) -> None:
        """Steps the reducer and carries out its effects."""
        now = self.clock()
        recorder = self.parts.recorder
        if recorder is not None:
            # Before the step, so that an event that it fails on is kept.
            recorder.record_event(now, event)
        produced = self.reducer.step(now=now, event=event)
        if recorder is not None:
            # Before the handlers, which may apply events of their own.
            recorder.record_effects(list(produced))
        handlers = self.handlers
        for effect in produced:
            handlers[type(effect)](effect)

    def deliver(self, message: Any) -> None:
        """Takes in a message of another process."""
        self.apply(events.MessageReceived(message))

    def tick(self) -> None:
        """The regular beat."""
        self.apply(events.Ticked())

    def send(self, effect: effects.Send) -> None:
        """Sends a message to another process."""
        self.link.send(effect.address, effect.message)

    def retry_after(self, effect: fx.RetryAfter) -> None:
        """Tells the reducer when the time it asked for has passed."""
        self.loop.call_later(
            effect.delay_s, self.apply, events.RetryDue(effect.request_id)
        )

    def exit(self, effect: fx.Exit) -> None:
        """Lets the process end."""
        self.stopped.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the loop; its failure is logged."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_done)

    def keep_running(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs work beside the loop until it returns, anew if it fails."""
        self.spawn(restart_on_failure(work))

    def handle_task_done(self, task: "asyncio.Task[None]") -> None:
        """Forgets a task, and logs its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("task failed", exc_info=task.exception())

    async def cancel_tasks(self) -> None:
        """Breaks off all work under way."""
        await cancel_all(list(self.tasks))


async def cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    """Cancels tasks, and returns once they have ended.

    A cancellation is lost where a clean-up fails, so that work may go on, or
    be begun anew, after the first.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
        for task in pending:
            LOG.warning("still running, cancelled again: %r", task)


async def restart_on_failure(
    work: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Runs work until it returns; logs each failure and begins anew."""
    while True:
        try:
            await work()
        except Exception:
            # What others rely on goes on, whatever befell it once.
            LOG.exception("work failed, begun anew")
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return
