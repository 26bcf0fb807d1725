"""Tells the entries of named rate limits, and divides these among them.

An entry that hears a limit tells its peers in an urgent heartbeat. Which
entries have a share follows from who is alive (see `upstream_limits`). An entry
that hears less than half of the others takes no share, since the others may
have divided the whole limit among themselves.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import messages
from rhubarbbank_router import state as states
from rhubarbbank_router import upstream_limits

MS_PER_S = 1000.0


def record_limit(
    state: states.RouterState,
    upstream_id: str,
    started_ms: int,
    rate_per_s: float | None,
    *,
    now: float,
) -> list[effects.Effect]:
    """Records the limit that an answer names, None if it names none."""
    key = upstream_limits.build_key(upstream_id, started_ms)
    if not state.view.limits.record(key, rate_per_s, heard_at=now):
        return []
    update_shares(state, now=now)
    state.expedite_heartbeat(now=now)
    return [
        log_limit(state, upstream_id, key, reason="it said so"),
        fx.Count("upstream_limits"),
    ]


def merge_reports(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Records the limits that another entry knows."""
    changed = [
        (report.upstream, report.started_ms)
        for report in message.limits
        if state.view.limits.record(
            (report.upstream, report.started_ms),
            report.rate_per_s,
            heard_at=now - report.age_ms / MS_PER_S,
            heard_here=False,
        )
    ]
    if not changed:
        return []
    update_shares(state, now=now)
    return [
        log_limit(state, upstream_id, key, reason=message.name)
        for upstream_id, key in list_keys(state)
        if key in changed
    ]


def log_limit(
    state: states.RouterState,
    upstream_id: str,
    key: upstream_limits.LimitKey,
    *,
    reason: str,
) -> effects.Effect:
    """Returns the log line for a limit that has changed."""
    known = state.view.limits.limits[key]
    if known.rate_per_s is None:
        return fx.LogDecision(
            decision="upstream_unlimited", upstream=upstream_id, reason=reason
        )
    membership = build_membership(state, now=known.refilled_at)
    return fx.LogDecision(
        decision="upstream_limited",
        upstream=upstream_id,
        reason=reason,
        inputs=(
            ("limit_per_s", known.rate_per_s),
            ("share_per_s", round(known.share_per_s, 3)),
            ("entries", len(membership.data_centres)),
        ),
    )


def list_keys(
    state: states.RouterState,
) -> list[tuple[str, upstream_limits.LimitKey]]:
    """Returns the ids of the listed upstreams, with their keys."""
    return [
        (
            upstream_id,
            upstream_limits.build_key(upstream_id, tracked.listed.started_ms),
        )
        for upstream_id, tracked in state.view.tracked.items()
    ]


def build_reports(
    state: states.RouterState, *, now: float
) -> tuple[messages.LimitReport, ...]:
    """Returns the known limits in the form that heartbeats carry.

    Limits that other entries have heard are reported as a little older than
    they are, so that a report that goes round never looks newer.
    """
    reports: list[messages.LimitReport] = []
    for key, known in reversed(state.view.limits.limits.items()):
        age_s = now - known.heard_at
        if known.rate_per_s is None and age_s > defaults.ENDED_LIMIT_S:
            continue
        if not known.heard_here:
            age_s += defaults.LIMIT_RELAY_AGE_S
        reports.append(
            messages.LimitReport(
                upstream=key[0],
                started_ms=key[1],
                rate_per_s=known.rate_per_s,
                age_ms=round(age_s * MS_PER_S),
            )
        )
    return tuple(reports[: defaults.MAX_REPORTED_LIMITS])


def update_shares(state: states.RouterState, *, now: float) -> None:
    """Divides the known limits among the live entries."""
    limits = state.view.limits
    if not limits.limits:
        return
    data_centres = {
        key: state.view.tracked[upstream_id].listed.data_centre
        for upstream_id, key in list_keys(state)
    }
    limits.remove_expired(data_centres, now=now)
    limits.update_shares(
        build_membership(state, now=now), data_centres, now=now
    )


def build_membership(
    state: states.RouterState, *, now: float
) -> upstream_limits.Membership:
    """Returns the entries that may have a share of a limit."""
    settings = state.settings
    live = state.entries.list_live(now=now)
    data_centres = {
        each.name: each.data_centre for each in live if not each.stopping
    }
    if not state.stopping:
        data_centres[settings.name] = settings.data_centre
    if not has_majority(state, {each.name for each in live}):
        data_centres = {}
    return upstream_limits.Membership(
        name=settings.name, data_centres=data_centres
    )


def has_majority(state: states.RouterState, live: set[str]) -> bool:
    """Returns whether this entry and those that it hears are the majority.

    Of two halves, the one with the first name counts.
    """
    known = {state.settings.name, *live, *state.entries.registered}
    heard = {state.settings.name, *live}
    if 2 * len(heard) == len(known):
        return min(known) in heard
    return 2 * len(heard) > len(known)
