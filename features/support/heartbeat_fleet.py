"""Simulated entries of several data centres that exchange heartbeats.

Messages are delivered after random delays. Those between data centres are
counted, along with their encoded size, and can get lost.
"""

import collections
import heapq
import itertools

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import events
from rhubarbbank_router import options
from rhubarbbank_router import peers
from support import router_world

STEP_S = 0.025
ORDER = router_world.build_order()


class HeartbeatFleet:
    """Entries and the network between them.

    Attributes:
        loss_rate: Share of the messages between data centres that get lost.
        now: Current time, in seconds.
        worlds: Routers by name.
        in_transit: Heap of messages by arrival time.
        isolated: Data centres that are isolated from all others.
        suspended: Names of suspended entries; messages to them are queued.
        queued: Messages to suspended entries, by name.
        remote_messages: Number of messages sent between data centres.
        remote_bytes: Encoded size of these messages.
        sent_bytes: Encoded size of all messages, by the sender's name.
        decisions: Logged decisions, each with the name of its entry.
        max_age_s: The greatest age that an entry's latest heartbeat from
            another one reached while it was measured, in seconds.
    """

    def __init__(self, *, rng, data_centres, entries, loss_rate=0.0):
        self.rng = rng
        self.loss_rate = loss_rate
        self.now = 100.0
        self.sequence = itertools.count()
        self.in_transit = []
        self.isolated = set()
        self.suspended = set()
        self.queued = {}
        self.remote_messages = 0
        self.remote_bytes = 0
        self.sent_bytes = collections.Counter()
        self.max_age_s = 0.0
        self.worlds = {}
        self.decisions = []
        for number in range(data_centres * entries):
            self.add_entry(number, f"west-{number % data_centres}")
        self.register_entries()

    def add_entry(self, number, data_centre):
        """Starts an entry, which replaces an earlier one of its number."""
        world = router_world.World(
            seed=number + 1,
            name=f"entry-{number}",
            data_centre=data_centre,
            config_apply_ms=4000,
            drain_ms=4000,
        )
        world.now = self.now
        world.start(3)
        self.worlds[world.state.settings.name] = world

    def set_link(self, name, link_mbps):
        """Sets the bandwidth of an entry's host."""
        world = self.worlds[name]
        world.router.apply_settings(
            msgspec.structs.replace(
                world.state.settings,
                host=options.HostSettings(link_mbps=link_mbps),
            )
        )

    def register_entries(self):
        """Gives every entry the store's list of all entries."""
        self.by_address = {
            x.state.settings.peer_address: x for x in self.worlds.values()
        }
        listed = tuple(
            peers.PeerAddress(name=x, address=y.state.settings.peer_address)
            for x, y in self.worlds.items()
        )
        for world in self.worlds.values():
            world.apply(events.EntriesListed(listed))

    def run(self, duration_s, *, measure_age=False):
        """Delivers messages and ticks the running entries for some time."""
        end = self.now + duration_s
        while self.now < end:
            self.now = round(self.now + STEP_S, 3)
            while self.in_transit and self.in_transit[0][0] <= self.now:
                _, _, world, message = heapq.heappop(self.in_transit)
                self.deliver(world, message)
            for name, world in self.worlds.items():
                if name not in self.suspended:
                    self.step(world)
            if measure_age:
                self.max_age_s = max(self.max_age_s, self.compute_max_age_s())

    def step(self, world):
        world.now = self.now
        world.apply(core_events.Ticked())
        self.send(world)

    def deliver(self, world, message):
        """Delivers a message, or queues it while its entry is suspended."""
        name = world.state.settings.name
        if name in self.suspended:
            self.queued.setdefault(name, []).append(message)
            return
        world.now = self.now
        world.apply(core_events.MessageReceived(message))
        self.send(world)

    def resume(self, name):
        """Resumes an entry, which first gets its queued messages."""
        self.suspended.discard(name)
        for message in self.queued.pop(name, ()):
            self.deliver(self.worlds[name], message)

    def send(self, world):
        """Takes over a router's effects: log lines and messages to peers."""
        data_centre = world.state.settings.data_centre
        for effect in world.effects:
            if isinstance(effect, fx.LogDecision):
                self.decisions.append((world.state.settings.name, effect))
            if not isinstance(effect, core_effects.Send):
                continue
            peer = self.by_address.get(effect.address)
            if peer is None:
                continue
            size = len(msgspec.msgpack.encode(effect.message))
            self.sent_bytes[world.state.settings.name] += size
            peer_data_centre = peer.state.settings.data_centre
            if peer_data_centre != data_centre:
                self.remote_messages += 1
                self.remote_bytes += size
                if (
                    self.isolated & {peer_data_centre, data_centre}
                    or self.rng.random() < self.loss_rate
                ):
                    continue
            delivery = (
                self.now + self.rng.uniform(0.001, 0.03),
                next(self.sequence),
                peer,
                effect.message,
            )
            heapq.heappush(self.in_transit, delivery)
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

    def list_kept_sessions(self):
        """Returns the sessions that keep their version, per entry."""
        return [
            x.state.trials[ORDER.service].kept_sessions
            for x in self.worlds.values()
        ]

    def order_rollout(self):
        """Has all entries see a new roll-out order."""
        for world in self.worlds.values():
            world.apply(events.RolloutChanged(ORDER))

    def list_running_entries(self):
        return [
            x for name, x in self.worlds.items() if name not in self.suspended
        ]

    def compute_max_age_s(self):
        """Returns the greatest age of a known heartbeat of a running entry."""
        ages = [0.0]
        for world in self.list_running_entries():
            entries = world.state.entries
            for other in self.list_running_entries():
                name = other.state.settings.name
                if other is not world:
                    known = entries.peers.get(name)
                    ages.append(
                        self.now - known.received_at if known else self.now
                    )
        return max(ages)

    def count_live_peers(self):
        """Returns the smallest and the largest number of live peers."""
        counts = [
            len(x.state.entries.list_live(now=self.now))
            for x in self.list_running_entries()
        ]
        return min(counts), max(counts)

    def list_names(self, data_centre):
        """Returns the sorted names of a data centre's entries.

        The first two are its forwarders.
        """
        return sorted(
            name
            for name, x in self.worlds.items()
            if x.state.settings.data_centre == data_centre
        )
