"""Keeps an entry's view of live processes up to date.

Three sources feed the view: the platform's host list, a hint that lags by
tens of seconds; rows that processes say of themselves, heard in heartbeats or
as rumours; and failures that this entry saw. A process's own word and seen
failures beat the list.

Each entry probes its subset of the upstreams of each version (`subset.py`)
and a bounded number of other entries (`gossip.py`), so that its traffic does
not grow with the fleet. An upstream is a candidate only while its own
heartbeats say that it serves. An entry that falls silent is suspected; the
suspicion spreads as a rumour, and the suspected entry refutes it if it lives.
"""

import math
import random

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import gossip
from rhubarbbank_core import membership_messages
from rhubarbbank_core import membership_view
from rhubarbbank_core import prober
from rhubarbbank_core import subset

REFRESH_INTERVAL_S = 1.0
FULL_ROW_AFTER_S = 1.5
FIRST_PULL_WAIT_S = 2.0
MOST_PULL_WAIT_S = 30.0
PULL_AFTER_MISMATCHES = 3
INTERVAL_S = membership_view.HEARTBEAT_INTERVAL_S

EntryState = membership_messages.EntryState
PeerReport = membership_view.PeerReport
SidecarState = membership_view.SidecarState


class Membership(membership_view.View):
    """The view of one entry, and the messages that keep it.

    Attributes:
        prober: Makes heartbeats and keeps when they were sent.
        last_report: The table's state at the last tick.
        refreshed_at: When peers and subsets were last chosen.
        peers_from: The entries that the peers were chosen from: with those
            that have ended, and without.
        ended: The silent entries that are proved to have ended.
        mismatches: How often in a row each entry's directory differed.
        pulled_at: When another entry's directory was last pulled.
        pull_wait_s: How long to wait before the next pull.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        address: str,
        incarnation: int,
        rng: random.Random,
        subset_settings: subset.SubsetSettings = (
            subset.DEFAULT_SUBSET_SETTINGS
        ),
    ) -> None:
        """Makes the view of a process that starts.

        Args:
            name: This entry.
            data_centre: Where it stands.
            address: Its peer address, "ip:port".
            incarnation: Higher than that of any earlier process of the name.
            rng: Random numbers.
            subset_settings: Sizes and shares of subsets.
        """
        super().__init__(
            row=membership_messages.EntryRow(
                name=name,
                incarnation=incarnation,
                refutation=0,
                address=address,
                data_centre=data_centre,
            ),
            subset_settings=subset_settings,
        )
        self.prober = prober.Prober(rng=rng)
        self.last_report = membership_messages.LocalReport()
        self.refreshed_at: float | None = None
        self.peers_from: tuple[set[subset.Member], set[subset.Member]] = (
            set(),
            set(),
        )
        self.ended: frozenset[str] = frozenset()
        self.mismatches: dict[str, int] = {}
        self.pulled_at: float | None = None
        self.pull_wait_s = FIRST_PULL_WAIT_S

    def on_hosts(
        self, hosts: list[membership_messages.HostSeen], *, now: float
    ) -> None:
        """Takes the platform's list; the next tick acts on it."""
        incarnations = self.directory.incarnations()
        self.hosts.replace(hosts, incarnations=incarnations, now=now)
        for name in self.hosts.take_forgotten(now=now):
            self.forget(name)

    def forget(self, name: str) -> None:
        """Drops all that is kept about a host that is gone for good."""
        if name == self.own.name:
            return
        self.directory.drop(name)
        self.prober.forget(name)
        for kept in (
            self.sidecars,
            self.entries_heard,
            self.entry_failures,
            self.probed_since,
            self.mismatches,
        ):
            kept.pop(name, None)

    def on_sidecar_heartbeat(
        self, message: membership_messages.SidecarHeartbeat, *, now: float
    ) -> tuple[list[effects.Send], PeerReport | None]:
        """Takes a sidecar's heartbeat.

        Returns:
            Rumours to spread, and what it says of its table; None while the
            sidecar's address is not known.
        """
        sent: list[effects.Send] = []
        if message.row is not None:
            sent = self.spread_if_new(sidecars=(message.row,), now=now)
        row = self.directory.sidecars.get(message.name)
        if row is None:
            return sent, None
        known = self.sidecars.get(message.name)
        order = (message.incarnation, message.sequence)
        if known is None or order > known.order():
            self.take_sidecar(message, known, now)
        report = PeerReport(
            name=row.name,
            address=row.address,
            data_centre=row.data_centre,
            is_entry=False,
            revision=message.revision,
            digest=message.digest,
        )
        return sent, report

    def take_sidecar(
        self,
        message: membership_messages.SidecarHeartbeat,
        known: SidecarState | None,
        now: float,
    ) -> None:
        """Keeps a sidecar's newest heartbeat."""
        name = message.name
        self.prober.clock.note(name, message.sequence)
        sent_at = self.prober.clock.sent_at(name, message.echo)
        failed_at = known.failed_at if known is not None else None
        if failed_at is not None and sent_at is not None:
            # Only an answer to a probe that went out after the failure
            # shows that the sidecar is reachable again.
            failed_at = None if sent_at > failed_at else failed_at
        self.sidecars[name] = SidecarState(
            heartbeat=message,
            heard_at=now,
            load_at=gossip.place_age(sent_at, message.load_age_ms),
            failed_at=failed_at,
        )

    def note_load(
        self, name: str, *, running: int, waiting: int, now: float
    ) -> None:
        """Takes a load report that rode on an answer."""
        state = self.sidecars.get(name)
        if state is None:
            return
        state.heartbeat = msgspec.structs.replace(
            state.heartbeat, running=running, waiting=waiting
        )
        state.load_at = now

    def on_entry_heartbeat(
        self,
        message: membership_messages.EntryHeartbeat,
        *,
        now: float,
        report: membership_messages.LocalReport,
    ) -> tuple[list[effects.Send], PeerReport | None]:
        """Takes another entry's heartbeat and answers a probe.

        Returns:
            Messages to send, and what it says of its table; None while the
            entry's address is not known.
        """
        name = message.name
        sent: list[effects.Send] = []
        if message.row is not None:
            sent = self.spread_if_new(entries=(message.row,), now=now)
        row = self.make_entry_row(name)
        if row is None:
            return sent, None
        self.prober.clock.note(name, message.sequence)
        sent_at = self.prober.clock.sent_at(name, message.echo)
        self.take_entry(name, sent_at, now)
        sent += self.tell_suspect(row)
        sent += self.compare_directory(message, row.address, now)
        if message.wants_reply:
            sent.append(
                self.make_heartbeat(name, row.address, report, now, wants=False)
            )
        peer = PeerReport(
            name=name,
            address=row.address,
            data_centre=row.data_centre,
            is_entry=True,
            revision=message.revision,
            digest=message.digest,
            confirmed_at=gossip.place_age(sent_at, message.confirmed_age_ms),
            store_failed_at=gossip.place_age(
                sent_at, message.store_failed_age_ms
            ),
        )
        return sent, peer

    def tell_suspect(
        self, row: membership_messages.EntryRow
    ) -> list[effects.Send]:
        """Tells an entry that lives that it is suspected, to be refuted."""
        if row.state is not EntryState.SUSPECT:
            return []
        rumour = membership_messages.DirectoryUpdate(
            name=self.own.name, entries=(row,)
        )
        return [effects.Send(row.address, rumour)]

    def take_entry(self, name: str, sent_at: float | None, now: float) -> None:
        """Notes that an entry was heard."""
        self.entries_heard[name] = now
        failed_at = self.entry_failures.get(name)
        if failed_at is None or sent_at is None:
            return
        if sent_at > failed_at:
            del self.entry_failures[name]

    def compare_directory(
        self,
        message: membership_messages.EntryHeartbeat,
        address: str,
        now: float,
    ) -> list[effects.Send]:
        """Pulls a peer's rows when the digests differ for long."""
        name = message.name
        if message.directory_digest == self.directory.digest:
            self.mismatches.pop(name, None)
            self.pull_wait_s = FIRST_PULL_WAIT_S
            return []
        self.mismatches[name] = self.mismatches.get(name, 0) + 1
        pulled_at = self.pulled_at
        if pulled_at is not None:
            if self.mismatches[name] < PULL_AFTER_MISMATCHES:
                return []
            if now - pulled_at < self.pull_wait_s:
                return []
            # Views that differ for long, as while the list lags, must not
            # have whole directories sent again and again.
            self.pull_wait_s = min(MOST_PULL_WAIT_S, 2 * self.pull_wait_s)
        self.pulled_at = now
        pull = membership_messages.DirectoryPull(
            name=self.own.name, address=self.row.address
        )
        return [effects.Send(address, pull)]

    def on_directory_pull(
        self, message: membership_messages.DirectoryPull
    ) -> list[effects.Send]:
        """Sends all rows to the entry that asks."""
        return [
            effects.Send(message.address, update)
            for update in self.directory.export(sender=self.own.name)
        ]

    def on_directory_update(
        self, message: membership_messages.DirectoryUpdate, *, now: float
    ) -> list[effects.Send]:
        """Takes rumours and passes on what is new."""
        return self.spread_if_new(
            sidecars=message.sidecars, entries=message.entries, now=now
        )

    def spread_if_new(
        self,
        *,
        sidecars: tuple[membership_messages.SidecarRow, ...] = (),
        entries: tuple[membership_messages.EntryRow, ...] = (),
        now: float,
    ) -> list[effects.Send]:
        """Merges rows and returns the rumours about the new ones."""
        update = membership_messages.DirectoryUpdate(
            name=self.own.name, sidecars=sidecars, entries=entries
        )
        new_sidecars, new_entries = self.directory.merge(update)
        new_entries = tuple(self.refute(row) for row in new_entries)
        if not new_sidecars and not new_entries:
            return []
        rumour = membership_messages.DirectoryUpdate(
            name=self.own.name, sidecars=new_sidecars, entries=new_entries
        )
        return self.send_to_peers(rumour, now=now)

    def refute(
        self, row: membership_messages.EntryRow
    ) -> membership_messages.EntryRow:
        """Returns the row, or a newer one if others suspect this entry."""
        if row.name != self.own.name or row == self.row:
            return row
        self.row = msgspec.structs.replace(
            self.row,
            incarnation=max(self.row.incarnation, row.incarnation),
            refutation=row.refutation + 1,
        )
        self.directory.merge_entry(self.row)
        return self.row

    def send_to_peers(
        self, message: effects.Message, *, now: float
    ) -> list[effects.Send]:
        """Returns the message for each entry that shares a link."""
        names = self.peers | self.find_heard_entries(now=now)
        addresses = [
            self.address_of(name) for name in sorted(names - {self.own.name})
        ]
        return [
            effects.Send(address, message) for address in addresses if address
        ]

    def report_failure(self, name: str, *, now: float) -> list[effects.Send]:
        """Takes out a process that this entry failed to reach.

        It counts again once it answers a probe sent after the failure; the
        first such probe goes out at once.
        """
        state = self.sidecars.get(name)
        if state is not None:
            state.failed_at = now
            return self.probe_sidecar(name, now)
        self.entry_failures[name] = now
        return self.probe_entry(name, now)

    def leave(self, *, now: float) -> list[effects.Send]:
        """Says that this entry leaves."""
        row = msgspec.structs.replace(self.row, state=EntryState.LEAVING)
        self.row = row
        self.directory.merge_entry(row)
        rumour = membership_messages.DirectoryUpdate(
            name=self.own.name, entries=(row,)
        )
        return self.send_to_peers(rumour, now=now)

    def set_cut_off(
        self, *, is_cut_off: bool, now: float
    ) -> list[effects.Send]:
        """Says whether this entry is cut off from a store that others reach."""
        self.row = msgspec.structs.replace(
            self.row,
            refutation=self.row.refutation + 1,
            is_cut_off=is_cut_off,
        )
        self.directory.merge_entry(self.row)
        rumour = membership_messages.DirectoryUpdate(
            name=self.own.name, entries=(self.row,)
        )
        return self.send_to_peers(rumour, now=now)

    def tick(
        self, *, now: float, report: membership_messages.LocalReport
    ) -> list[effects.Send]:
        """Sends what is due; call it several times a second.

        Args:
            now: Seconds.
            report: The state of this entry's table, for the heartbeats.
        """
        self.last_report = report
        sent: list[effects.Send] = []
        if self.is_refresh_due(now):
            self.refresh(now)
            sent += self.suspect_silent(now)
        for name in sorted(self.targets):
            if self.prober.take_due(name, self.interval_s(), now=now):
                sent += self.probe_sidecar(name, now)
        for name in sorted(self.peers):
            if self.prober.take_due(name, INTERVAL_S, now=now):
                sent += self.probe_entry(name, now)
        return sent

    def is_refresh_due(self, now: float) -> bool:
        """Returns whether peers and subsets have to be chosen anew."""
        if self.refreshed_at is None:
            return True
        return now - self.refreshed_at >= REFRESH_INTERVAL_S

    def refresh(self, now: float) -> None:
        """Chooses peers, subsets and whether to watch."""
        self.refreshed_at = now
        live = self.live_members(now=now)
        # Suspects stay probed, so that they are found when they are back.
        known = live | self.find_suspects()
        running = {x for x in known if x.name not in self.ended}
        if (set(known), running) != self.peers_from:
            self.peers_from = set(known), running
            # One that has ended stays probed; another is asked in its place.
            self.peers = gossip.choose_peers(
                known, own=self.own
            ) | gossip.choose_peers(running, own=self.own)
        self.watching = gossip.is_watcher(live, own=self.own)
        upstreams = self.find_upstreams()
        self.subsets.refresh(
            entries=live,
            upstreams=upstreams,
            dead=self.find_dead(now),
        )
        in_subsets = frozenset().union(*self.subsets.by_version.values())
        self.targets = in_subsets | self.find_sponsored(live, upstreams)
        self.forget_unprobed(now)

    def forget_unprobed(self, now: float) -> None:
        """Keeps since when each process is probed."""
        probed = self.targets | self.peers
        for name in self.probed_since.keys() - probed:
            del self.probed_since[name]
            self.prober.unplan(name)
        for name in probed:
            self.probed_since.setdefault(name, now)

    def find_sponsored(
        self,
        live: frozenset[subset.Member],
        upstreams: dict[str, frozenset[subset.Member]],
    ) -> frozenset[str]:
        """Returns the sidecars that may be in nobody's subset."""
        present = {
            name
            for name in (
                self.directory.sidecars.keys()
                | {host.name for host in self.hosts.upstreams()}
            )
            if not self.hosts.is_gone(name)
        }
        # One that leaves stays sponsored: only by being asked can its next
        # incarnation make itself known.
        covered: set[str] = set()
        for members in upstreams.values():
            if not self.subsets.is_thin(
                entries=len(live), upstreams=len(members)
            ):
                covered.update(member.name for member in members)
        return self.subsets.find_sponsored(present - covered, entries=live)

    def suspect_silent(self, now: float) -> list[effects.Send]:
        """Spreads the suspicion of peers that stopped answering."""
        rows = []
        for name in self.peers:
            if self.is_entry_live(name, now=now) or self.is_leaving(name):
                continue
            row = self.make_entry_row(name)
            if row is not None and row.state is EntryState.ALIVE:
                rows.append(
                    msgspec.structs.replace(row, state=EntryState.SUSPECT)
                )
        return self.spread_if_new(entries=tuple(rows), now=now)

    def make_entry_row(self, name: str) -> membership_messages.EntryRow | None:
        """Returns an entry's row, made from the list if there is none."""
        row = self.directory.entries.get(name)
        host = self.hosts.listed.get(name)
        if row is not None or host is None:
            return row
        return membership_messages.EntryRow(
            name=name,
            incarnation=0,
            refutation=0,
            address=host.peer_address,
            data_centre=host.data_centre,
        )

    def probe_sidecar(self, name: str, now: float) -> list[effects.Send]:
        """Returns a Hello for a sidecar, if its address is known."""
        address = self.address_of(name)
        if not address:
            return []
        hello = self.prober.make_hello(
            name,
            row=self.row,
            known=self.directory.sidecars.get(name),
            report=self.last_report,
            now=now,
        )
        return [effects.Send(address, hello)]

    def probe_entry(self, name: str, now: float) -> list[effects.Send]:
        """Returns a heartbeat that wants a reply, for an entry."""
        address = self.address_of(name)
        if not address:
            return []
        return [
            self.make_heartbeat(
                name, address, self.last_report, now, wants=True
            )
        ]

    def make_heartbeat(
        self,
        name: str,
        address: str,
        report: membership_messages.LocalReport,
        now: float,
        *,
        wants: bool,
    ) -> effects.Send:
        """Returns a heartbeat for an entry."""
        heard_at = self.entries_heard.get(name, -math.inf)
        answers = now - heard_at <= FULL_ROW_AFTER_S
        heartbeat = self.prober.make_heartbeat(
            name,
            own=self.own.name,
            row=None if answers else self.row,
            report=report,
            directory_digest=self.directory.digest,
            view_size=len(self.directory.entries),
            wants_reply=wants,
            now=now,
        )
        return effects.Send(address, heartbeat)
