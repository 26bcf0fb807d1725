"""Simulated entries of several data centres that exchange heartbeats.

Messages are delivered after random delays. Those between data centres are
counted, along with their encoded size, and can get lost.
"""

import heapq
import itertools

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import events
from rhubarbbank_router import peers
from support import router_world

STEP_S = 0.025
ORDER = router_world.build_order()


class NewsFleet:
    """Entries and the network between them.

    Attributes:
        worlds: Routers by name.
        cut: Data centres that are isolated from all others.
        asleep: Names of suspended entries; messages to them are queued.
        far_frames: Number of messages sent between data centres.
        far_bytes: Encoded size of these messages.
        lines: Logged decisions, each with the name of its entry.
        oldest_s: The greatest age that an entry's latest heartbeat from another
            one reached while it was measured, in seconds.
    """

    def __init__(self, *, rng, places, entries, loss=0.0):
        self.rng = rng
        self.loss = loss
        self.now = 100.0
        self.numbers = itertools.count()
        self.due = []
        self.cut = set()
        self.asleep = set()
        self.waiting = {}
        self.far_frames = 0
        self.far_bytes = 0
        self.oldest_s = 0.0
        self.worlds = {}
        self.lines = []
        for number in range(places * entries):
            self.build(number, f"west-{number % places}")
        self.register()

    def build(self, number, place):
        world = router_world.World(
            seed=number + 1,
            name=f"entry-{number}",
            data_centre=place,
            config_apply_ms=4000,
            drain_ms=4000,
        )
        world.now = self.now
        world.start(3)
        self.worlds[world.state.settings.name] = world

    def register(self):
        self.by_address = {
            x.state.settings.peer_address: x for x in self.worlds.values()
        }
        listed = tuple(
            peers.PeerAddress(name=x, address=y.state.settings.peer_address)
            for x, y in self.worlds.items()
        )
        for world in self.worlds.values():
            world.apply(events.EntriesListed(listed))

    def run(self, duration_s, *, look=False):
        end = self.now + duration_s
        while self.now < end:
            self.now = round(self.now + STEP_S, 3)
            while self.due and self.due[0][0] <= self.now:
                _, _, world, message = heapq.heappop(self.due)
                self.deliver(world, message)
            for name, world in self.worlds.items():
                if name not in self.asleep:
                    self.step(world)
            if look:
                self.oldest_s = max(self.oldest_s, self.find_oldest_s())

    def step(self, world):
        world.now = self.now
        world.apply(core_events.Ticked())
        self.send(world)

    def deliver(self, world, message):
        name = world.state.settings.name
        if name in self.asleep:
            self.waiting.setdefault(name, []).append(message)
            return
        world.now = self.now
        world.apply(core_events.MessageReceived(message))
        self.send(world)

    def wake(self, name):
        self.asleep.discard(name)
        for message in self.waiting.pop(name, ()):
            self.deliver(self.worlds[name], message)

    def send(self, world):
        place = world.state.settings.data_centre
        for effect in world.effects:
            if isinstance(effect, fx.LogDecision):
                self.lines.append((world.state.settings.name, effect))
            if not isinstance(effect, core_effects.Send):
                continue
            peer = self.by_address.get(effect.address)
            if peer is None:
                continue
            to = peer.state.settings.data_centre
            if to != place:
                self.far_frames += 1
                self.far_bytes += len(msgspec.msgpack.encode(effect.message))
                if self.cut & {to, place} or self.rng.random() < self.loss:
                    continue
            entry = (
                self.now + self.rng.uniform(0.001, 0.03),
                next(self.numbers),
                peer,
                effect.message,
            )
            heapq.heappush(self.due, entry)
        world.effects.clear()

    def run_sessions(self, count):
        """Has each entry answer one request of each of its sessions."""
        for name, world in self.worlds.items():
            world.now = self.now
            for number in range(count):
                session = f"{name}/{number}"
                request = world.ask(
                    "chat",
                    session=session,
                    generation=router_world.build_generation(session, 1000),
                )
                world.head(request, confidence=90)
                world.stream(request, 1, 2)
                world.end(request)
            world.effects.clear()

    def list_kept(self):
        """Returns the sessions that keep their version, per entry."""
        return [
            x.state.trials[ORDER.service].kept_sessions
            for x in self.worlds.values()
        ]

    def order(self):
        """Has all entries see a new roll-out order."""
        for world in self.worlds.values():
            world.apply(events.RolloutChanged(ORDER))

    def list_awake(self):
        return [x for name, x in self.worlds.items() if name not in self.asleep]

    def find_oldest_s(self):
        """Returns the greatest age of a known heartbeat of a running entry."""
        ages = [0.0]
        for world in self.list_awake():
            entries = world.state.entries
            for other in self.list_awake():
                name = other.state.settings.name
                if other is not world:
                    known = entries.peers.get(name)
                    ages.append(
                        self.now - known.received_at if known else self.now
                    )
        return max(ages)

    def count_live(self):
        """Returns the smallest and the largest number of live peers."""
        counts = [
            len(x.state.entries.list_live(now=self.now))
            for x in self.list_awake()
        ]
        return min(counts), max(counts)

    def list_carriers(self, place):
        """Returns the sorted names of a data centre's entries.

        The first two are its forwarders.
        """
        return sorted(
            name
            for name, x in self.worlds.items()
            if x.state.settings.data_centre == place
        )
