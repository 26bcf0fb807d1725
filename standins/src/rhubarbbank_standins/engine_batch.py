"""The model engine's continuous batching.

Streams wait in order of priority and arrival until one of the batch's slots
is free. All running streams advance by one token in each step, on one timer;
the step takes longer the more streams run. A stream that was just admitted
first waits for its prompt's prefill; prefills follow one another. Tokens are
written straight to the transports from byte templates, since a busy engine
writes thousands of them a second.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import heapq
import time

from rhubarbbank_standins import engine_text

HANG_POLL_S = 0.05


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Stream:
    """One request in the batch or before it.

    Attributes:
        request_id: The request's X-Request-Id; may be empty.
        model_version: What answers it, as "model@version".
        priority: Lower goes first.
        prompt: The rendered prompt.
        answer: The whole answer.
        next_index: The next token to write.
        transport: The caller's connection; None once it is gone.
        is_streamed: Whether tokens are written as they are made.
        head: The bytes of a chunk before its text.
        tail: The bytes of a chunk after its text.
        done: Set when the last token was written.
        ready_at_s: When its prefill is over.
        cached_tokens: How many prompt tokens were in the cache.
    """

    request_id: str
    model_version: str
    priority: int
    prompt: str
    answer: engine_text.Answer
    next_index: int
    transport: asyncio.Transport | None
    is_streamed: bool
    head: bytes
    tail: bytes
    done: "asyncio.Future[None]"
    ready_at_s: float = 0.0
    cached_tokens: int = 0

    def write_token(self, index: int) -> None:
        """Writes one token as one HTTP chunk."""
        transport = self.transport
        if not self.is_streamed or transport is None:
            return
        # A closed connection is noticed here before its handler's
        # cancellation takes the stream out of the batch.
        if transport.is_closing():
            return
        token = self.answer.get_token(index)
        size = len(self.head) + len(token) + len(self.tail)
        transport.write(
            b"%x\r\n%b%b%b\r\n" % (size, self.head, token, self.tail)
        )

    def abort(self) -> None:
        """Closes the caller's connection without a word."""
        if self.transport is not None:
            self.transport.abort()
        self.done.cancel()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pace:
    """How fast the batch goes.

    Attributes:
        max_batch: How many streams run at once.
        base_step_s: Time of one step with an empty batch.
        per_running_s: What each running stream adds to a step.
    """

    max_batch: int
    base_step_s: float
    per_running_s: float


class Batch:
    """Admits streams and advances them, step by step.

    Args:
        pace: How fast it goes.
        start: Called when a stream gets a slot. It returns the seconds its
            prefill takes, or None when the engine crashed over it.
    """

    def __init__(
        self, *, pace: Pace, start: Callable[[Stream], float | None]
    ) -> None:
        self.pace = pace
        self.start = start
        self.slow_factor = 1.0
        self.hang = False
        self.running: list[Stream] = []
        self.waiting: list[tuple[int, int, Stream]] = []
        self.arrivals = 0
        self.tokens = 0
        self.prefill_free_at_s = 0.0
        self.due_s = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def submit(self, stream: Stream) -> None:
        """Queues a stream; an idle batch takes it up at once."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (stream.priority, self.arrivals, stream))
        if self.timer is None:
            self.due_s = time.monotonic()
            self.schedule(0.0)

    def cancel(self, stream: Stream) -> bool:
        """Takes a stream out at once and tells whether it was here."""
        if stream in self.running:
            self.running.remove(stream)
            return True
        for place, (_, _, waiting) in enumerate(self.waiting):
            if waiting is stream:
                del self.waiting[place]
                heapq.heapify(self.waiting)
                return True
        return False

    def clear(self) -> list[Stream]:
        """Drops and returns all streams, as a crash does."""
        dropped = self.running + [stream for _, _, stream in self.waiting]
        self.running = []
        self.waiting = []
        self.prefill_free_at_s = 0.0
        return dropped

    def step(self) -> None:
        """Writes one token of each running stream, then fills free slots."""
        self.timer = None
        if self.hang:
            self.due_s = time.monotonic()
            self.schedule(HANG_POLL_S)
            return
        self.advance(time.monotonic())
        self.admit()
        if self.running or self.waiting:
            step_s = self.pace.base_step_s
            step_s += self.pace.per_running_s * len(self.running)
            self.schedule(step_s * self.slow_factor)

    def advance(self, now: float) -> None:
        """Writes the next token of each stream whose prefill is over."""
        finished = False
        for stream in self.running:
            if stream.ready_at_s > now:
                continue
            index = stream.next_index
            if index < stream.answer.total:
                stream.write_token(index)
                stream.next_index = index + 1
                self.tokens += 1
            if stream.next_index >= stream.answer.total:
                finished = True
                if not stream.done.done():
                    stream.done.set_result(None)
        if finished:
            self.running = [
                stream for stream in self.running if not stream.done.done()
            ]

    def admit(self) -> None:
        """Moves waiting streams into free slots."""
        while self.waiting and len(self.running) < self.pace.max_batch:
            _, _, stream = heapq.heappop(self.waiting)
            prefill_s = self.start(stream)
            if prefill_s is None:
                return
            begin_s = max(time.monotonic(), self.prefill_free_at_s)
            stream.ready_at_s = begin_s + prefill_s * self.slow_factor
            self.prefill_free_at_s = stream.ready_at_s
            self.running.append(stream)

    def schedule(self, after_s: float) -> None:
        """Sets the timer for the next step, counted from the last one."""
        now = time.monotonic()
        self.due_s = max(now, self.due_s + after_s)
        self.timer = asyncio.get_running_loop().call_later(
            self.due_s - now, self.step
        )
