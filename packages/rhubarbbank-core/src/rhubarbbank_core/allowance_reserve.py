"""A small part of each allowance that entries spend without its owner.

While an allowance's owner is being replaced, an entry without a slice gets
none for some seconds. So that a caller with little traffic isn't refused
then, a hundredth of each allowance is not leased at all: every entry has an
equal part of it, as a bucket that holds one request. Entries may see
different numbers of entries for a while, so each counts twice as many as it
sees. An allowance too small for that has no reserve.
"""

import collections.abc
import math

from rhubarbbank_core import token_bucket

RESERVED_SHARE = 0.01
LEASED_SHARE = 1.0 - RESERVED_SHARE
MINUTE_S = 60.0
# Entries that each one counts for every entry that it sees.
DOUBT = 2


class AllowanceReserve:
    """This entry's part of the reserves.

    Attributes:
        rates_per_s: This entry's rate of each allowance, by key.
        buckets: What is saved up, by key; made when first used.
    """

    def __init__(self) -> None:
        self.rates_per_s: dict[str, float] = {}
        self.buckets: dict[str, token_bucket.TokenBucket] = {}

    def set_allowances(
        self,
        *,
        requests_per_minute: collections.abc.Mapping[str, float],
        entries: int,
    ) -> None:
        """Takes all allowances in force, by key, and the entries seen.

        A bucket of one request that brings n whole requests a minute lets n
        pass in any minute, so that only whole requests count.
        """
        self.rates_per_s = {}
        for key, allowance in requests_per_minute.items():
            share = allowance * RESERVED_SHARE / (DOUBT * max(1, entries))
            if share >= 1.0:
                self.rates_per_s[key] = math.floor(share) / MINUTE_S
        for key in self.buckets.keys() - self.rates_per_s.keys():
            del self.buckets[key]
        for key, bucket in self.buckets.items():
            bucket.rate_per_s = self.rates_per_s[key]

    def try_take(self, *, now: float, key: str) -> bool:
        """Takes one request from the reserve, if there is one."""
        rate_per_s = self.rates_per_s.get(key)
        if rate_per_s is None:
            return False
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = token_bucket.TokenBucket(rate_per_s=rate_per_s, burst=1.0)
            self.buckets[key] = bucket
        return bucket.try_take(now=now)
