"""The target size, run directly where one process can be driven alone."""

import dataclasses

import msgspec

from rhubarbbank_core import membership_messages
from rhubarbbank_core import wire
from rhubarbbank_experiments import slopes_control
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_ledger
from rhubarbbank_experiments import slopes_memory
from rhubarbbank_experiments import slopes_platform
from rhubarbbank_experiments import slopes_sidecar

SHAPE = slopes_entry.FleetShape(
    entries=370,
    sidecars=600,
    subset_size=12,
    versions=7,
    data_centres=4,
    organisations=250,
    shards=128,
)
MB = 1_000_000.0
MS_PER_S = 1000.0
RECORDS_PER_S = 3100.0
WRITES_PER_SHARD_PER_S = 2.0
LOSS_OBSERVED_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """What one event costs an entry.

    Attributes:
        cpu_ms: Processor time of reducer and codec.
        sent: Messages sent.
        sent_bytes: Their bytes.
    """

    cpu_ms: float
    sent: int
    sent_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetPoint:
    """Figures at the target size.

    Attributes:
        entry: Control of an idle entry that owns no shard alone.
        entry_state_mb: The entry's state, settled.
        targets: Sidecars that the entry greets.
        interval_s: Time between two greetings of one sidecar.
        silent_after_s: Silence after which a sidecar is no candidate.
        sidecar: Control of a sidecar greeted by its share of the entries.
        watchers: Entries that watch the store.
        watcher_reads_per_s: Table reads of one of them.
        sent: Messages of an idle entry by kind, a second.
        host_list_bytes: The platform's list, which each entry reads.
        ledger: An owner of one of 128 shards at its share of the records,
            held to its share of the store's writes.
        row_change: Messages and bytes with which one entry passes on one
            sidecar's changed row.
        lost_place: Processor time, messages and bytes of one entry in the
            20 s after the platform's list lost a data centre.
    """

    entry: slopes_control.ControlCost
    entry_state_mb: float
    targets: int
    interval_s: float
    silent_after_s: float
    sidecar: slopes_control.ControlCost
    watchers: int
    watcher_reads_per_s: float
    sent: dict[str, float]
    host_list_bytes: int
    ledger: slopes_ledger.LedgerCost
    row_change: Burst
    lost_place: Burst


def take_burst(bench: slopes_entry.EntryBench) -> Burst:
    """Returns what a bench has counted since it was reset."""
    return Burst(
        cpu_ms=bench.cpu_s * MS_PER_S,
        sent=bench.sent.count(),
        sent_bytes=bench.sent.size(),
    )


def measure_row_change() -> Burst:
    """Lets one sidecar's row change by a rumour."""
    bench = slopes_entry.EntryBench(shape=SHAPE)
    bench.run(slopes_control.WARM_UP_S)
    row = msgspec.structs.replace(bench.make_row(5), generation=2)
    bench.reset()
    bench.deliver(
        membership_messages.DirectoryUpdate(name="entry-1", sidecars=(row,))
    )
    return take_burst(bench)


def measure_lost_place() -> Burst:
    """Takes one data centre off the platform's list.

    The bench's lost processes go on to answer, so that the cost of the new
    subsets and peers shows, without the rumours about each lost entry.
    """
    bench = slopes_entry.EntryBench(shape=SHAPE)
    bench.run(slopes_control.WARM_UP_S)
    lost = bench.place(1)
    hosts = msgspec.json.decode(bench.host_list, type=list[wire.ListedHost])
    bench.host_list = msgspec.json.encode(
        [x for x in hosts if x.data_centre != lost]
    )
    bench.reset()
    bench.run(LOSS_OBSERVED_S)
    return take_burst(bench)


def measure() -> TargetPoint:
    """Runs an entry and a sidecar amid a fleet of the target size."""
    bench = slopes_entry.EntryBench(shape=SHAPE)
    cost = slopes_control.observe(bench)
    sent = {
        kind: count / slopes_control.OBSERVED_S
        for kind, count in bench.sent.messages.items()
    }
    membership = bench.reducer.state.control.fleet.membership
    targets = len(membership.targets)
    # Greetings come from all entries and go to all sidecars evenly; the
    # bench's entries greet once a second each.
    greetings = targets / membership.interval_s() * SHAPE.entries
    greeting_entries = round(greetings / SHAPE.sidecars)
    host_list_bytes = len(bench.host_list)
    del bench

    def build() -> object:
        found = slopes_entry.EntryBench(shape=SHAPE)
        found.run(slopes_control.WARM_UP_S)
        return found

    return TargetPoint(
        entry=cost,
        entry_state_mb=slopes_memory.measure_growth(build) / MB,
        targets=targets,
        interval_s=membership.interval_s(),
        silent_after_s=membership.suspect_after_s(),
        sidecar=slopes_control.observe(
            slopes_sidecar.SidecarBench(entries=greeting_entries)
        ),
        watchers=slopes_platform.count_watchers(
            entries=SHAPE.entries, data_centres=SHAPE.data_centres
        ),
        watcher_reads_per_s=slopes_platform.measure_reads(),
        sent=sent,
        host_list_bytes=host_list_bytes,
        ledger=slopes_ledger.observe(
            shards=1,
            rate_per_s=RECORDS_PER_S / SHAPE.shards,
            calls_per_s=WRITES_PER_SHARD_PER_S,
        ),
        row_change=measure_row_change(),
        lost_place=measure_lost_place(),
    )
