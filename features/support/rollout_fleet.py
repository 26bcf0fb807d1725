"""Simulates a roll-out at several routers in memory, under faults.

The routers share one store. They are notified of changes late, their writes
are refused, lost or delayed, heartbeats are lost, and one router is killed and
restarts without its state. The seed determines whether the target is good or
bad.
"""

import collections
import dataclasses
from typing import ClassVar

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import version_trial
from support import router_world

SERVICE = "pool"
DURATION_S = 12.0
STEP_S = 0.1
ENTRIES = 3
MAX_DELAY_S = 1.0


@dataclasses.dataclass
class ScheduledCall:
    """A call that is due at a point in time."""

    at: float
    call: object


class RolloutFleet:
    """Routers and the store's record of one roll-out.

    Attributes:
        outcomes: Counts of the last recorded states, over all fleets so far.
        states: The recorded states, in order.
    """

    outcomes: ClassVar[collections.Counter] = collections.Counter()

    def __init__(self, *, rng):
        self.rng = rng
        self.target_is_bad = rng.random() < 0.5
        self.has_faults = rng.random() < 0.7
        self.now = 100.0
        self.scheduled = []
        self.record = version_trial.RolloutOrder(
            service=SERVICE,
            target="v2",
            duration_s=DURATION_S,
            state=version_trial.OrderState.ORDERED,
            revision=50,
            created_revision=50,
        )
        self.states = [self.record.state]
        self.worlds = {}
        self.addresses = {}
        for number in range(ENTRIES):
            self.start_entry(number)

    def start_entry(self, number):
        name = f"entry-{number}"
        world = router_world.World(seed=self.rng.randrange(1 << 30), name=name)
        world.now = self.now
        world.start(0)
        world.list_upstreams(
            *(router_world.build_upstream(n) for n in range(2)),
            *(router_world.build_upstream(10 + n, "v2") for n in range(2)),
        )
        world.apply(events.RolloutChanged(self.record))
        self.worlds[name] = world
        self.addresses[world.state.settings.peer_address] = name

    def run(self, duration_s):
        end = self.now + duration_s
        kill_at = self.now + self.rng.uniform(2.0, duration_s)
        killed = None
        while self.now < end:
            self.now += STEP_S
            for each in [x for x in self.scheduled if x.at <= self.now]:
                self.scheduled.remove(each)
                each.call()
            if self.has_faults and killed is None and self.now >= kill_at:
                killed = self.rng.randrange(ENTRIES)
                del self.worlds[f"entry-{killed}"]
                self.schedule(2.0, lambda n=killed: self.start_entry(n))
            for world in list(self.worlds.values()):
                self.step(world)

    def schedule(self, delay_s, call):
        self.scheduled.append(ScheduledCall(self.now + delay_s, call))

    def step(self, world):
        world.now = self.now
        world.configure(world.state.active_configuration)
        begun = len(world.effects)
        world.apply(core_events.Ticked())
        for _ in range(3):
            self.send_request(world)
        new_effects, world.effects = (
            world.effects[begun:],
            world.effects[:begun],
        )
        for effect in new_effects:
            if isinstance(effect, core_effects.Send):
                self.deliver_heartbeat(effect)
            elif isinstance(effect, effects.RecordRollout):
                self.schedule_write(effect)

    def send_request(self, world):
        """Sends a request that is answered at once."""
        key = f"k{self.rng.randrange(1 << 30)}"
        request = world.ask(
            "chat", generation=router_world.build_generation(key, 1000)
        )
        while request in world.state.open_requests:
            sending = world.sent(request)[-1]
            on_target = int(sending.upstream_id.removeprefix("up-")) >= 10
            if on_target and self.target_is_bad and self.rng.random() < 0.5:
                world.answer_whole(request, 500)
            else:
                world.head(request, confidence=90)
                world.stream(request, 1, 2)
                world.end(request)

    def deliver_heartbeat(self, effect):
        name = self.addresses.get(effect.address)
        if self.has_faults and self.rng.random() < 0.2:
            return
        world = self.worlds.get(name)
        if world is not None:
            world.apply(core_events.MessageReceived(effect.message))

    def schedule_write(self, effect):
        """Schedules a conditional write, which may be lost or delayed."""
        fault = self.rng.random() if self.has_faults else 1.0
        if fault < 0.15:
            return
        delay_s = self.rng.uniform(0.0, MAX_DELAY_S) if fault < 0.5 else 0.0
        self.schedule(delay_s, lambda: self.write_record(effect))

    def write_record(self, effect):
        if effect.order.revision != self.record.revision:
            return
        self.record = dataclasses.replace(
            self.record,
            state=effect.state,
            revision=self.record.revision + 1,
        )
        self.states.append(effect.state)
        for name in self.worlds:
            delay_s = 0.01
            if self.has_faults:
                delay_s = self.rng.uniform(0.0, MAX_DELAY_S)
            record = self.record
            self.schedule(delay_s, lambda n=name, r=record: self.notify(n, r))

    def notify(self, name, record):
        world = self.worlds.get(name)
        if world is not None:
            world.now = self.now
            world.apply(events.RolloutChanged(record))

    def check(self):
        final = [
            state
            for state in self.states
            if state in version_trial.FINAL_STATES
        ]
        assert len(final) <= 1, self.states
        assert not final or self.states[-1] is final[0], self.states
        if self.target_is_bad:
            completed = version_trial.OrderState.COMPLETED
            assert completed not in self.states, self.states
        type(self).outcomes[self.states[-1].value] += 1
