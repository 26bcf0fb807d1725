"""Open-loop arrival schedules: when each request starts, whatever happens.

An open-loop caller doesn't wait for answers, so that a slow system is offered
as much as a fast one. The gaps between arrivals are exponential and come from
a seed, so that two runs of one seed offer the same load.
"""

from collections.abc import Sequence
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """A stretch of time at one mean rate.

    Attributes:
        duration_s: How long it lasts.
        rate_per_s: Mean number of arrivals a second.
    """

    duration_s: float
    rate_per_s: float


def draw_arrivals(phases: Sequence[Phase], *, seed: int) -> list[float]:
    """Returns the arrival times in seconds, ascending from 0.

    Args:
        phases: What follows what.
        seed: Equal seeds give equal times.
    """
    rng = random.Random(seed)
    arrivals: list[float] = []
    begin_s = 0.0
    for phase in phases:
        end_s = begin_s + phase.duration_s
        at_s = begin_s
        while phase.rate_per_s > 0.0:
            at_s += rng.expovariate(phase.rate_per_s)
            if at_s >= end_s:
                break
            arrivals.append(at_s)
        begin_s = end_s
    return arrivals


def draw_names(shares: dict[str, int], *, count: int, seed: int) -> list[str]:
    """Returns `count` names, each drawn in proportion to its share."""
    rng = random.Random(seed)
    return rng.choices(list(shares), weights=list(shares.values()), k=count)
