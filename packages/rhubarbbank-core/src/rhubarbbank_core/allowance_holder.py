"""Spends slices of allowances, in each entry.

The holder asks for a slice when the first request for an allowance arrives,
renews it while requests come and gives it back when none do. A slice is used
until a term after its request was sent, by this process's own clock; nothing
that the network does can make it last longer. `allowance_outlast` prolongs
slices whose owner died while the store is down for everyone.
"""

import collections.abc
import dataclasses
import math
import random

from rhubarbbank_core import allowances
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous

# Demand is averaged over some arrivals, but not over too long a time.
DEMAND_ARRIVALS = 10.0
MIN_DEMAND_MEMORY_S = 0.5
MAX_DEMAND_MEMORY_S = 2.0
# Who waits without a rate asks for single requests so often.
SINGLE_ASK_S = 0.1
SLOW_RATE_PER_S = 2.0
CHANGE_DEVIATIONS = 3.0
FIRST_ANSWER_S = 0.02
WAITING_S = 0.5
MIN_ELAPSED_S = 0.001
MAX_SENT_IDS = 16
OWNER_CANDIDATES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may run within its allowance.

    Attributes:
        admitted: It may; its cost is taken.
        retry_after_s: If not, when to try again, in seconds.
        sends: Messages to send in either case.
    """

    admitted: bool
    retry_after_s: float
    sends: list[effects.Send]


@dataclasses.dataclass(slots=True)
class HeldSlice:
    """The state of one allowance at a holder; times are in seconds.

    Attributes:
        rate_per_s: The rate of the slice in use.
        burst: Its burst, in requests.
        tokens: Requests saved up.
        ends_at: When it lapses.
        filled_at: Until when `tokens` is counted.
        applied_id: The request whose grant is in use.
        sent_at: When the newest requests were sent, by id.
        arrivals: Cost that arrived since the last request for a slice.
        demand_per_s: Smoothed arrivals.
        asked_at: When the last request for a slice was sent.
        ask_at: When the next one is due.
        arrived_at: When the last request arrived.
        refused_at: When a request was last refused here.
        refusals: Candidates that refused in a row.
        target: Who was asked last; grants of others come too late.
        granted_by: Who granted the slice in use.
        granted_at: When that arrived.
        unanswered_since: When the first request was sent that no grant has
            followed; None after a grant.
        asked_for_at: When the request was sent that it answers.
        is_scarce: More was asked for then than the allowance brings.
        told: The last refusal by an owner that has to wait.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    ends_at: float = 0.0
    filled_at: float = 0.0
    applied_id: int = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    arrivals: float = 0.0
    demand_per_s: float = 0.0
    asked_at: float | None = None
    ask_at: float = 0.0
    arrived_at: float = 0.0
    refused_at: float = float("-inf")
    refusals: int = 0
    target: str = ""
    granted_by: str = ""
    granted_at: float = float("-inf")
    unanswered_since: float | None = None
    asked_for_at: float = float("-inf")
    is_scarce: bool = False
    told: allowances.SliceRefusal | None = None

    def refill(self, *, now: float) -> None:
        """Adds what the slice has brought until `now` or its end."""
        until = min(now, self.ends_at)
        accrued = max(0.0, until - self.filled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + accrued)
        self.filled_at = max(self.filled_at, until)
        if now >= self.ends_at:
            self.drop()

    def drop(self) -> None:
        """Stops using the slice."""
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.tokens = 0.0

    def is_spent(self) -> bool:
        """Returns whether the slice brings no request any more."""
        return self.burst > 0.0 and self.rate_per_s <= 0.0 and self.tokens < 1.0


class AllowanceHolder:
    """Admits requests within the slices that it holds."""

    def __init__(
        self,
        *,
        address: str,
        shards: int,
        rng: random.Random,
        terms: allowances.SliceTerms | None = None,
    ) -> None:
        self.address = address
        self.shards = shards
        self.rng = rng
        self.terms = terms or allowances.SliceTerms()
        self.live: frozenset[str] = frozenset()
        self.owners: dict[int, str] = {}
        self.held: dict[str, HeldSlice] = {}
        # Owners ignore lower ids than they know, so each run starts higher
        # than it could have come to by counting.
        self.last_id = rng.getrandbits(52)

    def set_live(self, *, names: collections.abc.Iterable[str]) -> None:
        """Takes the live entries' peer addresses."""
        self.live = frozenset(names)

    def try_take(
        self,
        *,
        now: float,
        key: str,
        cost: float = 1.0,
        is_retry: bool = False,
    ) -> Admission:
        """Takes `cost` requests of an allowance if the slice has them.

        Args:
            now: The time in seconds.
            key: The allowance key.
            cost: How many requests it counts for.
            is_retry: The request waited here after a refusal; it is not
                counted as demand again.
        """
        held = self.held.setdefault(key, HeldSlice())
        if not is_retry:
            held.arrivals += cost
        held.arrived_at = now
        held.refill(now=now)
        admitted = held.tokens >= cost
        sends: list[effects.Send] = []
        if admitted:
            held.tokens -= cost
            if held.is_spent():
                held.drop()
                sends.append(self.tell_spent(key, held))
        else:
            held.refused_at = now
            self.hurry(now, held)
        if self.is_due(now, held):
            sends += self.ask(now, key, held)
        wait_s = 0.0 if admitted else self.retry_after(now, held, cost)
        return Admission(admitted, wait_s, sends)

    def tell_spent(self, key: str, held: HeldSlice) -> effects.Send:
        """Returns the word that frees a slice's burst for other holders.

        Without it a single request counts for a whole term at the owner, and
        a few dozen of them are all that an allowance's burst has room for.
        """
        spent = allowances.SliceApplied(
            request_id=held.applied_id + 1,
            reply_to=self.address,
            key=key,
            returned_tokens=0.0,
        )
        return effects.Send(held.granted_by, spent)

    def is_answered(self, *, now: float, key: str, within_s: float) -> bool:
        """Returns whether the allowance's owner granted anything lately."""
        held = self.held.get(key)
        return held is not None and now - held.granted_at <= within_s

    def unanswered_since(self, *, key: str) -> float | None:
        """Returns since when requests for slices have brought no grant."""
        held = self.held.get(key)
        return held.unanswered_since if held else None

    def draw_retry(self, mean_s: float) -> float:
        """Returns when a caller had better come back, spread by jitter."""
        return mean_s * self.rng.uniform(0.5, 1.5)

    def hurry(self, now: float, held: HeldSlice) -> None:
        """Asks soon while a request waits and the rate is low or none."""
        if held.rate_per_s < SLOW_RATE_PER_S and held.asked_at is not None:
            soon = held.asked_at + SINGLE_ASK_S * self.rng.uniform(0.75, 1.25)
            held.ask_at = min(held.ask_at, max(now, soon))

    def is_due(self, now: float, held: HeldSlice) -> bool:
        """Returns whether to ask: it is time, or the demand has changed."""
        if now >= held.ask_at or held.asked_at is None:
            return now >= held.ask_at
        elapsed_s = now - held.asked_at
        if elapsed_s < SINGLE_ASK_S:
            return False
        expected = held.demand_per_s * elapsed_s
        deviation = math.sqrt(expected + 1.0)
        return abs(held.arrivals - expected) > CHANGE_DEVIATIONS * deviation

    def retry_after(self, now: float, held: HeldSlice, cost: float) -> float:
        """Returns when the slice may have enough, in seconds."""
        if held.rate_per_s <= 0.0 or cost > held.burst:
            return max(0.0, held.ask_at - now) + FIRST_ANSWER_S
        return max((cost - held.tokens) / held.rate_per_s, MIN_ELAPSED_S)

    def tick(self, *, now: float) -> list[effects.Send]:
        """Renews slices in use and gives idle ones back."""
        out: list[effects.Send] = []
        for key, held in list(self.held.items()):
            if now - held.arrived_at >= self.terms.idle_s:
                del self.held[key]
                held.refill(now=now)
                if held.burst > 0.0:
                    out.extend(self.send(now, key, held, demand_per_s=0.0))
                held.drop()
            elif self.needs_slice(held) and self.is_due(now, held):
                out.extend(self.ask(now, key, held))
        return out

    def needs_slice(self, held: HeldSlice) -> bool:
        """Returns whether there is a slice to renew, or a request for one.

        A holder that was handed single requests asks again with the next.
        """
        return held.burst > 0.0 or held.arrivals > 0.0

    def ask(self, now: float, key: str, held: HeldSlice) -> list[effects.Send]:
        """Asks for a slice that fits the demand."""
        held.refill(now=now)
        elapsed_s = self.terms.renew_s
        if held.asked_at is not None:
            elapsed_s = max(now - held.asked_at, MIN_ELAPSED_S)
        measured = held.arrivals / elapsed_s
        weight = 1.0 - math.exp(-elapsed_s / memory_s(held, measured))
        held.demand_per_s += weight * (measured - held.demand_per_s)
        held.arrivals = 0.0
        held.asked_at = now
        held.ask_at = now + self.terms.renew_s * self.rng.uniform(0.75, 1.25)
        # One request came within `idle_s`, or the slice were given back.
        demand_per_s = max(held.demand_per_s, 1.0 / self.terms.idle_s)
        return self.send(now, key, held, demand_per_s=demand_per_s)

    def send(
        self, now: float, key: str, held: HeldSlice, *, demand_per_s: float
    ) -> list[effects.Send]:
        """Sends a request to the likeliest owner."""
        target = self.target_of(key, held)
        if target is None:
            return []
        held.target = target
        told = held.told if held.told and held.told.sender == target else None
        self.last_id += 1
        held.sent_at[self.last_id] = now
        if held.unanswered_since is None:
            held.unanswered_since = now
        while len(held.sent_at) > MAX_SENT_IDS:
            del held.sent_at[next(iter(held.sent_at))]
        request = allowances.SliceRequest(
            request_id=self.last_id,
            reply_to=self.address,
            key=key,
            demand_per_s=demand_per_s,
            # An owner must not take a slice of another for one of its own.
            applied_id=held.applied_id if held.granted_by == target else 0,
            held_rate_per_s=held.rate_per_s,
            held_burst=held.burst,
            held_left_s=max(0.0, held.ends_at - now),
            held_tokens=held.tokens,
            is_waiting=now - held.refused_at <= WAITING_S,
            fence=told.fence if told else 0,
            told_at=told.told_at if told else 0.0,
        )
        return [effects.Send(target, request)]

    def target_of(self, key: str, held: HeldSlice) -> str | None:
        """Returns the known owner, or the next candidate by rank."""
        shard = ledger_records.shard_of(key, self.shards)
        owner = self.owners.get(shard)
        if owner in self.live:
            return owner
        subject = ledger_records.shard_subject(shard)
        ranked = rendezvous.rank(subject, self.live)[:OWNER_CANDIDATES]
        if not ranked:
            return None
        return ranked[held.refusals % len(ranked)]

    def grant(
        self, *, now: float, grant: allowances.SliceGrant
    ) -> list[effects.Send]:
        """Takes a slice in place of the former one.

        Returns:
            A word to the owner if the former one was larger.
        """
        held = self.held.get(grant.key)
        if held is None or grant.request_id <= held.applied_id:
            return []
        # Another owner was asked since, and told what is in use now.
        if grant.owner != held.target:
            return []
        sent_at = held.sent_at.get(grant.request_id)
        if sent_at is None:
            return []
        shard = ledger_records.shard_of(grant.key, self.shards)
        self.owners[shard] = grant.owner
        held.refusals = 0
        held.refill(now=now)
        is_smaller = (
            grant.rate_per_s < held.rate_per_s or grant.burst < held.burst
        )
        held.applied_id = grant.request_id
        held.granted_by = grant.owner
        held.granted_at = now
        held.unanswered_since = None
        held.asked_for_at = sent_at
        held.is_scarce = grant.is_scarce
        held.rate_per_s = grant.rate_per_s
        held.burst = grant.burst
        returned_tokens = max(0.0, held.tokens - grant.burst)
        held.tokens = min(held.tokens + grant.tokens, grant.burst)
        held.ends_at = sent_at + self.terms.term_s
        held.filled_at = now
        held.refill(now=now)
        if not is_smaller:
            return []
        applied = allowances.SliceApplied(
            request_id=grant.request_id,
            reply_to=self.address,
            key=grant.key,
            returned_tokens=returned_tokens,
        )
        return [effects.Send(grant.owner, applied)]

    def refusal(
        self, *, now: float, refusal: allowances.SliceRefusal
    ) -> list[effects.Send]:
        """Turns to the next candidate when the refuser is not the owner.

        Returns:
            A new request to an owner that has to wait, once: it may prolong
            a slice when it can tell how long the slice lasts.
        """
        held = self.held.get(refusal.key)
        if held is None or refusal.sender != held.target:
            return []
        if refusal.is_owner:
            is_told = held.told is not None and (
                held.told.sender == refusal.sender
                and held.told.fence == refusal.fence
            )
            held.told = refusal
            return [] if is_told else self.ask(now, refusal.key, held)
        shard = ledger_records.shard_of(refusal.key, self.shards)
        if self.owners.get(shard) == refusal.sender:
            del self.owners[shard]
        held.refusals += 1
        soon = now + SINGLE_ASK_S * self.rng.uniform(0.75, 1.25)
        held.ask_at = min(held.ask_at, soon)
        return []


def memory_s(held: HeldSlice, measured_per_s: float) -> float:
    """Returns over how long a time to average the demand."""
    demand_per_s = max(held.demand_per_s, measured_per_s, 1.0)
    return min(
        MAX_DEMAND_MEMORY_S,
        max(MIN_DEMAND_MEMORY_S, DEMAND_ARRIVALS / demand_per_s),
    )
