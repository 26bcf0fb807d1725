"""Leases slices of allowances, at the owner of their ledger shards.

A holder's slice is counted until the holder can't be using it any more: until
its term and a margin have passed since the grant, or until the holder says
that it uses a later one. What is not counted is free; each request is granted
the holder's share of the demand, as far as that is free. A holder whose share
would not bring one request within a term gets single requests instead, from
the rate that is not leased.
"""

import collections.abc
import dataclasses

from rhubarbbank_core import allowance_book
from rhubarbbank_core import allowance_bounds
from rhubarbbank_core import allowance_deputy
from rhubarbbank_core import allowances
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_takeover

SPARE_BURST_SHARE = 0.5
RESERVED_SINGLES = 2.0
# Of a scarce allowance, holders with a lower share take single requests:
# what one saves up and does not use would be lost to the others.
MIN_SCARCE_REQUESTS = 2.0
# Of an ample allowance not all is leased: the rest gathers for newcomers.
AMPLE_SHARE = 0.75
# With more holders than this share of the bursts, each of which takes one with
# its slice, there would soon be none left for the others.
CROWDED_SHARE = 0.75
MAX_REPORTED_SLICES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """How and when this process came to own a shard.

    Attributes:
        since: When the take-over was known to have succeeded, in seconds.
        origin: How the former ownership ended.
        fence: The fencing number of this ownership.
    """

    since: float
    origin: ledger_takeover.ShardOrigin
    fence: int


class AllowanceOwner:
    """Grants slices for the allowances of the shards that it owns.

    Guarantee: the rates and the bursts of the slices in use never add up to
    more than the allowance's budget, over owners that follow one another.
    Assumptions: clocks drift apart less than `margin_s` in a term, and the
    caller stops confirming a shard `confirmation_s` after another owner took
    it, a confirmed outage included.
    """

    def __init__(
        self,
        *,
        name: str,
        shards: int,
        terms: allowances.SliceTerms | None = None,
        deputies: allowance_deputy.DeputyBooks | None = None,
    ) -> None:
        self.name = name
        self.shards = shards
        self.terms = terms or allowances.SliceTerms()
        self.budgets: dict[str, allowances.Budget] = {}
        self.tenures: dict[int, Tenure] = {}
        self.books: dict[str, allowance_book.LeaseBook] = {}
        self.deputies = deputies or allowance_deputy.DeputyBooks(
            address=name, incarnation=0
        )

    def set_allowances(
        self, *, requests_per_minute: collections.abc.Mapping[str, float]
    ) -> None:
        """Takes all allowances in force, by key.

        A lower allowance holds once the slices granted before are over.
        """
        self.budgets = {
            key: allowances.budget_of(value)
            for key, value in requests_per_minute.items()
        }
        # What is leased of an allowance counts when it is in force again.
        self.books = {
            key: book
            for key, book in self.books.items()
            if key in self.budgets or book.holders
        }

    def take_shard(
        self,
        *,
        now: float,
        shard: int,
        origin: ledger_takeover.ShardOrigin,
        fence: int = 0,
        leases: ledger_leases.LeaseReport | None = None,
        bounds: tuple[deputy_messages.LeaseBound, ...] | None = None,
    ) -> None:
        """Starts to own a shard; call it right after the take-over.

        With a whole report of the former owner's slices nothing is left to
        wait for, as with a new shard. With one that is not whole, another
        owner before that may still have granted slices. With bounds of all
        that the former owner may have granted, as its deputy has them,
        nothing is left to wait for either.
        """
        self.drop_shard(shard=shard)
        if origin == ledger_takeover.ShardOrigin.RELEASED and leases:
            origin = ledger_takeover.ShardOrigin.SEIZED
            if leases.is_whole:
                origin = ledger_takeover.ShardOrigin.NEW
                self.inherit(leases, now)
        elif origin == ledger_takeover.ShardOrigin.SEIZED and (
            bounds is not None
        ):
            origin = ledger_takeover.ShardOrigin.NEW
            self.inherit_bounds(bounds, now)
        self.tenures[shard] = Tenure(now, origin, fence)

    def inherit(self, leases: ledger_leases.LeaseReport, now: float) -> None:
        """Counts the slices of a former owner."""
        for row in leases.slices:
            book = self.books.setdefault(row.key, allowance_book.LeaseBook(now))
            holder = book.holders.setdefault(
                row.holder, allowance_book.HolderState()
            )
            holder.slices.append(
                allowance_book.LiveSlice(
                    row.request_id,
                    row.rate_per_s,
                    row.burst,
                    now + row.left_s,
                    row.is_firm,
                )
            )

    def inherit_bounds(
        self, bounds: tuple[deputy_messages.LeaseBound, ...], now: float
    ) -> None:
        """Counts what a seized shard's owner may still be granting.

        It goes on for `confirmation_s` at most, within these bounds.
        """
        left_s = self.terms.confirmation_s
        left_s += self.terms.term_s + self.terms.margin_s
        rows = allowance_bounds.slices_within(bounds, left_s=left_s)
        self.inherit(ledger_leases.LeaseReport(rows, True), now)

    def learn(self, *, now: float, found: deputy_messages.DeputyBounds) -> None:
        """Takes what another deputy knows, and ends the wait.

        What was prolonged meanwhile is within these bounds and counts on.
        """
        shard = found.shard
        tenure = self.tenures.get(shard)
        if tenure is None or not self.deputies.is_asked(found):
            return
        if tenure.fence != found.fence or self.is_whole(now=now, shard=shard):
            return
        origin = ledger_takeover.ShardOrigin.NEW
        self.tenures[shard] = Tenure(now, origin, tenure.fence)
        for book in self.books_of(shard).values():
            book.counted_at = now
        self.inherit_bounds(found.bounds, now)

    def is_whole(self, *, now: float, shard: int) -> bool:
        """Returns whether all slices of a shard are known here."""
        tenure = self.tenures.get(shard)
        return tenure is not None and now >= self.waits_until(tenure)

    def books_of(self, shard: int) -> dict[str, allowance_book.LeaseBook]:
        """Returns the books of a shard's allowances, by key."""
        return {
            key: book
            for key, book in self.books.items()
            if ledger_records.shard_of(key, self.shards) == shard
        }

    def report(
        self, *, now: float, shard: int
    ) -> ledger_leases.LeaseReport | None:
        """Returns the slices of a shard, for the next owner."""
        rows = allowance_bounds.slices_of(self.books_of(shard), now=now)
        is_whole = (
            self.is_whole(now=now, shard=shard)
            and len(rows) <= MAX_REPORTED_SLICES
        )
        return ledger_leases.LeaseReport(rows if is_whole else (), is_whole)

    def follow(self, *, ledger: ledger_owner.LedgerOwner) -> None:
        """Owns the shards that the process's ledger owner owns now.

        Call it after each event of the ledger owner.
        """
        for shard in [s for s in self.tenures if s not in ledger.owned]:
            self.drop_shard(shard=shard)
        for shard, owned in ledger.owned.items():
            tenure = self.tenures.get(shard)
            if tenure is None or tenure.fence != owned.fence:
                self.take_shard(
                    now=owned.owned_since,
                    shard=shard,
                    origin=owned.origin,
                    fence=owned.fence,
                    leases=owned.leases,
                    bounds=self.deputies.close(
                        shard=shard, fence=owned.fence, former=owned.former
                    ),
                )

    def drop_shard(self, *, shard: int) -> None:
        """Stops owning a shard and forgets its slices."""
        self.tenures.pop(shard, None)
        for key in self.books_of(shard):
            del self.books[key]

    def request(
        self,
        *,
        now: float,
        request: allowances.SliceRequest,
        is_confirmed: bool,
    ) -> list[effects.CoordinationEffect]:
        """Takes a holder's request.

        Args:
            now: The time in seconds.
            request: The request.
            is_confirmed: The ownership of the key's shard was confirmed
                within `confirmation_s`, or the store is down for everyone.

        Returns:
            The answer; nothing for a request older than another.
        """
        key = request.key
        shard = ledger_records.shard_of(key, self.shards)
        tenure = self.tenures.get(shard)
        if tenure is None or not is_confirmed or key not in self.budgets:
            return [self.refuse(request, None, now)]
        budget = self.budgets[key]
        book = self.books.setdefault(
            key, allowance_book.LeaseBook(self.waits_until(tenure))
        )
        book.gather(budget, now=now)
        self.forget_lapsed(book.holders, now)
        holder = book.holders.setdefault(
            request.reply_to, allowance_book.HolderState()
        )
        if request.request_id <= holder.last_id:
            return []
        self.note_request(holder, request, now)
        if request.demand_per_s <= 0.0:
            counted_burst = holder.burst()
            holder.slices = [item for item in holder.slices if item.is_firm]
            freed_burst = counted_burst - holder.burst()
            book.tokens += min(request.held_tokens, freed_burst)
            if not holder.slices:
                del book.holders[request.reply_to]
            book.cap(budget)
            return []
        book.cap(budget)
        scarce = is_scarce(book, budget)
        if now >= self.waits_until(tenure):
            share = self.share_of(request, book, budget, now, scarce=scarce)
        elif self.may_prolong(request, holder, tenure):
            share = allowance_book.prolong(request, book, budget)
        else:
            share = allowance_book.NO_SHARE
        if share == allowance_book.NO_SHARE and now < self.waits_until(tenure):
            return [self.refuse(request, tenure, now)]
        return [self.grant(holder, request, share, now, scarce=scarce)]

    def applied(
        self, *, now: float, applied: allowances.SliceApplied
    ) -> list[effects.CoordinationEffect]:
        """Frees what a holder no longer uses."""
        book = self.books.get(applied.key)
        holder = book and book.holders.get(applied.reply_to)
        budget = self.budgets.get(applied.key)
        if book and holder and budget:
            book.gather(budget, now=now)
            counted_burst = holder.burst()
            holder.slices = [
                item
                for item in holder.slices
                if item.is_firm or item.request_id >= applied.request_id
            ]
            # A word that comes twice frees nothing and brings nothing.
            freed_burst = counted_burst - holder.burst()
            book.tokens += min(applied.returned_tokens, freed_burst)
            book.cap(budget)
        return []

    def may_prolong(
        self,
        request: allowances.SliceRequest,
        holder: allowance_book.HolderState,
        tenure: Tenure,
    ) -> bool:
        """Returns whether a slice may be prolonged before the wait is over.

        One of a former owner may if that owner counts it until it has
        stopped granting, `confirmation_s` after the take-over: then nobody
        else got its rate. The holder said how long the slice lasts after it
        was told this owner's time, however long the request took.
        """
        if tenure.origin == ledger_takeover.ShardOrigin.RELEASED:
            return True
        if any(item.request_id == request.applied_id for item in holder.slices):
            return True
        if request.fence != tenure.fence or request.told_at < tenure.since:
            return False
        stops_at = tenure.since + self.terms.confirmation_s
        return request.told_at + request.held_left_s >= stops_at

    def refuse(
        self,
        request: allowances.SliceRequest,
        tenure: Tenure | None,
        now: float,
    ) -> effects.Send:
        """Returns a refusal; without a tenure, others may be the owner."""
        return effects.Send(
            request.reply_to,
            allowances.SliceRefusal(
                request_id=request.request_id,
                key=request.key,
                sender=self.name,
                is_owner=tenure is not None,
                fence=tenure.fence if tenure else 0,
                told_at=now,
            ),
        )

    def forget_lapsed(
        self, holders: dict[str, allowance_book.HolderState], now: float
    ) -> None:
        """Drops slices that are over, and holders that fell silent."""
        silent_at = now - self.terms.term_s - self.terms.margin_s
        for address, holder in list(holders.items()):
            holder.slices = [
                item for item in holder.slices if item.ends_at > now
            ]
            if not holder.slices and holder.seen_at < silent_at:
                del holders[address]

    def note_request(
        self,
        holder: allowance_book.HolderState,
        request: allowances.SliceRequest,
        now: float,
    ) -> None:
        """Notes the demand, and which slices the holder has replaced."""
        holder.last_id = request.request_id
        holder.seen_at = now
        holder.demand_per_s = request.demand_per_s
        holder.slices = [
            item
            for item in holder.slices
            if item.is_firm
            or item.request_id > request.applied_id
            or (item.request_id == request.applied_id and request.held_burst)
        ]

    def waits_until(self, tenure: Tenure) -> float:
        """Returns when the slices of former owners are over."""
        if tenure.origin == ledger_takeover.ShardOrigin.NEW:
            return tenure.since
        wait_s = self.terms.term_s + self.terms.margin_s
        if tenure.origin == ledger_takeover.ShardOrigin.SEIZED:
            wait_s += self.terms.confirmation_s
        return tenure.since + wait_s

    def share_of(
        self,
        request: allowances.SliceRequest,
        book: allowance_book.LeaseBook,
        budget: allowances.Budget,
        now: float,
        *,
        scarce: bool,
    ) -> allowance_book.Share:
        """Returns what the holder gets of the allowance."""
        free = allowance_book.free_for(request.reply_to, book, budget)
        if free.burst < 1.0:
            return allowance_book.NO_SHARE
        wanting = self.choose_served(budget, book.holders, now)
        if request.reply_to not in wanting:
            return allowance_book.take_single(request, book)
        total = sum(book.holders[name].demand_per_s for name in wanting)
        fraction = request.demand_per_s / total
        rate_per_s = budget.rate_per_s * fraction
        if not scarce:
            rate_per_s *= AMPLE_SHARE
        least_per_s = 1.0 / self.terms.term_s
        if scarce or len(wanting) > CROWDED_SHARE * budget.burst:
            least_per_s = MIN_SCARCE_REQUESTS / self.terms.renew_s
        if rate_per_s < least_per_s:
            return allowance_book.take_single(request, book)
        spare = max(0.0, budget.burst - len(wanting))
        burst = 1.0 + SPARE_BURST_SHARE * spare * fraction
        rate_per_s = min(rate_per_s, free.rate_per_s)
        if rate_per_s * self.terms.term_s < 1.0:
            return allowance_book.take_single(request, book)
        burst = min(burst, free.burst)
        # What gathered beyond some single requests would soon be lost.
        reserved = 0.0 if request.is_waiting else RESERVED_SINGLES
        tokens = min(burst, max(0.0, book.tokens - reserved))
        book.tokens -= tokens
        return allowance_book.Share(rate_per_s, burst, tokens)

    def choose_served(
        self,
        budget: allowances.Budget,
        holders: dict[str, allowance_book.HolderState],
        now: float,
    ) -> list[str]:
        """Returns the holders that get a share.

        A small allowance can't serve all at once: those who were served
        least recently come first, and whoever is served stays for a term.
        The order is always the same, since sums of their demands are
        rounded by it.
        """
        bound = max(1, budget.max_holders())
        wanting = sorted(
            (
                address
                for address, holder in holders.items()
                if holder.demand_per_s > 0.0
            ),
            key=lambda address: (
                now - holders[address].served_at > self.terms.term_s,
                holders[address].served_at,
                address,
            ),
        )
        return wanting[:bound]

    def grant(
        self,
        holder: allowance_book.HolderState,
        request: allowances.SliceRequest,
        share: allowance_book.Share,
        now: float,
        *,
        scarce: bool,
    ) -> effects.Send:
        """Counts the new slice and returns the grant."""
        if share.burst > 0.0 and not holder.slices:
            holder.served_at = now
        if share.burst > 0.0:
            holder.slices.append(
                allowance_book.LiveSlice(
                    request.request_id,
                    share.rate_per_s,
                    share.burst,
                    now + self.terms.term_s + self.terms.margin_s,
                )
            )
        return effects.Send(
            request.reply_to,
            allowances.SliceGrant(
                request_id=request.request_id,
                key=request.key,
                rate_per_s=share.rate_per_s,
                burst=share.burst,
                tokens=share.tokens,
                owner=self.name,
                is_scarce=scarce,
            ),
        )


def is_scarce(
    book: allowance_book.LeaseBook, budget: allowances.Budget
) -> bool:
    """Returns whether the holders ask for more than there is."""
    demand_per_s = sum(item.demand_per_s for item in book.holders.values())
    return demand_per_s > budget.rate_per_s
