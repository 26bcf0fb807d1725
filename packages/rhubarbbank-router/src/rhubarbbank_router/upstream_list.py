"""Applies changes of the platform's list of upstreams.

The list comes from the store's watch or from another entry that reads the
store. Both produce the same events, which are handled here: they update the
view and are relayed to the entries that request updates from this one.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import cold_sharing
from rhubarbbank_router import crash_evidence
from rhubarbbank_router import crash_review
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import rollouts
from rhubarbbank_router import state as states
from rhubarbbank_router import store_eras
from rhubarbbank_router import store_reading
from rhubarbbank_router import upstreams


def handle_event(
    state: states.RouterState, event: events.AnyEvent, *, now: float
) -> list[effects.Effect]:
    """Applies an event, and confirms crashes of upstreams that it removes."""
    previous = list_running_upstreams(state, event)
    listed_at = state.relay.list_confirmed_at
    cold_sharing.record_listing(state, event, now=now)
    out = apply_event(state, event, now=now)
    out += crash_review.review_changed(
        state, previous, listed_at=listed_at, now=now
    )
    return [*out, *confirm_crashes(state, previous, now=now)]


def list_running_upstreams(
    state: states.RouterState, event: events.AnyEvent
) -> list[upstreams.Upstream]:
    """Returns the upstreams whose end an event may report.

    Those that are shutting down are left out: they end as planned.
    """
    view = state.view
    match event:
        case events.UpstreamsListed():
            affected = list(view.tracked.values())
        case events.UpstreamChanged(listed):
            affected = view.list_known(listed.upstream_id)
        case events.UpstreamUnlisted(upstream_id):
            affected = view.list_known(upstream_id)
        case _:
            return []
    return [
        each.listed for each in affected if not view.is_leaving(each.listed)
    ]


def confirm_crashes(
    state: states.RouterState,
    previous: list[upstreams.Upstream],
    *,
    now: float,
) -> list[effects.Effect]:
    """Attributes crashes of ended upstreams to requests without answers there.

    Args:
        state: The router's state, after the event.
        previous: The upstreams that were listed before the event.
        now: In seconds.
    """
    out: list[effects.Effect] = []
    for listed in previous:
        tracked = state.view.tracked.get(listed.upstream_id)
        if tracked and tracked.listed.started_ms == listed.started_ms:
            continue
        incarnation = crash_suspects.hash_incarnation(
            listed.upstream_id, listed.started_ms
        )
        crash_evidence.record_silent_attempts(state, listed, now=now)
        found = state.suspects.record_crashes(
            state.unanswered.take_ended(incarnation, now=now),
            incarnation,
            now=now,
        )
        if found:
            state.expedite_heartbeat(now=now)
        out += [
            fx.LogDecision(
                decision="silence_explained",
                upstream=listed.upstream_id,
                reason="the upstream has ended",
                inputs=state.suspects.build_log_inputs(trait),
            )
            for trait in found
        ]
    return out


def apply_event(
    state: states.RouterState, event: events.AnyEvent, *, now: float
) -> list[effects.Effect]:
    """Applies an event to the view of upstreams, and logs it."""
    begins_era = store_eras.begins_era(state, event)
    if begins_era:
        state.outages.record_restore(now=now)
    may_have_lapsed = state.outages.may_report_lapses(now=now)
    match event:
        case events.UpstreamsListed(listed, position=position, asked_at=at):
            state.listed_subjects.add(events.Subject.UPSTREAMS)
            state.relay.record_list(position, at=at)
            back = state.view.list_removed(listed) if begins_era else []
            gone = state.view.replace_list(
                listed, may_have_lapsed=may_have_lapsed, now=now
            )
            state.view.doubt(back, now=now)
            state.view.end_doubts(current_at=at)
            rollouts.init_all_settled_versions(state)
            return [
                fx.LogDecision(
                    decision="upstreams_listed",
                    reason="whole list",
                    inputs=(
                        ("listed", len(listed)),
                        ("gone", ",".join(gone)),
                        ("doubtful", may_have_lapsed),
                        ("back", ",".join(back)),
                        ("era", position.era),
                        ("position", position.revision),
                    ),
                )
            ]
        case events.UpstreamChanged(listed):
            listed = state.view.put(listed)
            state.relay.record_change(listed)
            rollouts.init_all_settled_versions(state)
            return [
                fx.LogDecision(
                    decision="upstream_listed",
                    upstream=listed.upstream_id,
                    version=listed.version,
                    reason="leaving" if listed.leaving else "ready",
                    inputs=(("service", listed.service),),
                )
            ]
        case events.UpstreamUnlisted(upstream_id):
            state.relay.record_change(upstream_id)
            known = upstream_id in state.view.tracked
            state.view.remove(
                upstream_id, may_have_lapsed=may_have_lapsed, now=now
            )
            if not known:
                return []
            return [
                fx.LogDecision(
                    decision="upstream_unlisted",
                    upstream=upstream_id,
                    reason="in doubt" if may_have_lapsed else "gone",
                    inputs=(
                        ("away", state.outages.is_away),
                        ("outage_s", round(state.outages.lapse_outage_s, 3)),
                    )
                    if may_have_lapsed
                    else (),
                )
            ]
        case events.UpstreamsConfirmed(position=position, current_at=at):
            state.view.end_doubts(current_at=at)
            if state.relay.record_watch(position, at=at):
                return store_reading.send_updates(state, now=now)
            return []
        case _:
            return []
