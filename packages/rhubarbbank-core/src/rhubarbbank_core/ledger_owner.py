"""The ledger part of an entry: takes, serves and gives up shards.

The preferred owner of a shard is the first of the live entries by rendezvous
hash; this is only a hint that saves work, since the store's log decides who
owns a shard. All log and checkpoint writes of the process share one token
bucket: a flush goes out at once while there are tokens, and waits its turn
when there are none, so that the commit interval widens with the load.
"""

import collections.abc
import random

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_shard
from rhubarbbank_core import ledger_takeover
from rhubarbbank_core import rendezvous
from rhubarbbank_core import store
from rhubarbbank_core import token_bucket

MAX_TAKE_OVERS = 8
MAX_HELD_MESSAGES = 4096

Inbound = ledger_messages.LedgerPut | ledger_messages.LedgerGet


class LedgerOwner:
    """Owns any number of the ledger's shards.

    The names of live entries are their peer addresses. `outage_confirmed`
    says that the process has established that the store is down for
    everyone: only then are records accepted without durability.

    Attributes:
        owned: The shards held, by number.
        live: The live entries as last set.
        holds_off: The caller sets it while no shard may be taken over, as
            just after an outage in which others may hold accepted records.
        known: All entries that ever lived.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        shards: int,
        call_ids: effects.CallIds,
        rng: random.Random,
        calls_per_s: float,
        timing: ledger_context.LedgerTiming | None = None,
        retention: ledger_memory.Retention | None = None,
        fold: ledger_records.EvidenceFold | None = None,
    ) -> None:
        self.context = ledger_context.LedgerContext(
            name=name,
            incarnation=incarnation,
            call_ids=call_ids,
            rng=rng,
            timing=timing or ledger_context.LedgerTiming(),
            retention=retention or ledger_memory.plan_retention(shards),
            fold=fold or ledger_records.DiscardEvidence(),
        )
        self.shards = shards
        self.bucket = token_bucket.TokenBucket(
            rate_per_s=calls_per_s, burst=max(1.0, calls_per_s)
        )
        self.live: frozenset[str] = frozenset()
        self.known: frozenset[str] = frozenset()
        self.preferred: dict[int, str] = {}
        self.owned: dict[int, ledger_shard.OwnedShard] = {}
        self.taking: dict[int, ledger_takeover.TakeOver] = {}
        self.held: dict[int, list[Inbound]] = {}
        self.calls: dict[int, int] = {}
        self.turn = 0
        self.holds_off = False

    # Events.

    def set_live(
        self, *, now: float, names: collections.abc.Iterable[str]
    ) -> list[effects.CoordinationEffect]:
        """Takes the live entries; take-overs start at the next tick."""
        del now
        self.live = frozenset(names)
        self.known |= self.live
        self.preferred = {}
        for shard in range(self.shards):
            subject = ledger_records.shard_subject(shard)
            name = rendezvous.select(subject, self.live)
            if name is not None:
                self.preferred[shard] = name
        return []

    def message(
        self, *, now: float, message: Inbound, outage_confirmed: bool = False
    ) -> list[effects.CoordinationEffect]:
        """Takes a put or get from a client."""
        shard = message.shard
        owned = self.owned.get(shard)
        if owned is None:
            return self.hold(message, outage_confirmed)
        if owned.is_releasing and not outage_confirmed:
            return [self.not_owner(message)]
        out = owned.tick(now=now, outage_confirmed=outage_confirmed)
        if isinstance(message, ledger_messages.LedgerGet):
            out.extend(owned.get(now=now, get=message))
        else:
            out.extend(owned.put(now=now, put=message))
        self.pump(out, now, outage_confirmed)
        return out

    def store_reply(
        self,
        *,
        now: float,
        reply: store.StoreReply,
        outage_confirmed: bool = False,
    ) -> list[effects.CoordinationEffect]:
        """Takes the final reply to one of this part's store calls."""
        shard = self.calls.pop(reply.call_id, None)
        if shard is None:
            return []
        out: list[effects.CoordinationEffect] = []
        taking = self.taking.get(shard)
        owned = self.owned.get(shard)
        if taking is not None:
            self.take_reply(out, now, taking, reply)
        elif owned is not None:
            out.extend(owned.log_reply(now=now, reply=reply))
            owned.checkpointer.reply(owned.memory, now=now, reply=reply)
            self.drop_if_lost(out, owned)
        self.pump(out, now, outage_confirmed)
        return out

    def tick(
        self, *, now: float, outage_confirmed: bool = False
    ) -> list[effects.CoordinationEffect]:
        """Starts and ends ownership, and sends what waits for its turn."""
        out: list[effects.CoordinationEffect] = []
        for shard, owned in self.owned.items():
            owned.is_releasing = not self.is_preferred(shard)
            out.extend(owned.tick(now=now, outage_confirmed=outage_confirmed))
        self.review_take_overs(out)
        self.pump(out, now, outage_confirmed)
        return out

    def retry_soon(self, *, now: float) -> None:
        """Ends the back-offs of an outage: the store answers again."""
        for taking in self.taking.values():
            taking.retry_at = min(taking.retry_at, now)
            taking.failures = 0
        for owned in self.owned.values():
            owned.retry_at = min(owned.retry_at, now)
            owned.failures = 0

    # Ownership.

    def is_confirmed(self, *, now: float, shard: int, within_s: float) -> bool:
        """Whether the shard was surely owned here `within_s` ago or later."""
        owned = self.owned.get(shard)
        if owned is None or owned.is_closing:
            return False
        return now - owned.confirmed_at <= within_s

    def is_preferred(self, shard: int) -> bool:
        """Whether this entry should own the shard."""
        return self.preferred.get(shard) == self.context.name

    def review_take_overs(self, out: list[effects.CoordinationEffect]) -> None:
        """Starts take-overs of preferred shards and drops the others."""
        for shard in [s for s in self.taking if not self.is_preferred(s)]:
            del self.taking[shard]
            self.drop_held(out, shard)
        if self.holds_off:
            return
        for shard in range(self.shards):
            if len(self.taking) >= MAX_TAKE_OVERS:
                return
            if not self.is_preferred(shard) or shard in self.owned:
                continue
            if shard not in self.taking:
                self.taking[shard] = ledger_takeover.TakeOver(
                    context=self.context, shard=shard
                )

    def take_reply(
        self,
        out: list[effects.CoordinationEffect],
        now: float,
        taking: ledger_takeover.TakeOver,
        reply: store.StoreReply,
    ) -> None:
        """Moves a take-over on; serves what was held once it is done."""
        shard = taking.shard
        for call in taking.reply(
            now=now, reply=reply, gone=self.known - self.live
        ):
            self.send_call(out, shard, call)
        if taking.taken is None:
            return
        del self.taking[shard]
        owned = ledger_shard.OwnedShard(
            context=self.context, shard=shard, taken=taking.taken, now=now
        )
        self.owned[shard] = owned
        for message in self.held.pop(shard, []):
            if isinstance(message, ledger_messages.LedgerGet):
                out.extend(owned.get(now=now, get=message))
            else:
                out.extend(owned.put(now=now, put=message))

    def drop_if_lost(
        self,
        out: list[effects.CoordinationEffect],
        owned: ledger_shard.OwnedShard,
    ) -> None:
        """Forgets a shard that another owner holds or that was released."""
        if owned.checkpointer.is_fenced_off and not owned.is_lost:
            out.extend(owned.lose(""))
        if owned.is_lost:
            del self.owned[owned.shard]

    # Messages that cannot be served here, or not yet.

    def hold(
        self, message: Inbound, outage_confirmed: bool
    ) -> list[effects.CoordinationEffect]:
        """Keeps a message during a take-over, else names the owner."""
        if outage_confirmed or not self.is_preferred(message.shard):
            return [self.not_owner(message)]
        held = self.held.setdefault(message.shard, [])
        if len(held) >= MAX_HELD_MESSAGES:
            return [self.not_owner(message)]
        held.append(message)
        return []

    def drop_held(
        self, out: list[effects.CoordinationEffect], shard: int
    ) -> None:
        """Sends everyone who waits for a take-over to another owner."""
        out.extend(self.not_owner(item) for item in self.held.pop(shard, []))

    def not_owner(self, message: Inbound) -> effects.Send:
        """Returns the answer that names the preferred owner."""
        hint = self.preferred.get(message.shard, "")
        if hint == self.context.name:
            hint = ""
        if isinstance(message, ledger_messages.LedgerGet):
            call_id = message.get_id
        else:
            call_id = message.put_id
        return effects.Send(
            message.reply_to,
            ledger_messages.LedgerNotOwner(
                put_id=call_id,
                shard=message.shard,
                sender=self.context.name,
                hint=hint,
            ),
        )

    # Store calls.

    def pump(
        self,
        out: list[effects.CoordinationEffect],
        now: float,
        outage_confirmed: bool,
    ) -> None:
        """Spends the call budget, shard by shard in turn."""
        if outage_confirmed:
            for shard in list(self.held):
                self.drop_held(out, shard)
        for taking in self.taking.values():
            if self.bucket.refill(now=now) < 1.0:
                return
            for call in taking.tick(now=now):
                self.bucket.try_take(now=now)
                self.send_call(out, taking.shard, call)
        self.pump_checkpoints(out, now, overdue=True)
        order = sorted(self.owned)
        start = self.turn % len(order) if order else 0
        for shard in order[start:] + order[:start]:
            owned = self.owned[shard]
            if owned.wants_log_call(now=now):
                if not self.bucket.try_take(now=now):
                    self.turn = order.index(shard)
                    return
                self.send_call(out, shard, owned.next_log_call(now=now))
        self.pump_checkpoints(out, now, overdue=False)

    def pump_checkpoints(
        self,
        out: list[effects.CoordinationEffect],
        now: float,
        *,
        overdue: bool,
    ) -> None:
        """Spends on checkpoints and deletions what the flushes left.

        Those that are overdue go before the flushes, so that a log stays
        bounded under a load that uses up the budget.
        """
        least_tokens = 1.0 if overdue else max(1.0, self.bucket.burst / 2.0)
        for shard, owned in self.owned.items():
            checkpointer = owned.checkpointer
            if self.bucket.refill(now=now) < least_tokens:
                return
            if owned.in_outage:
                continue
            if overdue and not checkpointer.is_overdue(owned.memory):
                continue
            if checkpointer.wants_call(owned.memory, now=now):
                self.bucket.try_take(now=now)
                call = checkpointer.next_call(owned.memory, now=now)
                self.send_call(out, shard, call)
            delete = checkpointer.delete_call(now=now)
            if delete is not None:
                self.bucket.try_take(now=now)
                self.send_call(out, shard, delete)

    def send_call(
        self,
        out: list[effects.CoordinationEffect],
        shard: int,
        call: store.StoreCall,
    ) -> None:
        """Sends a store call and notes which shard its reply is for."""
        self.calls[call.call_id] = shard
        out.append(call)
