"""Simulation of the routers of one data centre that share a store.

Checks that data stays within its age limits while the store's contents
change, entries are cut off from the store, suspended or restarted, and
messages between them are delayed or lost. The store may lose the latest changes
when it is restored from a copy; then operators and upstreams repeat them.
"""

import dataclasses
import heapq
import itertools
import random

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import peers
from rhubarbbank_router import store_position
from support import router_world

STEP_S = 0.05
READ_PERIOD_S = 0.9
WATCH_TIMEOUT_S = 1.0
APPLY_S = 4.0
DRAIN_S = 4.0
REVOKE_S = 5.0
# Age limits are checked once an entry has had no fault for this long.
RECOVERY_S = 5.0
MAX_ROLE_CHANGES_PER_S = 2
# Replies to 2.5 requests a second, and up to five changes a second, of two
# kinds, from each of three readers.
MAX_UPDATES_PER_S = 32
# Age of the copy from which the store is restored, and when writes that it lost
# are repeated.
COPY_AGE_S = (0.5, 4.0)
REWRITE_S = (0.1, 1.8)
# The store drops the registration of an upstream that is silent for so long.
LEASE_S = 3.6
DECODING_S = 0.05
# A reply, or the next heartbeat if it is lost, reaches an entry that starts
# within this.
HEARD_S = 0.8
BOUNDS = {
    "config_apply_ms": APPLY_S * 1000,
    "drain_ms": DRAIN_S * 1000,
    "revoke_ms": REVOKE_S * 1000,
}


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A configuration that the store accepted.

    Attributes:
        at: When it was accepted, in seconds.
        version: The operators' version.
        revision: The store's revision.
        era: The store's era.
    """

    at: float
    version: int
    revision: int
    era: int = 1


@dataclasses.dataclass(frozen=True)
class Backup:
    """A copy of the store, made at a time in seconds."""

    at: float
    revision: int
    stored: Accepted
    listed: dict


@dataclasses.dataclass
class Node:
    """One entry of the simulation.

    All times are in seconds.

    Attributes:
        world: Its router.
        started_at: When it started.
        highest_version: The highest version of the configuration that was
            active here.
        faulty_until: When its latest fault ends.
        partitioned_until: Until when it can't reach the store.
        suspended_until: Until when it is suspended.
        turned_away_until: Until when the store refuses its calls.
        next_read_at: When it reads the configuration next.
        watch_started_at: When its watch began; None if it has no watch.
        position: The store's position from which it watches.
        leaving: Upstreams that it has seen as leaving.
        role_changes: When it became a reader or stopped being one.
        updated_at: When it got readers' updates in the last second.
    """

    world: router_world.World
    started_at: float = 0.0
    highest_version: int = 0
    faulty_until: float = 0.0
    partitioned_until: float = 0.0
    suspended_until: float = 0.0
    turned_away_until: float = 0.0
    next_read_at: float = 0.0
    watch_started_at: float | None = None
    position: store_position.StorePosition = store_position.START
    leaving: set[str] = dataclasses.field(default_factory=set)
    role_changes: list[float] = dataclasses.field(default_factory=list)
    updated_at: list[float] = dataclasses.field(default_factory=list)


class RelayFleet:
    """Entries that share one store, on a simulated clock.

    Attributes:
        calls: Number of calls to the store.
        stored: The configuration that the store holds.
        accepted: All configurations that it accepted, oldest first.
        live: The upstreams that run, by id.
        listed: Those that the store lists.
        listed_again_at: When a restored store has dropped the upstreams that
            have ended.
        violations: Descriptions of violated conditions.
        bounds: Bounds in the entries' settings.
        decoded: Number of copies of configurations that entries have decoded.
    """

    bounds = BOUNDS

    def __init__(
        self,
        *,
        rng,
        entries,
        loss_rate=0.0,
        faults=True,
        restores=False,
        turns_away=False,
        own_changes=False,
    ):
        self.rng = rng
        # Where changes have a generator of their own, what operators and
        # upstreams do doesn't depend on the number of messages.
        self.change_rng = random.Random(rng.random()) if own_changes else rng
        self.loss_rate = loss_rate
        self.faults = faults
        self.restores = restores
        self.turns_away = turns_away
        self.now = 100.0
        self.numbers = itertools.count()
        self.scheduled = []
        self.calls = 0
        self.decoded = 0
        self.violations = []
        self.revision = 10
        self.era = 1
        self.stored = Accepted(at=self.now, version=10, revision=10)
        self.accepted = [self.stored]
        self.live = {
            f"up-{n}": router_world.build_upstream(n) for n in range(4)
        }
        self.listed = dict(self.live)
        self.changes = []
        self.listed_again_at = 0.0
        self.backups = []
        self.back_up()
        self.left_at = {}
        self.nodes = {}
        for number in range(entries):
            self.start(f"entry-{number}")

    def start(self, name):
        world = router_world.World(name=name, **self.bounds)
        world.now = self.now
        node = Node(world, started_at=self.now, faulty_until=self.now)
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

    def schedule(self, delay_s, call, *args):
        entry = (self.now + delay_s, next(self.numbers), call, args)
        heapq.heappush(self.scheduled, entry)

    # The store.

    @property
    def position(self):
        return store_position.StorePosition(self.era, self.revision)

    def change(self):
        """Changes the configuration or the list of upstreams."""
        self.revision += self.change_rng.randrange(3)
        if self.change_rng.random() < 0.4:
            self.put_configuration(self.accepted[-1].version + 1)
        else:
            self.change_upstream()
        self.back_up()

    def change_upstream(self):
        leaving = self.change_rng.random() < 0.6
        name = self.change_rng.choice(list(self.live))
        changed = dataclasses.replace(self.live[name], leaving=leaving)
        if self.live[name].leaving:
            # An upstream that has left is replaced under another name.
            del self.live[name]
            self.unlist(name)
            number = next(self.numbers) + 100
            changed = router_world.build_upstream(number)
        elif leaving:
            self.left_at[name] = self.now
        self.live[changed.upstream_id] = changed
        self.put_upstream(changed)

    def put_configuration(self, version):
        self.revision += 1
        self.stored = Accepted(
            at=self.now, version=version, revision=self.revision, era=self.era
        )
        self.accepted.append(self.stored)

    def put_upstream(self, changed):
        self.revision += 1
        self.listed[changed.upstream_id] = changed
        self.changes.append((self.position, changed))

    def unlist(self, name):
        if name in self.listed:
            self.revision += 1
            del self.listed[name]
            self.changes.append((self.position, name))

    def back_up(self):
        self.backups.append(
            Backup(self.now, self.revision, self.stored, dict(self.listed))
        )

    def restore(self):
        """Restores the store from a copy that lacks the latest changes."""
        copied_at = self.now - self.rng.uniform(*COPY_AGE_S)
        copy = [x for x in self.backups if x.at <= copied_at][-1]
        self.era += 1
        self.revision = copy.revision
        self.stored = dataclasses.replace(copy.stored, era=self.era)
        self.listed = dict(copy.listed)
        self.backups.clear()
        self.back_up()
        delay_s = self.rng.uniform(*REWRITE_S)
        self.schedule(delay_s, self.repeat_lost_writes)
        self.schedule(LEASE_S, self.drop_silent)
        for node in self.nodes.values():
            node.faulty_until = max(node.faulty_until, self.now + delay_s)
        self.listed_again_at = self.now + LEASE_S
        self.schedule(self.rng.uniform(10.0, 14.0), self.restore)

    def repeat_lost_writes(self):
        if self.stored.version < self.accepted[-1].version:
            self.put_configuration(self.accepted[-1].version)
        for name, upstream in self.live.items():
            if self.listed.get(name) != upstream:
                self.put_upstream(upstream)
        self.back_up()

    def drop_silent(self):
        for name in [x for x in self.listed if x not in self.live]:
            self.unlist(name)
        self.back_up()

    def read(self, node):
        self.calls += 1
        stored = self.stored
        node.world.apply(events.StoreEraRead(stored.era))
        node.world.configure(self.build_configuration(stored))
        node.next_read_at = self.now + READ_PERIOD_S

    def build_configuration(self, stored):
        found = router_world.build_configuration(
            stored.revision, version=stored.version, era=stored.era
        )
        if not self.turns_away:
            # As read by a release that makes no copies.
            return found
        return dataclasses.replace(found, encoded=b"copy")

    def list_all(self, node):
        self.calls += 1
        node.world.apply(events.StoreEraRead(self.era))
        listed = tuple(self.listed.values())
        node.position = self.position
        node.world.apply(
            events.UpstreamsListed(
                listed, position=self.position, asked_at=self.now
            )
        )

    def watch(self, node):
        """Answers a watch with the changes, or after its timeout."""
        if node.watch_started_at is None:
            node.watch_started_at = self.now
            node.position = node.world.router.list_position
        if node.position.era < self.position.era:
            node.watch_started_at = None
            self.list_all(node)
            return
        found = [x for at, x in self.changes if at > node.position]
        if not found and self.now - node.watch_started_at < WATCH_TIMEOUT_S:
            return
        self.calls += 1
        at = node.watch_started_at if found else self.now
        node.watch_started_at = None
        if self.position < node.world.router.list_position:
            return
        for each in found:
            event = events.UpstreamUnlisted
            if not isinstance(each, str):
                event = events.UpstreamChanged
            node.world.apply(event(each))
        node.world.apply(
            events.UpstreamsConfirmed(position=self.position, current_at=at)
        )

    # The simulation.

    def run(self, duration_s):
        end = self.now + duration_s
        self.schedule(0.0, self.make_changes)
        if self.faults:
            self.schedule(3.0, self.inject_fault)
        if self.restores:
            self.schedule(6.0, self.restore)
        if self.turns_away:
            self.schedule(5.0, self.turn_away)
        while self.now < end:
            self.now = round(self.now + STEP_S, 3)
            while self.scheduled and self.scheduled[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self.scheduled)
                call(*args)
            for node in list(self.nodes.values()):
                if node.suspended_until <= self.now:
                    self.step(node)
                self.check(node)

    def make_changes(self):
        self.change()
        delay_s = self.change_rng.uniform(0.2, 3.0)
        self.schedule(delay_s, self.make_changes)

    def turn_away(self):
        """Lets the store refuse the calls of a third of the entries."""
        until = self.now + self.rng.uniform(4.0, 20.0)
        count = max(1, len(self.nodes) // 3)
        for name in self.rng.sample(sorted(self.nodes), count):
            self.nodes[name].turned_away_until = until
        self.schedule(until - self.now + 5.0, self.turn_away)

    def inject_fault(self):
        name = self.rng.choice(list(self.nodes))
        if self.rng.random() < 0.5:
            # Half of the faults hit a reader.
            readers = [
                n
                for n, x in self.nodes.items()
                if x.world.state.relay.is_reader
            ]
            name = self.rng.choice(readers or [name])
        node = self.nodes[name]
        until = self.now + self.rng.uniform(1.0, 6.0)
        node.faulty_until = until
        match self.rng.randrange(3):
            case 0:
                node.partitioned_until = until
            case 1:
                node.suspended_until = until
            case _:
                self.start(name)
        self.schedule(self.rng.uniform(1.0, 5.0), self.inject_fault)

    def step(self, node):
        world = node.world
        world.now = self.now
        reaches_store = max(node.partitioned_until, node.turned_away_until)
        if reaches_store <= self.now:
            router = world.router
            subject = events.Subject.CONFIGURATION
            if router.should_read(subject) and self.now >= node.next_read_at:
                self.read(node)
            if router.should_read(events.Subject.UPSTREAMS):
                self.watch(node)
        world.apply(core_events.Ticked())
        self.record_role_changes(node)
        self.send(world)

    def record_role_changes(self, node):
        """Records role changes; too many per second are a violation."""
        for effect in node.world.effects:
            name = getattr(effect, "decision", "")
            if name.startswith("store_reading"):
                node.role_changes.append(self.now)
        if len(node.role_changes) > MAX_ROLE_CHANGES_PER_S:
            first, last = (
                node.role_changes[-1 - MAX_ROLE_CHANGES_PER_S],
                node.role_changes[-1],
            )
            if last - first < 1.0:
                name = node.world.state.settings.name
                self.report(
                    name,
                    f"changed role {MAX_ROLE_CHANGES_PER_S + 1} times in 1 s",
                )

    def send(self, world):
        for effect in world.effects:
            if isinstance(effect, effects.DecodeConfiguration):
                self.schedule(DECODING_S, self.decode, world, effect)
            if not isinstance(effect, core_effects.Send):
                continue
            if self.rng.random() >= self.loss_rate:
                delay_s = self.rng.uniform(0.0, 0.04)
                self.schedule(delay_s, self.deliver, effect)
        world.effects.clear()

    def decode(self, world, effect):
        self.decoded += 1
        stored = Accepted(
            at=self.now,
            version=effect.version,
            revision=effect.revision,
            era=effect.era,
        )
        world.now = self.now
        world.apply(
            events.ConfigurationRead(
                asked_at=effect.confirmed_at,
                found=self.build_configuration(stored),
                source=effect.source,
            )
        )
        self.send(world)

    def deliver(self, effect):
        node = self.by_address.get(effect.address)
        if node is None:
            return
        if node.suspended_until > self.now:
            # The message is read once the process resumes.
            self.schedule(node.suspended_until - self.now, self.deliver, effect)
            return
        if isinstance(effect.message, messages.StoreUpdate):
            self.record_update(node)
        node.world.now = self.now
        node.world.apply(core_events.MessageReceived(effect.message))
        self.send(node.world)

    def record_update(self, node):
        """Records an update that an entry gets; too many are a violation."""
        recent = [at for at in node.updated_at if at > self.now - 1.0]
        node.updated_at = [*recent, self.now]
        if len(node.updated_at) > MAX_UPDATES_PER_S:
            name = node.world.state.settings.name
            self.report(name, f"got {len(node.updated_at)} updates in 1 s")

    # The checked conditions.

    def find_version(self, at):
        """Returns the configuration's newest version just before a time."""
        return max(
            (x.version for x in self.accepted if x.at < at - STEP_S / 2),
            default=0,
        )

    def check(self, node):
        self.check_configuration(node)
        self.check_leaving(node)
        if self.now - node.faulty_until < RECOVERY_S:
            return
        self.check_configuration_age(node)
        if self.now - self.listed_again_at >= RECOVERY_S:
            self.check_list_age(node)

    def check_configuration(self, node):
        state = node.world.state
        name = state.settings.name
        known = state.active_configuration.version
        if known < node.highest_version:
            self.report(name, f"went back to {known}")
        node.highest_version = max(node.highest_version, known)
        is_unheard = self.restores and self.now - node.started_at < HEARD_S
        if is_unheard or not state.proof.is_valid(now=self.now):
            return
        proved = self.find_version(state.proof.read_sent_at)
        if known < proved:
            self.report(name, f"proof of {proved} but {known} is active")

    def check_leaving(self, node):
        state = node.world.state
        for each in state.view.list_accepting("pool", now=self.now):
            if each.listed.upstream_id in node.leaving:
                self.report(
                    state.settings.name,
                    f"{each.listed.upstream_id} is usable after leaving",
                )
        node.leaving.update(
            name
            for name, tracked in state.view.tracked.items()
            if tracked.listed.leaving
        )

    def check_configuration_age(self, node):
        state = node.world.state
        known = state.active_configuration.version
        if known < self.find_version(self.now - APPLY_S):
            self.report(
                state.settings.name, "an outdated configuration is active"
            )

    def check_list_age(self, node):
        state = node.world.state
        name = state.settings.name
        for upstream, at in self.left_at.items():
            tracked = state.view.tracked.get(upstream)
            usable = tracked is not None and not tracked.listed.leaving
            if usable and self.now - at > DRAIN_S:
                self.report(
                    name,
                    f"{upstream} left {self.now - at:.2f} s ago, still usable",
                )

    def report(self, name, text):
        self.violations.append(f"{self.now:.2f} {name}: {text}")
