"""Responses without a length, which end when their connection is closed.

Only a clean close shows that such a response is complete. aiohttp also ends it
when the connection is reset.
"""

import asyncio
import os

import aiohttp
from aiohttp import connector

from rhubarbbank_runtime import bounded_answer
from rhubarbbank_runtime import exchange_socket


class CloseTrackingResponse(bounded_answer.BoundedResponse):
    """A response that records how its connection was closed.

    Attributes:
        connection_closed: Completes when the connection is closed, with the
            error that the event loop saw, if any. None if the connection was
            closed before the response started.
    """

    connection_closed: asyncio.Future[None] | None = None

    async def start(
        self, connection: connector.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head, and starts to watch for a connection reset."""
        if connection.protocol is not None:
            self.connection_closed = connection.protocol.closed
        if self.connection_closed is not None:
            # Most responses never read this future; the callback prevents
            # asyncio's warning about an exception that was never retrieved.
            self.connection_closed.add_done_callback(retrieve_exception)
        return await super().start(connection)

    async def wait_clean_close(self) -> None:
        """Waits until the upstream has closed the connection.

        Raises:
            aiohttp.ClientConnectionError: The connection was reset.
        """
        if self.connection_closed is None:
            raise aiohttp.ClientConnectionError("closed before the answer")
        await self.connection_closed


def retrieve_exception(closed: asyncio.Future[None]) -> None:
    """Marks the exception as retrieved, so that asyncio doesn't log it."""
    if not closed.cancelled():
        closed.exception()


def is_ended_by_close(response: aiohttp.ClientResponse) -> bool:
    """Returns whether only the close of the connection ends the body."""
    fields = response.headers
    return "Content-Length" not in fields and "Transfer-Encoding" not in fields


async def check_clean_close(
    response: aiohttp.ClientResponse,
    tracked_socket: exchange_socket.ExchangeSocket,
) -> None:
    """Waits for the close of a connection that ends a response.

    Raises:
        aiohttp.ClientConnectionError: The connection was reset.
        OSError: It was reset together with the last bytes.
    """
    assert isinstance(response, CloseTrackingResponse)
    await response.wait_clean_close()
    error = tracked_socket.read_error()
    if error:
        raise OSError(error, os.strerror(error))
