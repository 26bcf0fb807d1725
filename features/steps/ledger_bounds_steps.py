"""Steps for the bounds of the ledger."""

import random

from behave import given
from behave import then
from behave import when
import ledger_fake_store

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_takeover

Kind = ledger_records.RecordKind
WRITE_ID = ledger_log.WriteId("test", 1)


class CountEvidence:
    """Counts batches."""

    def subject(self, record):
        return "batches"

    def add(self, total, record):
        return str(int(total or b"0") + 1).encode()


def new_memory(shards=8):
    return ledger_memory.ShardMemory(
        retention=ledger_memory.plan_retention(shards), fold=CountEvidence()
    )


def record(kind, number, size=100):
    key = f"{kind.name}/{number:08d}"
    size -= len(key) + ledger_memory.RECORD_OVERHEAD_BYTES
    return ledger_records.Record(key, kind, b"x" * size)


def fill(memory, kind, count):
    records = tuple(record(kind, number) for number in range(count))
    memory.apply(records, sequence=memory.sequence + 1, now=0.0)


@given("a ledger memory with a committed {kind}")
def make_memory(context, kind):
    context.kind = Kind[kind.upper()]
    context.memory = new_memory()
    fill(context.memory, context.kind, 1)


@when("the ledger memory is asked for it after {at:d} s")
def ask(context, at):
    key = record(context.kind, 0).key
    assert context.memory.find(key, now=float(at))


@then("the ledger memory knows it after {early:d} s and not after {late:d} s")
def check_time(context, early, late):
    key = record(context.kind, 0).key
    # Being asked is a use, which prolongs some kinds: expire first.
    if context.kind in ledger_memory.EVICTED_KINDS:
        context.memory.expire(now=float(early))
        assert key in context.memory.kept[context.kind]
    else:
        assert context.memory.find(key, now=float(early))
    assert not context.memory.find(key, now=float(late))


@given("a ledger memory with {count:d} committed {kind} records of 100 bytes")
def make_full_memory(context, count, kind):
    context.kind = Kind[kind.upper()]
    context.memory = new_memory()
    fill(context.memory, context.kind, count)


@then(
    "the ledger memory takes {verdict} more of that kind and has the oldest"
    ' "{oldest}"'
)
def check_room(context, verdict, oldest):
    memory = context.memory
    more = record(context.kind, 99_999_999)
    has_room = memory.has_room(more, waiting={}, waiting_bytes={})
    assert has_room == (verdict == "one")
    found = memory.find(record(context.kind, 0).key, now=0.0)
    assert (found is not None) == (oldest == "yes")


@given("a ledger memory of one of {shards:d} shards")
def make_memory_of_shards(context, shards):
    context.memory = new_memory(shards)
    context.refused = {}


@when("{rate:g} {kind}s of {size:d} bytes a second come for {period:d} s")
def commit_at_rate(context, rate, kind, size, period):
    kind = Kind[kind.upper()]
    context.refused[kind] = commit(
        context.memory, kind, round(rate * period), size=size
    )


@when("{rate:g} bills a second come for {period:d} s")
def commit_bills(context, rate, period):
    count = round(rate * period)
    context.refused[Kind.BILL] = commit(context.memory, Kind.BILL, count)


def commit(memory, kind, count, size=100):
    """Commits what there is room for; returns how many were refused."""
    refused = 0
    for number in range(count):
        more = record(kind, number, size)
        if memory.has_room(more, waiting={}, waiting_bytes={}):
            memory.apply((more,), sequence=memory.sequence + 1, now=0.0)
        else:
            refused += 1
    return refused


@then("the ledger memory took them all")
def check_all_taken(context):
    assert not any(context.refused.values()), context.refused


@given("a ledger memory of one of {shards:d} shards that is full of every kind")
def make_brimming_memory(context, shards):
    memory = context.memory = new_memory(shards)
    for kind in Kind:
        number = 0
        more = record(kind, 0)
        bound = memory.retention.digests
        while number < bound and memory.has_room(
            more, waiting={}, waiting_bytes={}
        ):
            memory.apply((more,), sequence=memory.sequence + 1, now=0.0)
            number += 1
            more = record(kind, number)
    memory.sums = {"s": b"x" * memory.retention.sum_bytes}


@then("the ledger's checkpoint of it is smaller than a megabyte")
def check_checkpoint(context):
    checkpoint = context.memory.snapshot(write_id=WRITE_ID, now=500.0)
    size = len(ledger_log.encode(checkpoint))
    print(f"largest checkpoint: {size} bytes")
    assert size < 1_000_000, size


@given("a ledger memory that counts evidence")
def make_counting_memory(context):
    context.memory = new_memory()


@when(
    "the ledger memory commits {count:d} batches and is restored from a"
    " checkpoint"
)
def restore(context, count):
    fill(context.memory, Kind.EVIDENCE, count)
    value = ledger_log.encode(
        context.memory.snapshot(write_id=WRITE_ID, now=10.0)
    )
    context.memory = new_memory()
    context.memory.restore(
        ledger_log.CHECKPOINT_DECODER.decode(value), now=1000.0
    )


@then(
    "the ledger memory has the evidence sum {total:d} and knows the batches'"
    " keys"
)
def check_sum(context, total):
    assert context.memory.sums == {"batches": str(total).encode()}
    for number in range(total):
        key = record(Kind.EVIDENCE, number).key
        assert context.memory.find(key, now=1000.0)


@when(
    "a ledger take-over's fencing write is answered {after:d} s after it listed"
)
def answer_late(context, after):
    fake = ledger_fake_store.FakeStore()
    taking = context.taking = ledger_takeover.TakeOver(
        context=ledger_context.LedgerContext(
            name="a",
            incarnation="a/0",
            call_ids=effects.CallIds(),
            rng=random.Random(1),
            timing=ledger_context.LedgerTiming(),
            retention=ledger_memory.Retention(),
            fold=CountEvidence(),
        ),
        shard=0,
    )
    calls = taking.tick(now=0.0)
    for now in (0.1, 0.2, float(after)):
        (call,) = calls
        calls = taking.reply(now=now, reply=fake.call(call), gone=set())


@then('the ledger take-over succeeded: "{taken}"')
def check_taken(context, taken):
    assert (context.taking.taken is not None) == (taken == "yes")
