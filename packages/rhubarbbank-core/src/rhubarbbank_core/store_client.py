"""The one path by which a process calls the object API.

Every part's `store.StoreCall` goes through one `StoreClient`, which keeps the
process inside its call budget, repeats what the store throttled, settles lost
answers by reading back, and stops calling while the store is down. Each try
has a call id of its own, so that an answer to an earlier try is recognised
and ignored. Callers must put a unique write id into each value they write:
equal bytes then prove that a write was the caller's own.
"""

import collections
import dataclasses
import random

from rhubarbbank_core import effects
from rhubarbbank_core import store
from rhubarbbank_core import token_bucket

PROBE_KEY = "probe/none"
REACHED_SPREAD_S = 0.2
READ_OPERATIONS = frozenset(
    {
        store.StoreOperation.GET,
        store.StoreOperation.LIST,
        store.StoreOperation.WATCH,
    }
)
REACHED_OUTCOMES = frozenset(
    {
        store.StoreOutcome.OK,
        store.StoreOutcome.NOT_FOUND,
        store.StoreOutcome.CONFLICT,
        store.StoreOutcome.THROTTLED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimits:
    """The budget of one process and the bounds of its waiting and retries.

    Attributes:
        writes_per_s: PUT and DELETE calls a second.
        reads_per_s: GET, LIST and WATCH calls a second.
        burst_s: How many seconds of budget may be spent at once.
        queue_calls: Calls that may wait for budget, of each kind; more are
            answered THROTTLED.
        max_tries: Tries of one call, read-backs included.
        backoff_s: Mean wait before the first retry; it doubles.
        max_backoff_s: Mean wait that the doubling stops at.
        failures_to_open: Consecutive failures that open the breaker.
    """

    writes_per_s: float = 20.0
    reads_per_s: float = 40.0
    burst_s: float = 1.0
    queue_calls: int = 256
    max_tries: int = 6
    backoff_s: float = 0.1
    max_backoff_s: float = 5.0
    failures_to_open: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class StoreStep:
    """What one event led to.

    Attributes:
        calls: Calls for the shell to carry out.
        settled: Final replies, with the call ids of the submitted calls.
    """

    calls: list[store.StoreCall] = dataclasses.field(default_factory=list)
    settled: list[store.StoreReply] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A submitted call that has no final reply yet.

    Attributes:
        call: The call as submitted.
        tries: How many calls went out for it.
        may_have_applied: A try of a write ended UNKNOWN.
        reading_back: The next or current try reads the object back.
        conflicted: The store refused the condition; the read-back only
            finds out by whose value.
        retry_at: When a call in back-off is due.
    """

    call: store.StoreCall
    tries: int = 0
    may_have_applied: bool = False
    reading_back: bool = False
    conflicted: bool = False
    retry_at: float = 0.0

    def is_read(self) -> bool:
        """Whether the next try counts against the read budget."""
        return self.reading_back or self.call.operation in READ_OPERATIONS


class StoreClient:
    """Budgets, retries and settles the store calls of one process.

    Guarantee: a conditional PUT is answered OK only if its value was written,
    and CONFLICT or NOT_FOUND only if, at the answer, the value is not the
    object's content. UNAVAILABLE means that it was not applied. UNKNOWN is
    left when the tries ran out. The shell answers every call once, by its
    timeout at the latest; late and repeated answers are ignored.

    Attributes:
        last_success: When the store last answered, in seconds; None before.
    """

    def __init__(
        self,
        *,
        call_ids: effects.CallIds,
        rng: random.Random,
        limits: StoreLimits,
    ) -> None:
        self.call_ids = call_ids
        self.rng = rng
        self.limits = limits
        self.reads = self.new_bucket(rate_per_s=limits.reads_per_s)
        self.writes = self.new_bucket(rate_per_s=limits.writes_per_s)
        self.waiting_reads: collections.deque[PendingCall] = collections.deque()
        self.waiting_writes: collections.deque[PendingCall] = (
            collections.deque()
        )
        self.in_flight: dict[int, PendingCall] = {}
        self.backing_off: list[PendingCall] = []
        self.last_success: float | None = None
        self.failures = 0
        self.open_count = 0
        self.probe_at: float | None = None
        self.probe_id: int | None = None

    def new_bucket(self, *, rate_per_s: float) -> token_bucket.TokenBucket:
        """Returns a full bucket for one kind of call."""
        burst = max(1.0, rate_per_s * self.limits.burst_s)
        return token_bucket.TokenBucket(rate_per_s=rate_per_s, burst=burst)

    def is_down(self, *, now: float) -> bool:
        """Whether the breaker is open: the store is down as seen from here."""
        del now
        return self.probe_at is not None

    def submit(self, *, now: float, call: store.StoreCall) -> StoreStep:
        """Takes a caller's call; answers at once when it cannot wait."""
        step = StoreStep()
        if self.is_down(now=now):
            self.settle(step, call, store.StoreOutcome.UNAVAILABLE)
            return step
        pending = PendingCall(call)
        queue = self.queue_of(pending)
        if len(queue) >= self.limits.queue_calls:
            self.settle(step, call, store.StoreOutcome.THROTTLED)
            return step
        queue.append(pending)
        self.send_waiting(step, now)
        return step

    def reply(self, *, now: float, reply: store.StoreReply) -> StoreStep:
        """Takes the shell's answer to one try."""
        step = StoreStep()
        if reply.call_id == self.probe_id:
            self.take_probe_reply(now, reply)
            self.send_waiting(step, now)
            return step
        pending = self.in_flight.pop(reply.call_id, None)
        if pending is None:
            return step
        self.note_health(step, now, pending, reply)
        self.take_try_reply(step, now, pending, reply)
        self.send_waiting(step, now)
        return step

    def tick(self, *, now: float) -> StoreStep:
        """Sends what is due: waiting calls, retries and outage probes."""
        step = StoreStep()
        if self.probe_at is not None:
            self.send_probe(step, now)
            return step
        self.send_waiting(step, now)
        return step

    def note_reached(self, *, now: float) -> None:
        """Probes soon: another part of this process reached the store."""
        if self.probe_at is not None:
            soon = now + self.rng.uniform(0.0, REACHED_SPREAD_S)
            self.probe_at = min(self.probe_at, soon)

    def queue_of(self, pending: PendingCall) -> collections.deque[PendingCall]:
        """Returns the queue for the budget that the next try counts on."""
        if pending.is_read():
            return self.waiting_reads
        return self.waiting_writes

    def send_waiting(self, step: StoreStep, now: float) -> None:
        """Moves due retries to the queues, then spends the budget."""
        if self.probe_at is not None:
            return
        due = [call for call in self.backing_off if call.retry_at <= now]
        if due:
            self.backing_off = [
                call for call in self.backing_off if call.retry_at > now
            ]
            for pending in reversed(due):
                self.queue_of(pending).appendleft(pending)
        for queue, bucket in (
            (self.waiting_reads, self.reads),
            (self.waiting_writes, self.writes),
        ):
            while queue and bucket.try_take(now=now):
                self.send_try(step, queue.popleft())

    def send_try(self, step: StoreStep, pending: PendingCall) -> None:
        """Sends one try of a call, or the read-back of its object."""
        pending.tries += 1
        call_id = self.call_ids.allocate()
        self.in_flight[call_id] = pending
        if pending.reading_back:
            call = store.StoreCall(
                call_id=call_id,
                operation=store.StoreOperation.GET,
                key=pending.call.key,
                timeout_s=pending.call.timeout_s,
            )
        else:
            call = dataclasses.replace(pending.call, call_id=call_id)
        step.calls.append(call)

    def note_health(
        self,
        step: StoreStep,
        now: float,
        pending: PendingCall,
        reply: store.StoreReply,
    ) -> None:
        """Counts consecutive failures and opens the breaker."""
        if reply.outcome in REACHED_OUTCOMES:
            self.last_success = now
            self.failures = 0
            return
        if (
            pending.call.operation == store.StoreOperation.WATCH
            and reply.outcome == store.StoreOutcome.UNKNOWN
        ):
            # A watch that saw no change times out in good health too.
            return
        self.failures += 1
        if self.failures >= self.limits.failures_to_open:
            self.open_breaker(step, now)

    def open_breaker(self, step: StoreStep, now: float) -> None:
        """Stops calling, and answers everything that waits here."""
        if self.probe_at is None:
            self.open_count = 0
            self.probe_at = now + self.draw_backoff(self.open_count)
        waiting = [
            *self.waiting_reads,
            *self.waiting_writes,
            *self.backing_off,
        ]
        self.waiting_reads.clear()
        self.waiting_writes.clear()
        self.backing_off = []
        for pending in waiting:
            self.settle_failure(step, pending)

    def send_probe(self, step: StoreStep, now: float) -> None:
        """Sends one read when the back-off is over and none is out."""
        if self.probe_id is not None or self.probe_at is None:
            return
        if now < self.probe_at or not self.reads.try_take(now=now):
            return
        self.probe_id = self.call_ids.allocate()
        step.calls.append(
            store.StoreCall(
                call_id=self.probe_id,
                operation=store.StoreOperation.GET,
                key=PROBE_KEY,
            )
        )

    def take_probe_reply(self, now: float, reply: store.StoreReply) -> None:
        """Closes the breaker when the store answered, else backs off."""
        self.probe_id = None
        if reply.outcome not in REACHED_OUTCOMES:
            self.open_count += 1
            self.probe_at = now + self.draw_backoff(self.open_count)
            return
        self.last_success = now
        self.failures = 0
        self.probe_at = None
        # An empty bucket at the start spreads the calls that piled up.
        for bucket in (self.reads, self.writes):
            bucket.refill(now=now)
            bucket.tokens = min(bucket.tokens, 1.0)

    def draw_backoff(self, doublings: int) -> float:
        """Returns a wait of 0.5 to 1.5 times the doubled mean."""
        mean_s = min(
            self.limits.max_backoff_s,
            self.limits.backoff_s * 2.0 ** min(doublings, 16),
        )
        return mean_s * self.rng.uniform(0.5, 1.5)

    def take_try_reply(
        self,
        step: StoreStep,
        now: float,
        pending: PendingCall,
        reply: store.StoreReply,
    ) -> None:
        """Decides what one answer means for the call it was a try of."""
        outcome = reply.outcome
        if outcome == store.StoreOutcome.THROTTLED:
            self.retry(step, now, pending, outcome)
        elif outcome == store.StoreOutcome.UNKNOWN:
            self.take_unknown(step, now, pending)
        elif outcome == store.StoreOutcome.UNAVAILABLE:
            self.take_unavailable(step, now, pending)
        elif pending.reading_back:
            self.take_read_back(step, now, pending, reply)
        elif outcome == store.StoreOutcome.CONFLICT:
            self.take_conflict(step, now, pending, reply)
        else:
            self.settle(step, pending.call, outcome, reply)

    def take_unknown(
        self, step: StoreStep, now: float, pending: PendingCall
    ) -> None:
        """Reads back after a lost answer to a PUT; repeats the rest."""
        if pending.call.operation == store.StoreOperation.WATCH:
            self.settle(step, pending.call, store.StoreOutcome.UNKNOWN)
            return
        if pending.call.operation == store.StoreOperation.PUT:
            # A lost answer to a read-back says nothing about the write.
            if not pending.reading_back:
                pending.may_have_applied = True
            pending.reading_back = True
        self.retry(step, now, pending, store.StoreOutcome.UNKNOWN)

    def take_unavailable(
        self, step: StoreStep, now: float, pending: PendingCall
    ) -> None:
        """Gives a plain call back at once; goes on settling a write."""
        if pending.may_have_applied or pending.conflicted:
            self.retry(step, now, pending, store.StoreOutcome.UNKNOWN)
            return
        self.settle(step, pending.call, store.StoreOutcome.UNAVAILABLE)

    def take_conflict(
        self,
        step: StoreStep,
        now: float,
        pending: PendingCall,
        reply: store.StoreReply,
    ) -> None:
        """Tells a conflict with the caller's own write from a real one."""
        if reply.objects:
            self.settle_by_value(step, pending, reply)
            return
        pending.reading_back = True
        pending.conflicted = True
        self.retry(step, now, pending, store.StoreOutcome.CONFLICT)

    def take_read_back(
        self,
        step: StoreStep,
        now: float,
        pending: PendingCall,
        reply: store.StoreReply,
    ) -> None:
        """Settles a PUT from the object, or sends it again."""
        expected = pending.call.expected_version
        found = reply.objects[0] if reply.objects else None
        version = store.ABSENT_VERSION if found is None else found.version
        if pending.conflicted or version != expected:
            self.settle_by_value(step, pending, reply)
            return
        # The object stands as before the write, whose condition still
        # guards it against a late first try: sending it again is safe.
        pending.reading_back = False
        self.retry(step, now, pending, store.StoreOutcome.UNKNOWN)

    def settle_by_value(
        self, step: StoreStep, pending: PendingCall, reply: store.StoreReply
    ) -> None:
        """Answers OK when the object holds the call's bytes."""
        is_own = any(
            item.key == pending.call.key and item.value == pending.call.value
            for item in reply.objects
        )
        outcome = (
            store.StoreOutcome.OK if is_own else store.StoreOutcome.CONFLICT
        )
        self.settle(step, pending.call, outcome, reply)

    def retry(
        self,
        step: StoreStep,
        now: float,
        pending: PendingCall,
        last_outcome: store.StoreOutcome,
    ) -> None:
        """Backs off with jitter, or gives up with the last outcome."""
        if self.probe_at is not None:
            self.settle_failure(step, pending)
            return
        if pending.tries >= self.limits.max_tries:
            if pending.may_have_applied:
                last_outcome = store.StoreOutcome.UNKNOWN
            self.settle(step, pending.call, last_outcome)
            return
        pending.retry_at = now + self.draw_backoff(pending.tries - 1)
        self.backing_off.append(pending)

    def settle_failure(self, step: StoreStep, pending: PendingCall) -> None:
        """Answers a call that the breaker cut off."""
        outcome = store.StoreOutcome.UNAVAILABLE
        if pending.may_have_applied:
            outcome = store.StoreOutcome.UNKNOWN
        elif pending.conflicted:
            outcome = store.StoreOutcome.CONFLICT
        self.settle(step, pending.call, outcome)

    def settle(
        self,
        step: StoreStep,
        call: store.StoreCall,
        outcome: store.StoreOutcome,
        reply: store.StoreReply | None = None,
    ) -> None:
        """Adds the final reply to a submitted call."""
        step.settled.append(
            store.StoreReply(
                call_id=call.call_id,
                outcome=outcome,
                objects=reply.objects if reply else (),
                revision=reply.revision if reply else 0,
            )
        )
