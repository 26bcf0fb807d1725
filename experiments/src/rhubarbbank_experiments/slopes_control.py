"""Processor time and bytes that control costs an entry and a sidecar."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol

from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series
from rhubarbbank_experiments import slopes_sidecar

SUBSET_SIZES = (4, 8, 12, 16, 20)
ENTRY_COUNTS = (10, 40, 120, 250, 370)
SIDECAR_COUNTS = (60, 150, 300, 600)
GREETING_COUNTS = (2, 8, 16, 32, 64)
WARM_UP_S = 8.0
OBSERVED_S = 20.0
ROUNDS = 3
MS_PER_S = 1000.0


class Bench(Protocol):
    """What runs a reducer through time and counts."""

    cpu_s: float
    sent: slopes_entry.Traffic
    received: slopes_entry.Traffic

    def run(self, seconds: float) -> None:
        """Lets time pass."""

    def reset(self) -> None:
        """Starts counting anew."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """What a process spends on control in a second of an idle fleet.

    Attributes:
        cpu_ms: Processor time of reducer and codec, in milliseconds; the
            least of some rounds, since other work on the machine only adds.
        sent_bytes: Encoded bytes sent.
        received_bytes: Encoded bytes received.
        sent: Messages sent.
        received: Messages received.
    """

    cpu_ms: float
    sent_bytes: float
    received_bytes: float
    sent: float
    received: float


def observe(bench: Bench) -> ControlCost:
    """Returns what a bench's process spends once it has settled."""
    bench.run(WARM_UP_S)
    cpu_s = []
    for _ in range(ROUNDS):
        bench.reset()
        bench.run(OBSERVED_S)
        cpu_s.append(bench.cpu_s)
    return ControlCost(
        cpu_ms=min(cpu_s) / OBSERVED_S * MS_PER_S,
        sent_bytes=bench.sent.size() / OBSERVED_S,
        received_bytes=bench.received.size() / OBSERVED_S,
        sent=bench.sent.count() / OBSERVED_S,
        received=bench.received.count() / OBSERVED_S,
    )


def observe_entry(shape: slopes_entry.FleetShape) -> ControlCost:
    """Returns what an entry spends amid a fleet."""
    return observe(slopes_entry.EntryBench(shape=shape))


def build_series(
    name: str, over: str, sizes: Sequence[int], costs: Sequence[ControlCost]
) -> list[slopes_series.Series]:
    """Returns the series of processor time, bytes and messages."""
    columns = [
        slopes_series.Column("processor", "ms/s", [x.cpu_ms for x in costs]),
        slopes_series.Column(
            "bytes sent", "B/s", [x.sent_bytes for x in costs]
        ),
        slopes_series.Column(
            "bytes received", "B/s", [x.received_bytes for x in costs]
        ),
        slopes_series.Column("messages sent", "1/s", [x.sent for x in costs]),
    ]
    return slopes_series.build_all(
        subject=name, over=over, sizes=sizes, columns=columns
    )


def measure_all() -> list[slopes_series.Series]:
    """Measures control over subset, entries, sidecars and greetings."""
    shape = slopes_entry.FleetShape(entries=40, sidecars=60)
    by_subset = [
        observe_entry(dataclasses.replace(shape, subset_size=x))
        for x in SUBSET_SIZES
    ]
    by_entries = [
        observe_entry(dataclasses.replace(shape, entries=x))
        for x in ENTRY_COUNTS
    ]
    by_sidecars = [
        observe_entry(dataclasses.replace(shape, sidecars=x))
        for x in SIDECAR_COUNTS
    ]
    by_greetings = [
        observe(slopes_sidecar.SidecarBench(entries=x)) for x in GREETING_COUNTS
    ]
    return [
        *build_series(
            "entry's control",
            "sidecars in the subset",
            SUBSET_SIZES,
            by_subset,
        ),
        *build_series("entry's control", "entries", ENTRY_COUNTS, by_entries),
        *build_series(
            "entry's control",
            "sidecars in the fleet",
            SIDECAR_COUNTS,
            by_sidecars,
        ),
        *build_series(
            "sidecar's control",
            "entries that greet it",
            GREETING_COUNTS,
            by_greetings,
        ),
    ]
