"""Tells an outage of the store for everyone from being cut off.

Both look alike to a process whose own calls fail. It takes the store to be
down for everyone only while its own calls fail, at least one entry of every
data centre and every entry that it heartbeats with in its own data centre
tell it that theirs fail too, and nobody's confirmation is younger than any of
these failures or than the time that a confirmation takes to spread. An entry
that is silent but not known to be gone counts as one that may reach the
store; it is known to be gone while its address refuses connections
(`dead_entries`) and its last word was that its store calls fail.

Timing assumption. Evidence is used for `WINDOW_S` after the failed call was
sent. A confirmation travels one link a heartbeat interval, so within
`SPREAD_S` everyone whose links work has heard that the store is back, and
everyone whose links are silent has lost its evidence. `has_settled` therefore
holds whoever sees the store come back for `RECOVERY_HOLD_S`, before it may
take over what others keep on the ground that the store is down. It assumes
that clocks run at the same rate; a process that is paused checks again after
the pause, with the time of then. A host that reaches the store but no other
entry is not allowed to take over; two such hosts that only reach each other
are not told from a healthy remainder.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from rhubarbbank_core import dead_entries
from rhubarbbank_core import effects
from rhubarbbank_core import freshness
from rhubarbbank_core import membership_view
from rhubarbbank_core import presence
from rhubarbbank_core import subset
from rhubarbbank_core import table_sync_events

WINDOW_S = 4.0
SIDECAR_WINDOW_S = 6.0
SPREAD_S = 4.0
RECOVERY_HOLD_S = WINDOW_S + SPREAD_S
HEARD_WITHIN_S = 3.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvidence:
    """The last word of another entry.

    Attributes:
        data_centre: Where it stands.
        heard_at: When it was heard.
        revision: Its table revision.
        failed_at: Its store calls failed at this time or later and none
            succeeded since; None if they do not fail.
    """

    data_centre: str
    heard_at: float
    revision: int
    failed_at: float | None


class EntryFreshness:
    """Freshness of an entry's table.

    Attributes:
        own: This entry.
        settings: The bound and what to do beyond it.
        confirmation: What confirms the table.
        failed_at: When this entry's last store call was sent, if it failed.
        recovered_at: When the store answered again after failures.
        required: The entries that may live, by the view.
        peers: The names of the entries that this one heartbeats with.
        evidence: The last word of each entry heard.
        dead: Which silent entries are proved to have ended.
        outage_began: Since when a global outage is established without a
            break, as far as the ticks have seen; None while it is not.
        outage_until: The newest time at which one was established.
    """

    def __init__(
        self,
        *,
        own: subset.Member,
        settings: freshness.FreshnessSettings,
    ) -> None:
        self.own = own
        self.settings = settings
        self.confirmation = freshness.Confirmation()
        self.failed_at: float | None = None
        self.recovered_at: float | None = None
        self.required: frozenset[subset.Member] = frozenset()
        self.peers: frozenset[str] = frozenset()
        self.evidence: dict[str, PeerEvidence] = {}
        self.dead = dead_entries.DeadEntries()
        self.outage_began: float | None = None
        self.outage_until: float | None = None

    def set_view(
        self,
        *,
        required: Iterable[subset.Member],
        peers: Iterable[str],
    ) -> None:
        """Takes which entries may live and which ones are heartbeat with."""
        self.required = frozenset(required)
        self.peers = frozenset(peers)
        known = {member.name for member in self.required}
        for name in self.evidence.keys() - known:
            del self.evidence[name]
        self.dead.forget_except(frozenset(known))

    def ask_silent(
        self, *, now: float, addresses: Mapping[str, str]
    ) -> list[effects.AskListener]:
        """Asks the hosts of silent entries whether these still run.

        Args:
            now: Seconds.
            addresses: Where each peer listens.
        """
        if self.failed_at is None:
            return []
        silences = [
            dead_entries.Silence(name, addresses[name], evidence.heard_at)
            for name, evidence in sorted(self.evidence.items())
            if evidence.failed_at is not None and name in addresses
        ]
        return self.dead.ask(silences, now=now)

    def find_dead(self, *, now: float) -> dict[str, PeerEvidence]:
        """Returns the last word of the entries that are proved to be dead.

        Each said that its store calls fail. Its evidence counts from when
        its address was tried.
        """
        found = {}
        for name, evidence in self.evidence.items():
            refused_at = self.dead.refused_since(
                name, heard_at=evidence.heard_at, oldest=now - WINDOW_S
            )
            if evidence.failed_at is not None and refused_at is not None:
                found[name] = dataclasses.replace(evidence, heard_at=refused_at)
        return found

    def on_sync_events(
        self, events: Iterable[table_sync_events.SyncEvent], *, now: float
    ) -> None:
        """Takes what the table's synchronisation learned."""
        for event in events:
            match event:
                case table_sync_events.TableAdopted(revision, digest, _):
                    self.confirmation.set_table(
                        revision=revision, digest=digest
                    )
                case table_sync_events.StoreConfirmed(revision, at):
                    self.confirmation.add_claim(revision=revision, at=at)
                    self.note_store_answer(now=now)
                case table_sync_events.StoreAnswered():
                    self.note_store_answer(now=now)
                case table_sync_events.StoreFailed(at):
                    self.note_store_failure(at=at)
                case table_sync_events.TableFault():
                    pass

    def note_store_answer(self, *, now: float) -> None:
        """Takes that any store call of this process was answered."""
        if self.failed_at is not None:
            self.recovered_at = now
        self.failed_at = None

    def note_store_failure(self, *, at: float) -> None:
        """Takes that a store call that was sent at `at` failed."""
        if self.failed_at is None or at > self.failed_at:
            self.failed_at = at

    def on_peer_report(
        self, report: membership_view.PeerReport, *, now: float
    ) -> None:
        """Takes another entry's word about its table and the store."""
        if not report.is_entry:
            return
        same = report.revision == self.confirmation.revision
        contested = same and report.digest != self.confirmation.digest
        if report.confirmed_at is not None and not contested:
            self.confirmation.add_claim(
                revision=report.revision, at=report.confirmed_at
            )
        self.evidence[report.name] = PeerEvidence(
            data_centre=report.data_centre,
            heard_at=now,
            revision=report.revision,
            failed_at=report.store_failed_at,
        )

    def heard(self, *, now: float) -> dict[str, PeerEvidence]:
        """Returns the last word of each entry that was heard lately."""
        oldest = now - HEARD_WITHIN_S
        return {
            name: evidence
            for name, evidence in self.evidence.items()
            if evidence.heard_at >= oldest
        }

    def hears_failure(self, *, now: float) -> bool:
        """Returns whether an entry's store calls fail."""
        return any(
            e.failed_at is not None for e in self.heard(now=now).values()
        )

    def hears_success(self, *, now: float) -> bool:
        """Returns whether an entry's store calls are answered."""
        return any(e.failed_at is None for e in self.heard(now=now).values())

    def outage_since(self, *, now: float) -> float | None:
        """Returns the time of the oldest evidence for a global outage.

        Returns:
            Seconds; None while no such outage is established.
        """
        heard = self.heard(now=now)
        dead = self.find_dead(now=now)
        if self.failed_at is None or not self.covers_all(heard, dead):
            return None
        failures = [self.failed_at]
        last_words = [self.failed_at]
        for name, evidence in (heard | dead).items():
            if evidence.failed_at is None:
                return None
            if evidence.revision > self.confirmation.revision:
                return None
            last_words.append(evidence.failed_at)
            # Nobody who is dead can reach the store: a refusal is as good as
            # a call that failed when its address was tried.
            is_dead = name in dead
            failures.append(
                evidence.heard_at if is_dead else evidence.failed_at
            )
        oldest = min(failures)
        confirmed_at = self.confirmation.get_latest()
        if confirmed_at is None:
            return oldest if now - oldest <= WINDOW_S else None
        # Confirmations take up to SPREAD_S to come here, failures are
        # renewed all the time: a young confirmation contradicts them. If the
        # store answered anyone after the last word of one who is dead, that
        # word is no longer worth anything.
        if confirmed_at >= min(last_words) or now - confirmed_at <= SPREAD_S:
            return None
        return oldest if now - oldest <= WINDOW_S else None

    def covers_all(
        self, heard: dict[str, PeerEvidence], dead: dict[str, PeerEvidence]
    ) -> bool:
        """Returns whether everyone was heard whose word is needed.

        One who is dead needn't be heard. A data centre without anyone heard
        is covered if all its entries are dead.
        """
        needed = {
            member.name
            for member in self.required
            if member.data_centre == self.own.data_centre
            and member.name in self.peers
        }
        if not needed - {self.own.name} <= heard.keys() | dead.keys():
            return False
        told = {evidence.data_centre for evidence in heard.values()}
        told.add(self.own.data_centre)
        return all(
            member.data_centre in told or member.name in dead
            for member in self.required
        )

    def follow_outage(self, *, now: float) -> None:
        """Notes when an outage begins and ends; call it with every tick."""
        since = self.outage_since(now=now)
        if since is None:
            self.outage_began = None
            return
        if self.outage_began is None:
            self.outage_began = since
        if self.outage_until is None or since > self.outage_until:
            self.outage_until = since

    def outage_confirmed(self, *, now: float) -> bool:
        """Returns whether the store is down for everyone, right now.

        Shard owners and allowance holders go on without the store while this
        holds. It drops at the latest `WINDOW_S` after the evidence stops
        being refreshed; see the timing assumption at the module's top.
        """
        return self.outage_since(now=now) is not None

    def has_settled(self, *, now: float) -> bool:
        """Returns whether this entry may take over what others may hold.

        False while its store calls fail, for `RECOVERY_HOLD_S` after they
        recovered, and while no other entry is heard although there are some.
        """
        if self.failed_at is not None:
            return False
        others = {m.name for m in self.required} - {self.own.name}
        if others and not self.heard(now=now):
            return False
        if self.recovered_at is None:
            return True
        return now - self.recovered_at >= RECOVERY_HOLD_S

    def verdict(self, *, now: float) -> freshness.FreshnessVerdict:
        """Returns whether new work may run.

        While the store was down for everyone no edit was accepted, so that
        the table is as good as confirmed up to then. This covers the time
        from the first answer of the store to the next read of the table.
        """
        return freshness.check_freshness(
            confirmation=self.confirmation,
            in_outage=was_down(self.outage_until, self.settings, now=now)
            or self.outage_confirmed(now=now),
            settings=self.settings,
            now=now,
        )


class SidecarFreshness:
    """Freshness of a sidecar's table: it relies on the entries it hears.

    Attributes:
        settings: The bound and what to do beyond it.
        confirmation: What confirms the table.
        greetings: The last word of each entry and when it came.
        outage_until: The newest time at which a global outage was vouched
            for.
    """

    def __init__(self, *, settings: freshness.FreshnessSettings) -> None:
        self.settings = settings
        self.confirmation = freshness.Confirmation()
        self.greetings: dict[str, tuple[float, presence.EntryGreeting]] = {}
        self.outage_until: float | None = None

    def on_sync_events(
        self, events: Iterable[table_sync_events.SyncEvent]
    ) -> None:
        """Takes what the table's synchronisation learned."""
        for event in events:
            match event:
                case table_sync_events.TableAdopted(revision, digest, _):
                    self.confirmation.set_table(
                        revision=revision, digest=digest
                    )
                case table_sync_events.StoreConfirmed(revision, at):
                    self.confirmation.add_claim(revision=revision, at=at)
                case _:
                    pass

    def on_greeting(
        self, greeting: presence.EntryGreeting, *, now: float
    ) -> None:
        """Takes an entry's word about its table and the store."""
        same = greeting.revision == self.confirmation.revision
        contested = same and greeting.digest != self.confirmation.digest
        if greeting.confirmed_at is not None and not contested:
            self.confirmation.add_claim(
                revision=greeting.revision, at=greeting.confirmed_at
            )
        self.greetings[greeting.name] = (now, greeting)
        for name, (at, _) in list(self.greetings.items()):
            if now - at > HEARD_WITHIN_S:
                del self.greetings[name]
        vouched_at = greeting.outage_at
        if vouched_at is not None and self.in_outage(now=now):
            until = self.outage_until
            self.outage_until = max(vouched_at, until or vouched_at)

    def in_outage(self, *, now: float) -> bool:
        """Returns whether an entry vouches for a global outage.

        No entry heard may be ahead, and nobody's confirmation may be younger
        than the evidence.
        """
        heard = [
            greeting
            for at, greeting in self.greetings.values()
            if now - at <= HEARD_WITHIN_S
        ]
        vouched = [g.outage_at for g in heard if g.outage_at is not None]
        if not vouched or now - max(vouched) > SIDECAR_WINDOW_S:
            return False
        if any(g.revision > self.confirmation.revision for g in heard):
            return False
        confirmed_at = self.confirmation.get_latest()
        return confirmed_at is None or confirmed_at < max(vouched)

    def verdict(self, *, now: float) -> freshness.FreshnessVerdict:
        """Returns whether new work may run, as an entry's verdict does."""
        return freshness.check_freshness(
            confirmation=self.confirmation,
            in_outage=was_down(self.outage_until, self.settings, now=now)
            or self.in_outage(now=now),
            settings=self.settings,
            now=now,
        )


def was_down(
    until: float | None, settings: freshness.FreshnessSettings, *, now: float
) -> bool:
    """Returns whether an outage until then is as good as a confirmation."""
    return until is not None and now - until <= settings.bound_s
