"""Draws the path's figures: processor time and added first-token time."""

from collections.abc import Sequence
import dataclasses
import pathlib

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.6
DOTS_PER_INCH = 110


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """What the plot shows of one scenario.

    Attributes:
        open_streams: Streams open at once.
        tokens_per_s: Carried.
        entry_core_share: Of one core.
        sidecar_core_share: Of one core.
        added_p50_ms: To the first token.
        added_p95_ms: To the first token.
    """

    open_streams: int
    tokens_per_s: float
    entry_core_share: float
    sidecar_core_share: float
    added_p50_ms: float
    added_p95_ms: float


def draw(points: Sequence[Point], path: pathlib.Path) -> None:
    """Writes the plot as a PNG file."""
    figure, (left, right) = plt.subplots(
        1, 2, figsize=(WIDTH_INCHES, HEIGHT_INCHES)
    )
    ordered = sorted(points, key=lambda x: x.tokens_per_s)
    rates = [x.tokens_per_s for x in ordered]
    left.plot(rates, [x.entry_core_share for x in ordered], "o-", label="entry")
    left.plot(
        rates, [x.sidecar_core_share for x in ordered], "s-", label="sidecar"
    )
    left.set_xlabel("tokens/s")
    left.set_ylabel("share of a core")
    left.legend()
    streams = [x.open_streams for x in ordered]
    right.plot(streams, [x.added_p50_ms for x in ordered], "o-", label="p50")
    right.plot(streams, [x.added_p95_ms for x in ordered], "s-", label="p95")
    right.set_xlabel("open streams, spread arrivals")
    right.set_ylabel("added to the first token, ms")
    right.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    plt.close(figure)
