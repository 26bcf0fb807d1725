"""Entries under load, and upstreams that name rate limits in their answers.

Counts what a limited upstream gets within any WINDOW_S, from entries that it
has told of its limit. Entries may be killed, added or isolated meanwhile.
"""

import collections
import dataclasses
import heapq

from rhubarbbank_router import effects
from rhubarbbank_router import events
from support import heartbeat_fleet
from support import router_world

WINDOW_S = 4.0
# An upstream's limit holds for an entry this long after it passed on an answer
# that names it, and for all this long after it was first named.
TOLD_S = 0.5
STABLE_S = 4.0
# Share by which the entries together may exceed the limit, and requests beyond.
EXCESS_SHARE = 0.5
EXCESS_REQUESTS = 5
READ_PERIOD_S = 1.0
# The share of answers that fail, or that ask for a larger model.
FAILURE_RATE = 0.15
STEP_UP_RATE = 0.3
# Longer pauses are of no use to callers.
MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """An attempt that reached an upstream."""

    at: float
    entry: str
    upstream: str


@dataclasses.dataclass(order=True)
class PendingAnswer:
    """An answer that an upstream is about to give."""

    at: float
    number: int
    world: router_world.World = dataclasses.field(compare=False)
    effect: effects.SendAttempt = dataclasses.field(compare=False)


class LimitFleet(heartbeat_fleet.HeartbeatFleet):
    """Entries, their upstreams, and callers.

    Attributes:
        listed: Upstreams by id.
        limits: The rates that upstreams name now, by id.
        first_named_at: When an upstream first named its limit, by id.
        told_at: When an entry first passed on such an answer, by entry and
            upstream.
        excused_until: Until when an entry's requests don't count, by name.
        arrivals: All attempts, oldest first.
        demand_per_s: Requests a second of all callers together.
        busy_data_centre: The only data centre with callers; "" for all.
        refusals: The effects that refused requests.
        asked: Number of requests.
    """

    def __init__(self, *, upstreams=6, demand_per_s=60.0, **given):
        data_centres = given["data_centres"]
        self.listed = {
            f"up-{n}": router_world.build_upstream(
                n, started_ms=1, data_centre=f"west-{n % data_centres}"
            )
            for n in range(upstreams)
        }
        self.limits = {}
        self.first_named_at = {}
        self.told_at = {}
        self.excused_until = {}
        self.arrivals = []
        self.pending = []
        self.demand_per_s = demand_per_s
        self.busy_data_centre = ""
        self.refusals = []
        self.asked = 0
        self.next_request_at = 0.0
        self.next_read_at = collections.defaultdict(float)
        super().__init__(**given)

    # Entries.

    def add_entry(self, number, data_centre):
        super().add_entry(number, data_centre)
        name = f"entry-{number}"
        world = self.worlds[name]
        world.state.incarnation = int(self.now * 1000) + number
        world.list_upstreams(*self.listed.values())
        self.excuse(name)

    def excuse(self, name):
        """Excuses an entry, as after a restart or a cut."""
        self.excused_until[name] = self.now + STABLE_S
        for key in [x for x in self.told_at if x[0] == name]:
            del self.told_at[key]

    def replace(self, name):
        settings = self.worlds[name].state.settings
        number = int(name.rpartition("-")[2])
        self.add_entry(number, settings.data_centre)
        self.register_entries()

    def add(self, data_centre):
        """Adds an entry that the others don't know yet."""
        self.add_entry(len(self.worlds), data_centre)
        self.register_entries()

    # Time.

    def run(self, duration_s, *, measure_age=False):
        end = self.now + duration_s
        while self.now < end:
            self.read_configurations()
            while self.pending and self.pending[0].at <= self.now:
                self.answer(heapq.heappop(self.pending))
            self.send_requests()
            super().run(heartbeat_fleet.STEP_S, measure_age=measure_age)

    def read_configurations(self):
        for name, world in self.worlds.items():
            if self.now >= self.next_read_at[name]:
                self.next_read_at[name] = self.now + READ_PERIOD_S
                world.now = self.now
                world.configure()

    def send_requests(self):
        """Sends the callers' requests that are due."""
        self.next_request_at = max(self.next_request_at, self.now - 1.0)
        while self.demand_per_s and self.next_request_at <= self.now:
            self.next_request_at += self.rng.expovariate(self.demand_per_s)
            self.ask(self.rng.choice(["look", "note", "chat"]))

    def ask(self, route):
        names = [
            name
            for name, world in self.worlds.items()
            if self.busy_data_centre in ("", world.state.settings.data_centre)
        ]
        world = self.worlds[self.rng.choice(names)]
        world.now = self.now
        self.asked += 1
        world.ask(route, session=f"s{self.rng.randrange(50)}", timeout_s=5.0)
        self.send(world)

    def send(self, world):
        for effect in world.effects:
            if isinstance(effect, effects.RefuseRequest):
                self.refusals.append(effect)
            if isinstance(effect, effects.SendAttempt):
                self.accept(world, effect)
        super().send(world)

    # Upstreams.

    def name_limit(self, upstream, rate_per_s):
        self.limits[upstream] = rate_per_s
        self.first_named_at.setdefault(upstream, self.now)

    def accept(self, world, effect):
        name = world.state.settings.name
        self.arrivals.append(Arrival(self.now, name, effect.upstream_id))
        answer = PendingAnswer(
            self.now + self.rng.uniform(0.02, 0.4),
            len(self.arrivals),
            world,
            effect,
        )
        heapq.heappush(self.pending, answer)

    def answer(self, pending):
        """Answers an attempt, unless its entry has been replaced."""
        world, effect = pending.world, pending.effect
        name = world.state.settings.name
        if self.worlds.get(name) is not world:
            return
        world.now = self.now
        limit = self.limits.get(effect.upstream_id)
        if limit is not None:
            key = (name, effect.upstream_id)
            self.told_at.setdefault(key, self.now)
        request_id, number = effect.request_id, effect.attempt
        fails = self.rng.random() < FAILURE_RATE
        is_unsure = effect.model == "small" and (
            self.rng.random() < STEP_UP_RATE
        )
        world.apply(
            events.UpstreamHead(
                request_id=request_id,
                attempt=number,
                status=500 if fails else 200,
                headers=router_world.HEADERS,
                confidence=10 if is_unsure else 90,
                limit_per_s=limit,
            )
        )
        data = router_world.build_event(1) if effect.streamed else b"body"
        world.apply(events.UpstreamData(request_id, number, data))
        world.apply(
            events.UpstreamEnded(
                request_id=request_id,
                attempt=number,
                end=events.AttemptEnd.COMPLETE,
            )
        )
        self.send(world)

    # The checked conditions.

    def counts(self, arrival):
        """Returns whether an arrival counts towards its upstream's limit."""
        told_at = self.told_at.get((arrival.entry, arrival.upstream))
        first_named_at = self.first_named_at.get(arrival.upstream)
        return (
            told_at is not None
            and first_named_at is not None
            and arrival.at >= told_at + TOLD_S
            and arrival.at >= first_named_at + STABLE_S
            and arrival.at >= self.excused_until[arrival.entry]
        )

    def list_counted(self, upstream):
        """Returns the times of the arrivals that count, oldest first."""
        return [
            x.at
            for x in self.arrivals
            if x.upstream == upstream and self.counts(x)
        ]

    def find_most(self, upstream):
        """Returns the most arrivals that count within any WINDOW_S."""
        window = collections.deque()
        most = 0
        for at in self.list_counted(upstream):
            window.append(at)
            while window[0] < at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most

    def compute_allowed(self, upstream):
        allowed = WINDOW_S * self.limits[upstream]
        return (1.0 + EXCESS_SHARE) * allowed + EXCESS_REQUESTS
