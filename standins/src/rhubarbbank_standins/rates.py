"""Rate limits and rate peaks of the object API."""

import time


class TokenBucket:
    """Lets calls in up to a rate, with a bounded burst.

    Args:
        rate_per_s: Calls per second in the long run.
        burst_s: Seconds' worth of calls that may come at once.
    """

    def __init__(self, *, rate_per_s: float, burst_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = max(1.0, rate_per_s * burst_s)
        self.tokens = self.capacity
        self.filled_at_s = time.monotonic()

    def take(self) -> bool:
        """Takes one token and tells whether there was one."""
        now = time.monotonic()
        gained = (now - self.filled_at_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + gained)
        self.filled_at_s = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class PeakMeter:
    """Counts calls by whole second and keeps the highest count."""

    def __init__(self) -> None:
        self.second = 0
        self.count = 0
        self.peak = 0

    def add(self) -> None:
        """Counts one call now."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.count = 0
        self.count += 1
        self.peak = max(self.peak, self.count)
