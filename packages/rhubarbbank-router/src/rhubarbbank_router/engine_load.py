"""Sums up the load of each engine: the work of this entry and of the others.

Placement, time-outs and heartbeats use these sums, so that they agree.
"""

from rhubarbbank_router import engine_work
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import peer_work
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0


def sum_own_work_s(tracked: upstreams.TrackedUpstream, *, now: float) -> float:
    """Returns the remaining work of this entry's attempts, in seconds."""
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
    """Returns the remaining work of all entries' attempts, in seconds."""
    peer_load = others.find(tracked.listed.upstream_id)
    return sum_own_work_s(tracked, now=now) + peer_load.work_s


def list_loads(
    view: upstreams.UpstreamView, *, now: float
) -> tuple[messages.WorkReport, ...]:
    """Returns the load of this entry's open attempts, for heartbeats."""
    return tuple(
        messages.WorkReport(
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
    """Returns whether any entry got bytes from an upstream in that time."""
    peer_load = others.find(tracked.listed.upstream_id)
    return now - max(tracked.heard_at, peer_load.heard_at) <= period_s
