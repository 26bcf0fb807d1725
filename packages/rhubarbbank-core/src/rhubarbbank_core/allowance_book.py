"""What is leased of one allowance, and what is left of it."""

import dataclasses

from rhubarbbank_core import allowances


@dataclasses.dataclass(frozen=True, slots=True)
class LiveSlice:
    """A slice that its holder may still use.

    Attributes:
        request_id: The request that it was granted for.
        rate_per_s: Its rate.
        burst: Its burst, in requests.
        ends_at: When it is over for certain, in the owner's time.
        is_firm: Counts until then whatever the holder says, since a former
            owner may still grant as much again.
    """

    request_id: int
    rate_per_s: float
    burst: float
    ends_at: float
    is_firm: bool = False


@dataclasses.dataclass(slots=True)
class HolderState:
    """What the owner knows of one holder of one allowance.

    Attributes:
        slices: Its slices, of which it uses one at a time.
        demand_per_s: What it last asked for.
        last_id: Its newest request.
        seen_at: When that came.
        served_at: When it last got a rate after having had none.
    """

    slices: list[LiveSlice] = dataclasses.field(default_factory=list)
    demand_per_s: float = 0.0
    last_id: int = 0
    seen_at: float = 0.0
    served_at: float = 0.0

    def rate_per_s(self) -> float:
        """Returns the highest rate that it may be using."""
        return max((item.rate_per_s for item in self.slices), default=0.0)

    def burst(self) -> float:
        """Returns the largest burst that it may have saved up."""
        return max((item.burst for item in self.slices), default=0.0)


@dataclasses.dataclass(slots=True)
class LeaseBook:
    """What is leased of one allowance.

    Attributes:
        holders: The holders by peer address.
        tokens: Requests gathered from the rate that was not leased.
        counted_at: Until when `tokens` is counted.
    """

    counted_at: float
    holders: dict[str, HolderState] = dataclasses.field(default_factory=dict)
    tokens: float = 0.0

    def rate_per_s(self) -> float:
        """Returns the sum of the rates that may be in use."""
        return sum(holder.rate_per_s() for holder in self.holders.values())

    def burst(self) -> float:
        """Returns the sum of the bursts that may be saved up."""
        return sum(holder.burst() for holder in self.holders.values())

    def gather(self, budget: allowances.Budget, *, now: float) -> None:
        """Adds what was not leased since the last call.

        The rates of slices that lapsed meanwhile still count in full.
        """
        elapsed_s = max(0.0, now - self.counted_at)
        free_per_s = max(0.0, budget.rate_per_s - self.rate_per_s())
        self.tokens += elapsed_s * free_per_s
        self.counted_at = max(self.counted_at, now)

    def cap(self, budget: allowances.Budget) -> None:
        """Limits what is gathered to the bursts that nobody has."""
        self.tokens = min(self.tokens, max(0.0, budget.burst - self.burst()))


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What one grant brings: see `allowances.SliceGrant`."""

    rate_per_s: float
    burst: float
    tokens: float


NO_SHARE = Share(0.0, 0.0, 0.0)


def free_for(
    address: str, book: LeaseBook, budget: allowances.Budget
) -> allowances.Budget:
    """Returns what the other holders and the gathered requests leave."""
    own = book.holders[address]
    others_per_s = book.rate_per_s() - own.rate_per_s()
    others_burst = book.burst() - own.burst()
    return allowances.Budget(
        budget.rate_per_s - others_per_s, budget.burst - others_burst
    )


def take_single(request: allowances.SliceRequest, book: LeaseBook) -> Share:
    """Returns one gathered request, the one not sent yet, or nothing."""
    if request.held_tokens >= 1.0:
        return Share(0.0, 1.0, 0.0)
    if book.tokens < 1.0 or not request.is_waiting:
        return NO_SHARE
    book.tokens -= 1.0
    return Share(0.0, 1.0, 1.0)


def prolong(
    request: allowances.SliceRequest,
    book: LeaseBook,
    budget: allowances.Budget,
) -> Share:
    """Returns what the holder has from the former owner.

    That owner has stopped granting: what its holders have adds up to the
    allowance at most, and may be prolonged.
    """
    free = free_for(request.reply_to, book, budget)
    rate_per_s = min(free.rate_per_s, request.held_rate_per_s)
    burst = min(free.burst, request.held_burst)
    if burst < 1.0 or rate_per_s <= 0.0:
        return NO_SHARE
    return Share(rate_per_s, burst, 0.0)
