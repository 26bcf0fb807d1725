"""Steps for roll-outs at a router in memory."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import configuration
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import version_trial

SERVICE = "pool"
CREATED = 40
KEY = f"{CREATED}/v2"


def build_order(target, duration_s, state="ordered", revision=41):
    return version_trial.RolloutOrder(
        service=SERVICE,
        target=target,
        duration_s=duration_s,
        state=version_trial.OrderState(state),
        revision=revision,
        created_revision=CREATED,
    )


def start_world(target, duration_s, name="entry-3"):
    world = router_world.World(name=name)
    world.start(4)
    world.apply(events.RolloutChanged(build_order(target, duration_s)))
    for number in range(10, 14):
        listed = router_world.build_upstream(number, target)
        world.apply(events.UpstreamChanged(listed))
    return world


@given('a router with a roll-out to version "{target}" over {duration:g} s')
def start_rollout(context, target, duration):
    context.world = start_world(target, duration)
    context.target = target
    context.duration = duration
    context.silent = set()
    context.held_stream = ""
    context.peers = {}


@given("the service answers without models")
@when("the service answers without models")
def use_plain_service(context):
    services = {
        SERVICE: configuration.Service(name=SERVICE, max_connections=100)
    }
    revision = context.world.state.active_configuration.revision + 1
    found = router_world.build_configuration(revision=revision)
    context.world.configure(dataclasses.replace(found, services=services))


@when('upstreams of version "{version}" are listed')
def list_version(context, version):
    for number in range(10, 14):
        listed = router_world.build_upstream(number, version)
        context.world.apply(events.UpstreamChanged(listed))


def is_new(sending):
    return int(sending.upstream_id.removeprefix("up-")) >= 10


def ask_one(world, key):
    request = world.ask(
        "chat", generation=router_world.build_generation(key, 1000)
    )
    return request, world.sent(request)[0]


def answer_well(world, request):
    world.head(request, confidence=90)
    world.stream(request, 1, 2)
    world.end(request)


def send_batch(world, count, prefix="b"):
    found = []
    for number in range(count):
        request, sending = ask_one(world, f"{prefix}{number}")
        found.append(is_new(sending))
        answer_well(world, request)
    return found


@then('no request of {count:d} goes to version "{version}"')
def check_none(context, count, version):
    assert not any(send_batch(context.world, count))


@then('every request of {count:d} goes to version "{version}"')
def check_all(context, count, version):
    assert all(send_batch(context.world, count))


@then(
    'between {least:d} and {most:d} requests of {count:d} go to version "{v}"'
)
def check_share(context, least, most, count, v):
    context.shared = send_batch(context.world, count)
    assert least <= sum(context.shared) <= most, sum(context.shared)


@then("all entries send the same sessions there")
def check_agreement(context):
    other = start_world(context.target, context.duration, name="entry-1")
    assert send_batch(other, len(context.shared)) == context.shared


@when('a session has run on version "{version}"')
def run_session(context, version):
    world = context.world
    for number in range(400):
        key = f"session-{number}"
        trial = world.state.trials[SERVICE]
        if trial.routes_to_target(key):
            # Before the order it would have run on the old version.
            context.key = key
            break
    world.state.sessions.begin_request(
        "s", version=version, affinity_key=context.key, now=world.now
    )
    world.state.sessions.end_request("s", now=world.now)


@then('its next request within {wait:g} s runs on version "{version}"')
def check_pinned(context, wait, version):
    world = context.world
    world.now += wait - 0.5
    world.configure(world.state.active_configuration)
    request = world.ask(
        "chat",
        session="s",
        generation=router_world.build_generation(context.key, 1000),
    )
    assert not is_new(world.sent(request)[0])


def tell_peers(context):
    for name, trial in context.peers.items():
        if name in context.silent:
            continue
        context.world.apply(
            core_events.MessageReceived(
                messages.EntryNews(
                    name=name,
                    incarnation=1,
                    address="127.0.0.1:77",
                    stopping=False,
                    trials=(trial,),
                )
            )
        )


def build_trial_news(*, held=False, whole=True, old=0):
    return messages.TrialNews(
        service=SERVICE,
        key=KEY,
        age_s=0.0,
        held=held,
        whole=whole,
        old_in_flight=old,
        routes=(),
    )


@given('a peer that still sends to version "{version}"')
def add_slow_peer(context, version):
    context.peers["entry-7"] = build_trial_news(whole=False)


@given('a peer that holds version "{version}"')
def add_holding_peer(context, version):
    context.peers["entry-7"] = build_trial_news(held=True)


@given("a live peer whose name comes first")
def add_first_peer(context):
    context.peers["entry-0"] = build_trial_news()


@when("that peer falls silent for {duration:g} s")
def silence_peer(context, duration):
    context.silent.add("entry-0")
    run_well(context, duration)


@when("requests are answered well for {duration:g} s")
def run_well(context, duration):
    world = context.world
    for number in range(round(duration * 10)):
        tell_peers(context)
        world.configure(world.state.active_configuration)
        request, _ = ask_one(world, f"w{number}-{world.asked}")
        answer_well(world, request)
        if context.held_stream:
            world.stream(context.held_stream, number + 3, number + 3)
        world.run(0.1)


@when('a stream begins on version "{version}"')
def begin_stream(context, version):
    world = context.world
    for number in range(400):
        request, sending = ask_one(world, f"old-{number}")
        if not is_new(sending):
            world.head(request, confidence=90)
            world.stream(request, 1, 2)
            context.held_stream = request
            return
        answer_well(world, request)


@when("that stream ends")
def end_stream(context):
    context.world.end(context.held_stream)
    context.held_stream = ""


@when("a third of the target's answers are failures for {duration:g} s")
def run_badly(context, duration):
    world = context.world
    rng = random.Random(3)
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = ask_one(world, f"x{number}")
        while is_new(sending) and rng.random() < 0.33:
            world.head(request, 500)
            world.end(request)
            if world.answers(request):
                break
            sending = world.sent(request)[-1]
        if not world.answers(request):
            answer_well(world, request)
        world.run(0.05)


def recorded(context):
    return [
        each.state.value
        for each in context.world.done
        if isinstance(each, effects.RecordRollout)
    ]


@then('the roll-out is recorded as "{state}"')
def check_recorded(context, state):
    context.world.run(1.0)
    assert state in recorded(context), recorded(context)


@then('the roll-out isn\'t recorded as "{state}"')
def check_not_recorded(context, state):
    assert state not in recorded(context)


def find_last_news(world):
    """Returns what the last heartbeat told of the roll-out."""
    sent = [
        each.message
        for each in world.done
        if isinstance(each, core_effects.Send)
    ]
    (told,) = sent[-1].trials
    return told


@then("its last heartbeat tells counts of the roll-out")
def check_counts_told(context):
    told = find_last_news(context.world)
    assert sum(each.incumbent.answers for each in told.routes) > 0, told


@then("its last heartbeat tells no counts, but the roll-out")
def check_no_counts_told(context):
    told = find_last_news(context.world)
    assert told.key == KEY, told
    assert told.routes == (), told


@then("nothing is recorded")
def check_nothing_recorded(context):
    assert not recorded(context)


@when('{count:d} requests on version "{version}" break off')
def break_target(context, count, version):
    world = context.world
    broken = 0
    for number in range(4000):
        if broken == count:
            break
        request, sending = ask_one(world, f"k{number}")
        if is_new(sending):
            broken += 1
            world.end(request, "broken")
            world.run(0.2)
            world.configure(world.state.active_configuration)
        if not world.answers(request):
            answer_well(world, request)
    assert broken == count
    world.run(0.5)


@then('version "{version}" isn\'t held')
def check_not_held(context, version):
    assert not context.world.state.trials[SERVICE].held


@when('an order for version "{target}" is written into the same record')
def write_again(context, target):
    context.world.apply(
        events.RolloutChanged(build_order(target, 20.0, revision=90))
    )
    for number in range(20, 24):
        listed = router_world.build_upstream(number, target)
        context.world.apply(events.UpstreamChanged(listed))


@when('the roll-out to "{target}" is completed')
def complete(context, target):
    context.world.apply(
        events.RolloutChanged(
            build_order(target, 20.0, state="completed", revision=80)
        )
    )


@then('less than half of {count:d} requests go to version "{version}"')
def check_trial_again(context, count, version):
    world = context.world
    found = 0
    for number in range(count):
        request, sending = ask_one(world, f"again-{number}")
        found += int(sending.upstream_id.removeprefix("up-")) >= 20
        answer_well(world, request)
    assert 0 < found < count / 2, found


@when(
    "the target answers {times:d} times slower than the old version"
    " for {duration:g} s"
)
def run_slowly(context, times, duration):
    world = context.world
    waiting = []
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = ask_one(world, f"slow{number}")
        wait_s = 0.1 * (times if is_new(sending) else 1)
        waiting.append((world.now + wait_s, request))
        due = [each for at, each in waiting if at <= world.now]
        waiting = [each for each in waiting if each[0] > world.now]
        for each in due:
            answer_well(world, each)
        world.run(0.05)


@when(
    "{share:d} of 10 of the target's bookings take {slow:g} s and all others"
    " {usual:g} s for {duration:g} s"
)
def book_slowly(context, share, slow, usual, duration):
    world = context.world
    rng = random.Random(7)
    waiting = []
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request = world.ask("book", attempt_id=f"slow-{number}")
        is_slow = is_new(world.sent(request)[0]) and rng.random() < share / 10
        waiting.append((world.now + (slow if is_slow else usual), request))
        ends_at = world.now + 0.05
        while world.now < ends_at:
            world.now += 0.01
            world.apply(core_events.Ticked())
            for each in [x for x in waiting if x[0] <= world.now]:
                waiting.remove(each)
                world.answer_whole(each[1])


@then('version "{version}" is held')
def check_is_held(context, version):
    assert context.world.state.trials[SERVICE].held


@then('the usual times are those of version "{version}"')
def check_usual(context, version):
    times = context.world.state.view.get_service_times(SERVICE)
    # The old version takes 0.1 s, and is looked at each 0.05 s.
    assert times.answer_s <= 0.16, times
    assert times.first_event_s <= 0.16, times


@when(
    "half of the target's answers on one route are failures for {duration:g} s"
)
def run_badly_on_one_route(context, duration):
    world = context.world
    rng = random.Random(5)
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = ask_one(world, f"o{number}")
        answer_well(world, request)
        if number % 4 == 0:
            request = world.ask("book", attempt_id=f"book-{number}")
            sending = world.sent(request)[0]
            bad = is_new(sending) and rng.random() < 0.5
            world.answer_whole(request, 500 if bad else 200)
        world.run(0.05)
