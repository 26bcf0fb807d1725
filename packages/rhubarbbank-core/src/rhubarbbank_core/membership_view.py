"""What an entry knows of the other processes, and the questions it answers.

This is the read side of `membership.py`: it holds the state that events
change there, and derives candidates and live entries from it. The order of
trust is: seen failures, a process's own word, rumours, the platform's list.
"""

import dataclasses
import math

from rhubarbbank_core import directory
from rhubarbbank_core import host_list
from rhubarbbank_core import membership_messages
from rhubarbbank_core import subset
from rhubarbbank_core import subset_cache

HEARTBEAT_INTERVAL_S = 1.0
MISSED_HEARTBEATS = 3
HELLOS_PER_S = 20

EntryState = membership_messages.EntryState


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that may get new work.

    Attributes:
        name: The sidecar.
        address: The sidecar's peer address, "ip:port".
        data_centre: Where it stands.
        upstream: The upstream's own "ip:port".
        kind: Engine or plain service.
        running: Requests in its batch at the last report.
        waiting: Requests in its queue at the last report.
        max_batch: Most requests in a batch; 0 if not reported.
        load_age_s: How old the report is at most; None without one.
    """

    name: str
    address: str
    data_centre: str
    upstream: str
    kind: membership_messages.HostKind
    running: int
    waiting: int
    max_batch: int
    load_age_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerReport:
    """What another process's heartbeat says of its table.

    Attributes:
        name: The process.
        address: Its peer address.
        data_centre: Where it stands.
        is_entry: Whether it is an entry.
        revision: Its table revision.
        digest: Its table digest.
        confirmed_at: Its table included every edit up to this time, on this
            process's clock; None if the message proves none.
        store_failed_at: A store call of it failed at this time or later and
            none succeeded since; None if the message proves none.
    """

    name: str
    address: str
    data_centre: str
    is_entry: bool
    revision: int
    digest: int
    confirmed_at: float | None = None
    store_failed_at: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class SidecarState:
    """What heartbeats told of one sidecar.

    Attributes:
        heartbeat: The last one.
        heard_at: When it came, in seconds.
        load_at: When its load was true at the earliest; None without one.
        failed_at: When work at it last failed; None if heard to be well
            since.
    """

    heartbeat: membership_messages.SidecarHeartbeat
    heard_at: float
    load_at: float | None
    failed_at: float | None = None

    def order(self) -> tuple[int, int]:
        """Returns what decides whether another heartbeat is newer."""
        return self.heartbeat.incarnation, self.heartbeat.sequence


class View:
    """The view of one entry.

    Attributes:
        row: What this entry says of itself.
        own: This entry as a member of subsets.
        directory: The newest rows of all processes.
        hosts: The platform's list.
        subsets: This entry's subsets by version.
        sidecars: What heartbeats told, by sidecar name.
        entries_heard: When each entry was last heard directly.
        entry_failures: When each entry was last unreachable, until heard.
        probed_since: Since when each process is probed.
        peers: The entries that this entry probes.
        targets: The sidecars that this entry probes.
        watching: Whether this entry watches the store for its data centre.
        required: The last answer of `required_entries`.
        required_from: The digest of the rows and the change of the list that
            it was made from; None before the first.
    """

    def __init__(
        self,
        *,
        row: membership_messages.EntryRow,
        subset_settings: subset.SubsetSettings,
    ) -> None:
        self.row = row
        self.own = subset.Member(row.name, row.data_centre)
        self.directory = directory.Directory()
        self.directory.merge_entry(row)
        self.hosts = host_list.HostList()
        self.subsets = subset_cache.SubsetCache(
            own=self.own, settings=subset_settings
        )
        self.sidecars: dict[str, SidecarState] = {}
        self.entries_heard: dict[str, float] = {}
        self.entry_failures: dict[str, float] = {}
        self.probed_since: dict[str, float] = {}
        self.peers: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.watching = False
        self.required: frozenset[subset.Member] = frozenset()
        self.required_from: tuple[int, int] | None = None

    def candidates(self, version: str, *, now: float) -> list[Candidate]:
        """Returns the upstreams in this entry's subset that may get work.

        Args:
            version: The version as "model@version".
            now: Seconds.
        """
        found = []
        for name in sorted(self.subsets.get(version)):
            state = self.sidecars.get(name)
            if state is None or not self.serves(name, version, now=now):
                continue
            found.append(self.make_candidate(state, now))
        return found

    def serves(self, name: str, version: str, *, now: float) -> bool:
        """Returns whether a sidecar may get new work of a version now."""
        state = self.sidecars.get(name)
        row = self.directory.sidecars.get(name)
        if state is None or row is None or version not in row.versions:
            return False
        if self.is_leaving(name) or not state.heartbeat.healthy:
            return False
        if state.failed_at is not None:
            return False
        return now - state.heard_at <= self.suspect_after_s()

    def make_candidate(self, state: SidecarState, now: float) -> Candidate:
        """Returns a sidecar's last report as a candidate."""
        heartbeat = state.heartbeat
        row = self.directory.sidecars[heartbeat.name]
        return Candidate(
            name=row.name,
            address=row.address,
            data_centre=row.data_centre,
            upstream=row.upstream,
            kind=row.kind,
            running=heartbeat.running,
            waiting=heartbeat.waiting,
            max_batch=heartbeat.max_batch,
            load_age_s=None if state.load_at is None else now - state.load_at,
        )

    def live_entries(self, *, now: float) -> tuple[str, ...]:
        """Returns the names of the entries that live, with this one."""
        return tuple(
            sorted(member.name for member in self.live_members(now=now))
        )

    def ledger_entries(self, *, now: float) -> tuple[str, ...]:
        """Returns the live entries that reach the store, else all live ones."""
        live = self.live_entries(now=now)
        rows = self.directory.entries
        able = [x for x in live if x not in rows or not rows[x].is_cut_off]
        return tuple(able) or live

    def live_members(self, *, now: float) -> frozenset[subset.Member]:
        """Returns the live entries with their data centres."""
        found = {self.own} if self.row.state is EntryState.ALIVE else set()
        for member in self.known_entries():
            if member != self.own and self.is_entry_live(member.name, now=now):
                found.add(member)
        return frozenset(found)

    def known_entries(self) -> frozenset[subset.Member]:
        """Returns all entries that the list names or a row tells of."""
        found = {
            subset.Member(host.name, host.data_centre)
            for host in self.hosts.entries()
        }
        found.update(
            subset.Member(row.name, row.data_centre)
            for row in self.directory.entries.values()
        )
        return frozenset(found)

    def is_entry_live(self, name: str, *, now: float) -> bool:
        """Returns whether an entry counts as live."""
        if self.is_leaving(name) or name in self.entry_failures:
            return False
        if name in self.peers and name in self.probed_since:
            since = self.probed_since[name]
            heard_at = self.entries_heard.get(name, since)
            return now - max(since, heard_at) <= self.suspect_after_s()
        row = self.directory.entries.get(name)
        if self.hosts.is_gone(name):
            return False
        return row is None or row.state is EntryState.ALIVE

    def required_entries(self) -> frozenset[subset.Member]:
        """Returns the entries that may still live, silent ones included.

        Only an entry's own leave and the platform's list take one out: its
        silence may come from a partition. Freshness builds on this.
        The answer is kept until a row or the list changes, since it is asked
        for with every tick.
        """
        source = (self.directory.digest, self.hosts.changes)
        if source != self.required_from:
            self.required_from = source
            self.required = self.find_required()
        return self.required

    def find_required(self) -> frozenset[subset.Member]:
        """Returns the entries that may still live, from rows and list."""
        return frozenset(
            member
            for member in self.known_entries()
            if not self.is_leaving(member.name)
            and not self.hosts.is_gone(member.name)
        )

    def is_leaving(self, name: str) -> bool:
        """Returns whether a process leaves, by its own word or the list."""
        sidecar = self.directory.sidecars.get(name)
        if sidecar is not None:
            if sidecar.leaving:
                return True
            return self.hosts.is_leaving(name, sidecar.incarnation)
        entry = self.directory.entries.get(name)
        if entry is not None:
            if entry.state is EntryState.LEAVING:
                return True
            return self.hosts.is_leaving(name, entry.incarnation)
        return self.hosts.is_leaving(name, 0)

    def address_of(self, name: str) -> str | None:
        """Returns a process's peer address, or None."""
        sidecar = self.directory.sidecars.get(name)
        if sidecar is not None:
            return sidecar.address
        entry = self.directory.entries.get(name)
        return self.hosts.address_of(name) if entry is None else entry.address

    def listening_addresses(self) -> dict[str, str]:
        """Returns where each peer listens, if its row and the list agree."""
        found = {}
        for name in self.peers:
            address = self.address_of(name)
            if address and self.hosts.address_of(name) in (None, address):
                found[name] = address
        return found

    def neighbours(self, *, now: float) -> dict[str, str]:
        """Returns the address of each process to tell news to at once."""
        found = {}
        for name in (
            self.find_heard_entries(now=now) | self.peers | self.targets
        ):
            address = self.address_of(name)
            if address and name != self.own.name:
                found[name] = address
        return found

    def suspect_after_s(self) -> float:
        """Returns after which silence a probed process is suspected."""
        return MISSED_HEARTBEATS * self.interval_s() + HEARTBEAT_INTERVAL_S / 2

    def interval_s(self) -> float:
        """Returns the time between two probes of one process."""
        return max(HEARTBEAT_INTERVAL_S, len(self.targets) / HELLOS_PER_S)

    def find_heard_entries(self, *, now: float) -> frozenset[str]:
        """Returns the entries heard lately, asked or not."""
        return frozenset(
            name
            for name, at in self.entries_heard.items()
            if now - at <= self.suspect_after_s()
        )

    def find_suspects(self) -> frozenset[subset.Member]:
        """Returns the entries that do not answer but may come back."""
        return frozenset(
            member
            for member in self.required_entries()
            if member.name in self.peers or member.name in self.entry_failures
        )

    def find_upstreams(self) -> dict[str, frozenset[subset.Member]]:
        """Returns the upstreams of each version that do not leave."""
        found: dict[str, set[subset.Member]] = {}
        for row in self.directory.sidecars.values():
            if self.is_leaving(row.name) or self.hosts.is_gone(row.name):
                continue
            for version in row.versions:
                member = subset.Member(row.name, row.data_centre)
                found.setdefault(version, set()).add(member)
        return {version: frozenset(names) for version, names in found.items()}

    def find_dead(self, now: float) -> frozenset[str]:
        """Returns the probed sidecars that do not answer."""
        oldest = now - self.suspect_after_s()
        return frozenset(
            name
            for name in self.targets
            if max(self.probed_since.get(name, now), self.heard_at(name))
            < oldest
        )

    def heard_at(self, name: str) -> float:
        """Returns when a sidecar was last heard, or minus infinity."""
        state = self.sidecars.get(name)
        return state.heard_at if state is not None else -math.inf
