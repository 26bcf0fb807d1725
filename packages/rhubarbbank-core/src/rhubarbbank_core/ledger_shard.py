"""One owned shard: puts, group commit, and the proof of still owning it.

New records wait in the backlog; a flush seals them into the next segment, one
flush in flight at a time, and what arrives meanwhile waits for the next one.
A sealed segment keeps its bytes over all retries. The shard is lost as soon
as the store shows a segment of another owner; all state is dropped then.
"""

import dataclasses
import enum

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_backlog
from rhubarbbank_core import ledger_checkpoint
from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_deputy
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_takeover
from rhubarbbank_core import store

Status = ledger_records.PutStatus


class LogCall(enum.Enum):
    """What the log call in flight is for."""

    NONE = enum.auto()
    FLUSH = enum.auto()
    CONFIRM = enum.auto()
    RELEASE = enum.auto()
    RENEW = enum.auto()


@dataclasses.dataclass(slots=True)
class Waiter:
    """A put that waits for the commit of some of its keys.

    Attributes:
        put: The put.
        statuses: How its records stand once those keys are committed.
        keys: The keys that it waits for.
    """

    put: ledger_messages.LedgerPut
    statuses: tuple[ledger_records.RecordStatus, ...]
    keys: set[str]


class OwnedShard:
    """The state of one shard at its owner.

    Attributes:
        is_lost: Another owner holds the shard, or it was released.
        is_closing: A release is on its way; nothing more is taken.
        is_releasing: New puts are sent to the preferred owner.
        lost_to: The peer address of the other owner, if known.
        leases: The slices leased by an owner that released the shard.
        former: The owner before, if any.
        naming: The deputy that the log names.
    """

    def __init__(
        self,
        *,
        context: ledger_context.LedgerContext,
        shard: int,
        taken: ledger_takeover.Taken,
        now: float,
    ) -> None:
        self.context = context
        self.shard = shard
        self.memory = taken.memory
        self.fence = taken.fence
        self.confirmed_at = taken.confirmed_at
        self.checkpointer = ledger_checkpoint.Checkpointer(
            context=context,
            shard=shard,
            version=taken.checkpoint_version,
            sequence=taken.checkpoint_sequence,
            covered_segments=taken.covered_segments,
            now=now,
        )
        self.grace_until = now
        self.origin = taken.origin
        self.leases = taken.leases
        self.former = taken.former
        self.naming = ledger_deputy.DeputyNaming(
            context=context, shard=shard, settled=taken.deputy
        )
        self.owned_since = now
        if taken.origin == ledger_takeover.ShardOrigin.SEIZED:
            self.grace_until = now + context.timing.grace_s
        self.deferred: list[ledger_messages.LedgerPut] = []
        self.backlog = ledger_backlog.Backlog()
        self.waiters: dict[tuple[str, int], Waiter] = {}
        self.in_outage = False
        self.log_call = LogCall.NONE
        self.log_call_id = 0
        self.sent_at = 0.0
        self.retry_at = 0.0
        self.failures = 0
        self.must_confirm = False
        self.is_lost = False
        self.is_releasing = False
        self.is_closing = False
        self.lost_to = ""

    # Puts and gets.

    def put(
        self, *, now: float, put: ledger_messages.LedgerPut
    ) -> list[effects.CoordinationEffect]:
        """Takes a put: answers it, or lets it wait for a commit."""
        if self.is_closing:
            return [self.not_owner(put.reply_to, put.put_id)]
        waiter, fresh = self.compare(put, now=now)
        if not waiter.keys:
            return [self.answer(waiter, durable=True)]
        if fresh and self.must_defer(put, fresh, now=now):
            return self.defer(put)
        if not self.has_room(put, fresh):
            return [self.refuse(put, now=now)]
        for record in fresh.values():
            self.backlog.add(record)
        self.waiters[put.reply_to, put.put_id] = waiter
        if self.in_outage:
            return [self.answer(waiter, durable=False)]
        return []

    def compare(
        self, put: ledger_messages.LedgerPut, *, now: float
    ) -> tuple[Waiter, dict[str, ledger_records.Record]]:
        """Compares a put with what its keys have.

        Returns:
            How the put stands once the keys that it waits for are committed,
            and those of its records whose keys are new.
        """
        statuses: list[ledger_records.RecordStatus] = []
        waiting: set[str] = set()
        fresh: dict[str, ledger_records.Record] = {}
        for record in put.records:
            status = self.status_of(record, fresh, now=now)
            if status is None:
                fresh[record.key] = record
                status = ledger_records.RecordStatus(
                    record.key, Status.STORED, record.value
                )
            if record.key in fresh or self.backlog.find(record.key):
                waiting.add(record.key)
            statuses.append(status)
        return Waiter(put, tuple(statuses), waiting), fresh

    def status_of(
        self,
        record: ledger_records.Record,
        fresh: dict[str, ledger_records.Record],
        *,
        now: float,
    ) -> ledger_records.RecordStatus | None:
        """Returns how a record stands against what its key has, if any."""
        found = (
            fresh.get(record.key)
            or self.backlog.find(record.key)
            or self.memory.find(record.key, now=now)
        )
        if found is None:
            return None
        status = Status.EXISTING
        if found.value == record.value and found.kind == record.kind:
            status = Status.STORED
        return ledger_records.RecordStatus(record.key, status, found.value)

    def must_defer(
        self,
        put: ledger_messages.LedgerPut,
        fresh: dict[str, ledger_records.Record],
        *,
        now: float,
    ) -> bool:
        """Whether a former owner may have accepted other values."""
        if put.resend or now >= self.grace_until:
            return False
        return any(
            record.kind
            in {
                ledger_records.RecordKind.PIN,
                ledger_records.RecordKind.CLAIM,
            }
            for record in fresh.values()
        )

    def defer(
        self, put: ledger_messages.LedgerPut
    ) -> list[effects.CoordinationEffect]:
        """Keeps a put until the grace window ends."""
        if self.in_outage or len(self.deferred) >= self.context.timing.waiters:
            return [self.refuse(put, now=self.grace_until)]
        self.deferred.append(put)
        return []

    def has_room(
        self,
        put: ledger_messages.LedgerPut,
        fresh: dict[str, ledger_records.Record],
    ) -> bool:
        """Whether all fresh records of a put may be taken."""
        if self.in_outage and put.wait_durable:
            return False
        timing = self.context.timing
        if len(self.waiters) >= timing.waiters:
            return False
        size = sum(ledger_memory.size_of(record) for record in fresh.values())
        if self.backlog.size_bytes + size > timing.pending_bytes:
            return False
        return all(
            len(record.value) <= ledger_records.MAX_VALUE_BYTES
            and self.memory.has_room(
                record,
                waiting=self.backlog.counts,
                waiting_bytes=self.backlog.kind_bytes,
            )
            for record in fresh.values()
        )

    def answer(self, waiter: Waiter, *, durable: bool) -> effects.Send:
        """Returns the reply to a put."""
        reply = ledger_messages.LedgerReply(
            put_id=waiter.put.put_id,
            shard=self.shard,
            statuses=waiter.statuses,
            durable=durable,
            owner=self.context.name,
            fence=self.fence,
        )
        return effects.Send(waiter.put.reply_to, reply)

    def refuse(
        self, put: ledger_messages.LedgerPut, *, now: float
    ) -> effects.Send:
        """Returns a reply that says which records are not kept."""
        statuses = tuple(
            self.refusal_of(record, now=now) for record in put.records
        )
        return self.answer(Waiter(put, statuses, set()), durable=False)

    def refusal_of(
        self, record: ledger_records.Record, *, now: float
    ) -> ledger_records.RecordStatus:
        """Returns the status of one record of a refused put."""
        if record.key in self.backlog.sealed:
            return ledger_records.RecordStatus(record.key, Status.UNKNOWN, b"")
        found = self.status_of(record, {}, now=now)
        if found is None or record.key in self.backlog.pending:
            return ledger_records.RecordStatus(
                record.key, Status.UNAVAILABLE, b""
            )
        return found

    def get(
        self, *, now: float, get: ledger_messages.LedgerGet
    ) -> list[effects.CoordinationEffect]:
        """Answers with the committed records among the keys."""
        found = [self.memory.find(key, now=now) for key in get.keys]
        values = ledger_messages.LedgerValues(
            get_id=get.get_id,
            shard=self.shard,
            records=tuple(record for record in found if record is not None),
            owner=self.context.name,
            fence=self.fence,
        )
        return [effects.Send(get.reply_to, values)]

    # Time and outages.

    def tick(
        self, *, now: float, outage_confirmed: bool
    ) -> list[effects.CoordinationEffect]:
        """Follows the outage state and ends the grace window."""
        out: list[effects.CoordinationEffect] = []
        if outage_confirmed and not self.in_outage:
            out.extend(self.enter_outage(now))
        self.in_outage = outage_confirmed
        if self.deferred and (now >= self.grace_until or self.in_outage):
            deferred, self.deferred = self.deferred, []
            for put in deferred:
                out.extend(self.put(now=now, put=put))
        return out

    def enter_outage(self, now: float) -> list[effects.CoordinationEffect]:
        """Answers all that waits: what may, without durability."""
        out: list[effects.CoordinationEffect] = []
        kept: dict[tuple[str, int], Waiter] = {}
        for waiter_key, waiter in self.waiters.items():
            if waiter.put.wait_durable:
                out.append(self.refuse(waiter.put, now=now))
                continue
            kept[waiter_key] = waiter
            out.append(self.answer(waiter, durable=False))
        self.waiters = kept
        wanted: set[str] = set()
        for waiter in kept.values():
            wanted |= waiter.keys
        self.backlog.keep_only(wanted)
        return out

    # Log calls.

    def wants_log_call(self, *, now: float) -> bool:
        """Whether a flush, confirmation or release could go out now."""
        if self.is_lost or self.log_call != LogCall.NONE:
            return False
        if now < self.retry_at:
            return False
        if self.must_flush() or self.is_drained():
            return True
        age_s = now - self.confirmed_at
        return not self.in_outage and age_s > self.context.timing.renew_after_s

    def is_drained(self) -> bool:
        """Whether the shard is to be released and nothing is left."""
        if self.is_closing:
            return True
        return (
            self.is_releasing
            and not self.in_outage
            and self.backlog.is_empty()
            and not self.backlog.sealed_value
            and not self.deferred
        )

    def must_flush(self) -> bool:
        """Whether a segment is due, be it to name another deputy."""
        backlog = self.backlog
        is_due = bool(backlog.sealed_value) or not backlog.is_empty()
        return is_due or self.naming.is_due()

    def next_log_call(self, *, now: float) -> store.StoreCall:
        """Returns the next log call."""
        self.sent_at = now
        age_s = now - self.confirmed_at
        if self.must_confirm or age_s > self.context.timing.confirm_after_s:
            self.log_call = LogCall.CONFIRM
            call = self.context.new_call(
                store.StoreOperation.LIST, ledger_log.log_prefix(self.shard)
            )
        elif not self.must_flush() and not self.is_drained():
            self.log_call = LogCall.RENEW
            call = self.context.new_call(
                store.StoreOperation.GET,
                ledger_log.segment_key(self.shard, self.memory.sequence + 1),
            )
        elif self.is_drained():
            self.log_call = LogCall.RELEASE
            # The release may take effect even if its answer is lost, and the
            # next owner then trusts that nothing was accepted after it.
            self.is_closing = True
            segment = self.context.new_segment(
                fence=self.fence,
                released=True,
                leases=self.context.leases.report(now=now, shard=self.shard),
            )
            call = self.create_call(ledger_log.encode(segment))
        else:
            self.log_call = LogCall.FLUSH
            if not self.backlog.sealed_value:
                self.seal()
            call = self.create_call(self.backlog.sealed_value)
        self.log_call_id = call.call_id
        return call

    def create_call(self, value: bytes) -> store.StoreCall:
        """Returns the creation of the next segment."""
        key = ledger_log.segment_key(self.shard, self.memory.sequence + 1)
        return self.context.new_call(store.StoreOperation.PUT, key, value=value)

    def seal(self) -> None:
        """Fixes the bytes of the next segment."""
        records = self.backlog.seal(max_bytes=self.context.timing.segment_bytes)
        deputy = self.naming.seal(self.memory.sequence + 1)
        segment = self.context.new_segment(
            fence=self.fence, records=records, deputy=deputy
        )
        self.backlog.sealed_value = ledger_log.encode(segment)

    def log_reply(
        self, *, now: float, reply: store.StoreReply
    ) -> list[effects.CoordinationEffect]:
        """Takes the answer to the log call in flight."""
        if reply.call_id != self.log_call_id:
            return []
        log_call, self.log_call = self.log_call, LogCall.NONE
        if log_call == LogCall.RENEW:
            return self.take_renewal(now, reply)
        if reply.outcome == store.StoreOutcome.CONFLICT:
            return self.lose(ledger_log.owner_in(reply.objects))
        if reply.outcome != store.StoreOutcome.OK:
            self.back_off(now)
            return []
        return self.take_log_success(log_call, now, reply)

    def take_log_success(
        self, log_call: LogCall, now: float, reply: store.StoreReply
    ) -> list[effects.CoordinationEffect]:
        """Commits, or goes on after a confirmation or release."""
        self.failures = 0
        if log_call == LogCall.CONFIRM:
            return self.take_confirmation(now, reply)
        if log_call == LogCall.RELEASE:
            return self.lose("")
        if now > self.confirmed_at + self.context.timing.segment_keep_s:
            # The segment may have been created below a newer checkpoint.
            self.must_confirm = True
            return []
        self.confirmed_at = self.sent_at
        return self.commit(now)

    def take_renewal(
        self, now: float, reply: store.StoreReply
    ) -> list[effects.CoordinationEffect]:
        """Takes the absence of the next segment as proof of ownership.

        It proves nothing once a next segment could have been created and
        deleted again since the last confirmation.
        """
        if reply.outcome == store.StoreOutcome.OK:
            return self.lose(ledger_log.owner_in(reply.objects))
        keep_s = self.context.timing.segment_keep_s
        if reply.outcome != store.StoreOutcome.NOT_FOUND:
            self.back_off(now)
        elif now <= self.confirmed_at + keep_s:
            self.failures = 0
            self.confirmed_at = self.sent_at
        return []

    def back_off(self, now: float) -> None:
        """Waits, with jitter, before the next log call."""
        self.retry_at = now + self.context.draw_backoff(self.failures)
        self.failures += 1

    def take_confirmation(
        self, now: float, reply: store.StoreReply
    ) -> list[effects.CoordinationEffect]:
        """Compares the newest segment listed with the own last one."""
        head = max(reply.objects, key=lambda item: item.key, default=None)
        if head is None:
            return self.lose("")
        sequence = ledger_log.sequence_of(head.key)
        backlog = self.backlog
        is_sealed = head.value == backlog.sealed_value
        if sequence == self.memory.sequence + 1 and is_sealed:
            self.must_confirm = False
            self.confirmed_at = self.sent_at
            return self.commit(now)
        if sequence != self.memory.sequence:
            return self.lose(ledger_log.owner_in([head]))
        self.must_confirm = False
        self.confirmed_at = self.sent_at
        return []

    def commit(self, now: float) -> list[effects.CoordinationEffect]:
        """Applies the sealed segment and answers those who waited."""
        committed = self.backlog.commit()
        self.checkpointer.log_bytes += len(self.backlog.sealed_value)
        self.backlog.sealed_value = b""
        self.naming.commit()
        self.memory.apply(
            tuple(committed.values()),
            sequence=self.memory.sequence + 1,
            now=now,
        )
        out: list[effects.CoordinationEffect] = []
        for waiter_key, waiter in list(self.waiters.items()):
            waiter.keys -= committed.keys()
            if not waiter.keys:
                out.append(self.answer(waiter, durable=True))
                del self.waiters[waiter_key]
        return out

    def lose(self, lost_to: str) -> list[effects.CoordinationEffect]:
        """Drops everything and sends those who wait to the other owner."""
        self.is_lost = True
        self.lost_to = lost_to
        puts = [waiter.put for waiter in self.waiters.values()]
        return [
            self.not_owner(put.reply_to, put.put_id)
            for put in [*puts, *self.deferred]
        ]

    def not_owner(self, reply_to: str, put_id: int) -> effects.Send:
        """Returns the answer that this process does not own the shard."""
        return effects.Send(
            reply_to,
            ledger_messages.LedgerNotOwner(
                put_id=put_id,
                shard=self.shard,
                sender=self.context.name,
                hint=self.lost_to,
            ),
        )
