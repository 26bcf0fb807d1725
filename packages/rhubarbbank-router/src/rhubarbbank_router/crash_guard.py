"""Decides whether a request that may crash its upstream is sent."""

import dataclasses

from rhubarbbank_core import rendezvous
from rhubarbbank_router import attempt_states
from rhubarbbank_router import crash_causes
from rhubarbbank_router import state as states


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Permission:
    """Whether a request may be sent.

    Attributes:
        is_granted: Whether it may.
        is_final: Whether a later attempt would be refused as well.
        assessment: What the decision is based on.
    """

    is_granted: bool
    is_final: bool = False
    assessment: crash_causes.Assessment


def check(
    state: states.RouterState, traits: tuple[str, ...], *, now: float
) -> Permission:
    """Returns whether a request with these traits may be sent now."""
    assessment = state.causes.assess(traits)
    fingerprint = traits[0]
    if state.suspects.is_suspect(fingerprint):
        return Permission(
            is_granted=False, is_final=True, assessment=assessment
        )
    match assessment.verdict:
        case crash_causes.Verdict.SEND:
            return Permission(is_granted=True, assessment=assessment)
        case crash_causes.Verdict.TRY_ALONE:
            is_free = not is_being_tried(state, assessment.traits)
            return Permission(is_granted=is_free, assessment=assessment)
        case crash_causes.Verdict.REFUSE:
            is_due = is_probe_due(state, assessment.traits, now=now)
            return Permission(
                is_granted=is_due, is_final=True, assessment=assessment
            )


def is_being_tried(state: states.RouterState, traits: frozenset[str]) -> bool:
    """Returns whether an open attempt tries any of these traits."""
    return any(
        attempt.tried_traits & traits
        for opened in state.open_requests.values()
        for attempt in opened.open_attempts
        if not attempt.is_sound
    )


def is_probe_due(
    state: states.RouterState, traits: frozenset[str], *, now: float
) -> bool:
    """Returns whether this entry may try suspected traits again.

    A suspicion may be wrong, and without any request there would be no good
    answer to show it. One entry tries, less and less often.
    """
    if any(now < state.suspects.get_probe_time(x) for x in traits):
        return False
    own_name = state.settings.name
    names = [own_name, *(x.name for x in state.entries.list_live(now=now))]
    return rendezvous.select(min(traits), names) == own_name


def begin_attempt(
    state: states.RouterState,
    traits: tuple[str, ...],
    attempt: attempt_states.Attempt,
    *,
    now: float,
) -> None:
    """Records that an attempt with these traits is sent."""
    assessment = state.causes.assess(traits)
    if assessment.verdict is crash_causes.Verdict.SEND:
        return
    attempt.tried_traits = assessment.traits
    state.suspects.record_trial(
        assessment.traits,
        is_probe=assessment.verdict is crash_causes.Verdict.REFUSE,
        now=now,
    )
