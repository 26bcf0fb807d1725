"""Draws the mix experiment: worth and its parts by load, a line an arm."""

from collections.abc import Sequence
import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import axes
from matplotlib import pyplot as plt

from rhubarbbank_experiments import mix_figures

WIDTH_INCHES = 12.0
HEIGHT_INCHES = 3.6
DOTS_PER_INCH = 110
PANELS = (
    ("worth", "credit less models, of what is owed"),
    ("worst_class", "credit of the worst class"),
    ("model_cost", "models' price, of what is owed"),
)


def draw(figures: Sequence[mix_figures.MixFigures], path: pathlib.Path) -> None:
    """Writes the plot as a PNG file, a row for each site and trouble.

    Args:
        figures: Of all runs.
        path: Where it goes.
    """
    rows = list(dict.fromkeys((x.mix, x.trouble) for x in figures))
    sheet, panels = plt.subplots(
        len(rows),
        len(PANELS),
        figsize=(WIDTH_INCHES, HEIGHT_INCHES * len(rows)),
        squeeze=False,
    )
    for row, (mix, trouble) in zip(panels, rows, strict=True):
        shown = [x for x in figures if (x.mix, x.trouble) == (mix, trouble)]
        for panel, (name, label) in zip(row, PANELS, strict=True):
            draw_panel(panel, shown, name)
            panel.set_title(f"{mix}, {trouble}")
            panel.set_ylabel(label)
            panel.set_xlabel("load, times the usual")
        row[0].legend(fontsize="small")
    sheet.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    sheet.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(sheet)


def draw_panel(
    panel: axes.Axes, figures: Sequence[mix_figures.MixFigures], name: str
) -> None:
    """Draws one figure by load, its mean over the seeds."""
    for arm in dict.fromkeys(x.arm for x in figures):
        own = [x for x in figures if x.arm == arm]
        loads = sorted({x.load for x in own})
        means = [
            mix_figures.average([x for x in own if x.load == load], name)
            for load in loads
        ]
        panel.plot(loads, means, marker="o", label=arm)
