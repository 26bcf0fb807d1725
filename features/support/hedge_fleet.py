"""Entries that hedge, upstreams with a tail of slow answers, and callers."""

import collections
import heapq
import itertools
import random

import msgspec

from rhubarbbank_core import events as core_events
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import options
from rhubarbbank_router import upstreams
from support import router_world

WORK_S = 0.1
SLOW_FACTOR = 8.0
UPSTREAMS = 6
SLOTS = 8
WARM_UP_S = 25.0


def build_world(number, seed, max_share, policy=None, **bounds):
    world = router_world.World(seed=seed, name=f"entry-{number}", **bounds)
    hedging = max_share and options.HedgingSettings(max_share=max_share)
    settings = msgspec.structs.replace(world.state.settings, hedging=hedging)
    world.router.apply_settings(settings)
    if policy is not None:
        world.state.hedger = policy
    return world


def learn_times(world, usual_s=0.06):
    """Makes the usual times known, and earns hedges."""
    state = world.state
    share = state.settings.hedging.max_share
    for key in (("look", ""), ("book", ""), ("note", ""), ("chat", "small")):
        for _ in range(100):
            state.usual_times.record(
                key, usual_s, max_share=share, censored=False, now=world.now
            )
    for _ in range(100):
        state.budget.count_request("pool", now=world.now)
        state.hedge_counts.count_request(
            "pool", max_share=share, window_s=10.0, now=world.now
        )


class HedgeFleet:
    """Plays callers' requests that may be repeated, in simulated time.

    Attributes:
        is_slow: Whether a run is slow, from the generator, the upstream and
            the time.
        rate: Requests a second, from the time.
        asked: When each request came, by id.
        took: Seconds until the answer, by id.
        hedged_at: When each hedge was sent.
        work_s: Seconds for which upstreams ran requests.
        running: Runs by upstream: their keys.
    """

    def __init__(self, *, entries, max_share, is_slow, rate, policy=None):
        self.rng = random.Random(7)
        self.callers_rng = random.Random(8)
        self.now = 100.0
        self.worlds = [
            build_world(n, n + 1, max_share, policy) for n in range(entries)
        ]
        for world in self.worlds:
            world.start(UPSTREAMS)
        self.is_slow, self.rate, self.max_share = is_slow, rate, max_share or 0
        self.asked, self.took, self.hedged_at = {}, {}, []
        self.work_s, self.open_runs = 0.0, set()
        self.queues = collections.defaultdict(collections.deque)
        self.running = collections.defaultdict(dict)
        self.due, self.numbers = [], itertools.count()

    def run(self, duration_s):
        end = self.now + duration_s
        next_tick = self.now
        while self.now < end:
            while self.due and self.due[0][0] <= next_tick:
                self.now, _, act = heapq.heappop(self.due)
                act()
            self.now = next_tick
            for world in self.worlds:
                world.now = self.now
                if int(self.now) != int(self.now - defaults.TICK_S):
                    world.configure()
                world.apply(core_events.Ticked())
                self.carry_out(world)
            self.schedule_requests()
            next_tick += defaults.TICK_S
        return self

    def schedule_requests(self):
        expected = self.rate(self.now) * defaults.TICK_S
        for _ in range(int(expected + self.callers_rng.random())):
            world = self.callers_rng.choice(self.worlds)
            self.at(
                self.callers_rng.random() * defaults.TICK_S, self.ask, world
            )

    def at(self, delay_s, act, *given):
        entry = (self.now + delay_s, next(self.numbers), lambda: act(*given))
        heapq.heappush(self.due, entry)

    def ask(self, world):
        world.now = self.now
        key = (world, f"r{world.request_count + 1}")
        self.asked[key] = self.now
        world.ask("look", timeout_s=5.0)
        self.carry_out(world)

    def carry_out(self, world):
        todo, world.effects = world.effects, []
        for effect in todo:
            match effect:
                case effects.SendAttempt():
                    self.begin(world, effect)
                case effects.CancelAttempt(request_id, attempt):
                    self.leave(world, request_id, attempt)
                case effects.RelayAnswer() | effects.RefuseRequest():
                    self.finish(world, effect)

    def finish(self, world, effect):
        key = (world, effect.request_id)
        assert key not in self.took, "answered twice"
        is_answer = isinstance(effect, effects.RelayAnswer)
        self.took[key] = self.now - self.asked[key] if is_answer else 9.0

    # Upstreams.

    def begin(self, world, effect):
        run = (world, effect.request_id, effect.attempt)
        opened = world.state.open_requests[effect.request_id]
        if opened.attempts[effect.attempt - 1].is_hedge:
            self.hedged_at.append(self.now)
            self.check_share()
        self.open_runs.add(run)
        self.queues[effect.upstream_id].append(run)
        self.start_queued(effect.upstream_id)

    def start_queued(self, name):
        while self.queues[name] and len(self.running[name]) < SLOTS:
            run = self.queues[name].popleft()
            self.running[name][run] = self.now
            slow = self.is_slow(self.rng, name, self.now)
            work_s = WORK_S * self.rng.uniform(0.8, 1.2)
            work_s *= SLOW_FACTOR if slow else 1.0
            self.at(work_s, self.answer, name, run)

    def answer(self, name, run):
        if run not in self.running[name]:
            return
        self.stop_run(name, run)
        world, request_id, attempt = run
        world.now = self.now
        load = upstreams.LoadReport(
            running=len(self.running[name]),
            waiting=len(self.queues[name]),
            slots=SLOTS,
        )
        fields = {"request_id": request_id, "attempt": attempt}
        for event in (
            events.UpstreamHead(**fields, status=200, load=load),
            events.UpstreamData(**fields, data=b"body"),
            events.UpstreamEnded(**fields, end=events.AttemptEnd.COMPLETE),
        ):
            world.apply(event)
        self.carry_out(world)

    def leave(self, world, request_id, attempt):
        run = (world, request_id, attempt)
        for name in list(self.running):
            if run in self.running[name]:
                self.stop_run(name, run)
            elif run in self.queues[name]:
                self.queues[name].remove(run)
        self.open_runs.discard(run)

    def stop_run(self, name, run):
        self.work_s += self.now - self.running[name].pop(run)
        self.open_runs.discard(run)
        self.start_queued(name)

    # What is checked.

    def check_share(self):
        most = self.max_share * len(self.asked)
        assert len(self.hedged_at) <= most, (len(self.hedged_at), most)

    def check_ends(self):
        """Checks that all are answered, and that nothing is left running."""
        assert len(self.took) == len(self.asked)
        assert not self.open_runs, self.open_runs
        for world in self.worlds:
            assert not world.state.open_requests
            for tracked in world.state.view.tracked.values():
                assert not tracked.attempts, tracked

    def percentile(self, share):
        """Returns a percentile of the times after the warm-up."""
        since = 100.0 + WARM_UP_S
        times = sorted(
            took for key, took in self.took.items() if self.asked[key] >= since
        )
        return times[int(share * len(times))]
