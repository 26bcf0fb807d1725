"""Takes what upstreams answer, and passes it on to callers.

Plain answers are passed on once they are whole, streams event by event from
the first whole event on; until then a request may still go elsewhere.
"""

import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import event_stream
from rhubarbbank_router import events
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0


def find_open(
    state: states.RouterState, request_id: str, number: int
) -> tuple[states.OpenRequest, attempt_states.Attempt] | None:
    """Returns the request and its attempt if that one is under way."""
    opened = state.open.get(request_id)
    if opened is None:
        return None
    attempt = opened.current
    if attempt is None or attempt.number != number:
        return None
    return opened, attempt


def take_head(
    state: states.RouterState, head: events.UpstreamHead, *, now: float
) -> list[effects.Effect]:
    """Takes the head of an upstream's answer."""
    found = find_open(state, head.request_id, head.attempt)
    if found is None:
        return []
    opened, attempt = found
    note_heard(state, attempt, now=now)
    if head.load is not None:
        state.view.note_load(attempt.upstream, head.load, now=now)
    out = take_notices(state, attempt, head, now=now)
    if head.refused or head.misdirected:
        return [*out, *take_refusal(state, opened, attempt, head, now=now)]
    if not head.genuine:
        out += close_attempt(state, opened, attempt, now=now)
        out += fail(state, opened, attempt, "no genuine answer", now=now)
        return out
    attempt.status = head.status
    attempt.headers = head.headers
    attempt.state = attempt_states.AttemptState.ANSWERED
    return [*out, *step_up(state, opened, attempt, head, now=now)]


def take_notices(
    state: states.RouterState,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Takes what an upstream says of itself, before anything is sent on.

    A misdirected answer speaks of another upstream.
    """
    if head.misdirected:
        return []
    out: list[effects.Effect] = []
    if head.leaving and state.view.note_leaving(attempt.upstream):
        out.append(
            fx.LogDecision(
                decision="upstream_leaving",
                upstream=attempt.upstream,
                version=attempt.version,
                reason="it said so",
                inputs=(("status", head.status),),
            )
        )
    unavailable = head.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    if unavailable and head.closed_s is not None:
        state.view.note_closed(attempt.upstream, head.closed_s, now=now)
        out.append(
            fx.LogDecision(
                decision="upstream_closed",
                upstream=attempt.upstream,
                reason="it asked for nothing more",
                inputs=(("for_s", head.closed_s),),
            )
        )
    return out


def take_refusal(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Takes that an upstream did not run the request."""
    attempt.state = attempt_states.AttemptState.REFUSED
    cancel = close_attempt(state, opened, attempt, now=now)
    opened.excluded.add(attempt.upstream)
    if head.misdirected:
        state.view.note_misdirected(attempt.upstream)
    elif head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        state.view.note_full(attempt.upstream, now=now)
    log = attempt_log.log_attempt(
        opened,
        attempt,
        decision="refused_by_upstream",
        reason="misdirected" if head.misdirected else "not run",
        inputs=(("status", head.status),),
    )
    count = fx.Count("upstream_refusals")
    if dispatch.may_try_again(state, opened, now=now):
        again = dispatch.send(state, opened, now=now, cause="refused")
        return [log, count, *cancel, *again]
    code = errors.ErrorCode.OVERLOADED
    return [
        log,
        count,
        *cancel,
        *dispatch.give_up(state, opened, code, now=now),
    ]


def step_up(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Asks a larger model instead, if this one is unsure of its answer."""
    untouched = not opened.begun and head.status == http.HTTPStatus.OK
    if not opened.model or head.confidence is None or not untouched:
        return []
    if not opened.route.repeatable:
        return []
    larger = state.sizes.step_up(
        dispatch.ask_size(opened, now=now),
        model=opened.model,
        confidence=head.confidence,
    )
    if larger is None:
        return []
    runs = attempt_states.count_runs(opened.attempts)
    if runs >= opened.route.max_attempts:
        return []
    share = defaults.STEP_UP_BUDGET_SHARE
    if not state.budget.take(opened.service, now=now, share=share):
        return []
    attempt_evidence.finish_attempt(
        state, opened, attempt, now=now, failed=False
    )
    cancel = close_attempt(state, opened, attempt, now=now)
    log = fx.LogDecision(
        decision="stepped_up",
        request_id=opened.request.attempt_id,
        model=larger,
        reason=f"confidence of {opened.model}",
        attempt=attempt.number,
        inputs=(("confidence", head.confidence),),
    )
    opened.model = larger
    again = dispatch.send(state, opened, now=now, cause="step up")
    return [log, fx.Count("step_ups"), *cancel, *again]


def take_data(
    state: states.RouterState, data: events.UpstreamData, *, now: float
) -> list[effects.Effect]:
    """Takes bytes of an upstream's answer.

    Of a stream only whole events are a sign of life: one that sends a byte
    now and then has stalled.
    """
    found = find_open(state, data.request_id, data.attempt)
    if found is None:
        return []
    opened, attempt = found
    if not opened.is_stream or attempt.status != http.HTTPStatus.OK:
        note_heard(state, attempt, now=now)
        attempt.body += data.data
        return []
    out: list[effects.Effect] = []
    for event in attempt.cutter.feed(data.data):
        note_heard(state, attempt, now=now)
        out += pass_on(state, opened, attempt, event, now=now)
    return out


def note_heard(
    state: states.RouterState, attempt: attempt_states.Attempt, *, now: float
) -> None:
    """Notes that an attempt makes progress."""
    attempt.heard_at = now
    state.view.note_heard(attempt.upstream, now=now)


def pass_on(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    event: event_stream.StreamEvent,
    *,
    now: float,
) -> list[effects.Effect]:
    """Passes one event on, unless the caller has it."""
    out: list[effects.Effect] = []
    attempt.events += 1
    if attempt.first_event_at is None:
        attempt.first_event_at = now
        out += note_first_event(state, opened, attempt, now=now)
    elif attempt.events == defaults.LEAST_EVENTS_FOR_PACE:
        # A slow stream would tell too late at its end.
        times = state.view.read_times(attempt.service)
        if attempt_evidence.is_slow(opened, attempt, times, now=now):
            attempt_evidence.judge_attempt(
                state, opened, attempt, failed=False, slow=True, now=now
            )
    last = opened.last_event_id
    if last and not event_stream.follows(event.event_id, last):
        return out
    if not opened.begun:
        opened.begun = True
        opened.version = attempt.version
        out.append(
            effects.BeginAnswer(
                opened.request.request_id, attempt.status, attempt.headers
            )
        )
    opened.last_event_id = event.event_id
    opened.note_event(now=now)
    out.append(effects.WriteAnswer(opened.request.request_id, event.raw))
    return out


def note_first_event(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Learns from the time to an attempt's first event."""
    times = state.view.read_times(attempt.service)
    waited_s = now - attempt.sent_at
    if not attempt_evidence.is_on_trial(state, attempt):
        times.first_event_s = upstreams.smooth(times.first_event_s, waited_s)
    state.speeds.learn(attempt, waited_s=waited_s)
    if opened.begun:
        return []
    total_s = now - opened.arrived_at
    return [fx.Timing("first_event", total_s * MS_PER_S)]


def take_end(
    state: states.RouterState, ended: events.UpstreamEnded, *, now: float
) -> list[effects.Effect]:
    """Takes the end of an exchange with an upstream."""
    found = find_open(state, ended.request_id, ended.attempt)
    if found is None:
        return []
    opened, attempt = found
    drop_attempt(state, opened, attempt, now=now)
    match ended.end:
        case events.AttemptEnd.UNREACHED:
            return take_unreached(state, opened, attempt, ended, now=now)
        case events.AttemptEnd.BROKEN:
            return fail(state, opened, attempt, ended.detail, now=now)
        case events.AttemptEnd.COMPLETE:
            return take_complete(state, opened, attempt, now=now)


def take_unreached(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    ended: events.UpstreamEnded,
    *,
    now: float,
) -> list[effects.Effect]:
    """Takes that no byte reached the upstream."""
    attempt.state = attempt_states.AttemptState.NOT_SENT
    opened.excluded.add(attempt.upstream)
    out: list[effects.Effect] = [
        attempt_log.log_attempt(
            opened,
            attempt,
            decision="unreached",
            reason=ended.detail,
            inputs=(("waited_s", round(now - attempt.sent_at, 3)),),
        )
    ]
    out += set_aside(state, attempt.upstream, now=now, weight=3)
    if dispatch.may_try_again(state, opened, now=now, counted=False):
        again = dispatch.send(state, opened, now=now, cause="unreached")
        return [*out, *again]
    code = errors.ErrorCode.NO_UPSTREAM
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def take_complete(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Takes a whole answer."""
    if attempt.cutter.rest:
        return fail(state, opened, attempt, "ended inside an event", now=now)
    failed = attempt.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    if failed:
        retry = retry_failure(state, opened, attempt, now=now)
        if retry is not None:
            return retry
    attempt_evidence.finish_attempt(
        state, opened, attempt, now=now, failed=failed
    )
    if opened.begun and attempt.status != http.HTTPStatus.OK:
        # The rest of the stream is missing.
        code = errors.ErrorCode.UPSTREAM_FAILED
        return dispatch.give_up(state, opened, code, now=now)
    request_id = opened.request.request_id
    del state.open[request_id]
    state.suspects.clear(opened.fingerprint)
    log = fx.LogDecision(
        decision="answered",
        request_id=opened.request.attempt_id,
        organisation=opened.organisation,
        model=attempt.model,
        version=attempt.version,
        upstream=attempt.upstream,
        reason="whole answer",
        attempt=attempt.number,
        inputs=(
            ("status", attempt.status),
            ("age_s", round(now - opened.arrived_at, 3)),
            *describe_events(opened),
        ),
    )
    took = fx.Timing("answer", (now - opened.arrived_at) * MS_PER_S)
    if opened.begun:
        return [log, took, effects.FinishAnswer(request_id)]
    return [
        log,
        took,
        effects.RelayAnswer(
            request_id=request_id,
            status=attempt.status,
            headers=attempt.headers,
            body=bytes(attempt.body),
        ),
    ]


def describe_events(opened: states.OpenRequest) -> tuple[fx.LogInput, ...]:
    """Returns when a stream's events were passed on, for the log."""
    if opened.first_event_at is None:
        return ()
    waited_s = opened.first_event_at - opened.arrived_at
    return (
        ("first_event_s", round(waited_s, 3)),
        ("longest_pause_s", round(opened.longest_pause_s, 3)),
    )


def retry_failure(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect] | None:
    """Tries again after an upstream's own failure; None if that can't be."""
    if attempt.status == http.HTTPStatus.GATEWAY_TIMEOUT:
        return None
    opened.excluded.add(attempt.upstream)
    if not dispatch.may_try_again(state, opened, now=now):
        return None
    attempt_evidence.finish_attempt(
        state, opened, attempt, now=now, failed=True
    )
    log = attempt_log.log_attempt(
        opened,
        attempt,
        decision="failed_attempt",
        reason="failure of the upstream",
        inputs=(("status", attempt.status),),
    )
    again = dispatch.send(state, opened, now=now, cause="failure")
    return [log, fx.Count("failed_attempts"), *again]


def fail(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    detail: str,
    *,
    now: float,
) -> list[effects.Effect]:
    """Goes on after an attempt that broke off once it had been sent."""
    attempt_evidence.finish_attempt(
        state, opened, attempt, now=now, failed=True
    )
    opened.excluded.add(attempt.upstream)
    crashes = state.suspects.note(opened.fingerprint, now=now)
    out: list[effects.Effect] = [
        attempt_log.log_attempt(
            opened,
            attempt,
            decision="failed_attempt",
            reason=detail,
            inputs=(
                ("age_s", round(now - attempt.sent_at, 3)),
                ("crashes", crashes),
            ),
        ),
        fx.Count("failed_attempts"),
    ]
    if dispatch.may_try_again(state, opened, now=now):
        again = dispatch.send(state, opened, now=now, cause="broken off")
        return [*out, *again]
    code = errors.ErrorCode.UPSTREAM_LOST
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def set_aside(
    state: states.RouterState, upstream: str, *, now: float, weight: int
) -> list[effects.Effect]:
    """Notes a failure; logs if the upstream is set aside for it."""
    if not state.view.note_failure(upstream, now=now, weight=weight):
        return []
    belief = state.view.beliefs[upstream]
    return [
        fx.LogDecision(
            decision="upstream_set_aside",
            upstream=upstream,
            reason="failures in a row",
            inputs=(
                ("failures", belief.failures),
                ("for_s", belief.set_aside_s),
            ),
        ),
        fx.Count("upstreams_set_aside"),
    ]


def close_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Breaks an attempt off."""
    drop_attempt(state, opened, attempt, now=now)
    return [effects.CancelAttempt(opened.request.request_id, attempt.number)]


def drop_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Notes that nothing more comes of an attempt."""
    if attempt.open:
        attempt.open = False
        state.sessions.end(opened.request.session, now=now)
        state.view.finish(opened.request.request_id, attempt.upstream)


def drop_caller(
    state: states.RouterState, request_id: str, *, now: float
) -> list[effects.Effect]:
    """Ends a request whose caller has left."""
    state.held.pop(request_id, None)
    opened = state.open.pop(request_id, None)
    if opened is None:
        return []
    log = fx.LogDecision(
        decision="caller_left",
        request_id=opened.request.attempt_id,
        organisation=opened.organisation,
        reason="connection closed",
        inputs=(("age_s", round(now - opened.arrived_at, 3)),),
    )
    out: list[effects.Effect] = [log, fx.Count("callers_left")]
    attempt = opened.current
    if attempt is not None:
        out += close_attempt(state, opened, attempt, now=now)
    return out
