"""Tracks restores of the platform's store from an older copy.

A restored store has lost the latest changes, and gives their revisions out
again. Its responses name the era, a number that grows with each restore.
"""

from collections.abc import Iterable

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import peers
from rhubarbbank_router import state as states
from rhubarbbank_router import store_position

MS_PER_S = 1000.0


def record_era(
    state: states.RouterState, era: int, *, now: float
) -> list[effects.Effect]:
    """Records the era that a response of the store names."""
    known = state.store_era
    if known is not None and era <= known:
        return []
    state.store_era = era
    state.era_seen_at = now if era else None
    if known is None:
        return []
    state.restored_at = now
    active = state.active_configuration
    # The copy may be older than this entry's registration.
    registration = [] if state.stopping else [effects.RegisterEntry()]
    return [
        *registration,
        fx.LogDecision(
            decision="store_restored",
            reason=f"era {era}",
            inputs=(
                ("previous_era", known),
                ("version", active.version if active else 0),
                ("revision", active.revision if active else 0),
                ("position", state.relay.change_log.position.revision),
            ),
        ),
        fx.Count("store_restores"),
    ]


def begins_era(state: states.RouterState, event: events.AnyEvent) -> bool:
    """Returns whether an event is the first list of upstreams in a new era."""
    known = state.relay.change_log.position
    return (
        isinstance(event, events.UpstreamsListed)
        and known != store_position.START
        and event.position.era > known.era
    )


def confirm_configuration(
    state: states.RouterState, *, asked_at: float
) -> None:
    """Renews the freshness proof, if a read of the store allows it.

    Args:
        state: The router's state.
        asked_at: When the read that returned the active configuration was
            sent, by this entry or by one that reads for it, in seconds.
    """
    settled = has_settled(state, asked_at) and is_era_settled(state, asked_at)
    state.unproven_read_at = None if settled else asked_at
    if settled and not is_behind_peer(state, asked_at):
        state.proof.confirm(sent_at=asked_at)


def is_era_settled(state: states.RouterState, asked_at: float) -> bool:
    """Returns whether the era of a read had begun long enough before it.

    An entry that starts doesn't know when that was: the store may just have
    been restored.
    """
    if state.era_seen_at is None:
        return True
    return asked_at - state.era_seen_at >= defaults.RESTORE_SETTLE_S


def record_era_age(
    state: states.RouterState, era: int | None, *, seen_at: float, source: str
) -> list[effects.Effect]:
    """Records when another entry saw the store in an era.

    Args:
        state: The router's state.
        era: The era; None if the entry knows none.
        seen_at: A time at which the store was in that era, in seconds.
        source: The entry's name.
    """
    known = state.era_seen_at
    if known is None or era != state.store_era or seen_at >= known:
        return []
    state.era_seen_at = seen_at
    read_at = state.unproven_read_at
    if read_at is None:
        return []
    confirm_configuration(state, asked_at=read_at)
    return [
        fx.LogDecision(
            decision="era_dated",
            reason=source,
            inputs=(
                ("era", state.store_era or 0),
                ("read_after_s", round(read_at - seen_at, 3)),
                ("proven", int(state.unproven_read_at is None)),
            ),
        )
    ]


def record_registrations(
    state: states.RouterState,
    listed: Iterable[peers.PeerAddress],
    *,
    now: float,
) -> list[effects.Effect]:
    """Records which eras other entries, also ended ones, knew as settled."""
    seen_at = now - defaults.RESTORE_SETTLE_S
    return [
        effect
        for each in listed
        for effect in record_era_age(
            state, each.settled_era, seen_at=seen_at, source=each.name
        )
    ]


def record_settled_era(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Publishes once that the era has settled, for entries that start."""
    era = state.store_era
    is_known = not era or state.settled_era == era or state.stopping
    if is_known or not is_era_settled(state, now):
        return []
    state.settled_era = era
    return [effects.RegisterEntry(settled_era=era)]


def has_settled(state: states.RouterState, asked_at: float) -> bool:
    """Returns whether a read shows all that the store has ever accepted.

    The store may have lost a change that no entry has read, so that the copy's
    contents look up to date. The change is written again a little later.

    Args:
        state: The router's state.
        asked_at: When the read was sent, in seconds.
    """
    if state.restored_at is None:
        return True
    return asked_at - state.restored_at >= defaults.RESTORE_SETTLE_S


def is_behind_peer(state: states.RouterState, asked_at: float) -> bool:
    """Returns whether a read has missed a version that a peer already had.

    Then the store has lost that version.
    """
    reported = state.peer_configuration
    if reported is None or asked_at <= reported.at:
        return False
    active = state.active_configuration
    return active is None or active.version < reported.version


def record_peer_version(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Records a peer's version; discards a proof that has missed it.

    So an entry that starts after a restore doesn't trust the copy, which is
    all that it has read.
    """
    version = message.configuration_version
    known = state.peer_configuration
    if known is None or version > known.version:
        at = now - message.configuration_age_ms / MS_PER_S
        state.peer_configuration = states.ReportedVersion(version, at)
    read_sent_at = state.proof.read_sent_at
    if read_sent_at is None or not is_behind_peer(state, read_sent_at):
        return []
    state.proof.revoke()
    active = state.active_configuration
    return [
        fx.LogDecision(
            decision="proof_revoked",
            reason=message.name,
            inputs=(
                ("version", active.version if active else 0),
                ("peer_version", version),
                ("peer_age_ms", message.configuration_age_ms),
                ("era", state.store_era or 0),
            ),
        )
    ]


def record_peer_restore(
    state: states.RouterState, message: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Records a restore from before this entry's start, as a peer noticed it.

    A proof from just after the restore is discarded: the store may have lost
    a version that no entry has read.
    """
    if (
        state.restored_at is not None
        or message.restored_age_ms is None
        or message.store_era != state.store_era
    ):
        return []
    state.restored_at = now - message.restored_age_ms / MS_PER_S
    read_sent_at = state.proof.read_sent_at
    if read_sent_at is None or has_settled(state, read_sent_at):
        return []
    state.proof.revoke()
    return [
        fx.LogDecision(
            decision="proof_revoked",
            reason=message.name,
            inputs=(
                ("era", state.store_era or 0),
                ("restored_age_ms", message.restored_age_ms),
            ),
        )
    ]


def log_ignored_configuration(
    state: states.RouterState,
    found: configuration.Configuration,
    active: configuration.Configuration,
    *,
    age_s: float,
) -> list[effects.Effect]:
    """Returns the log line of a read that isn't activated, once for each."""
    key = (found.era, found.revision)
    if key == state.ignored_configuration:
        return []
    state.ignored_configuration = key
    return [
        fx.LogDecision(
            decision="configuration_ignored",
            reason=f"version {found.version}",
            inputs=(
                ("era", found.era),
                ("revision", found.revision),
                ("active_version", active.version),
                ("active_era", active.era),
                ("active_revision", active.revision),
                ("age_s", round(age_s, 3)),
            ),
        )
    ]
