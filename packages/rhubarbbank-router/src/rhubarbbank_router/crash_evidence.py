"""Collects evidence on which traits of requests crash upstreams.

An interrupted attempt is evidence against its request's traits, a good answer
is evidence for them. An answer that only the close of its connection ended is
neither until it is known whether its upstream has crashed.
"""

import http

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_review
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import heartbeat_forwarding
from rhubarbbank_router import name_hashes
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams


def record_upstream_crash(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Attributes the crash of an attempt's upstream to its request's traits.

    The parts of the prompt of a stream that had long begun are innocent. Other
    entries are told soon once a trait has several crashes. An upstream that
    shuts down as planned ends its requests without a crash.
    """
    if has_planned_end(state, attempt):
        return
    crash = hash_upstream(attempt)
    traits = opened.traits[:1] if attempt.is_sound else opened.traits
    also = state.unanswered.take_interrupted(crash, now=now)
    recorded = state.suspects.record_crashes(
        [traits, *also],
        crash,
        now=now,
        is_late=not heartbeat_forwarding.has_run_steadily(state, now=now),
    )
    if any(
        state.suspects.count_crashes(x) >= defaults.CRASHES_TO_SHARE
        for x in recorded
    ):
        state.expedite_heartbeat(now=now)


def record_unanswered(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Records that an attempt was cancelled before its answer was complete.

    If the upstream is no longer listed, or has restarted, that counts as a
    crash. Otherwise it may be slow or have crashed, which the list of
    upstreams will show.
    """
    if attempt.is_sound or (attempt.status and not opened.is_stream):
        return
    if has_planned_end(state, attempt):
        return
    tracked = state.view.tracked.get(attempt.upstream)
    started_ms = attempt.upstream_started_ms
    if tracked is None or tracked.listed.started_ms != started_ms:
        record_upstream_crash(state, opened, attempt, now=now)
        return
    state.unanswered.add(
        opened.traits,
        hash_upstream(attempt),
        sent_at=attempt.sent_at,
        may_be_whole=False,
        now=now,
    )


def record_silent_attempts(
    state: states.RouterState, ended: upstreams.Upstream, *, now: float
) -> None:
    """Records the open attempts at an upstream that has ended in silence.

    They get no answer any more, but time out later, or never if they can't be
    repeated. An upstream that is no longer listed may still be serving, which
    shows in what any entry receives from it.
    """
    open_attempts = [
        (opened, attempt)
        for opened in state.open_requests.values()
        for attempt in opened.open_attempts
        if attempt.upstream == ended.upstream_id
        and attempt.upstream_started_ms == ended.started_ms
    ]
    heard_at = max(
        state.peer_workload.find(ended.upstream_id).heard_at,
        *(attempt.last_progress_at for _, attempt in open_attempts),
        0.0,
    )
    if now - heard_at < defaults.SILENT_CRASH_S:
        return
    for opened, attempt in open_attempts:
        record_unanswered(state, opened, attempt, now=now)


def record_whole_answer(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
    ended_by_close: bool,
) -> list[effects.Effect]:
    """Records an answer that looks whole.

    Only a success is evidence: after another status, the upstream may not have
    finished running the request, or may not have begun.
    """
    is_success = attempt.status // 100 * 100 == http.HTTPStatus.OK
    if not is_success or attempt.is_sound:
        return []
    if not ended_by_close:
        return record_good_answer(
            state, opened.traits, now=now, upstream=attempt.upstream
        )
    crash = hash_upstream(attempt)
    if state.unanswered.has_just_crashed(crash, now=now):
        record_upstream_crash(state, opened, attempt, now=now)
        return []
    state.unanswered.add(
        opened.traits,
        crash,
        sent_at=attempt.sent_at,
        may_be_whole=True,
        now=now,
    )
    return []


def record_progress(
    state: states.RouterState,
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Records that an attempt has received an event or a part of an answer."""
    out = crash_review.review_answering(state, attempt, now=now)
    if state.unanswered.attempts:
        for traits in state.unanswered.take_whole(
            hash_upstream(attempt), sent_at=attempt.sent_at, now=now
        ):
            out += record_good_answer(
                state, traits, now=now, upstream=attempt.upstream
            )
    if attempt.is_sound or attempt.first_event_at is None:
        return out
    if now - attempt.first_event_at < defaults.SOUND_STREAM_S:
        return out
    attempt.is_sound = True
    return [
        *out,
        *record_good_answer(
            state, opened.traits, now=now, upstream=attempt.upstream
        ),
    ]


def record_good_answer(
    state: states.RouterState,
    traits: tuple[str, ...],
    *,
    now: float,
    upstream: str,
) -> list[effects.Effect]:
    """Clears a request's traits of the suspicion that they crash upstreams."""
    known = {x: state.suspects.build_log_inputs(x) for x in traits}
    cleared = state.suspects.record_good_answer(traits, now=now)
    if not cleared:
        return []
    return [
        *(
            fx.LogDecision(
                decision="suspect_cleared",
                upstream=upstream,
                reason="good answer",
                inputs=known[trait],
            )
            for trait in cleared
        ),
        fx.Count("suspects_cleared", len(cleared)),
    ]


def has_planned_end(
    state: states.RouterState, attempt: attempt_states.Attempt
) -> bool:
    """Returns whether an attempt's upstream shuts down as planned."""
    return state.view.leaves_as_planned(
        attempt.upstream, attempt.upstream_started_ms
    )


def hash_upstream(attempt: attempt_states.Attempt) -> name_hashes.NameHash:
    """Returns the hash by which a crash of an attempt's upstream is known."""
    return crash_suspects.hash_incarnation(
        attempt.upstream, attempt.upstream_started_ms
    )


def build_refusal_inputs(
    state: states.RouterState, trait: str, *, now: float
) -> tuple[fx.LogInput, ...]:
    """Returns log inputs on the crashes for which a trait is refused.

    They show since when the last crash is known, and under how many of them the
    upstream's incarnation is still listed, as if it hadn't crashed.
    """
    suspect = state.suspects.suspects.get(trait)
    if suspect is None or not suspect.crashes:
        return ()
    listed = {
        crash_review.hash_listed(each.listed)
        for each in state.view.tracked.values()
        if not each.lapsed
    }
    crashes = suspect.crashes.values()
    return (
        ("last_crash_s", round(now - max(x.at for x in crashes), 3)),
        ("still_listed", sum(x.incarnation in listed for x in crashes)),
    )
