"""Joins membership, table propagation and freshness for each program.

Each class is a state machine without I/O that a program's reducer embeds:
messages, store replies, host lists and ticks go in, effects and events come
out. `tick` wants to be called four times a second or more often.
"""

import random

from rhubarbbank_core import effects
from rhubarbbank_core import events
from rhubarbbank_core import freshness
from rhubarbbank_core import membership
from rhubarbbank_core import membership_messages
from rhubarbbank_core import membership_view
from rhubarbbank_core import outage
from rhubarbbank_core import presence
from rhubarbbank_core import store
from rhubarbbank_core import subset
from rhubarbbank_core import table_sync
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import table_sync_messages

SyncStep = table_sync_events.SyncStep


class EntryCoordination:
    """What an entry knows of the fleet and of the table.

    Attributes:
        membership: Who lives and which upstreams are candidates.
        sync: The table and where it comes from.
        freshness: Whether new work may run.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        address: str,
        incarnation: int,
        rng: random.Random,
        decode: table_sync_events.TableDecoder,
        call_ids: effects.CallIds,
        freshness_settings: freshness.FreshnessSettings,
        subset_settings: subset.SubsetSettings = (
            subset.DEFAULT_SUBSET_SETTINGS
        ),
    ) -> None:
        """Makes the state of an entry that starts.

        Args:
            name: This entry.
            data_centre: Where it stands.
            address: Its peer address, "ip:port".
            incarnation: Higher than that of any earlier process of the name.
            rng: Random numbers.
            decode: Reads revision and digest out of stored tables.
            call_ids: Where ids of store calls come from.
            freshness_settings: How old a confirmation may be.
            subset_settings: Sizes and shares of subsets.
        """
        self.membership = membership.Membership(
            name=name,
            data_centre=data_centre,
            address=address,
            incarnation=incarnation,
            rng=rng,
            subset_settings=subset_settings,
        )
        self.sync = table_sync.TableSync(
            name=name,
            address=address,
            decode=decode,
            call_ids=call_ids,
            rng=rng,
        )
        self.freshness = outage.EntryFreshness(
            own=self.membership.own, settings=freshness_settings
        )

    def report(self, *, now: float) -> membership_messages.LocalReport:
        """Returns what heartbeats say of this entry's table."""
        failed_at = self.freshness.failed_at
        outage_since = self.freshness.outage_since(now=now)
        return membership_messages.LocalReport(
            revision=self.sync.revision,
            digest=self.sync.digest,
            confirmed_age_s=self.freshness.confirmation.age_s(now=now),
            store_failed_age_s=None if failed_at is None else now - failed_at,
            outage_age_s=None if outage_since is None else now - outage_since,
        )

    def tick(self, *, now: float) -> SyncStep:
        """Sends heartbeats, reads and watches as is due."""
        self.membership.ended = frozenset(self.freshness.find_dead(now=now))
        sent = self.membership.tick(now=now, report=self.report(now=now))
        self.freshness.set_view(
            required=self.membership.required_entries(),
            peers=self.membership.peers,
        )
        self.freshness.follow_outage(now=now)
        step = self.sync.tick(
            now=now,
            watching=self.membership.watching,
            confirmed_age_s=self.freshness.confirmation.age_s(now=now),
            neighbours=self.membership.neighbours(now=now),
            failure_heard=self.freshness.hears_failure(now=now),
        )
        step.effects += self.freshness.ask_silent(
            now=now, addresses=self.membership.listening_addresses()
        )
        return self.finish(step, sent, now)

    def on_refusal(self, refused: events.ListenerRefused) -> None:
        """Takes that no process listens where an entry did."""
        known = self.membership.listening_addresses().get(refused.name)
        if known == refused.address:
            self.freshness.dead.note_refusal(
                name=refused.name,
                address=refused.address,
                asked_at=refused.asked_at,
            )

    def on_hosts(
        self, hosts: list[membership_messages.HostSeen], *, now: float
    ) -> None:
        """Takes the platform's host list."""
        self.membership.on_hosts(hosts, now=now)

    def on_store_reply(
        self, reply: store.StoreReply, *, now: float
    ) -> SyncStep:
        """Takes the answer to a store call of this part."""
        return self.finish(self.sync.on_store_reply(reply, now=now), [], now)

    def on_written(self, raw: bytes, *, now: float) -> SyncStep:
        """Takes the table that this entry itself wrote to the store."""
        return self.finish(self.sync.on_written(raw), [], now)

    def on_message(self, message: effects.Message, *, now: float) -> SyncStep:
        """Takes a message from another process; ignores unknown kinds."""
        match message:
            case membership_messages.SidecarHeartbeat():
                sent, peer = self.membership.on_sidecar_heartbeat(
                    message, now=now
                )
                return self.on_peer(peer, sent, now)
            case membership_messages.EntryHeartbeat():
                sent, peer = self.membership.on_entry_heartbeat(
                    message, now=now, report=self.report(now=now)
                )
                return self.on_peer(peer, sent, now)
            case membership_messages.DirectoryUpdate():
                sent = self.membership.on_directory_update(message, now=now)
                return SyncStep(effects=list(sent))
            case membership_messages.DirectoryPull():
                sent = self.membership.on_directory_pull(message)
                return SyncStep(effects=list(sent))
            case _:
                step = on_table_message(self.sync, message, now=now)
                return self.finish(step, [], now)

    def on_peer(
        self,
        peer: membership_view.PeerReport | None,
        sent: list[effects.Send],
        now: float,
    ) -> SyncStep:
        """Takes what a heartbeat said of the sender's table."""
        if peer is None:
            return SyncStep(effects=list(sent))
        self.freshness.on_peer_report(peer, now=now)
        step = self.sync.on_peer_table(
            name=peer.name,
            address=peer.address,
            revision=peer.revision,
            digest=peer.digest,
            now=now,
        )
        return self.finish(step, sent, now)

    def finish(
        self, step: SyncStep, sent: list[effects.Send], now: float
    ) -> SyncStep:
        """Tells freshness what was learnt and joins the effects."""
        self.freshness.on_sync_events(step.events, now=now)
        step.effects[:0] = sent
        return step


class SidecarCoordination:
    """What a sidecar tells of itself and knows of the table.

    Attributes:
        presence: What it says to entries.
        sync: The table and where it comes from.
        freshness: Whether new work may run.
    """

    def __init__(
        self,
        *,
        row: membership_messages.SidecarRow,
        rng: random.Random,
        decode: table_sync_events.TableDecoder,
        call_ids: effects.CallIds,
        freshness_settings: freshness.FreshnessSettings,
    ) -> None:
        """Makes the state of a sidecar that starts.

        Args:
            row: What it says of itself.
            rng: Random numbers.
            decode: Reads revision and digest out of stored tables.
            call_ids: Where ids of store calls come from.
            freshness_settings: How old a confirmation may be.
        """
        self.presence = presence.SidecarPresence(row=row, rng=rng)
        self.sync = table_sync.TableSync(
            name=row.name,
            address=row.address,
            decode=decode,
            call_ids=call_ids,
            rng=rng,
            reads_unconfirmed=False,
        )
        self.freshness = outage.SidecarFreshness(settings=freshness_settings)

    def report(self) -> membership_messages.LocalReport:
        """Returns what heartbeats say of this sidecar's table."""
        return membership_messages.LocalReport(
            revision=self.sync.revision, digest=self.sync.digest
        )

    def tick(self, *, now: float) -> SyncStep:
        """Reads the store if two tables contradict each other."""
        step = self.sync.tick(
            now=now,
            watching=False,
            confirmed_age_s=self.freshness.confirmation.age_s(now=now),
            neighbours={},
        )
        return self.finish(step)

    def on_store_reply(
        self, reply: store.StoreReply, *, now: float
    ) -> SyncStep:
        """Takes the answer to a store call of this part."""
        return self.finish(self.sync.on_store_reply(reply, now=now))

    def on_message(self, message: effects.Message, *, now: float) -> SyncStep:
        """Takes a message from an entry; ignores unknown kinds."""
        if not isinstance(message, membership_messages.Hello):
            return self.finish(on_table_message(self.sync, message, now=now))
        sent, greeting = self.presence.on_hello(
            message, now=now, report=self.report()
        )
        self.freshness.on_greeting(greeting, now=now)
        step = self.sync.on_peer_table(
            name=greeting.name,
            address=greeting.address,
            revision=greeting.revision,
            digest=greeting.digest,
            now=now,
        )
        step.effects[:0] = sent
        return self.finish(step)

    def finish(self, step: SyncStep) -> SyncStep:
        """Tells freshness what was learnt."""
        self.freshness.on_sync_events(step.events)
        return step


def on_table_message(
    sync: table_sync.TableSync, message: effects.Message, *, now: float
) -> SyncStep:
    """Hands a message about the table to its part; ignores any other."""
    match message:
        case table_sync_messages.TableNews():
            return sync.on_news(message, now=now)
        case table_sync_messages.TablePull():
            return sync.on_pull(message)
        case table_sync_messages.TablePush():
            return sync.on_push(message)
        case _:
            return SyncStep()
