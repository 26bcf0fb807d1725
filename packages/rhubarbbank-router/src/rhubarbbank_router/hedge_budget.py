"""Keeps the hedges within the share of requests that the operators allow.

Each request that may be repeated earns its entry a part of a hedge, which
expires after a window. An entry's hedges thus never exceed the share of its own
requests, and those of all entries together that of all requests, without a
message, however many entries there are and whenever they start or end.
"""

import collections
import dataclasses

BUCKETS = 20
# For sums of shares that aren't exact in binary.
TOLERANCE = 1e-9


@dataclasses.dataclass(slots=True)
class EarnedHedges:
    """What the requests of one interval have earned and not used yet.

    Attributes:
        number: Number of the interval, from time 0.
        left: The number of hedges.
    """

    number: int
    left: float = 0.0


class HedgeBudget:
    """Counts what the requests for each service have earned.

    Attributes:
        buckets: By service, oldest first.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, collections.deque[EarnedHedges]] = {}

    def count_request(
        self, service: str, *, max_share: float, window_s: float, now: float
    ) -> None:
        """Counts a caller's request that may be repeated.

        Args:
            service: The request's service.
            max_share: Hedges for each such request.
            window_s: After which time it no longer counts, in seconds.
            now: In seconds.
        """
        number = int(now / (window_s / BUCKETS))
        ring = self.buckets.setdefault(service, collections.deque())
        if ring and ring[-1].number > number:
            # The window has become longer, and the numbers smaller.
            ring.clear()
        while ring and ring[0].number <= number - BUCKETS:
            ring.popleft()
        if not ring or ring[-1].number != number:
            ring.append(EarnedHedges(number))
        ring[-1].left += max_share

    def has_room(self, service: str, *, window_s: float, now: float) -> bool:
        """Returns whether a whole hedge is left."""
        number = int(now / (window_s / BUCKETS))
        ring = self.buckets.get(service, ())
        left = sum(x.left for x in ring if x.number > number - BUCKETS)
        return left >= 1.0 - TOLERANCE

    def take(self, service: str, *, window_s: float, now: float) -> None:
        """Uses up a hedge, the oldest parts first."""
        number = int(now / (window_s / BUCKETS))
        needed = 1.0
        for bucket in self.buckets.get(service, ()):
            if bucket.number > number - BUCKETS:
                used = min(needed, bucket.left)
                bucket.left -= used
                needed -= used
