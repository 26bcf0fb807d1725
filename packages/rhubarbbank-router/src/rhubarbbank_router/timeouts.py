"""Ends requests at their deadline, and attempts that are silent for too long.

Router.tick calls it for all open requests.
"""

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_ends
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import cold_sharing
from rhubarbbank_router import crash_evidence
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import engine_load
from rhubarbbank_router import state as states


def check_requests(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Aborts overdue requests, and retries silent attempts of the others."""
    out: list[effects.Effect] = []
    for opened in list(state.open_requests.values()):
        if now >= opened.deadline:
            out += abort_request(state, opened, now=now)
        else:
            out += check_silence(state, opened, now=now)
    return out


def abort_request(
    state: states.RouterState,
    opened: states.OpenRequest,
    *,
    now: float,
    code: errors.ErrorCode = errors.ErrorCode.DEADLINE_EXCEEDED,
) -> list[effects.Effect]:
    """Refuses or breaks off a request, and cancels its current attempt.

    Args:
        state: The router's state.
        opened: The request.
        now: In seconds.
        code: The error that its caller gets.
    """
    out: list[effects.Effect] = []
    for attempt in opened.open_attempts:
        out += attempt_ends.cancel_attempt(state, opened, attempt, now=now)
        crash_evidence.record_unanswered(state, opened, attempt, now=now)
        if attempt.status == 0:
            attempt_evidence.record_outcome(
                state, opened, attempt, now=now, failed=True
            )
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def check_silence(
    state: states.RouterState, opened: states.OpenRequest, *, now: float
) -> list[effects.Effect]:
    """Ends the attempts of a request that are silent for too long."""
    if not opened.route.repeatable:
        return []
    out: list[effects.Effect] = []
    for attempt in opened.open_attempts:
        out += retry_silent_attempt(state, opened, attempt, now=now)
    return out


def retry_silent_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Sends a request elsewhere if its attempt is silent for too long.

    While another attempt is in progress, that one takes the retry's place.
    """
    silent_s = now - attempt.last_progress_at
    timeout_s = compute_timeout_s(state, opened, attempt, now=now)
    if silent_s < timeout_s:
        return []
    opened.excluded.add(attempt.upstream)
    has_other = len(opened.open_attempts) > 1
    if not has_other and not dispatch.acquire_retry(state, opened, now=now):
        opened.excluded.discard(attempt.upstream)
        # Checked again at the next tick, when a retry may be possible.
        return []
    cancelled = attempt_ends.cancel_attempt(state, opened, attempt, now=now)
    # A host that stops responding silences many requests at once, which are
    # no more evidence on its version than a single one.
    starts_silence = state.view.record_timeout(attempt.upstream, now=now)
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=True, silent=starts_silence
    )
    crash_evidence.record_unanswered(state, opened, attempt, now=now)
    cold_sharing.record_unanswered(state, attempt, now=now)
    log = attempt_log.build_attempt_line(
        opened,
        attempt,
        decision="silent_attempt",
        reason="no bytes for too long",
        inputs=(
            ("silent_s", round(silent_s, 3)),
            ("patience_s", round(timeout_s, 3)),
        ),
    )
    out: list[effects.Effect] = [log, fx.Count("silent_attempts"), *cancelled]
    if has_other:
        return out
    return [*out, *dispatch.send(state, opened, now=now, cause="silent")]


def compute_timeout_s(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> float:
    """Returns how long an attempt may be silent, in seconds."""
    times = state.view.get_service_times(opened.service)
    route = opened.route
    tracked = state.view.tracked.get(attempt.upstream)
    if not opened.is_stream:
        usual_s = defaults.PLAIN_TIMEOUT_MEANS * times.answer_s
        slowdown = 1.0
        if tracked is not None:
            slowdown = state.slowdowns.predict(
                tracked.slowdown,
                mean=times.slowdown,
                age_s=now - tracked.load_at,
                duration_s=times.answer_s,
            )
            slowdown /= times.slowdown
        return max(defaults.PLAIN_TIMEOUT_FLOOR_S, usual_s * max(1.0, slowdown))
    timeout_s = max(
        defaults.STALL_TIMEOUT_GAPS * route.target_gap_s,
        defaults.STALL_EVENT_INTERVALS * compute_mean_pace_s(attempt),
    )
    if attempt.first_event_at is None:
        timeout_s = max(
            defaults.FIRST_EVENT_TIMEOUT_SHARE * route.target_latency_s,
            defaults.FIRST_EVENT_TIMEOUT_MEANS * times.first_event_s,
        )
    if tracked is not None and engine_load.was_heard_within(
        tracked, state.peer_workload, defaults.UPSTREAM_ALIVE_S, now=now
    ):
        # The upstream is running other requests, so that this one is probably
        # queued; elsewhere it would start from the beginning.
        timeout_s *= defaults.ALIVE_TIMEOUT_FACTOR
    return timeout_s


def compute_mean_pace_s(attempt: attempt_states.Attempt) -> float:
    """Returns the mean time between a stream's events so far, in seconds."""
    if attempt.first_event_at is None or attempt.events <= 1:
        return 0.0
    return (attempt.last_progress_at - attempt.first_event_at) / (
        attempt.events - 1
    )
