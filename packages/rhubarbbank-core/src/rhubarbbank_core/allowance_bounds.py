"""What an owner of allowances tells others of the slices in its books."""

import collections.abc

from rhubarbbank_core import allowance_book
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import ledger_leases

Books = collections.abc.Mapping[str, allowance_book.LeaseBook]


def bound_of(
    books: Books, *, now: float, key: str, holder: str
) -> deputy_messages.LeaseBound:
    """Returns what a holder may be using at most."""
    book = books.get(key)
    state = book.holders.get(holder) if book else None
    live = [s for s in state.slices if s.ends_at > now] if state else []
    found = allowance_book.HolderState(live)
    return deputy_messages.LeaseBound(
        key, holder, found.rate_per_s(), found.burst()
    )


def bounds_of(
    books: Books, *, now: float
) -> tuple[deputy_messages.LeaseBound, ...]:
    """Returns what each holder may be using at most."""
    found = [
        bound_of(books, now=now, key=key, holder=holder)
        for key, book in books.items()
        for holder in book.holders
    ]
    return tuple(bound for bound in found if bound.burst > 0.0)


def slices_of(
    books: Books, *, now: float
) -> tuple[ledger_leases.LeasedSlice, ...]:
    """Returns the slices that may still be in use."""
    return tuple(
        ledger_leases.LeasedSlice(
            key=key,
            holder=address,
            request_id=item.request_id,
            rate_per_s=item.rate_per_s,
            burst=item.burst,
            left_s=item.ends_at - now,
            is_firm=item.is_firm,
        )
        for key, book in books.items()
        for address, holder in book.holders.items()
        for item in holder.slices
        if item.ends_at > now
    )


def slices_within(
    bounds: collections.abc.Iterable[deputy_messages.LeaseBound],
    *,
    left_s: float,
) -> tuple[ledger_leases.LeasedSlice, ...]:
    """Returns slices that count the bounds in full, whatever holders say."""
    return tuple(
        ledger_leases.LeasedSlice(
            key=bound.key,
            holder=bound.holder,
            request_id=0,
            rate_per_s=bound.rate_per_s,
            burst=bound.burst,
            left_s=left_s,
            is_firm=True,
        )
        for bound in bounds
    )
