"""Enforces header and idle timeouts on callers' connections.

aiohttp has one keep-alive timeout, which is fixed when the server starts, and
no timeout for slowly sent headers or for the first request of a connection.
Here each connection without an active request has one timer: the header
timeout once the first byte of a head has arrived, the idle timeout before
that. Each time the timer is set, it uses the timeouts configured at that time.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any

from aiohttp import web


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionTimeouts:
    """The timeouts of a caller's connection, in seconds.

    Attributes:
        header_s: From the first byte of a request's head to its last.
        idle_s: From the opening of the connection, or the end of a request,
            to the first byte of the next request.
    """

    header_s: float
    idle_s: float


class CallerConnection(web.RequestHandler):
    """A caller's connection with header and idle timeouts.

    Attributes:
        get_timeouts: Returns the timeouts that are configured now.
        is_serving: Whether a request is being served.
        head_started: Whether bytes of the next request's head have arrived.
        timer: Closes the connection; None while a request is served.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        get_timeouts: Callable[[], ConnectionTimeouts],
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self.get_timeouts = get_timeouts
        self.loop = loop
        self.is_serving = False
        self.head_started = False
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self.start_idle()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timer."""
        self.stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handles bytes; the first ones of a head start the header timeout."""
        if not self.is_serving and not self.head_started:
            self.head_started = True
            self.start_timer(self.get_timeouts().header_s)
        super().data_received(data)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or received."""
        return not self.is_serving and not self.head_started

    def start_request(self) -> None:
        """Stops the timer while a request is served."""
        self.is_serving = True
        self.stop_timer()

    def start_idle(self) -> None:
        """Starts the idle timeout for the next request."""
        self.is_serving = False
        self.head_started = False
        self.start_timer(self.get_timeouts().idle_s)

    def start_timer(self, timeout_s: float) -> None:
        """Closes the connection after a time unless the timer is stopped."""
        self.stop_timer()
        self.timer = self.loop.call_later(timeout_s, self.force_close)

    def stop_timer(self) -> None:
        """Cancels the timer, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class CallerServer(web.Server):
    """A server whose connections have header and idle timeouts.

    Attributes:
        get_timeouts: Returns the timeouts that are configured now.
        options: Keyword arguments for each `web.RequestHandler`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        *,
        get_timeouts: Callable[[], ConnectionTimeouts],
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.get_timeouts = get_timeouts
        self.options = options

    def __call__(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        return CallerConnection(
            self,
            get_timeouts=self.get_timeouts,
            loop=asyncio.get_running_loop(),
            **self.options,
        )

    def list_callers(self) -> list[CallerConnection]:
        """Returns the open connections."""
        return [x for x in self.connections if isinstance(x, CallerConnection)]

    def count_busy(self) -> int:
        """Returns the number of connections with a request in progress."""
        return sum(not x.is_idle for x in self.list_callers())

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in self.list_callers():
            if connection.is_idle:
                connection.force_close()


@contextlib.contextmanager
def suspend_timeouts(request: web.BaseRequest) -> Iterator[None]:
    """Suspends the timeouts of a request's connection during the block."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    connection.start_request()
    try:
        yield
    finally:
        # A connection that has been closed meanwhile needs no timer.
        if connection.transport is not None:
            connection.start_idle()
