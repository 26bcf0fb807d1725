"""Runs a program's service on the uvloop event loop.

Importing this module disables io_uring in libuv, which must happen before the
first loop is created; see docs/design/house_style.md.
"""

import os

os.environ["UV_USE_IO_URING"] = "0"

import aiomisc


class ProgramService(aiomisc.Service):
    """Base class of the service that each program runs."""

    async def wait_stopped(self) -> None:
        """Waits until the service has stopped."""
        raise NotImplementedError


def run(service: ProgramService) -> None:
    """Runs a service on uvloop until its `wait_stopped` returns.

    The service handles SIGTERM and SIGINT itself, because a graceful stop lets
    open requests finish.
    """
    with aiomisc.entrypoint(
        service, log_config=False, catch_signals=(), pool_size=1
    ) as loop:
        loop.run_until_complete(service.wait_stopped())
