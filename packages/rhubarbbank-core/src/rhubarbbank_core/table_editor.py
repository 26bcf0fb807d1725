"""Carries a batch of edits of the table through the store.

Read, apply, write on the condition that the object's version is the one read,
and after a conflict or a lost answer read again. A second write after a lost
answer has the same condition as the first, so at most one of the two takes
effect. Operators' commands and the system itself edit in this way.
"""

import collections.abc
import dataclasses
import random

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import store
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_edit

CONFLICTS_LIMIT = 10
FAILURES_LIMIT = 6
BACKOFF_FIRST_S = 0.1
BACKOFF_LONGEST_S = 2.0


class TableEditor:
    """Carries one batch of edits at a time through the store.

    The owner calls `submit`, hands each reply to `handle_reply`, calls
    `handle_time` at `retry_at`, and reads `outcome` once it is set.

    Attributes:
        outcome: How the batch ended; None while it is under way.
        retry_at: When to call `handle_time`, in seconds; None for never.
        edits: The batch.
        version: The object's version at the last read.
        proposed: What the write under way would lead to.
        pending: The call whose reply is awaited.
        unsettled_version: The condition of a write whose answer was lost,
            until a read shows whether it took effect.
    """

    def __init__(
        self, *, calls: effects.CallIds, randomness: random.Random
    ) -> None:
        self.calls = calls
        self.randomness = randomness
        self.outcome: table_edit.Applied | table_edit.Refusal | None = None
        self.retry_at: float | None = None
        self.edits: tuple[table_codec.Edit, ...] = ()
        self.version = store.ABSENT_VERSION
        self.proposed: table_edit.Applied | None = None
        self.pending: store.StoreCall | None = None
        self.unsettled_version: int | None = None
        self.conflicts = 0
        self.failures = 0

    @property
    def busy(self) -> bool:
        """Whether a batch is under way."""
        return self.pending is not None or self.retry_at is not None

    def owns_call(self, call_id: int) -> bool:
        """Returns whether a store reply is for this editor."""
        return self.pending is not None and self.pending.call_id == call_id

    def submit(
        self, edits: collections.abc.Sequence[table_codec.Edit]
    ) -> list[store.StoreCall]:
        """Starts a batch; not to be called while `busy`."""
        assert not self.busy
        self.edits = tuple(edits)
        self.outcome = None
        self.unsettled_version = None
        self.conflicts = 0
        self.failures = 0
        return self.read()

    def handle_time(self, *, now: float) -> list[store.StoreCall]:
        """Reads again when a back-off has ended."""
        if self.retry_at is None or now < self.retry_at:
            return []
        return self.read()

    def handle_reply(
        self, reply: store.StoreReply, *, now: float
    ) -> list[store.StoreCall]:
        """Goes on after a reply; a reply to another call is ignored."""
        call = self.pending
        if call is None or reply.call_id != call.call_id:
            return []
        self.pending = None
        if call.operation is store.StoreOperation.GET:
            return self.handle_read(reply, now=now)
        return self.handle_written(reply, now=now)

    def handle_read(
        self, reply: store.StoreReply, *, now: float
    ) -> list[store.StoreCall]:
        """Applies the batch to what was read and writes the result."""
        if reply.outcome is store.StoreOutcome.NOT_FOUND:
            return self.write(
                table_codec.EMPTY_STORED_TABLE, store.ABSENT_VERSION
            )
        if reply.outcome is not store.StoreOutcome.OK or not reply.objects:
            return self.back_off(now=now)
        found = reply.objects[0]
        try:
            stored = table_codec.decode_table(found.value)
        except errors.RhubarbbankError as error:
            return self.refuse(table_edit.Refusal(problem=error.problem))
        return self.write(stored, found.version)

    def handle_written(
        self, reply: store.StoreReply, *, now: float
    ) -> list[store.StoreCall]:
        """Ends the batch, or reads again to learn what stands there."""
        if reply.outcome is store.StoreOutcome.OK:
            self.outcome = self.proposed
            return []
        if reply.outcome is store.StoreOutcome.CONFLICT:
            self.conflicts += 1
            if self.conflicts >= CONFLICTS_LIMIT:
                return self.give_up(errors.ErrorCode.OVERLOADED)
            return self.read()
        if reply.outcome is store.StoreOutcome.UNKNOWN:
            self.unsettled_version = self.version
        return self.back_off(now=now)

    def read(self) -> list[store.StoreCall]:
        """Returns the call that reads the table."""
        self.retry_at = None
        self.pending = store.StoreCall(
            call_id=self.calls.allocate(),
            operation=store.StoreOperation.GET,
            key=table_codec.TABLE_KEY,
        )
        return [self.pending]

    def write(
        self, stored: table_codec.StoredTable, version: int
    ) -> list[store.StoreCall]:
        """Returns the call that writes the batch onto this table."""
        applied = table_edit.apply_edits(stored, self.edits)
        if isinstance(applied, table_edit.Refusal):
            return self.refuse_applied(applied, stored)
        if applied.repeated:
            self.outcome = applied
            return []
        if version != self.unsettled_version:
            # The lost write's condition can't hold any more.
            self.unsettled_version = None
        self.version = version
        self.proposed = applied
        self.pending = store.StoreCall(
            call_id=self.calls.allocate(),
            operation=store.StoreOperation.PUT,
            key=table_codec.TABLE_KEY,
            value=table_codec.encode_table(applied.stored),
            expected_version=version,
        )
        return [self.pending]

    def refuse_applied(
        self, refusal: table_edit.Refusal, stored: table_codec.StoredTable
    ) -> list[store.StoreCall]:
        """Ends the batch; not run, unless the history no longer tells."""
        lost = self.unsettled_version is not None
        if (
            table_edit.reaches_back(stored, self.edits[0].base_revision)
            or not lost
        ):
            return self.refuse(refusal)
        problem = dataclasses.replace(
            refusal.problem, run_state=errors.RunState.UNKNOWN
        )
        return self.refuse(dataclasses.replace(refusal, problem=problem))

    def back_off(self, *, now: float) -> list[store.StoreCall]:
        """Sets the time of the next read, or gives up."""
        self.failures += 1
        if self.failures >= FAILURES_LIMIT:
            return self.give_up(errors.ErrorCode.STORE_UNAVAILABLE)
        longest = min(
            BACKOFF_FIRST_S * 2 ** (self.failures - 1), BACKOFF_LONGEST_S
        )
        self.retry_at = now + longest * self.randomness.uniform(0.5, 1.0)
        return []

    def give_up(self, code: errors.ErrorCode) -> list[store.StoreCall]:
        """Ends the batch, saying whether a lost write may take effect."""
        run_state = errors.RunState.NOT_RUN
        if self.unsettled_version is not None:
            run_state = errors.RunState.UNKNOWN
        problem = errors.Problem(
            code=code,
            run_state=run_state,
            detail=f"write id {self.edits[-1].write_id}",
            retry_after_s=BACKOFF_LONGEST_S,
        )
        return self.refuse(table_edit.Refusal(problem=problem))

    def refuse(self, refusal: table_edit.Refusal) -> list[store.StoreCall]:
        """Ends the batch with a refusal."""
        self.outcome = refusal
        return []
