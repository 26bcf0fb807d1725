"""Exponentially decayed rating histograms and the estimates made from them.

`cascade` keeps one histogram for each organisation, request class and version,
and one pooled over all organisations, and compares plans by these estimates.
To follow drift, newer ratings weigh more, and an abrupt shift in the latest
ratings discards the older ones.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math
import statistics

BIN_COUNT = 40
# A rating's weight falls to 1/e after this many newer ratings.
DECAY_RATINGS = 4000.0
RECENT_RATINGS = 60
# A difference in means of more standard errors than this is significant.
SIGNIFICANT_ERRORS = 4.0
MIN_VARIANCE = 0.0025
TYPICAL_VARIANCE = 0.04
# The variance between organisations is estimated only from organisations with
# this many ratings, and only if there are enough such organisations.
MIN_SPREAD_RATINGS = 60.0
MIN_SPREAD_ORGANISATIONS = 4
# At most this many organisations are sampled to estimate that variance.
MAX_SPREAD_ORGANISATIONS = 30
DEFAULT_PRIOR_WEIGHT = 100.0
MIN_PRIOR_WEIGHT = 20.0
MAX_PRIOR_WEIGHT = 2000.0


class RatingHistogram:
    """An exponentially decayed histogram of ratings in [0, 1].

    Attributes:
        counts: Total weight of the ratings in each bin.
        sums: Weighted sum of the ratings in each bin.
        weight: Sum of `counts`.
        total: Sum of `sums`.
        latest_weight: Weight of the latest rating. It grows with each rating
            instead of the older weights being reduced, so that only one bin
            changes.
        recent: The latest ratings, oldest first.
        recent_total: Sum of `recent`.
    """

    def __init__(self) -> None:
        self.recent: collections.deque[float] = collections.deque()
        self.recent_total = 0.0
        self.clear()

    def clear(self) -> None:
        """Removes all ratings but the recent ones kept in `recent`."""
        self.counts = [0.0] * BIN_COUNT
        self.sums = [0.0] * BIN_COUNT
        self.weight = 0.0
        self.total = 0.0
        self.latest_weight = 1.0

    def add(self, rating: float) -> bool:
        """Adds a rating; returns whether a shift discarded the older ones."""
        self.add_to_bin(rating)
        self.recent.append(rating)
        self.recent_total += rating
        if len(self.recent) > RECENT_RATINGS:
            self.recent_total -= self.recent.popleft()
        if self.latest_weight > DECAY_RATINGS:
            self.rescale(1.0 / self.latest_weight)
        if not self.has_shifted():
            return False
        self.clear()
        for each in self.recent:
            self.add_to_bin(each)
        return True

    def add_to_bin(self, rating: float) -> None:
        """Adds a rating to its bin, without checking for a shift."""
        index = min(BIN_COUNT - 1, int(rating * BIN_COUNT))
        self.latest_weight *= 1.0 + 1.0 / DECAY_RATINGS
        self.counts[index] += self.latest_weight
        self.sums[index] += self.latest_weight * rating
        self.weight += self.latest_weight
        self.total += self.latest_weight * rating

    def rescale(self, factor: float) -> None:
        """Scales all weights, so that they don't grow without limit."""
        self.counts = [each * factor for each in self.counts]
        self.sums = [each * factor for each in self.sums]
        self.weight *= factor
        self.total *= factor
        self.latest_weight *= factor

    def has_shifted(self) -> bool:
        """Returns whether the recent ratings differ significantly from all."""
        if self.effective_size < 2 * RECENT_RATINGS:
            return False
        difference = abs(self.recent_total / RECENT_RATINGS - self.mean)
        if (
            difference * difference
            < SIGNIFICANT_ERRORS**2 * MIN_VARIANCE / RECENT_RATINGS
        ):
            return False
        error = math.sqrt(self.measure_variance() / RECENT_RATINGS)
        return difference > SIGNIFICANT_ERRORS * error

    def measure_variance(self) -> float:
        """Returns the variance of the ratings, at least the minimum."""
        second_moment = sum(
            count * ((index + 0.5) / BIN_COUNT) ** 2
            for index, count in enumerate(self.counts)
        )
        variance = second_moment / self.weight - self.mean * self.mean
        return max(variance, MIN_VARIANCE)

    @property
    def mean(self) -> float:
        """The weighted mean rating, or 0.5 without ratings."""
        return self.total / self.weight if self.weight > 0.0 else 0.5

    @property
    def effective_size(self) -> float:
        """The effective number of ratings, in units of the latest one."""
        return self.weight / self.latest_weight


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The estimated rating distribution of a version.

    It applies to one organisation and request class.

    Attributes:
        probabilities: Probability of each rating bin.
        means: Mean rating in each bin; 0 for an empty bin.
        mean: Mean rating.
        variance: Variance of the ratings.
        effective_size: Effective number of ratings behind the estimate.
    """

    probabilities: tuple[float, ...]
    means: tuple[float, ...]
    mean: float
    variance: float
    effective_size: float


def compute_prior_weight(
    histograms: collections.abc.Collection[RatingHistogram],
) -> float:
    """Returns the weight of the pooled prior, in ratings.

    This is an empirical Bayes estimate: the variance of ratings divided by the
    variance of true means between organisations, which is estimated by the
    method of moments. The more similar the organisations, the larger it is.

    Args:
        histograms: One histogram for each organisation.
    """
    sampled = itertools.islice(histograms, MAX_SPREAD_ORGANISATIONS)
    eligible = [
        each for each in sampled if each.effective_size >= MIN_SPREAD_RATINGS
    ]
    if len(eligible) < MIN_SPREAD_ORGANISATIONS:
        return DEFAULT_PRIOR_WEIGHT
    means = [each.mean for each in eligible]
    variances = [each.measure_variance() for each in eligible]
    noise = sum(
        variance / each.effective_size
        for variance, each in zip(variances, eligible, strict=True)
    ) / len(eligible)
    spread = max(0.0, statistics.variance(means) - noise)
    # Adds about one standard error, as the spread is itself an estimate.
    spread += noise * math.sqrt(2.0 / len(eligible))
    weight = sum(variances) / len(variances) / spread
    return min(MAX_PRIOR_WEIGHT, max(MIN_PRIOR_WEIGHT, weight))


def differs_significantly(
    own: RatingHistogram, pooled: RatingHistogram
) -> bool:
    """Returns whether an organisation's mean differs from the pooled mean."""
    if own.effective_size < RECENT_RATINGS / 2 or pooled.weight <= 0.0:
        return False
    error = math.sqrt(TYPICAL_VARIANCE / own.effective_size)
    return abs(own.mean - pooled.mean) > SIGNIFICANT_ERRORS * error


def build_estimate(
    own: RatingHistogram, pooled: RatingHistogram, prior_weight: float
) -> Estimate:
    """Returns the estimate from `own` and the pool, weighted as a prior.

    Args:
        own: The organisation's histogram.
        pooled: The histogram pooled over all organisations.
        prior_weight: Weight of the pooled histogram, in ratings.
    """
    own_scale = 1.0 / own.latest_weight
    pooled_scale = prior_weight / pooled.weight if pooled.weight > 0.0 else 0.0
    counts = [
        own_scale * own_value + pooled_scale * pooled_value
        for own_value, pooled_value in zip(
            own.counts, pooled.counts, strict=True
        )
    ]
    sums = [
        own_scale * own_value + pooled_scale * pooled_value
        for own_value, pooled_value in zip(own.sums, pooled.sums, strict=True)
    ]
    size = sum(counts)
    if size <= 0.0:
        empty = (0.0,) * BIN_COUNT
        return Estimate(
            probabilities=empty,
            means=empty,
            mean=0.0,
            variance=0.25,
            effective_size=0.0,
        )
    probabilities = tuple(count / size for count in counts)
    means = tuple(
        total / count if count > 0.0 else 0.0
        for total, count in zip(sums, counts, strict=True)
    )
    mean, variance = compute_moments(probabilities, means)
    return Estimate(
        probabilities=probabilities,
        means=means,
        mean=mean,
        variance=variance,
        effective_size=size,
    )


def compute_moments(
    probabilities: collections.abc.Sequence[float],
    values: collections.abc.Sequence[float],
) -> tuple[float, float]:
    """Returns the mean and variance of a discrete distribution."""
    pairs = list(zip(probabilities, values, strict=True))
    mean = sum(probability * value for probability, value in pairs)
    second_moment = sum(
        probability * value * value for probability, value in pairs
    )
    return mean, max(0.0, second_moment - mean * mean)


def compute_standard_error(variance: float, size: float) -> float:
    """Returns the standard error of a mean.

    The variance is increased by 1 / size, to widen the error for few ratings.
    """
    if size <= 1.0:
        return 1.0
    return math.sqrt((variance + 1.0 / size) / size)


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdOption:
    """The estimated outcome of a cascade at one threshold.

    Attributes:
        threshold: Lowest rating at which the first answer is kept.
        rejected_share: Share of first answers rated below the threshold.
        mean: Estimated mean quality of the delivered answers.
        error: Standard error of `mean`, without the error in the second
            version's quality.
    """

    threshold: float
    rejected_share: float
    mean: float
    error: float


def scan_thresholds(
    first: Estimate, second_mean: float, rating_noise: float
) -> collections.abc.Iterator[ThresholdOption]:
    """Yields the estimated outcome at each threshold, lowest first.

    Answers selected for a high rating are worse on average than their ratings
    (regression to the mean), so each rating is shrunk towards the mean by the
    share of the variance that is rating noise.

    Args:
        first: Estimate for the version that answers first.
        second_mean: The second version's mean quality on rejected requests.
        rating_noise: Standard deviation of a rating about the true quality.
    """
    noise = rating_noise**2
    signal_share = 0.0
    if first.variance > noise:
        signal_share = 1.0 - noise / first.variance
    values = [
        first.mean + signal_share * (each - first.mean) for each in first.means
    ]
    rejected_share = 0.0
    mean, variance = compute_moments(first.probabilities, values)
    second_moment = variance + mean * mean
    for index in range(BIN_COUNT - 1):
        # Raising the threshold moves this bin to the second version.
        probability = first.probabilities[index]
        rejected_share += probability
        mean += probability * (second_mean - values[index])
        second_moment += probability * (
            second_mean * second_mean - values[index] ** 2
        )
        variance = max(0.0, second_moment - mean * mean)
        yield ThresholdOption(
            (index + 1) / BIN_COUNT,
            rejected_share,
            mean,
            compute_standard_error(variance, first.effective_size),
        )


EMPTY_HISTOGRAM = RatingHistogram()
