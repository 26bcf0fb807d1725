"""Prints the figures of a policy measurement, each beside its target."""

import collections.abc


def print_figure(
    name: str, value: float, *, target: float | None = None, least: bool = False
) -> None:
    """Prints one figure and whether it meets its target.

    Args:
        name: What the figure is, with its unit.
        value: The figure.
        target: What it should be at most, or at least if `least`.
        least: Whether the target is a lower limit.
    """
    if target is None:
        print(f"  {name}: {value:.4g}")
        return
    met = value >= target if least else value <= target
    limit = "at least" if least else "at most"
    verdict = "met" if met else "MISSED"
    print(f"  {name}: {value:.4g} (target: {limit} {target:.4g}, {verdict})")


def find_percentile(values: collections.abc.Sequence[float], q: float) -> float:
    """Returns the q-th percentile (0 to 100); NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * q / 100.0))
    return ordered[index]
