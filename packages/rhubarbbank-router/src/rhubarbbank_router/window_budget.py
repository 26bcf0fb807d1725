"""A retry budget that all entries share without exchanging their counts.

Each entry counts its own requests and retries in a sliding window. While each
entry stays below the ratio of its own requests plus its share of the extra
retries, all of them together stay below the whole limit. An attempt counts as
a retry if the one before it reached its upstream; so does an escalation to a
larger model.

Entries start and end within a window, and the counts of one that ends are
lost. So the number of entries that share the extra retries falls only after a
whole window, and a process in its first window takes half a share, since its
predecessor may have used the other half. The limit holds if no entry is
replaced twice in a window.
"""

import collections
import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults

BUCKETS = 20


class RetryBudget(Protocol):
    """Decides whether a request for a service may be retried."""

    def count_request(self, service: str, *, now: float) -> None:
        """Counts a caller's request for the service."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether a retry is allowed, and counts it if so."""

    def record_entry_count(self, count: int, *, now: float) -> None:
        """Records how many entries there are, including this one."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one interval of the window, numbered from time 0."""

    number: int
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetLimits:
    """Limits on the retries of all entries together, for one service.

    Attributes:
        ratio: Retries for each request.
        extra: Retries in each window beyond the ratio.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class WindowBudget:
    """A budget that keeps its counts in a queue of buckets for each service.

    Attributes:
        limits: Limits for all entries together.
        started_at: Time of this process's first count, in seconds.
        entry_counts: Times at which the number of entries was recorded within
            the window, and the numbers; one is dropped when a later one is at
            least as high, so that the first is the highest.
        buckets: The counts by service, oldest first.
    """

    def __init__(self, *, limits: BudgetLimits) -> None:
        self.limits = limits
        self.started_at: float | None = None
        self.entry_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.buckets: dict[str, collections.deque[Bucket]] = {}

    def record_entry_count(self, count: int, *, now: float) -> None:
        """Records how many entries there are, including this one."""
        self.ensure_started(now=now)
        while self.entry_counts and self.entry_counts[-1][1] <= count:
            self.entry_counts.pop()
        self.entry_counts.append((now, count))

    def count_sharers(self, *, now: float) -> int:
        """Returns how many processes share the extra retries."""
        started_at = self.ensure_started(now=now)
        # The newest number stays valid until a newer one is recorded.
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
        """Returns the time of the first count, which it sets if need be."""
        if self.started_at is None:
            self.started_at = now
        return self.started_at

    def is_outside_window(self, at: float, now: float) -> bool:
        """Returns whether a time is more than a window ago."""
        return now - at > self.limits.window_s

    def count_request(self, service: str, *, now: float) -> None:
        """Counts a caller's request for the service."""
        self.find_bucket(service, now).requests += 1

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether a retry is allowed, and counts it if so.

        Args:
            service: The service that would get it.
            now: In seconds.
            share: Share of the budget that may be used up after this retry,
                at most 1.
        """
        bucket = self.find_bucket(service, now)
        ring = self.buckets[service]
        # The window begins within the oldest bucket: its requests aren't
        # counted, its retries are.
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
        """Returns the bucket of `now`; drops those outside the window."""
        width = self.limits.window_s / BUCKETS
        number = int(now / width)
        ring = self.buckets.setdefault(service, collections.deque())
        while ring and ring[0].number < number - BUCKETS:
            ring.popleft()
        if not ring or ring[-1].number != number:
            ring.append(Bucket(number))
        return ring[-1]


class UnlimitedRetries:
    """The naive baseline: every retry is allowed."""

    def count_request(self, service: str, *, now: float) -> None:
        """Does nothing."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns True."""
        del service, now, share
        return True

    def record_entry_count(self, count: int, *, now: float) -> None:
        """Does nothing."""
