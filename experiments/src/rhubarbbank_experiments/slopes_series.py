"""One measured series over sizes, with the line through it."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from rhubarbbank_experiments import slopes_fit


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """What one figure comes to over some sizes.

    Attributes:
        name: What was measured.
        over: What the sizes count.
        unit: The unit of the figures.
        sizes: The sizes.
        figures: One for each size.
        fit: The line through them.
    """

    name: str
    over: str
    unit: str
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    fit: slopes_fit.Fit

    def __str__(self) -> str:
        points = ", ".join(
            f"{size:g}: {figure:.4g}"
            for size, figure in zip(self.sizes, self.figures, strict=True)
        )
        fit = self.fit
        return (
            f"{self.name} over {self.over}: {fit.base:.4g} + "
            f"{fit.slope:.4g} {self.unit} each, r2 {fit.r2:.4f}\n"
            f"    {points}"
        )


def build(
    *,
    name: str,
    over: str,
    unit: str,
    sizes: Sequence[float],
    figures: Sequence[float],
) -> Series:
    """Returns a series with its line."""
    return Series(
        name=name,
        over=over,
        unit=unit,
        sizes=tuple(sizes),
        figures=tuple(figures),
        fit=slopes_fit.fit_line(sizes, figures),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """One figure that was taken at each of some sizes.

    Attributes:
        name: What was measured.
        unit: The unit of the figures.
        figures: One for each size.
    """

    name: str
    unit: str
    figures: Sequence[float]


def build_all(
    *,
    subject: str,
    over: str,
    sizes: Sequence[float],
    columns: Sequence[Column],
) -> list[Series]:
    """Returns one series for each column, all of the same subject."""
    return [
        build(
            name=f"{subject}: {column.name}",
            over=over,
            unit=column.unit,
            sizes=sizes,
            figures=column.figures,
        )
        for column in columns
    ]


def measure(
    *,
    name: str,
    over: str,
    unit: str,
    sizes: Sequence[int],
    take: Callable[[int], float],
) -> Series:
    """Takes one figure for each size."""
    return build(
        name=name,
        over=over,
        unit=unit,
        sizes=sizes,
        figures=[take(size) for size in sizes],
    )
