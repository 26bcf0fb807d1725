"""Routers of one data centre before a store: who reads, and what is known.

Entries are cut off from the store, suspended or killed; messages between them
are late or lost. The store's content changes meanwhile.
"""

import dataclasses
import heapq
import itertools

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import events
from rhubarbbank_router import peers
from support import router_world

STEP_S = 0.05
CONFIGURATION_S = 0.9
WATCH_S = 1.0
APPLY_S = 4.0
DRAIN_S = 4.0
REVOKE_S = 5.0
# A machine is in touch if it has had nothing to suffer for so long.
STABLE_S = 5.0
# Changes of the role in any second.
MOST_TURNS = 2
BOUNDS = {
    "config_apply_ms": APPLY_S * 1000,
    "drain_ms": DRAIN_S * 1000,
    "revoke_ms": REVOKE_S * 1000,
}


@dataclasses.dataclass
class Node:
    """One entry.

    Attributes:
        world: Its router.
        harmed_until: It suffers until then.
        cut_until: It doesn't reach the store until then.
        asleep_until: It is suspended until then.
        read_at: When it reads the configuration next.
        watch_at: When it asked for changes; None while it doesn't.
        position: The revision that it watches from.
        leaving: Upstreams that it has known as leaving.
        turns: When it began or ended to read.
    """

    world: router_world.World
    harmed_until: float = 0.0
    cut_until: float = 0.0
    asleep_until: float = 0.0
    read_at: float = 0.0
    watch_at: float | None = None
    position: int = 0
    leaving: set[str] = dataclasses.field(default_factory=set)
    turns: list[float] = dataclasses.field(default_factory=list)


class RelayFleet:
    """Entries before one store.

    Attributes:
        calls: Calls to the store.
        faults: What was found wrong, as text.
    """

    def __init__(self, *, rng, entries, loss=0.0, troubles=True):
        self.rng = rng
        self.loss = loss
        self.troubles = troubles
        self.now = 100.0
        self.numbers = itertools.count()
        self.due = []
        self.calls = 0
        self.faults = []
        self.revision = 10
        self.configurations = [(self.now, 10)]
        self.listed = {
            f"up-{n}": router_world.build_upstream(n) for n in range(4)
        }
        self.changes = []
        self.left_at = {}
        self.nodes = {}
        for number in range(entries):
            self.start(f"entry-{number}")

    def start(self, name):
        world = router_world.World(name=name, **BOUNDS)
        world.now = self.now
        node = Node(world, harmed_until=self.now)
        self.nodes[name] = node
        world.apply(events.RolloutsListed(()))
        self.read(node)
        self.list_all(node)
        self.by_address = {
            x.world.state.settings.peer_address: x for x in self.nodes.values()
        }
        found = tuple(
            peers.PeerAddress(
                name=n, address=x.world.state.settings.peer_address
            )
            for n, x in self.nodes.items()
        )
        for each in self.nodes.values():
            each.world.apply(events.EntriesListed(found))

    def after(self, delay_s, call, *given):
        entry = (self.now + delay_s, next(self.numbers), call, given)
        heapq.heappush(self.due, entry)

    # The store.

    def change(self):
        """The operators or an upstream change something."""
        self.revision += self.rng.randrange(1, 4)
        if self.rng.random() < 0.4:
            self.configurations.append((self.now, self.revision))
            return
        leaving = self.rng.random() < 0.6
        name = self.rng.choice(list(self.listed))
        changed = dataclasses.replace(self.listed[name], leaving=leaving)
        if self.listed[name].leaving:
            # One that leaves never comes back but under another name.
            del self.listed[name]
            self.changes.append((self.revision, name))
            number = next(self.numbers) + 100
            changed = router_world.build_upstream(number)
            self.revision += 1
        elif leaving:
            self.left_at[name] = self.now
        self.listed[changed.upstream_id] = changed
        self.changes.append((self.revision, changed))

    def read(self, node):
        self.calls += 1
        revision = self.configurations[-1][1]
        node.world.configure(router_world.build_configuration(revision))
        node.read_at = self.now + CONFIGURATION_S

    def list_all(self, node):
        self.calls += 1
        listed = tuple(self.listed.values())
        node.position = self.revision
        node.world.apply(
            events.UpstreamsListed(listed, position=self.revision, at=self.now)
        )

    def watch(self, node):
        """Tells what has changed, or that nothing has after a time."""
        if node.watch_at is None:
            node.watch_at = self.now
            node.position = node.world.router.list_position
        found = [x for at, x in self.changes if at > node.position]
        if not found and self.now - node.watch_at < WATCH_S:
            return
        self.calls += 1
        at = node.watch_at if found else self.now
        node.watch_at = None
        if self.revision < node.world.router.list_position:
            return
        for each in found:
            event = events.UpstreamUnlisted
            if not isinstance(each, str):
                event = events.UpstreamChanged
            node.world.apply(event(each))
        node.world.apply(
            events.UpstreamsConfirmed(position=self.revision, at=at)
        )

    # Time.

    def run(self, duration_s):
        end = self.now + duration_s
        self.after(0.0, self.make_changes)
        if self.troubles:
            self.after(3.0, self.make_trouble)
        while self.now < end:
            self.now = round(self.now + STEP_S, 3)
            while self.due and self.due[0][0] <= self.now:
                _, _, call, given = heapq.heappop(self.due)
                call(*given)
            for node in list(self.nodes.values()):
                if node.asleep_until <= self.now:
                    self.step(node)
                self.check(node)

    def make_changes(self):
        self.change()
        self.after(self.rng.uniform(0.2, 3.0), self.make_changes)

    def make_trouble(self):
        name = self.rng.choice(list(self.nodes))
        if self.rng.random() < 0.5:
            # The reader, most often.
            readers = [
                n
                for n, x in self.nodes.items()
                if x.world.state.relay.is_reader
            ]
            name = self.rng.choice(readers or [name])
        node = self.nodes[name]
        until = self.now + self.rng.uniform(1.0, 6.0)
        node.harmed_until = until
        match self.rng.randrange(3):
            case 0:
                node.cut_until = until
            case 1:
                node.asleep_until = until
            case _:
                self.start(name)
        self.after(self.rng.uniform(1.0, 5.0), self.make_trouble)

    def step(self, node):
        world = node.world
        world.now = self.now
        if node.cut_until <= self.now:
            router = world.router
            subject = events.Subject.CONFIGURATION
            if router.should_read(subject) and self.now >= node.read_at:
                self.read(node)
            if router.should_read(events.Subject.UPSTREAMS):
                self.watch(node)
        world.apply(core_events.Ticked())
        self.note_turns(node)
        self.send(world)

    def note_turns(self, node):
        """Notes changes of the role; one that flutters is a fault."""
        for effect in node.world.done:
            name = getattr(effect, "decision", "")
            if name.startswith("store_reading"):
                node.turns.append(self.now)
        if len(node.turns) > MOST_TURNS:
            first, last = node.turns[-1 - MOST_TURNS], node.turns[-1]
            if last - first < 1.0:
                name = node.world.state.settings.name
                self.fault(name, f"turned {MOST_TURNS + 1} times in a second")

    def send(self, world):
        for effect in world.done:
            if not isinstance(effect, core_effects.Send):
                continue
            if self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(0.0, 0.04)
                self.after(delay_s, self.deliver, effect)
        world.done.clear()

    def deliver(self, effect):
        node = self.by_address.get(effect.address)
        if node is None:
            return
        if node.asleep_until > self.now:
            # It is read when the process goes on.
            self.after(node.asleep_until - self.now, self.deliver, effect)
            return
        node.world.now = self.now
        node.world.apply(core_events.MessageReceived(effect.message))
        self.send(node.world)

    # What must hold.

    def find_revision(self, at):
        """The configuration's revision just before a time."""
        return max(
            (r for t, r in self.configurations if t < at - STEP_S / 2),
            default=0,
        )

    def check(self, node):
        state = node.world.state
        name = state.settings.name
        known = state.active_configuration.revision
        if state.proof.is_valid(now=self.now):
            proved = self.find_revision(state.proof.read_sent_at)
            if known < proved:
                self.fault(name, f"proof of {proved} with {known} in force")
        for upstream, tracked in state.view.tracked.items():
            if tracked.listed.leaving:
                node.leaving.add(upstream)
            elif upstream in node.leaving:
                self.fault(name, f"{upstream} is taken to be back")
        if self.now - node.harmed_until < STABLE_S:
            return
        if known < self.find_revision(self.now - APPLY_S):
            self.fault(name, "an old configuration is in force")
        for upstream, at in self.left_at.items():
            tracked = state.view.tracked.get(upstream)
            usable = tracked is not None and not tracked.listed.leaving
            if usable and self.now - at > DRAIN_S:
                self.fault(name, f"{upstream} left {self.now - at:.2f} s ago")

    def fault(self, name, text):
        self.faults.append(f"{self.now:.2f} {name}: {text}")
