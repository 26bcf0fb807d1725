"""Store reads and watches of all entries, by entries and data centres."""

from rhubarbbank_core import gossip
from rhubarbbank_core import store
from rhubarbbank_core import subset
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series

ENTRY_COUNTS = (40, 120, 250, 370, 740)
DATA_CENTRE_COUNTS = (1, 2, 4, 8)
ENTRIES = 370
DATA_CENTRES = 4
SETTLE_S = 6.0
OBSERVED_S = 30.0


def count_watchers(*, entries: int, data_centres: int) -> int:
    """Returns how many entries of the fleet watch the store."""
    names: dict[str, list[str]] = {}
    for number in range(entries):
        place = f"data-centre-{number % data_centres}"
        names.setdefault(place, []).append(f"entry-{number}")
    return sum(
        len(gossip.choose_watchers(found, data_centre=place))
        for place, found in names.items()
    )


def count_peers(*, entries: int, data_centres: int) -> float:
    """Returns how many entries each entry probes, on the average."""
    members = [
        subset.Member(f"entry-{x}", f"data-centre-{x % data_centres}")
        for x in range(entries)
    ]
    probed = [len(gossip.choose_peers(members, own=x)) for x in members[:40]]
    return sum(probed) / len(probed)


def measure_reads() -> float:
    """Returns the reads a second of one entry that watches."""
    bench = slopes_entry.EntryBench(
        shape=slopes_entry.FleetShape(entries=3, data_centres=1)
    )
    bench.run(SETTLE_S)
    if not bench.reducer.state.control.fleet.membership.watching:
        raise LookupError("The entry does not watch.")
    bench.reset()
    bench.reducer.state.control.owner.set_live(now=bench.now, names=[])
    bench.run(OBSERVED_S)
    return bench.store.calls[store.StoreOperation.GET] / OBSERVED_S


def measure_all() -> list[slopes_series.Series]:
    """Measures watchers and probes over entries and data centres."""
    return [
        slopes_series.measure(
            name="entries that watch the store, and read it each second",
            over="entries (4 data centres)",
            unit="entries",
            sizes=ENTRY_COUNTS,
            take=lambda x: float(
                count_watchers(entries=x, data_centres=DATA_CENTRES)
            ),
        ),
        slopes_series.measure(
            name="entries that watch the store, and read it each second",
            over="data centres (370 entries)",
            unit="entries",
            sizes=DATA_CENTRE_COUNTS,
            take=lambda x: float(
                count_watchers(entries=ENTRIES, data_centres=x)
            ),
        ),
        slopes_series.measure(
            name="entries that one entry probes each second",
            over="entries (4 data centres)",
            unit="entries",
            sizes=ENTRY_COUNTS,
            take=lambda x: count_peers(entries=x, data_centres=DATA_CENTRES),
        ),
    ]
