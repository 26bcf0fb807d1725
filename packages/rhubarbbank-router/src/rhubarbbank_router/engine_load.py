"""The load of each engine: this entry's work there, and that of the others.

Placement, patience and the learning of speeds all ask here, so that they go
by the same figures.
"""

from rhubarbbank_router import engine_work
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import peer_work
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0


def sum_own_work_s(tracked: upstreams.TrackedUpstream, *, now: float) -> float:
    """Returns the work of this entry's attempts at an upstream, in seconds."""
    return sum(
        engine_work.estimate_remaining_s(each, now=now)
        for each in tracked.attempts.values()
    )


def sum_backlog_s(
    tracked: upstreams.TrackedUpstream,
    others: peer_work.PeerWork,
    *,
    now: float,
) -> float:
    """Returns all work that is known at an upstream, in seconds."""
    told = others.find(tracked.listed.upstream_id)
    return sum_own_work_s(tracked, now=now) + told.work_s


def list_loads(
    view: upstreams.UpstreamView, *, now: float
) -> tuple[messages.LoadNews, ...]:
    """Returns what this entry has under way, as a heartbeat tells it."""
    return tuple(
        messages.LoadNews(
            upstream=name_hashes.hash_name(tracked.listed.upstream_id),
            work_ms=round(sum_own_work_s(tracked, now=now) * MS_PER_S),
            in_flight=tracked.in_flight,
            heard_ms=round((now - tracked.heard_at) * MS_PER_S),
        )
        for tracked in view.tracked.values()
        if tracked.attempts
    )


def was_heard_within(
    tracked: upstreams.TrackedUpstream,
    others: peer_work.PeerWork,
    period_s: float,
    *,
    now: float,
) -> bool:
    """Returns whether any entry has heard from an upstream lately."""
    told = others.find(tracked.listed.upstream_id)
    return now - max(tracked.heard_at, told.heard_at) <= period_s
