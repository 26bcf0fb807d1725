"""Decides which entries read the store, and passes on what they read.

`store_relay` holds what an entry knows of it; here are the router's steps:
the role at each beat, asks and answers, and what an answer changes.
"""

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import options
from rhubarbbank_router import state as states
from rhubarbbank_router import store_relay

MS_PER_S = 1000.0


def compute_age_limits(bounds: options.RouterBounds) -> store_relay.AgeLimits:
    """Returns how old knowledge may be, from the deployment's bounds."""
    return store_relay.AgeLimits(
        configuration_s=bounds.config_apply_ms / MS_PER_S
        - defaults.CONFIGURATION_MARGIN_S,
        upstreams_s=bounds.drain_ms / MS_PER_S - defaults.UPSTREAMS_MARGIN_S,
    )


def should_read(state: states.RouterState, subject: events.Subject) -> bool:
    """Returns whether this entry should read a subject in the store now."""
    relay = state.relay
    if relay.is_reader:
        return True
    if subject is events.Subject.CONFIGURATION:
        known = (
            state.active_configuration.revision
            if state.active_configuration
            else 0
        )
        return relay.newest_revision > known
    return subject is not events.Subject.UPSTREAMS


def tick(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Takes up or gives up reading, and asks a reader when it is time."""
    relay = state.relay
    if not relay.limits.allow_relays:
        return []
    reader = select_reader(state, now=now)
    out = update_role(state, reader, now=now)
    if reader is None or not relay.is_ask_due(now=now):
        return out
    relay.asked_at = now
    ask = messages.StoreAsk(
        name=state.settings.name,
        address=state.settings.peer_address,
        asked_at=now,
        position=relay.change_log.position,
    )
    return [*out, core_effects.Send(reader.address, ask)]


def select_reader(
    state: states.RouterState, *, now: float
) -> messages.EntryNews | None:
    """Returns the entry to ask: the first reader nearby by name.

    An entry that reads asks only those whose names come before its own.
    """
    settings = state.settings
    near = state.entries.list_live_near(settings.data_centre, now=now)
    readers = [each for each in near if each.reads]
    if state.relay.is_reader:
        readers = [each for each in readers if each.name < settings.name]
    return min(readers, key=lambda each: each.name, default=None)


def update_role(
    state: states.RouterState,
    reader: messages.EntryNews | None,
    *,
    now: float,
) -> list[effects.Effect]:
    """Decides whether this entry reads; returns the line if that changes."""
    relay = state.relay
    wanted = should_be_reader(state, reader, now=now)
    if wanted == relay.is_reader:
        return []
    relay.is_reader = wanted
    if wanted:
        # The reader has to prove itself anew before this entry stops again.
        relay.informed_since = None
    # The others learn it soon.
    state.next_heartbeat_at = min(
        state.next_heartbeat_at, now + defaults.URGENT_NEWS_DELAY_S
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
                ("position", relay.change_log.position),
            ),
        ),
        fx.Gauge("store_reading", int(wanted)),
    ]


def format_age(age_s: float | None) -> float | str:
    """Returns an age for the log."""
    return "none" if age_s is None else round(age_s, 3)


def should_be_reader(
    state: states.RouterState,
    reader: messages.EntryNews | None,
    *,
    now: float,
) -> bool:
    """Returns whether this entry should read the store."""
    relay = state.relay
    if relay.is_reader:
        return reader is None or not relay.is_informed_by_reader(now=now)
    proof_age_s = state.proof.age(now=now)
    list_age_s = relay.list_age(now=now)
    if proof_age_s is None or list_age_s is None:
        return True
    limits = relay.limits
    stale = (
        proof_age_s > limits.configuration_s or list_age_s > limits.upstreams_s
    )
    return stale or (reader is None and is_first_in_data_centre(state, now=now))


def is_first_in_data_centre(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry's name comes first in its data centre."""
    settings = state.settings
    near = state.entries.list_live_near(settings.data_centre, now=now)
    return all(settings.name < each.name for each in near)


def handle_ask(
    state: states.RouterState, ask: messages.StoreAsk, *, now: float
) -> list[effects.Effect]:
    """Answers an entry that asks, if this one reads the store."""
    if not state.relay.is_reader:
        return []
    state.relay.record_ask(ask, now=now)
    return build_reply(state, ask, now=now)


def send_updates(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Tells all entries that ask of a change at once."""
    if not state.relay.is_reader:
        return []
    out: list[effects.Effect] = []
    for ask in state.relay.recent_asks(now=now):
        out += build_reply(state, ask, now=now)
    return out


def build_reply(
    state: states.RouterState, ask: messages.StoreAsk, *, now: float
) -> list[effects.Effect]:
    """Tells one entry what it asked for."""
    contact = state.contact(events.Subject.UPSTREAMS)
    regained_age_s = None
    if contact.recovered_at is not None:
        regained_age_s = now - contact.recovered_at
    facts = store_relay.ReaderFacts(
        name=state.settings.name,
        revision=state.active_configuration.revision
        if state.active_configuration
        else 0,
        proof_age_s=state.proof.age(now=now),
        regained_age_s=regained_age_s,
        listed=tuple(
            tracked.listed
            for tracked in state.view.tracked.values()
            if not tracked.lapsed
        ),
    )
    told = state.relay.build_reply(ask, facts, now=now)
    return [] if told is None else [core_effects.Send(ask.address, told)]


def apply_proof(state: states.RouterState, told: messages.StoreTold) -> bool:
    """Takes what a reader proves of the configuration.

    Returns:
        Whether the revision in force here is the one that it confirms.
    """
    state.relay.newest_revision = max(
        state.relay.newest_revision, told.revision
    )
    current = state.active_configuration
    if current is None or current.revision != told.revision:
        return False
    state.proof.confirm(asked_at=told.asked_at - told.proof_age_s)
    return True


def record_contact(
    state: states.RouterState, told: messages.StoreTold, *, now: float
) -> None:
    """Notes that the store answers, by a reader's word.

    What lapsed while the store was away is in doubt here as it is there.
    """
    contact = state.contact(events.Subject.UPSTREAMS)
    if contact.is_unavailable:
        contact.recovered_at = now
    elif told.regained_age_s is not None:
        contact.recovered_at = now - told.regained_age_s
    contact.answered_at = now


def build_upstream_events(
    state: states.RouterState, told: messages.StoreTold
) -> list[events.AnyEvent]:
    """Returns what an answer changes in the list of upstreams, as events."""
    relay = state.relay
    if told.position < relay.change_log.position:
        # This entry knows more, by another reader or a read of its own.
        return []
    at = told.asked_at - told.list_age_s
    if told.whole is not None:
        if told.position == relay.change_log.position:
            return []
        return [
            events.UpstreamsListed(told.whole, position=told.position, at=at)
        ]
    return [
        *(events.UpstreamChanged(x) for x in told.changed),
        *(events.UpstreamUnlisted(x) for x in told.gone),
        events.UpstreamsConfirmed(position=told.position, at=at),
    ]


def update_informed(
    state: states.RouterState, told: messages.StoreTold, *, now: float
) -> None:
    """Notes whether the reader's knowledge is fresh enough to go by."""
    limits = state.relay.limits
    proof_age_s = state.proof.age(now=now)
    list_age_s = state.relay.list_age(now=now)
    is_fresh = (
        proof_age_s is not None
        and list_age_s is not None
        and now - told.asked_at + told.proof_age_s <= limits.configuration_s
        and now - told.asked_at + told.list_age_s <= limits.upstreams_s
    )
    state.relay.record_reply(now=now, is_fresh=is_fresh)
