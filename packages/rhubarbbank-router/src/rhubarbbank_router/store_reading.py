"""Decides which entries read the store, and relays what they read.

The state is kept in `store_relay`. This module updates the entry's role at each
tick, sends update requests to a reader, answers those of other entries, and
applies the replies.
"""

import math

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import configuration
from rhubarbbank_router import configuration_copies
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import evacuation_relay
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import options
from rhubarbbank_router import state as states
from rhubarbbank_router import store_eras
from rhubarbbank_router import store_relay

MS_PER_S = 1000.0


def compute_age_limits(bounds: options.RouterBounds) -> store_relay.AgeLimits:
    """Derives the maximum ages of an entry's data from the bounds."""
    return store_relay.AgeLimits(
        configuration_s=bounds.config_apply_ms / MS_PER_S
        - defaults.CONFIGURATION_MARGIN_S,
        upstreams_s=bounds.drain_ms / MS_PER_S - defaults.UPSTREAMS_MARGIN_S,
        evacuations_s=math.inf
        if bounds.evac_ms is None
        else bounds.evac_ms / MS_PER_S - defaults.EVACUATIONS_MARGIN_S,
    )


def should_read(state: states.RouterState, subject: events.Subject) -> bool:
    """Returns whether this entry should read a subject from the store now."""
    relay = state.relay
    if subject is events.Subject.EVACUATIONS:
        return relay.is_reader and state.evacuations.is_followed
    if relay.is_reader:
        return True
    if subject is events.Subject.CONFIGURATION:
        known = max(get_active_precedence(state), relay.copy_in_progress)
        return relay.newest_configuration > known
    return subject is not events.Subject.UPSTREAMS


def get_active_precedence(
    state: states.RouterState,
) -> configuration.Precedence:
    """Returns the precedence of the active configuration."""
    active = state.active_configuration
    return active.precedence if active else configuration.NO_CONFIGURATION


def tick(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Updates the entry's role, and requests an update if one is due."""
    relay = state.relay
    if not relay.limits.allow_relays:
        return []
    reader = select_reader(state, now=now)
    out = update_role(state, reader, now=now)
    if reader is None or not relay.is_request_due(now=now):
        return out
    relay.record_request_sent(reader.name, now=now)
    request = messages.StoreUpdateRequest(
        name=state.settings.name,
        address=state.settings.peer_address,
        asked_at=now,
        position=relay.change_log.position.revision,
        list_era=relay.change_log.position.era,
        configuration=get_active_precedence(state),
    )
    return [*out, core_effects.Send(reader.address, request)]


def select_reader(
    state: states.RouterState, *, now: float
) -> messages.Heartbeat | None:
    """Returns the data centre's reader whose name sorts first, if any.

    Readers that don't reply, or whose own data is outdated, come last. A reader
    requests updates only from readers whose names sort before its own, unless
    its own reads fail.
    """
    settings, relay = state.settings, state.relay
    near = state.entries.list_live_in(settings.data_centre, now=now)
    readers = [each for each in near if each.reads]
    if relay.is_reader and not is_data_outdated(state, now=now):
        readers = [each for each in readers if each.name < settings.name]
    return min(
        readers,
        key=lambda each: (relay.get_deferral(each.name, now=now), each.name),
        default=None,
    )


def update_role(
    state: states.RouterState,
    reader: messages.Heartbeat | None,
    *,
    now: float,
) -> list[effects.Effect]:
    """Updates whether this entry is a reader; returns effects of a change."""
    relay = state.relay
    wanted = should_be_reader(state, reader, now=now)
    if wanted == relay.is_reader:
        return []
    relay.is_reader = wanted
    if wanted:
        # Another reader has to keep this entry informed for a while again
        # before this entry stops reading.
        relay.informed_since = None
    # Announce the change of role early.
    state.next_heartbeat_at = min(
        state.next_heartbeat_at, now + defaults.URGENT_HEARTBEAT_DELAY_S
    )
    proof_age_s = state.proof.age(now=now)
    list_age_s = relay.list_age(now=now)
    return [
        fx.LogDecision(
            decision="store_reading_begun" if wanted else "store_reading_ended",
            reason=reader.name if reader else "no reader nearby",
            inputs=(
                ("proof_age_s", format_age(proof_age_s)),
                ("list_age_s", format_age(list_age_s)),
                ("era", relay.change_log.position.era),
                ("position", relay.change_log.position.revision),
            ),
        ),
        fx.Gauge("store_reading", int(wanted)),
    ]


def format_age(age_s: float | None) -> float | str:
    """Formats an age for the log."""
    return "none" if age_s is None else round(age_s, 3)


def should_be_reader(
    state: states.RouterState,
    reader: messages.Heartbeat | None,
    *,
    now: float,
) -> bool:
    """Returns whether this entry should be a reader."""
    relay = state.relay
    if relay.is_reader:
        return reader is None or not relay.is_informed_by_reader(now=now)
    if is_data_outdated(state, now=now):
        return True
    return reader is None and is_first_in_data_centre(state, now=now)


def is_data_outdated(state: states.RouterState, *, now: float) -> bool:
    """Returns whether the entry's data is older than its limits."""
    proof_age_s = state.proof.age(now=now)
    list_age_s = state.relay.list_age(now=now)
    if proof_age_s is None or list_age_s is None:
        return True
    limits = state.relay.limits
    return (
        proof_age_s > limits.configuration_s
        or list_age_s > limits.upstreams_s
        or evacuation_relay.is_stale(state, now=now)
    )


def is_first_in_data_centre(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry's name sorts first in its data centre."""
    settings = state.settings
    near = state.entries.list_live_in(settings.data_centre, now=now)
    return all(settings.name < each.name for each in near)


def handle_update_request(
    state: states.RouterState,
    request: messages.StoreUpdateRequest,
    *,
    now: float,
) -> list[effects.Effect]:
    """Replies to an update request if this entry is a reader."""
    if not state.relay.is_reader:
        return []
    state.relay.record_update_request(request, now=now)
    return build_reply(state, request, now=now)


def send_updates(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Sends a change immediately to all entries with a recent request."""
    if not state.relay.is_reader:
        return []
    out: list[effects.Effect] = []
    for request in state.relay.list_recent_requests(now=now):
        out += build_reply(state, request, now=now)
    return out


def build_reply(
    state: states.RouterState,
    request: messages.StoreUpdateRequest,
    *,
    now: float,
) -> list[effects.Effect]:
    """Returns the effect that sends a reply, or nothing without a reply."""
    facts = store_relay.ReaderFacts(
        name=state.settings.name,
        configuration=get_active_precedence(state),
        proof_age_s=state.proof.age(now=now),
        regained_age_s=state.outages.compute_regained_age_s(now=now),
        listed=tuple(
            tracked.listed
            for tracked in state.view.tracked.values()
            if not tracked.lapsed
        ),
    )
    reply = state.relay.build_reply(request, facts, now=now)
    if reply is None:
        return []
    reply = evacuation_relay.add_to_update(state, reply, now=now)
    encoded = configuration_copies.select_copy(
        state.active_configuration, request
    )
    if encoded:
        reply = msgspec.structs.replace(reply, encoded=encoded)
        state.relay.record_copy_sent(
            request.address, get_active_precedence(state)
        )
    return [core_effects.Send(request.address, reply)]


def apply_proof(state: states.RouterState, reply: messages.StoreUpdate) -> bool:
    """Applies a reader's proof of the configuration's freshness.

    Returns:
        Whether the reader confirmed the configuration that is active here.
    """
    theirs = (reply.version, reply.era, reply.revision)
    if get_active_precedence(state) != theirs:
        return False
    store_eras.confirm_configuration(
        state, asked_at=reply.asked_at - reply.proof_age_s
    )
    return True


def record_store_answer(
    state: states.RouterState, reply: messages.StoreUpdate, *, now: float
) -> None:
    """Records that a reader has reached the store.

    So upstreams whose list entries lapsed during an outage of the store are
    kept for the same grace time as at the reader.
    """
    availability = state.get_store_availability(events.Subject.UPSTREAMS)
    availability.answered_at = now
    age_s = min(reply.proof_age_s, reply.list_age_s)
    state.outages.record_relayed_answer(
        answered_at=reply.asked_at - age_s,
        now=now,
        regained_age_s=reply.regained_age_s,
    )


def build_upstream_events(
    state: states.RouterState, reply: messages.StoreUpdate
) -> list[events.AnyEvent]:
    """Converts a reply's changes of the list of upstreams to events."""
    relay = state.relay
    if reply.list_position < relay.change_log.position:
        # This entry has newer data, from another reader or its own reads.
        return []
    at = reply.asked_at - reply.list_age_s
    if reply.whole is not None:
        if reply.list_position == relay.change_log.position:
            return []
        return [
            events.UpstreamsListed(
                reply.whole, position=reply.list_position, asked_at=at
            )
        ]
    confirmed = events.UpstreamsConfirmed(
        position=reply.list_position, current_at=at
    )
    if reply.list_position == relay.change_log.position:
        # Its changes are known. Passing them on again would never end between
        # two readers that request updates from each other.
        return [confirmed]
    return [
        *(events.UpstreamChanged(x) for x in reply.changed),
        *(events.UpstreamUnlisted(x) for x in reply.gone),
        confirmed,
    ]


def record_reader_freshness(
    state: states.RouterState,
    reply: messages.StoreUpdate,
    *,
    is_current: bool,
    now: float,
) -> None:
    """Records whether the reader's data is fresh enough to rely on.

    `is_current` says whether it has confirmed the active configuration.
    """
    relay, limits = state.relay, state.relay.limits
    is_fresh = (
        now - reply.asked_at + reply.proof_age_s <= limits.configuration_s
        and now - reply.asked_at + reply.list_age_s <= limits.upstreams_s
        and evacuation_relay.is_update_fresh(state, reply, now=now)
    )
    relay.record_reader_reply(reply.name, is_fresh=is_fresh, now=now)
    if not is_current:
        return
    is_complete = (
        state.proof.read_sent_at is not None
        and relay.list_confirmed_at is not None
    )
    relay.record_reply(now=now, is_fresh=is_fresh and is_complete)
