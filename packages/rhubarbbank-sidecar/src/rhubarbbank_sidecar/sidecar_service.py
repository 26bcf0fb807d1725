"""Connects the sidecar's reducer with its shell and its upstream."""

from collections.abc import Callable
from collections.abc import Mapping
import time

from rhubarbbank_core import defaults
from rhubarbbank_core import options
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import program_start
from rhubarbbank_core import random_seed
from rhubarbbank_runtime import event_loop
from rhubarbbank_runtime import process_signals
from rhubarbbank_runtime import recorded_shell
from rhubarbbank_runtime import shell
from rhubarbbank_runtime import upstream_http


class SidecarService(event_loop.ProgramService):
    """One sidecar as an aiomisc service.

    Attributes:
        settings: The sidecar's settings.
    """

    def __init__(self, *, settings: options.SidecarSettings) -> None:
        super().__init__()
        self.settings = settings

    async def start(self) -> None:
        """Starts the shell; returns once `Submit` messages are accepted."""
        settings = self.settings
        start = program_start.SidecarStart(
            settings=settings,
            incarnation=time.time_ns(),
            seed=random_seed.draw_seed(settings.seed),
        )
        self.reducer = start.build_reducer()
        self.shell = shell.Shell(
            settings=settings,
            reducer=self.reducer,
            parts=recorded_shell.build_parts(settings, start),
        )
        self.upstream = upstream_http.UpstreamHttp(
            url=settings.upstream_url,
            session=self.shell.session,
            apply=self.shell.apply,
        )
        self.shell.handlers |= {
            fx.CallUpstream: self.upstream.start,
            fx.CancelUpstream: self.upstream.cancel,
            fx.OrderUpstream: self.send_order,
        }
        await self.shell.open()
        self.shell.stack.push_async_callback(self.upstream.close)
        self.shell.timers.subscribe(
            period_s=defaults.LOAD_PERIOD_S, callback=self.start_observation
        )

    def get_signal_handlers(self) -> Mapping[int, Callable[[float], None]]:
        """Returns a graceful stop as the handler of each signal."""
        return dict.fromkeys(
            process_signals.PROGRAM_SIGNALS, self.shell.request_stop
        )

    async def wait_stopped(self) -> None:
        """Waits until the graceful stop is complete."""
        await self.shell.stopped.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the shell and all its resources."""
        await self.shell.close()

    def start_observation(self) -> None:
        """Starts a task that reads the upstream's health, load and versions."""
        self.shell.spawn(self.report_observation())

    async def report_observation(self) -> None:
        """Reads the upstream's health, load and versions and applies them."""
        observed = await self.upstream.observe(self.settings.service_version)
        self.shell.apply(observed)

    def send_order(self, effect: fx.OrderUpstream) -> None:
        """Starts a task that sends an order to the engine."""
        self.shell.spawn(self.upstream.send_order(effect))
