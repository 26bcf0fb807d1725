"""Steps for links between processes."""

import asyncio

from behave import given
from behave import then
from behave import when
import msgspec
from support import silent_relay

from rhubarbbank_core import effects
from rhubarbbank_runtime import peer_link

SEND_PERIOD_S = 0.05
# Together more than a silent connection's buffers hold.
PADDING = "x" * 100_000


class Note(effects.Message, frozen=True, tag="note"):
    """A message with its time of sending, in seconds."""

    sent_at: float
    padding: str = PADDING


DECODER = msgspec.msgpack.Decoder(list[Note])


class LinkPair:
    """A link, a relay and the peer's link.

    Attributes:
        loop: The event loop.
        received: Messages that the peer has received.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.received = []
        self.peer = self.build_link(self.received.append)
        port = int(self.peer.receiver.last_endpoint.decode().rpartition(":")[2])
        self.relay = silent_relay.SilentRelay(port)
        relay_port = self.loop.run_until_complete(self.relay.start())
        self.address = f"127.0.0.1:{relay_port}"
        self.link = self.build_link(lambda message: None)

    def build_link(self, deliver):
        link = peer_link.PeerLink(
            address="127.0.0.1:*",
            loop=self.loop,
            deliver=deliver,
            decode=DECODER.decode,
        )
        link.open()
        return link

    async def send_for(self, duration_s):
        """Sends a message now and then for some time."""
        end = self.loop.time() + duration_s
        while self.loop.time() < end:
            self.link.send(self.address, Note(sent_at=self.loop.time()))
            await asyncio.sleep(SEND_PERIOD_S)

    def run(self, coroutine):
        self.loop.run_until_complete(coroutine)

    def close(self):
        """Closes both links and the relay."""
        self.link.close()
        self.peer.close()
        self.run(self.relay.stop())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(SEND_PERIOD_S))
        self.loop.close()


@given("a link to a peer through a relay")
def open_link(context):
    context.links = LinkPair()
    context.add_cleanup(context.links.close)
    context.links.run(context.links.send_for(1.0))
    assert context.links.received


@when(
    "the relay's open connections go silent, and messages are sent for "
    "{duration:g} s"
)
def send_after_silence(context, duration):
    context.links.relay.silence()
    context.links.run(context.links.send_for(duration))


@then("the peer has received messages of the last {period:g} s")
def check_received(context, period):
    links = context.links
    last_at = links.received[-1].sent_at
    assert last_at > links.loop.time() - period, links.loop.time() - last_at
