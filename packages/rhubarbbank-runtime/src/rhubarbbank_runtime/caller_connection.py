"""Enforces timeouts and limits on callers' connections.

aiohttp has one keep-alive timeout, which is fixed when the server starts, and
no timeout for slowly sent headers or for the first request of a connection.
Here each connection without an active request has one timer: the header
timeout once the first byte of a head has arrived, the idle timeout before
that. Each time the timer is set, it uses the timeouts configured at that time.

aiohttp also bounds no connection's share of the process's memory. Here an
account of all connections chooses which are closed when they hold too much.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import sys
from typing import Any

import aiohttp
from aiohttp import web

from rhubarbbank_runtime import held_bytes

# What the kernel buffers for a connection; it also bounds what arrives at once.
RECEIVE_BUFFER_BYTES = 65_536
# Also bounds how many small chunks are parsed before others get a turn.
READ_BUFFER_BYTES = 4_096
# How long the rest of a refused body is read, so that its caller reads why.
LINGERING_S = 1.0
# Heads larger than this many times the configured size are refused.
HEAD_TOLERANCE = 2
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
GAVE_WAY = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionTimeouts:
    """The timeouts of a caller's connection, in seconds.

    Attributes:
        header_s: From the first byte of a request's head to its last.
        idle_s: From the opening of the connection, or the end of a request,
            to the first byte of the next request.
        max_head_bytes: Configured size of a request's head, in bytes.
    """

    header_s: float
    idle_s: float
    max_head_bytes: int = 16_384


UNLIMITED = held_bytes.HoldingLimits(
    max_bytes=sys.maxsize, max_connections=sys.maxsize
)


class CallerConnection(web.RequestHandler):
    """A caller's connection with header and idle timeouts.

    Attributes:
        get_timeouts: Returns the timeouts that are configured now.
        is_serving: Whether a request is being served.
        head_started: Whether bytes of the next request's head have arrived.
        timer: Closes the connection; None while a request is served.
        server: The server, whose account has this connection.
        holder: What the connection holds; None before it is opened.
        head_bytes: Bytes received of the next request's head.
        payload: The body of the last request whose head has arrived.
        is_received: Whether the request that is being served has arrived.
        is_refused: Whether a request was refused before it had arrived.
        is_broken: Whether the input can't be parsed any further.
        early_input: Bytes that arrived while a complete request is served.
    """

    def __init__(
        self,
        manager: "CallerServer",
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
        self.server = manager
        self.holder: held_bytes.Holder | None = None
        self.head_bytes = 0
        self.payload: aiohttp.StreamReader = aiohttp.streams.EMPTY_PAYLOAD
        self.is_received = False
        self.is_refused = False
        self.is_broken = False
        self.early_input = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self.start_idle()
        self.server.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timer."""
        self.stop_timer()
        self.server.remove(self)
        self.early_input = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handles bytes; the first ones of a head start the header timeout."""
        if not data:
            # aiohttp parses on what it has buffered.
            super().data_received(data)
            return
        if self.is_broken:
            return
        if not self.is_refused:
            self.hold(self.request_bytes + len(data))
        if self.transport is None:
            return
        if self.is_received:
            # The next request waits, and so does its sender. Reading goes on
            # for a while, since only then the loss of the connection shows.
            self.early_input += data
            if len(self.early_input) >= READ_BUFFER_BYTES:
                self._pause_transport_reading()
            return
        if not self.is_serving and not self.head_started:
            self.head_started = True
            self.start_timer(self.get_timeouts().header_s)
        self.parse(data)

    def parse(self, data: bytes) -> None:
        """Parses bytes, and checks the size of a head without an end."""
        is_complete = not self.payload.is_eof()
        super().data_received(data)
        if self._messages:
            _, self.payload = self._messages[-1]
            is_complete = True
        if is_complete or self.is_serving or self.is_refused:
            self.head_bytes = 0
        else:
            self.check_head(len(data))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the last response, after which no input is read."""
        # aiohttp would keep an error for each further piece of input.
        self.is_broken = True
        return super().handle_error(request, status, exc, message)

    def check_head(self, new_bytes: int) -> None:
        """Closes the connection if an incomplete head has become too large."""
        self.head_bytes += new_bytes
        most = HEAD_TOLERANCE * self.get_timeouts().max_head_bytes
        if self.head_bytes > most and self.transport is not None:
            self.transport.write(HEAD_TOO_LARGE)
            self.server.count_closed("head_too_large")
            self.expire()

    @property
    def request_bytes(self) -> int:
        """What the connection holds besides its fixed cost, in bytes."""
        if self.holder is None:
            return 0
        return self.holder.held_bytes - held_bytes.CONNECTION_BYTES

    def hold(self, size: int) -> None:
        """Records what the connection holds; others may have to give way."""
        if self.holder is not None:
            self.server.account.resize(self.holder, size)
            self.server.reduce()

    def move(self, stage: held_bytes.Stage) -> None:
        """Records what the connection waits for."""
        if self.holder is not None:
            now = self.loop.time()
            self.server.account.move(self.holder, stage, now=now)

    def start_running(self) -> bool:
        """Records that the request is complete; returns whether it may run.

        From now on the connection isn't closed to make room for others.

        Raises:
            ConnectionResetError: It has been closed; its caller may have been
                told that the request won't run.
        """
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError
        self.is_received = True
        if self.holder is not None:
            if not self.server.account.may_run(self.holder):
                return False
            self.move(held_bytes.Stage.RUNNING)
        return True

    def give_way(self) -> None:
        """Closes the connection to make room for others."""
        transport = self.transport
        if transport is None:
            return
        is_answered = self.is_received or self.is_refused or self.is_broken
        if (
            self.is_serving
            and not is_answered
            and not transport.get_write_buffer_size()
        ):
            transport.write(GAVE_WAY)
        self.expire()

    def expire(self) -> None:
        """Closes the connection, also if its caller reads nothing."""
        if self.transport is not None:
            if self.transport.get_write_buffer_size():
                self.transport.abort()
            self.force_close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served or received."""
        return not (self.is_serving or self.head_started or self._messages)

    def start_request(self) -> None:
        """Stops the timer while a request is served."""
        self.is_serving = True
        self.stop_timer()

    def start_idle(self) -> None:
        """Starts the idle timeout for the next request."""
        self.is_serving = False
        self.head_started = False
        self.start_timer(self.get_timeouts().idle_s)
        self.move(held_bytes.Stage.RECEIVING)
        if not self._messages:
            self.hold(len(self.early_input))
        if self.is_received:
            self.is_received = False
            self.resume_input()

    def resume_input(self) -> None:
        """Handles what arrived while the last request was served."""
        data, self.early_input = self.early_input, b""
        if not data:
            return
        self.head_started = True
        self.start_timer(self.get_timeouts().header_s)
        self.parse(data)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def start_timer(self, timeout_s: float) -> None:
        """Closes the connection after a time unless the timer is stopped."""
        self.stop_timer()
        self.timer = self.loop.call_later(timeout_s, self.expire)

    def stop_timer(self) -> None:
        """Cancels the timer, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class CallerServer(web.Server):
    """A server whose connections have header and idle timeouts.

    Attributes:
        get_timeouts: Returns the timeouts that are configured now.
        account: What all connections hold.
        report_closed: Is told the reason for each connection that is closed
            because of a limit, and its holder.
        options: Keyword arguments for each `web.RequestHandler`.
        open_connections: All connections, by their holder's number.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        *,
        get_timeouts: Callable[[], ConnectionTimeouts],
        limits: held_bytes.HoldingLimits = UNLIMITED,
        report_closed: Callable[[str, held_bytes.Holder | None], None]
        | None = None,
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.get_timeouts = get_timeouts
        self.account = held_bytes.HeldBytes(limits=limits)
        self.report_closed = report_closed
        self.options = options
        self.open_connections: dict[int, CallerConnection] = {}

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

    def add(self, connection: CallerConnection) -> None:
        """Adds a connection to the account."""
        holder = self.account.open(now=connection.loop.time())
        connection.holder = holder
        self.open_connections[holder.number] = connection
        self.reduce()

    def remove(self, connection: CallerConnection) -> None:
        """Removes a connection from the account."""
        if connection.holder is not None:
            self.account.close(connection.holder)
            self.open_connections.pop(connection.holder.number, None)

    def reduce(self) -> None:
        """Closes the connections that have to give way."""
        now = asyncio.get_running_loop().time()
        for holder in self.account.choose_leaving(now=now):
            connection = self.open_connections[holder.number]
            self.remove(connection)
            self.count_closed(f"gave_way_{holder.stage.name.lower()}", holder)
            connection.give_way()

    def count_closed(
        self, reason: str, holder: held_bytes.Holder | None = None
    ) -> None:
        """Reports that a connection is closed because of a limit."""
        if self.report_closed is not None:
            self.report_closed(reason, holder)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in self.list_callers():
            if connection.is_idle:
                connection.force_close()


def limit_buffers(listening_socket: socket.socket) -> None:
    """Limits the receive buffers of the connections that it will accept."""
    with contextlib.suppress(OSError):
        listening_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )


async def send_whole(
    request: web.BaseRequest, response: web.StreamResponse
) -> web.StreamResponse:
    """Sends the rest of a response; a caller that doesn't read may be cut."""
    find_connection(request).move(held_bytes.Stage.ANSWERING)
    await response.prepare(request)
    await response.write_eof()
    return response


def find_connection(request: web.BaseRequest) -> CallerConnection:
    """Returns the connection of a request."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection


@contextlib.contextmanager
def suspend_timeouts(request: web.BaseRequest) -> Iterator[None]:
    """Suspends the timeouts of a request's connection during the block."""
    connection = find_connection(request)
    connection.start_request()
    try:
        yield
    finally:
        # A connection that has been closed meanwhile needs no timer.
        if connection.transport is not None:
            connection.start_idle()
