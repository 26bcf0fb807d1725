"""A TCP relay whose open connections can go silent, while new ones work.

A silent connection isn't closed, but nothing is read from it any more, so that
bytes that its sender writes are no longer acknowledged.
"""

import asyncio
import socket

# Small, so that a silent connection soon stops acknowledging.
RECEIVE_BUFFER_BYTES = 4_096
CHUNK_BYTES = 65_536


class SilentRelay:
    """Relays connections to a target port.

    Attributes:
        target: Port that connections are relayed to.
        server: The listening server; None before the start.
        open: Whether each connection still delivers, oldest first.
        writers: Writers of all connections.
    """

    def __init__(self, target):
        self.target = target
        self.server = None
        self.open = []
        self.writers = []

    async def start(self):
        """Starts to listen; returns the port."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.server = await asyncio.start_server(
            self.handle, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        return listener.getsockname()[1]

    def silence(self):
        """Makes all open connections silent."""
        self.open = [False] * len(self.open)

    async def handle(self, reader, writer):
        """Relays one connection."""
        number = len(self.open)
        self.open.append(True)
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target
        )
        self.writers += (writer, target_writer)
        await asyncio.gather(
            self.pump(number, reader, target_writer),
            self.pump(number, target_reader, writer),
        )

    async def stop(self):
        """Closes all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def pump(self, number, reader, writer):
        """Relays one direction until its end, or until it goes silent."""
        while data := await reader.read(CHUNK_BYTES):
            if not self.open[number]:
                return
            writer.write(data)
            await writer.drain()
