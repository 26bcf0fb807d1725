"""Carries the evacuated data centres in a reader's updates."""

import msgspec

from rhubarbbank_router import evacuations
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import state as states
from rhubarbbank_router import store_position

MS_PER_S = 1000.0


def add_to_update(
    state: states.RouterState, update: messages.StoreUpdate, *, now: float
) -> messages.StoreUpdate:
    """Returns an update with the evacuations that this entry knows, if any.

    Those that a restored store lacks are left out: the receiver doubts their
    end for itself, and an entry that wakes late would otherwise revive them.
    """
    known = state.evacuations
    age_s = known.age(now=now)
    if not known.is_followed or age_s is None:
        return update
    return msgspec.structs.replace(
        update,
        evacuated=tuple(
            messages.EvacuationReport(
                data_centre=name,
                age_ms=round((now - each.begun_at) * MS_PER_S),
                position=each.evacuation.position.revision,
                era=each.evacuation.position.era,
            )
            for name, each in known.active.items()
            if not each.is_missing
        ),
        evacuations_position=known.position.revision,
        evacuations_era=known.position.era,
        evacuations_age_s=age_s,
    )


def build_events(
    state: states.RouterState, update: messages.StoreUpdate
) -> list[events.EvacuationsListed]:
    """Converts an update's evacuations to an event, if it has them."""
    if not state.evacuations.is_followed or update.evacuated is None:
        return []
    return [
        events.EvacuationsListed(
            listed=tuple(
                evacuations.Evacuation(
                    data_centre=each.data_centre,
                    position=store_position.StorePosition(
                        each.era, each.position
                    ),
                    age_s=each.age_ms / MS_PER_S,
                )
                for each in update.evacuated
            ),
            position=store_position.StorePosition(
                update.evacuations_era, update.evacuations_position
            ),
            asked_at=update.asked_at - update.evacuations_age_s,
        )
    ]


def is_stale(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry has to read the evacuations itself."""
    if not state.evacuations.is_followed:
        return False
    age_s = state.evacuations.age(now=now)
    return age_s is None or age_s > state.relay.limits.evacuations_s


def is_update_fresh(
    state: states.RouterState, update: messages.StoreUpdate, *, now: float
) -> bool:
    """Returns whether an update's evacuations are fresh enough to rely on."""
    if not state.evacuations.is_followed:
        return True
    if update.evacuated is None:
        return False
    age_s = now - update.asked_at + update.evacuations_age_s
    return age_s <= state.relay.limits.evacuations_s
