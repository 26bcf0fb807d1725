"""Handles the status and headers of an upstream's answer.

The upstream may refuse the request, report its own state, or answer with a
smaller model whose confidence is too low. Otherwise the body of the answer is
handled by `answers`.
"""

import http

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_ends
from rhubarbbank_router import attempt_evidence
from rhubarbbank_router import attempt_log
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_guard
from rhubarbbank_router import crash_review
from rhubarbbank_router import defaults
from rhubarbbank_router import dispatch
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import hedges
from rhubarbbank_router import limit_sharing
from rhubarbbank_router import state as states


def handle_head(
    state: states.RouterState, head: events.UpstreamHead, *, now: float
) -> list[effects.Effect]:
    """Handles the status and headers of an upstream's answer."""
    found = state.find_open_attempt(head.request_id, head.attempt)
    if found is None:
        return []
    opened, attempt = found
    attempt_evidence.record_progress(state, attempt, now=now)
    out: list[effects.Effect] = []
    if head.load is not None:
        attempt.load_level = head.load.level
        attempt.slowdown = head.load.slowdown
        state.view.record_load(attempt.upstream, head.load, now=now)
        out.append(fx.Count("load_reports"))
    if head.has_invalid_load:
        out.append(fx.Count("load_reports_invalid"))
    if is_from_upstream(head):
        out += crash_review.review_answering(state, attempt, now=now)
    out += apply_upstream_notices(state, attempt, head, now=now)
    if head.refused or head.misdirected:
        return [*out, *handle_refusal(state, opened, attempt, head, now=now)]
    if not head.genuine:
        out += attempt_ends.cancel_attempt(state, opened, attempt, now=now)
        out += attempt_ends.handle_failure(
            state,
            opened,
            attempt,
            "no genuine answer",
            now=now,
            may_be_crash=False,
        )
        return out
    attempt.status = head.status
    attempt.headers = head.headers
    attempt.state = attempt_states.AttemptState.ANSWERED
    return [*out, *try_step_up(state, opened, attempt, head, now=now)]


def is_from_upstream(head: events.UpstreamHead) -> bool:
    """Returns whether a head shows that the upstream itself has answered."""
    return not head.misdirected and (head.genuine or head.refused)


def apply_upstream_notices(
    state: states.RouterState,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Applies an upstream's notice that it is leaving or wants no requests.

    This happens before anything is sent again, so that the retry avoids it.
    The notices of a misdirected answer come from another upstream.
    """
    if head.misdirected:
        return []
    out: list[effects.Effect] = []
    if head.leaving and state.view.record_leaving(attempt.upstream):
        out.append(
            fx.LogDecision(
                decision="upstream_leaving",
                upstream=attempt.upstream,
                version=attempt.version,
                reason="it said so",
                inputs=(("status", head.status),),
            )
        )
    out += apply_limit(state, attempt, head, now=now)
    unavailable = head.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    if unavailable and head.closed_for_s is not None:
        state.view.record_closed(attempt.upstream, head.closed_for_s, now=now)
        out.append(
            fx.LogDecision(
                decision="upstream_closed",
                upstream=attempt.upstream,
                reason="it asked for nothing more",
                inputs=(("for_s", head.closed_for_s),),
            )
        )
    return out


def apply_limit(
    state: states.RouterState,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Records the rate limit that an answer names, or that it names none."""
    names_limit = head.limit_per_s is not None and head.refused
    if not (head.genuine or names_limit):
        # An unsigned answer without a limit may not be the upstream's own.
        return []
    return limit_sharing.record_limit(
        state,
        attempt.upstream,
        attempt.upstream_started_ms,
        head.limit_per_s,
        now=now,
    )


def handle_refusal(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Handles an answer that says that the request was not run."""
    attempt.state = attempt_states.AttemptState.REFUSED
    cancelled = attempt_ends.cancel_attempt(state, opened, attempt, now=now)
    opened.excluded.add(attempt.upstream)
    if head.misdirected:
        record_misdirection(state, opened, attempt, now=now)
    elif head.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        state.view.record_full(attempt.upstream, now=now)
    log = attempt_log.build_attempt_line(
        opened,
        attempt,
        decision="refused_by_upstream",
        reason="misdirected" if head.misdirected else "not run",
        inputs=(("status", head.status),),
    )
    count = fx.Count("upstream_refusals")
    if opened.open_attempts:
        return [log, count, *cancelled]
    if dispatch.acquire_retry(state, opened, now=now):
        resent = dispatch.send(state, opened, now=now, cause="refused")
        return [log, count, *cancelled, *resent]
    code = errors.ErrorCode.OVERLOADED
    return [
        log,
        count,
        *cancelled,
        *dispatch.give_up(state, opened, code, now=now),
    ]


def record_misdirection(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Records that another process seems to have the upstream's address.

    If several upstreams turn the same request away, the reason is the request.
    """
    opened.misdirected.add(attempt.upstream)
    if len(opened.misdirected) > 1:
        state.view.clear_misdirected(opened.misdirected)
    else:
        state.view.record_misdirected(attempt.upstream, now=now)


def try_step_up(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    head: events.UpstreamHead,
    *,
    now: float,
) -> list[effects.Effect]:
    """Asks a larger model instead if the answer's confidence is too low."""
    is_replaceable = (
        not opened.answer_started and head.status == http.HTTPStatus.OK
    )
    if not opened.model or head.confidence is None or not is_replaceable:
        return []
    if not opened.route.repeatable:
        return []
    larger = state.sizing_policy.step_up(
        dispatch.build_size_context(opened, now=now),
        model=opened.model,
        confidence=head.confidence,
    )
    if larger is None:
        return []
    runs = attempt_states.count_possible_runs(opened.attempts)
    if runs >= opened.route.max_attempts:
        return []
    if not dispatch.has_usable_upstream(state, opened, now=now):
        return []
    if not crash_guard.check(state, opened.traits, now=now).is_granted:
        return []
    share = defaults.STEP_UP_BUDGET_SHARE
    if not state.budget.take(opened.service, now=now, share=share):
        return []
    attempt_evidence.record_outcome(
        state, opened, attempt, now=now, failed=False
    )
    cancelled = attempt_ends.cancel_attempt(state, opened, attempt, now=now)
    cancelled += hedges.settle(state, opened, attempt, now=now)
    log = fx.LogDecision(
        decision="stepped_up",
        request_id=opened.request.attempt_id,
        model=larger,
        reason=f"confidence of {opened.model}",
        attempt=attempt.number,
        inputs=(("confidence", head.confidence),),
    )
    opened.model = larger
    resent = dispatch.send(state, opened, now=now, cause="step up")
    return [log, fx.Count("step_ups"), *cancelled, *resent]
