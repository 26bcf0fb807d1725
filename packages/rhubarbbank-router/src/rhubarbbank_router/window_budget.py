"""The budget for sending requests more than once, shared without messages.

Each entry counts its own requests and its own additional sends over a sliding
window. While each entry stays below the ratio of its own requests plus its
share of the extra, all of them together stay below the whole.

Entries come and go within a window, and one that ends takes its counts along.
So the number of entries that share the extra falls only after a whole window,
and a process in its first window takes half a share, since its predecessor
may have used the other. That holds if no entry is replaced twice in a window.
"""

import collections
import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults

BUCKETS = 20


class RetryBudget(Protocol):
    """Decides whether a service may get one more additional send."""

    def count_request(self, service: str, *, now: float) -> None:
        """Notes a caller's request for the service."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether one more may be sent, and counts it if so."""

    def note_entries(self, count: int, *, now: float) -> None:
        """Learns how many entries there are, this one included."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one part of the window."""

    number: int
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """What all entries together may do.

    Attributes:
        ratio: Additional sends for each request.
        extra: Additional sends besides, in each window.
        window_s: The window's length.
    """

    ratio: float
    extra: float
    window_s: float


class WindowBudget:
    """Counts by service in a ring of buckets.

    Attributes:
        limits: What all entries together may do.
        started_at: Of the first event, in seconds.
        entry_counts: Times and numbers of entries heard of within the window; a
            number goes when a later one is as high.
        buckets: The counts by service.
    """

    def __init__(self, *, limits: BudgetLimits) -> None:
        self.limits = limits
        self.started_at: float | None = None
        self.entry_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.buckets: dict[str, collections.deque[Bucket]] = {}

    def note_entries(self, count: int, *, now: float) -> None:
        """Learns how many entries there are, this one included."""
        self.ensure_started(now=now)
        while self.entry_counts and self.entry_counts[-1][1] <= count:
            self.entry_counts.pop()
        self.entry_counts.append((now, count))

    def count_sharers(self, *, now: float) -> int:
        """Returns among how many processes the extra is shared."""
        started_at = self.ensure_started(now=now)
        # The newest number stands for as long as nothing newer is heard.
        while len(self.entry_counts) > 1 and self.is_outside_window(
            self.entry_counts[0][0], now
        ):
            self.entry_counts.popleft()
        count = (
            self.entry_counts[0][1]
            if self.entry_counts
            else defaults.ASSUMED_ENTRIES
        )
        return count if self.is_outside_window(started_at, now) else 2 * count

    def ensure_started(self, *, now: float) -> float:
        """Returns when this process counted first, which may be now."""
        if self.started_at is None:
            self.started_at = now
        return self.started_at

    def is_outside_window(self, at: float, now: float) -> bool:
        """Returns whether a time is more than a window ago."""
        return now - at > self.limits.window_s

    def count_request(self, service: str, *, now: float) -> None:
        """Notes a caller's request for the service."""
        self.find_bucket(service, now).requests += 1

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether one more may be sent, and counts it if so.

        Args:
            service: The service that would get it.
            now: In seconds.
            share: Part of the budget that this use may fill, up to 1.
        """
        bucket = self.find_bucket(service, now)
        ring = self.buckets[service]
        # The oldest bucket lies across the window's beginning.
        oldest = bucket.number - BUCKETS
        requests = sum(x.requests for x in ring if x.number > oldest)
        retries = sum(x.retries for x in ring)
        limits = self.limits
        allowed = (
            limits.ratio * defaults.RETRY_RATIO_SHARE * requests
            + limits.extra
            * defaults.RETRY_EXTRA_SHARE
            / self.count_sharers(now=now)
        )
        if retries + 1 > allowed * share:
            return False
        bucket.retries += 1
        return True

    def find_bucket(self, service: str, now: float) -> Bucket:
        """Returns the bucket of `now`, without those out of the window."""
        width = self.limits.window_s / BUCKETS
        number = int(now / width)
        ring = self.buckets.setdefault(service, collections.deque())
        while ring and ring[0].number < number - BUCKETS:
            ring.popleft()
        if not ring or ring[-1].number != number:
            ring.append(Bucket(number))
        return ring[-1]


class UnlimitedRetries:
    """The naive baseline: every send is allowed."""

    def count_request(self, service: str, *, now: float) -> None:
        """Does nothing."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns True at any time."""
        del service, now, share
        return True

    def note_entries(self, count: int, *, now: float) -> None:
        """Does nothing."""
