"""The command `slopes`: what each part costs, as lines over sizes."""

import pathlib

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import report_files
from rhubarbbank_experiments import slopes_allowances
from rhubarbbank_experiments import slopes_control
from rhubarbbank_experiments import slopes_ledger
from rhubarbbank_experiments import slopes_memory
from rhubarbbank_experiments import slopes_placement
from rhubarbbank_experiments import slopes_platform
from rhubarbbank_experiments import slopes_processes
from rhubarbbank_experiments import slopes_table
from rhubarbbank_experiments import slopes_target

REPORT = "docs/measurements/slopes.json"
DEPLOYMENT = pathlib.Path("experiments/deployments/platzwart.json")


def run(*, report: str = REPORT, processes: bool = True) -> None:
    """Measures all slopes, prints them and writes a report.

    Args:
        report: Where the report goes.
        processes: Whether to check control with real processes, too.
    """
    series = [
        *slopes_placement.measure_all(),
        *slopes_control.measure_all(),
        *slopes_memory.measure_all(),
        *slopes_table.measure_all(),
        *slopes_ledger.measure_all(),
        *slopes_allowances.measure_all(),
        *slopes_platform.measure_all(),
    ]
    if processes:
        deployment = deployments.read_deployment(DEPLOYMENT)
        series += slopes_processes.measure_all(deployment)
    for each in series:
        print(each)
    target = slopes_target.measure()
    print("At the target size, one entry and one sidecar run directly:")
    print(target)
    report_files.write_report(
        pathlib.Path(report),
        command="python -m rhubarbbank_experiments slopes",
        settings={},
        result={"series": series, "target": target},
    )
