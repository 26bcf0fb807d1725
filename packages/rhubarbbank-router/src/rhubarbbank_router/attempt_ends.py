"""Ends attempts, and goes on after those that failed.

Each failure counts against its upstream; another attempt follows where the
route, the budget and the time left allow it.
"""

import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import state as states


def retry_after_error_status(
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
    if not dispatch.acquire_retry(state, opened, now=now):
        return None
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=True
    )
    log = attempt_log.log_attempt(
        opened,
        attempt,
        decision="failed_attempt",
        reason="failure of the upstream",
        inputs=(("status", attempt.status),),
    )
    resent = dispatch.send(state, opened, now=now, cause="failure")
    return [log, fx.Count("failed_attempts"), *resent]


def handle_failure(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    detail: str,
    *,
    now: float,
) -> list[effects.Effect]:
    """Goes on after an attempt that broke off once it had been sent."""
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=True
    )
    opened.excluded.add(attempt.upstream)
    record_upstream_crash(state, opened, attempt, now=now)
    out: list[effects.Effect] = [
        attempt_log.log_attempt(
            opened,
            attempt,
            decision="failed_attempt",
            reason=detail,
            inputs=(
                ("age_s", round(now - attempt.sent_at, 3)),
                *state.suspects.build_log_inputs(opened.fingerprint),
            ),
        ),
        fx.Count("failed_attempts"),
    ]
    if dispatch.acquire_retry(state, opened, now=now):
        resent = dispatch.send(state, opened, now=now, cause="broken off")
        return [*out, *resent]
    code = errors.ErrorCode.UPSTREAM_LOST
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def record_upstream_crash(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Notes that an upstream ended under a request."""
    fingerprint = opened.fingerprint
    crash = crash_suspects.hash_incarnation(
        attempt.upstream, attempt.upstream_started_ms
    )
    state.suspects.record_crash(fingerprint, crash, now=now)
    if state.suspects.count_crashes(fingerprint) >= defaults.ENDS_TO_REPEAT:
        state.expedite_heartbeat(now=now)


def record_unanswered(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Notes that an attempt was given up without an answer.

    Whether its upstream ended, or only was slow, the list will tell.
    """
    if attempt.status:
        return
    tracked = state.view.tracked.get(attempt.upstream)
    started_ms = attempt.upstream_started_ms
    if tracked is None or tracked.listed.started_ms != started_ms:
        record_upstream_crash(state, opened, attempt, now=now)
        return
    crash = crash_suspects.hash_incarnation(attempt.upstream, started_ms)
    state.suspects.record_no_answer(opened.fingerprint, crash, now=now)


def record_upstream_failure(
    state: states.RouterState, upstream: str, *, now: float, weight: int
) -> list[effects.Effect]:
    """Notes a failure; logs if the upstream is set aside for it."""
    if not state.view.note_failure(upstream, now=now, weight=weight):
        return []
    tracked = state.view.tracked[upstream]
    return [
        fx.LogDecision(
            decision="upstream_set_aside",
            upstream=upstream,
            reason="failures in a row",
            inputs=(
                ("failures", tracked.failures),
                ("for_s", tracked.set_aside_s),
            ),
        ),
        fx.Count("upstreams_set_aside"),
    ]


def cancel_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Breaks an attempt off."""
    release_attempt(state, opened, attempt, now=now)
    return [effects.CancelAttempt(opened.request.request_id, attempt.number)]


def release_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Notes that nothing more comes of an attempt."""
    if attempt.open:
        attempt.open = False
        state.sessions.end_request(opened.request.session, now=now)
        state.view.finish(opened.request.request_id, attempt.upstream)
