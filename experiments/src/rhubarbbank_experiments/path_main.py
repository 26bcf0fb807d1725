"""The command `path`: what entry and sidecar add to a stream, and cost."""

import asyncio
import contextlib
import pathlib

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet as fleets
from rhubarbbank_experiments import path_plot
from rhubarbbank_experiments import path_report
from rhubarbbank_experiments import path_runs
from rhubarbbank_experiments import path_settings
from rhubarbbank_experiments import report_files

SETTINGS = "experiments/settings/path.json"
REPORT = "docs/measurements/path.json"
DEPLOYMENTS = pathlib.Path("experiments/deployments")


def build_point(outcome: path_runs.Outcome) -> path_plot.Point:
    """Returns a scenario as the plot shows it."""
    direct = outcome.direct.first_token
    routed = outcome.routed.first_token
    return path_plot.Point(
        open_streams=outcome.scenario.open_streams,
        tokens_per_s=outcome.tokens_per_s,
        entry_core_share=outcome.entry.core_share,
        sidecar_core_share=outcome.sidecar.core_share,
        added_p50_ms=routed.p50_ms - direct.p50_ms,
        added_p95_ms=routed.p95_ms - direct.p95_ms,
    )


def run(*, settings: str = SETTINGS, report: str = REPORT) -> None:
    """Measures the path and writes a report.

    Args:
        settings: The JSON file that says what to measure.
        report: Where the report goes.
    """
    wanted = path_settings.read_settings(pathlib.Path(settings))
    deployment = deployments.read_deployment(
        DEPLOYMENTS / f"{wanted.deployment}.json"
    )
    fleet = fleets.Fleet(
        deployment=path_runs.shrink(deployment, wanted),
        engine_settings={
            "base_step_ms": wanted.step_ms,
            "per_running_ms": 0.0,
            "max_batch": path_runs.MAX_BATCH,
            "prefill_tokens_per_s": path_runs.PREFILL_TOKENS_PER_S,
        },
    )
    with contextlib.closing(fleet):
        fleet.start()
        bench = path_runs.PathRun(settings=wanted, fleet=fleet)
        idle = bench.measure_idle()
        outcomes = asyncio.run(bench.run_all())
    lines = path_report.judge(idle, outcomes)
    for line in lines:
        print(line)
    path_plot.draw(
        [
            build_point(x)
            for x in outcomes
            if x.scenario.mode is path_settings.Mode.SPREAD
        ],
        pathlib.Path(report).with_suffix(".png"),
    )
    report_files.write_report(
        pathlib.Path(report),
        command=f"python -m rhubarbbank_experiments path --settings {settings}",
        settings=wanted,
        result={
            "figures": [
                {
                    "name": x.name,
                    "value": round(x.value, 3),
                    "unit": x.unit,
                    "target": x.target,
                    "verdict": x.verdict,
                }
                for x in lines
            ],
            "idle": idle,
            "scenarios": outcomes,
        },
    )
