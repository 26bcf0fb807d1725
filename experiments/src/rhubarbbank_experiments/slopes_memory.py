"""Memory of each table of state for one more item, by tracemalloc."""

from collections.abc import Callable
import functools
import gc
import random
import tracemalloc

from rhubarbbank_core import effects
from rhubarbbank_core import entry_state
from rhubarbbank_core import events
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_records
from rhubarbbank_core import membership_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar
from rhubarbbank_core import sidecar_attempts
from rhubarbbank_core import sidecar_control
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series

COUNTS = (500, 1000, 2000, 4000)
ROW_COUNTS = (70, 350, 700, 1750)
ORGANISATIONS = 250
ANSWER_EVENTS = 274
EVENT_BYTES = 180


def measure_growth(build: Callable[[], object]) -> float:
    """Returns how much memory what `build` returns takes, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(after - before)


def build_pins(count: int) -> object:
    """Returns an entry's known pins."""
    return {
        f"pin/organisation-{x % ORGANISATIONS:04d}/session-{x:08x}": (
            entry_state.SessionPin(
                key=table.VersionKey("model-1", "v1"), upstream=f"engine-{x}"
            )
        )
        for x in range(count)
    }


def build_ledger(count: int, kind: ledger_records.RecordKind) -> object:
    """Returns a shard's memory of committed records of one kind."""
    memory = ledger_memory.ShardMemory(
        retention=ledger_memory.Retention(
            pin_bytes=10**9, claim_bytes=10**9, digests=10**9
        ),
        fold=ledger_records.DiscardEvidence(),
    )
    for x in range(count):
        name = f"organisation-{x % ORGANISATIONS:04d}/{x:016x}-1"
        record = ledger_records.Record(f"{kind.name}/{name}", kind, b"x" * 30)
        memory.apply((record,), sequence=x + 1, now=0.0)
        # Archives take the bills over; only their digests stay.
        memory.take_archived(last=x + 1)
    return memory


def build_submit(number: int) -> path_messages.Submit:
    """Returns a sidecar's order to run one attempt."""
    return path_messages.Submit(
        request_id=f"0123456789ab-{number:x}",
        attempt=1,
        reply_to="127.0.0.1:1",
        incarnation=1,
        kind=requests.WorkKind.CHAT,
        organisation="organisation-0001",
        model="model-0",
        version="v1",
        pinned=False,
        request_class="chat",
        priority=5,
        deadline_s=60.0,
        table_revision=1,
        first_event=0,
        method="POST",
        path="",
        idempotency_key="",
        body=b"x" * 400,
        alone=False,
        fingerprint=number,
    )


def build_attempts(count: int) -> object:
    """Returns a sidecar's running attempts, each with its whole answer."""
    reducer = sidecar.SidecarReducer(
        identity=sidecar_control.SidecarIdentity(
            name="engine-0",
            incarnation=1,
            peer_address="127.0.0.1:2",
            data_centre="data-centre-0",
            upstream="engine-0",
            kind=requests.WorkKind.CHAT,
        ),
        call_ids=effects.CallIds(),
        rng=random.Random(1),
    )
    for x in range(count):
        submit = build_submit(x)
        attempt = sidecar_attempts.Attempt(submit=submit, arrived_at=0.0)
        reducer.attempts.add_waiting(attempt)
        reducer.attempts.mark_running(attempt)
        for number in range(ANSWER_EVENTS):
            event = bytes(EVENT_BYTES - 4) + number.to_bytes(4, "big")
            reducer.forward(events.UpstreamData(submit.request_id, 1, [event]))
    return reducer


def build_directory(count: int) -> object:
    """Returns an entry's directory rows of sidecars."""
    bench = slopes_entry.EntryBench(shape=slopes_entry.FleetShape(entries=2))
    found = bench.reducer.state.control.fleet.membership.directory
    rows = tuple(bench.make_row(x) for x in range(count))
    update = membership_messages.DirectoryUpdate(name="x", sidecars=rows)
    found.merge(update)
    return bench


def build_rows(count: int) -> object:
    """Returns the table of a number of rows, decoded, with its index."""
    shape = slopes_entry.FleetShape(organisations=count // 7, versions=7)
    stored = table_codec.decode_table(slopes_entry.build_table(shape))
    return stored, stored.table.by_organisation


def measure_all() -> list[slopes_series.Series]:
    """Measures all tables of state."""
    kinds = ledger_records.RecordKind
    builders: list[tuple[str, Callable[[int], object], tuple[int, ...]]] = [
        ("entry's pins", build_pins, COUNTS),
        (
            "shard's pin records",
            lambda count: build_ledger(count, kinds.PIN),
            COUNTS,
        ),
        (
            "shard's claim records",
            lambda count: build_ledger(count, kinds.CLAIM),
            COUNTS,
        ),
        (
            "shard's bill digests",
            lambda count: build_ledger(count, kinds.BILL),
            COUNTS,
        ),
        (
            "sidecar's attempts with 274 events",
            build_attempts,
            (25, 50, 100, 200),
        ),
        ("entry's directory rows of sidecars", build_directory, COUNTS),
        ("table rows", build_rows, ROW_COUNTS),
    ]
    return [
        slopes_series.build(
            name=f"memory of {name}",
            over="items",
            unit="B",
            sizes=sizes,
            figures=[
                measure_growth(functools.partial(build, size)) for size in sizes
            ],
        )
        for name, build, sizes in builders
    ]
