"""Applies changes of the evacuated data centres, and logs them.

The changes come from the store's watch or from another entry that reads it.
"""

import re

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import cold_sharing
from rhubarbbank_router import effects
from rhubarbbank_router import evacuation_relay
from rhubarbbank_router import evacuations
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import state as states
from rhubarbbank_router import store_reading

NOT_IN_METRICS = re.compile(r"[^A-Za-z0-9_]")


def apply_update(
    state: states.RouterState, update: messages.StoreUpdate, *, now: float
) -> list[effects.Effect]:
    """Applies the evacuations in an update of an entry that reads the store."""
    out: list[effects.Effect] = []
    for event in evacuation_relay.build_events(state, update):
        out += handle_event(state, event, now=now)
    return out


def handle_event(
    state: states.RouterState, event: events.AnyEvent, *, now: float
) -> list[effects.Effect]:
    """Applies an event, and sends changes on to the entries that ask."""
    known = state.evacuations
    if not known.is_followed:
        return []
    age_s = known.age(now=now)
    changes = apply_event(state, event, now=now)
    for each in changes.ended:
        cold_sharing.record_evacuation_end(
            state, each.evacuation.data_centre, now=now
        )
    out: list[effects.Effect] = [
        *(
            build_log(state, "evacuation_begun", each, age_s, now=now)
            for each in changes.begun
        ),
        *(
            build_log(state, "evacuation_ended", each, age_s, now=now)
            for each in changes.ended
        ),
        *(
            build_log(state, "evacuation_missing", each, age_s, now=now)
            for each in changes.missing
        ),
    ]
    # The position of single changes is known only once they are confirmed.
    if (
        isinstance(
            event, events.EvacuationsListed | events.EvacuationsConfirmed
        )
        and known.take_changed()
    ):
        out += store_reading.send_updates(state, now=now)
    return out


def apply_event(
    state: states.RouterState, event: events.AnyEvent, *, now: float
) -> evacuations.EvacuationChanges:
    """Applies an event to what is known; returns what it has changed."""
    known = state.evacuations
    match event:
        case events.EvacuationsListed():
            state.listed_subjects.add(events.Subject.EVACUATIONS)
            return known.replace(
                event.listed,
                position=event.position,
                at=event.asked_at,
                now=now,
            )
        case events.EvacuationChanged(evacuation):
            begun = known.put(evacuation, now=now)
            return evacuations.EvacuationChanges(
                begun=() if begun is None else (begun,)
            )
        case events.EvacuationRemoved(data_centre):
            ended = known.remove(data_centre, now=now)
            return evacuations.EvacuationChanges(
                ended=() if ended is None else (ended,)
            )
        case events.EvacuationsConfirmed(position=position, current_at=at):
            return known.confirm(position, at=at, now=now)
        case _:
            return evacuations.NO_CHANGES


def build_log(
    state: states.RouterState,
    decision: str,
    changed: evacuations.TrackedEvacuation,
    age_s: float | None,
    *,
    now: float,
) -> fx.LogDecision:
    """Returns the log line for the begin or end of an evacuation.

    `age_s` is the time since the set was last known to be complete, which
    bounds the age of the news.
    """
    position = state.evacuations.position
    change = changed.evacuation.position
    return fx.LogDecision(
        decision=decision,
        reason=changed.evacuation.data_centre,
        inputs=(
            ("in_force_s", round(now - changed.begun_at, 3)),
            ("known_age_s", store_reading.format_age(age_s)),
            ("era", max(position, change).era),
            ("position", max(position, change).revision),
            ("reads", state.relay.is_reader),
        ),
    )


def build_refusal_inputs(
    state: states.RouterState, service: str, *, now: float
) -> tuple[fx.LogInput, ...]:
    """Returns what a refused request's log line says about evacuations.

    Returns:
        The evacuated data centres in which the service has upstreams, and the
        age of that knowledge; nothing if there are none.
    """
    if not state.evacuations.active:
        return ()
    withheld = {
        tracked.listed.data_centre
        for tracked in state.view.tracked.values()
        if tracked.listed.service == service
        and state.evacuations.is_evacuated(tracked.listed.data_centre)
    }
    if not withheld:
        return ()
    return (
        ("evacuated", ",".join(sorted(withheld))),
        (
            "evacuations_age_s",
            store_reading.format_age(state.evacuations.age(now=now)),
        ),
    )


def build_gauges(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Returns for how long each data centre has been evacuated, in seconds.

    It is 0 for some time after the end. Only data centres with upstreams are
    reported, as anything may be named in the store.
    """
    known = state.evacuations
    if not known.is_followed:
        return []
    out: list[effects.Effect] = [fx.Gauge("evacuations", len(known.active))]
    names = {each.listed.data_centre for each in state.view.tracked.values()}
    for name in sorted(names):
        tracked = known.active.get(name)
        if tracked is None and name not in known.ended_at:
            continue
        seconds = 0.0 if tracked is None else now - tracked.begun_at
        metric = NOT_IN_METRICS.sub("_", name)
        out.append(fx.Gauge(f"evacuated_s.{metric}", seconds))
    return out
