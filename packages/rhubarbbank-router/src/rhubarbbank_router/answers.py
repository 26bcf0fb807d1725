"""Handles the answers of upstreams and relays them to callers.

A plain answer is relayed once it is complete, a stream event by event as soon
as its first event is complete. Until then a request may still be sent to
another upstream.
"""

import http

from rhubarbbank_core import answer_bounds
from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import answer_statuses
from rhubarbbank_router import attempt_ends
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_evidence
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import event_stream
from rhubarbbank_router import events
from rhubarbbank_router import hedges
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0


def handle_data(
    state: states.RouterState, data: events.UpstreamData, *, now: float
) -> list[effects.Effect]:
    """Handles bytes of an upstream's answer.

    In a stream, only an event with a new id counts as progress: one that only
    sends single bytes, comments or its last event again has stalled. An
    answer that exceeds the size limits is aborted.
    """
    found = state.find_open_attempt(data.request_id, data.attempt)
    if found is None:
        return []
    opened, attempt = found
    if not opened.is_stream or attempt.status != http.HTTPStatus.OK:
        attempt_evidence.record_progress(state, attempt, now=now)
        attempt.body += data.data
        if len(attempt.body) > answer_bounds.MAX_ANSWER_BYTES:
            return abort_oversized(state, opened, attempt, now=now)
        return crash_evidence.record_progress(state, opened, attempt, now=now)
    attempt.idle_bytes += len(data.data)
    attempt.stream_bytes += len(data.data)
    out: list[effects.Effect] = []
    for event in attempt.splitter.feed(data.data):
        if advances_stream(attempt, event):
            attempt_evidence.record_progress(state, attempt, now=now)
            attempt.last_event_id = event.event_id
            attempt.idle_bytes = len(attempt.splitter.partial)
            out += crash_evidence.record_progress(
                state, opened, attempt, now=now
            )
        out += forward_event(state, opened, attempt, event, now=now)
    if exceeds_size_limits(attempt):
        out += abort_oversized(state, opened, attempt, now=now)
    return out


def exceeds_size_limits(attempt: attempt_states.Attempt) -> bool:
    """Returns whether a stream has sent too many bytes.

    There is a limit for the whole stream, and one for the bytes since the last
    event that advanced it.
    """
    return (
        attempt.idle_bytes > answer_bounds.MAX_IDLE_BYTES
        or attempt.stream_bytes > answer_bounds.MAX_ANSWER_BYTES
    )


def advances_stream(
    attempt: attempt_states.Attempt, event: event_stream.StreamEvent
) -> bool:
    """Returns whether an event comes after the attempt's last one.

    The caller may have received it from an earlier attempt.
    """
    if not event.event_id:
        return False
    return event_stream.follows(event.event_id, attempt.last_event_id)


def abort_oversized(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Cancels an attempt whose answer exceeds the size limits."""
    cancelled = attempt_ends.cancel_attempt(state, opened, attempt, now=now)
    detail = "more bytes than an answer has"
    return [
        *cancelled,
        *attempt_ends.handle_failure(
            state, opened, attempt, detail, now=now, may_be_crash=False
        ),
    ]


def forward_event(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    event: event_stream.StreamEvent,
    *,
    now: float,
) -> list[effects.Effect]:
    """Forwards one event, unless the caller has already received it."""
    out: list[effects.Effect] = []
    attempt.events += 1
    if attempt.first_event_at is None:
        attempt.first_event_at = now
        out += record_first_event(state, opened, attempt, now=now)
    elif (
        attempt.events == defaults.MIN_EVENTS_FOR_PACE
        and attempt_evidence.is_slow(state, opened, attempt, now=now)
    ):
        # Recorded now, since evidence of a slow stream at its end is too late.
        attempt_evidence.record_trial_evidence(
            state, opened, attempt, failed=False, slow=True, now=now
        )
    last = opened.last_event_id
    if last and not event_stream.follows(event.event_id, last):
        return out
    if not opened.answer_started:
        out += hedges.settle(state, opened, attempt, now=now)
        opened.answer_started = True
        opened.version = attempt.version
        out.append(
            effects.BeginAnswer(
                opened.request.request_id, attempt.status, attempt.headers
            )
        )
    if event.event_id:
        opened.last_event_id = event.event_id
        opened.record_event(now=now)
    out.append(effects.WriteAnswer(opened.request.request_id, event.raw))
    return out


def record_first_event(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Updates the usual times with the time to an attempt's first event."""
    times = state.view.get_service_times(attempt.service)
    waited_s = now - attempt.sent_at
    if not attempt_evidence.is_on_trial(state, attempt):
        times.first_event_s = upstreams.smooth(times.first_event_s, waited_s)
    state.prefill_speeds.learn(attempt, waited_s=waited_s)
    attempt_evidence.record_response_time(state, opened, attempt, now=now)
    if opened.answer_started:
        return []
    total_s = now - opened.arrived_at
    return [
        fx.Timing("first_event", total_s * MS_PER_S),
        *hedges.time_answer(state, opened, "first_event", now=now),
    ]


def handle_end(
    state: states.RouterState, ended: events.UpstreamEnded, *, now: float
) -> list[effects.Effect]:
    """Handles the end of an exchange with an upstream."""
    found = state.find_open_attempt(ended.request_id, ended.attempt)
    if found is None:
        return []
    opened, attempt = found
    attempt_ends.release_attempt(state, opened, attempt, now=now)
    match ended.end:
        case events.AttemptEnd.UNREACHED:
            return handle_unreached(state, opened, attempt, ended, now=now)
        case events.AttemptEnd.BROKEN:
            return attempt_ends.handle_failure(
                state, opened, attempt, ended.detail, now=now
            )
        case events.AttemptEnd.COMPLETE:
            return handle_complete(
                state,
                opened,
                attempt,
                now=now,
                ended_by_close=ended.ended_by_close,
            )


def handle_unreached(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    ended: events.UpstreamEnded,
    *,
    now: float,
) -> list[effects.Effect]:
    """Handles an attempt of which no byte reached the upstream."""
    attempt.state = attempt_states.AttemptState.NOT_SENT
    opened.excluded.add(attempt.upstream)
    out: list[effects.Effect] = [
        attempt_log.build_attempt_line(
            opened,
            attempt,
            decision="unreached",
            reason=ended.detail,
            inputs=(("waited_s", round(now - attempt.sent_at, 3)),),
        )
    ]
    out += attempt_ends.record_upstream_failure(
        state, attempt.upstream, now=now, weight=3
    )
    if opened.open_attempts:
        return out
    if dispatch.acquire_retry(state, opened, now=now, uses_budget=False):
        resent = dispatch.send(state, opened, now=now, cause="unreached")
        return [*out, *resent]
    code = errors.ErrorCode.NO_UPSTREAM
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def handle_complete(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
    ended_by_close: bool,
) -> list[effects.Effect]:
    """Handles an exchange that ended with a complete HTTP response."""
    if attempt.splitter.partial:
        return attempt_ends.handle_failure(
            state, opened, attempt, "ended inside an event", now=now
        )
    if ended_by_close and is_empty_stream(opened, attempt):
        return attempt_ends.handle_failure(
            state, opened, attempt, "ended before the first event", now=now
        )
    failed = attempt.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    if failed or hedges.waits_for_other(opened, attempt):
        retry = attempt_ends.retry_after_error_status(
            state, opened, attempt, now=now
        )
        if retry is not None:
            return retry
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=failed
    )
    if opened.answer_started and attempt.status != http.HTTPStatus.OK:
        # The caller has a part of a stream, and this response can't resume it.
        code = errors.ErrorCode.UPSTREAM_FAILED
        return dispatch.give_up(state, opened, code, now=now)
    if not answer_statuses.may_relay(opened, attempt.status):
        return withhold_answer(state, opened, attempt, now=now)
    request_id = opened.request.request_id
    del state.open_requests[request_id]
    settled = hedges.settle(state, opened, attempt, now=now)
    cleared = crash_evidence.record_whole_answer(
        state, opened, attempt, now=now, ended_by_close=ended_by_close
    )
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
            ("events", attempt.events),
            ("ended_by_close", ended_by_close),
            *build_timing_inputs(opened),
        ),
    )
    timing = fx.Timing("answer", (now - opened.arrived_at) * MS_PER_S)
    if opened.answer_started:
        return [*cleared, log, timing, effects.FinishAnswer(request_id)]
    return [
        *cleared,
        log,
        timing,
        *hedges.time_answer(state, opened, "answer", now=now),
        *settled,
        effects.RelayAnswer(
            request_id=request_id,
            status=attempt.status,
            headers=attempt.headers,
            body=bytes(attempt.body),
        ),
    ]


def withhold_answer(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Gives up on a request whose answer's status would deny that it ran."""
    log = attempt_log.build_attempt_line(
        opened,
        attempt,
        decision="answer_withheld",
        reason="its status denies a run",
        inputs=(("status", attempt.status),),
    )
    code = errors.ErrorCode.UPSTREAM_FAILED
    given_up = dispatch.give_up(state, opened, code, now=now)
    return [log, fx.Count("withheld_answers"), *given_up]


def is_empty_stream(
    opened: states.OpenRequest, attempt: attempt_states.Attempt
) -> bool:
    """Returns whether a successful stream has had no event."""
    is_successful = attempt.status == http.HTTPStatus.OK
    return opened.is_stream and is_successful and not attempt.events


def build_timing_inputs(opened: states.OpenRequest) -> tuple[fx.LogInput, ...]:
    """Returns log inputs on when a stream's events were forwarded."""
    if opened.first_event_at is None:
        return ()
    waited_s = opened.first_event_at - opened.arrived_at
    return (
        ("first_event_s", round(waited_s, 3)),
        ("longest_pause_s", round(opened.longest_pause_s, 3)),
    )


def handle_caller_left(
    state: states.RouterState, request_id: str, *, now: float
) -> list[effects.Effect]:
    """Drops a request whose caller has closed the connection."""
    state.held_requests.pop(request_id, None)
    opened = state.open_requests.pop(request_id, None)
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
    for attempt in opened.open_attempts:
        out += attempt_ends.cancel_attempt(state, opened, attempt, now=now)
        crash_evidence.record_unanswered(state, opened, attempt, now=now)
    return out
