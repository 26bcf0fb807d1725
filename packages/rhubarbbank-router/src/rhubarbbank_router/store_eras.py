"""Tracks restores of the platform's store from an older copy.

A restored store has lost the latest changes, and gives their revisions out
again. Its responses name the era, which begins anew with each restore.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import state as states


def record_era(
    state: states.RouterState, era: int, *, now: float
) -> list[effects.Effect]:
    """Records the era that a response of the store names."""
    known = state.store_era
    if known is not None and era <= known:
        return []
    state.store_era = era
    if known is None:
        return []
    state.restored_at = now
    active = state.active_configuration
    return [
        fx.LogDecision(
            decision="store_restored",
            reason=f"era {era}",
            inputs=(
                ("previous_era", known),
                ("version", active.version if active else 0),
                ("revision", active.revision if active else 0),
                ("position", state.relay.change_log.position),
            ),
        ),
        fx.Count("store_restores"),
    ]


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
