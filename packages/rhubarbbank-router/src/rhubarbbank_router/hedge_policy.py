"""Decides whether a slow request is hedged: sent to a second upstream as well.

It is meant for a tail of slow answers while most are fast: a few slow runs, or
one slow upstream. While requests wait or upstreams are busy, more copies would
make all of them slower, so nothing is hedged then.
"""

import dataclasses
import enum
from typing import Protocol

# More places taken than this at the other upstreams is overload: a hedge
# would begin at once only by luck, and the next request would wait for it.
MAX_BUSY_SHARE = 0.5


class HedgeReason(enum.StrEnum):
    """Why a request is or isn't hedged."""

    SLOW = "slower than usual"
    NEVER = "never"
    NO_UPSTREAM = "no other upstream"
    WAITING = "requests wait"
    BUSY = "upstreams are busy"
    TOO_LATE = "too late"
    NO_SHARE = "the share of hedges is spent"
    NO_BUDGET = "the retry budget is needed for retries"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRoom:
    """The room at the other upstreams to which a request may be sent.

    Attributes:
        upstreams: How many there are.
        waiting: Requests that wait there, or at this entry.
        full: How many upstreams of the service have just refused a request
            for lack of capacity.
        busy_share: Share of their places that are taken.
        report_age_s: Age in seconds of the oldest load report that counts;
            None if there is none.
    """

    upstreams: int
    waiting: int
    full: int
    busy_share: float
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeContext:
    """What the decision on one request is based on; times are in seconds.

    Attributes:
        waited_s: Time since its attempt was sent; at least `delay_s`.
        delay_s: What `HedgePolicy.choose_delay_s` returned.
        typical_s: The median of the route's times; 0 if unknown.
        wait_s: Expected time until the hedge's first event, as far as prompts
            delay it.
        left_s: Time left until the deadline.
        room: The room at the other upstreams.
    """

    waited_s: float
    delay_s: float
    typical_s: float
    wait_s: float
    left_s: float
    room: HedgeRoom


class HedgePolicy(Protocol):
    """Decides whether one request is hedged now."""

    def choose_delay_s(self, usual_s: float | None) -> float | None:
        """Returns after which time a request may be hedged, in seconds.

        Args:
            usual_s: Time within which the route's answers usually come, in
                seconds; None if unknown.

        Returns:
            None if it may not be hedged.
        """

    def decide(self, context: HedgeContext) -> HedgeReason:
        """Returns SLOW to hedge the request, or why it isn't hedged."""


class HedgeWhenSlow:
    """Hedges what is slower than usual if a copy begins at once elsewhere.

    Attributes:
        max_busy_share: Largest share of the places that may be taken.
    """

    def __init__(self, *, max_busy_share: float = MAX_BUSY_SHARE) -> None:
        self.max_busy_share = max_busy_share

    def choose_delay_s(self, usual_s: float | None) -> float | None:
        """Returns the usual time."""
        return usual_s

    def decide(self, context: HedgeContext) -> HedgeReason:
        """Returns SLOW to hedge the request, or why it isn't hedged."""
        if max(context.typical_s, context.wait_s) >= context.left_s:
            return HedgeReason.TOO_LATE
        room = context.room
        if not room.upstreams:
            return HedgeReason.NO_UPSTREAM
        if room.waiting or room.full:
            return HedgeReason.WAITING
        if room.busy_share >= self.max_busy_share:
            return HedgeReason.BUSY
        if context.wait_s >= context.delay_s:
            # The copy would itself be slower than usual.
            return HedgeReason.BUSY
        return HedgeReason.SLOW


class NeverHedge:
    """The baseline without hedges."""

    def choose_delay_s(self, usual_s: float | None) -> float | None:
        """Returns None."""
        del usual_s
        return None

    def decide(self, context: HedgeContext) -> HedgeReason:
        """Returns NEVER."""
        del context
        return HedgeReason.NEVER


class HedgeAfterDelay:
    """The naive baseline: a fixed delay, whatever the load.

    Attributes:
        delay_s: The delay, in seconds.
    """

    def __init__(self, *, delay_s: float) -> None:
        self.delay_s = delay_s

    def choose_delay_s(self, usual_s: float | None) -> float | None:
        """Returns the fixed delay."""
        del usual_s
        return self.delay_s

    def decide(self, context: HedgeContext) -> HedgeReason:
        """Returns SLOW if there is an upstream."""
        if not context.room.upstreams:
            return HedgeReason.NO_UPSTREAM
        return HedgeReason.SLOW
