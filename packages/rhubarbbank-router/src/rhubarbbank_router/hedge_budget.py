"""Keeps the hedges within the share of requests that the operators allow.

Each entry counts its own requests and hedges in a sliding window. Its hedges
never exceed the share of its own requests, so those of all entries together
stay within the share of all requests, without a message and however many
entries there are.
"""

import collections
import dataclasses

BUCKETS = 20


@dataclasses.dataclass(slots=True)
class HedgeCounts:
    """Counts of one interval of the window, numbered from time 0."""

    number: int
    requests: int = 0
    hedges: int = 0


class HedgeBudget:
    """Counts requests that may be repeated, and hedges, for each service.

    Attributes:
        buckets: The counts by service, oldest first.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, collections.deque[HedgeCounts]] = {}

    def count_request(
        self, service: str, *, window_s: float, now: float
    ) -> None:
        """Counts a caller's request that may be repeated."""
        self.find_bucket(service, window_s, now).requests += 1

    def has_room(
        self, service: str, *, max_share: float, window_s: float, now: float
    ) -> bool:
        """Returns whether one more hedge is within the share.

        Args:
            service: The service that would get it.
            max_share: Hedges for each request that may be repeated.
            window_s: Length of the window, in seconds.
            now: In seconds.
        """
        bucket = self.find_bucket(service, window_s, now)
        ring = self.buckets[service]
        # The window begins within the oldest bucket: its requests aren't
        # counted, its hedges are.
        oldest = bucket.number - BUCKETS
        requests = sum(x.requests for x in ring if x.number > oldest)
        hedges = sum(x.hedges for x in ring)
        return hedges + 1 <= max_share * requests

    def count_hedge(self, service: str, *, window_s: float, now: float) -> None:
        """Counts a hedge."""
        self.find_bucket(service, window_s, now).hedges += 1

    def find_bucket(
        self, service: str, window_s: float, now: float
    ) -> HedgeCounts:
        """Returns the bucket of `now`; drops those outside the window."""
        number = int(now / (window_s / BUCKETS))
        ring = self.buckets.setdefault(service, collections.deque())
        while ring and ring[0].number < number - BUCKETS:
            ring.popleft()
        if not ring or ring[-1].number != number:
            ring.append(HedgeCounts(number))
        return ring[-1]
