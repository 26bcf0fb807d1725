"""Allowances: what the owner of an allowance and its holders say and share.

An allowance is a number of requests a minute for (organisation, model,
version). The owner of its ledger shard leases slices of it to entries. A
slice is a rate and a burst; of an allowance of A requests a minute, B are
kept for bursts and the rest is leased as rates that add up to (A - B) / 60 a
second at most. What is not leased gathers at the owner, which hands it out as
single requests to entries with little traffic. Requests saved up anywhere
add up to B at most, so that no window of a minute ever sees more than A.
"""

import dataclasses
import math

from rhubarbbank_core import effects
from rhubarbbank_core import token_bucket

MINUTE_S = 60.0
BURST_FRACTION = 0.03
SMALL_BURST_REQUESTS = 4.0
SMALL_BURST_FRACTION = 0.25


def allowance_key(organisation: str, model: str, version: str) -> str:
    """Returns the key whose ledger shard owns an allowance."""
    return f"allowance/{organisation}/{model}/{version}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SliceTerms:
    """Times of slices in seconds, the same in all processes.

    Attributes:
        term_s: How long a slice lasts, by the holder's own clock, from when
            it sent the request.
        margin_s: How much longer the owner counts it, from when it granted
            it. It must exceed what two clocks drift apart in a term.
        renew_s: Mean time between a holder's requests.
        idle_s: After so long without a request the slice is given back.
        confirmation_s: An owner grants only if its shard was confirmed so
            recently, or the store is down for everyone. A new owner adds it
            to its wait unless the former one released the shard.
    """

    term_s: float = 3.0
    margin_s: float = 0.25
    renew_s: float = 0.75
    idle_s: float = 4.0
    confirmation_s: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What may be leased of an allowance.

    Attributes:
        rate_per_s: Bound on the sum of the rates.
        burst: Bound on the sum of the bursts, in requests.
    """

    rate_per_s: float
    burst: float

    def max_holders(self) -> int:
        """Returns how many holders can have a burst of one request."""
        return math.floor(self.burst)


def budget_of(requests_per_minute: float) -> Budget:
    """Splits an allowance into rates and bursts.

    Small allowances give up more to bursts, since a holder can't send part
    of a request; below four requests a minute one holder has it all.
    """
    small = min(
        SMALL_BURST_REQUESTS, requests_per_minute * SMALL_BURST_FRACTION
    )
    burst = max(small, requests_per_minute * BURST_FRACTION, 1.0)
    burst = min(burst, requests_per_minute)
    return Budget((requests_per_minute - burst) / MINUTE_S, burst)


class SliceRequest(effects.Message, frozen=True, array_like=True, tag="ar"):
    """Asks for a slice, renews one or gives it back.

    Attributes:
        request_id: Grows with each request of a holder.
        reply_to: The holder's peer address.
        key: The allowance key.
        demand_per_s: Requests a second that arrive at the holder; zero gives
            the slice back, which the holder no longer uses.
        applied_id: The request whose grant the holder uses now; 0 if none,
            or if another owner granted it.
        held_rate_per_s: The rate of the slice in use; 0 if it lapsed.
        held_burst: Its burst; 0 if it has nothing to bring.
        held_left_s: How long that slice still lasts.
        held_tokens: Requests that the holder could send at once, or that it
            gives back.
        is_waiting: A request was refused here a moment ago.
        fence: Of the last refusal by the owner asked; 0 if none.
        told_at: The time that this refusal gave.
    """

    request_id: int
    reply_to: str
    key: str
    demand_per_s: float
    applied_id: int
    held_rate_per_s: float
    held_burst: float
    held_left_s: float
    held_tokens: float
    is_waiting: bool
    fence: int
    told_at: float


class SliceGrant(effects.Message, frozen=True, array_like=True, tag="ag"):
    """Grants a slice in place of the holder's former one.

    Attributes:
        request_id: The request that this answers.
        key: The allowance key.
        rate_per_s: The slice's rate; zero if nothing is free.
        burst: Requests that may be saved up.
        tokens: Requests that may be sent at once, within the burst.
        owner: The owner's peer address.
        is_scarce: More is asked for than the allowance brings.
    """

    request_id: int
    key: str
    rate_per_s: float
    burst: float
    tokens: float
    owner: str
    is_scarce: bool


class SliceApplied(effects.Message, frozen=True, array_like=True, tag="aa"):
    """Says that the holder no longer uses a slice, or a smaller one instead.

    Attributes:
        request_id: The first request whose grant may be in use.
        reply_to: The holder's peer address.
        key: The allowance key.
        returned_tokens: Requests saved up that the smaller slice can't hold.
    """

    request_id: int
    reply_to: str
    key: str
    returned_tokens: float


class SliceRefusal(effects.Message, frozen=True, array_like=True, tag="ax"):
    """Says that the receiver can't grant slices of the allowance now.

    Attributes:
        request_id: The request that this answers.
        key: The allowance key.
        sender: The peer address of who refuses.
        is_owner: It owns the shard but has to wait; asking others is no use.
        fence: The owner's fencing number for the shard; 0 if not the owner.
        told_at: The owner's time. A request that tells it again was sent
            later than that.
    """

    request_id: int
    key: str
    sender: str
    is_owner: bool
    fence: int
    told_at: float


class FixedShare:
    """The plain alternative: every entry has the same fixed share.

    It needs no messages and never exceeds the allowance, but what one entry
    does not use is lost to the others.
    """

    def __init__(self, *, requests_per_minute: float, entries: int) -> None:
        budget = budget_of(requests_per_minute)
        self.bucket = token_bucket.TokenBucket(
            rate_per_s=budget.rate_per_s / entries,
            burst=max(1.0, budget.burst / entries),
        )

    def try_take(self, *, now: float, cost: float = 1.0) -> bool:
        """Takes `cost` requests from the entry's share."""
        return self.bucket.try_take(now=now, cost=cost)
