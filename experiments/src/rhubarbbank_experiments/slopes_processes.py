"""Control of real, idle processes, over the number of sidecars."""

import contextlib
import time

import msgspec

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet as fleets
from rhubarbbank_experiments import report_process
from rhubarbbank_experiments import slopes_series

SIDECAR_COUNTS = (2, 6, 12, 18)
ENTRY = "entry-0"
SIDECAR = "engine-0"
SETTLE_S = 2.0
OBSERVED_S = 12.0
MS_PER_S = 1000.0


def observe(
    deployment: deployments.Deployment, *, sidecars: int
) -> dict[str, tuple[float, float]]:
    """Returns processor ms/s and resident MB of an entry and a sidecar."""
    wanted = msgspec.structs.replace(
        deployment, entries=1, engines=sidecars, services=0
    )
    fleet = fleets.Fleet(
        deployment=wanted, entry_settings={"subset_size": sidecars}
    )
    with contextlib.closing(fleet):
        fleet.start()
        time.sleep(SETTLE_S)
        pids = {x: fleet.members[x].pid for x in (ENTRY, SIDECAR)}
        before = {x: report_process.read_usage(y) for x, y in pids.items()}
        time.sleep(OBSERVED_S)
        after = {x: report_process.read_usage(y) for x, y in pids.items()}
    return {
        name: (
            (after[name].cpu_s - before[name].cpu_s) / OBSERVED_S * MS_PER_S,
            after[name].resident_mb,
        )
        for name in pids
    }


def measure_all(
    deployment: deployments.Deployment,
) -> list[slopes_series.Series]:
    """Measures idle processes over the number of sidecars."""
    found = [observe(deployment, sidecars=x) for x in SIDECAR_COUNTS]
    columns = [
        ("entry's process, idle: processor", "ms/s", ENTRY, 0),
        ("entry's process, idle: resident", "MB", ENTRY, 1),
        ("sidecar's process, idle: processor", "ms/s", SIDECAR, 0),
        ("sidecar's process, idle: resident", "MB", SIDECAR, 1),
    ]
    return [
        slopes_series.build(
            name=name,
            over="sidecars in the fleet",
            unit=unit,
            sizes=SIDECAR_COUNTS,
            figures=[x[process][column] for x in found],
        )
        for name, unit, process, column in columns
    ]
