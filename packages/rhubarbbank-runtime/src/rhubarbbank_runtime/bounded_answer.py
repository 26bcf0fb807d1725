"""Bounds what an upstream may send that brings its answer no further.

The HTTP client bounds lines and the number of headers, but not interim
answers, blank lines before an answer, or the framing of chunks: a faulty
upstream may send these without end. So a protocol between connection and
client counts bytes since the last byte of a body.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
from aiohttp import connector

# More than one read of the event loop, in which head and body come together.
MAX_BARREN_BYTES = 512 * 1024


class InnerProtocol(Protocol):
    """What the HTTP client's protocol takes from its connection."""

    def data_received(self, data: bytes) -> None:
        """Takes bytes."""

    def eof_received(self) -> bool | None:
        """Takes the end of the other side's bytes."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""

    def pause_writing(self) -> None:
        """Stops writing for a time."""

    def resume_writing(self) -> None:
        """Goes on writing."""


class BarrenAnswerError(OSError):
    """An upstream sent too much that is no answer."""

    def __init__(self) -> None:
        super().__init__(
            f"over {MAX_BARREN_BYTES} bytes came without a byte of a body;"
            " look at the upstream"
        )


class BoundedAnswer(asyncio.Protocol):
    """Hands a connection's bytes on, and ends it if they lead nowhere.

    Attributes:
        inner: Takes the bytes.
        transport: The connection.
        count_body: Returns how many bytes of the body have come, or None
            before there is one.
        body_bytes: What it returned last.
        barren_bytes: Bytes that have come since that changed.
        error: Why the connection was ended here; None if it wasn't.
    """

    def __init__(
        self,
        *,
        inner: InnerProtocol,
        transport: asyncio.Transport,
        count_body: Callable[[], int | None],
    ) -> None:
        self.inner = inner
        self.transport = transport
        self.count_body = count_body
        self.body_bytes: int | None = None
        self.barren_bytes = 0
        self.error: BarrenAnswerError | None = None

    def data_received(self, data: bytes) -> None:
        """Hands bytes on, and counts those that bring no body."""
        if self.error is not None:
            return
        self.inner.data_received(data)
        body_bytes = self.count_body()
        if body_bytes != self.body_bytes:
            self.body_bytes = body_bytes
            self.barren_bytes = 0
            return
        self.barren_bytes += len(data)
        if self.barren_bytes > MAX_BARREN_BYTES:
            self.error = BarrenAnswerError()
            self.transport.abort()

    def eof_received(self) -> bool | None:
        """Hands the end of the bytes on."""
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hands the end of the connection on, with its reason."""
        self.inner.connection_lost(exc or self.error)

    def pause_writing(self) -> None:
        """Hands on that the connection takes no more for now."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Hands on that the connection takes more."""
        self.inner.resume_writing()


class BoundedResponse(aiohttp.ClientResponse):
    """An answer whose connection ends if its bytes lead nowhere."""

    async def start(
        self, connection: connector.Connection
    ) -> aiohttp.ClientResponse:
        """Waits for the head."""
        protocol, transport = connection.protocol, connection.transport
        if protocol is not None and transport is not None:
            transport.set_protocol(
                BoundedAnswer(
                    inner=protocol,
                    transport=transport,
                    count_body=self.count_body,
                )
            )
        return await super().start(connection)

    def count_body(self) -> int | None:
        """Returns how many bytes of the body have come; None before it."""
        return self.content.total_bytes if self.content else None
