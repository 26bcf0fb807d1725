"""Exchanges messages between the system's processes over ZeroMQ.

Each process binds one ROUTER socket for incoming messages and opens one DEALER
socket to each process that it sends to; replies go to the address that a
message gives. All messages to one address that are sent in one iteration of
the event loop are batched into one frame. Messages may be lost, so a sender
that needs a reply has to retry. A connection that goes silent is replaced.
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
# Without it, an attempt during a partition goes on for a while after its end.
CONNECT_TIMEOUT_MS = 1_000
# A sender replaces a connection on which bytes stay unacknowledged this long;
# a receiver probes one that is idle, and closes it without an answer.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 20
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
MAX_FRAME_BYTES = 8_000_000
MAX_FRAMES_PER_CALL = 64
ENCODER = msgspec.msgpack.Encoder()


class PeerLink:
    """Sends messages to other processes and receives theirs.

    Attributes:
        address: Address that this process listens on, "ip:port".
        loop: The event loop.
        deliver: Called with each received message.
        decode: Decodes a frame into its messages.
        pending: Messages to send in the next flush, by address.
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
            zmq.ZMQError: The address can't be bound, for example because it
                is already in use.
        """
        self.receiver.setsockopt(zmq.LINGER, 0)
        self.receiver.setsockopt(zmq.RCVHWM, HIGH_WATER_FRAMES)
        self.receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self.receiver.setsockopt(zmq.TCP_KEEPALIVE, 1)
        self.receiver.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
        self.receiver.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S)
        self.receiver.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        self.receiver.bind(f"tcp://{self.address}")
        self.loop.add_reader(self.receiver.fileno(), self.receive_frames)

    def close(self) -> None:
        """Sends the pending messages and closes all sockets."""
        self.flush()
        self.loop.remove_reader(self.receiver.fileno())
        for sender in self.senders.values():
            sender.close(linger=500)
        self.senders.clear()
        self.stack.close()

    def send(self, address: str, message: effects.Message) -> None:
        """Queues a message; the event loop flushes it in its next iteration."""
        if not self.pending:
            self.loop.call_soon(self.flush)
        self.pending.setdefault(address, []).append(message)

    def flush(self) -> None:
        """Sends all pending messages, as one frame per address."""
        pending = self.pending
        self.pending = {}
        for address, messages in pending.items():
            sender = self.senders.get(address) or self.connect(address)
            frame = ENCODER.encode(messages)
            try:
                sender.send(frame, zmq.NOBLOCK)
            except zmq.Again:
                LOG.warning("send queue to %s is full, frame dropped", address)

    def connect(self, address: str) -> "zmq.Socket[bytes]":
        """Opens a DEALER socket to an address."""
        sender = self.context.socket(zmq.DEALER)
        sender.setsockopt(zmq.LINGER, 0)
        sender.setsockopt(zmq.SNDHWM, HIGH_WATER_FRAMES)
        sender.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        sender.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
        sender.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sender.connect(f"tcp://{address}")
        self.senders[address] = sender
        return sender

    def disconnect_except(self, addresses: set[str]) -> None:
        """Closes the sockets to all other addresses than these."""
        for address in list(self.senders):
            if address not in addresses:
                self.senders.pop(address).close(linger=0)

    def receive_frames(self) -> None:
        """Receives the frames that are waiting, up to a limit.

        The descriptor of a ZeroMQ socket is edge-triggered: it signals new
        frames only once, so another call reads those beyond the limit.
        """
        for _ in range(MAX_FRAMES_PER_CALL):
            try:
                parts = self.receiver.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.handle_frame(parts[-1])
        # The descriptor doesn't signal frames that are left over.
        self.loop.call_soon(self.receive_frames)

    def handle_frame(self, frame: bytes) -> None:
        """Delivers the messages of a frame; drops one that can't be decoded."""
        try:
            messages = self.decode(frame)
        except msgspec.MsgspecError as error:
            LOG.warning("undecodable frame dropped: %s", error)
            return
        for message in messages:
            try:
                self.deliver(message)
            except Exception:
                # A message that fails must not stop those after it.
                LOG.exception("message failed: %r", message)
