"""An HTTP server whose response arrives part by part."""

import asyncio
import contextlib

from support import raw_servers

PART_PERIOD_S = 0.1


class SlowLink:
    """Serves one body to each caller, in equal parts.

    Attributes:
        body: The body.
        duration_s: How long its transfer takes, in seconds.
        stops_after: The number of parts after which nothing more arrives; None
            to send all.
        requests: The number of requests received.
        address: The server's address while it runs.
    """

    def __init__(self, *, body, duration_s, stops_after=None):
        self.body = body
        self.duration_s = duration_s
        self.stops_after = stops_after
        self.requests = 0
        self.address = ""

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(
            self.answer, raw_servers.LOCALHOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{raw_servers.LOCALHOST}:{port}"
        try:
            yield self
        finally:
            server.close()

    async def answer(self, reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.CancelledError),
        ):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            head = (
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n"
            )
            writer.write(head.encode())
            await self.send_parts(writer)
            await reader.read()

    async def send_parts(self, writer):
        count = round(self.duration_s / PART_PERIOD_S)
        size = -(-len(self.body) // count)
        for number in range(count):
            if number == self.stops_after:
                return
            await asyncio.sleep(PART_PERIOD_S)
            writer.write(self.body[number * size : (number + 1) * size])
            await writer.drain()
