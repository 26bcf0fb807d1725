"""A token bucket rate limiter, which takes the time as an argument."""


class TokenBucket:
    """Allows `rate_per_s` units a second, with bursts of up to `burst`."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None

    def refill(self, *, now: float) -> float:
        """Adds the tokens accrued until `now`; returns the available tokens."""
        if self.refilled_at is not None:
            accrued = max(0.0, now - self.refilled_at) * self.rate_per_s
            self.tokens = min(self.burst, self.tokens + accrued)
        self.refilled_at = now
        return self.tokens

    def try_take(self, *, now: float, cost: float = 1.0) -> bool:
        """Takes `cost` tokens if available; returns whether it did."""
        if self.refill(now=now) < cost:
            return False
        self.tokens -= cost
        return True
