"""Takes a shard over: reads its log and checkpoint, then fences.

The log is listed first and the checkpoint read after it, so that a checkpoint
that moves meanwhile covers more of the list, never less. Creating the next
segment commits the take-over; when another writer was faster, all is read
again.
"""

import collections.abc
import dataclasses
import enum

from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import store


class TakeOverPhase(enum.Enum):
    """What the call that is out, if any, is for."""

    IDLE = enum.auto()
    LISTING = enum.auto()
    READING = enum.auto()
    FENCING = enum.auto()


class ShardOrigin(enum.Enum):
    """How the former ownership ended, as the log tells it.

    NEW: the shard had no owner before. RELEASED: its owner gave it up and
    had accepted nothing that was not durable. SEIZED: its owner may still
    believe that it owns the shard, and may have accepted records that it
    could not make durable.
    """

    NEW = enum.auto()
    RELEASED = enum.auto()
    SEIZED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Taken:
    """A shard just after the take-over.

    Attributes:
        memory: The committed state.
        fence: The sequence of the take-over segment.
        confirmed_at: When the fencing write was sent.
        checkpoint_version: The checkpoint's version in the store.
        checkpoint_sequence: The last segment that the checkpoint covers.
        covered_segments: Segments that wait for deletion.
        origin: How the former ownership ended.
        leases: The slices leased by an owner that released the shard.
        former: The owner before, if any.
        deputy: The deputy that the take-over segment names.
    """

    memory: ledger_memory.ShardMemory
    fence: int
    confirmed_at: float
    checkpoint_version: int
    checkpoint_sequence: int
    covered_segments: tuple[int, ...]
    origin: ShardOrigin
    leases: ledger_leases.LeaseReport | None
    former: ledger_leases.FormerOwner | None
    deputy: ledger_leases.Deputy | None


class TakeOver:
    """One attempt after another to take one shard.

    Attributes:
        taken: The shard, once taken.
    """

    def __init__(
        self, *, context: ledger_context.LedgerContext, shard: int
    ) -> None:
        self.context = context
        self.shard = shard
        self.phase = TakeOverPhase.IDLE
        self.call_id = 0
        self.retry_at = 0.0
        self.failures = 0
        self.handover_waits = 0
        self.listed_at = 0.0
        self.fenced_at = 0.0
        self.segments: list[tuple[int, ledger_log.Segment]] = []
        self.memory = context.new_memory()
        self.checkpoint_version = store.ABSENT_VERSION
        self.checkpoint_sequence = 0
        self.origin = ShardOrigin.NEW
        self.leases: ledger_leases.LeaseReport | None = None
        self.former: ledger_leases.FormerOwner | None = None
        self.deputy: ledger_leases.Deputy | None = None
        self.taken: Taken | None = None

    def tick(self, *, now: float) -> list[store.StoreCall]:
        """Starts reading when no call is out and the back-off is over."""
        if self.phase != TakeOverPhase.IDLE or now < self.retry_at:
            return []
        self.phase = TakeOverPhase.LISTING
        self.listed_at = now
        prefix = ledger_log.log_prefix(self.shard)
        return self.send(
            self.context.new_call(store.StoreOperation.LIST, prefix)
        )

    def reply(
        self,
        *,
        now: float,
        reply: store.StoreReply,
        gone: collections.abc.Set[str],
    ) -> list[store.StoreCall]:
        """Takes the next step, or backs off to start again.

        Args:
            now: The time in seconds.
            reply: The reply.
            gone: Entries that were seen to live and no longer do. An owner
                that is not known yet, as just after this process has
                started, gets as much time to release the shard as a live one.
        """
        if reply.call_id != self.call_id:
            return []
        phase = self.phase
        self.phase = TakeOverPhase.IDLE
        ok = reply.outcome == store.StoreOutcome.OK
        if phase == TakeOverPhase.LISTING and ok:
            return self.read_checkpoint(reply)
        if phase == TakeOverPhase.READING and (
            ok or reply.outcome == store.StoreOutcome.NOT_FOUND
        ):
            return self.take_checkpoint(now, reply, gone)
        if phase == TakeOverPhase.FENCING and ok and self.is_in_time(now):
            self.finish()
            return []
        self.back_off(now)
        return []

    def is_in_time(self, now: float) -> bool:
        """Whether a create that succeeded fences for certain.

        Later, the segment might have been created by another owner and
        deleted again after a checkpoint.
        """
        return now <= self.listed_at + self.context.timing.segment_keep_s

    def back_off(self, now: float) -> None:
        """Waits, with jitter, before all is read again."""
        self.retry_at = now + self.context.draw_backoff(self.failures)
        self.failures += 1

    def read_checkpoint(self, reply: store.StoreReply) -> list[store.StoreCall]:
        """Keeps the listed segments and asks for the checkpoint."""
        self.segments = [
            (
                ledger_log.sequence_of(item.key),
                ledger_log.SEGMENT_DECODER.decode(item.value),
            )
            for item in sorted(reply.objects, key=lambda item: item.key)
        ]
        self.phase = TakeOverPhase.READING
        key = ledger_log.checkpoint_key(self.shard)
        return self.send(self.context.new_call(store.StoreOperation.GET, key))

    def take_checkpoint(
        self,
        now: float,
        reply: store.StoreReply,
        gone: collections.abc.Set[str],
    ) -> list[store.StoreCall]:
        """Rebuilds the state and creates the fencing segment."""
        checkpoint = None
        self.checkpoint_version = store.ABSENT_VERSION
        self.checkpoint_sequence = 0
        if reply.objects:
            found = reply.objects[0]
            checkpoint = ledger_log.CHECKPOINT_DECODER.decode(found.value)
            self.checkpoint_version = found.version
            self.checkpoint_sequence = checkpoint.sequence
        self.memory = self.context.new_memory()
        is_whole = ledger_memory.recover(
            self.memory,
            segments=self.segments,
            checkpoint=checkpoint,
            now=now,
        )
        if not is_whole:
            self.back_off(now)
            return []
        if self.waits_for_release(gone):
            self.retry_at = now + self.context.timing.handover_wait_s
            return []
        return self.fence(now)

    def head(self) -> ledger_log.Segment | None:
        """Returns the newest segment listed."""
        return self.segments[-1][1] if self.segments else None

    def waits_for_release(self, gone: collections.abc.Set[str]) -> bool:
        """Whether an owner that may live gets more time to release."""
        head = self.head()
        if head is None or head.released or head.owner == self.context.name:
            return False
        if head.owner in gone:
            return False
        self.handover_waits += 1
        return self.handover_waits <= self.context.timing.handover_waits

    def fence(self, now: float) -> list[store.StoreCall]:
        """Creates the next segment, which fences off every other owner."""
        head = self.head()
        self.leases = head.leases if head is not None else None
        self.former = None
        if head is not None:
            self.former = ledger_leases.FormerOwner(head.fence, head.deputy)
        if head is None and self.memory.sequence == 0:
            self.origin = ShardOrigin.NEW
        elif head is not None and head.released:
            self.origin = ShardOrigin.RELEASED
        else:
            self.origin = ShardOrigin.SEIZED
        sequence = self.memory.sequence + 1
        self.deputy = self.context.name_deputy(
            shard=self.shard, sequence=sequence
        )
        segment = self.context.new_segment(fence=sequence, deputy=self.deputy)
        self.phase = TakeOverPhase.FENCING
        self.fenced_at = now
        return self.send(
            self.context.new_call(
                store.StoreOperation.PUT,
                ledger_log.segment_key(self.shard, sequence),
                value=ledger_log.encode(segment),
            )
        )

    def send(self, call: store.StoreCall) -> list[store.StoreCall]:
        """Notes the call that is out."""
        self.call_id = call.call_id
        return [call]

    def finish(self) -> None:
        """Publishes the taken shard."""
        fence = self.memory.sequence + 1
        self.memory.sequence = fence
        self.taken = Taken(
            memory=self.memory,
            fence=fence,
            confirmed_at=self.fenced_at,
            checkpoint_version=self.checkpoint_version,
            checkpoint_sequence=self.checkpoint_sequence,
            covered_segments=tuple(
                sequence
                for sequence, _ in self.segments
                if sequence <= self.checkpoint_sequence
            ),
            origin=self.origin,
            leases=self.leases,
            former=self.former,
            deputy=self.deputy,
        )
