"""Baseline policies that `cascade.LearningCascade` is compared with.

The `cascade` setting of an entry selects a baseline in experiments and tests.
The oracle needs the true quality, so the setting doesn't offer it.
"""

import collections.abc
from typing import Protocol

from rhubarbbank_core import cascade
from rhubarbbank_core import cascade_ratings
from rhubarbbank_core import table


class SingleVersionPolicy:
    """Runs one version for every request, chosen by price alone."""

    def __init__(
        self,
        *,
        select: collections.abc.Callable[
            [collections.abc.Sequence[cascade.PricedVersion]],
            cascade.PricedVersion,
        ],
    ) -> None:
        self.select = select

    def choose(
        self,
        *,
        organisation: str,
        request_class: str,
        candidates: collections.abc.Sequence[cascade.PricedVersion],
        target: float,
        now: float,
    ) -> cascade.Plan:
        """Returns the plan that runs the selected candidate."""
        del organisation, request_class, target, now
        return cascade.plan_direct(self.select(candidates))

    def observe(
        self,
        *,
        organisation: str,
        request_class: str,
        key: table.VersionKey,
        rating: float,
        now: float,
        after: table.VersionKey | None = None,
    ) -> None:
        """Ignores the rating."""


class AlwaysStrong(SingleVersionPolicy):
    """Runs the most expensive version for every request."""

    def __init__(self) -> None:
        super().__init__(
            select=lambda candidates: max(
                candidates, key=lambda each: each.price
            )
        )


class AlwaysCheap(SingleVersionPolicy):
    """Runs the cheapest version for every request."""

    def __init__(self) -> None:
        super().__init__(
            select=lambda candidates: min(
                candidates, key=lambda each: each.price
            )
        )


class TrueQuality(Protocol):
    """Provides the true quality and price of plans."""

    def measure(
        self, *, organisation: str, request_class: str, plan: cascade.Plan
    ) -> tuple[float, float]:
        """Returns the plan's true mean quality and true mean price."""


class OracleCascade(AlwaysStrong):
    """Runs the cheapest plan whose true quality meets the target."""

    def __init__(self, *, truth: TrueQuality) -> None:
        super().__init__()
        self.truth = truth
        self.plans: dict[tuple[str, str], cascade.Plan] = {}

    def choose(
        self,
        *,
        organisation: str,
        request_class: str,
        candidates: collections.abc.Sequence[cascade.PricedVersion],
        target: float,
        now: float,
    ) -> cascade.Plan:
        """Returns the best plan, cached by organisation and request class."""
        del now
        key = (organisation, request_class)
        if key not in self.plans:
            self.plans[key] = self.find_best(
                organisation, request_class, candidates, target
            )
        return self.plans[key]

    def find_best(
        self,
        organisation: str,
        request_class: str,
        candidates: collections.abc.Sequence[cascade.PricedVersion],
        target: float,
    ) -> cascade.Plan:
        """Returns the cheapest plan that meets the target.

        The search covers each single version and each cascade threshold. If
        no plan meets the target, the most expensive version runs directly.
        """
        ranked = sorted(candidates, key=lambda each: each.price)
        plans = [cascade.plan_direct(each) for each in ranked]
        for index, stronger in enumerate(ranked):
            for cheap in ranked[:index]:
                for step in range(1, cascade_ratings.BIN_COUNT):
                    threshold = step / cascade_ratings.BIN_COUNT
                    plans.append(
                        cascade.plan_cascade(cheap, stronger, threshold, 0.0)
                    )
        best: cascade.Plan | None = None
        lowest_price = float("inf")
        for plan in plans:
            quality, price = self.truth.measure(
                organisation=organisation,
                request_class=request_class,
                plan=plan,
            )
            if quality >= target and price < lowest_price:
                best, lowest_price = plan, price
        return best or cascade.plan_direct(ranked[-1])
