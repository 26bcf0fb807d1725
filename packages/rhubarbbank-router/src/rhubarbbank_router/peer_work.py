"""Sums what the other entries have under way at each upstream.

With many entries, each knows only a small part of an upstream's load, and
reports in answers come too rarely to show the rest. So heartbeats tell what
each entry has there: as each entry knows its own work exactly, the sum is
the whole load, as old as a heartbeat; long work is told sooner.
"""

import collections
import dataclasses

from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes

MS_PER_S = 1000.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """What the other entries have at one upstream.

    Attributes:
        work_s: How long their work is expected to hold others up.
        in_flight: Attempts.
        heard_at: When one of them last heard from it, in seconds.
    """

    work_s: float = 0.0
    in_flight: int = 0
    heard_at: float = 0.0


NO_LOAD = PeerLoad()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoads:
    """What one entry told last, and when."""

    loads: tuple[messages.LoadNews, ...]
    at: float


class PeerWork:
    """The sums by upstream, kept up with each heartbeat.

    Attributes:
        reports: By entry.
        loads: By the upstream's mark.
    """

    def __init__(self) -> None:
        self.reports: dict[str, ReportedLoads] = {}
        self.loads: dict[name_hashes.NameHash, PeerLoad] = (
            collections.defaultdict(PeerLoad)
        )

    def find(self, upstream_id: str) -> PeerLoad:
        """Returns what others have at an upstream."""
        return self.loads.get(name_hashes.hash_name(upstream_id), NO_LOAD)

    def update(
        self, name: str, loads: tuple[messages.LoadNews, ...], *, now: float
    ) -> None:
        """Takes what an entry tells, in place of what it told before."""
        self.drop(name)
        self.reports[name] = ReportedLoads(loads, now)
        for each in loads:
            load = self.loads[each.upstream]
            load.work_s += each.work_ms / MS_PER_S
            load.in_flight += each.in_flight
            heard_at = now - each.heard_ms / MS_PER_S
            load.heard_at = max(load.heard_at, heard_at)

    def drop(self, name: str) -> None:
        """Forgets what an entry told."""
        told = self.reports.pop(name, None)
        if told is None:
            return
        for each in told.loads:
            load = self.loads[each.upstream]
            load.work_s = max(0.0, load.work_s - each.work_ms / MS_PER_S)
            load.in_flight -= each.in_flight
            if not load.in_flight:
                del self.loads[each.upstream]

    def drop_expired(self, *, now: float) -> None:
        """Forgets what entries told that have been silent since."""
        silent = [
            name
            for name, told in self.reports.items()
            if now - told.at > defaults.PEER_WORK_EXPIRY_S
        ]
        for name in silent:
            self.drop(name)
