"""Reads the socket error of an exchange, and prevents double closes.

A response without a length ends when its connection is closed, and is
complete only if that was a clean close. The event loop reports a reset that
arrives together with the last bytes as a normal end of file, and has closed
the socket before its error can be read. Each exchange therefore keeps a
duplicate of the socket's descriptor until it ends.

If an exchange is cancelled just as its connection is established, the event
loop closes the socket's descriptor while the socket object still owns it. The
object would close that descriptor again when it is garbage collected, and by
then the number may belong to a caller's connection. Each exchange therefore
detaches the descriptor from the object when it ends.
"""

from collections.abc import AsyncIterator
import contextlib
import contextvars
import socket
from typing import Any

import aiohttp


class ExchangeSocket:
    """The socket of one exchange.

    Attributes:
        duplicate: Duplicate of the socket; None before the socket is opened.
        stack: Closes the duplicate, and detaches the socket's descriptor,
            when the exchange ends.
    """

    def __init__(self, *, stack: contextlib.ExitStack) -> None:
        self.duplicate: socket.socket | None = None
        self.stack = stack

    def track(self, new_socket: socket.socket) -> None:
        """Duplicates a socket, and detaches its descriptor when the stack ends.

        Detaching leaks nothing: the event loop owns the descriptor once the
        connection is established, and a socket that failed to connect has
        been closed by then.
        """
        self.duplicate = self.stack.enter_context(new_socket.dup())
        self.stack.callback(new_socket.detach)

    def read_error(self) -> int:
        """Returns the `SO_ERROR` of the socket; 0 for none."""
        if self.duplicate is None:
            return 0
        return self.duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


CURRENT_EXCHANGE: contextvars.ContextVar[ExchangeSocket] = (
    contextvars.ContextVar("exchange_socket")
)


@contextlib.asynccontextmanager
async def track_socket() -> AsyncIterator[ExchangeSocket]:
    """Tracks the socket that this task opens during the block."""
    with contextlib.ExitStack() as stack:
        exchange = ExchangeSocket(stack=stack)
        token = CURRENT_EXCHANGE.set(exchange)
        stack.callback(CURRENT_EXCHANGE.reset, token)
        yield exchange


async def prevent_double_close(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevents a double close of the socket that a request opens.

    A client middleware for requests whose sender doesn't track the socket.
    """
    if CURRENT_EXCHANGE.get(None) is not None:
        return await handler(request)
    async with track_socket():
        return await handler(request)


def open_socket(address: Any) -> socket.socket:
    """Opens a socket for an address; a `socket_factory` of aiohttp."""
    family, kind, protocol, _, _ = address
    new_socket = socket.socket(family, kind, protocol)
    exchange = CURRENT_EXCHANGE.get(None)
    if exchange is not None:
        exchange.track(new_socket)
    return new_socket
