"""Withdraws crashes of upstreams that turn out to have run on.

A connection that ends without an answer is recorded as a crash at once, because
the next attempt may crash the next upstream. Whether it was one shows within
seconds, and until then the requests stay under suspicion:

- The registration of an upstream that has crashed is replaced or expires. One
  that outlives the lease has been renewed since.
- An upstream whose registration changes has written it.
- An upstream that goes on with an earlier attempt, or answers one that was sent
  before another process could have started, hasn't restarted. This also holds
  while the store is away:

    crash observed:               x
    attempt 1:          sent -----|          connection reset
    attempt 2:              sent -|------------> event of the same process
    known to have run:      [-----x------]       so that x wasn't a crash
"""

import msgspec

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_observations
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import heartbeat_forwarding
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams

MAX_LOGGED_TRAITS = 3


def review_answering(
    state: states.RouterState,
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> list[effects.Effect]:
    """Reviews the crashes of an upstream that has just sent bytes.

    Args:
        state: The router's state.
        attempt: The attempt that it answers.
        now: In seconds.
    """
    if not (state.suspects.log.open or state.unanswered.attempts):
        return []
    incarnation = crash_suspects.hash_incarnation(
        attempt.upstream, attempt.upstream_started_ms
    )
    period = crash_observations.Period(
        since=attempt.sent_at - defaults.MIN_RESTART_S,
        # Bytes may have been under way for some time, but not for longer than
        # the request. A crash may end other connections a little earlier.
        until=max(
            attempt.sent_at - defaults.CRASH_DETECTION_S,
            now - defaults.ANSWER_DELAY_S,
        ),
    )
    state.unanswered.drop_running(incarnation, period)
    return refute(
        state,
        incarnation,
        period,
        now=now,
        upstream=attempt.upstream,
        reason="it answers",
    )


def review_registered(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Reviews the crashes of upstreams that are still registered."""
    if not state.suspects.log.open:
        return []
    period = find_renewed_period(state)
    if period is None:
        return []
    out: list[effects.Effect] = []
    for tracked in state.view.tracked.values():
        if is_registration_current(tracked, now=now):
            out += refute(
                state,
                hash_listed(tracked.listed),
                period,
                now=now,
                upstream=tracked.listed.upstream_id,
                reason="its registration was renewed",
            )
    return out


def find_renewed_period(
    state: states.RouterState,
) -> crash_observations.Period | None:
    """Returns until when every registered upstream has certainly run.

    Returns:
        The period; None if the list isn't known, or the store has been away or
        was restored so recently that registrations may outlive the lease.
    """
    listed_at = state.relay.list_confirmed_at
    if listed_at is None:
        return None
    until = listed_at - defaults.REGISTRATION_RENEWAL_S
    unreliable_until = state.outages.lapses_until
    if unreliable_until is not None and until < unreliable_until:
        return None
    return crash_observations.Period(until=until)


def is_registration_current(
    tracked: upstreams.TrackedUpstream, *, now: float
) -> bool:
    """Returns whether an upstream's registration says that it runs.

    Without its start time, a later process of the same id looks the same.
    """
    return (
        tracked.listed.started_ms != 0
        and tracked.doubtful_until is None
        and not tracked.lapsed
        and tracked.misdirected_until <= now
    )


def review_changed(
    state: states.RouterState,
    previous: list[upstreams.Upstream],
    *,
    listed_at: float | None,
    now: float,
) -> list[effects.Effect]:
    """Reviews the crashes of upstreams that have changed their registrations.

    Args:
        state: The router's state.
        previous: Their registrations before.
        listed_at: When these were last known to be current, in seconds.
        now: In seconds.
    """
    if listed_at is None or state.outages.may_renew(now=now):
        return []
    out: list[effects.Effect] = []
    period = crash_observations.Period(until=listed_at)
    for before in previous:
        tracked = state.view.tracked.get(before.upstream_id)
        if tracked is None or not is_registration_current(tracked, now=now):
            continue
        listed = tracked.listed
        if listed != before and listed.started_ms == before.started_ms:
            out += refute(
                state,
                hash_listed(listed),
                period,
                now=now,
                upstream=listed.upstream_id,
                reason="its registration has changed",
            )
    return out


def find_settling_s(
    state: states.RouterState, traits: frozenset[str], *, now: float
) -> float | None:
    """Returns when suspected traits may be cleared, in seconds from now.

    Other answers of their upstreams may show soon that these run on, the list
    shows it later.

    Returns:
        The time; None if none of the upstreams is registered any more, so that
        their crashes are certain.
    """
    running = {
        hash_listed(tracked.listed)
        for tracked in state.view.tracked.values()
        if is_registration_current(tracked, now=now)
    }
    observed_at = [
        crash.last.at
        for trait in traits
        if trait in state.suspects.suspects
        for crash in state.suspects.suspects[trait].crashes.values()
        if crash.incarnation in running
    ]
    if not observed_at:
        return None
    age_s = now - max(observed_at)
    answered_s = defaults.MIN_RESTART_S + defaults.ANSWER_DELAY_S
    if age_s < answered_s:
        return answered_s - age_s
    return max(0.0, defaults.REGISTRATION_RENEWAL_S - age_s)


def hash_listed(listed: upstreams.Upstream) -> name_hashes.NameHash:
    """Returns the hash of a registered upstream's incarnation."""
    return crash_suspects.hash_incarnation(
        listed.upstream_id, listed.started_ms
    )


def refute(
    state: states.RouterState,
    incarnation: name_hashes.NameHash,
    period: crash_observations.Period,
    *,
    now: float,
    upstream: str,
    reason: str,
) -> list[effects.Effect]:
    """Refutes the crashes of an upstream in a period in which it ran.

    Other entries are told if these are the crashes of a request that may be
    refused for them.
    """
    log = state.suspects.log
    found = log.find_within(incarnation, period)
    if not found:
        return []
    log.refute(found, now=now)
    counts = {
        trait: state.suspects.count_crashes(trait)
        for trait in state.suspects.suspects
    }
    traits = state.suspects.withdraw_refuted()
    if any(counts[x] >= defaults.CRASHES_TO_SHARE for x in traits):
        for each in found:
            log.share(each.observation_id, now=now)
    return log_withdrawal(state, traits, upstream=upstream, reason=reason)


def merge_reports(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Merges another entry's suspects, and the observations it has refuted."""
    out: list[effects.Effect] = []
    if state.suspects.log.merge(message.refuted, now=now):
        out += log_withdrawal(
            state,
            state.suspects.withdraw_refuted(),
            upstream="",
            reason=message.name,
        )
    suspects = message.suspects
    if not heartbeat_forwarding.has_run_steadily(state, now=now):
        suspects = tuple(map(mark_late, suspects))
    reported = state.suspects.merge(suspects, now=now)
    out += [
        fx.LogDecision(
            decision="suspect_told",
            reason=message.name,
            inputs=state.suspects.build_log_inputs(trait),
        )
        for trait in reported
        if state.suspects.count_crashes(trait) != 1
    ]
    return out


def mark_late(suspect: messages.SuspectReport) -> messages.SuspectReport:
    """Marks crashes as possibly older than the report of them says."""
    return msgspec.structs.replace(
        suspect,
        ends=tuple(
            msgspec.structs.replace(each, is_late=True) for each in suspect.ends
        ),
    )


def log_withdrawal(
    state: states.RouterState,
    traits: list[str],
    *,
    upstream: str,
    reason: str,
) -> list[effects.Effect]:
    """Returns the log line and count of withdrawn crashes, if any."""
    if not traits:
        return []
    # Those with most crashes left are the ones that may still be refused.
    traits = sorted(traits, key=state.suspects.count_crashes, reverse=True)
    return [
        fx.LogDecision(
            decision="crash_withdrawn",
            upstream=upstream,
            reason=reason,
            inputs=(
                ("count", len(traits)),
                ("traits", ",".join(traits[:MAX_LOGGED_TRAITS])),
                ("crashes_left", state.suspects.count_crashes(traits[0])),
            ),
        ),
        fx.Count("crashes_withdrawn", len(traits)),
    ]
