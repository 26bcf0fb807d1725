"""Steps for rate limits that upstreams name in their answers."""

import random

from behave import given
from behave import then
from behave import when
from support import limit_fleet

LIMITED = "up-0"
COMPARED = "up-3"
WARM_UP_S = 3.0
SETTLE_S = 10.0
HISTORY_DURATION_S = 40.0
ENTRIES = 7
DATA_CENTRES = 3


def build_fleet(context, entries, centres, seed=1):
    context.fleet = limit_fleet.LimitFleet(
        rng=random.Random(seed),
        data_centres=centres,
        entries=1,
        demand_per_s=max(60.0, 4.0 * entries),
    )
    while len(context.fleet.worlds) < entries:
        context.fleet.add(f"west-{len(context.fleet.worlds) % centres}")
    context.fleet.run(WARM_UP_S)
    context.limited_s = 0.0


@given("{entries:d} entries in {centres:d} data centres under load")
def start_fleet(context, entries, centres):
    build_fleet(context, entries, centres)


@given(
    "{entries:d} entries in {centres:d} data centres under load in one of them"
)
def start_uneven_fleet(context, entries, centres):
    build_fleet(context, entries, centres)
    context.fleet.busy_data_centre = "west-0"


@when(
    "an upstream names a limit of {limit:g} requests a second for "
    "{duration:g} s"
)
@when(
    "the upstream names a limit of {limit:g} requests a second for "
    "{duration:g} s"
)
def name_limit(context, limit, duration):
    fleet = context.fleet
    if LIMITED in fleet.limits:
        # A changed limit holds once its entries can have heard of it.
        counted_from = fleet.now + limit_fleet.TOLD_S
        fleet.first_named_at[LIMITED] = counted_from - limit_fleet.STABLE_S
    fleet.name_limit(LIMITED, limit)
    context.fleet.run(duration)
    context.limited_s += duration


@when("the upstream names no limit any more for {duration:g} s")
def end_limit(context, duration):
    del context.fleet.limits[LIMITED]
    context.fleet.run(duration)


@when(
    "all upstreams name a limit of {limit:g} requests a second for "
    "{duration:g} s"
)
def name_limits(context, limit, duration):
    fleet = context.fleet
    for upstream in fleet.listed:
        fleet.name_limit(upstream, limit)
    # The first answers tell the entries.
    fleet.run(SETTLE_S)
    fleet.refusals.clear()
    fleet.run(duration)


def check_allowed(fleet, upstream):
    most = fleet.find_most(upstream)
    allowed = fleet.compute_allowed(upstream)
    assert most <= allowed, (upstream, most, allowed)


@then("it gets no more than allowed in any 4 s")
def check_limited(context):
    check_allowed(context.fleet, LIMITED)


@then("no upstream gets more than allowed in any 4 s")
def check_all_limited(context):
    for upstream in context.fleet.limits:
        check_allowed(context.fleet, upstream)


def count_arrivals(fleet, upstream, since):
    return sum(x.upstream == upstream and x.at >= since for x in fleet.arrivals)


@then("it gets at least {least:g} requests a second")
def check_used(context, least):
    fleet = context.fleet
    since = fleet.now - context.limited_s / 2
    found = count_arrivals(fleet, LIMITED, since) / (fleet.now - since)
    assert found >= least, found


@then("it gets as many requests as another in the last {duration:g} s")
def check_unlimited(context, duration):
    fleet = context.fleet
    since = fleet.now - duration
    found = count_arrivals(fleet, LIMITED, since)
    other = count_arrivals(fleet, COMPARED, since)
    assert found >= other / 2, (found, other)


@then("no request is refused")
def check_none_refused(context):
    codes = [x for x in context.fleet.refusals if x.status == 503]
    assert not codes, codes[:3]


@then(
    "refused requests get 503 at once, and Retry-After spreads them to "
    "{rate:g} a second"
)
def check_refusals(context, rate):
    refused = [x for x in context.fleet.refusals if x.status == 503]
    assert refused
    assert all(x.retry_after_s is not None for x in refused)
    longest_s = max(x.retry_after_s for x in refused)
    # Some 20 refused requests a second would fill a minute in 20 s.
    assert longest_s >= 20.0 / rate, longest_s
    assert longest_s <= limit_fleet.MAX_RETRY_AFTER_S, longest_s
    assert not any(
        opened
        for world in context.fleet.worlds.values()
        for opened in world.state.open_requests.values()
        if opened.current_attempt is None
    )


def play_history(seed):
    """Plays entries with faults, and upstreams that name changing limits."""
    rng = random.Random(seed)
    fleet = limit_fleet.LimitFleet(
        rng=rng, data_centres=DATA_CENTRES, entries=ENTRIES, loss_rate=0.03
    )
    fleet.run(WARM_UP_S)
    for upstream in ("up-0", "up-1"):
        fleet.name_limit(upstream, rng.choice([0.5, 1.0, 3.0, 10.0]))
    end = fleet.now + HISTORY_DURATION_S
    while fleet.now < end:
        fleet.run(rng.uniform(1.0, 6.0))
        inject_fault(fleet, rng)
    return fleet


def inject_fault(fleet, rng):
    match rng.randrange(4):
        case 0:
            fleet.replace(rng.choice(list(fleet.worlds)))
        case 1:
            fleet.add(f"west-{rng.randrange(DATA_CENTRES)}")
        case 2:
            fleet.isolated = {f"west-{rng.randrange(DATA_CENTRES)}"}
        case _:
            fleet.isolated = set()
    for name, world in fleet.worlds.items():
        if world.state.settings.data_centre in fleet.isolated:
            fleet.excuse(name)


@then("in {count:d} histories entries keep to the limits that upstreams name")
def check_histories(context, count):
    for seed in range(count):
        fleet = play_history(seed)
        for upstream in fleet.limits:
            most = fleet.find_most(upstream)
            allowed = fleet.compute_allowed(upstream)
            assert most <= allowed, (seed, upstream, most, allowed)


@when("its upstream has named a limit of {limit:g} requests a second")
def tell_limit(context, limit):
    tell_limit_of(context, LIMITED, limit)


@when('upstream "{upstream}" has named a limit of {limit:g} requests a second')
def tell_limit_of(context, upstream, limit):
    answer_from(context, upstream, limit_per_s=limit)


def answer_from(context, upstream, **changes):
    """Has an upstream answer a request that is sent to it."""
    world = context.world
    for _ in range(400):
        world.run(0.1)
        world.configure()
        request = world.ask("look")
        if not world.sent(request):
            continue
        if world.sent(request)[-1].upstream_id == upstream:
            world.head(request, **changes)
            if not world.answers(request):
                world.data(request, b"body")
                world.end(request)
            return
        world.answer_whole(request)
    raise AssertionError(f"nothing was sent to {upstream}")


@when('a caller asks "{route}" once the limit allows it')
def ask_when_allowed(context, route):
    context.world.run(3.0)
    context.world.configure()
    context.request = context.world.ask(route)
    assert context.world.sent(context.request)


@when("the upstream, still limited, answers with confidence {confidence:d}")
def answer_limited(context, confidence):
    context.world.head(context.request, confidence=confidence, limit_per_s=1.0)


@when('an answer of {kind} without a limit arrives from "{upstream}"')
def end_limit_by_answer(context, kind, upstream):
    changes = {
        "its own": {},
        "unknown origin": {"genuine": False},
        "another process": {"status": 421, "misdirected": True},
    }[kind]
    answer_from(context, upstream, **changes)


@then('"{upstream}" is {state}')
def check_state(context, upstream, state):
    tracked = context.world.state.view.tracked[upstream]
    limits = context.world.state.view.limits
    is_limited = limits.is_limited(
        tracked.listed.upstream_id, tracked.listed.started_ms
    )
    assert is_limited == (state == "limited")
