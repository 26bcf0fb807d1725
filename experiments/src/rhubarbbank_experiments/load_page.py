"""Writes a load run as a page of Markdown that a person can read."""

from collections.abc import Iterable
from collections.abc import Sequence

from rhubarbbank_experiments import load_figures
from rhubarbbank_experiments import load_runs
from rhubarbbank_experiments import load_verdicts

FIGURES_HEAD = (
    "phase",
    "class",
    "policy",
    "offered",
    "cost, millicents",
    "quality / as rated / target",
    "first token p50 / p95, ms",
    "whole p50 / p95, ms",
    "goodput, 1/s",
    "failed, by code",
)
RUNS_HEAD = (
    "policy",
    "seed",
    "bills / whole answers",
    "escalations",
    "retries",
    "allowance used in a minute, most",
    "exceeded",
    "store writes, reads, watches",
    "peak writes/s",
)
VERDICTS_HEAD = ("phase", "figure", "value", "target", "verdict", "by seed")


def lay_out(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Returns a table's lines."""
    lines = [head, ["---"] * len(head), *rows]
    return [f"| {' | '.join(x)} |" for x in lines]


def name_failures(failures: dict[str, int]) -> str:
    """Returns the counts of failed calls by code."""
    return ", ".join(f"{k} {v}" for k, v in sorted(failures.items())) or "-"


def lay_out_figures(figures: Sequence[load_figures.Figures]) -> list[str]:
    """Returns the table with policies side by side for each class."""
    # Sorting keeps the order of arms within each phase and class.
    phases = list(dict.fromkeys(x.phase for x in figures))
    classes = list(dict.fromkeys(x.request_class for x in figures))
    ordered = sorted(
        figures,
        key=lambda x: (phases.index(x.phase), classes.index(x.request_class)),
    )
    return lay_out(FIGURES_HEAD, [lay_out_row(x) for x in ordered])


def lay_out_row(found: load_figures.Figures) -> list[str]:
    """Returns one row of the table of figures."""
    quality = "-"
    if found.quality is not None and found.rated is not None:
        quality = (
            f"{found.quality:.3f} / {found.rated:.3f} / "
            f"{found.quality_target:.2f}"
        )
    return [
        found.phase,
        found.request_class,
        found.arm,
        str(found.offered),
        f"{found.cost_millicents:.1f}",
        quality,
        f"{found.first.p50_ms:.0f} / {found.first.p95_ms:.0f}",
        f"{found.whole.p50_ms:.0f} / {found.whole.p95_ms:.0f}",
        f"{found.goodput_per_s:.1f}",
        name_failures(found.failures),
    ]


def lay_out_runs(runs: Sequence[load_runs.LoadRun]) -> list[str]:
    """Returns the table of what was counted once for each run."""
    rows = []
    for run in runs:
        used = max(x.busiest / x.limit for x in run.uses)
        answered = sum(x.whole_s is not None for x in run.calls)
        counts = run.store_calls
        calls = ", ".join(
            str(counts.get(x, 0)) for x in ("writes", "reads", "watches")
        )
        rows.append(
            [
                run.arm.name,
                str(run.seed),
                f"{len(run.bills)} / {answered}",
                str(run.escalations),
                str(run.retries),
                f"{used:.1%}",
                str(sum(x.busiest > x.limit for x in run.uses)),
                calls,
                str(counts.get("peak_writes_per_s", 0)),
            ]
        )
    return lay_out(RUNS_HEAD, rows)


def lay_out_verdicts(
    verdicts: Sequence[load_verdicts.Verdict],
    by_seed: Sequence[Sequence[load_verdicts.Verdict]],
) -> list[str]:
    """Returns the table of targets, with each seed's own figure behind."""
    rows = []
    for found in verdicts:
        seeds = [
            f"{x.value:.4g}"
            for each in by_seed
            for x in each
            if (x.phase, x.figure) == (found.phase, found.figure)
        ]
        rows.append(
            [
                found.phase,
                found.figure,
                f"{found.value:.4g}",
                found.target,
                "met" if found.is_met else "MISSED",
                ", ".join(seeds),
            ]
        )
    return lay_out(VERDICTS_HEAD, rows)
