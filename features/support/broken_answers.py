"""An HTTP server that breaks off or garbles its answers."""

import asyncio
import contextlib
import dataclasses
import socket
import struct

from support import raw_servers

# A linger time of 0 makes a close send a reset.
RESET_LINGER = struct.pack("ii", 1, 0)
PART = b"part"


@dataclasses.dataclass(kw_only=True)
class BrokenServer:
    """Answers one request.

    Attributes:
        status: The status line's code and reason.
        read_bytes: How much of the body is read before the answer.
        wait_s: Time between the answer and the end of the connection.
        resets: Whether the connection is reset in place of a clean close.
        has_length: Whether the answer has a length, and is whole.
        fields: Further header fields, each with its line break.
    """

    status: str = "200 OK"
    read_bytes: int = 0
    wait_s: float = 0.0
    resets: bool = True
    has_length: bool = False
    fields: str = ""

    @contextlib.asynccontextmanager
    async def serve(self):
        server = await asyncio.start_server(
            self.answer, raw_servers.LOCALHOST, 0, limit=1024
        )
        async with server:
            yield server.sockets[0].getsockname()[1]

    async def answer(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            if self.read_bytes:
                await reader.read(self.read_bytes)
            framing = "Connection: close"
            if self.has_length:
                framing = f"Content-Length: {len(PART)}"
            head = (
                f"HTTP/1.1 {self.status}\r\nX-Attempt-Id: a1\r\n"
                f"X-Response-Stamp: s\r\n{self.fields}{framing}\r\n\r\n"
            )
            writer.write(head.encode() + PART)
            await writer.drain()
            await asyncio.sleep(self.wait_s)
        if self.resets:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
            )
            writer.transport.abort()
        writer.close()
