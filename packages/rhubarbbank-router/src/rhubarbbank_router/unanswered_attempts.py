"""Keeps attempts that ended without proof that their upstreams answered.

Their upstreams may have crashed. What happens next shows it: the list drops an
upstream that has, its other attempts are interrupted at the same moment, or
they go on.
"""

import dataclasses
import math

from rhubarbbank_router import crash_observations
from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt that ended without proof that its upstream answered.

    Attributes:
        traits: Traits of the request.
        sent_at: When it was sent, in seconds.
        ended_at: When it ended.
        may_be_whole: Whether the end of its connection may have completed its
            answer; otherwise it was cancelled.
    """

    traits: tuple[str, ...]
    sent_at: float
    ended_at: float
    may_be_whole: bool


class UnansweredAttempts:
    """Unanswered attempts by upstream.

    Attributes:
        attempts: By the hash of the incarnation of the upstream.
        crashed_at: When another attempt was last interrupted there, in seconds,
            by the same hash.
    """

    def __init__(self) -> None:
        self.attempts: dict[name_hashes.NameHash, list[UnansweredAttempt]] = {}
        self.crashed_at: dict[name_hashes.NameHash, float] = {}

    def add(
        self,
        traits: tuple[str, ...],
        crash: name_hashes.NameHash,
        *,
        sent_at: float,
        may_be_whole: bool,
        now: float,
    ) -> None:
        """Adds an attempt.

        Args:
            traits: Traits of the request.
            crash: Hash of the upstream's incarnation.
            sent_at: When it was sent, in seconds.
            may_be_whole: Whether its answer may be complete.
            now: In seconds.
        """
        attempts = self.attempts.setdefault(crash, [])
        attempts.append(UnansweredAttempt(traits, sent_at, now, may_be_whole))

    def drop_running(
        self, crash: name_hashes.NameHash, period: crash_observations.Period
    ) -> None:
        """Removes cancelled attempts during which their upstream ran on."""
        self.take(
            crash,
            [
                each
                for each in self.attempts.get(crash, [])
                if not each.may_be_whole
                and period.covers(each.sent_at, each.ended_at)
            ],
        )

    def take_ended(
        self, crash: name_hashes.NameHash, *, now: float
    ) -> list[tuple[str, ...]]:
        """Removes the attempts at an upstream that is no longer listed.

        Returns:
            Traits of the requests whose attempts ended less than
            UNANSWERED_CRASH_WINDOW_S ago.
        """
        return [
            each.traits
            for each in self.attempts.pop(crash, [])
            if now - each.ended_at <= defaults.UNANSWERED_CRASH_WINDOW_S
        ]

    def take_interrupted(
        self, crash: name_hashes.NameHash, *, now: float
    ) -> list[tuple[str, ...]]:
        """Removes answers that ended just before another was interrupted.

        Returns:
            Traits of their requests.
        """
        self.crashed_at[crash] = now
        return self.take(
            crash,
            [
                each
                for each in self.attempts.get(crash, [])
                if each.may_be_whole
                and now - each.ended_at < defaults.MIN_RESTART_S
            ],
        )

    def take_whole(
        self, crash: name_hashes.NameHash, *, sent_at: float, now: float
    ) -> list[tuple[str, ...]]:
        """Removes answers that are whole, since another attempt goes on.

        Args:
            crash: Hash of the upstream's incarnation.
            sent_at: When that attempt was sent, in seconds; a later process
                can't be running it if it was sent before one could restart.
            now: In seconds.

        Returns:
            Traits of their requests.
        """
        return self.take(
            crash,
            [
                each
                for each in self.attempts.get(crash, [])
                if each.may_be_whole
                and sent_at < each.ended_at + defaults.MIN_RESTART_S
                and now > each.ended_at + defaults.CRASH_DETECTION_S
            ],
        )

    def take(
        self, crash: name_hashes.NameHash, taken: list[UnansweredAttempt]
    ) -> list[tuple[str, ...]]:
        """Removes attempts; returns the traits of their requests."""
        if taken:
            left = [x for x in self.attempts[crash] if x not in taken]
            self.attempts[crash] = left
        return [each.traits for each in taken]

    def has_just_crashed(
        self, crash: name_hashes.NameHash, *, now: float
    ) -> bool:
        """Returns whether another attempt was interrupted there just now."""
        at = self.crashed_at.get(crash, -math.inf)
        return now - at < defaults.CRASH_DETECTION_S

    def remove_expired(self, *, now: float) -> None:
        """Removes what can't be explained any more."""
        since = now - defaults.UNANSWERED_CRASH_WINDOW_S
        self.attempts = {
            crash: attempts
            for crash, attempts in self.attempts.items()
            if attempts and attempts[-1].ended_at >= since
        }
        self.crashed_at = {
            crash: at for crash, at in self.crashed_at.items() if at >= since
        }
