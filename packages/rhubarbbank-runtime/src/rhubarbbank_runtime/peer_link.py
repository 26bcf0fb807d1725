"""Carries messages between the system's own processes over ZeroMQ.

Each process binds one ROUTER socket for all that comes in and opens one
DEALER socket to each process that it sends to; answers go to the address
that the message names. All messages for one address that are sent within one
turn of the event loop go out as one frame. A message may be lost, so that
whoever needs an answer asks again.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
from typing import Any

import msgspec
import zmq

from rhubarbbank_core import effects

LOG = logging.getLogger(__name__)
HIGH_WATER_FRAMES = 10_000
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000
MAX_FRAME_BYTES = 8_000_000
MAX_FRAMES_PER_CALL = 64
ENCODER = msgspec.msgpack.Encoder()


class PeerLink:
    """This process's end of the links to the others.

    Attributes:
        address: Where this process listens, "ip:port".
        loop: The event loop.
        deliver: Called with each message that comes in.
        decode: Returns the messages of a frame.
        pending: Messages to send at the end of this turn, by address.
        senders: Open DEALER sockets, by address.
    """

    def __init__(
        self,
        *,
        address: str,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[Any], None],
        decode: Callable[[bytes], list[Any]],
    ) -> None:
        self.address = address
        self.loop = loop
        self.deliver = deliver
        self.decode = decode
        self.pending: dict[str, list[effects.Message]] = {}
        self.senders: dict[str, zmq.Socket[bytes]] = {}
        self.stack = contextlib.ExitStack()
        self.context = self.stack.enter_context(zmq.Context())
        self.receiver = self.stack.enter_context(
            self.context.socket(zmq.ROUTER)
        )

    def open(self) -> None:
        """Starts listening.

        Raises:
            zmq.ZMQError: The address is taken.
        """
        self.receiver.setsockopt(zmq.LINGER, 0)
        self.receiver.setsockopt(zmq.RCVHWM, HIGH_WATER_FRAMES)
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.receiver.bind(f"tcp://{self.address}")
        self.loop.add_reader(self.receiver.fileno(), self.receive_frames)

    def close(self) -> None:
        """Sends what is pending and closes all sockets."""
        self.flush()
        self.loop.remove_reader(self.receiver.fileno())
        for sender in self.senders.values():
            sender.close(linger=500)
        self.senders.clear()
        self.stack.close()

    def send(self, address: str, message: effects.Message) -> None:
        """Sends the message at the end of this turn of the event loop."""
        if not self.pending:
            self.loop.call_soon(self.flush)
        self.pending.setdefault(address, []).append(message)

    def flush(self) -> None:
        """Sends everything that is pending, one frame an address."""
        pending = self.pending
        self.pending = {}
        for address, messages in pending.items():
            sender = self.senders.get(address) or self.connect(address)
            frame = ENCODER.encode(messages)
            try:
                sender.send(frame, zmq.NOBLOCK)
            except zmq.Again:
                LOG.warning("link to %s is full, frame dropped", address)

    def connect(self, address: str) -> "zmq.Socket[bytes]":
        """Opens the link to an address."""
        sender = self.context.socket(zmq.DEALER)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.SNDHWM, HIGH_WATER_FRAMES)
        sender.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sender.connect(f"tcp://{address}")
        self.senders[address] = sender
        return sender

    def disconnect_except(self, addresses: set[str]) -> None:
        """Closes links to processes that are gone."""
        for address in list(self.senders):
            if address not in addresses:
                self.senders.pop(address).close(linger=0)

    def receive_frames(self) -> None:
        """Takes in frames; the descriptor only signals changes."""
        for _ in range(MAX_FRAMES_PER_CALL):
            try:
                parts = self.receiver.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.handle_frame(parts[-1])
        # More may wait, and the descriptor won't signal it again.
        self.loop.call_soon(self.receive_frames)

    def handle_frame(self, frame: bytes) -> None:
        """Delivers the messages of one frame; foreign frames are dropped."""
        try:
            messages = self.decode(frame)
        except msgspec.MsgspecError as error:
            LOG.warning("foreign frame dropped: %s", error)
            return
        for message in messages:
            try:
                self.deliver(message)
            except Exception:
                # One message must not cost the others their turn.
                LOG.exception("message failed: %r", message)
