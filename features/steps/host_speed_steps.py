"""Steps for load reports that state the speed of an upstream's host."""

import dataclasses
import heapq
import random
import statistics

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_platform import headers
from rhubarbbank_router import events
from rhubarbbank_router import host_speed
from rhubarbbank_router import upstreams

SLOTS = 6
WORK_S = 0.0225
OBJECTIVE_S = 0.12
USUAL_S = 0.06
SPEED_PERIOD_S = 0.6
SLOWDOWNS = (1.0, 1.0, 1.0, 3.0, 6.0)
BASELINES = {
    "ignores the speed": host_speed.IgnoredSlowdown(),
    "trusts each report": host_speed.LastSlowdown(),
}
PLAIN_ROUTE = router_world.build_route(
    "look", "idempotent", max_attempts=2, target_latency_s=OBJECTIVE_S
)


@dataclasses.dataclass(kw_only=True)
class UnevenHosts:
    """Upstreams whose hosts change their speed together with the period."""

    count: int
    states_slowdown: bool
    seed: int

    def find_slowdown(self, upstream, now):
        period = int(now / SPEED_PERIOD_S)
        rng = random.Random(f"{self.seed}/{upstream}/{period}")
        return rng.choice(SLOWDOWNS)

    def report(self, upstream, now):
        return upstreams.LoadReport(
            running=1,
            waiting=0,
            slots=SLOTS,
            slowdown=self.find_slowdown(upstream, now)
            if self.states_slowdown
            else 1.0,
            states_slowdown=self.states_slowdown,
        )


def play(hosts, estimate, *, duration_s, rate_per_s=60.0):
    """Plays plain requests; returns their waits and upstreams, in order."""
    world = router_world.World()
    world.state.slowdowns = estimate
    world.start(hosts.count)
    found = router_world.build_configuration(revision=2, routes=(PLAIN_ROUTE,))
    rng = random.Random(hosts.seed)
    free = {f"up-{x}": [0.0] * SLOTS for x in range(hosts.count)}
    waits, chosen, pending = [], [], []
    arrival, end = world.now, world.now + duration_s
    while arrival < end:
        arrival += rng.expovariate(rate_per_s)
        while pending and pending[0][0] <= arrival:
            world.now, request, upstream, sent_at = heapq.heappop(pending)
            answer(world, request, hosts.report(upstream, world.now))
            waits.append(world.now - sent_at)
        world.now = arrival
        world.configure(found)
        world.effects.clear()
        request = world.ask("look")
        upstream = world.sent(request)[0].upstream_id
        chosen.append(upstream)
        begin = max(arrival, heapq.heappop(free[upstream]))
        done = begin + WORK_S * hosts.find_slowdown(upstream, begin)
        heapq.heappush(free[upstream], done)
        heapq.heappush(pending, (done, request, upstream, arrival))
    return waits, chosen


def answer(world, request, load):
    """Answers a request's first attempt."""
    head = events.UpstreamHead(
        request_id=request, attempt=1, status=200, load=load
    )
    world.apply(head)
    end = events.AttemptEnd.COMPLETE
    world.apply(events.UpstreamEnded(request_id=request, attempt=1, end=end))


def list_waits(fleets, estimate):
    return [
        wait
        for hosts in fleets
        for wait in play(hosts, estimate, duration_s=20.0)[0]
    ]


def count_in_time(waits):
    return sum(each <= OBJECTIVE_S for each in waits)


@when('an answer reports the load "{text}"')
def report_load(context, text):
    context.load, context.is_invalid = headers.parse_load(text)


@then(
    "its load is {load}, its slowdown {slowdown:g} and it is counted as {as_}"
)
def check_load(context, load, slowdown, as_):
    found = context.load
    text = "unknown"
    if found is not None:
        text = f"{found.running},{found.waiting},{found.slots}"
        assert found.slowdown == slowdown, found
    assert text == load, found
    assert context.is_invalid == (as_ == "invalid")


@given("{count:d} upstreams whose hosts change their speed every 600 ms")
def set_uneven(context, count):
    context.hosts = [
        UnevenHosts(count=count, states_slowdown=True, seed=seed)
        for seed in range(3)
    ]


@when("callers send 60 plain requests a second for 20 s")
def play_uneven(context):
    context.waits = list_waits(context.hosts, host_speed.DecayingSlowdown())


@then("more of them are in time than with a router that {does}")
def check_in_time(context, does):
    counts = [
        count_in_time(each)
        for each in (context.waits, list_waits(context.hosts, BASELINES[does]))
    ]
    assert counts[0] > counts[1], counts


@then("they wait less than with a router that {does}")
def check_waits(context, does):
    means = [
        statistics.fmean(each)
        for each in (context.waits, list_waits(context.hosts, BASELINES[does]))
    ]
    assert means[0] < means[1], means


@given("{count:d} upstreams whose reports have three figures")
def set_unstated(context, count):
    context.hosts = UnevenHosts(count=count, states_slowdown=False, seed=1)


@when("callers send 60 plain requests a second without the figure")
def play_unstated(context):
    estimate = host_speed.DecayingSlowdown()
    _, context.chosen = play(context.hosts, estimate, duration_s=20.0)


@then("each goes where a router that ignores the speed sends it")
def check_same(context):
    estimate = host_speed.IgnoredSlowdown()
    _, chosen = play(context.hosts, estimate, duration_s=20.0)
    assert context.chosen == chosen


@when("an upstream here reported that its host is slow {age:g} s ago")
def report_slow(context, age):
    world = context.world
    load = upstreams.LoadReport(
        running=0, waiting=0, slots=8, slowdown=8.0, states_slowdown=True
    )
    world.state.view.record_load("up-0", load, now=world.now)
    fresh = [world.sent(world.ask("look"))[0] for _ in range(4)]
    assert {each.upstream_id for each in fresh} == {"up-1"}, fresh
    for each in fresh:
        world.answer_whole(each.request_id)
    world.now += age
    world.configure()


@then("the next {count:d} plain requests are spread over both upstreams")
def check_both(context, count):
    world = context.world
    found = {world.sent(world.ask("look"))[0].upstream_id for _ in range(count)}
    assert found == {"up-0", "up-1"}, found


@given('a roll-out of "v2" to half of 2 upstreams')
def start_trial(context):
    world = context.world = router_world.World()
    world.start(0)
    world.list_upstreams(router_world.build_upstream(0))
    answer_many(world, 60)
    world.list_upstreams(
        router_world.build_upstream(0), router_world.build_upstream(1, "v2")
    )
    world.apply(events.RolloutChanged(router_world.build_order()))


def answer_many(world, count, *, took_s=USUAL_S, slowdown=1.0):
    """Answers requests; those on "up-1" take their own time and slowdown."""
    for _ in range(count):
        world.configure()
        request = world.ask("look")
        (attempt,) = world.sent(request)
        is_target = attempt.upstream_id == "up-1"
        world.now += took_s if is_target else USUAL_S
        load = upstreams.LoadReport(
            running=1,
            waiting=0,
            slots=8,
            slowdown=slowdown if is_target else 1.0,
            states_slowdown=True,
        )
        answer(world, request, load)


@when('answers of "v2" take {took:g} s and report a slowdown of {slowdown:g}')
def answer_slowly(context, took, slowdown):
    answer_many(context.world, 100, took_s=took, slowdown=slowdown)


@then("{share} of them count as slow")
def check_slow_share(context, share):
    trial = context.world.state.trials["pool"]
    target = trial.own_evidence.pooled.target
    assert target.answers >= 1, target
    expected = target.answers if share == "all" else 0
    assert target.slow == expected, target


@when("{count:d} callers send bodies of {size:d} bytes")
def send_bodies(context, count, size):
    context.requests = [
        context.world.ask("look", body=b"x" * size) for _ in range(count)
    ]


@then("the upstream holds at least {least:d} bytes")
def check_held(context, least):
    tracked = context.world.state.view.tracked["up-0"]
    assert least <= tracked.held_bytes < 2 * least, tracked.held_bytes


@then("it holds none after they are answered")
def check_released(context):
    for request in context.requests:
        context.world.answer_whole(request)
    assert context.world.state.view.tracked["up-0"].held_bytes == 0
