"""Brings the newest table to a process, whichever way is open.

A few entries of each data centre watch the table's object and also read it
every second, since watch answers come late and with gaps. Everyone else
learns from peers: each heartbeat tells (revision, digest), and the process
with the lower revision pulls. Whoever adopts a revision tells its neighbours
at once, so that an edit passes in network hops rather than in heartbeat
intervals. An entry that hears no confirmation for some time reads the object
itself.

Only a higher revision is applied. One revision with two digests is a fault;
the store's copy then decides.
"""

from collections.abc import Mapping
import dataclasses
import random

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import store
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import table_sync_messages

TABLE_KEY = "table"
READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 1.0
READ_JITTER = 0.2
ASK_AFTER_S = 2.5
WATCH_TIMEOUT_S = 30.0
WATCH_RETRY_S = 1.0
REPLY_GRACE_S = 1.0
PULL_TIMEOUT_S = 1.0

FAILED_OUTCOMES = frozenset(
    {store.StoreOutcome.UNAVAILABLE, store.StoreOutcome.UNKNOWN}
)


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """A store call without an answer yet."""

    call_id: int
    sent_at: float
    timeout_s: float

    def is_lost(self, *, now: float) -> bool:
        """Returns whether no answer can be expected any more."""
        return now - self.sent_at > self.timeout_s + REPLY_GRACE_S


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPull:
    """A pull without an answer yet."""

    revision: int
    sent_at: float

    def covers(self, revision: int, *, now: float) -> bool:
        """Returns whether its answer may still bring the revision."""
        in_time = now - self.sent_at < PULL_TIMEOUT_S
        return in_time and self.revision >= revision


class TableSync:
    """The table of one process and where it gets the next one.

    Attributes:
        name: This process.
        address: Its peer address.
        revision: The table's revision; 0 without a table.
        digest: The table's digest.
        raw: The table in its stored form.
        watching: Whether this process watches the store.
        neighbours: The addresses of the processes to tell news to, by name.
        read: The read in flight.
        watch: The watch in flight.
        watch_revision: The store revision to watch from.
        pull: The pull in flight.
        contested: Whether a peer holds this revision with another digest.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        decode: table_sync_events.TableDecoder,
        call_ids: effects.CallIds,
        rng: random.Random,
        reads_unconfirmed: bool = True,
    ) -> None:
        """Makes the state of a process without a table.

        Args:
            name: This process.
            address: Its peer address, "ip:port".
            decode: Reads revision and digest out of stored tables.
            call_ids: Where ids of store calls come from.
            rng: Spreads reads over time.
            reads_unconfirmed: Whether to read the store when confirmations
                stay away: on for entries, off for sidecars.
        """
        self.name = name
        self.address = address
        self.decode = decode
        self.call_ids = call_ids
        self.rng = rng
        self.reads_unconfirmed = reads_unconfirmed
        self.revision = 0
        self.digest = 0
        self.raw = b""
        self.watching = False
        self.neighbours: Mapping[str, str] = {}
        self.read: PendingCall | None = None
        self.watch: PendingCall | None = None
        self.watch_revision = 0
        self.next_read_at: float | None = None
        self.next_watch_at = 0.0
        self.pull: PendingPull | None = None
        self.contested = False

    def tick(
        self,
        *,
        now: float,
        watching: bool,
        confirmed_age_s: float | None,
        neighbours: Mapping[str, str],
        failure_heard: bool = False,
    ) -> table_sync_events.SyncStep:
        """Reads and watches as is due; call it several times a second.

        Args:
            now: Seconds.
            watching: Whether this process watches the store.
            confirmed_age_s: How old the table's confirmation is; None if
                there is none.
            neighbours: The addresses to tell news to, by process name.
            failure_heard: Whether a peer's store calls fail: then this
                process asks the store itself at once.
        """
        self.watching = watching
        self.neighbours = neighbours
        step = table_sync_events.SyncStep()
        if self.read is not None and self.read.is_lost(now=now):
            step.events.append(table_sync_events.StoreFailed(self.read.sent_at))
            self.read = None
        if self.watch is not None and self.watch.is_lost(now=now):
            self.watch = None
        if self.next_read_at is None:
            # A process that starts first gives its peers time to answer.
            self.next_read_at = now if watching else self.plan(now)
        unsure = confirmed_age_s is None or confirmed_age_s > ASK_AFTER_S
        wanted = self.reads_unconfirmed and (unsure or failure_heard)
        if (watching or wanted or self.contested) and self.is_read_due(now):
            step.effects.append(self.make_read(now))
        if watching and self.watch is None and now >= self.next_watch_at:
            step.effects.append(self.make_watch(now))
        return step

    def plan(self, now: float) -> float:
        """Returns when the next read may go out."""
        return now + READ_INTERVAL_S * self.rng.uniform(
            1 - READ_JITTER, 1 + READ_JITTER
        )

    def is_read_due(self, now: float) -> bool:
        """Returns whether a read may go out now."""
        return (
            self.read is None
            and self.next_read_at is not None
            and now >= self.next_read_at
        )

    def make_read(self, now: float) -> store.StoreCall:
        """Returns a read of the table."""
        self.next_read_at = self.plan(now)
        self.read = PendingCall(self.call_ids.allocate(), now, READ_TIMEOUT_S)
        return store.StoreCall(
            call_id=self.read.call_id,
            operation=store.StoreOperation.GET,
            key=TABLE_KEY,
            timeout_s=READ_TIMEOUT_S,
        )

    def make_watch(self, now: float) -> store.StoreCall:
        """Returns a watch for the next change of the table."""
        self.next_watch_at = now + WATCH_RETRY_S
        self.watch = PendingCall(self.call_ids.allocate(), now, WATCH_TIMEOUT_S)
        return store.StoreCall(
            call_id=self.watch.call_id,
            operation=store.StoreOperation.WATCH,
            key=TABLE_KEY,
            expected_version=self.watch_revision,
            timeout_s=WATCH_TIMEOUT_S,
        )

    def owns_call(self, call_id: int) -> bool:
        """Returns whether a store reply is for this part."""
        pending = (self.read, self.watch)
        return any(p is not None and p.call_id == call_id for p in pending)

    def on_store_reply(
        self, reply: store.StoreReply, *, now: float
    ) -> table_sync_events.SyncStep:
        """Takes the answer to a read or a watch; ignores any other."""
        if self.read is not None and self.read.call_id == reply.call_id:
            sent_at = self.read.sent_at
            self.read = None
            return self.take_read(reply, sent_at, now)
        if self.watch is not None and self.watch.call_id == reply.call_id:
            self.watch = None
            return self.take_watch(reply, now)
        return table_sync_events.SyncStep()

    def take_read(
        self, reply: store.StoreReply, sent_at: float, now: float
    ) -> table_sync_events.SyncStep:
        """Takes the answer to a read that was sent at `sent_at`."""
        if reply.outcome in FAILED_OUTCOMES:
            return table_sync_events.SyncStep(
                events=[table_sync_events.StoreFailed(sent_at)]
            )
        if reply.outcome is store.StoreOutcome.NOT_FOUND:
            if self.revision == 0:
                return table_sync_events.SyncStep(
                    events=[table_sync_events.StoreConfirmed(0, sent_at)]
                )
            return table_sync_events.SyncStep(
                events=[
                    table_sync_events.TableFault("store", "the table is gone")
                ]
            )
        if reply.outcome is not store.StoreOutcome.OK:
            return table_sync_events.SyncStep(
                events=[table_sync_events.StoreAnswered(now)]
            )
        step = table_sync_events.SyncStep()
        for stored in reply.objects:
            if stored.key != TABLE_KEY:
                continue
            found = self.take_raw(stored.value, step, source="store")
            if found is not None:
                step.events.append(
                    table_sync_events.StoreConfirmed(found.revision, sent_at)
                )
        return step

    def take_watch(
        self, reply: store.StoreReply, now: float
    ) -> table_sync_events.SyncStep:
        """Takes the answer to a watch; it confirms nothing, being late."""
        if reply.outcome is not store.StoreOutcome.OK:
            self.next_watch_at = max(self.next_watch_at, self.plan(now))
            return table_sync_events.SyncStep()
        self.next_watch_at = now
        if reply.revision <= self.watch_revision:
            # An answer that brings nothing new must not loop at once.
            self.next_watch_at = self.plan(now)
        self.watch_revision = reply.revision
        step = table_sync_events.SyncStep()
        for stored in reply.objects:
            if stored.key == TABLE_KEY:
                self.take_raw(stored.value, step, source="store")
        return step

    def on_peer_table(
        self,
        *,
        name: str,
        address: str,
        revision: int,
        digest: int,
        now: float,
    ) -> table_sync_events.SyncStep:
        """Compares with what a peer says; pulls if the peer is ahead."""
        if revision == self.revision and digest != self.digest:
            return self.contest(name)
        if revision <= self.revision:
            return table_sync_events.SyncStep()
        if self.pull is not None and self.pull.covers(revision, now=now):
            return table_sync_events.SyncStep()
        self.pull = PendingPull(revision, now)
        message = table_sync_messages.TablePull(
            name=self.name, address=self.address, revision=self.revision
        )
        return table_sync_events.SyncStep(
            effects=[effects.Send(address, message)]
        )

    def contest(self, source: str) -> table_sync_events.SyncStep:
        """Reports one revision with two digests and has the store read."""
        if self.contested:
            return table_sync_events.SyncStep()
        self.contested = True
        detail = f"revision {self.revision} has two digests"
        return table_sync_events.SyncStep(
            events=[table_sync_events.TableFault(source, detail)]
        )

    def on_news(
        self, message: table_sync_messages.TableNews, *, now: float
    ) -> table_sync_events.SyncStep:
        """Takes a neighbour's word that it adopted a revision."""
        return self.on_peer_table(
            name=message.name,
            address=message.address,
            revision=message.revision,
            digest=message.digest,
            now=now,
        )

    def on_pull(
        self, message: table_sync_messages.TablePull
    ) -> table_sync_events.SyncStep:
        """Answers a pull if this table is newer."""
        if message.revision >= self.revision:
            return table_sync_events.SyncStep()
        push = table_sync_messages.TablePush(name=self.name, raw=self.raw)
        return table_sync_events.SyncStep(
            effects=[effects.Send(message.address, push)]
        )

    def on_push(
        self, message: table_sync_messages.TablePush
    ) -> table_sync_events.SyncStep:
        """Takes a table from a peer."""
        step = table_sync_events.SyncStep()
        self.take_raw(message.raw, step, source=message.name)
        return step

    def on_written(self, raw: bytes) -> table_sync_events.SyncStep:
        """Takes the table that this process itself wrote to the store."""
        step = table_sync_events.SyncStep()
        self.take_raw(raw, step, source="store")
        return step

    def take_raw(
        self, raw: bytes, step: table_sync_events.SyncStep, *, source: str
    ) -> table_sync_events.VersionedTable | None:
        """Adopts a table if it is newer, or if the store settles a contest.

        Returns:
            What the table says of itself; None if it can't be read.
        """
        try:
            found = self.decode(raw)
        except errors.RhubarbbankError as error:
            step.events.append(table_sync_events.TableFault(source, str(error)))
            return None
        settles = source == "store" and found.revision == self.revision
        if settles:
            self.contested = False
        differs = found.digest != self.digest
        if found.revision > self.revision or (settles and differs):
            self.adopt(found, raw, step, source)
        elif found.revision == self.revision and differs:
            step.events += self.contest(source).events
        return found

    def adopt(
        self,
        found: table_sync_events.VersionedTable,
        raw: bytes,
        step: table_sync_events.SyncStep,
        source: str,
    ) -> None:
        """Puts a table in force and tells the neighbours."""
        self.revision = found.revision
        self.digest = found.digest
        self.raw = raw
        self.contested = False
        if self.pull is not None and self.pull.revision <= found.revision:
            self.pull = None
        step.events.append(
            table_sync_events.TableAdopted(found.revision, found.digest, raw)
        )
        news = table_sync_messages.TableNews(
            name=self.name,
            address=self.address,
            revision=found.revision,
            digest=found.digest,
        )
        step.effects += [
            effects.Send(address, news)
            for name, address in sorted(self.neighbours.items())
            if name != source
        ]
