"""Rate limits that upstreams name in their answers.

An upstream in need names how many requests a second it accepts from all entries
together, for as long as its answers say so.
"""

import collections
import dataclasses

from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes

# Hash of the upstream's id, and Unix time of its start in milliseconds.
LimitKey = tuple[name_hashes.NameHash, int]


def build_key(upstream_id: str, started_ms: int) -> LimitKey:
    """Returns the key of an incarnation of an upstream."""
    return name_hashes.hash_name(upstream_id), started_ms


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """The limit of one incarnation of an upstream.

    Attributes:
        rate_per_s: Requests a second from all entries; None once it has ended.
        heard_at: When an answer last confirmed it, in seconds.
    """

    rate_per_s: float | None
    heard_at: float


class UpstreamLimits:
    """The limits that are known, the most recently confirmed last.

    Attributes:
        limits: The limits, by upstream.
    """

    def __init__(self) -> None:
        self.limits: collections.OrderedDict[LimitKey, NamedLimit] = (
            collections.OrderedDict()
        )

    def is_limited(self, upstream_id: str, started_ms: int) -> bool:
        """Returns whether an upstream's latest answer named a limit."""
        known = self.limits.get(build_key(upstream_id, started_ms))
        return known is not None and known.rate_per_s is not None

    def record(
        self, key: LimitKey, rate_per_s: float | None, *, heard_at: float
    ) -> bool:
        """Records what an answer names; returns whether that is a change.

        Args:
            key: The upstream.
            rate_per_s: The limit; None if the answer names none.
            heard_at: When the answer arrived, in seconds.
        """
        known = self.limits.get(key)
        previous = None if known is None else known.rate_per_s
        if known is None and rate_per_s is None:
            return False
        self.limits[key] = NamedLimit(rate_per_s, heard_at)
        self.limits.move_to_end(key)
        while len(self.limits) > defaults.MAX_NOTICES:
            self.limits.popitem(last=False)
        return rate_per_s != previous
