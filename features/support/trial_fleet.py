"""Simulates roll-outs in memory on upstreams whose answers depend on load.

Several routers share an order and send each other heartbeats, some of which are
lost. Each upstream takes longer the more requests it runs at a time. A bad
version fails at once, late, under load, on one route, or is slow on some
requests. The traffic has bursts, and upstreams crash.
"""

import dataclasses
import enum
import heapq
import itertools

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import configuration
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import peers
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial
from support import router_world

SERVICE = "pool"
TARGET = "v2"
STEP_S = 0.1
ORDER_AT_S = 6.0
DURATION_S = 16.0
LATE_S = 3.0
SLOTS = 16
# Requests that each upstream runs at a time under the usual traffic.
MEAN_RUNNING = 4.0
# A version that is bad under load is so from this many running requests on.
LOADED_RUNNING = 3
MEAN_S = 0.3
EVENTS = 8
HEARTBEAT_LOSS = 0.1
BURST_FACTOR = 1.7
DISRUPTION_S = 3.0
BAD_SHARE = 0.5
SLOW_TIMES = 8.0
# What a bad version may get of all requests between order and deadline.
MAX_SHARE = 0.15
SLACK = 30.0


class Kind(enum.StrEnum):
    """What is wrong with the new version."""

    GOOD = "good"
    AT_ONCE = "at once"
    LATE = "late"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "one route"
    SLOW = "slow"


@dataclasses.dataclass(kw_only=True)
class Upstream:
    """An upstream that runs requests.

    Attributes:
        listed: Its entry in the list.
        running: The requests in progress, as router, request and attempt;
            a dict, so that histories don't depend on the order of a set.
        is_down: Whether it has crashed, and isn't back yet.
    """

    listed: upstreams.Upstream
    running: dict = dataclasses.field(default_factory=dict)
    is_down: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Period:
    """A disruption's begin and end, in seconds of the history."""

    begin_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a roll-out went.

    Attributes:
        kind: What was wrong with the version.
        states: The recorded states.
        target_requests: Requests that the target got in time.
        all_requests: Requests of the service in that time.
    """

    kind: Kind
    states: tuple
    target_requests: int
    all_requests: int

    @property
    def is_exposed(self):
        return self.target_requests > MAX_SHARE * self.all_requests + SLACK

    @property
    def is_held(self):
        return version_trial.OrderState.ROLLED_BACK in self.states

    @property
    def is_completed(self):
        return version_trial.OrderState.COMPLETED in self.states


def describe(outcomes):
    """Returns the counts of a kind's outcomes in one line."""
    shares = [x.target_requests / max(1, x.all_requests) for x in outcomes]
    parts = [
        f"{outcomes[0].kind.value}: {len(outcomes)} roll-outs",
        f"{sum(x.is_held for x in outcomes)} held",
        f"{sum(x.is_completed for x in outcomes)} completed",
        f"the target's share {sum(shares) / len(shares):.3f} on average",
    ]
    if outcomes[0].kind is not Kind.GOOD:
        exposed = sum(x.is_exposed for x in outcomes)
        parts.append(f"{exposed} over the bound on exposure")
    return ", ".join(parts)


class TrialFleet:
    """Routers, upstreams of two versions, and one roll-out.

    Attributes:
        rng: Decides everything that differs between histories.
        kind: What is wrong with the target.
        is_plain: Whether the service has no models, and its answers no events.
        rate: Usual requests a second, at all routers together.
        target_requests: Requests that the target has got.
        all_requests: Requests since the order.
        worlds: The routers.
        burst: When there are more requests than usual, or None.
        crash: When an upstream is absent, or None.
        upstreams: The upstreams, by id.
        record: The order, as the store has it.
        states: The recorded states, oldest first.
    """

    def __init__(self, *, rng, kind, entries, is_plain):
        self.rng = rng
        self.kind = kind
        self.is_plain = is_plain
        self.now = 0.0
        self.sequence = itertools.count()
        self.scheduled = []
        self.sendings = {}
        self.target_requests = 0
        self.all_requests = 0
        count = 3 if is_plain else max(3, entries)
        self.rate = count * MEAN_RUNNING / MEAN_S
        self.upstreams = {}
        for number in range(count):
            self.add_upstream(number, "v1")
        self.record = version_trial.RolloutOrder(
            service=SERVICE,
            target=TARGET,
            duration_s=DURATION_S,
            state=version_trial.OrderState.ORDERED,
            revision=50,
            created_revision=50,
        )
        self.states = []
        self.worlds = [self.build_world(number) for number in range(entries)]
        self.addresses = {x.state.settings.peer_address: x for x in self.worlds}
        self.burst = self.draw_period(0.5, ORDER_AT_S)
        self.crash = self.draw_period(0.3, ORDER_AT_S + 1.0)

    def draw_period(self, likelihood, earliest_s):
        """Returns when a disruption is, or None if there is none."""
        begin_s = self.rng.uniform(earliest_s, ORDER_AT_S + DURATION_S)
        if self.rng.random() >= likelihood:
            return None
        return Period(begin_s=begin_s, end_s=begin_s + DISRUPTION_S)

    def add_upstream(self, number, version):
        listed = router_world.build_upstream(number, version, slots=SLOTS)
        self.upstreams[listed.upstream_id] = Upstream(listed=listed)
        return listed

    def build_world(self, number):
        world = router_world.World(
            seed=self.rng.randrange(1 << 30), name=f"entry-{number}"
        )
        world.now = self.now
        world.start(0)
        world.list_upstreams(*(x.listed for x in self.upstreams.values()))
        self.configure(world)
        return world

    def configure(self, world):
        services = {}
        if self.is_plain:
            services[SERVICE] = configuration.Service(
                name=SERVICE, max_connections=99
            )
        found = dataclasses.replace(
            router_world.build_configuration(), services=services
        )
        world.configure(found)

    def schedule(self, delay_s, call, *arguments):
        entry = (self.now + delay_s, next(self.sequence), call, arguments)
        heapq.heappush(self.scheduled, entry)

    def run(self):
        """Runs the history; returns how it went."""
        listed = tuple(
            peers.PeerAddress(
                name=x.state.settings.name,
                address=x.state.settings.peer_address,
            )
            for x in self.worlds
        )
        for world in self.worlds:
            world.apply(events.EntriesListed(listed))
        self.schedule(ORDER_AT_S, self.give_order)
        if self.crash is not None:
            self.schedule(self.crash.begin_s, self.crash_upstream)
        self.schedule_request()
        end = ORDER_AT_S + DURATION_S
        while self.now < end:
            until = self.now + STEP_S
            while self.scheduled and self.scheduled[0][0] <= until:
                self.now, _, call, arguments = heapq.heappop(self.scheduled)
                call(*arguments)
            self.now = until
            for world in self.worlds:
                self.apply(world, core_events.Ticked())
                world.now = self.now
                self.configure(world)
                self.carry_out(world)
        return Outcome(
            kind=self.kind,
            states=tuple(self.states),
            target_requests=self.target_requests,
            all_requests=self.all_requests,
        )

    def give_order(self):
        old = sum(x.listed.version == "v1" for x in self.upstreams.values())
        for number in range(old):
            listed = self.add_upstream(1000 + number, TARGET)
            for world in self.worlds:
                self.apply(world, events.UpstreamChanged(listed))
        self.tell_order()

    def tell_order(self):
        for world in self.worlds:
            self.schedule(
                self.rng.uniform(0.0, 0.3),
                self.apply,
                world,
                events.RolloutChanged(self.record),
            )

    def crash_upstream(self):
        """An upstream ends with its requests, and is back later."""
        crashed = self.rng.choice(list(self.upstreams.values()))
        crashed.is_down = True
        for world, request, attempt in list(crashed.running):
            self.end(world, request, attempt, "broken")
        self.schedule(DISRUPTION_S, self.restore, crashed)

    def restore(self, crashed):
        crashed.is_down = False

    def schedule_request(self):
        rate = self.rate
        burst = self.burst
        if burst is not None and burst.begin_s <= self.now < burst.end_s:
            rate *= BURST_FACTOR
        self.schedule(self.rng.expovariate(rate), self.send_request)

    def send_request(self):
        self.schedule_request()
        world = self.rng.choice(self.worlds)
        world.now = self.now
        begun = self.now >= ORDER_AT_S
        self.all_requests += begun
        if self.is_plain:
            world.ask(self.rng.choice(("look", "open")))
        else:
            key = f"k{self.rng.randrange(1 << 30)}"
            world.ask(
                self.rng.choice(("chat", "note")),
                generation=router_world.build_generation(key, 100),
            )
        self.carry_out(world)

    def apply(self, world, event):
        world.now = self.now
        world.apply(event)
        self.carry_out(world)

    def carry_out(self, world):
        """Carries out the effects that a router has just returned."""
        done, world.effects = world.effects, []
        for effect in done:
            if isinstance(effect, effects.SendAttempt):
                self.begin(world, effect)
            elif isinstance(effect, effects.CancelAttempt):
                self.forget(world, effect.request_id, effect.attempt)
            elif isinstance(effect, core_effects.Send):
                self.send_message(effect)
            elif isinstance(effect, effects.RecordRollout):
                self.schedule(self.rng.uniform(0.0, 0.2), self.write, effect)

    def send_message(self, effect):
        peer = self.addresses.get(effect.address)
        if peer is None or self.rng.random() < HEARTBEAT_LOSS:
            return
        self.schedule(
            self.rng.uniform(0.0, 0.05),
            self.apply,
            peer,
            core_events.MessageReceived(effect.message),
        )

    def write(self, effect):
        if effect.order.revision != self.record.revision:
            return
        self.record = dataclasses.replace(
            self.record, state=effect.state, revision=self.record.revision + 1
        )
        self.states.append(effect.state)
        self.tell_order()

    def begin(self, world, sending):
        """An upstream begins to run a request."""
        upstream = self.upstreams[sending.upstream_id]
        key = (world, sending.request_id, sending.attempt)
        self.sendings[key] = sending
        if upstream.is_down:
            self.schedule(0.02, self.end, *key, "broken")
            return
        upstream.running[key] = sending
        level = len(upstream.running)
        on_target = upstream.listed.version == TARGET
        self.target_requests += on_target
        took_s = MEAN_S * self.rng.uniform(0.7, 1.3)
        took_s *= 1.0 + max(0.0, level / SLOTS - 0.5)
        bad = on_target and self.is_bad(sending, level)
        if bad and self.kind is Kind.SLOW:
            took_s *= SLOW_TIMES
        failed = bad and self.kind is not Kind.SLOW
        if not (self.is_plain or failed):
            self.schedule(0.1 * took_s, self.start_stream, *key)
        self.schedule(took_s, self.finish, *key, failed)

    def is_bad(self, sending, level):
        """Returns whether the target does badly on a request."""
        if self.kind is Kind.GOOD or self.rng.random() >= BAD_SHARE:
            return False
        if self.kind is Kind.LATE:
            return self.now >= ORDER_AT_S + LATE_S
        if self.kind is Kind.UNDER_LOAD:
            return level >= LOADED_RUNNING
        if self.kind is Kind.ONE_ROUTE:
            return sending.target.startswith(("/look", "/note"))
        return True

    def read_load(self, sending):
        running = len(self.upstreams[sending.upstream_id].running)
        return upstreams.LoadReport(
            running=min(running, SLOTS),
            waiting=max(0, running - SLOTS),
            slots=SLOTS,
        )

    def head(self, key, status=200):
        world, request, attempt = key
        self.apply(
            world,
            events.UpstreamHead(
                request_id=request,
                attempt=attempt,
                status=status,
                headers=router_world.HEADERS,
                confidence=90,
                load=self.read_load(self.sendings[key]),
            ),
        )

    def data(self, key, data):
        world, request, attempt = key
        self.apply(world, events.UpstreamData(request, attempt, data))

    def start_stream(self, *key):
        if key in self.sendings:
            self.head(key)
            self.data(key, router_world.build_event(1))

    def finish(self, world, request, attempt, failed):
        key = (world, request, attempt)
        if key not in self.sendings:
            return
        if failed or self.is_plain:
            self.head(key, 500 if failed else 200)
            self.data(key, b"body")
        else:
            for number in range(2, EVENTS + 1):
                self.data(key, router_world.build_event(number))
        self.end(*key, "complete")

    def end(self, world, request, attempt, how):
        if (world, request, attempt) not in self.sendings:
            return
        self.forget(world, request, attempt)
        self.apply(
            world,
            events.UpstreamEnded(
                request_id=request,
                attempt=attempt,
                end=events.AttemptEnd(how),
                detail="test",
            ),
        )

    def forget(self, world, request, attempt):
        key = (world, request, attempt)
        sending = self.sendings.pop(key, None)
        if sending is not None:
            self.upstreams[sending.upstream_id].running.pop(key, None)
