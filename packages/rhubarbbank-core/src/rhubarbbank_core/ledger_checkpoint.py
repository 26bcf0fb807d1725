"""Moves the start of a shard's log: archive bills, checkpoint, delete.

A checkpoint is a snapshot after segment s. The bills up to s go into archives
first; then the checkpoint object is replaced on condition of its version;
`segment_keep_s` later the segments before s are deleted. Each write is safe
to repeat, and safe from an owner that was fenced off meanwhile, since all of
them speak of committed segments alone.
"""

import collections
import collections.abc
import dataclasses
import enum

from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import store

OVERDUE_FACTOR = 4


class CheckpointPhase(enum.Enum):
    """What is to be written next."""

    IDLE = enum.auto()
    ARCHIVING = enum.auto()
    WRITING = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Deletion:
    """A covered segment and when it may be deleted."""

    sequence: int
    due_at: float


class Checkpointer:
    """Checkpoints one owned shard.

    Attributes:
        is_fenced_off: Another owner has replaced the checkpoint.
    """

    def __init__(
        self,
        *,
        context: ledger_context.LedgerContext,
        shard: int,
        version: int,
        sequence: int,
        covered_segments: tuple[int, ...],
        now: float,
    ) -> None:
        self.context = context
        self.shard = shard
        self.version = version
        self.sequence = sequence
        self.phase = CheckpointPhase.IDLE
        self.call_id: int | None = None
        self.delete_id: int | None = None
        self.retry_at = 0.0
        self.failures = 0
        self.snapshot: ledger_log.Checkpoint | None = None
        self.value = b""
        self.archived = sequence
        self.log_bytes = 0
        self.is_fenced_off = False
        self.deletions: collections.deque[Deletion] = collections.deque()
        self.plan_deletions(covered_segments, now)

    def plan_deletions(
        self, sequences: collections.abc.Iterable[int], now: float
    ) -> None:
        """Notes segments for deletion once no late writer can matter."""
        due_at = now + self.context.timing.segment_keep_s
        self.deletions.extend(
            Deletion(sequence, due_at) for sequence in sequences
        )

    def is_due(self, memory: ledger_memory.ShardMemory) -> bool:
        """Whether the log has grown enough for a checkpoint."""
        timing = self.context.timing
        return (
            memory.sequence - self.sequence >= timing.checkpoint_segments
            or self.log_bytes >= timing.checkpoint_bytes
        )

    def is_overdue(self, memory: ledger_memory.ShardMemory) -> bool:
        """Whether checkpoint or deletions have fallen far behind."""
        bound = self.context.timing.checkpoint_segments * OVERDUE_FACTOR
        return (
            memory.sequence - self.sequence >= bound
            or len(self.deletions) >= bound
        )

    def wants_call(
        self, memory: ledger_memory.ShardMemory, *, now: float
    ) -> bool:
        """Whether a write of the checkpoint could go out now."""
        if self.call_id is not None or now < self.retry_at:
            return False
        return self.phase != CheckpointPhase.IDLE or self.is_due(memory)

    def next_call(
        self, memory: ledger_memory.ShardMemory, *, now: float
    ) -> store.StoreCall:
        """Returns the next write of the checkpoint."""
        if self.phase == CheckpointPhase.IDLE:
            self.snapshot = memory.snapshot(
                write_id=self.context.new_write_id(), now=now
            )
            self.value = ledger_log.encode(self.snapshot)
            self.log_bytes = 0
            self.phase = CheckpointPhase.ARCHIVING
        if self.phase == CheckpointPhase.ARCHIVING:
            call = self.archive_call(memory)
            if call is not None:
                self.call_id = call.call_id
                return call
            self.phase = CheckpointPhase.WRITING
        call = self.context.new_call(
            store.StoreOperation.PUT,
            ledger_log.checkpoint_key(self.shard),
            value=self.value,
            expected_version=self.version,
        )
        self.call_id = call.call_id
        return call

    def snapshot_sequence(self) -> int:
        """Returns the last segment that the snapshot covers."""
        assert self.snapshot is not None
        return self.snapshot.sequence

    def archive_call(
        self, memory: ledger_memory.ShardMemory
    ) -> store.StoreCall | None:
        """Returns the write of the next archive, or None when all is kept.

        An archive is written even without bills: its end is where the next
        one starts, for each owner that ever starts from this checkpoint.
        """
        last = self.snapshot_sequence()
        if self.archived >= last:
            return None
        bills = tuple(
            bill
            for sequence, bill in memory.bills
            if self.archived < sequence <= last
        )
        archive = ledger_log.BillArchive(
            write_id=self.context.new_write_id(),
            first=self.archived + 1,
            last=last,
            bills=bills,
        )
        return self.context.new_call(
            store.StoreOperation.PUT,
            ledger_log.archive_key(self.shard, archive.first),
            value=ledger_log.encode(archive),
        )

    def reply(
        self,
        memory: ledger_memory.ShardMemory,
        *,
        now: float,
        reply: store.StoreReply,
    ) -> None:
        """Takes the answer to a write or a deletion."""
        if reply.call_id == self.delete_id:
            self.delete_id = None
            if reply.outcome in {
                store.StoreOutcome.OK,
                store.StoreOutcome.NOT_FOUND,
            }:
                self.deletions.popleft()
            return
        if reply.call_id != self.call_id:
            return
        self.call_id = None
        if self.phase == CheckpointPhase.ARCHIVING:
            self.take_archive_reply(memory, now, reply)
        else:
            self.take_checkpoint_reply(memory, now, reply)

    def take_archive_reply(
        self,
        memory: ledger_memory.ShardMemory,
        now: float,
        reply: store.StoreReply,
    ) -> None:
        """Goes on after what is archived, by this or a former owner."""
        if reply.outcome == store.StoreOutcome.OK:
            self.archived = self.snapshot_sequence()
        elif reply.outcome == store.StoreOutcome.CONFLICT and reply.objects:
            archive = ledger_log.ARCHIVE_DECODER.decode(reply.objects[0].value)
            self.archived = archive.last
        else:
            self.back_off(now)
            return
        memory.take_archived(last=self.archived)

    def take_checkpoint_reply(
        self,
        memory: ledger_memory.ShardMemory,
        now: float,
        reply: store.StoreReply,
    ) -> None:
        """Plans the deletions, or notes that another owner was here."""
        if reply.outcome == store.StoreOutcome.CONFLICT:
            self.is_fenced_off = True
            return
        if reply.outcome != store.StoreOutcome.OK:
            self.back_off(now)
            return
        self.failures = 0
        self.phase = CheckpointPhase.IDLE
        self.version = reply.objects[0].version
        last = self.snapshot_sequence()
        # The last covered segment stays: the log is never seen empty.
        self.plan_deletions(range(max(1, self.sequence), last), now)
        self.sequence = last
        self.archived = last
        memory.take_archived(last=last)

    def back_off(self, now: float) -> None:
        """Waits before the same write is sent again."""
        self.retry_at = now + self.context.draw_backoff(self.failures)
        self.failures += 1

    def delete_call(self, *, now: float) -> store.StoreCall | None:
        """Returns the deletion of the oldest covered segment, if due."""
        if self.delete_id is not None or not self.deletions:
            return None
        first = self.deletions[0]
        if first.due_at > now:
            return None
        call = self.context.new_call(
            store.StoreOperation.DELETE,
            ledger_log.segment_key(self.shard, first.sequence),
        )
        self.delete_id = call.call_id
        return call
