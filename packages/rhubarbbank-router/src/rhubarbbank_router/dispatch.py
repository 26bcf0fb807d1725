"""Places requests: chooses model, version and upstream of each attempt.

Also decides whether a failed attempt is retried, and builds the error
response of a request that isn't.
"""

import http
import math

from rhubarbbank_core import errors
from rhubarbbank_core import placement
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import rendezvous
from rhubarbbank_router import attempt_states
from rhubarbbank_router import configuration
from rhubarbbank_router import crash_guard
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import engine_load
from rhubarbbank_router import engine_work
from rhubarbbank_router import evacuation_list
from rhubarbbank_router import name_hashes
from rhubarbbank_router import rollouts
from rhubarbbank_router import size_policy
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_choice

MAX_PRIORITY = 9
MS_PER_S = 1000.0


def send(
    state: states.RouterState,
    opened: states.OpenRequest,
    *,
    now: float,
    cause: str,
) -> list[effects.Effect]:
    """Sends the request to the best upstream, or gives up on it.

    Gives up if no upstream is usable, or if none would begin in time.

    Args:
        state: The router's state.
        opened: The request.
        now: Current time, in seconds.
        cause: Why an attempt is made, for the log.
    """
    state.view.cold.record_demand(opened.service, now=now)
    choice = version_choice.choose(state, opened, now=now)
    usable = choice.usable
    if not usable:
        code = errors.ErrorCode.NO_UPSTREAM
        return give_up(state, opened, code, now=now, awaited=choice.awaited)
    candidates = [
        build_candidate(state, opened, tracked, now=now) for tracked in usable
    ]
    decision = state.placer.choose(
        candidates=candidates,
        request=placement.PlacementRequest(
            session_upstream=find_affinity_upstream(state, opened, usable),
            session_credit_s=compute_affinity_credit_s(state, opened),
            prompt_blocks=count_prompt_blocks(opened),
            prefill_s_per_block=compute_prefill_s_per_block(state, opened),
            answer_s=find_answer_s(state, opened),
        ),
    )
    if decision is None:
        return give_up(state, opened, errors.ErrorCode.NO_UPSTREAM, now=now)
    excess_s = compute_excess_wait_s(opened, decision, now=now)
    if excess_s > 0.0:
        code = errors.ErrorCode.OVERLOADED
        return give_up(state, opened, code, now=now, min_retry_after_s=excess_s)
    tracked = state.view.tracked[decision.upstream]
    session_version = version_choice.find_session_version(
        state, opened, now=now
    )
    attempt = begin_attempt(state, opened, tracked, now=now)
    return [
        *count_version_change(session_version, attempt.version, choice.reason),
        fx.LogDecision(
            decision="placed",
            request_id=opened.request.attempt_id,
            organisation=opened.organisation,
            model=opened.model,
            version=attempt.version,
            upstream=attempt.upstream,
            reason=f"{cause}: {decision.reason.value}",
            attempt=attempt.number,
            inputs=(
                ("candidates", len(usable)),
                ("wait_s", round(decision.expected_wait_s, 3)),
                ("in_flight", tracked.in_flight),
                ("load_age_s", describe_load_age(tracked, now=now)),
                ("slowdown", tracked.slowdown),
                ("held_bytes", tracked.held_bytes),
                ("left_s", round(opened.deadline - now, 3)),
                ("version_reason", choice.reason.value),
                *list_session_inputs(opened, session_version),
            ),
        ),
        build_send_effect(opened, tracked.listed, attempt, now=now),
    ]


def count_version_change(
    session_version: str, version: str, reason: version_choice.ChoiceReason
) -> list[effects.Effect]:
    """Counts an attempt on another version than its session's last one."""
    if session_version in ("", version):
        return []
    return [fx.Count(f"session_version_changes.{reason.value}")]


def list_session_inputs(
    opened: states.OpenRequest, session_version: str
) -> tuple[fx.LogInput, ...]:
    """Returns a request's session in the form that log lines have.

    Args:
        opened: The request.
        session_version: Version of the session's last request at this entry;
            empty if it isn't alive here.
    """
    session = opened.request.session
    if not session:
        return ()
    return (
        ("session", f"{name_hashes.hash_name(session):08x}"),
        ("session_version", session_version),
    )


def compute_excess_wait_s(
    opened: states.OpenRequest,
    decision: placement.PlacementDecision,
    *,
    now: float,
) -> float:
    """Returns how far the expected wait exceeds the time left, in seconds.

    Guards against engines that have more prompts queued than they can process
    before callers time out: one more prompt would be answered too late, and
    delay those behind it. Only generations that haven't been sent anywhere
    are refused; other requests wait for milliseconds only.
    """
    if opened.request.generation is None or opened.attempts:
        return 0.0
    # The expected wait is an upper estimate: it assumes that prompts are
    # processed one after the other, and in full, while engines have parts of
    # them in their prefix caches.
    min_wait_s = defaults.MIN_WAIT_SHARE * decision.expected_wait_s
    return min_wait_s - (opened.deadline - now)


def describe_load_age(
    tracked: upstreams.TrackedUpstream, *, now: float
) -> float | str:
    """Returns the age of an upstream's load report, for the log."""
    if tracked.load is None:
        return "no report"
    return round(now - tracked.load_at, 3)


def begin_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    tracked: upstreams.TrackedUpstream,
    *,
    now: float,
) -> attempt_states.Attempt:
    """Adds an attempt on an upstream to the request, and accounts for it."""
    upstream = tracked.listed
    generation = opened.request.generation
    uncached_tokens = engine_work.count_uncached_tokens(
        generation, count_cached_tokens(state, opened, upstream, now=now)
    )
    speed = state.prefill_speeds.find(opened.service, find_model(opened))
    attempt = attempt_states.Attempt(
        number=len(opened.attempts) + 1,
        request_bytes=opened.request.size_bytes,
        upstream=upstream.upstream_id,
        upstream_started_ms=upstream.started_ms,
        service=opened.service,
        version=upstream.version,
        model=opened.model,
        sent_at=now,
        last_progress_at=now,
        uncached_tokens=uncached_tokens,
        prefill_s=uncached_tokens / speed,
        backlog_s=engine_load.sum_backlog_s(
            tracked, state.peer_workload, now=now
        ),
    )
    crash_guard.begin_attempt(state, opened.traits, attempt, now=now)
    opened.attempts.append(attempt)
    state.view.start_attempt(opened.request.request_id, attempt)
    state.view.limits.take(upstream.upstream_id, upstream.started_ms, now=now)
    state.view.cold.record_send(
        opened.service, upstream.upstream_id, upstream.started_ms, now=now
    )
    if generation is not None:
        state.prefixes.record(
            upstream=upstream.upstream_id,
            model=find_model(opened),
            prompt=generation.prompt,
            now=now,
        )
    if (
        attempt.prefill_s >= defaults.IMMEDIATE_REPORT_WORK_S
        and state.next_load_update_at is None
    ):
        state.next_load_update_at = now + defaults.LOAD_BATCH_S
    rollouts.record_placement(state, opened, attempt.version, now=now)
    return attempt


def find_model(opened: states.OpenRequest) -> str:
    """Returns the model that the request's next attempt runs on, or ""."""
    generation = opened.request.generation
    return opened.model or (generation.model if generation else "")


def count_cached_tokens(
    state: states.RouterState,
    opened: states.OpenRequest,
    upstream: upstreams.Upstream,
    *,
    now: float,
) -> int:
    """Returns how many prompt tokens an upstream has probably cached."""
    generation = opened.request.generation
    if generation is None:
        return 0
    return state.prefixes.count_cached_tokens(
        upstream=upstream.upstream_id,
        model=find_model(opened),
        prompt=generation.prompt,
        now=now,
    )


def compute_prefill_s_per_block(
    state: states.RouterState, opened: states.OpenRequest
) -> float:
    """Returns the estimated prefill time of a prompt block, in seconds."""
    speed = state.prefill_speeds.find(opened.service, find_model(opened))
    return defaults.TOKENS_PER_BLOCK / speed


def build_send_effect(
    opened: states.OpenRequest,
    upstream: upstreams.Upstream,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> effects.SendAttempt:
    """Returns the effect that sends an attempt."""
    request = opened.request
    left_s = max(opened.deadline - now, 0.0)
    return effects.SendAttempt(
        request_id=request.request_id,
        attempt=attempt.number,
        attempt_id=request.attempt_id,
        upstream_id=upstream.upstream_id,
        address=upstream.address,
        method=request.method,
        target=request.target,
        host=request.host,
        headers=request.headers,
        body=request.body,
        time_left_s=left_s,
        organisation=opened.organisation,
        model=opened.model,
        priority=min(opened.priority, MAX_PRIORITY),
        resume_after=opened.last_event_id or request.resume_after,
        streamed=opened.is_stream,
        connect_timeout_s=min(defaults.CONNECT_TIMEOUT_S, max(left_s, 0.01)),
    )


def build_candidate(
    state: states.RouterState,
    opened: states.OpenRequest,
    tracked: upstreams.TrackedUpstream,
    *,
    now: float,
) -> placement.Candidate:
    """Returns an upstream's state and load in the form placement takes."""
    listed = tracked.listed
    times = state.view.get_service_times(opened.service)
    cached_tokens = count_cached_tokens(state, opened, listed, now=now)
    load = tracked.load
    backlog_s = engine_load.sum_backlog_s(tracked, state.peer_workload, now=now)
    return placement.Candidate(
        name=listed.upstream_id,
        own_in_flight=tracked.in_flight,
        peer_in_flight=state.peer_workload.find(listed.upstream_id).in_flight,
        own_at_report=tracked.own_at_report,
        running=load.running if load else 0,
        waiting=load.waiting if load else 0,
        max_batch=max(1, load.slots if load else listed.slots),
        report_age_s=now - tracked.load_at if load else math.inf,
        latency_ms=compute_distance_ms(state, opened, tracked),
        cached_blocks=cached_tokens // defaults.TOKENS_PER_BLOCK,
        service_s=times.answer_s,
        backlog_s=backlog_s,
        slowdown=predict_slowdown(
            state, opened, tracked, backlog_s=backlog_s, now=now
        ),
    )


def predict_slowdown(
    state: states.RouterState,
    opened: states.OpenRequest,
    tracked: upstreams.TrackedUpstream,
    *,
    backlog_s: float,
    now: float,
) -> float:
    """Returns by which factor a request would take longer at an upstream.

    The factor is relative to the hosts on which usual times were learnt.

    Args:
        state: The router's state.
        opened: The request.
        tracked: The upstream.
        backlog_s: Work queued there, in seconds.
        now: Current time, in seconds.
    """
    mean = state.view.get_service_times(opened.service).slowdown
    if tracked.slowdown == mean:
        return 1.0
    usual_s = find_answer_s(state, opened)
    if usual_s == 0.0:
        prompt_s = count_prompt_blocks(opened) * compute_prefill_s_per_block(
            state, opened
        )
        usual_s = backlog_s + prompt_s
    slowdown = state.slowdowns.predict(
        tracked.slowdown,
        mean=mean,
        age_s=now - tracked.load_at,
        duration_s=usual_s,
    )
    return slowdown / mean


def find_answer_s(
    state: states.RouterState, opened: states.OpenRequest
) -> float:
    """Returns the usual time of a plain answer, in seconds; 0 for streams."""
    if opened.is_stream:
        return 0.0
    times = state.view.get_service_times(opened.service)
    return times.answer_s_by_route.get(opened.route.name, times.answer_s)


def compute_distance_ms(
    state: states.RouterState,
    opened: states.OpenRequest,
    tracked: upstreams.TrackedUpstream,
) -> float:
    """Returns how much longer an upstream elsewhere has to be worth, in ms.

    Plain requests carry few bytes. Where hosts report their speed, the
    difference between two of them decides whether the answer is in time, so
    that the penalty doesn't exceed a share of the route's objective.
    """
    if tracked.listed.data_centre == state.settings.data_centre:
        return 0.0
    penalty_ms = defaults.OTHER_DATA_CENTRE_PENALTY_MS
    load = tracked.load
    if opened.is_stream or load is None or not load.states_slowdown:
        return penalty_ms
    objective_ms = opened.route.target_latency_s * MS_PER_S
    return min(penalty_ms, defaults.DISTANCE_OBJECTIVE_SHARE * objective_ms)


def count_prompt_blocks(opened: states.OpenRequest) -> int:
    """Returns the length of the request's prompt, in cache blocks."""
    generation = opened.request.generation
    return (
        generation.prompt_tokens // defaults.TOKENS_PER_BLOCK
        if generation
        else 0
    )


def find_affinity_upstream(
    state: states.RouterState,
    opened: states.OpenRequest,
    usable: list[upstreams.TrackedUpstream],
) -> str:
    """Returns the upstream preferred for the request's prompt, or "".

    Rendezvous hashing of the affinity key gives the same upstream on every
    entry of the data centre, so that its prefix cache is used again.
    """
    if opened.request.generation is None:
        return ""
    local = [
        each.listed.upstream_id
        for each in usable
        if each.listed.data_centre == state.settings.data_centre
    ]
    names = local or [each.listed.upstream_id for each in usable]
    return rendezvous.select(opened.request.affinity_key, names) or ""


def compute_affinity_credit_s(
    state: states.RouterState, opened: states.OpenRequest
) -> float:
    """Returns how much longer the preferred upstream may take, in seconds.

    This is a share of the prefill time that a cached prefix would save, with
    a fixed minimum.
    """
    generation = opened.request.generation
    shared_tokens = generation.shared_tokens if generation else 0
    saved_s = shared_tokens / state.prefill_speeds.find(
        opened.service, find_model(opened)
    )
    credit_s = defaults.AFFINITY_PREFILL_SHARE * saved_s
    return max(defaults.AFFINITY_CREDIT_S, credit_s)


def build_size_context(
    opened: states.OpenRequest, *, now: float
) -> size_policy.SizeContext:
    """Returns the properties of a request that decide its model size."""
    generation = opened.request.generation
    target_latency_s = opened.route.target_latency_s
    return size_policy.SizeContext(
        sizes=opened.route.sizes,
        left_s=opened.deadline - now,
        target_latency_left_s=opened.arrived_at + target_latency_s - now,
        prompt_tokens=generation.prompt_tokens if generation else 0,
        expected_output_tokens=generation.expected_output_tokens
        if generation
        else 0,
    )


def acquire_retry(
    state: states.RouterState,
    opened: states.OpenRequest,
    *,
    now: float,
    uses_budget: bool = True,
) -> bool:
    """Returns whether another attempt may be made, and charges its budget.

    Args:
        state: The router's state.
        opened: The request.
        now: Current time, in seconds.
        uses_budget: Whether the attempt counts against the retry budget,
            because the one before it reached its upstream.
    """
    not_run = attempt_states.has_not_run(opened.attempts)
    if not (not_run or opened.route.repeatable):
        return False
    if (
        attempt_states.count_possible_runs(opened.attempts)
        >= opened.route.max_attempts
    ):
        return False
    if opened.deadline - now < defaults.MIN_ATTEMPT_S:
        return False
    if not crash_guard.check(state, opened.traits, now=now).is_granted:
        return False
    if not has_usable_upstream(state, opened, now=now):
        return False
    return not uses_budget or state.budget.take(opened.service, now=now)


def has_usable_upstream(
    state: states.RouterState, opened: states.OpenRequest, *, now: float
) -> bool:
    """Returns whether the request could be sent to an upstream now."""
    return bool(version_choice.choose(state, opened, now=now).usable)


def give_up(
    state: states.RouterState,
    opened: states.OpenRequest,
    code: errors.ErrorCode,
    *,
    now: float,
    min_retry_after_s: float = 0.0,
    awaited: frozenset[str] = upstreams.ALL_VERSIONS,
) -> list[effects.Effect]:
    """Ends a request that no upstream has answered in full.

    The status is 504 after the deadline; before it, 503 if the request
    provably hasn't run and 502 if it may have. An answer that has already
    begun is cut off instead.

    Args:
        state: The router's state.
        opened: The request.
        code: Why it ends.
        now: Current time, in seconds.
        min_retry_after_s: Lower bound of Retry-After, in seconds.
        awaited: The versions that its session has to wait for; empty if it
            would run on any.
    """
    request = opened.request
    del state.open_requests[request.request_id]
    not_run = attempt_states.has_not_run(opened.attempts)
    late = now >= opened.deadline
    status = http.HTTPStatus.BAD_GATEWAY
    if late:
        status = http.HTTPStatus.GATEWAY_TIMEOUT
    elif not_run:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = None
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_s = min_retry_after_s + compute_retry_after_s(
            state, opened.service, now=now, versions=awaited
        )
        retry_after_s = round(retry_after_s, 2)
    log = fx.LogDecision(
        decision="broken_off" if opened.answer_started else "given_up",
        request_id=request.attempt_id,
        organisation=opened.organisation,
        model=opened.model,
        upstream=opened.attempts[-1].upstream if opened.attempts else "",
        reason=code.value,
        attempt=len(opened.attempts),
        inputs=(
            ("status", 0 if opened.answer_started else int(status)),
            ("age_s", round(now - opened.arrived_at, 3)),
            ("states", ",".join(x.state.value for x in opened.attempts)),
            *([("awaited", ",".join(sorted(awaited)))] if awaited else []),
            *evacuation_list.build_refusal_inputs(
                state, opened.service, now=now
            ),
        ),
    )
    if opened.answer_started:
        return [
            log,
            fx.Count("broken_off"),
            effects.AbortAnswer(request.request_id),
        ]
    return [
        log,
        fx.Count(f"given_up.{code.value}"),
        effects.RefuseRequest(
            request_id=request.request_id,
            status=int(status),
            code=code.value,
            retry_after_s=retry_after_s,
        ),
    ]


def compute_retry_after_s(
    state: states.RouterState,
    service: str,
    *,
    now: float,
    versions: frozenset[str] = upstreams.ALL_VERSIONS,
) -> float:
    """Returns the Retry-After of a service's request, in seconds.

    If no upstream of the service accepts requests, it is counted from the time
    at which the next one accepts them again. Where limits are the reason,
    requests get successive times at the rate that the limits allow.

    Args:
        state: The router's state.
        service: The service.
        now: In seconds.
        versions: The versions that may run the request; empty for all.
    """
    random_s = draw_retry_after_s(state)
    accepting = state.view.list_accepting(service, now=now)
    if versions:
        accepting = version_choice.select_versions(accepting, versions)
    if accepting:
        return random_s
    waits_s: list[float] = []
    reopening = state.view.find_reopening_time(
        service, now=now, versions=versions
    )
    if reopening is not None:
        waits_s.append(reopening - now)
    limits_per_s = state.view.sum_limits_per_s(
        service, now=now, versions=versions
    )
    if limits_per_s > 0.0:
        entries = 1 + len(state.entries.list_live(now=now))
        waits_s.append(
            state.view.limits.reserve_slot(
                service, interval_s=entries / limits_per_s, now=now
            )
        )
    return min(waits_s, default=0.0) + random_s


def draw_retry_after_s(state: states.RouterState) -> float:
    """Returns a random Retry-After, in seconds, so that retries spread out."""
    return round(
        state.rng.uniform(
            defaults.RETRY_AFTER_LOW_S, defaults.RETRY_AFTER_HIGH_S
        ),
        2,
    )


def is_buffered(route: configuration.Route) -> bool:
    """Returns whether the route's answers are sent whole, not streamed."""
    return route.kind is not configuration.RouteKind.STREAM
