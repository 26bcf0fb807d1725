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
from rhubarbbank_router import session_pins
from rhubarbbank_router import version_trial

SERVICE = "pool"
CREATED_REVISION = 40
ORDER_KEY = f"{CREATED_REVISION}/v2"


def build_order(target, duration_s, state="ordered", revision=41):
    return version_trial.RolloutOrder(
        service=SERVICE,
        target=target,
        duration_s=duration_s,
        state=version_trial.OrderState(state),
        revision=revision,
        created_revision=CREATED_REVISION,
    )


def start_router(target, duration_s, name="entry-3"):
    world = router_world.World(name=name)
    world.start(4)
    world.apply(events.RolloutChanged(build_order(target, duration_s)))
    for number in range(10, 14):
        listed = router_world.build_upstream(number, target)
        world.apply(events.UpstreamChanged(listed))
    return world


@given('a router with a roll-out to version "{target}" over {duration:g} s')
def start_rollout(context, target, duration):
    context.world = start_router(target, duration)
    context.target = target
    context.duration = duration
    context.silent_peers = set()
    context.open_stream = ""
    context.peer_trials = {}


@given("the service has no models")
@when("the service has no models")
def use_plain_service(context):
    services = {
        SERVICE: configuration.Service(name=SERVICE, max_connections=100)
    }
    revision = context.world.state.active_configuration.revision + 1
    changed = router_world.build_configuration(revision=revision)
    context.world.configure(dataclasses.replace(changed, services=services))


@when('upstreams of version "{version}" are listed')
def list_upstreams_of_version(context, version):
    for number in range(10, 14):
        listed = router_world.build_upstream(number, version)
        context.world.apply(events.UpstreamChanged(listed))


def runs_on_target(sending):
    # Upstreams from number 10 on run the target.
    return int(sending.upstream_id.removeprefix("up-")) >= 10


def send_request(world, key):
    request = world.ask(
        "chat", generation=router_world.build_generation(key, 1000)
    )
    return request, world.sent(request)[0]


def answer_request(world, request):
    world.head(request, confidence=90)
    world.stream(request, 1, 2)
    world.end(request)


def send_requests(world, count, prefix="b"):
    """Returns for each request whether it ran on the target."""
    on_target = []
    for number in range(count):
        request, sending = send_request(world, f"{prefix}{number}")
        on_target.append(runs_on_target(sending))
        answer_request(world, request)
    return on_target


@then('none of {count:d} requests goes to version "{version}"')
def check_none(context, count, version):
    assert not any(send_requests(context.world, count))


@then('all of {count:d} requests go to version "{version}"')
def check_all(context, count, version):
    assert all(send_requests(context.world, count))


@then(
    'between {least:d} and {most:d} of {count:d} requests go to version "{v}"'
)
def check_share(context, least, most, count, v):
    context.on_target = send_requests(context.world, count)
    assert least <= sum(context.on_target) <= most, sum(context.on_target)


@then("another entry routes the same sessions to it")
def check_same_routing(context):
    other = start_router(context.target, context.duration, name="entry-1")
    assert send_requests(other, len(context.on_target)) == context.on_target


@when('a session has run on version "{version}"')
def record_session(context, version):
    world = context.world
    for number in range(400):
        key = f"session-{number}"
        trial = world.state.trials[SERVICE]
        if trial.routes_to_target(key):
            # Without the session, the key would be routed to the target.
            context.key = key
            break
    run_session(context, SERVICE, version)


def run_session(context, service, version):
    """Records that a session's request has run on a service's version."""
    world = context.world
    key = session_pins.SessionKey(service, "s")
    world.state.sessions.begin_request(
        key, version=version, affinity_key=context.key, now=world.now
    )
    world.state.sessions.end_request(key, now=world.now)


@when('it has run on version "{version}" of another service')
def record_session_elsewhere(context, version):
    run_session(context, "other", version)


@then('its next request within {wait:g} s runs on version "{version}"')
def check_session_version(context, wait, version):
    world = context.world
    world.now += wait - 0.5
    world.configure(world.state.active_configuration)
    request = world.ask(
        "chat",
        session="s",
        generation=router_world.build_generation(context.key, 1000),
    )
    assert not runs_on_target(world.sent(request)[0])


def deliver_peer_heartbeats(context):
    for name, trial in context.peer_trials.items():
        if name in context.silent_peers:
            continue
        context.world.apply(
            core_events.MessageReceived(
                messages.Heartbeat(
                    name=name,
                    incarnation=1,
                    address="127.0.0.1:77",
                    stopping=False,
                    trials=(trial,),
                )
            )
        )


def build_trial_report(*, held=False, whole=True, old=0):
    return messages.TrialReport(
        service=SERVICE,
        key=ORDER_KEY,
        age_s=0.0,
        held=held,
        whole=whole,
        old_in_flight=old,
        routes=(),
    )


@given('a peer that still routes requests to version "{version}"')
def add_peer_on_old_version(context, version):
    context.peer_trials["entry-7"] = build_trial_report(whole=False)


@given('a peer that holds version "{version}"')
@when('a peer holds version "{version}"')
def add_holding_peer(context, version):
    context.peer_trials["entry-7"] = build_trial_report(held=True)


@given("a live peer whose name sorts first")
def add_first_peer(context):
    context.peer_trials["entry-0"] = build_trial_report()


@when("that peer sends no heartbeats for {duration:g} s")
def silence_peer(context, duration):
    context.silent_peers.add("entry-0")
    run_successful_requests(context, duration)


@when("requests succeed for {duration:g} s")
def run_successful_requests(context, duration):
    world = context.world
    for number in range(round(duration * 10)):
        deliver_peer_heartbeats(context)
        world.configure(world.state.active_configuration)
        request, _ = send_request(world, f"w{number}-{world.request_count}")
        answer_request(world, request)
        if context.open_stream:
            world.stream(context.open_stream, number + 3, number + 3)
        world.run(0.1)


@when('a stream begins on version "{version}"')
def begin_stream(context, version):
    world = context.world
    for number in range(400):
        request, sending = send_request(world, f"old-{number}")
        if not runs_on_target(sending):
            world.head(request, confidence=90)
            world.stream(request, 1, 2)
            context.open_stream = request
            return
        answer_request(world, request)


@when("that stream ends")
def end_stream(context):
    context.world.end(context.open_stream)
    context.open_stream = ""


@when("a third of the target's answers fail for {duration:g} s")
def run_failing_target(context, duration):
    world = context.world
    rng = random.Random(3)
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = send_request(world, f"x{number}")
        while runs_on_target(sending) and rng.random() < 0.33:
            world.head(request, 500)
            world.end(request)
            if world.answers(request):
                break
            sending = world.sent(request)[-1]
        if not world.answers(request):
            answer_request(world, request)
        world.run(0.05)


def list_recorded_states(context):
    return [
        each.state.value
        for each in context.world.effects
        if isinstance(each, effects.RecordRollout)
    ]


@then('the roll-out is recorded as "{state}"')
def check_recorded(context, state):
    context.world.run(1.0)
    assert state in list_recorded_states(context), list_recorded_states(context)


@then('the roll-out isn\'t recorded as "{state}"')
def check_not_recorded(context, state):
    assert state not in list_recorded_states(context)


def find_last_trial_report(world):
    """Returns the roll-out's part of the last heartbeat."""
    sent = [
        each.message
        for each in world.effects
        if isinstance(each, core_effects.Send)
    ]
    (trial,) = sent[-1].trials
    return trial


@then("its last heartbeat contains the roll-out's counts")
def check_counts_sent(context):
    trial = find_last_trial_report(context.world)
    assert sum(each.incumbent.answers for each in trial.routes) > 0, trial


@then("its last heartbeat contains the roll-out without counts")
def check_no_counts_sent(context):
    trial = find_last_trial_report(context.world)
    assert trial.key == ORDER_KEY, trial
    assert trial.routes == (), trial


@then("no state is recorded")
def check_nothing_recorded(context):
    assert not list_recorded_states(context)


@when('the connections of {count:d} requests on version "{version}" break')
def break_connections(context, count, version):
    world = context.world
    broken = 0
    for number in range(4000):
        if broken == count:
            break
        request, sending = send_request(world, f"k{number}")
        if runs_on_target(sending):
            broken += 1
            world.end(request, "broken")
            world.run(0.2)
            world.configure(world.state.active_configuration)
        if not world.answers(request):
            answer_request(world, request)
    assert broken == count
    world.run(0.5)


@then('version "{version}" isn\'t held')
def check_not_held(context, version):
    assert not context.world.state.trials[SERVICE].held


@when('an order for version "{target}" is written into the same record')
def reuse_record(context, target):
    context.world.apply(
        events.RolloutChanged(build_order(target, 20.0, revision=90))
    )
    for number in range(20, 24):
        listed = router_world.build_upstream(number, target)
        context.world.apply(events.UpstreamChanged(listed))


@when('the roll-out to "{target}" is completed')
def complete_rollout(context, target):
    context.world.apply(
        events.RolloutChanged(
            build_order(target, 20.0, state="completed", revision=80)
        )
    )


@then('some but less than half of {count:d} requests go to version "{version}"')
def check_new_trial(context, count, version):
    world = context.world
    on_target = 0
    for number in range(count):
        request, sending = send_request(world, f"again-{number}")
        on_target += int(sending.upstream_id.removeprefix("up-")) >= 20
        answer_request(world, request)
    assert 0 < on_target < count / 2, on_target


@when(
    "the target takes {times:d} times as long as the old version"
    " for {duration:g} s"
)
def run_slow_target(context, times, duration):
    world = context.world
    waiting = []
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = send_request(world, f"slow{number}")
        wait_s = 0.1 * (times if runs_on_target(sending) else 1)
        waiting.append((world.now + wait_s, request))
        due = [each for at, each in waiting if at <= world.now]
        waiting = [each for each in waiting if each[0] > world.now]
        for each in due:
            answer_request(world, each)
        world.run(0.05)


@when(
    "{share:d} of 10 bookings on the target take {slow:g} s and all others"
    " {usual:g} s, for {duration:g} s"
)
def run_slow_bookings(context, share, slow, usual, duration):
    world = context.world
    rng = random.Random(7)
    waiting = []
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request = world.ask("book", attempt_id=f"slow-{number}")
        is_slow = (
            runs_on_target(world.sent(request)[0]) and rng.random() < share / 10
        )
        waiting.append((world.now + (slow if is_slow else usual), request))
        ends_at = world.now + 0.05
        while world.now < ends_at:
            world.now += 0.01
            world.apply(core_events.Ticked())
            for each in [x for x in waiting if x[0] <= world.now]:
                waiting.remove(each)
                world.answer_whole(each[1])


@then('version "{version}" is held')
def check_held(context, version):
    assert context.world.state.trials[SERVICE].held


@then('the usual times are those of version "{version}"')
def check_usual_times(context, version):
    times = context.world.state.view.get_service_times(SERVICE)
    # The old version takes 0.1 s, and answers are read every 0.05 s.
    assert times.answer_s <= 0.16, times
    assert times.first_event_s <= 0.16, times


@when("half of the target's answers on one route fail for {duration:g} s")
def run_failing_route(context, duration):
    world = context.world
    rng = random.Random(5)
    for number in range(round(duration * 20)):
        world.configure(world.state.active_configuration)
        request, sending = send_request(world, f"o{number}")
        answer_request(world, request)
        if number % 4 == 0:
            request = world.ask("book", attempt_id=f"book-{number}")
            sending = world.sent(request)[0]
            bad = runs_on_target(sending) and rng.random() < 0.5
            world.answer_whole(request, 500 if bad else 200)
        world.run(0.05)
