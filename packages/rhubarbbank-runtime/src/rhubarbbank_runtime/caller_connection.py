"""Callers' connections: closes those that send a head, or rest, for too long.

aiohttp bounds how long a connection rests by one time for the server's whole
life, and bounds neither a head that comes slowly nor the wait for the first
one. Here a connection that serves no request has one timer, which follows the
bounds in force when it is set: the time for a head once its first byte has
come, the time of rest before that.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any

from aiohttp import web


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitBounds:
    """How long a caller may take, in seconds.

    Attributes:
        head_s: From a head's first byte to its last.
        idle_s: Between two requests of a connection.
    """

    head_s: float
    idle_s: float


class BoundedConnection(web.RequestHandler):
    """A caller's connection.

    Attributes:
        bounds: Returns the bounds in force.
        serving: Whether a request of it is being served.
        head_begun: Whether bytes of the next head have come.
        timer: Closes the connection; None while a request is served.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        bounds: Callable[[], WaitBounds],
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self.bounds = bounds
        self.loop = loop
        self.serving = False
        self.head_begun = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to wait for the first request."""
        super().connection_made(transport)
        self.rest()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops waiting."""
        self.stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; those of a new head have to end in time."""
        if not self.serving and not self.head_begun:
            self.head_begun = True
            self.start_timer(self.bounds().head_s)
        super().data_received(data)

    @property
    def resting(self) -> bool:
        """Whether no request of it is served or has begun to come."""
        return not self.serving and not self.head_begun

    def begin(self) -> None:
        """Notes that a request is served from now on."""
        self.serving = True
        self.stop_timer()

    def rest(self) -> None:
        """Notes that the next request is waited for from now on."""
        self.serving = False
        self.head_begun = False
        self.start_timer(self.bounds().idle_s)

    def start_timer(self, wait_s: float) -> None:
        """Closes the connection after a time, unless a request begins."""
        self.stop_timer()
        self.timer = self.loop.call_later(wait_s, self.force_close)

    def stop_timer(self) -> None:
        """Lets the connection go on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class BoundedServer(web.Server):
    """A server whose connections are bounded.

    Attributes:
        bounds: Returns the bounds in force.
        options: For each connection, as aiohttp names them.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        *,
        bounds: Callable[[], WaitBounds],
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.bounds = bounds
        self.options = options

    def __call__(self) -> BoundedConnection:
        """Returns the protocol of a new connection."""
        return BoundedConnection(
            self,
            bounds=self.bounds,
            loop=asyncio.get_running_loop(),
            **self.options,
        )

    def close_resting(self) -> None:
        """Closes the connections on which no request is under way."""
        for connection in self.connections:
            assert isinstance(connection, BoundedConnection)
            if connection.resting:
                connection.force_close()


@contextlib.contextmanager
def serve(request: web.BaseRequest) -> Iterator[None]:
    """Keeps a request's connection open until the block ends."""
    connection = request.protocol
    assert isinstance(connection, BoundedConnection)
    connection.begin()
    try:
        yield
    finally:
        # One that was closed meanwhile must not get a timer any more.
        if connection.transport is not None:
            connection.rest()
