"""Steps for the router under load: placement, retry budget, failures."""

import collections
import random
import statistics

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_core import placement
from rhubarbbank_router import events
from rhubarbbank_router import peers
from rhubarbbank_router import window_budget
from rhubarbbank_router import work_placement

RATIO = 0.9
EXTRA = 56.0
WINDOW_S = 10.0


def ask_many(context, count, tokens):
    world = context.world
    context.requests = [
        world.ask(
            "chat",
            generation=router_world.build_generation(
                f"s{world.request_count}-{number}", tokens
            ),
        )
        for number in range(count)
    ]
    return [world.sent(each)[0] for each in context.requests]


@when('{count:d} callers ask "chat" with prompts of {tokens:d} tokens at once')
def ask_at_once(context, count, tokens):
    context.attempts = ask_many(context, count, tokens)


@then("no upstream has more than {most:d} of them")
def check_spread(context, most):
    counts = collections.Counter(each.upstream_id for each in context.attempts)
    assert max(counts.values()) <= most, counts


@given(
    "a router with {here:d} upstreams here and {away:d} in another data centre"
)
def start_two_centres(context, here, away):
    context.world = router_world.World()
    context.world.start(0)
    context.world.list_upstreams(
        *(router_world.build_upstream(n) for n in range(here)),
        *(
            router_world.build_upstream(10 + n, data_centre="west-b")
            for n in range(away)
        ),
    )


def count_in_other_centre(context):
    return sum(
        int(each.upstream_id.removeprefix("up-")) >= 10
        for each in context.attempts
    )


@then("all of them are sent to this data centre")
def check_own_centre(context):
    assert count_in_other_centre(context) == 0


@then("some of them are sent to the other data centre")
def check_other_centre(context):
    assert count_in_other_centre(context) > 0


@when('a caller in session "{session}" asks "chat" and is answered')
def ask_session(context, session):
    world = context.world
    facts = router_world.build_generation(session, 8000)
    context.first = world.ask("chat", generation=facts)
    world.head(context.first, confidence=90)
    world.stream(context.first, 1, 3)
    world.end(context.first)


@when('a caller in session "{session}" asks "chat" again')
def ask_again(context, session):
    facts = router_world.build_generation(session, 8000)
    context.second = context.world.ask("chat", generation=facts)


@then("both went to the same upstream")
def check_same(context):
    world = context.world
    (first,) = world.sent(context.first)
    (second,) = world.sent(context.second)
    assert first.upstream_id == second.upstream_id


@then(
    "the mean wait is shorter than with placement by request count, "
    "over {seeds:d} seeds"
)
def check_waits(context, seeds):
    """Simulates a burst on queues that prefill one prompt at a time."""

    def play(chooser, rng):
        backlog = [0.0] * 6
        count = [0] * 6
        waits = []
        for _ in range(60):
            size_s = rng.choice([0.01, 0.02, 0.65])
            found = chooser.choose(
                candidates=[
                    placement.Candidate(
                        name=str(each),
                        own_in_flight=count[each],
                        max_batch=64,
                        backlog_s=backlog[each],
                        service_s=2.0,
                    )
                    for each in range(6)
                ],
                request=placement.PlacementRequest(
                    prompt_blocks=100, prefill_s_per_block=size_s / 100
                ),
            )
            chosen = int(found.upstream)
            waits.append(backlog[chosen])
            backlog[chosen] += size_s
            count[chosen] += 1
            backlog = [max(0.0, each - 0.04) for each in backlog]
        return statistics.fmean(waits)

    by_work, by_count = [], []
    for seed in range(seeds):
        by_work.append(
            play(
                work_placement.WorkPlacement(rng=random.Random(seed)),
                random.Random(seed),
            )
        )
        by_count.append(
            play(
                placement.ExpectedWaitPlacement(rng=random.Random(seed)),
                random.Random(seed),
            )
        )
    print(
        f"mean wait {statistics.fmean(by_work):.3f} s by work, "
        f"{statistics.fmean(by_count):.3f} s by count"
    )
    assert statistics.fmean(by_work) < statistics.fmean(by_count)


@when('{count:d} callers ask "look" and every upstream breaks the connection')
def ask_failing(context, count):
    world = context.world
    for _ in range(count):
        request = world.ask("look")
        while not world.answers(request):
            world.end(request, "broken")
        world.run(0.025)
        world.configure(world.state.active_configuration)
    context.count = count


@then("there are at most {ratio:g} retries for each request and {extra:d} more")
def check_retries(context, ratio, extra):
    sent = sum(
        type(each).__name__ == "SendAttempt" for each in context.world.effects
    )
    assert sent > context.count
    assert sent - context.count <= ratio * context.count + extra


@then(
    "the retries of {count:d} entries together stay within ratio and extra "
    "in any 10 s"
)
def check_shared(context, count):
    rng = random.Random(7)
    limits = window_budget.BudgetLimits(
        ratio=RATIO, extra=EXTRA, window_s=WINDOW_S
    )
    budgets = [window_budget.WindowBudget(limits=limits) for _ in range(count)]
    for budget in budgets:
        budget.record_entry_count(count, now=0.0)
    requests, retries = [], []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(40.0)
        budget = rng.choice(budgets)
        budget.count_request("pool", now=now)
        requests.append(now)
        while budget.take("pool", now=now):
            retries.append(now)
    for end in range(10, 60):
        window = [x for x in retries if end - WINDOW_S < x <= end]
        asked = [x for x in requests if end - WINDOW_S < x <= end]
        assert len(window) <= RATIO * len(asked) + EXTRA, end
    assert len(retries) > 0.5 * len(requests)


@when("upstream {number:d} fails {count:d} times in a row")
def fail_upstream(context, number, count):
    for _ in range(count):
        context.world.state.view.record_failure(
            f"up-{number}", now=context.world.now
        )


def send_many(context, count):
    world = context.world
    found = []
    for _ in range(count):
        request = world.ask("look")
        found.append(world.sent(request)[0].upstream_id)
        world.answer_whole(request)
    return found


@then("none of the next {count:d} requests goes to upstream {number:d}")
def check_none_sent(context, count, number):
    assert f"up-{number}" not in send_many(context, count)


@then("some of the next {count:d} requests go to upstream {number:d}")
def check_some_sent(context, count, number):
    assert f"up-{number}" in send_many(context, count)


@when("upstream {number:d} is listed as leaving")
def list_leaving(context, number):
    listed = router_world.build_upstream(number, leaving=True)
    context.world.apply(events.UpstreamChanged(listed))


@when("upstream {number:d} is removed from the list")
def remove_from_list(context, number):
    context.world.apply(events.UpstreamUnlisted(f"up-{number}"))


@when("the store fails")
def fail_store(context):
    context.world.apply(
        events.StoreFailed(events.Subject.UPSTREAMS, "no answer")
    )


@when("the store answers again and {duration:g} s pass")
def restore_store(context, duration):
    world = context.world
    world.apply(events.StoreAnswered(events.Subject.UPSTREAMS))
    world.run(duration)
    world.configure(world.state.active_configuration)


@when("the same request crashes {count:d} upstreams")
def crash_upstreams(context, count):
    world = context.world
    ended = set()
    while len(ended) < count:
        request = world.ask("look", body=b"poison", target="/look/p")
        while not world.answers(request) and len(ended) < count:
            ended.add(world.sent(request)[-1].upstream_id)
            world.end(request, "broken")


def check_refused(world):
    request = world.ask("look", body=b"poison", target="/look/p")
    assert not world.sent(request)
    (answer,) = world.answers(request)
    assert answer.status == 503, answer


@then("the same request is refused as not run")
def check_refused_by_router(context):
    check_refused(context.world)


@then(
    "the same request is refused as not run by a peer that has got a heartbeat"
)
def check_refused_by_peer(context):
    world = context.world
    other = router_world.World(name="entry-1")
    other.start(9)
    address = other.state.settings.peer_address
    peer = peers.PeerAddress(name="entry-1", address=address)
    world.apply(events.EntryListed(peer))
    world.run(1.0)
    received = [x.message for x in world.messages() if x.address == address]
    assert received
    for message in received:
        other.apply(core_events.MessageReceived(message))
    check_refused(other)


@when(
    "the connection of the same request breaks and its retry is answered, "
    "{count:d} times"
)
def break_and_answer(context, count):
    world = context.world
    for _ in range(count):
        request = world.ask("look", body=b"hot", target="/look/hot")
        world.end(request, "broken")
        world.answer_whole(request)
        world.run(0.5)
        world.configure(world.state.active_configuration)


@then("the same request is sent to an upstream")
def check_not_suspect(context):
    world = context.world
    request = world.ask("look", body=b"hot", target="/look/hot")
    assert len(world.sent(request)) == 1
