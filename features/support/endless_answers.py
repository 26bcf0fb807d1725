"""Servers whose answer never ends, as faulty upstreams send it."""

import asyncio
import contextlib

from support import raw_servers

PIECE_BYTES = 4096
# The exchange has to end long before.
MOST_BYTES = 100_000_000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what then comes again and again.
ENDLESS = {
    "a status line": (b"", b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "headers": (OK, b"A: b\r\n"),
    "one header": (OK + b"A: ", b"x"),
    "a chunk's size": (CHUNKED, b"0"),
    "an extension of chunks": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"A: b\r\n"),
    "a body": (OK + b"\r\n", b"x"),
    "an event": (OK + b"\r\ndata: ", b"x"),
    "comments": (OK + b"\r\n", b": x\n\n"),
    "empty events": (OK + b"\r\n", b"data: \n\n"),
}


class EndlessServer:
    """Sends the same bytes again and again, and counts them.

    Attributes:
        sent_bytes: Bytes sent so far.
    """

    def __init__(self, what):
        self.first, again = ENDLESS[what]
        self.piece = again * (PIECE_BYTES // len(again))
        self.sent_bytes = 0

    async def answer(self, writer):
        writer.write(self.first)
        while self.sent_bytes < MOST_BYTES:
            writer.write(self.piece)
            self.sent_bytes += len(self.piece)
            await writer.drain()


@contextlib.asynccontextmanager
async def serve(answer):
    """Serves each request with an answer; yields the port."""

    async def take(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            await answer(writer)
        writer.close()

    server = await asyncio.start_server(take, raw_servers.LOCAL, 0)
    async with server:
        yield server.sockets[0].getsockname()[1]
