"""Tells the entries which upstreams are cold, and of each other's demands.

An entry reports what it has seen itself, not what others told it: each report
reaches every entry directly, and none gets older by going round. An upstream
that doesn't answer is reported as one that may start just now.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import cold_upstreams
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import limit_sharing
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import state as states
from rhubarbbank_router import upstream_limits
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0


def update_terms(state: states.RouterState) -> None:
    """Applies the configuration's services and the bounds of the settings."""
    active = state.active_configuration
    bounds = state.settings.bounds
    terms = {
        service.name: cold_upstreams.build_terms(
            service, overshoot=bounds.cold_overshoot, slack=bounds.cold_slack
        )
        for service in (active.services.values() if active else ())
    }
    state.view.cold.set_terms({x: y for x, y in terms.items() if y is not None})


def record_listing(
    state: states.RouterState, event: events.AnyEvent, *, now: float
) -> None:
    """Records what the list says, before it is applied to the view."""
    match event:
        case events.UpstreamsListed(listed):
            is_first = events.Subject.UPSTREAMS not in state.listed_subjects
            for each in listed:
                record_listed(state, each, is_first_list=is_first, now=now)
        case events.UpstreamChanged(listed):
            record_listed(state, listed, is_change=True, now=now)
        case _:
            pass


def record_listed(
    state: states.RouterState,
    listed: upstreams.Upstream,
    *,
    is_first_list: bool = False,
    is_change: bool = False,
    now: float,
) -> None:
    """Records what the list says of an upstream.

    One that is new in the list may have started just now. That isn't known of
    those in this entry's first list, of which the figures in the list tell. A
    figure has no age; it counts from its arrival. The same figure in a change
    that comes once the upstream is warm is a new one.
    """
    cold = state.view.cold
    tracked = state.view.tracked.get(listed.upstream_id)
    known = tracked.listed if tracked else None
    is_new = known is None or known.started_ms != listed.started_ms
    key = upstream_limits.build_key(listed.upstream_id, listed.started_ms)
    if listed.cold_left_s > 0.0:
        is_other = known is not None and (
            known.cold_left_s != listed.cold_left_s
        )
        is_again = is_change and not cold.is_cold(key, now=now)
        if is_new or is_other or is_again:
            cold.record_cold(
                key, left_s=listed.cold_left_s, reason="the list", now=now
            )
        return
    terms = cold.terms.get(listed.service)
    if is_new and not is_first_list and terms is not None:
        cold.record_cold(
            key, left_s=terms.cold_duration_s, reason="new in the list", now=now
        )


def record_head(
    state: states.RouterState, head: events.UpstreamHead, *, now: float
) -> None:
    """Records that an upstream has answered an attempt."""
    found = state.find_open_attempt(head.request_id, head.attempt)
    if found is None or head.misdirected:
        return
    _, attempt = found
    key = upstream_limits.build_key(
        attempt.upstream, attempt.upstream_started_ms
    )
    state.view.cold.record_answer(
        key, attempt.service, sent_at=attempt.sent_at, now=now
    )


def record_end(
    state: states.RouterState, ended: events.UpstreamEnded, *, now: float
) -> None:
    """Records that an upstream wasn't reached, or broke off."""
    found = state.find_open_attempt(ended.request_id, ended.attempt)
    if found is not None and ended.end is not events.AttemptEnd.COMPLETE:
        record_unanswered(state, found[1], now=now)


def record_unanswered(
    state: states.RouterState, attempt: attempt_states.Attempt, *, now: float
) -> None:
    """Records that an upstream didn't answer an attempt, or not in full."""
    key = upstream_limits.build_key(
        attempt.upstream, attempt.upstream_started_ms
    )
    state.view.cold.record_unanswered(key, attempt.service, now=now)


def record_evacuation_end(
    state: states.RouterState, data_centre: str, *, now: float
) -> None:
    """Records that a data centre takes requests again, in seconds.

    Its upstreams may have started unnoticed meanwhile.
    """
    cold = state.view.cold
    for upstream_id, key in limit_sharing.list_keys(state):
        listed = state.view.tracked[upstream_id].listed
        terms = cold.terms.get(listed.service)
        if listed.data_centre == data_centre and terms is not None:
            cold.record_cold(
                key,
                left_s=terms.cold_duration_s,
                reason="end of an evacuation",
                now=now,
            )


def merge_reports(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> None:
    """Records the cold upstreams that another entry has seen."""
    if not state.view.cold.terms:
        return
    for report in message.cold[: defaults.MAX_REPORTED_COLD]:
        state.view.cold.record_told(
            (report.upstream, report.started_ms),
            left_s=report.left_ms / MS_PER_S,
            peer=message.name,
            now=now,
        )


def build_reports(
    state: states.RouterState, *, now: float
) -> tuple[messages.ColdReport, ...]:
    """Returns what this entry has seen, in the form that heartbeats carry."""
    cold = state.view.cold
    reports: list[messages.ColdReport] = []
    if not cold.terms:
        return ()
    for upstream_id, key in limit_sharing.list_keys(state):
        belief = cold.beliefs.get(key)
        if belief is None or now >= belief.own_until:
            continue
        left_s = belief.own_until - now
        terms = cold.terms.get(state.view.tracked[upstream_id].listed.service)
        if belief.unanswered_at is not None and terms is not None:
            left_s = terms.cold_duration_s
        reports.append(
            messages.ColdReport(
                upstream=key[0],
                started_ms=key[1],
                left_ms=round(left_s * MS_PER_S),
            )
        )
    return tuple(reports[: defaults.MAX_REPORTED_COLD])


def build_demand_reports(
    state: states.RouterState, *, now: float
) -> tuple[messages.DemandReport, ...]:
    """Returns this entry's demands in the form that heartbeats carry."""
    reports: list[messages.DemandReport] = []
    for service, demand in state.view.cold.demands.items():
        demand.update_report(now=now)
        reports.append(
            messages.DemandReport(
                service=name_hashes.hash_name(service),
                rate_per_s=demand.reported_per_s,
            )
        )
    return tuple(reports)


def update_views(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Divides the permits by the demands that are known now.

    An entry that may be cut off from most of the others keeps its permits for
    as long as they keep its part for it.

    Returns:
        A log line if it has become unknown which upstreams are cold, or known.
    """
    cold = state.view.cold
    if not cold.terms:
        return []
    cold.remove_old_sends(now=now)
    hears_most = has_majority(state, now=now)
    if hears_most:
        cold.heard_most_at = now
    heard_most_at = cold.heard_most_at
    for service in cold.terms:
        if hears_most:
            demands = build_demands(state, service)
            cold.add_view(service, demands, now=now)
        elif (
            heard_most_at is None or now - heard_most_at > defaults.COLD_KEEP_S
        ):
            cold.add_view(service, {}, now=now)
    was_unknown = cold.is_unknown
    cold.is_unknown = (
        heard_most_at is not None
        and not hears_most
        and not state.proof.is_valid(now=now)
    )
    if cold.is_unknown == was_unknown:
        return []
    return [
        fx.LogDecision(
            decision="coldness_unknown"
            if cold.is_unknown
            else "coldness_known",
            reason="hears neither most of the entries nor the store"
            if cold.is_unknown
            else "hears most of the entries or the store",
            inputs=(
                ("entries", len(cold.members)),
                ("heard_age_s", round(now - (heard_most_at or now), 3)),
            ),
        )
    ]


def build_demands(state: states.RouterState, service: str) -> dict[str, float]:
    """Returns the demand of each entry that may send requests, by name.

    Entries that are silent keep their part as long as they are registered, as
    they may be cut off from this one alone.
    """
    entries = state.entries
    demands = dict.fromkeys(entries.registered, defaults.MIN_COLD_DEMAND_PER_S)
    service_hash = name_hashes.hash_name(service)
    for name, known in entries.peers.items():
        demands[name] = find_demand_per_s(known.heartbeat, service_hash)
        if known.heartbeat.stopping:
            del demands[name]
    if not state.stopping:
        own = state.view.cold.demands[service]
        demands[state.settings.name] = own.reported_per_s
    return demands


def has_majority(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry hears most of the others.

    Without the store's list of entries it doesn't know how many there are.
    Silent entries are forgotten after a time. Those forgotten without fresh
    news from the store count on: it may be this entry that is cut off.
    """
    cold = state.view.cold
    entries = state.entries
    live = {each.name for each in entries.list_live(now=now)}
    known = {state.settings.name, *entries.peers, *entries.registered}
    if state.proof.is_valid(now=now):
        cold.members = known
    else:
        cold.members = cold.members | known
    if events.Subject.ENTRIES not in state.listed_subjects:
        return False
    if not limit_sharing.has_majority(state, live):
        return False
    return cold.members == known or 2 * (1 + len(live)) > len(cold.members)


def find_demand_per_s(
    heartbeat: messages.Heartbeat, service_hash: name_hashes.NameHash
) -> float:
    """Returns the demand for a service that an entry has reported."""
    for report in heartbeat.demands:
        if report.service == service_hash:
            return max(report.rate_per_s, defaults.MIN_COLD_DEMAND_PER_S)
    return defaults.MIN_COLD_DEMAND_PER_S


def log_changes(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Logs the upstreams that turned cold or warm, and tells the others."""
    cold = state.view.cold
    if not cold.beliefs:
        return []
    changes = cold.list_changes(now=now)
    if cold.terms and any(
        x.is_cold and now < x.belief.own_until for x in changes
    ):
        state.expedite_heartbeat(now=now)
    if not changes:
        return []
    ids = {key: upstream_id for upstream_id, key in list_cold(state)}
    out = [
        log_change(state, ids[change.key], change, now=now)
        for change in changes
        if change.key in ids
    ]
    if not out:
        return []
    turned_cold = sum(each.is_cold for each in changes)
    return [*out, fx.Count("upstreams_turned_cold", turned_cold)]


def list_cold(
    state: states.RouterState,
) -> list[tuple[str, upstream_limits.LimitKey]]:
    """Returns ids and keys of the upstreams of services with terms."""
    return [
        (upstream_id, key)
        for upstream_id, key in limit_sharing.list_keys(state)
        if state.view.tracked[upstream_id].listed.service
        in state.view.cold.terms
    ]


def log_change(
    state: states.RouterState,
    upstream_id: str,
    change: cold_upstreams.ColdChange,
    *,
    now: float,
) -> effects.Effect:
    """Returns the log line for an upstream that turned cold or warm."""
    cold = state.view.cold
    service = state.view.tracked[upstream_id].listed.service
    belief = change.belief
    return fx.LogDecision(
        decision="upstream_cold" if change.is_cold else "upstream_warm",
        upstream=upstream_id,
        reason=belief.reason,
        inputs=(
            ("news_age_s", round(now - belief.known_at, 3)),
            ("left_s", round(max(0.0, belief.until - now), 3)),
            ("permits", cold.count_permits(service, change.key, now=now)),
            ("of", cold.terms[service].permits),
        ),
    )


def build_gauges(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Returns the gauges that heartbeats report; none without terms."""
    cold = state.view.cold
    if not cold.terms:
        return []
    count = sum(cold.is_cold(key, now=now) for _, key in list_cold(state))
    return [fx.Gauge("cold_upstreams", count)]
