"""A retry budget per entry that limits retries to a fraction of successes.

The request path asks the budget before each retry. Every entry counts only
its own successes, so the retries of the whole fleet stay below `ratio` of its
successes plus a small constant rate and the initial burst, without
coordination between entries. The budget is a token bucket refilled by
successes: when all requests fail, only the constant rate refills it, so
retries cannot grow into a retry storm.
"""

from typing import Protocol


class RetryBudget(Protocol):
    """Decides whether another retry may be sent."""

    def record_success(self) -> None:
        """Records that a request succeeded."""

    def try_acquire(self, *, now: float) -> bool:
        """Takes a token for one retry; returns False when none is left."""


class SuccessRetryBudget:
    """A token bucket that successful requests refill.

    Attributes:
        ratio: Tokens added for each success.
        min_retries_per_s: Tokens added per second regardless of successes, so
            that an entry with little traffic can still retry.
        burst: Capacity of the bucket.
        tokens: Retries that may be sent now.
    """

    def __init__(
        self,
        *,
        ratio: float = 0.1,
        min_retries_per_s: float = 0.1,
        burst: float = 10.0,
    ) -> None:
        self.ratio = ratio
        self.min_retries_per_s = min_retries_per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None

    def record_success(self) -> None:
        """Records that a request succeeded."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_acquire(self, *, now: float) -> bool:
        """Takes a token for one retry; returns False when none is left."""
        self.refill(now=now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refill(self, *, now: float) -> None:
        """Adds the tokens for the time since the last call."""
        if self.refilled_at is not None and now > self.refilled_at:
            earned = (now - self.refilled_at) * self.min_retries_per_s
            self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now


class UnlimitedRetryBudget:
    """A baseline that allows every retry."""

    def record_success(self) -> None:
        """Does nothing."""

    def try_acquire(self, *, now: float) -> bool:
        """Returns True."""
        del now
        return True
