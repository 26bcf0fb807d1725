"""A few entries and sidecars over a faulty network and store, for tests.

Time moves in ticks. Links and store access can be cut for each data centre;
messages get lost, late, repeated and so reordered by seeded chance. The naive
model of what must hold is the plain list of all accepted edits.
"""

import dataclasses
import random

from rhubarbbank_core import coordination
from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import events
from rhubarbbank_core import freshness
from rhubarbbank_core import membership_messages
from rhubarbbank_core import outage
from rhubarbbank_core import store
from rhubarbbank_core import table_sync_events

TICK_S = 0.25
PROMISE_S = 7.0
VERSION = "planner@7"

Node = coordination.EntryCoordination | coordination.SidecarCoordination


def decode(raw: bytes) -> table_sync_events.VersionedTable:
    try:
        revision, digest = raw.decode().split(":")
        return table_sync_events.VersionedTable(int(revision), int(digest))
    except ValueError as error:
        raise errors.RhubarbbankError(
            problem=errors.Problem(code=errors.ErrorCode.BAD_REQUEST),
            remedy="Store a table.",
        ) from error


@dataclasses.dataclass
class Place:
    """One host of the fleet; `node` is None while it is down."""

    name: str
    data_centre: str
    address: str
    is_entry: bool
    node: Node | None = None
    incarnation: int = 0


class Fleet:
    def __init__(
        self,
        *,
        entries: list[str],
        sidecars: list[str],
        seed: int = 1,
        serve_unconfirmed: bool = False,
        store_up: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.serve_unconfirmed = serve_unconfirmed
        self.store_up = store_up
        self.revision = 1
        self.accepted = [(0.0, 1)]
        self.no_store: set[str] = set()
        self.hosts_down: set[str] = set()
        self.group: dict[str, int] = {}
        self.loss = 0.0
        self.late = 0.0
        self.watches: list[tuple[Place, store.StoreCall, Node]] = []
        self.queue: list[tuple[float, str, str, effects.Message]] = []
        self.store_calls = 0
        self.seen: dict[str, int] = {}
        self.faults: list[table_sync_events.TableFault] = []
        self.places: dict[str, Place] = {}
        for name in entries + sidecars:
            place = Place(
                name=name,
                data_centre=name.split("-")[0],
                address=f"{name}:1",
                is_entry=name in entries,
            )
            self.places[place.address] = place
            self.start(name)

    def place(self, name: str) -> Place:
        return self.places[f"{name}:1"]

    def node(self, name: str) -> Node:
        node = self.place(name).node
        assert node is not None, f"{name} is down"
        return node

    def hosts(self) -> list[membership_messages.HostSeen]:
        return [
            membership_messages.HostSeen(
                name=place.name,
                role=(
                    membership_messages.HostRole.ENTRY
                    if place.is_entry
                    else membership_messages.HostRole.UPSTREAM
                ),
                data_centre=place.data_centre,
                peer_address=place.address,
            )
            for place in self.places.values()
        ]

    def start(self, name: str) -> None:
        place = self.place(name)
        place.incarnation += 1
        self.hosts_down.discard(name)
        self.seen.pop(name, None)
        rng = random.Random(self.rng.random())
        call_ids = effects.CallIds()
        if not place.is_entry:
            place.node = coordination.SidecarCoordination(
                row=membership_messages.SidecarRow(
                    name=name,
                    incarnation=place.incarnation,
                    generation=1,
                    address=place.address,
                    data_centre=place.data_centre,
                    upstream=f"{name}:80",
                    kind=membership_messages.HostKind.ENGINE,
                    versions=(VERSION,),
                ),
                rng=rng,
                decode=decode,
                call_ids=call_ids,
                freshness_settings=freshness.FreshnessSettings(
                    bound_s=freshness.SIDECAR_BOUND_S,
                    serve_unconfirmed=self.serve_unconfirmed,
                ),
            )
            return
        place.node = coordination.EntryCoordination(
            name=name,
            data_centre=place.data_centre,
            address=place.address,
            incarnation=place.incarnation,
            rng=rng,
            decode=decode,
            call_ids=call_ids,
            freshness_settings=freshness.FreshnessSettings(
                serve_unconfirmed=self.serve_unconfirmed
            ),
        )

    def stop(self, name: str) -> None:
        self.place(name).node = None

    def edit(self) -> None:
        assert self.store_up
        self.revision += 1
        self.accepted.append((self.now, self.revision))
        for place, call, node in self.watches:
            if place.node is node and self.reaches_store(place):
                self.answer(place, call)
        self.watches.clear()

    def revision_at(self, at: float) -> int:
        return max(r for accepted, r in self.accepted if accepted <= at)

    def raw(self) -> bytes:
        return f"{self.revision}:{self.revision * 7}".encode()

    def reaches_store(self, place: Place) -> bool:
        cut = {place.data_centre, place.name} & self.no_store
        return self.store_up and not cut

    def is_store_down_for_all(self) -> bool:
        return not any(self.reaches_store(p) for p in self.places.values())

    def answer(self, place: Place, call: store.StoreCall) -> None:
        node = place.node
        assert node is not None
        if not self.reaches_store(place):
            outcome, objects = store.StoreOutcome.UNAVAILABLE, ()
        else:
            outcome = store.StoreOutcome.OK
            objects = (store.StoredObject(call.key, self.revision, self.raw()),)
        reply = store.StoreReply(
            call_id=call.call_id,
            outcome=outcome,
            objects=objects,
            revision=self.revision,
        )
        self.carry_out(place, node.on_store_reply(reply, now=self.now))

    def carry_out(self, place: Place, step: table_sync_events.SyncStep) -> None:
        for event in step.events:
            if isinstance(event, table_sync_events.TableFault):
                self.faults.append(event)
        for effect in step.effects:
            if isinstance(effect, effects.Send):
                self.send(place, effect)
                continue
            if isinstance(effect, effects.AskListener):
                self.ask_listener(place, effect)
                continue
            self.store_calls += 1
            waits = effect.operation is store.StoreOperation.WATCH
            current = effect.expected_version >= self.revision
            if waits and current and self.reaches_store(place):
                assert place.node is not None
                self.watches.append((place, effect, place.node))
            else:
                self.answer(place, effect)

    def send(self, place: Place, effect: effects.Send) -> None:
        for _ in range(2 if self.rng.random() < self.late / 2 else 1):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(0.0, 0.02)
            if self.rng.random() < self.late:
                delay = self.rng.uniform(0.0, 4.0)
            self.queue.append(
                (
                    self.now + delay,
                    place.data_centre,
                    effect.address,
                    effect.message,
                )
            )

    def ask_listener(self, place: Place, effect: effects.AskListener) -> None:
        """Refuses for a process that ended on a host that can be reached."""
        asked = self.places[effect.address]
        linked = self.group.get(place.data_centre, 0) == self.group.get(
            asked.data_centre, 0
        )
        is_silent = asked.node is not None or asked.name in self.hosts_down
        if is_silent or not linked or self.rng.random() < self.loss:
            return
        assert isinstance(place.node, coordination.EntryCoordination)
        place.node.on_refusal(
            events.ListenerRefused(effect.name, effect.address, effect.asked_at)
        )

    def deliver(self) -> None:
        for _ in range(200):
            due = [item for item in self.queue if item[0] <= self.now]
            if not due:
                return
            self.queue = [item for item in self.queue if item[0] > self.now]
            for _, origin, address, message in sorted(
                due, key=lambda item: item[0]
            ):
                place = self.places[address]
                linked = self.group.get(origin, 0) == self.group.get(
                    place.data_centre, 0
                )
                if place.node is None or not linked:
                    continue
                step = place.node.on_message(message, now=self.now)
                self.carry_out(place, step)
        raise AssertionError("messages do not come to rest")

    def tick(self) -> None:
        self.now += TICK_S
        self.deliver()
        for place in self.places.values():
            if place.node is not None:
                self.carry_out(place, place.node.tick(now=self.now))
        self.deliver()
        self.check()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def list_hosts(self) -> None:
        hosts = self.hosts()
        for place in self.places.values():
            if isinstance(place.node, coordination.EntryCoordination):
                place.node.on_hosts(hosts, now=self.now)

    def serves(self, name: str) -> bool:
        node = self.node(name)
        return node.freshness.verdict(now=self.now).problem is None

    def check(self) -> None:
        """Checks what must hold after every step."""
        for place in self.places.values():
            if place.node is None:
                continue
            held = place.node.sync.revision
            assert held >= self.seen.get(place.name, 0), "revision went back"
            self.seen[place.name] = held
            verdict = place.node.freshness.verdict(now=self.now)
            if verdict.problem is not None or verdict.is_unconfirmed:
                continue
            bound_s = place.node.freshness.settings.bound_s
            if verdict.in_outage:
                if self.is_store_down_for_all():
                    continue
                bound_s = PROMISE_S
            wanted = self.revision_at(self.now - bound_s)
            assert held >= wanted, (
                f"{place.name} serves revision {held}, though {wanted} was "
                f"accepted more than {bound_s} s ago ({verdict})"
            )

    def converged(self) -> bool:
        return all(
            place.node is None or place.node.sync.revision == self.revision
            for place in self.places.values()
        )


SETTLE_S = outage.RECOVERY_HOLD_S
