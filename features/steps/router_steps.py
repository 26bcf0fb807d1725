"""Steps for a simulated router: requests, streams, freshness and stops."""

import itertools

from behave import given
from behave import then
from behave import when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import effects
from rhubarbbank_router import event_stream
from rhubarbbank_router import events
from rhubarbbank_router import freshness_proof
from rhubarbbank_router import route_match

PLACEMENT_INPUTS = {"candidates", "load_age_s", "left_s"}


def make_world(context, count, **changes):
    context.world = router_world.World(**changes)
    context.world.start(count)


@given("a router that knows its configuration and {count:d} upstreams")
def start_router(context, count):
    make_world(context, count)


@given("a router that has just started")
def start_unconfigured_router(context):
    context.world = router_world.World()
    context.world.apply(core_events.Ticked())


@when("the router reads its configuration and {count:d} upstreams")
def read_configuration(context, count):
    context.world.start(count)
    context.world.run(0.1)


@when('a caller asks "{route}"')
def ask(context, route):
    context.request = context.world.ask(route)


@when('a caller with a timeout of {timeout:g} s asks "{route}"')
def ask_with_timeout(context, timeout, route):
    context.request = context.world.ask(route, timeout_s=timeout)


@when('a caller with key "{key}" asks "{route}"')
def ask_with_key(context, key, route):
    context.request = context.world.ask(route, key=key)


@when('a caller with key "" asks "{route}"')
def ask_without_key(context, route):
    context.request = context.world.ask(route, key="")


OUTCOMES = {
    "answers 200": lambda world, r: world.answer_whole(r),
    "answers 500": lambda world, r: world.answer_whole(r, 500),
    "drops the connection": lambda world, r: world.end(r, "broken"),
    "is unreachable": lambda world, r: world.end(r, "unreached"),
    "refuses the request as overloaded": lambda world, r: world.head(
        r, 503, refused=True
    ),
    "answers 421 as another instance": lambda world, r: world.head(
        r, 421, misdirected=True, genuine=False
    ),
    "sends an answer that isn't genuine": lambda world, r: world.head(
        r, 200, genuine=False
    ),
}


@when("its upstream {outcome}")
def apply_outcome(context, outcome):
    _, ran, status = outcome.partition("runs the request and answers ")
    if ran:
        context.world.answer_whole(context.request, int(status))
        return
    OUTCOMES[outcome](context.world, context.request)


@when("every upstream runs the request and answers {status:d}")
def fail_everywhere_after_run(context, status):
    world = context.world
    while not world.answers(context.request):
        world.answer_whole(context.request, status)


@when("every upstream refuses the request as overloaded")
def refuse_all(context):
    world = context.world
    while not world.answers(context.request):
        world.head(context.request, 503, refused=True)


@then("the request has been sent {count:d} times")
def check_attempt_count(context, count):
    attempts = context.world.sent(context.request)
    assert len(attempts) == count, attempts
    assert len({each.upstream_id for each in attempts}) == count, attempts


@then("the caller has no answer yet")
def check_no_answer(context):
    assert not context.world.answers(context.request)


@then("the caller has the upstream's {status:d}")
def check_forwarded_answer(context, status):
    (answer,) = context.world.answers(context.request)
    assert isinstance(answer, effects.RelayAnswer), answer
    assert (answer.status, answer.body) == (status, b"body"), answer


def check_error_response(context, status):
    (answer,) = context.world.answers(context.request)
    assert isinstance(answer, effects.RefuseRequest), answer
    assert answer.status == status, answer
    return answer


@then("the caller has a {status:d} without Retry-After")
def check_error_without_retry_after(context, status):
    assert check_error_response(context, status).retry_after_s is None


@then("the caller has a {status:d} with Retry-After")
def check_error_with_retry_after(context, status):
    answer = check_error_response(context, status)
    assert answer.retry_after_s is not None, answer
    attempts = context.world.sent(context.request)
    # Once it has been sent, a request gets Retry-After only with a 503, which
    # says that it didn't run.
    assert len(attempts) == 0 or status == 503, attempts


@then("no request or attempt is open")
def check_nothing_open(context):
    world = context.world
    assert not world.state.open_requests
    assert not any(x.in_flight for x in world.state.view.tracked.values())


@when("{duration:g} s pass")
@when("the upstream is silent for {duration:g} s")
def advance(context, duration):
    world = context.world
    steps = max(1, round(duration / 0.5))
    for _ in range(steps):
        world.configure(
            world.state.active_configuration
        ) if world.state.active_configuration else None
        world.run(duration / steps)


@when("the upstream sends events for {duration:g} s")
def advance_while_sending(context, duration):
    world = context.world
    number = world.written_event_ids(context.request)[-1]
    for _ in range(max(1, round(duration / 0.1))):
        number += 1
        world.stream(context.request, number, number)
        world.configure(world.state.active_configuration)
        world.run(0.1)


@when("{duration:g} s pass without a read of the configuration")
def advance_without_reads(context, duration):
    context.world.run(duration)


@when("the machine is suspended for {duration:g} s")
def suspend(context, duration):
    context.world.now += duration


@then("the attempt is cancelled")
def check_cancelled(context):
    assert context.world.cancelled_attempts(context.request)


@then("the upstream is given {left:g} s")
def check_time_left(context, left):
    assert context.world.sent(context.request)[-1].time_left_s == left


@then("the upstream is given at most {left:g} s")
def check_time_left_at_most(context, left):
    assert context.world.sent(context.request)[-1].time_left_s <= left


@when("the caller disconnects")
def disconnect(context):
    context.world.apply(events.CallerLeft(context.request))


@when("the first upstream answers late")
def answer_late(context):
    context.world.apply(
        events.UpstreamHead(request_id=context.request, attempt=1, status=200)
    )
    context.world.apply(
        events.UpstreamEnded(
            request_id=context.request,
            attempt=1,
            end=events.AttemptEnd.COMPLETE,
        )
    )


@then('the logged decisions on the request are "{names}"')
def check_logged_decisions(context, names):
    logged = context.world.decisions(context.request)
    assert [each.decision for each in logged] == names.split(", "), logged


@then("each logged placement has candidates, load age and time left")
def check_placement_inputs(context):
    for each in context.world.decisions(context.request):
        if each.decision == "placed":
            assert dict(each.inputs).keys() >= PLACEMENT_INPUTS, each


# Streams.


@when("the upstream begins a stream with events {first:d} to {last:d}")
def begin_stream(context, first, last):
    # High enough that the answer isn't replaced by a larger model's.
    context.world.head(context.request, confidence=90)
    context.world.stream(context.request, first, last)


@when("the upstream sends events {first:d} to {last:d} and ends the stream")
def end_stream(context, first, last):
    begin_stream(context, first, last)
    context.world.end(context.request)


@when("the connection breaks in the middle of an event")
def break_inside_event(context):
    context.world.data(context.request, b"id: 4\ndata: ha")
    context.world.end(context.request, "broken")


@when(
    "the upstream sends a head and closes the connection of an answer without "
    "a length"
)
def close_after_head(context):
    context.world.head(context.request, confidence=90)
    context.world.apply(
        events.UpstreamEnded(
            request_id=context.request,
            attempt=1,
            end=events.AttemptEnd.COMPLETE,
            ended_by_close=True,
        )
    )


@then("{count:d} upstreams have got the request, and no answer was begun")
def check_sent_without_answer(context, count):
    assert len(context.world.sent(context.request)) == count
    assert not any(
        isinstance(x, effects.BeginAnswer | effects.RelayAnswer)
        for x in context.world.answers(context.request)
    )


@when("the stream ends in the middle of an event")
def end_in_event(context):
    context.world.data(context.request, b"id: 4\ndata: ha")
    context.world.end(context.request)


@then("another upstream is asked to resume after event {number}")
def check_resumed(context, number):
    first, second = context.world.sent(context.request)
    assert second.upstream_id != first.upstream_id
    assert second.resume_after == number, second


@then("the caller has events {first:d} to {last:d}, and the stream {state}")
def check_events(context, first, last, state):
    world = context.world
    assert world.written_event_ids(context.request) == list(
        range(first, last + 1)
    )
    ended = isinstance(world.answers(context.request)[-1], effects.FinishAnswer)
    assert ended == (state == "has ended"), world.answers(context.request)


@then("the caller's stream is cut off without a retry")
def check_cut_off_without_retry(context):
    answers = context.world.answers(context.request)
    assert isinstance(answers[-1], effects.AbortAnswer), answers
    assert len(context.world.sent(context.request)) == 1


@then("the caller's stream is cut off")
def check_cut_off(context):
    answers = context.world.answers(context.request)
    assert isinstance(answers[-1], effects.AbortAnswer), answers


@given('upstreams 1 and 2 are replaced by one of version "{version}"')
def replace_upstreams(context, version):
    for number in (1, 2):
        context.world.apply(events.UpstreamUnlisted(f"up-{number}"))
    listed = router_world.build_upstream(7, version)
    context.world.apply(events.UpstreamChanged(listed))


@then('the request is sent to model "{model}"')
def check_model(context, model):
    assert context.world.sent(context.request)[-1].model == model


@when("the upstream answers with confidence {confidence:d}")
def answer_with_confidence(context, confidence):
    context.world.head(context.request, confidence=confidence)


@then("splitting a stream's bytes anywhere gives the same events")
def check_splitting(context):
    whole = b"".join(router_world.build_event(n) for n in range(1, 6))
    expected = event_stream.EventSplitter().feed(whole)
    assert [each.event_id for each in expected] == ["1", "2", "3", "4", "5"]

    @hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
    @examples(strategies.lists(strategies.integers(0, len(whole))))
    def check(offsets):
        bounds = [0, *sorted(offsets), len(whole)]
        splitter = event_stream.EventSplitter()
        found = []
        for start_at, end_at in itertools.pairwise(bounds):
            found += splitter.feed(whole[start_at:end_at])
        assert found == expected
        assert not splitter.partial

    check()


# Freshness.


@when("a read that was sent {age:g} s ago confirms the configuration")
def confirm_after(context, age):
    world = context.world
    world.now += age
    world.apply(
        events.ConfigurationRead(
            asked_at=world.now - age, found=world.state.active_configuration
        )
    )


@when("revision {revision:d} of the configuration, without keys, is read")
def read_without_keys(context, revision):
    context.world.configure(router_world.build_configuration(revision, keys=()))


@when("then revision {revision:d} is read")
def read_revision(context, revision):
    context.world.configure(router_world.build_configuration(revision))


@then("route lookup agrees with a linear scan")
def check_route_lookup(context):
    pieces = strategies.sampled_from(["a", "b", "ab", "c"])
    prefixes = strategies.lists(pieces, max_size=4).map(
        lambda found: "/" + "".join(f"{piece}/" for piece in found)
    )

    @hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
    @examples(
        strategies.lists(prefixes, unique=True, max_size=12),
        prefixes,
        strategies.sampled_from(["", "x", "a"]),
        strategies.sampled_from(["api.example", "API.example:80", "other"]),
    )
    def check(listed, path, rest, host):
        routes = tuple(
            router_world.build_route(f"n{number}", "idempotent", prefix=prefix)
            for number, prefix in enumerate(listed)
        )
        index = route_match.RouteIndex(routes=routes)
        assert index.find(
            host=host, path=path + rest
        ) == route_match.find_by_scan(routes, host=host, path=path + rest)

    check()


@then("no revoked key is accepted after its bound")
def check_revocation_bound(context):
    bound_s, limit_s = 5.0, 4.6
    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "answer", "revoke", "request"]),
            strategies.floats(0.0, 3.0),
        ),
        max_size=40,
    )

    @hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
    @examples(steps)
    def check(history):
        now = 0.0
        revoked_at = None
        key_in_force = True
        proof = freshness_proof.FreshnessProof(limit_s=limit_s)
        reads = []
        for step, wait_s in history:
            now += wait_s
            match step:
                case "ask":
                    # A linearizable read sees all writes accepted before it
                    # was sent.
                    reads.append((now, revoked_at is None))
                case "answer" if reads:
                    asked_at, holds_key = reads.pop(0)
                    key_in_force = key_in_force and holds_key
                    proof.confirm(sent_at=asked_at)
                case "revoke":
                    revoked_at = now if revoked_at is None else revoked_at
                case "request":
                    accepted = proof.is_valid(now=now) and key_in_force
                    late = revoked_at is not None and (
                        now > revoked_at + bound_s
                    )
                    assert not (accepted and late), (now, revoked_at)

    check()


# Stops.


@when("the router is asked to stop")
def stop(context):
    context.world.apply(core_events.StopRequested())


@when("the router is asked to stop, and hears of it {age:g} s later")
def stop_late(context, age):
    context.world.apply(core_events.StopRequested(age))


@when("{count:d} caller is still sending a request")
@when("{count:d} callers are still sending a request")
def count_callers(context, count):
    context.world.apply(events.CallersCounted(count))


@then("the router isn't ready")
def check_not_ready(context):
    assert not context.world.router.is_ready(now=context.world.now)


def has_exited(context):
    return any(isinstance(each, fx.Exit) for each in context.world.effects)


@then("the process keeps running")
def check_running(context):
    assert not has_exited(context)


@then("the process exits")
def check_exited(context):
    assert has_exited(context)
    assert not context.world.state.open_requests


@then("only states that prove that an attempt didn't run allow a refusal")
def check_not_run_states(context):
    for state in attempt_states.AttemptState:
        proof = state in attempt_states.NOT_RUN_STATES
        assert proof == (state.value in {"not_sent", "refused"})


@when("the upstream sends an event every {pause:g} s up to event {last:d}")
def send_events_slowly(context, pause, last):
    world = context.world
    for number in range(
        world.written_event_ids(context.request)[-1] + 1, last + 1
    ):
        for _ in range(round(pause / 0.1)):
            world.configure(world.state.active_configuration)
            world.run(0.1)
        if len(world.sent(context.request)) == 1:
            world.stream(context.request, number, number)


@when("the upstream sends a byte every {pause:g} s for {duration:g} s")
def send_bytes(context, pause, duration):
    world = context.world
    for _ in range(round(duration / pause)):
        if len(world.sent(context.request)) == 1:
            world.data(context.request, b"x")
        world.configure(world.state.active_configuration)
        world.run(pause)


@when("each of its upstreams answers 421 without naming itself")
def turn_away_everywhere(context):
    world, request = context.world, context.request
    known = 0
    while len(world.sent(request)) > known:
        known = len(world.sent(request))
        world.head(request, 421, refused=True, misdirected=True, genuine=False)


@then("all {count:d} upstreams accept requests")
def check_accepting(context, count):
    world = context.world
    found = world.state.view.list_accepting("pool", now=world.now)
    assert len(found) == count, found
