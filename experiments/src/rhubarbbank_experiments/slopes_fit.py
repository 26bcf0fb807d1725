"""Least-squares lines through measured points."""

from collections.abc import Sequence
import dataclasses

import numpy as np


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """The line `base + slope * x`.

    Attributes:
        slope: What one more x costs.
        base: What none costs.
        r2: Share of the variance that the line explains; 1 when there is
            no variance.
    """

    slope: float
    base: float
    r2: float

    def at(self, x: float) -> float:
        """Returns the line's value."""
        return self.base + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Returns the line with the least squared distance to the points."""
    slope, base = (float(x) for x in np.polyfit(xs, ys, 1))
    found = np.asarray(ys, dtype=float)
    rest = found - (base + slope * np.asarray(xs, dtype=float))
    total = float(((found - found.mean()) ** 2).sum())
    r2 = 1.0 - float((rest**2).sum()) / total if total > 0.0 else 1.0
    return Fit(slope=slope, base=base, r2=r2)
