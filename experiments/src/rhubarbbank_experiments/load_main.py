"""The command `load`: policies side by side under an open-loop load."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import load_figures
from rhubarbbank_experiments import load_observe
from rhubarbbank_experiments import load_page
from rhubarbbank_experiments import load_plot
from rhubarbbank_experiments import load_runs
from rhubarbbank_experiments import load_settings
from rhubarbbank_experiments import load_verdicts
from rhubarbbank_experiments import report_files

SETTINGS = "experiments/settings/load.json"
REPORT = "docs/measurements/load.json"
DEPLOYMENTS = pathlib.Path("experiments/deployments")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunCounts:
    """What is counted once for each run.

    Attributes:
        arm: The policies.
        seed: Of the arrivals.
        bills: Billing records in the store.
        answered: Whole answers that callers got.
        escalations: Answers that a stronger model gave again.
        retries: Attempts that repeated a lost one.
        uses: Of the allowances that were used at all.
        store_calls: What the object API counted.
    """

    arm: str
    seed: int
    bills: int
    answered: int
    escalations: int
    retries: int
    uses: list[load_observe.AllowanceUse]
    store_calls: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentReport:
    """What one deployment showed.

    Attributes:
        deployment: Its name.
        figures: By phase, class and arm, over all seeds.
        verdicts: The figures with a target, over all seeds.
        verdicts_by_seed: The same for each seed alone.
        runs: What was counted once for each run.
    """

    deployment: str
    figures: list[load_figures.Figures]
    verdicts: list[load_verdicts.Verdict]
    verdicts_by_seed: list[list[load_verdicts.Verdict]]
    runs: list[RunCounts]


def build_figures(
    settings: load_settings.LoadSettings, runs: Sequence[load_runs.LoadRun]
) -> list[load_figures.Figures]:
    """Returns the figures of all arms, over the seeds in these runs."""
    return [
        found
        for arm in settings.arms
        for found in load_figures.build_figures(
            settings, [x for x in runs if x.arm == arm]
        )
    ]


def judge(
    settings: load_settings.LoadSettings, runs: Sequence[load_runs.LoadRun]
) -> list[load_verdicts.Verdict]:
    """Returns all verdicts over the seeds in these runs."""
    verdicts = load_verdicts.judge(settings, build_figures(settings, runs))
    for arm in settings.arms:
        uses = [y for x in runs if x.arm == arm for y in x.uses]
        verdicts.append(load_verdicts.judge_allowances(uses, arm=arm.name))
    return verdicts


def count_run(run: load_runs.LoadRun) -> RunCounts:
    """Returns what is counted once for a run."""
    return RunCounts(
        arm=run.arm.name,
        seed=run.seed,
        bills=len(run.bills),
        answered=sum(x.whole_s is not None for x in run.calls),
        escalations=run.escalations,
        retries=run.retries,
        uses=[x for x in run.uses if x.busiest],
        store_calls=run.store_calls,
    )


def run_deployment(
    settings: load_settings.LoadSettings, name: str
) -> tuple[DeploymentReport, list[str]]:
    """Runs every arm with every seed; returns the report and its page."""
    deployment = deployments.read_deployment(DEPLOYMENTS / f"{name}.json")
    runs = []
    for seed in settings.seeds:
        for arm in settings.arms:
            runs.append(load_runs.run(settings, deployment, arm=arm, seed=seed))
            print(f"{name}: {arm.name} ran with seed {seed}", flush=True)
    report = DeploymentReport(
        deployment=name,
        figures=build_figures(settings, runs),
        verdicts=judge(settings, runs),
        verdicts_by_seed=[
            judge(settings, [x for x in runs if x.seed == seed])
            for seed in settings.seeds
        ],
        runs=[count_run(x) for x in runs],
    )
    page = [
        f"## {name}",
        "",
        *load_page.lay_out_figures(report.figures),
        "",
        *load_page.lay_out_runs(runs),
        "",
        *load_page.lay_out_verdicts(report.verdicts, report.verdicts_by_seed),
        "",
    ]
    return report, page


def join(names: Iterable[str]) -> str:
    """Returns names as the command line takes them."""
    return ",".join(names)


def run(
    *,
    settings: str = SETTINGS,
    report: str = REPORT,
    deployment_names: Sequence[str] = (),
    arms: Sequence[str] = (),
    seeds: Sequence[int] = (),
) -> None:
    """Runs the load and writes a report, a plot and a page.

    Args:
        settings: The JSON file that says what to offer.
        report: Where the report goes; plot and page stand beside it.
        deployment_names: Those to run; nothing named runs all.
        arms: Those to run; nothing named runs all.
        seeds: In place of the settings'.
    """
    wanted = load_settings.narrow(
        load_settings.read_settings(pathlib.Path(settings)),
        deployments=deployment_names,
        arms=arms,
        seeds=seeds,
    )
    command = (
        f"python -m rhubarbbank_experiments load --settings {settings} "
        f"--report {report} --deployments {join(wanted.deployments)} "
        f"--arms {join(x.name for x in wanted.arms)} "
        f"--seeds {join(str(x) for x in wanted.seeds)}"
    )
    reports = []
    path = pathlib.Path(report)
    plot = path.with_suffix(".png")
    page = ["# Load", "", f"    {command}", "", f"![by phase]({plot.name})", ""]
    for name in wanted.deployments:
        found, lines = run_deployment(wanted, name)
        reports.append(found)
        page += lines
        print("\n".join(lines), flush=True)
    load_plot.draw({x.deployment: x.figures for x in reports}, plot)
    report_files.write_report(
        path, command=command, settings=wanted, result=reports
    )
    path.with_suffix(".md").write_text("\n".join(page), encoding="utf-8")
