"""Steps for hedges: loads in simulated time, and single requests."""

import random

from behave import given
from behave import then
from behave import when
import msgspec
from support import hedge_fleet
from support import router_world

from rhubarbbank_router import cold_upstreams
from rhubarbbank_router import events
from rhubarbbank_router import hedge_budget
from rhubarbbank_router import hedge_delays
from rhubarbbank_router import hedge_policy
from rhubarbbank_router import limit_sharing
from rhubarbbank_router import options
from rhubarbbank_router import upstream_limits
from rhubarbbank_router import upstreams

START_S = 100.0 + hedge_fleet.WARM_UP_S
END_S = START_S + 20.0
SHARE = 0.05


def is_in_tail(rng, name, now):
    return rng.random() < 0.02


def run_steady(now):
    return 60.0 if now < END_S else 0.0


LOADS = {
    "2 in 100 answers take 8 times as long": (is_in_tail, run_steady),
    "all answers become 8 times as slow": (
        lambda rng, name, now: now >= START_S,
        lambda now: 0.4 * run_steady(now),
    ),
    "one upstream is 8 times as slow": (
        lambda rng, name, now: name == "up-0",
        run_steady,
    ),
    "a burst of 10 times the load": (
        is_in_tail,
        lambda now: run_steady(now) * (10.0 if 130.0 <= now < 132.0 else 1.0),
    ),
}


def set_load(context, load):
    context.is_slow, context.rate = LOADS[load]


for each in LOADS:
    given(each)(lambda context, load=each: set_load(context, load))


def play(context, entries, share, policy=None):
    fleet = hedge_fleet.HedgeFleet(
        entries=entries,
        max_share=share,
        policy=policy,
        is_slow=context.is_slow,
        rate=context.rate,
    )
    return fleet.run(END_S - 100.0 + 8.0)


@when(
    "{entries:d} entries serve callers with a limit of {share:g} and without"
    " hedges"
)
def play_both(context, entries, share):
    context.without = play(context, entries, None)
    context.fleet = play(context, entries, share)


@when(
    "{entries:d} entries serve callers with a limit of {share:g} and a fixed"
    " delay of {delay_s:g} s"
)
def play_fixed(context, entries, share, delay_s):
    policy = hedge_policy.HedgeAfterDelay(delay_s=delay_s)
    context.fleet = play(context, entries, share, policy)


@then("the 99th percentile is at most {ratio:g} of that without")
def check_tail(context, ratio):
    took = [x.percentile(0.99) for x in (context.fleet, context.without)]
    assert took[0] <= ratio * took[1], took


@then("the 50th and 95th percentile are at most {ratio:g} of those without")
def check_others(context, ratio):
    for share in (0.5, 0.95):
        took = [x.percentile(share) for x in (context.fleet, context.without)]
        assert took[0] <= ratio * took[1], took


@then("the upstreams' work is at most {ratio:g} of that without")
def check_work(context, ratio):
    work_s = [x.work_s for x in (context.fleet, context.without)]
    assert work_s[0] <= ratio * work_s[1], work_s
    assert context.fleet.hedged_at


@then("each request has one answer and nothing is left running")
def check_ends(context):
    context.fleet.check_ends()


@then("at {bound} {count:d} hedges begin in the burst")
def check_burst(context, bound, count):
    begun = sum(130.0 <= x < 136.0 for x in context.fleet.hedged_at)
    assert begun >= count if bound == "least" else begun <= count, begun


@then(
    "in {count:d} generated histories hedges stay within a share of {share:g}"
    " of the requests"
)
def check_budget(context, count, share):
    taken = 0
    for seed in range(count):
        rng = random.Random(seed)
        budget = hedge_budget.HedgeBudget()
        now, requests, hedges = 0.0, [], []
        for _ in range(rng.randrange(400)):
            now += rng.choice((0.0, 0.01, 0.5, 7.0 * rng.random() ** 8))
            budget.count_request("s", max_share=share, window_s=10.0, now=now)
            requests.append(now)
            if rng.random() < 0.3 and budget.has_room(
                "s", window_s=10.0, now=now
            ):
                budget.take("s", window_s=10.0, now=now)
                hedges.append(now)
                recent = sum(x > now - 10.0 for x in hedges)
                earned = share * sum(x > now - 20.0 for x in requests)
                assert recent <= earned + 1e-6, (recent, earned)
                assert len(hedges) <= share * len(requests) + 1e-6
        taken += len(hedges)
    assert taken > count, taken


@then("a route whose slow answers are all cancelled keeps its usual time")
def check_censored(context):
    def learn(times, *, cut):
        for number in range(300):
            took_s = 0.8 if number % 20 == 0 else 0.1
            censored = cut and took_s > 0.3
            times.record(
                ("look", ""),
                0.3 if censored else took_s,
                max_share=SHARE,
                censored=censored,
                now=0.0,
            )
        return times.histograms[("look", "")].find_quantile(0.9), times.find(
            ("look", ""), max_share=SHARE, now=0.0
        )

    whole = learn(hedge_delays.RouteDelays(), cut=False)
    cut = learn(hedge_delays.RouteDelays(), cut=True)
    assert whole[0] == cut[0], (whole, cut)
    assert cut[1].delay_s >= 0.3, cut


# Single requests.


@given('a router with usual times, and a request to "{route}"')
def start_router(context, route):
    context.world = hedge_fleet.build_world(0, 1, SHARE)
    context.world.start(3)
    hedge_fleet.learn_times(context.world)
    context.request = context.world.ask(route)


@when("it becomes slow")
def become_slow(context):
    context.world.run(0.1)


@given('a router that hedges, and a slow request to "{route}"')
def start_hedged(context, route):
    start_router(context, route)
    become_slow(context)
    sent = context.world.sent(context.request)
    assert len({x.upstream_id for x in sent}) == 2, sent


def deliver(context, number, *given):
    for kind in given:
        context.world.apply(kind(context.request, number))


def build_head(status=200, **changes):
    return lambda request, number: events.UpstreamHead(
        request_id=request, attempt=number, status=status, **changes
    )


def build_end(end):
    return lambda request, number: events.UpstreamEnded(
        request_id=request, attempt=number, end=events.AttemptEnd(end)
    )


def send_event(request, number):
    return events.UpstreamData(request, number, router_world.build_event(1))


ENDS = {
    "broken": (build_end("broken"),),
    "unreached": (build_end("unreached"),),
    "refuse": (build_head(503, refused=True),),
    "server_error": (build_head(500), build_end("complete")),
    "unexplained": (build_head(429), build_end("complete")),
    "answer": (build_head(), build_end("complete")),
}


@when("the {which:w} attempt ends with {end:w}")
def end_attempt(context, which, end):
    if which != "other":
        context.other = 2 if which == "first" else 1
    number = context.other if which == "other" else 3 - context.other
    deliver(context, number, *ENDS[end])


@when("the other attempt answers")
def answer_other(context):
    deliver(context, context.other, *ENDS["answer"])


@then("{count:d} attempts have been sent and the caller waits")
def check_waiting(context, count):
    assert len(context.world.sent(context.request)) == count
    assert not [
        x
        for x in context.world.answers(context.request)
        if not hasattr(x, "data") and not hasattr(x, "headers")
    ]
    assert context.request in context.world.state.open_requests


@then("the caller has its answer")
def check_answered(context):
    (answer,) = context.world.answers(context.request)
    assert answer.status == 200, answer
    assert not context.world.state.open_requests


@then("another attempt has been sent")
def check_resent(context):
    assert len(context.world.sent(context.request)) == 3


@then("no status says that the request has not run")
def check_not_denied(context):
    answers = context.world.answers(context.request)
    assert [x.status for x in answers] in ([], [502]), answers


@when("the second attempt's first event comes")
def win_stream(context):
    deliver(context, 2, build_head(), send_event)


@then(
    "the first attempt is cancelled at once, and later events of it are dropped"
)
def check_stream(context):
    world = context.world
    assert world.cancelled_attempts(context.request) == [1]
    histogram = world.state.usual_times.histograms["chat", "small"]
    assert sum(histogram.censored) == 1, histogram.censored
    deliver(context, 1, build_head(), send_event, build_end("broken"))
    assert world.written_event_ids(context.request) == [1]
    deliver(context, 2, build_end("complete"))
    assert not world.state.open_requests


def change_others(context, **changes):
    used = context.world.sent(context.request)[0].upstream_id
    for tracked in list(context.world.state.view.tracked.values()):
        if tracked.listed.upstream_id != used:
            for name, value in changes.items():
                setattr(tracked, name, value)


def change_version(context):
    used = context.world.sent(context.request)[0].upstream_id
    for name in {"up-0", "up-1", "up-2"} - {used}:
        number = int(name[-1])
        listed = router_world.build_upstream(number, version="v0")
        context.world.apply(events.UpstreamChanged(listed))


def name_limits(context):
    for name in ("up-0", "up-1", "up-2"):
        limit_sharing.record_limit(
            context.world.state, name, 0, 1000.0, now=100.0
        )


def close_others(context):
    for name in ("up-0", "up-1", "up-2"):
        context.world.state.view.record_closed(name, 5.0, now=context.world.now)


def turn_cold(context):
    """Turns all upstreams cold, with more permits than are needed."""
    cold = context.world.state.view.cold
    terms = cold_upstreams.ColdTerms(
        rate_per_s=1000.0, cold_duration_s=60.0, permits=1000, window_s=1.0
    )
    cold.set_terms({"pool": terms})
    cold.add_view("pool", {cold.name: 1.0}, now=0.0)
    for name in ("up-0", "up-1", "up-2"):
        key = upstream_limits.build_key(name, 0)
        cold.record_cold(key, left_s=60.0, reason="test", now=100.0)
    assert not cold.is_exhausted("pool", "up-0", 0, now=100.0)


def use_up(context, *, until):
    state = context.world.state
    while state.budget.take("pool", now=100.0, share=until):
        pass


def use_share(context):
    for _ in range(10):
        context.world.state.hedge_counts.take("pool", window_s=10.0, now=100.0)


def begin_trial(context, target="v2"):
    order = router_world.build_order(target=target)
    context.world.apply(events.RolloutChanged(order))


CAUSES = {
    "the setting is left out": lambda context: (
        context.world.router.apply_settings(router_world.build_settings())
    ),
    "the retry budget is half used": lambda c: use_up(c, until=0.5),
    "the share is used up": use_share,
    "another upstream has requests waiting": lambda context: change_others(
        context,
        load=upstreams.LoadReport(running=64, waiting=1, slots=640),
        load_at=100.0,
    ),
    "the other upstreams run another version": change_version,
    "the other upstreams have named a limit": name_limits,
    "the other upstreams have asked for nothing": close_others,
    "the other upstreams have just failed": lambda context: change_others(
        context, failures=1
    ),
    "the other upstreams are cold": turn_cold,
    "a version is on trial": begin_trial,
    "the entry is stopping": lambda context: context.world.apply(
        router_world.core_events.StopRequested()
    ),
    "the deadline is near": lambda context: setattr(
        context.world.state.open_requests[context.request], "deadline", 100.11
    ),
    "its stream has begun": lambda context: deliver(
        context, 1, build_head(), send_event
    ),
    "nothing else happens": lambda context: None,
}

for each in CAUSES:
    when(each)(lambda context, cause=each: CAUSES[cause](context))


@when("a trial of its version begins and the other attempt wins")
def win_in_trial(context):
    begin_trial(context, target="v1")
    deliver(context, 2, *ENDS["answer"])


@then("the trial has counted one slow answer")
def check_slow(context):
    trial = context.world.state.trials["pool"]
    counts = trial.own_evidence.pooled.target
    assert (counts.answers, counts.slow) == (2, 1), counts


@then("a limit of 0 is refused, and of 0.3, and 0.2 is accepted")
def check_settings(context):
    parsed = {}
    for share in (0.0, 0.3, 0.2):
        settings = msgspec.structs.replace(
            router_world.build_settings(),
            hedging=options.HedgingSettings(max_share=share),
        )
        parsed[share] = options.parse_settings(msgspec.json.encode(settings))
    for share in (0.0, 0.3):
        (fault,) = parsed[share]
        assert fault.field == "hedging.max_share", fault
        assert str(share) in fault.fault, fault
    world = router_world.World()
    world.router.apply_settings(parsed[0.2])
    assert world.state.settings.hedging.max_share == 0.2
