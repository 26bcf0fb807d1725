"""The budget for sending requests more than once, shared without messages.

Each entry counts its own requests and its own additional sends over a sliding
window. While each entry stays below the ratio of its own requests plus its
share of the extra, all of them together stay below the whole.
"""

import collections
import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults

BUCKETS = 20


class SendBudget(Protocol):
    """Decides whether a service may get one more additional send."""

    def count_request(self, service: str, *, now: float) -> None:
        """Notes a caller's request for the service."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether one more may be sent, and counts it if so."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one part of the window."""

    number: int
    requests: int = 0
    repeats: int = 0


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
        entries: How many entries share the extra.
    """

    def __init__(self, *, limits: BudgetLimits) -> None:
        self.limits = limits
        self.entries = defaults.ASSUMED_ENTRIES
        self.buckets: dict[str, collections.deque[Bucket]] = {}

    def count_request(self, service: str, *, now: float) -> None:
        """Notes a caller's request for the service."""
        self.current(service, now).requests += 1

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns whether one more may be sent, and counts it if so.

        Args:
            service: The service that would get it.
            now: In seconds.
            share: Part of the budget that this use may fill, up to 1.
        """
        bucket = self.current(service, now)
        ring = self.buckets[service]
        requests = sum(each.requests for each in ring)
        repeats = sum(each.repeats for each in ring)
        limits = self.limits
        allowed = (
            limits.ratio * defaults.RETRY_RATIO_SHARE * requests
            + limits.extra * defaults.RETRY_EXTRA_SHARE / self.entries
        )
        if repeats + 1 > allowed * share:
            return False
        bucket.repeats += 1
        return True

    def current(self, service: str, now: float) -> Bucket:
        """Returns the bucket of `now`, without those out of the window."""
        width = self.limits.window_s / BUCKETS
        number = int(now / width)
        ring = self.buckets.setdefault(service, collections.deque())
        while ring and ring[0].number <= number - BUCKETS:
            ring.popleft()
        if not ring or ring[-1].number != number:
            ring.append(Bucket(number))
        return ring[-1]


class UnlimitedSends:
    """The naive baseline: every send is allowed."""

    def count_request(self, service: str, *, now: float) -> None:
        """Does nothing."""

    def take(self, service: str, *, now: float, share: float = 1.0) -> bool:
        """Returns True at any time."""
        del service, now, share
        return True
