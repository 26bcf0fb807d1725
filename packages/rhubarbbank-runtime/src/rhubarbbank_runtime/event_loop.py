"""Runs a program's service on the uvloop event loop.

Importing this module disables io_uring in libuv, which must happen before the
first loop is created; see docs/design/house_style.md.
"""

from collections.abc import Callable
from collections.abc import Mapping
import os

os.environ["UV_USE_IO_URING"] = "0"

import aiomisc

from rhubarbbank_runtime import process_signals


class ProgramService(aiomisc.Service):
    """Base class of the service that each program runs."""

    async def wait_stopped(self) -> None:
        """Waits until the service has stopped."""
        raise NotImplementedError

    def get_signal_handlers(self) -> Mapping[int, Callable[[float], None]]:
        """Returns handlers by signal number, once the service has started.

        Each is called with the seconds since its signal arrived.
        """
        raise NotImplementedError


def run(
    service: ProgramService, *, signals: process_signals.ProcessSignals
) -> None:
    """Runs a service on uvloop until its `wait_stopped` returns.

    The service handles the signals itself, because a graceful stop lets open
    requests finish. They are delivered once all of its parts have started, and
    ignored once it has stopped.
    """
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=(), pool_size=1
    ) as loop:
        signals.deliver_to(loop, service.get_signal_handlers())
        try:
            loop.run_until_complete(service.wait_stopped())
        finally:
            signals.stop_delivery()
            signals.ignore()
