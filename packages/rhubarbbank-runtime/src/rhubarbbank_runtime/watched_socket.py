"""Sockets of exchanges: how they ended, and who closes them.

An answer without a length ends with its connection, and is whole only if
that was closed in good order. The event loop reports a reset that comes
together with the last bytes as an ordinary end, and has closed the socket by
the time that anyone can ask it. So each exchange keeps a second descriptor
of its socket until it is over.

The event loop also closes the socket's descriptor if an exchange is cancelled
at the moment at which its connection is made, while the socket object still
believes that it owns it. That object would close the number once more when
it is collected, and by then the number may be a caller's connection. So each
exchange takes the descriptor away from the object when it ends.
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
        second: A second descriptor of it; None before it is opened.
        stack: Gives both up when the exchange ends.
    """

    def __init__(self, *, stack: contextlib.ExitStack) -> None:
        self.second: socket.socket | None = None
        self.stack = stack

    def watch(self, opened: socket.socket) -> None:
        """Keeps a second descriptor, and who owns the first, until the end.

        The event loop owns the first once the connection is made; a socket
        that didn't get so far has been closed by then.
        """
        self.second = self.stack.enter_context(opened.dup())
        self.stack.callback(opened.detach)

    def read_error(self) -> int:
        """Returns the error that ended the connection; 0 for none."""
        if self.second is None:
            return 0
        return self.second.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


CURRENT: contextvars.ContextVar[ExchangeSocket] = contextvars.ContextVar(
    "exchange_socket"
)


def begin(stack: contextlib.ExitStack) -> ExchangeSocket:
    """Returns the record of the socket that this task opens next."""
    record = ExchangeSocket(stack=stack)
    CURRENT.set(record)
    return record


@contextlib.asynccontextmanager
async def watch_exchange() -> AsyncIterator[ExchangeSocket]:
    """Watches the socket that this task opens for one exchange."""
    with contextlib.ExitStack() as stack:
        yield begin(stack)


async def own_descriptor(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keeps the descriptor that a request opens from being closed twice.

    For sessions whose exchanges need not know how their connection ended.
    """
    async with watch_exchange():
        return await handler(request)


def open_socket(address: Any) -> socket.socket:
    """Returns a socket for an address, for the HTTP client's connector."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    record = CURRENT.get(None)
    if record is not None:
        record.watch(opened)
    return opened
