"""The ledger part of every process that puts records: entries and sidecars.

A put goes to the shard's likely owner: the last one that answered or was
named, else the entries in the order of the rendezvous hash. A put that an
owner accepted without durability is retained here and handed in again when
another owner, recognised by a higher fence, holds the shard; the values that
were told go along, so that the new owner repeats them. One retained put a
shard is sent again each period, which finds a change of owner; the others
follow only then.
"""

import collections.abc
import dataclasses
import random

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous

Status = ledger_records.PutStatus
KEPT_STATUSES = frozenset({Status.STORED, Status.EXISTING})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Times in seconds and bounds of a client.

    Attributes:
        try_timeout_s: Mean wait for an answer before the next try.
        redirect_s: Mean wait before the next entry after a not-owner answer.
        give_up_s: When a put or get without an answer fails.
        resend_s: Mean time between checks of the owner of retained puts.
        open_puts: Bound on puts that are not settled, retained ones included.
        retained_bytes: Bound on the bytes of puts not settled.
    """

    try_timeout_s: float = 0.5
    redirect_s: float = 0.05
    give_up_s: float = 3.0
    resend_s: float = 1.0
    open_puts: int = 20_000
    retained_bytes: int = 4_194_304


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PutSettled:
    """An event: an owner answered a put.

    Attributes:
        put_id: The put.
        statuses: One for each record; STORED or EXISTING.
        durable: The store holds the records. If not, another PutSettled
            follows once it does, whose statuses count if they differ.
    """

    put_id: int
    statuses: tuple[ledger_records.RecordStatus, ...]
    durable: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PutFailed:
    """An event: a put was refused or given up.

    Attributes:
        put_id: The put.
        statuses: UNAVAILABLE records were not kept; UNKNOWN ones may be or
            become durable.
    """

    put_id: int
    statuses: tuple[ledger_records.RecordStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetSettled:
    """An event: the durable records found; None when it was given up."""

    get_id: int
    records: tuple[ledger_records.Record, ...] | None


ClientEvent = PutSettled | PutFailed | GetSettled


@dataclasses.dataclass(frozen=True, slots=True)
class ClientStep:
    """What one call of the client led to.

    Attributes:
        sends: Messages to send.
        events: Results for the caller.
        ids: The new put or get ids, one a shard, in the order of shards.
    """

    sends: list[effects.Send] = dataclasses.field(default_factory=list)
    events: list[ClientEvent] = dataclasses.field(default_factory=list)
    ids: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class OpenCall:
    """A put or get without a final answer.

    Attributes:
        call_id: The put or get id.
        shard: Its shard.
        records: What to put; empty for a get.
        keys: What to get; empty for a put.
        wait_durable: As in the put.
        give_up_at: When it fails, unless it is retained.
        next_send_at: When the next try is due.
        asked: Entries that were tried or said that they are not the owner,
            in this round.
        is_resend: A former owner had accepted the records.
        told: The statuses that the caller was told without durability.
        fence: The fence of the owner that accepted it; 0 if none.
    """

    call_id: int
    shard: int
    records: tuple[ledger_records.Record, ...]
    keys: tuple[str, ...]
    wait_durable: bool
    give_up_at: float
    next_send_at: float
    size: int
    asked: set[str] = dataclasses.field(default_factory=set)
    is_resend: bool = False
    told: tuple[ledger_records.RecordStatus, ...] | None = None
    fence: int = 0


class LedgerClient:
    """Puts and gets records wherever their shards are owned.

    Attributes:
        address: This process's peer address.
        open: Calls without a final answer, by id.
    """

    def __init__(
        self,
        *,
        address: str,
        shards: int,
        rng: random.Random,
        limits: ClientLimits | None = None,
    ) -> None:
        self.address = address
        self.shards = shards
        self.rng = rng
        self.limits = limits or ClientLimits()
        self.live: frozenset[str] = frozenset()
        self.open: dict[int, OpenCall] = {}
        self.open_bytes = 0
        self.owners: dict[int, str] = {}
        self.fences: dict[int, int] = {}
        self.checked_at: dict[int, float] = {}
        # A random start keeps answers to an earlier run from matching.
        self.last_id = rng.getrandbits(52)

    def set_live(
        self, *, now: float, names: collections.abc.Iterable[str]
    ) -> ClientStep:
        """Takes the live entries' peer addresses."""
        del now
        self.live = frozenset(names)
        self.owners = {
            shard: name
            for shard, name in self.owners.items()
            if name in self.live
        }
        return ClientStep()

    def put(
        self,
        *,
        now: float,
        records: collections.abc.Sequence[ledger_records.Record],
        wait_durable: bool,
        is_resend: bool = False,
    ) -> ClientStep:
        """Puts records, with one put for each shard among their keys.

        Records of one put are kept together or not at all; those of
        different shards are independent.

        Args:
            now: The time in seconds.
            records: What to put.
            wait_durable: As in the put.
            is_resend: A former owner had accepted the records; a new owner
                takes them before it answers for unknown keys.
        """
        step = ClientStep()
        by_shard: dict[int, list[ledger_records.Record]] = {}
        for record in records:
            shard = ledger_records.shard_of(record.key, self.shards)
            by_shard.setdefault(shard, []).append(record)
        for shard in sorted(by_shard):
            call = self.new_call(now, shard)
            call.records = tuple(by_shard[shard])
            call.wait_durable = wait_durable
            call.is_resend = is_resend
            call.size = sum(
                len(record.key) + len(record.value) for record in call.records
            )
            self.admit(step, now, call)
        return step

    def get(
        self, *, now: float, keys: collections.abc.Sequence[str]
    ) -> ClientStep:
        """Asks for the durable records of keys, one get for each shard."""
        step = ClientStep()
        by_shard: dict[int, list[str]] = {}
        for key in keys:
            shard = ledger_records.shard_of(key, self.shards)
            by_shard.setdefault(shard, []).append(key)
        for shard in sorted(by_shard):
            call = self.new_call(now, shard)
            call.keys = tuple(by_shard[shard])
            self.admit(step, now, call)
        return step

    def message(
        self,
        *,
        now: float,
        message: ledger_messages.LedgerReply
        | ledger_messages.LedgerNotOwner
        | ledger_messages.LedgerValues,
    ) -> ClientStep:
        """Takes an owner's answer."""
        step = ClientStep()
        if isinstance(message, ledger_messages.LedgerNotOwner):
            self.take_not_owner(now, message)
        elif isinstance(message, ledger_messages.LedgerValues):
            self.note_owner(now, message.shard, message.owner, message.fence)
            if self.close(message.get_id) is not None:
                step.events.append(
                    GetSettled(get_id=message.get_id, records=message.records)
                )
        else:
            self.note_owner(now, message.shard, message.owner, message.fence)
            self.take_reply(step, now, message)
        return step

    def tick(self, *, now: float) -> ClientStep:
        """Sends what is due and gives up what is too old."""
        step = ClientStep()
        for call in list(self.open.values()):
            if call.told is None and now >= call.give_up_at:
                self.give_up(step, call)
        self.check_owners(now)
        self.send_due(step, now)
        return step

    # Calls.

    def new_call(self, now: float, shard: int) -> OpenCall:
        """Returns a call that is due at once."""
        self.last_id += 1
        return OpenCall(
            call_id=self.last_id,
            shard=shard,
            records=(),
            keys=(),
            wait_durable=True,
            give_up_at=now + self.limits.give_up_s,
            next_send_at=now,
            size=0,
        )

    def admit(self, step: ClientStep, now: float, call: OpenCall) -> None:
        """Sends a new call, or refuses it when too much is open."""
        step.ids.append(call.call_id)
        size = self.open_bytes + call.size
        is_full = len(self.open) >= self.limits.open_puts
        if is_full or size > self.limits.retained_bytes:
            self.fail(step, call, Status.UNAVAILABLE)
            return
        self.open[call.call_id] = call
        self.open_bytes = size
        self.send(step, now, call)

    def close(self, call_id: int) -> OpenCall | None:
        """Forgets an open call and returns it."""
        call = self.open.pop(call_id, None)
        if call is not None:
            self.open_bytes -= call.size
        return call

    def give_up(self, step: ClientStep, call: OpenCall) -> None:
        """Ends a call that no owner answered."""
        self.close(call.call_id)
        self.fail(step, call, Status.UNKNOWN)

    def fail(self, step: ClientStep, call: OpenCall, status: Status) -> None:
        """Adds the event of a call that failed."""
        if call.keys:
            step.events.append(GetSettled(get_id=call.call_id, records=None))
            return
        statuses = tuple(
            ledger_records.RecordStatus(record.key, status, b"")
            for record in call.records
        )
        step.events.append(PutFailed(put_id=call.call_id, statuses=statuses))

    def send_due(self, step: ClientStep, now: float) -> None:
        """Sends every call whose next try is due."""
        for call in self.open.values():
            if call.next_send_at <= now:
                self.send(step, now, call)

    def send(self, step: ClientStep, now: float, call: OpenCall) -> None:
        """Sends one try to the likeliest owner not asked in this round."""
        call.next_send_at = now + self.jitter(self.limits.try_timeout_s)
        target = self.pick_target(call)
        if target is None:
            return
        call.asked.add(target)
        message: effects.Message
        if call.keys:
            message = ledger_messages.LedgerGet(
                get_id=call.call_id,
                reply_to=self.address,
                shard=call.shard,
                keys=call.keys,
            )
        else:
            message = ledger_messages.LedgerPut(
                put_id=call.call_id,
                reply_to=self.address,
                shard=call.shard,
                records=call.records,
                wait_durable=call.wait_durable,
                resend=call.is_resend or call.told is not None,
            )
        step.sends.append(effects.Send(target, message))

    def pick_target(self, call: OpenCall) -> str | None:
        """Returns the entry to ask next; starts a new round after the last."""
        owner = self.owners.get(call.shard)
        if owner is not None and owner not in call.asked:
            return owner
        subject = ledger_records.shard_subject(call.shard)
        ranked = rendezvous.rank(subject, self.live)
        for name in ranked:
            if name not in call.asked:
                return name
        call.asked.clear()
        return owner or (ranked[0] if ranked else None)

    def jitter(self, mean_s: float) -> float:
        """Returns a wait of 0.5 to 1.5 times the mean."""
        return mean_s * self.rng.uniform(0.5, 1.5)

    # Answers.

    def take_not_owner(
        self, now: float, message: ledger_messages.LedgerNotOwner
    ) -> None:
        """Goes on to the entry named, or to the next by rank."""
        if self.owners.get(message.shard) == message.sender:
            del self.owners[message.shard]
        call = self.open.get(message.put_id)
        if call is None:
            return
        call.asked.add(message.sender)
        if message.hint in self.live and message.hint not in call.asked:
            self.owners[message.shard] = message.hint
        call.next_send_at = now + self.jitter(self.limits.redirect_s)

    def note_owner(
        self, now: float, shard: int, owner: str, fence: int
    ) -> None:
        """Remembers the owner with the highest fence.

        A higher fence than before makes the shard's retained puts due, spread
        over a fraction of a second.
        """
        known = self.fences.get(shard, 0)
        if fence < known:
            return
        self.owners[shard] = owner
        self.fences[shard] = fence
        if fence == known:
            return
        for call in self.open.values():
            if call.shard == shard and 0 < call.fence < fence:
                call.asked.clear()
                call.next_send_at = now + self.jitter(self.limits.redirect_s)

    def take_reply(
        self,
        step: ClientStep,
        now: float,
        reply: ledger_messages.LedgerReply,
    ) -> None:
        """Settles a put, retains it, or lets it fail."""
        call = self.open.get(reply.put_id)
        if call is None:
            return
        is_kept = all(
            status.status in KEPT_STATUSES for status in reply.statuses
        )
        if is_kept and reply.durable:
            self.close(call.call_id)
            self.add_settled(step, reply)
            self.send_next(step, now, call)
        elif is_kept:
            self.retain(step, call, reply)
        elif call.told is None:
            self.close(call.call_id)
            step.events.append(
                PutFailed(put_id=reply.put_id, statuses=reply.statuses)
            )
        else:
            # A retained put is handed in until an owner takes it.
            call.next_send_at = now + self.jitter(self.limits.resend_s)

    def add_settled(
        self, step: ClientStep, reply: ledger_messages.LedgerReply
    ) -> None:
        """Adds the event of a put that an owner answered."""
        step.events.append(
            PutSettled(
                put_id=reply.put_id,
                statuses=reply.statuses,
                durable=reply.durable,
            )
        )

    def retain(
        self,
        step: ClientStep,
        call: OpenCall,
        reply: ledger_messages.LedgerReply,
    ) -> None:
        """Holds a put, with the values told, until it is durable."""
        if reply.fence < call.fence:
            return
        call.fence = reply.fence
        call.next_send_at = float("inf")
        call.asked.clear()
        if call.told == reply.statuses:
            return
        call.told = reply.statuses
        call.records = tuple(
            with_told_value(record, status)
            for record, status in zip(call.records, reply.statuses, strict=True)
        )
        self.add_settled(step, reply)

    def send_next(
        self, step: ClientStep, now: float, settled: OpenCall
    ) -> None:
        """After a retained put settled, asks about the shard's next one."""
        if settled.told is None:
            return
        for call in self.open.values():
            if call.shard == settled.shard and call.told is not None:
                self.send(step, now, call)
                return

    def check_owners(self, now: float) -> None:
        """Makes the oldest retained put of each shard due now and then."""
        seen: set[int] = set()
        for call in self.open.values():
            if call.told is None or call.shard in seen:
                continue
            seen.add(call.shard)
            if now >= self.checked_at.get(call.shard, 0.0):
                wait_s = self.jitter(self.limits.resend_s)
                self.checked_at[call.shard] = now + wait_s
                call.next_send_at = min(call.next_send_at, now)


def with_told_value(
    record: ledger_records.Record, status: ledger_records.RecordStatus
) -> ledger_records.Record:
    """Returns the record with the value that its key was said to have."""
    if not status.value:
        return record
    return ledger_records.Record(record.key, record.kind, status.value)
