"""The shell around a reducer: feeds it events and executes its effects.

`Shell` provides what all programs need: the reducer's clock, the link to other
processes, logs and metrics. Each program adds handlers for its own effects;
`PlatformShell` adds those for the calls to the platform that an entry makes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
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
# Long enough that a coroutine that fails immediately doesn't flood the log, and
# short compared with the seconds for which the data it refreshes stays valid.
RESTART_PAUSE_S = 0.2
# Longer than a cancelled task takes to clean up.
CANCEL_RETRY_S = 0.5


class Reducer(Protocol):
    """The deterministic state machine that a shell drives."""

    def step(self, *, now: float, event: Any) -> Sequence[Any]:
        """Applies an event and returns the resulting effects."""


class MetricsSink(Protocol):
    """Receives metrics."""

    def count(self, effect: fx.Count) -> None:
        """Increments a counter."""

    def gauge(self, effect: fx.Gauge) -> None:
        """Sets a gauge."""

    def timing(self, effect: fx.Timing) -> None:
        """Records a timing."""

    def close(self) -> None:
        """Releases the resources of the sink."""


class Recorder(Protocol):
    """Records the inputs of a reducer, so that a run can be replayed."""

    def record_start(self) -> None:
        """Records what the reducer was built from."""

    def record_event(self, now: float, event: Any) -> None:
        """Records an event, before the reducer applies it."""

    def record_effects(self, produced: list[Any]) -> None:
        """Records the effects of a step."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShellParts:
    """The components of a shell that each program chooses.

    Attributes:
        metrics: Receives metrics.
        decode: Decodes a frame from another process into its messages.
        clock: Returns the reducer's time in seconds; None to use the event
            loop's clock.
        tick_s: Seconds between two `Ticked` events.
        recorder: Records events; None to record nothing.
    """

    metrics: MetricsSink
    decode: Callable[[bytes], list[Any]]
    clock: Callable[[], float] | None = None
    tick_s: float = defaults.TICK_S
    recorder: Recorder | None = None


class ShellSettings(Protocol):
    """The settings that all programs share."""

    @property
    def name(self) -> str:
        """Name of the process, unique in the system."""

    @property
    def peer_address(self) -> str:
        """Address at which other processes reach this one, "ip:port"."""


class Shell:
    """Drives a reducer and executes the effects that all programs share.

    Attributes:
        settings: The process's settings.
        parts: The components that the program chose.
        clock: Returns the reducer's time in seconds.
        reducer: The reducer, which makes all decisions.
        loop: The event loop.
        stack: Closes all resources, in reverse order.
        session: The session for all HTTP calls.
        handlers: Functions that execute effects, by the effect's type.
        stopped: Set once the process may exit.
        tasks: Running background tasks.
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
        """Opens the peer link and starts the timers."""
        if self.parts.recorder is not None:
            self.parts.recorder.record_start()
        self.stack.push_async_callback(self.session.close)
        self.stack.callback(self.metrics.close)
        self.link.open()
        self.stack.callback(self.link.close)
        self.stack.push_async_callback(self.cancel_tasks)
        self.stack.callback(self.timers.close)
        self.timers.subscribe(period_s=self.parts.tick_s, callback=self.tick)

    async def close(self) -> None:
        """Closes all resources, in the reverse order of opening."""
        await self.stack.aclose()

    def request_stop(self, age_s: float) -> None:
        """Applies a request to stop that arrived `age_s` seconds ago."""
        self.apply(events.StopRequested(age_s))

    def apply(self, event: Any) -> None:
        """Steps the reducer with an event and executes its effects."""
        now = self.clock()
        recorder = self.parts.recorder
        if recorder is not None:
            # Before the step, so that an event that makes it fail is recorded.
            recorder.record_event(now, event)
        produced = self.reducer.step(now=now, event=event)
        if recorder is not None:
            # Before the handlers, which may apply further events.
            recorder.record_effects(list(produced))
        handlers = self.handlers
        for effect in produced:
            handlers[type(effect)](effect)

    def deliver(self, message: Any) -> None:
        """Applies a message that another process sent."""
        self.apply(events.MessageReceived(message))

    def tick(self) -> None:
        """Applies the periodic `Ticked` event."""
        self.apply(events.Ticked())

    def send(self, effect: effects.Send) -> None:
        """Sends a message to another process."""
        self.link.send(effect.address, effect.message)

    def retry_after(self, effect: fx.RetryAfter) -> None:
        """Applies `RetryDue` after the delay that the effect asks for."""
        self.loop.call_later(
            effect.delay_s, self.apply, events.RetryDue(effect.request_id)
        )

    def exit(self, effect: fx.Exit) -> None:
        """Signals that the process may exit."""
        self.stopped.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a background task; logs its failure."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_done)

    def keep_running(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs a coroutine in the background, and restarts it if it fails."""
        self.spawn(restart_on_failure(work))

    def handle_task_done(self, task: "asyncio.Task[None]") -> None:
        """Removes a finished task, and logs its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("task failed", exc_info=task.exception())

    async def cancel_tasks(self) -> None:
        """Cancels all background tasks and waits for them to end."""
        await cancel_all(list(self.tasks))


async def cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    """Cancels tasks, and returns once they have ended.

    Cancels repeatedly, because an exception raised during clean-up replaces
    the cancellation, and the task may then go on or restart its coroutine.
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
    """Runs a coroutine until it returns; logs and restarts it if it fails."""
    while True:
        try:
            await work()
        except Exception:
            # Other parts rely on this work, so no failure may end it.
            LOG.exception("work failed, begun anew")
            await asyncio.sleep(RESTART_PAUSE_S)
        else:
            return
