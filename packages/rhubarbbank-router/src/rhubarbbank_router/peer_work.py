"""Sums up the open work of the other entries at each upstream.

With many entries, each knows only a small part of an upstream's load, and
load reports in answers come too rarely to show the rest. So heartbeats carry
each entry's open work there. As each entry knows its own work exactly, the
sum is the whole load with the age of a heartbeat; long work is reported
sooner.
"""

import collections
import dataclasses

from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes

MS_PER_S = 1000.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """The other entries' load at one upstream.

    Attributes:
        work_s: Their remaining work, in seconds.
        in_flight: Number of their open attempts.
        heard_at: When one of them last got bytes from it, in seconds.
    """

    work_s: float = 0.0
    in_flight: int = 0
    heard_at: float = 0.0


NO_LOAD = PeerLoad()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoads:
    """An entry's last report, and when it came."""

    loads: tuple[messages.WorkReport, ...]
    at: float


class PeerWork:
    """The sums by upstream, updated with each heartbeat.

    Attributes:
        reports: The last report of each entry, by its name.
        loads: The sums, by the hash of the upstream's id.
    """

    def __init__(self) -> None:
        self.reports: dict[str, ReportedLoads] = {}
        self.loads: dict[name_hashes.NameHash, PeerLoad] = (
            collections.defaultdict(PeerLoad)
        )

    def find(self, upstream_id: str) -> PeerLoad:
        """Returns the other entries' load at an upstream."""
        return self.loads.get(name_hashes.hash_name(upstream_id), NO_LOAD)

    def update(
        self, name: str, loads: tuple[messages.WorkReport, ...], *, now: float
    ) -> None:
        """Replaces an entry's last report by a new one."""
        self.drop(name)
        self.reports[name] = ReportedLoads(loads, now)
        for each in loads:
            load = self.loads[each.upstream]
            load.work_s += each.work_ms / MS_PER_S
            load.in_flight += each.in_flight
            heard_at = now - each.heard_ms / MS_PER_S
            load.heard_at = max(load.heard_at, heard_at)

    def drop(self, name: str) -> None:
        """Removes an entry's report."""
        report = self.reports.pop(name, None)
        if report is None:
            return
        for each in report.loads:
            load = self.loads[each.upstream]
            load.work_s = max(0.0, load.work_s - each.work_ms / MS_PER_S)
            load.in_flight -= each.in_flight
            if not load.in_flight:
                del self.loads[each.upstream]

    def drop_expired(self, *, now: float) -> None:
        """Removes the reports that have expired."""
        expired = [
            name
            for name, report in self.reports.items()
            if now - report.at > defaults.PEER_WORK_EXPIRY_S
        ]
        for name in expired:
            self.drop(name)
