"""Servers that simulate faulty upstreams whose answers never end."""

import asyncio
import contextlib

from support import raw_servers

CHUNK_BYTES = 4096
# Stops a server whose client fails to abort the exchange.
MAX_SENT_BYTES = 100_000_000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# By name, the bytes that are sent once, and those that are then repeated.
ENDLESS_ANSWERS = {
    "a status line": (b"", b"x"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "headers": (OK, b"A: b\r\n"),
    "one header": (OK + b"A: ", b"x"),
    "a chunk size": (CHUNKED, b"0"),
    "a chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"A: b\r\n"),
    "a body": (OK + b"\r\n", b"x"),
    "an event": (OK + b"\r\ndata: ", b"x"),
    "comments": (OK + b"\r\n", b": x\n\n"),
    "empty events": (OK + b"\r\n", b"data: \n\n"),
}


class EndlessServer:
    """Sends the same bytes repeatedly, and counts them.

    Attributes:
        first: Bytes sent once at the start.
        repeated: Bytes sent repeatedly afterwards.
        sent_bytes: Number of repeated bytes sent so far.
    """

    def __init__(self, name):
        self.first, unit = ENDLESS_ANSWERS[name]
        self.repeated = unit * (CHUNK_BYTES // len(unit))
        self.sent_bytes = 0

    async def answer(self, writer):
        writer.write(self.first)
        while self.sent_bytes < MAX_SENT_BYTES:
            writer.write(self.repeated)
            self.sent_bytes += len(self.repeated)
            await writer.drain()


@contextlib.asynccontextmanager
async def serve(answer):
    """Runs a server that handles requests with `answer`; yields its port."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            await answer(writer)
        writer.close()

    server = await asyncio.start_server(handle, raw_servers.LOCALHOST, 0)
    async with server:
        yield server.sockets[0].getsockname()[1]
