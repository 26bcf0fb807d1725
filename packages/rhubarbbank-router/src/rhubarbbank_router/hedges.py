"""Begins hedges, and ends the attempt that loses.

`Router.tick` calls `begin_due`; `answers` calls `settle` when an attempt has
won. See docs/design/hedging.md.
"""

import http

from rhubarbbank_core import placement
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
from rhubarbbank_router import hedge_delays
from rhubarbbank_router import hedge_policy
from rhubarbbank_router import options
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0
# Share of the retry budget that hedges may use up; the rest is for retries.
RETRY_BUDGET_SHARE = 0.5
# Older load reports say nothing about an upstream's room.
MAX_REPORT_AGE_S = 1.0
# How often it is checked whether a route's usual time has become known.
UNKNOWN_PAUSE_S = 0.25


def begin_due(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Hedges the requests that are slower than usual."""
    settings = state.settings.hedging
    if settings is None or state.stopping:
        return []
    out: list[effects.Effect] = []
    for opened in state.open_requests.values():
        if now >= opened.hedge_check_at and may_hedge(state, opened):
            out += check_request(state, opened, settings, now=now)
    return out


def may_hedge(state: states.RouterState, opened: states.OpenRequest) -> bool:
    """Returns whether a request may be hedged, however long it has waited.

    On a service with a version on trial the judge compares both versions'
    times, so nothing is hedged.
    """
    if not opened.route.repeatable or opened.answer_started:
        return False
    if any(each.is_hedge for each in opened.attempts):
        return False
    attempt = opened.current_attempt
    if attempt is None or attempt.tried_traits:
        return False
    if attempt.status not in (0, http.HTTPStatus.OK):
        return False
    if attempt.status and not opened.is_stream:
        return False
    trial = state.trials.get(opened.service)
    return trial is None or trial.is_finished


def check_request(
    state: states.RouterState,
    opened: states.OpenRequest,
    settings: options.HedgingSettings,
    *,
    now: float,
) -> list[effects.Effect]:
    """Hedges one request if that is due and allowed."""
    attempt = opened.current_attempt
    assert attempt is not None
    usual = state.usual_times.find(
        (opened.route.name, attempt.model),
        max_share=settings.max_share,
        now=now,
    )
    policy = state.hedger
    delay_s = policy.choose_delay_s(usual.delay_s if usual else None)
    if delay_s is None:
        opened.hedge_check_at = now + UNKNOWN_PAUSE_S
        return []
    if now < attempt.sent_at + delay_s:
        opened.hedge_check_at = attempt.sent_at + delay_s
        return []
    if not state.hedge_counts.has_room(
        opened.service,
        window_s=state.settings.bounds.retry_window_s,
        now=now,
    ):
        return skip_without_share(opened, delay_s, now=now)
    others = list_others(state, opened, attempt, now=now)
    best = choose_other(state, opened, others, now=now)
    context = hedge_policy.HedgeContext(
        waited_s=now - attempt.sent_at,
        delay_s=delay_s,
        typical_s=usual.typical_s if usual else 0.0,
        wait_s=estimate_wait_s(state, opened, best) if best else 0.0,
        left_s=opened.deadline - now,
        room=measure_room(state, opened, attempt, others, now=now),
    )
    reason = policy.decide(context)
    if reason is hedge_policy.HedgeReason.SLOW:
        reason = take_budgets(state, opened, now=now)
    if best is None or reason is not hedge_policy.HedgeReason.SLOW:
        return decline(opened, attempt, reason, context, usual, now=now)
    tracked = state.view.tracked[best.name]
    return begin(state, opened, tracked, context, usual, now=now)


def skip_without_share(
    opened: states.OpenRequest, delay_s: float, *, now: float
) -> list[effects.Effect]:
    """Declines a hedge before its upstreams are compared."""
    opened.hedge_check_at = now + max(defaults.TICK_S, delay_s)
    reason = hedge_policy.HedgeReason.NO_SHARE
    if opened.hedge_declined == reason.value:
        return []
    opened.hedge_declined = reason.value
    return [fx.Count(f"hedges_declined.{reason.name.lower()}")]


def list_others(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[upstreams.TrackedUpstream]:
    """Returns the upstreams that may run a hedge of an attempt.

    They accept requests, are in good health, and run the attempt's version.
    """
    excluded = opened.excluded | {attempt.upstream}
    limits = state.view.limits
    cold = state.view.cold
    return [
        tracked
        for tracked in state.view.list_accepting(opened.service, now=now)
        if tracked.listed.upstream_id not in excluded
        and tracked.listed.version == attempt.version
        and not tracked.lapsed
        and not tracked.failures
        and tracked.set_aside_until <= now
        and tracked.full_until <= now
        and not limits.is_limited(
            tracked.listed.upstream_id, tracked.listed.started_ms
        )
        and not cold.find_terms(
            opened.service,
            tracked.listed.upstream_id,
            tracked.listed.started_ms,
            now=now,
        )
    ]


def choose_other(
    state: states.RouterState,
    opened: states.OpenRequest,
    others: list[upstreams.TrackedUpstream],
    *,
    now: float,
) -> placement.Candidate | None:
    """Returns the best of the other upstreams, or None if there is none."""
    candidates = [
        dispatch.build_candidate(state, opened, tracked, now=now)
        for tracked in others
    ]
    decision = state.placer.choose(
        candidates=candidates,
        request=placement.PlacementRequest(
            prompt_blocks=dispatch.count_prompt_blocks(opened),
            prefill_s_per_block=dispatch.compute_prefill_s_per_block(
                state, opened
            ),
        ),
    )
    if decision is None:
        return None
    return next(x for x in candidates if x.name == decision.upstream)


def estimate_wait_s(
    state: states.RouterState,
    opened: states.OpenRequest,
    candidate: placement.Candidate,
) -> float:
    """Returns how long prompts take until a hedge's first event, in seconds.

    These are the prompts queued at the upstream, and its own.
    """
    uncached = dispatch.count_prompt_blocks(opened) - candidate.cached_blocks
    per_block_s = dispatch.compute_prefill_s_per_block(state, opened)
    return candidate.backlog_s + max(0, uncached) * per_block_s


def measure_room(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    others: list[upstreams.TrackedUpstream],
    *,
    now: float,
) -> hedge_policy.HedgeRoom:
    """Returns the room at the other upstreams.

    Places count as taken by this entry's attempts, by those that other entries
    have told of, or by a fresh report, whichever is most.
    """
    waiting = len(state.held_requests)
    taken = places = 0
    ages_s: list[float] = []
    for tracked in others:
        peer_load = state.peer_workload.find(tracked.listed.upstream_id)
        in_flight = tracked.in_flight + peer_load.in_flight
        load = tracked.load
        age_s = now - tracked.load_at
        if load is not None and age_s <= MAX_REPORT_AGE_S:
            waiting += load.waiting
            in_flight = max(in_flight, load.running + load.waiting)
            ages_s.append(age_s)
        taken += in_flight
        places += max(1, load.slots if load else tracked.listed.slots)
    full = sum(
        tracked.full_until > now
        for tracked in state.view.list_accepting(opened.service, now=now)
        if tracked.listed.upstream_id != attempt.upstream
    )
    return hedge_policy.HedgeRoom(
        upstreams=len(others),
        waiting=waiting,
        full=full,
        busy_share=taken / max(1, places),
        report_age_s=max(ages_s, default=None),
    )


def take_budgets(
    state: states.RouterState,
    opened: states.OpenRequest,
    *,
    now: float,
) -> hedge_policy.HedgeReason:
    """Counts a hedge if attempts, share and retry budget allow it."""
    window_s = state.settings.bounds.retry_window_s
    service = opened.service
    if any(state.suspects.count_crashes(x) for x in opened.traits):
        return hedge_policy.HedgeReason.NEVER
    runs = attempt_states.count_possible_runs(opened.attempts)
    if runs >= opened.route.max_attempts:
        return hedge_policy.HedgeReason.NEVER
    if opened.deadline - now < defaults.MIN_ATTEMPT_S:
        return hedge_policy.HedgeReason.TOO_LATE
    if not state.hedge_counts.has_room(service, window_s=window_s, now=now):
        return hedge_policy.HedgeReason.NO_SHARE
    if not state.budget.take(service, now=now, share=RETRY_BUDGET_SHARE):
        return hedge_policy.HedgeReason.NO_BUDGET
    state.hedge_counts.take(service, window_s=window_s, now=now)
    return hedge_policy.HedgeReason.SLOW


def begin(
    state: states.RouterState,
    opened: states.OpenRequest,
    tracked: upstreams.TrackedUpstream,
    context: hedge_policy.HedgeContext,
    usual: hedge_delays.UsualTime | None,
    *,
    now: float,
) -> list[effects.Effect]:
    """Sends a request to another upstream, too."""
    slow = opened.current_attempt
    assert slow is not None
    attempt = dispatch.begin_attempt(state, opened, tracked, now=now)
    attempt.is_hedge = True
    return [
        attempt_log.build_attempt_line(
            opened,
            attempt,
            decision="hedged",
            reason=hedge_policy.HedgeReason.SLOW.value,
            inputs=(
                ("slow_upstream", slow.upstream),
                *list_inputs(context, usual),
            ),
        ),
        fx.Count("hedges"),
        dispatch.build_send_effect(opened, tracked.listed, attempt, now=now),
    ]


def decline(
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    reason: hedge_policy.HedgeReason,
    context: hedge_policy.HedgeContext,
    usual: hedge_delays.UsualTime | None,
    *,
    now: float,
) -> list[effects.Effect]:
    """Logs why a slow request isn't hedged, once for each reason in a row.

    It is checked again after as long as it has waited so far.
    """
    pause_s = max(defaults.TICK_S, context.typical_s, context.waited_s)
    opened.hedge_check_at = now + pause_s
    if reason.value == opened.hedge_declined:
        return []
    opened.hedge_declined = reason.value
    count = fx.Count(f"hedges_declined.{reason.name.lower()}")
    log = attempt_log.build_attempt_line(
        opened,
        attempt,
        decision="hedge_declined",
        reason=reason.value,
        inputs=list_inputs(context, usual),
    )
    return [log, count]


def list_inputs(
    context: hedge_policy.HedgeContext, usual: hedge_delays.UsualTime | None
) -> tuple[fx.LogInput, ...]:
    """Returns what a decision was based on, for the log."""
    room = context.room
    age_s = room.report_age_s
    inputs: tuple[fx.LogInput, ...] = (
        ("waited_s", round(context.waited_s, 3)),
        ("left_s", round(context.left_s, 3)),
        ("wait_s", round(context.wait_s, 3)),
        ("others", room.upstreams),
        ("waiting", room.waiting),
        ("full", room.full),
        ("busy", round(room.busy_share, 3)),
        ("load_age_s", "no report" if age_s is None else round(age_s, 3)),
        ("delay_s", round(context.delay_s, 3)),
    )
    if usual is None:
        return inputs
    return (
        *inputs,
        ("typical_s", round(usual.typical_s, 3)),
        ("samples", round(usual.samples)),
        ("samples_age_s", round(usual.age_s, 3)),
    )


def waits_for_other(
    opened: states.OpenRequest, attempt: attempt_states.Attempt
) -> bool:
    """Returns whether a complete answer is dropped for an attempt in progress.

    Its status denies that the request has run, which the other attempt may
    disprove.
    """
    denies_run = attempt.status in answer_statuses.NOT_RUN_STATUSES
    return denies_run and bool(opened.open_attempts)


def settle(
    state: states.RouterState,
    opened: states.OpenRequest,
    winner: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Cancels the other attempt of a request that an attempt has won."""
    out: list[effects.Effect] = []
    for loser in opened.open_attempts:
        if loser is not winner:
            out += cancel_loser(state, opened, winner, loser, now=now)
    return out


def cancel_loser(
    state: states.RouterState,
    opened: states.OpenRequest,
    winner: attempt_states.Attempt,
    loser: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Cancels an attempt, and records that it was slow.

    This counts as a failure of its upstream, as silence does: otherwise an
    upstream on which all answers are slow would keep its share of requests. A
    hedge that has had less time than the first attempt before it wasn't slow.
    """
    is_late = loser.status != 0
    out = attempt_ends.cancel_attempt(state, opened, loser, now=now)
    crash_evidence.record_unanswered(state, opened, loser, now=now)
    usual_s = loser.sent_at - winner.sent_at if loser.is_hedge else 0.0
    if now - loser.sent_at >= usual_s:
        attempt_evidence.record_lost_attempt(state, opened, loser, now=now)
        out += attempt_ends.record_upstream_failure(
            state, loser.upstream, now=now, weight=1
        )
    outcome = "won" if winner.is_hedge else "lost"
    out += [
        attempt_log.build_attempt_line(
            opened,
            loser,
            decision=f"hedge_{outcome}",
            reason="the other attempt answered first",
            inputs=(
                ("winner", winner.upstream),
                ("winner_s", round(now - winner.sent_at, 3)),
                ("cancelled_after_s", round(now - loser.sent_at, 3)),
                ("answered", is_late),
            ),
        ),
        fx.Count(f"hedges_{outcome}"),
    ]
    if is_late:
        out.append(fx.Count("hedges_cancelled_late"))
    return out


def time_answer(
    state: states.RouterState,
    opened: states.OpenRequest,
    name: str,
    *,
    now: float,
) -> list[effects.Effect]:
    """Returns the timing of an answer, with or without a hedge."""
    if state.settings.hedging is None or not opened.route.repeatable:
        return []
    is_hedged = any(each.is_hedge for each in opened.attempts)
    suffix = "hedged" if is_hedged else "unhedged"
    took_ms = (now - opened.arrived_at) * MS_PER_S
    return [fx.Timing(f"{name}_{suffix}", took_ms)]
