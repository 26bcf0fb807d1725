"""Simulation of the routers of one data centre while others are evacuated.

Adds to `relay_fleet` the kind that holds evacuations, and checks that each
router knows them within its bound.
"""

from rhubarbbank_router import evacuations
from rhubarbbank_router import events
from rhubarbbank_router import store_position
from support import relay_fleet

BOUND_S = 5.0
DATA_CENTRES = ("west-b", "west-c")


class EvacuationFleet(relay_fleet.RelayFleet):
    """Entries that share one store in which evacuations begin and end.

    Attributes:
        wanted: What the operators asked for last, and when, by data centre.
        evacuated: The data centres that the store has as evacuated.
        changed: Changes of these, by position.
        copies: What the store had at each revision.
        watches: The position from which a node watches, when the watch began
            and when it was last seen, by the node's name.
        restored_at: When the store was last restored.
        checked: Number of checks that an evacuation was in force.
    """

    bounds = relay_fleet.BOUNDS | {"evac_ms": BOUND_S * 1000}

    def __init__(self, **options):
        self.wanted = {}
        self.evacuated = set()
        self.changed = []
        self.copies = {}
        self.watches = {}
        self.restored_at = 0.0
        self.checked = 0
        super().__init__(**options)

    def change(self):
        super().change()
        if self.change_rng.random() < 0.4:
            name = self.change_rng.choice(DATA_CENTRES)
            is_wanted = not self.wanted.get(name, (False, 0.0))[0]
            self.wanted[name] = (is_wanted, self.now)
            self.write(name, is_wanted)
            self.back_up()

    def write(self, name, is_wanted):
        self.revision += 1
        (self.evacuated.add if is_wanted else self.evacuated.discard)(name)
        self.changed.append((self.position, name, is_wanted))

    def back_up(self):
        super().back_up()
        self.copies[self.revision] = set(self.evacuated)

    def restore(self):
        copies = dict(self.copies)
        super().restore()
        self.restored_at = self.now
        self.evacuated = copies[self.revision]
        self.changed.clear()
        self.back_up()

    def repeat_lost_writes(self):
        for name, (is_wanted, _) in self.wanted.items():
            if (name in self.evacuated) != is_wanted:
                self.write(name, is_wanted)
        super().repeat_lost_writes()

    def list_all(self, node):
        super().list_all(node)
        self.list_evacuations(node)

    def list_evacuations(self, node):
        self.calls += 1
        name = node.world.state.settings.name
        self.watches[name] = (self.position, self.now, self.now)
        listed = tuple(
            evacuations.Evacuation(data_centre=each, position=self.position)
            for each in sorted(self.evacuated)
        )
        node.world.apply(
            events.EvacuationsListed(
                listed, position=self.position, asked_at=self.now
            )
        )

    def watch(self, node):
        super().watch(node)
        name = node.world.state.settings.name
        position, began_at, seen_at = self.watches.get(
            name, (store_position.START, 0.0, 0.0)
        )
        is_lost = position.era < self.position.era
        if is_lost or self.now - seen_at > 2 * relay_fleet.STEP_S:
            self.list_evacuations(node)
            return
        self.watches[name] = (position, began_at, self.now)
        found = [x for x in self.changed if x[0] > position]
        elapsed_s = self.now - began_at
        if not found and elapsed_s < 2 * relay_fleet.WATCH_TIMEOUT_S:
            return
        self.calls += 1
        for at, data_centre, is_wanted in found:
            node.world.apply(
                events.EvacuationChanged(
                    evacuations.Evacuation(data_centre=data_centre, position=at)
                )
                if is_wanted
                else events.EvacuationRemoved(data_centre)
            )
        node.world.apply(
            events.EvacuationsConfirmed(
                position=self.position,
                current_at=began_at if found else self.now,
            )
        )
        self.watches[name] = (self.position, self.now, self.now)

    def check(self, node):
        super().check(node)
        well_since = max(
            node.partitioned_until, node.suspended_until, node.started_at
        )
        if self.now - well_since < BOUND_S:
            return
        for name, (is_wanted, at) in self.wanted.items():
            if self.now - at < BOUND_S:
                continue
            self.checked += is_wanted
            known = node.world.state.evacuations.is_evacuated(name)
            may_be_back = self.now - self.restored_at < BOUND_S
            if known != is_wanted and (is_wanted or not may_be_back):
                self.report(
                    node.world.state.settings.name,
                    f"evacuation of {name}: {is_wanted} for "
                    f"{self.now - at:.2f} s, known {known}",
                )
