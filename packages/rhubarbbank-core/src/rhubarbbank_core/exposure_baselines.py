"""A baseline for the evaluation of `exposure.ExposureJudge`.

It uses a fixed canary share and repeats a z-test on the mean rating after
every batch without correction for multiple testing. Only experiments and
tests use it.
"""

import math

from rhubarbbank_core import exposure
from rhubarbbank_core import table

# Critical value of a one-sided test at the 1 per cent level.
Z_LIMIT = 2.326
MINIMUM_RATED = 30


class RepeatedZTestExposure:
    """Gives a fixed share until a z-test on the ratings rejects it."""

    def __init__(
        self,
        *,
        key: table.VersionKey,
        incumbent: table.VersionKey,
        share_per_cent: int = 5,
        promote_after: int = 2_000,
    ) -> None:
        self.key = key
        self.incumbent = incumbent
        self.share_per_cent = share_per_cent
        self.promote_after = promote_after
        self.held = False
        self.sums: dict[table.VersionKey, tuple[int, float, float]] = {}

    def fold(self, batch: exposure.EvidenceBatch) -> None:
        """Adds one batch and repeats the test."""
        count, total, squares = self.sums.get(batch.key, (0, 0.0, 0.0))
        self.sums[batch.key] = (
            count + batch.rated,
            total + batch.rating_sum,
            squares + batch.rating_square_sum,
        )
        self.held = self.held or self.compute_z() < -Z_LIMIT

    def verdict(self) -> exposure.Verdict:
        """Returns a hold, the fixed share, or 100 after enough ratings."""
        if self.held:
            return exposure.Hold(reason=exposure.HoldReason.RATING)
        count = self.sums.get(self.key, (0, 0.0, 0.0))[0]
        if count >= self.promote_after:
            return exposure.Stage(share_per_cent=exposure.PER_CENT)
        return exposure.Stage(share_per_cent=self.share_per_cent)

    def compute_z(self) -> float:
        """Returns the z statistic of the new mean minus the incumbent's.

        It is 0 if either version has fewer than `MINIMUM_RATED` ratings or
        the variance is 0.
        """
        new = self.sums.get(self.key, (0, 0.0, 0.0))
        old = self.sums.get(self.incumbent, (0, 0.0, 0.0))
        if min(new[0], old[0]) < MINIMUM_RATED:
            return 0.0
        means = [each[1] / each[0] for each in (new, old)]
        variance = sum(
            max(0.0, each[2] / each[0] - mean * mean) / each[0]
            for each, mean in zip((new, old), means, strict=True)
        )
        if variance <= 0.0:
            return 0.0
        return (means[0] - means[1]) / math.sqrt(variance)
