"""Learns how long a route's answers usually take, from complete and cut ones.

An attempt that was cancelled shows only that it would have taken longer.
Without such censored samples the estimate would fall with each hedge that
cancels a slow attempt, and lead to more hedges. The quantiles are those of the
product-limit estimator (Kaplan and Meier).
"""

import dataclasses
import math

from rhubarbbank_router import defaults

# Route and model.
RouteModel = tuple[str, str]

MIN_TIME_S = 0.001
BIN_RATIO = 1.1
# The last bin holds all longer times, from about 130 s.
BINS = 125
# Samples that are expected beyond a quantile before it is believed, and at
# which the older ones fade.
MIN_BEYOND = 2.0
MAX_BEYOND = 8.0
# A route without a sample for this long is unknown, in seconds.
MAX_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsualTime:
    """What is known of a route's times.

    Attributes:
        delay_s: Within which answers usually come, in seconds: the quantile
            that leaves half of the limit on hedges, or SLOW_FACTOR medians.
        typical_s: The median, in seconds.
        samples: Weighted number of samples.
        age_s: Age of the newest sample, in seconds.
    """

    delay_s: float
    typical_s: float
    samples: float
    age_s: float


class TimeHistogram:
    """Times of one route and model in bins that grow by 10 per cent.

    Attributes:
        complete: Weighted number of complete samples, by bin.
        censored: Weighted number of censored samples, by bin.
        total: Their sum.
        sampled_at: When the newest sample came, in seconds.
        quantiles: Quantiles computed since then.
    """

    def __init__(self) -> None:
        self.complete = [0.0] * BINS
        self.censored = [0.0] * BINS
        self.total = 0.0
        self.sampled_at = 0.0
        self.quantiles: dict[float, float] = {}

    def add(self, took_s: float, *, censored: bool, now: float) -> None:
        """Adds a sample."""
        bins = self.censored if censored else self.complete
        bins[find_bin(took_s)] += 1.0
        self.total += 1.0
        self.sampled_at = now
        self.quantiles.clear()

    def fade(self) -> None:
        """Halves the weight of all samples."""
        self.complete = [0.5 * x for x in self.complete]
        self.censored = [0.5 * x for x in self.censored]
        self.total *= 0.5

    def find_quantile(self, share: float) -> float:
        """Returns the time within which a share of the answers comes.

        If so many were cut that the quantile isn't known, returns the longest
        time that is.
        """
        known = self.quantiles.get(share)
        if known is None:
            known = self.quantiles[share] = self.compute_quantile(share)
        return known

    def compute_quantile(self, share: float) -> float:
        """Computes the quantile from the bins."""
        at_risk = self.total
        slower = 1.0
        longest = 0
        for index in range(BINS):
            complete, censored = self.complete[index], self.censored[index]
            if complete or censored:
                longest = index
            if complete:
                slower *= 1.0 - complete / max(at_risk, complete)
            if slower <= 1.0 - share:
                break
            at_risk -= complete + censored
        return MIN_TIME_S * BIN_RATIO ** (longest + 1)


class RouteDelays:
    """The usual times of all routes.

    Attributes:
        histograms: By route and model, of which the configuration has few.
    """

    def __init__(self) -> None:
        self.histograms: dict[RouteModel, TimeHistogram] = {}

    def record(
        self,
        key: RouteModel,
        took_s: float,
        *,
        max_share: float,
        censored: bool,
        now: float,
    ) -> None:
        """Adds a sample.

        Args:
            key: Route and model.
            took_s: Time from sending to the first event of a stream or the
                end of a plain answer, or until it was cut, in seconds.
            max_share: The operators' limit on hedges, which decides how many
                samples are kept.
            censored: Whether it was cut.
            now: In seconds.
        """
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = TimeHistogram()
        histogram.add(took_s, censored=censored, now=now)
        if histogram.total * compute_beyond(max_share) > MAX_BEYOND:
            histogram.fade()

    def find(
        self, key: RouteModel, *, max_share: float, now: float
    ) -> UsualTime | None:
        """Returns a route's usual times; None if too little is known.

        Args:
            key: Route and model.
            max_share: The operators' limit on hedges.
            now: In seconds.
        """
        histogram = self.histograms.get(key)
        if histogram is None:
            return None
        beyond = compute_beyond(max_share)
        age_s = now - histogram.sampled_at
        if age_s > MAX_AGE_S or histogram.total * beyond < MIN_BEYOND:
            return None
        typical_s = histogram.find_quantile(0.5)
        # If more are slow than may be hedged, the quantile is one of the slow.
        delay_s = min(
            histogram.find_quantile(1.0 - beyond),
            defaults.SLOW_FACTOR * typical_s,
        )
        return UsualTime(
            delay_s=delay_s,
            typical_s=typical_s,
            samples=histogram.total,
            age_s=age_s,
        )

    def remove_expired(self, *, now: float) -> None:
        """Removes routes that have had no sample for long."""
        self.histograms = {
            key: histogram
            for key, histogram in self.histograms.items()
            if now - histogram.sampled_at <= MAX_AGE_S
        }


def compute_beyond(max_share: float) -> float:
    """Returns the share of the answers that are slower than the delay.

    Half of the limit is left for times in which more answers are slow.
    """
    return max_share / 2.0


def find_bin(took_s: float) -> int:
    """Returns the bin of a time in seconds."""
    ratio = max(took_s, MIN_TIME_S) / MIN_TIME_S
    return min(BINS - 1, int(math.log(ratio) / math.log(BIN_RATIO)))
