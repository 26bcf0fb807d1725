"""Chooses which of a service's versions a request may run on.

Without a roll-out, requests run on the settled versions. During one, the hash
of a request's key decides, except for sessions that keep their version.

A session's version goes before the state of upstreams: other entries decide by
the same hash, so that a session that runs elsewhere while its version can't be
used here would change its version twice. It waits, unless no upstream of the
version remains. Requests without a session run on what is usable.
"""

import collections.abc
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionChoice:
    """The upstreams that a request may be sent to, by their version.

    Attributes:
        usable: The upstreams.
        reason: Why their version may run the request.
        awaited: If there are none, the versions that the request has to wait
            for; empty if it would run on any.
    """

    usable: list[upstreams.TrackedUpstream]
    reason: ChoiceReason
    awaited: frozenset[str] = upstreams.ALL_VERSIONS


def choose(
    state: states.RouterState,
    opened: states.OpenRequest,
    *,
    now: float,
) -> VersionChoice:
    """Returns the upstreams that a request may be sent to now."""
    accepting = state.view.list_untried(
        opened.service, now=now, excluded=opened.excluded
    )
    if opened.answer_started:
        return build_choice(
            select_versions(accepting, {opened.version}),
            ChoiceReason.STARTED,
            now=now,
        )
    settled = state.settled_versions.get(opened.service) or set()
    trial = state.trials.get(opened.service)
    if trial is None:
        return build_choice(
            select_versions(accepting, settled) or accepting,
            ChoiceReason.SETTLED,
            now=now,
        )
    versions = split_versions(accepting, trial.order.target, settled)
    has_session = bool(opened.request.session)
    if trial.held and not (has_session and trial.keeps_sessions(now=now)):
        return build_choice(versions.others, ChoiceReason.HELD, now=now)
    if trial.order.state is version_trial.OrderState.COMPLETED:
        return build_choice(versions.target, ChoiceReason.COMPLETED, now=now)
    is_target, reason = decide(state, trial, opened, now=now)
    if not has_session:
        usable = upstreams.prefer_healthy(accepting, now=now)
        return prefer(
            split_versions(usable, trial.order.target, settled),
            is_target=is_target,
            reason=reason,
        )
    choice = build_choice(versions.get(is_target), reason, now=now)
    if choice.usable:
        return choice
    remaining = split_versions(
        state.view.list_remaining(opened.service), trial.order.target, settled
    ).get(is_target)
    if remaining:
        awaited = frozenset(each.listed.version for each in remaining)
        return dataclasses.replace(choice, awaited=awaited)
    return build_choice(
        versions.get(not is_target), ChoiceReason.UNAVAILABLE, now=now
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SplitVersions:
    """Upstreams of the version on trial, and those of the others."""

    target: list[upstreams.TrackedUpstream]
    others: list[upstreams.TrackedUpstream]

    def get(self, is_target: bool) -> list[upstreams.TrackedUpstream]:
        """Returns the upstreams of the version on trial, or the others."""
        return self.target if is_target else self.others


def split_versions(
    listed: list[upstreams.TrackedUpstream], target: str, settled: set[str]
) -> SplitVersions:
    """Splits upstreams by version; the others are the settled ones, if any."""
    others = [each for each in listed if each.listed.version != target]
    return SplitVersions(
        target=select_versions(listed, {target}),
        others=select_versions(others, settled) or others,
    )


def build_choice(
    accepting: list[upstreams.TrackedUpstream],
    reason: ChoiceReason,
    *,
    now: float,
) -> VersionChoice:
    """Returns the choice among upstreams of a version."""
    return VersionChoice(
        usable=upstreams.prefer_healthy(accepting, now=now), reason=reason
    )


def prefer(
    usable: SplitVersions, *, is_target: bool, reason: ChoiceReason
) -> VersionChoice:
    """Returns upstreams of the preferred version, or else of the other one."""
    preferred = usable.get(is_target)
    rest = usable.get(not is_target)
    if preferred or not rest:
        return VersionChoice(usable=preferred, reason=reason)
    return VersionChoice(usable=rest, reason=ChoiceReason.UNAVAILABLE)


def select_versions(
    listed: list[upstreams.TrackedUpstream],
    versions: collections.abc.Set[str],
) -> list[upstreams.TrackedUpstream]:
    """Returns the upstreams that run one of the versions."""
    return [each for each in listed if each.listed.version in versions]


def find_session_version(
    state: states.RouterState, opened: states.OpenRequest, *, now: float
) -> str:
    """Returns the version of the request's live session, or an empty string."""
    return state.sessions.find_version(
        opened.session_key,
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
    session = opened.request.session
    affinity_key = opened.request.affinity_key
    if not session:
        if trial.has_all_traffic:
            return True, ChoiceReason.WHOLE
        return trial.routes_to_target(affinity_key), ChoiceReason.DRAWN
    if trial.session_share >= 1.0:
        return True, ChoiceReason.WHOLE
    is_selected = trial.routes_session_to_target(affinity_key)
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
