"""What the adoption of a table costs, and how far its news spreads."""

from rhubarbbank_core import table_sync_messages
from rhubarbbank_core import wire
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series

VERSIONS = 7
ORGANISATION_COUNTS = (10, 50, 100, 250)
SUBSET_SIZES = (4, 8, 12, 16, 20)
ENTRY_COUNTS = (10, 40, 120, 250, 370)
ROUNDS = 5
SETTLE_S = 6.0
SOURCE = "entry-1"
MS_PER_S = 1000.0


def adopt(
    bench: slopes_entry.EntryBench, *, organisations: int, revision: int
) -> float:
    """Pushes a table to an entry; returns its processor time in ms."""
    shape = slopes_entry.FleetShape(
        organisations=organisations, versions=VERSIONS
    )
    raw = slopes_entry.build_table(shape, revision=revision)
    bench.reset()
    bench.deliver(table_sync_messages.TablePush(name=SOURCE, raw=raw))
    return bench.cpu_s * MS_PER_S


def measure_adoption(organisations: int) -> float:
    """Returns the least processor time of some adoptions, in ms."""
    bench = slopes_entry.EntryBench(shape=slopes_entry.FleetShape())
    bench.run(SETTLE_S)
    return min(
        adopt(bench, organisations=organisations, revision=10 + turn)
        for turn in range(ROUNDS)
    )


def measure_size(organisations: int) -> float:
    """Returns the bytes of a push of a table."""
    shape = slopes_entry.FleetShape(
        organisations=organisations, versions=VERSIONS
    )
    raw = slopes_entry.build_table(shape)
    push = table_sync_messages.TablePush(name=SOURCE, raw=raw)
    return float(len(wire.encode_frame([push])))


def count_news(shape: slopes_entry.FleetShape) -> float:
    """Returns how many processes an entry tells of a new table."""
    bench = slopes_entry.EntryBench(shape=shape)
    bench.run(SETTLE_S)
    adopt(bench, organisations=10, revision=10)
    return float(bench.sent.messages["TableNews"])


def measure_all() -> list[slopes_series.Series]:
    """Measures adoption over rows, and fan-out over subset and entries."""
    rows = [x * VERSIONS for x in ORGANISATION_COUNTS]
    return [
        slopes_series.build(
            name="table adoption at an entry: processor",
            over="rows",
            unit="ms",
            sizes=rows,
            figures=[measure_adoption(x) for x in ORGANISATION_COUNTS],
        ),
        slopes_series.build(
            name="table push: bytes",
            over="rows",
            unit="B",
            sizes=rows,
            figures=[measure_size(x) for x in ORGANISATION_COUNTS],
        ),
        slopes_series.measure(
            name="table news sent by one entry",
            over="sidecars in the subset (40 entries)",
            unit="messages",
            sizes=SUBSET_SIZES,
            take=lambda x: count_news(
                slopes_entry.FleetShape(entries=40, subset_size=x)
            ),
        ),
        slopes_series.measure(
            name="table news sent by one entry",
            over="entries (subset of 12)",
            unit="messages",
            sizes=ENTRY_COUNTS,
            take=lambda x: count_news(slopes_entry.FleetShape(entries=x)),
        ),
    ]
