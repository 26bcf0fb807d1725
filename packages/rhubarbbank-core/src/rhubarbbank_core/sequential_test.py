"""Anytime-valid tests on means of values in [0, 1], computed from sums.

`exposure` evaluates these tests after every batch of evidence; repeated
evaluation does not increase the probability of a false rejection. Values are
ratings, or 1 for a success and 0 for a failure.

An e-process is a non-negative process whose expectation is at most 1 under
the null hypothesis at any stopping time. The probability that it ever exceeds
1/alpha is therefore at most alpha. The hypothesis "the mean is at least m" is
tested by a mixture, over bets b, of two such processes:

* the betting product of (1 + b (m - x)), where the logarithm of each factor
  is bounded below by its chord between x = 0 and x = 1, so that only the
  count and the sum are needed;
* the empirical Bernstein process exp(b S - psi(b) V), with S the sum of
  m - x and V the sum of squared distances to the mean of earlier batches.

Two means are compared by the minimum, over a grid of levels m, of the product
of a process against "the new mean is at least m" and a process against "the
incumbent's mean is at most m". Under the null hypothesis both statements hold
for some level m.
"""

import dataclasses
import functools

import numpy as np
from numpy import typing as npt

FloatArray = npt.NDArray[np.float64]

LEVEL_COUNT = 101
# Bets as fractions of the largest bet that keeps every factor positive.
BETS = np.array([0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.9])
BERNSTEIN_COSTS = -np.log1p(-BETS) - BETS
LOG_BET_WEIGHT = -float(np.log(2 * len(BETS)))
LOG_TWO = float(np.log(2.0))
INITIAL_MEAN = 0.5
# Weight of the previous mean, in values, in a change detector's recent mean.
RECENT_VALUES = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tally:
    """Sums over all values in [0, 1] so far.

    Attributes:
        count: Number of values.
        total: Sum of the values.
        spread: Sum of the squared distance of each value to the mean of all
            earlier batches.
    """

    count: int = 0
    total: float = 0.0
    spread: float = 0.0

    @property
    def mean(self) -> float:
        """The mean, or `INITIAL_MEAN` if there are no values."""
        return self.total / self.count if self.count else INITIAL_MEAN

    def add(self, *, count: int, total: float, square_total: float) -> "Tally":
        """Returns the tally including one more batch.

        Args:
            count: Number of values in the batch.
            total: Sum of the values.
            square_total: Sum of the squares of the values.
        """
        spread = compute_spread(
            self.mean, count=count, total=total, square_total=square_total
        )
        return Tally(
            count=self.count + count,
            total=self.total + total,
            spread=self.spread + spread,
        )

    def flip(self) -> "Tally":
        """Returns the tally of the values 1 - x."""
        return Tally(
            count=self.count,
            total=self.count - self.total,
            spread=self.spread,
        )


EMPTY_TALLY = Tally()


def compute_spread(
    mean: float, *, count: int, total: float, square_total: float
) -> float:
    """Returns the sum of a batch's squared distances to `mean`."""
    return max(0.0, square_total - 2.0 * mean * total + count * mean * mean)


@dataclasses.dataclass(frozen=True, slots=True)
class LevelGrid:
    """Levels to test against, with precomputed log factors for each.

    Attributes:
        levels: Shape (n, 1), between 0 and 1.
        low_gains: Shape (n, bets), log of each bet's factor at x = 0.
        high_gains: Shape (n, bets), log of each bet's factor at x = 1.
    """

    levels: FloatArray
    low_gains: FloatArray
    high_gains: FloatArray


def make_grid(levels: FloatArray) -> LevelGrid:
    """Returns the grid for levels of shape (n,), clipped to [0, 1]."""
    bounded = np.clip(levels, 0.0, 1.0)[:, np.newaxis]
    return LevelGrid(
        bounded, np.log1p(BETS * bounded), np.log1p(-BETS * (1.0 - bounded))
    )


@functools.lru_cache(maxsize=64)
def make_ascending_grid(shift: float) -> LevelGrid:
    """Returns ascending levels from 0 to 1, each reduced by `shift`."""
    return make_grid(np.linspace(0.0, 1.0, LEVEL_COUNT) - shift)


@functools.lru_cache(maxsize=64)
def make_descending_grid() -> LevelGrid:
    """Returns the descending levels from 1 to 0."""
    return make_grid(1.0 - np.linspace(0.0, 1.0, LEVEL_COUNT))


def compute_log_bets(tally: Tally, grid: LevelGrid) -> FloatArray:
    """Returns the log e-values against "the mean is at least the level".

    Returns:
        Shape (n, 2 * bets): for each bet, first the chord process, then the
        empirical Bernstein process.
    """
    failures = tally.count - tally.total
    chord = failures * grid.low_gains + tally.total * grid.high_gains
    shortfall = tally.count * grid.levels - tally.total
    bernstein = BETS * shortfall - BERNSTEIN_COSTS * tally.spread
    return np.concatenate((chord, bernstein), axis=1)


def mix_bets(log_bets: FloatArray) -> FloatArray:
    """Returns the log of the mean e-value over all bets, shape (n,)."""
    highest = log_bets.max(axis=1)
    scaled = np.exp(log_bets - highest[:, np.newaxis])
    mixed: FloatArray = highest + np.log(scaled.sum(axis=1)) + LOG_BET_WEIGHT
    return mixed


def average_with_one(log_e: FloatArray) -> FloatArray:
    """Returns the log of the average of each e-value and 1.

    The result is at least log(1/2). Without this bound, a process with many
    values against a level that holds would get so small that the other
    process in a product could never compensate for it.
    """
    averaged: FloatArray = np.logaddexp(log_e, 0.0) - LOG_TWO
    return averaged


def log_e_below(tally: Tally, level: float) -> float:
    """Returns the log e-value against "the mean is at least `level`"."""
    grid = make_grid(np.array([level]))
    return float(mix_bets(compute_log_bets(tally, grid))[0])


def log_e_worse(*, new: Tally, incumbent: Tally, tolerance: float) -> float:
    """Returns the log e-value against "new is at most `tolerance` worse".

    The null hypothesis is mean(new) >= mean(incumbent) - tolerance. With a
    negative tolerance it is that the new mean is better by that amount.

    Args:
        new: Values of the new version.
        incumbent: Values of the version to compare with.
        tolerance: Difference of the means, between -1 and 1.
    """
    against_new = average_with_one(
        mix_bets(compute_log_bets(new, make_ascending_grid(tolerance)))
    )
    against_incumbent = average_with_one(
        mix_bets(compute_log_bets(incumbent.flip(), make_descending_grid()))
    )
    # Between two adjacent grid levels, the first process is smallest at the
    # lower level and the second at the upper level, so this sum is a lower
    # bound for the whole interval.
    lower_bounds = against_new[:-1] + against_incumbent[1:]
    return float(lower_bounds.min())


def log_e_not_worse(*, new: Tally, incumbent: Tally, margin: float) -> float:
    """Returns the log e-value against "new is worse by `margin` or more"."""
    return log_e_worse(
        new=new.flip(), incumbent=incumbent.flip(), tolerance=-margin
    )


def lower_bound(tally: Tally, *, alpha: float) -> float:
    """Returns an anytime-valid lower bound of the mean at error `alpha`."""
    log_e = mix_bets(compute_log_bets(tally.flip(), make_descending_grid()))
    rejected = make_ascending_grid(0.0).levels[log_e >= -np.log(alpha)]
    return float(rejected.max()) if rejected.size else 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeDetector:
    """Detects that a mean has fallen below a level at any time.

    It uses the Shiryaev-Roberts procedure: a sum of e-processes, one started
    before each batch. Without a change, the expectation of the sum after t
    batches is at most t, so the probability of an alarm within t batches is
    at most t / exp(log_threshold).

    Attributes:
        level: Lower limit of the expected mean.
        log_threshold: Logarithm of the sum at which the alarm is raised.
        log_sums: The log of the sum for each bet; empty before the first
            batch.
        recent_mean: Discounted mean of the batches so far, from which the
            spread of the next batch is computed; None before the first batch.
    """

    level: float
    log_threshold: float
    log_sums: tuple[float, ...] = ()
    recent_mean: float | None = None

    def add(
        self, *, count: int, total: float, square_total: float
    ) -> "ChangeDetector":
        """Returns the detector including one more batch.

        Args:
            count: Number of values in the batch.
            total: Sum of the values.
            square_total: Sum of the squares of the values.
        """
        mean = self.level if self.recent_mean is None else self.recent_mean
        spread = compute_spread(
            mean, count=count, total=total, square_total=square_total
        )
        batch = Tally(count=count, total=total, spread=spread)
        step = compute_log_bets(batch, make_grid(np.array([self.level])))[0]
        sums = np.array(self.log_sums or (-np.inf,) * len(step))
        log_sums = np.logaddexp(sums, 0.0) + step
        return dataclasses.replace(
            self,
            log_sums=tuple(float(each) for each in log_sums),
            recent_mean=(mean * RECENT_VALUES + total)
            / (RECENT_VALUES + count),
        )

    def raise_level(self, level: float) -> "ChangeDetector":
        """Returns the detector with the higher of its level and `level`."""
        return dataclasses.replace(self, level=max(self.level, level))

    @property
    def alarmed(self) -> bool:
        """Whether the sum, averaged over the bets, reached the threshold."""
        if not self.log_sums:
            return False
        mixed = mix_bets(np.array([self.log_sums]))[0]
        return bool(mixed >= self.log_threshold)
