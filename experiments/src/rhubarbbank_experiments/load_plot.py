"""Draws a load run: goodput, first-token time and cost, by phase and arm."""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import axes
from matplotlib import pyplot as plt

from rhubarbbank_experiments import load_figures

WIDTH_INCHES = 11.0
HEIGHT_INCHES = 3.6
DOTS_PER_INCH = 110
GROUP_WIDTH = 0.8

PANELS: tuple[tuple[str, Callable[[load_figures.Figures], float]], ...] = (
    ("goodput, requests/s", lambda x: x.goodput_per_s),
    ("first token p95, ms", lambda x: x.first.p95_ms),
    ("cost an answer, millicents", lambda x: x.cost_millicents),
)


def draw(
    figures: dict[str, list[load_figures.Figures]], path: pathlib.Path
) -> None:
    """Writes the plot as a PNG file, a row for each deployment.

    Args:
        figures: By deployment; only those of all models' classes are shown.
        path: Where it goes.
    """
    sheet, panels = plt.subplots(
        len(figures),
        len(PANELS),
        figsize=(WIDTH_INCHES, HEIGHT_INCHES * len(figures)),
        squeeze=False,
    )
    for row, (deployment, found) in zip(panels, figures.items(), strict=True):
        shown = [
            x for x in found if x.request_class == load_figures.MODEL_CLASSES
        ]
        for panel, (label, pick) in zip(row, PANELS, strict=True):
            draw_panel(panel, shown, pick)
            panel.set_ylabel(label)
            panel.set_title(deployment)
        row[0].legend(fontsize="small")
    sheet.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    sheet.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(sheet)


def draw_panel(
    panel: axes.Axes,
    figures: Sequence[load_figures.Figures],
    pick: Callable[[load_figures.Figures], float],
) -> None:
    """Draws one figure as bars: a group for each phase, a bar for each arm."""
    phases = list(dict.fromkeys(x.phase for x in figures))
    arms = list(dict.fromkeys(x.arm for x in figures))
    width = GROUP_WIDTH / len(arms)
    for number, arm in enumerate(arms):
        own = [x for x in figures if x.arm == arm]
        places = [phases.index(x.phase) + number * width for x in own]
        panel.bar(places, [pick(x) for x in own], width, label=arm)
    middle = (GROUP_WIDTH - width) / 2
    panel.set_xticks([x + middle for x in range(len(phases))], phases)
