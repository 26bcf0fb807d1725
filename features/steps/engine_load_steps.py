"""Steps for the reports of open work at engines between entries."""

import random

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_router import attempt_states
from rhubarbbank_router import defaults
from rhubarbbank_router import engine_work
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes

NEAR = "entry-7"
FAR = "entry-8"
DATA_CENTRES = {NEAR: "west-a", FAR: "west-b"}
ADDRESSES = {NEAR: "127.0.0.1:17", FAR: "127.0.0.1:18"}
PEERS = {"nearby": NEAR, "far away": FAR}


def receive_heartbeat(world, name, loads=()):
    """Delivers a heartbeat of a peer."""
    news = messages.Heartbeat(
        name=name,
        incarnation=1,
        address=ADDRESSES[name],
        stopping=False,
        loads=tuple(loads),
        data_centre=DATA_CENTRES[name],
    )
    world.apply(core_events.MessageReceived(news))


def build_load(upstream, work_s=0.0, heard_s=0.0):
    return messages.WorkReport(
        upstream=name_hashes.hash_name(upstream),
        work_ms=round(work_s * 1000),
        in_flight=1,
        heard_ms=round(heard_s * 1000),
    )


@given("a peer nearby and a peer in another data centre")
def add_peers(context):
    for name in DATA_CENTRES:
        receive_heartbeat(context.world, name)


@given("{count:d} more peers in the other data centre")
def add_far_peers(context, count):
    for number in range(count):
        news = messages.Heartbeat(
            name=f"entry-far-{number}",
            incarnation=1,
            address=f"127.0.0.1:{30 + number}",
            stopping=False,
            data_centre=DATA_CENTRES[FAR],
        )
        context.world.apply(core_events.MessageReceived(news))


@when('the peer {where} reports {work:g} s of work at "{upstream}"')
def report_work(context, where, work, upstream):
    receive_heartbeat(context.world, PEERS[where], [build_load(upstream, work)])


@then('the next {count:d} chats go to "{upstream}"')
def check_chats(context, count, upstream):
    world = context.world
    for number in range(count):
        request = world.ask(
            "chat", generation=router_world.build_generation(f"n{number}", 300)
        )
        attempt = world.sent(request)[-1]
        assert attempt.upstream_id == upstream, attempt
        world.head(request, confidence=90)
        world.stream(request, 1, 2)
        world.end(request)


@then("no work of other entries is known")
def check_expired(context):
    assert not context.world.state.peer_workload.loads


@when('a caller asks "{route}" with a prompt of {tokens:d} tokens')
def ask_long(context, route, tokens):
    world = context.world
    world.effects = [x for x in world.effects if x not in world.messages()]
    context.request = world.ask(
        route, generation=router_world.build_generation(route, tokens)
    )


def list_heartbeats(world, name):
    return [
        x.message
        for x in world.messages()
        if x.address == ADDRESSES[name]
        and isinstance(x.message, messages.Heartbeat)
    ]


@then(
    "the peer nearby has had at least {least:d} heartbeats, the peer far away "
    "at most {most:d}"
)
def check_heartbeats(context, least, most):
    world = context.world
    assert len(list_heartbeats(world, NEAR)) >= least
    assert 1 <= len(list_heartbeats(world, FAR)) <= most


@then("only the peer nearby has had a report of the short prompt")
def check_short(context):
    world = context.world
    near = [len(x.loads) for x in list_heartbeats(world, NEAR)]
    far = [len(x.loads) for x in list_heartbeats(world, FAR)]
    assert max(near) > max(far), (near, far)


@then(
    "the peer far away has had at least {least:d} heartbeats, and a report "
    "of the short prompt"
)
def check_far(context, least):
    heartbeats = list_heartbeats(context.world, FAR)
    assert len(heartbeats) >= least, len(heartbeats)
    assert any(x.loads for x in heartbeats), heartbeats


@then(
    "during a roll-out the peer far away gets at least {least:d} in {wait:g} s"
)
def check_trial_heartbeats(context, least, wait):
    world = context.world
    world.apply(events.RolloutChanged(router_world.build_order()))
    world.run(2.0)
    for name in DATA_CENTRES:
        receive_heartbeat(world, name)
    before = len(list_heartbeats(world, FAR))
    world.run(wait)
    assert len(list_heartbeats(world, FAR)) - before >= least


def list_reports(world, name):
    """Returns messages to the peer with work at the request's upstream."""
    upstream = name_hashes.hash_name(
        world.sent(world_request(world))[-1].upstream_id
    )
    return [
        x
        for x in world.messages()
        if x.address == ADDRESSES[name]
        and any(y.upstream == upstream for y in x.message.loads)
    ]


def world_request(world):
    return f"r{world.request_count}"


@then("the peer nearby has had a report of the prompt, the peer far away none")
def check_reported(context):
    assert list_reports(context.world, NEAR)
    assert not list_reports(context.world, FAR)


@then("no peer has had a report ahead of its heartbeat")
def check_unreported(context):
    found = [
        x
        for x in context.world.messages()
        if isinstance(x.message, messages.LoadUpdate)
    ]
    assert not found, found


@when(
    "{who} gets bytes from its upstream while the request gets none for "
    "{silent:g} s"
)
def send_no_bytes(context, who, silent):
    world = context.world
    upstream = world.sent(context.request)[0].upstream_id
    for _ in range(round(silent / 0.1)):
        if who == "the peer nearby":
            receive_heartbeat(world, NEAR, [build_load(upstream)])
        if who == "another request":
            world.state.view.record_bytes_received(upstream, now=world.now)
        world.configure(world.state.active_configuration)
        world.run(0.1)


@then("the request has had {count:d} attempts")
def check_attempts(context, count):
    found = context.world.sent(context.request)
    assert len(found) == count, found


@then(
    "after {count:d} prompts with a prefill of {speed:g} tokens/ms, half of "
    "them queued for up to 2 s, the estimate is {least:g} to {most:g} tokens/ms"
)
def check_speed(context, count, speed, least, most):
    rng = random.Random(3)
    speeds = engine_work.PrefillSpeeds()
    for _ in range(count):
        tokens = rng.randrange(500, 20_000)
        # Half of the prompts come to an idle engine.
        queued_s = rng.uniform(0.0, 2.0) * (rng.random() < 0.5)
        attempt = attempt_states.Attempt(
            number=1,
            upstream="up-0",
            service="pool",
            version="v1",
            model="large",
            sent_at=0.0,
            uncached_tokens=tokens,
        )
        engine_s = tokens / speed / 1000 + defaults.ENGINE_LATENCY_S
        speeds.learn(attempt, waited_s=queued_s + engine_s)
    found = speeds.find("pool", "large") / 1000
    assert least <= found <= most, found
