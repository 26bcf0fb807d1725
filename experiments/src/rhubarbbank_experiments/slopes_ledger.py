"""Store calls, bytes and processor time of an owner of ledger shards.

A real `LedgerOwner` gets puts of bills at random times; a store in memory
answers after a fixed time. Time is simulated, processor time is real.
"""

import dataclasses
import heapq
import itertools
import random
import time

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import store
from rhubarbbank_core import wire
from rhubarbbank_experiments import load_schedule
from rhubarbbank_experiments import slopes_series
from rhubarbbank_experiments import slopes_store

OWNER = "127.0.0.1:1"
STORE_LATENCY_S = 0.005
RECORD_BYTES = 190
SETTLE_S = 5.0
OBSERVED_S = 30.0
RATES_PER_S = (10, 50, 150, 400)
SHARD_COUNTS = (1, 2, 4, 8)
BUDGETS_PER_S = (5, 10, 20, 60)
RATE_BY_SHARDS_PER_S = 200
DEFAULT_BUDGET_PER_S = 60


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerCost:
    """What an owner costs in a second.

    Attributes:
        writes: PUT and DELETE calls.
        reads: GET and LIST calls.
        written_bytes: Bytes of the PUTs.
        message_bytes: Of puts and replies, encoded.
        cpu_ms: Processor time of the owner, in milliseconds.
        wait_p50_ms: Median time from put to durable reply.
    """

    writes: float
    reads: float
    written_bytes: float
    message_bytes: float
    cpu_ms: float
    wait_p50_ms: float


class LedgerBench:
    """One owner, a store with latency and puts at random times.

    Attributes:
        owner: The owner.
        store: The object API.
        now: Seconds.
        cpu_s: Processor time of the owner's steps.
        waits_s: Time from put to durable reply.
    """

    def __init__(self, *, shards: int, calls_per_s: float) -> None:
        self.owner = ledger_owner.LedgerOwner(
            name=OWNER,
            incarnation="bench/1",
            shards=shards,
            call_ids=effects.CallIds(),
            rng=random.Random(1),
            calls_per_s=calls_per_s,
        )
        self.store = slopes_store.CountingStore()
        self.now = 1000.0
        self.cpu_s = 0.0
        self.message_bytes = 0
        self.put_at: dict[int, float] = {}
        self.waits_s: list[float] = []
        self.order = itertools.count()
        self.queue: list[tuple[float, int, store.StoreReply]] = []
        self.owner.set_live(now=self.now, names={OWNER})

    def take(self, out: list[effects.CoordinationEffect]) -> None:
        """Carries out what the owner wants."""
        for effect in out:
            if isinstance(effect, store.StoreCall):
                reply = self.store.call(effect)
                if reply is not None:
                    due = self.now + STORE_LATENCY_S
                    heapq.heappush(self.queue, (due, next(self.order), reply))
                continue
            if not isinstance(effect, effects.Send):
                continue
            self.message_bytes += len(wire.ENCODER.encode([effect.message]))
            reply_message = effect.message
            if isinstance(reply_message, ledger_messages.LedgerReply):
                self.note(reply_message)

    def note(self, reply: ledger_messages.LedgerReply) -> None:
        """Notes how long a put took to be durable."""
        if reply.durable and reply.put_id in self.put_at:
            self.waits_s.append(self.now - self.put_at.pop(reply.put_id))

    def put(self, number: int) -> None:
        """Puts one bill."""
        key = f"bill/organisation-{number % 250:04d}/{number:012x}-1"
        record = ledger_records.Record(
            key, ledger_records.RecordKind.BILL, b"x" * RECORD_BYTES
        )
        message = ledger_messages.LedgerPut(
            put_id=number,
            reply_to="127.0.0.1:9",
            shard=ledger_records.shard_of(key, self.owner.shards),
            records=(record,),
            wait_durable=False,
        )
        self.message_bytes += len(wire.encode_frame([message]))
        self.put_at[number] = self.now
        begin = time.process_time()
        out = self.owner.message(now=self.now, message=message)
        self.cpu_s += time.process_time() - begin
        self.take(out)

    def advance(self, until: float) -> None:
        """Lets store replies and ticks happen up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, reply = heapq.heappop(self.queue)
            begin = time.process_time()
            out = self.owner.store_reply(now=self.now, reply=reply)
            self.cpu_s += time.process_time() - begin
            self.take(out)
        self.now = until

    def tick(self) -> None:
        """Ticks the owner."""
        begin = time.process_time()
        out = self.owner.tick(now=self.now)
        self.cpu_s += time.process_time() - begin
        self.take(out)

    def run(self, *, seconds: float, rate_per_s: float) -> None:
        """Lets time pass with puts at a mean rate."""
        begin = self.now
        phase = load_schedule.Phase(duration_s=seconds, rate_per_s=rate_per_s)
        arrivals = load_schedule.draw_arrivals([phase], seed=5)
        moments = [(at, True) for at in arrivals]
        ticks = round(seconds / defaults.TICK_S)
        moments += [(x * defaults.TICK_S, False) for x in range(ticks)]
        for number, (at_s, is_put) in enumerate(sorted(moments)):
            self.advance(begin + at_s)
            if is_put:
                self.put(number)
            else:
                self.tick()


def observe(
    *, shards: int, rate_per_s: float, calls_per_s: float
) -> LedgerCost:
    """Returns what an owner of some shards costs at a rate of records."""
    bench = LedgerBench(shards=shards, calls_per_s=calls_per_s)
    bench.run(seconds=SETTLE_S, rate_per_s=0.0)
    calls = bench.store.calls
    calls.clear()
    bench.store.bytes_written = 0
    bench.cpu_s = 0.0
    bench.run(seconds=OBSERVED_S, rate_per_s=rate_per_s)
    waits = sorted(bench.waits_s) or [0.0]
    operation = store.StoreOperation
    return LedgerCost(
        writes=(calls[operation.PUT] + calls[operation.DELETE]) / OBSERVED_S,
        reads=(calls[operation.GET] + calls[operation.LIST]) / OBSERVED_S,
        written_bytes=bench.store.bytes_written / OBSERVED_S,
        message_bytes=bench.message_bytes / OBSERVED_S,
        cpu_ms=bench.cpu_s / OBSERVED_S * 1000.0,
        wait_p50_ms=waits[len(waits) // 2] * 1000.0,
    )


def build_series(
    over: str, sizes: tuple[int, ...], costs: list[LedgerCost]
) -> list[slopes_series.Series]:
    """Returns the series of all columns."""
    columns = [
        slopes_series.Column("store writes", "1/s", [x.writes for x in costs]),
        slopes_series.Column("store reads", "1/s", [x.reads for x in costs]),
        slopes_series.Column(
            "bytes written", "B/s", [x.written_bytes for x in costs]
        ),
        slopes_series.Column(
            "message bytes", "B/s", [x.message_bytes for x in costs]
        ),
        slopes_series.Column("processor", "ms/s", [x.cpu_ms for x in costs]),
        slopes_series.Column(
            "wait for durability, p50", "ms", [x.wait_p50_ms for x in costs]
        ),
    ]
    return slopes_series.build_all(
        subject="ledger owner", over=over, sizes=sizes, columns=columns
    )


def measure_all() -> list[slopes_series.Series]:
    """Measures an owner over rates, shards and call budgets."""
    by_rate = [
        observe(shards=1, rate_per_s=x, calls_per_s=DEFAULT_BUDGET_PER_S)
        for x in RATES_PER_S
    ]
    by_shards = [
        observe(
            shards=x,
            rate_per_s=RATE_BY_SHARDS_PER_S,
            calls_per_s=DEFAULT_BUDGET_PER_S,
        )
        for x in SHARD_COUNTS
    ]
    by_budget = [
        observe(shards=1, rate_per_s=RATE_BY_SHARDS_PER_S, calls_per_s=x)
        for x in BUDGETS_PER_S
    ]
    return [
        *build_series(
            "records/s (one shard, 60 calls/s)", RATES_PER_S, by_rate
        ),
        *build_series(
            "shards (200 records/s, 60 calls/s)", SHARD_COUNTS, by_shards
        ),
        *build_series(
            "call budget (one shard, 200 records/s)", BUDGETS_PER_S, by_budget
        ),
    ]
