"""Limits how many bytes an upstream may send without any body data.

The HTTP client limits the length of lines and the number of headers, but not
interim responses, blank lines before a status line, or chunk framing, which a
faulty upstream may send endlessly. A protocol between the transport and the
client therefore counts the bytes received since the last byte of the body.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
from aiohttp import connector

# Final statuses that exist; the HTTP client accepts any three digits.
FINAL_STATUSES = range(200, 600)
# Larger than one read of the event loop, which may hold both head and body.
MAX_BYTES_WITHOUT_BODY = 512 * 1024


class InnerProtocol(Protocol):
    """The callbacks of the HTTP client's protocol."""

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""

    def eof_received(self) -> bool | None:
        """Handles the end of the peer's data."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""

    def pause_writing(self) -> None:
        """Pauses writing while the send buffer is full."""

    def resume_writing(self) -> None:
        """Resumes writing once the send buffer has drained."""


class BarrenAnswerError(OSError):
    """An upstream sent too many bytes without any body data."""

    def __init__(self) -> None:
        super().__init__(
            f"received over {MAX_BYTES_WITHOUT_BODY} bytes without any body"
            " data; check the upstream"
        )


class BoundedProtocol(asyncio.Protocol):
    """Forwards received bytes, and aborts a connection without body data.

    Attributes:
        inner: The HTTP client's protocol, which receives the bytes.
        transport: The connection.
        count_body_bytes: Returns the number of body bytes received, or None
            before the body begins.
        body_bytes: The last result of `count_body_bytes`.
        bytes_without_body: Bytes received since that result changed.
        error: The error for which this protocol aborted the connection, or
            None.
    """

    def __init__(
        self,
        *,
        inner: InnerProtocol,
        transport: asyncio.Transport,
        count_body_bytes: Callable[[], int | None],
    ) -> None:
        self.inner = inner
        self.transport = transport
        self.count_body_bytes = count_body_bytes
        self.body_bytes: int | None = None
        self.bytes_without_body = 0
        self.error: BarrenAnswerError | None = None

    def data_received(self, data: bytes) -> None:
        """Forwards bytes, and counts those without body data."""
        if self.error is not None:
            return
        self.inner.data_received(data)
        body_bytes = self.count_body_bytes()
        if body_bytes != self.body_bytes:
            self.body_bytes = body_bytes
            self.bytes_without_body = 0
            return
        self.bytes_without_body += len(data)
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            self.error = BarrenAnswerError()
            self.transport.abort()

    def eof_received(self) -> bool | None:
        """Forwards the end of the peer's data."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forwards the loss of the connection, with its cause."""
        self.inner.connection_lost(exc or self.error)

    def pause_writing(self) -> None:
        """Forwards that the send buffer is full."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Forwards that the send buffer has drained."""
        self.inner.resume_writing()


class BoundedResponse(aiohttp.ClientResponse):
    """A response whose bytes without body data are limited."""

    async def start(
        self, connection: connector.Connection
    ) -> aiohttp.ClientResponse:
        """Wraps the connection's protocol, and waits for the head."""
        protocol, transport = connection.protocol, connection.transport
        if protocol is not None and transport is not None:
            transport.set_protocol(
                BoundedProtocol(
                    inner=protocol,
                    transport=transport,
                    count_body_bytes=self.count_body_bytes,
                )
            )
        return await super().start(connection)

    def count_body_bytes(self) -> int | None:
        """Returns the number of body bytes received; None before the body."""
        return self.content.total_bytes if self.content else None
