"""Chooses which of a service's versions a request may run on.

Without a roll-out, requests run on the settled versions. During one, the hash
of a request's key decides, except for sessions that keep their version.
"""

import dataclasses
import enum

from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes
from rhubarbbank_router import state as states
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial


class ChoiceReason(enum.StrEnum):
    """Why a request may run on a version.

    STARTED: its response has begun on that version.
    SETTLED: no version of the service is on trial.
    HELD: the version on trial is held.
    COMPLETED: the roll-out is completed.
    WHOLE: the version on trial gets all requests.
    DRAWN: the hash of the request's key decides.
    PINNED: its session runs on that version at this entry.
    KEPT: its session was alive on the old version before the order.
    UNREPORTED: the order is so new that other entries haven't reported yet
        which sessions are alive.
    UNAVAILABLE: the version that it should run on has no usable upstream.
    """

    STARTED = "started"
    SETTLED = "settled"
    HELD = "held"
    COMPLETED = "completed"
    WHOLE = "whole"
    DRAWN = "drawn"
    PINNED = "pinned"
    KEPT = "kept"
    UNREPORTED = "unreported"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class VersionChoice:
    """The upstreams whose version a request may run on, and the reason."""

    usable: list[upstreams.TrackedUpstream]
    reason: ChoiceReason


def choose(
    state: states.RouterState,
    opened: states.OpenRequest,
    usable: list[upstreams.TrackedUpstream],
    *,
    now: float,
) -> VersionChoice:
    """Returns those of the usable upstreams that a request may run on."""
    if opened.answer_started:
        return VersionChoice(
            select_versions(usable, {opened.version}), ChoiceReason.STARTED
        )
    settled = state.settled_versions.get(opened.service) or set()
    trial = state.trials.get(opened.service)
    if trial is None:
        return VersionChoice(
            select_versions(usable, settled) or usable, ChoiceReason.SETTLED
        )
    target = trial.order.target
    on_target = select_versions(usable, {target})
    others = [each for each in usable if each.listed.version != target]
    others = select_versions(others, settled) or others
    if trial.held:
        return VersionChoice(others, ChoiceReason.HELD)
    if trial.order.state is version_trial.OrderState.COMPLETED:
        return VersionChoice(on_target, ChoiceReason.COMPLETED)
    is_target, reason = decide(state, trial, opened, now=now)
    preferred, rest = (on_target, others) if is_target else (others, on_target)
    if preferred or not rest:
        return VersionChoice(preferred, reason)
    return VersionChoice(rest, ChoiceReason.UNAVAILABLE)


def select_versions(
    usable: list[upstreams.TrackedUpstream], versions: set[str]
) -> list[upstreams.TrackedUpstream]:
    """Returns the upstreams that run one of the versions."""
    return [each for each in usable if each.listed.version in versions]


def find_session_version(
    state: states.RouterState, opened: states.OpenRequest, *, now: float
) -> str:
    """Returns the version of the request's live session, or an empty string."""
    return state.sessions.find_version(
        opened.request.session,
        now=now,
        alive_s=state.settings.bounds.session_s,
    )


def decide(
    state: states.RouterState,
    trial: version_trial.VersionTrial,
    opened: states.OpenRequest,
    *,
    now: float,
) -> tuple[bool, ChoiceReason]:
    """Returns whether a request should run on the target, and why.

    In the first half, sessions that were alive at the time of the order keep
    their version. Other entries may have seen such sessions, so no session
    goes to the target until the peers' first heartbeats after the order.
    """
    if trial.has_all_traffic:
        return True, ChoiceReason.WHOLE
    session = opened.request.session
    is_selected = trial.routes_to_target(opened.request.affinity_key)
    if not session:
        return is_selected, ChoiceReason.DRAWN
    pinned = find_session_version(state, opened, now=now)
    if pinned == trial.order.target:
        return True, ChoiceReason.PINNED
    if trial.may_move_sessions:
        return is_selected, ChoiceReason.DRAWN
    if pinned:
        return False, ChoiceReason.PINNED
    if now - trial.started_at < defaults.SESSIONS_REPORTED_S:
        return False, ChoiceReason.UNREPORTED
    if name_hashes.hash_name(session) in trial.kept_sessions:
        return False, ChoiceReason.KEPT
    return is_selected, ChoiceReason.DRAWN
