"""Lets slices outlast their owner while nobody can take its shard over.

A slice ends a term after it was asked for, since a new owner may by then
grant its rate to others. A new owner first takes the shard over, which is a
write to the store, and waits a term and more after that. So as long as the
store is down for everyone, the time of the evidence for that is as good as
the time of a request: whoever takes the shard over does so later, and waits
longer than the slice then lasts. How soon a holder learns that the outage is
over does not matter.

The owner itself counts a slice for a term only, and grants its rate to
others then. A slice therefore outlasts an owner that is proved to have ended
while the slice still lasted; one that is merely silent may live.

It must have been the owner. It was if it granted the slice by the outage's
ground alone: the store had been down for the confirmation time when the slice
was asked for.
"""

from collections.abc import Mapping

from rhubarbbank_core import allowance_holder
from rhubarbbank_core import outage


def follow(
    holder: allowance_holder.AllowanceHolder,
    *,
    entry: outage.EntryFreshness,
    now: float,
) -> None:
    """Prolongs slices of dead owners in an outage; call it with every tick."""
    since = entry.outage_since(now=now)
    if since is None or entry.outage_began is None:
        return
    prolong(
        holder,
        began=entry.outage_began,
        since=since,
        ended_at=entry.dead.ended_at(),
        now=now,
    )


def prolong(
    holder: allowance_holder.AllowanceHolder,
    *,
    began: float,
    since: float,
    ended_at: Mapping[str, float],
    now: float,
) -> None:
    """Prolongs the slices of owners that have ended.

    Args:
        holder: Who holds them.
        began: Since when the store is down for everyone, without a break.
        since: Until when at least it was; the slices last a term from then.
        ended_at: When an address was tried that refused, by address.
        now: Seconds.
    """
    terms = holder.terms
    for held in holder.held.values():
        ended = ended_at.get(held.granted_by)
        if ended is None or ended <= held.granted_at:
            continue
        if held.asked_for_at < began + terms.confirmation_s:
            continue
        held.refill(now=now)
        if held.rate_per_s > 0.0:
            held.ends_at = max(held.ends_at, since + terms.term_s)
