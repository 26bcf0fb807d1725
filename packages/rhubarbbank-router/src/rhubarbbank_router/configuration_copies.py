"""Sends copies of the configuration from readers to the other entries.

An entry that learns of a newer configuration doesn't have to read it from the
store: the reader's update contains a compressed copy if the requester's
configuration is older. So a new version reaches entries that the store turns
away, and those with slow links, for which the store's response is too large.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import state as states


def select_copy(
    active: configuration.Configuration | None,
    request: messages.StoreUpdateRequest,
) -> bytes:
    """Returns a copy of the active configuration; empty if none is needed."""
    if active is None or request.configuration is None:
        return b""
    is_older = request.configuration < active.precedence
    return active.encoded if is_older else b""


def apply_update(
    state: states.RouterState, update: messages.StoreUpdate, *, now: float
) -> list[effects.Effect]:
    """Records which configuration a reader has, and decodes its copy."""
    relay = state.relay
    active = state.active_configuration
    known = active.precedence if active else configuration.NO_CONFIGURATION
    theirs = (update.version, update.era, update.revision)
    relay.newest_configuration = max(relay.newest_configuration, theirs)
    if theirs <= known:
        relay.outdated_since = None
        return []
    relay.outdated_reported_at = now
    if relay.outdated_since is None:
        relay.outdated_since = now
    if not update.encoded or relay.copy_in_progress >= theirs:
        return []
    relay.copy_in_progress = theirs
    return [
        effects.DecodeConfiguration(
            source=update.name,
            encoded=update.encoded,
            version=update.version,
            era=update.era,
            revision=update.revision,
            confirmed_at=update.asked_at - update.proof_age_s,
        )
    ]


def reject_copy(
    state: states.RouterState, event: events.CopyRejected
) -> list[effects.Effect]:
    """Lets this entry read the store, as a copy couldn't be decoded."""
    state.relay.copy_in_progress = configuration.NO_CONFIGURATION
    return [
        fx.LogDecision(
            decision="configuration_copy_rejected",
            reason=event.source,
            inputs=(("detail", event.detail),),
        )
    ]


def is_outdated(state: states.RouterState, *, now: float) -> bool:
    """Returns whether a newer configuration should have been active by now.

    A reader reports that one still, so that it isn't one that a restored store
    has lost.
    """
    relay = state.relay
    if relay.outdated_since is None:
        return False
    is_reported = (
        now - relay.outdated_reported_at <= defaults.UPDATE_REQUEST_EXPIRY_S
    )
    outdated_s = now - relay.outdated_since
    return is_reported and outdated_s > relay.limits.configuration_s
