"""Ends attempts, and retries those that failed.

Each failure counts against its upstream. Another attempt follows if the
route, the retry budget and the time left allow it.
"""

import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_evidence
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
    """Retries after a 5xx status; None if it is not retried.

    A gateway timeout (504) isn't retried. While another attempt is in
    progress, that one takes the retry's place.
    """
    if opened.open_attempts:
        opened.excluded.add(attempt.upstream)
        failed = attempt.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        attempt_evidence.record_outcome(
            state, opened, attempt, now=now, failed=failed
        )
        return [build_error_line(opened, attempt), fx.Count("failed_attempts")]
    if attempt.status == http.HTTPStatus.GATEWAY_TIMEOUT:
        return None
    opened.excluded.add(attempt.upstream)
    if not dispatch.acquire_retry(state, opened, now=now):
        return None
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=True
    )
    log = build_error_line(opened, attempt)
    resent = dispatch.send(state, opened, now=now, cause="failure")
    return [log, fx.Count("failed_attempts"), *resent]


def build_error_line(
    opened: states.OpenRequest, attempt: attempt_states.Attempt
) -> fx.LogDecision:
    """Returns the log line on an attempt whose status is a failure."""
    return attempt_log.build_attempt_line(
        opened,
        attempt,
        decision="failed_attempt",
        reason="failure of the upstream",
        inputs=(("status", attempt.status),),
    )


def handle_failure(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    detail: str,
    *,
    now: float,
    may_be_crash: bool = True,
) -> list[effects.Effect]:
    """Handles an attempt that failed after it had been sent.

    Another attempt is made if that is allowed; otherwise the request fails.

    Args:
        state: The router's state.
        opened: The request.
        attempt: The attempt.
        detail: What failed, for the log.
        now: In seconds.
        may_be_crash: Whether its upstream may have crashed; False if this
            entry itself ended the attempt.
    """
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=True
    )
    opened.excluded.add(attempt.upstream)
    if may_be_crash:
        crash_evidence.record_upstream_crash(state, opened, attempt, now=now)
    out: list[effects.Effect] = [
        attempt_log.build_attempt_line(
            opened,
            attempt,
            decision="failed_attempt",
            reason=detail,
            inputs=(
                ("age_s", round(now - attempt.sent_at, 3)),
                ("started_ms", attempt.upstream_started_ms),
                ("events", attempt.events),
                ("shared_parts", attempt_log.list_shared_parts(opened)),
                *state.suspects.build_log_inputs(opened.fingerprint),
            ),
        ),
        fx.Count("failed_attempts"),
    ]
    if opened.open_attempts:
        return out
    if dispatch.acquire_retry(state, opened, now=now):
        resent = dispatch.send(state, opened, now=now, cause="broken off")
        return [*out, *resent]
    code = errors.ErrorCode.UPSTREAM_LOST
    return [*out, *dispatch.give_up(state, opened, code, now=now)]


def record_upstream_failure(
    state: states.RouterState, upstream: str, *, now: float, weight: int
) -> list[effects.Effect]:
    """Records an upstream's failure; logs it if the upstream is set aside."""
    if not state.view.record_failure(upstream, now=now, weight=weight):
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
    """Cancels an attempt at its upstream."""
    if attempt.first_event_at is None:
        attempt_evidence.record_response_time(
            state, opened, attempt, now=now, censored=True
        )
    release_attempt(state, opened, attempt, now=now)
    return [effects.CancelAttempt(opened.request.request_id, attempt.number)]


def release_attempt(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Closes an attempt, and releases its session and its upstream."""
    if attempt.open:
        attempt.open = False
        state.sessions.end_request(opened.session_key, now=now)
        state.view.finish_attempt(opened.request.request_id, attempt.upstream)
