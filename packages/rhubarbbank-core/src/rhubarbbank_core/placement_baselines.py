"""Baseline placements to compare with `placement.ExpectedWaitPlacement`.

They skip leaving and excluded candidates, and ignore session and prefix
affinity. Only experiments and tests select them, with the `placement` setting.
"""

import collections.abc
import random

from rhubarbbank_core import placement


def build_decision(chosen: placement.Candidate) -> placement.PlacementDecision:
    """Returns a decision for a candidate whose wait was not estimated."""
    return placement.PlacementDecision(
        upstream=chosen.name,
        reason=placement.PlacementReason.LEAST_WAIT,
        expected_wait_s=0.0,
    )


class RoundRobinPlacement:
    """Chooses the candidates in turn."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[placement.Candidate],
        request: placement.PlacementRequest,
    ) -> placement.PlacementDecision | None:
        """Returns the next candidate, or None when none is usable."""
        usable = placement.list_usable(candidates, request)
        if not usable:
            return None
        self.turn += 1
        return build_decision(usable[self.turn % len(usable)])


class RandomPlacement:
    """Chooses uniformly at random."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[placement.Candidate],
        request: placement.PlacementRequest,
    ) -> placement.PlacementDecision | None:
        """Returns a random candidate, or None when none is usable."""
        usable = placement.list_usable(candidates, request)
        return build_decision(self.rng.choice(usable)) if usable else None


class LeastLoadPlacement:
    """Chooses the candidate with the least load, breaking ties at random."""

    def __init__(
        self,
        *,
        rng: random.Random,
        get_load: collections.abc.Callable[[placement.Candidate], int],
    ) -> None:
        self.rng = rng
        self.get_load = get_load

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[placement.Candidate],
        request: placement.PlacementRequest,
    ) -> placement.PlacementDecision | None:
        """Returns a least-loaded candidate, or None when none is usable."""
        usable = placement.list_usable(candidates, request)
        if not usable:
            return None
        least = min(map(self.get_load, usable))
        tied = [each for each in usable if self.get_load(each) == least]
        return build_decision(self.rng.choice(tied))


class LeastOwnInFlightPlacement(LeastLoadPlacement):
    """Chooses the candidate with the fewest requests of this entry."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(rng=rng, get_load=lambda each: each.own_in_flight)


class LeastReportedLoadPlacement(LeastLoadPlacement):
    """Chooses the candidate with the least load in its last report."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(
            rng=rng, get_load=lambda each: each.running + each.waiting
        )
