"""The shell around a reducer: steps it and carries out its effects.

`Shell` holds what both programs need: the reducer's clock, the link to other
processes, logs and metrics. Each program adds the handlers of its own effects;
`PlatformShell` carries out what only entries do, calls to the platform.
"""

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
import signal
from typing import Any
from typing import Protocol

import aiohttp

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import event_log
from rhubarbbank_core import events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import program_start
from rhubarbbank_core import wire
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import metrics
from rhubarbbank_runtime import peer_link
from rhubarbbank_runtime import timers

LOG = logging.getLogger(__name__)
EVENT_LOG = logging.getLogger("rhubarbbank.events")


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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShellParts:
    """What a program may choose of its shell.

    Attributes:
        metrics: Where metrics go; None for statsd as the settings say.
        clock: Tells the reducer's time in seconds; None for the loop's.
        decode: Returns the messages of a frame of another process.
        tick_s: Seconds between two beats.
    """

    metrics: MetricsSink | None = None
    clock: Callable[[], float] | None = None
    decode: Callable[[bytes], list[Any]] = wire.decode_frame
    tick_s: float = defaults.TICK_S


DEFAULT_PARTS = ShellParts()


class ShellSettings(Protocol):
    """The settings that both programs have."""

    @property
    def name(self) -> str:
        """Unique among all processes."""

    @property
    def peer_address(self) -> str:
        """Where other processes reach this one."""

    @property
    def statsd_address(self) -> str:
        """Where metrics go."""

    @property
    def record_events(self) -> bool:
        """Whether every event is written to the log."""


class Shell:
    """Carries out the effects that both programs have.

    Attributes:
        settings: The process's settings.
        start: What the reducer was built of; None if events can't be
            recorded.
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
        start: program_start.AnyStart | None,
        reducer: Reducer,
        parts: ShellParts = DEFAULT_PARTS,
    ) -> None:
        self.settings = settings
        self.parts = parts
        self.start = start
        self.reducer = reducer
        self.loop = asyncio.get_running_loop()
        self.stack = contextlib.AsyncExitStack()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=0),
            middlewares=(http_once.send_once,),
        )
        self.clock = parts.clock or self.loop.time
        self.metrics = parts.metrics or metrics.Metrics(
            address=settings.statsd_address
        )
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
        if self.settings.record_events and self.start is not None:
            record(self.start)
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
        self.timers.subscribe(period_s=self.parts.tick_s, call=self.tick)

    async def close(self) -> None:
        """Closes everything, in reverse order."""
        await self.stack.aclose()

    def apply(self, event: Any) -> None:
        """Steps the reducer and carries out its effects."""
        now = self.clock()
        recording = self.settings.record_events
        if recording:
            # Before the step, so that an event that it fails on is kept.
            record(event_log.RecordedEvent(now, event))
        found = self.reducer.step(now=now, event=event)
        if recording:
            # Before the handlers, which may apply events of their own.
            record(event_log.digest(list(found)))
        handlers = self.handlers
        for effect in found:
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
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: "asyncio.Task[None]") -> None:
        """Forgets a task, and logs its failure."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error("task failed", exc_info=task.exception())

    async def cancel_tasks(self) -> None:
        """Breaks off all work under way."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def record(entry: event_log.AnyRecord) -> None:
    """Writes one record to the log, in the form that can be replayed."""
    text = base64.b64encode(event_log.encode(entry)).decode()
    EVENT_LOG.info("%s", text)
