"""Rate limits that upstreams name in their answers, divided among the entries.

An upstream in need names how many requests a second it accepts from all
entries together, for as long as its answers say so. Every attempt counts,
whatever its cause. The limit is divided among few entries: with shares of less
than a request a second, all entries might send one at the same time, which
exceeds the limit by their number. An entry without a share sends the upstream
nothing.
"""

import collections
import collections.abc
import dataclasses

from rhubarbbank_core import rendezvous
from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes

# Hash of the upstream's id, and Unix time of its start in milliseconds.
LimitKey = tuple[name_hashes.NameHash, int]


def build_key(upstream_id: str, started_ms: int) -> LimitKey:
    """Returns the key of an incarnation of an upstream."""
    return name_hashes.hash_name(upstream_id), started_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """The entries among which limits are divided.

    Attributes:
        name: This entry's name.
        data_centres: The data centre of each entry that may have a share, by
            name; empty if this entry may be cut off from most of the others,
            which then use its shares.
    """

    name: str
    data_centres: collections.abc.Mapping[str, str]


@dataclasses.dataclass(slots=True, kw_only=True)
class NamedLimit:
    """The limit of one incarnation of an upstream.

    Attributes:
        rate_per_s: Requests a second from all entries; None once it has ended.
        heard_at: When an answer last confirmed it, in seconds.
        heard_here: Whether that answer came to this entry.
        share_per_s: This entry's part of the rate.
        tokens: Requests that this entry may send now; it starts without any.
        refilled_at: When the tokens were last refilled, in seconds.
    """

    rate_per_s: float | None
    heard_at: float
    heard_here: bool
    share_per_s: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0

    def refill(self, *, now: float) -> None:
        """Adds the tokens accrued until `now`."""
        accrued = max(0.0, now - self.refilled_at) * self.share_per_s
        burst = max(1.0, defaults.LIMIT_BURST_S * self.share_per_s)
        self.tokens = min(burst, self.tokens + accrued)
        self.refilled_at = now

    def set_share(self, share_per_s: float, *, now: float) -> None:
        """Changes this entry's share; without one it loses its tokens."""
        self.refill(now=now)
        self.share_per_s = share_per_s
        if share_per_s <= 0.0:
            self.tokens = 0.0


class UpstreamLimits:
    """The limits that are known.

    Attributes:
        limits: The limits by upstream, the most recently changed last.
        next_slots: When the next refused request of a service may come back,
            in seconds, by service.
    """

    def __init__(self) -> None:
        self.limits: collections.OrderedDict[LimitKey, NamedLimit] = (
            collections.OrderedDict()
        )
        self.next_slots: dict[str, float] = {}

    def find(self, upstream_id: str, started_ms: int) -> NamedLimit | None:
        """Returns an upstream's limit; None if it has none."""
        if not self.limits:
            return None
        known = self.limits.get(build_key(upstream_id, started_ms))
        return None if known is None or known.rate_per_s is None else known

    def is_limited(self, upstream_id: str, started_ms: int) -> bool:
        """Returns whether an upstream's latest answer named a limit."""
        return self.find(upstream_id, started_ms) is not None

    def is_exhausted(
        self, upstream_id: str, started_ms: int, *, now: float
    ) -> bool:
        """Returns whether this entry may send an upstream nothing now."""
        known = self.find(upstream_id, started_ms)
        if known is None:
            return False
        known.refill(now=now)
        return known.tokens < 1.0

    def take(self, upstream_id: str, started_ms: int, *, now: float) -> None:
        """Records that an attempt is sent to an upstream."""
        known = self.find(upstream_id, started_ms)
        if known is not None:
            known.refill(now=now)
            known.tokens -= 1.0

    def record(
        self,
        key: LimitKey,
        rate_per_s: float | None,
        *,
        heard_at: float,
        heard_here: bool = True,
    ) -> bool:
        """Records what an answer names, unless a later one is known.

        Args:
            key: The upstream.
            rate_per_s: The limit; None if the answer names none.
            heard_at: When the answer arrived, in seconds.
            heard_here: Whether it came to this entry.

        Returns:
            Whether the limit is another one now.
        """
        known = self.limits.get(key)
        if known is None:
            if rate_per_s is None:
                return False
            known = NamedLimit(
                rate_per_s=None, heard_at=heard_at, heard_here=heard_here
            )
            self.limits[key] = known
            while len(self.limits) > defaults.MAX_NOTICES:
                self.limits.popitem(last=False)
        elif heard_at <= known.heard_at:
            return False
        known.heard_at = heard_at
        known.heard_here = heard_here
        if known.rate_per_s == rate_per_s:
            return False
        known.rate_per_s = rate_per_s
        self.limits.move_to_end(key)
        return True

    def update_shares(
        self,
        membership: Membership,
        data_centres: collections.abc.Mapping[LimitKey, str],
        *,
        now: float,
    ) -> None:
        """Divides the limits among the entries anew.

        Args:
            membership: The entries.
            data_centres: The data centres of the listed upstreams.
            now: In seconds.
        """
        for key, known in self.limits.items():
            share_per_s = 0.0
            if known.rate_per_s is not None:
                share_per_s = compute_share_per_s(
                    membership,
                    key,
                    data_centre=data_centres.get(key, ""),
                    rate_per_s=known.rate_per_s,
                )
            known.set_share(share_per_s, now=now)

    def remove_expired(
        self, listed: collections.abc.Container[LimitKey], *, now: float
    ) -> None:
        """Removes the limits of upstreams that are no longer listed."""
        expired = [
            key
            for key, known in self.limits.items()
            if key not in listed
            and now - known.heard_at > defaults.LIMIT_EXPIRY_S
        ]
        for key in expired:
            del self.limits[key]

    def reserve_slot(
        self, service: str, *, interval_s: float, now: float
    ) -> float:
        """Returns in how many seconds a refused request may come back.

        Successive requests get successive slots, so that those that come back
        don't exceed the limits again.
        """
        slot = max(now, self.next_slots.get(service, now)) + interval_s
        slot = min(slot, now + defaults.MAX_LIMIT_WAIT_S)
        self.next_slots[service] = slot
        return slot - now


def compute_share_per_s(
    membership: Membership,
    key: LimitKey,
    *,
    data_centre: str,
    rate_per_s: float,
) -> float:
    """Returns this entry's share of an upstream's limit, in requests a second.

    Each entry with a share has at least one request a second, or is the only
    one. Entries in the upstream's data centre come first.
    """
    candidates = membership.data_centres
    if membership.name not in candidates:
        return 0.0
    rate_per_s = max(rate_per_s, defaults.MIN_LIMIT_PER_S)
    count = max(1, min(len(candidates), int(rate_per_s)))
    ranked = rendezvous.rank(f"{key[0]}/{key[1]}", candidates)
    ranked.sort(key=lambda name: candidates[name] != data_centre)
    return rate_per_s / count if membership.name in ranked[:count] else 0.0
