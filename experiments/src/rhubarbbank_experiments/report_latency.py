"""Latency distributions in HDR histograms, in microseconds."""

import dataclasses

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Percentiles:
    """Some percentiles of one distribution, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class Latencies:
    """One distribution of durations.

    Attributes:
        histogram: The HDR histogram, in microseconds.
    """

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    def record(self, seconds: float) -> None:
        """Adds one duration; what is outside the range counts at its end."""
        value = round(seconds * US_PER_S)
        self.histogram.record_value(min(max(value, LOWEST_US), HIGHEST_US))

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile (0 to 100) in milliseconds; 0 if empty."""
        if not self.histogram.get_total_count():
            return 0.0
        value = self.histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS

    def summarise(self) -> Percentiles:
        """Returns the percentiles that reports show."""
        return Percentiles(
            count=int(self.histogram.get_total_count()),
            p50_ms=self.percentile_ms(50),
            p95_ms=self.percentile_ms(95),
            p99_ms=self.percentile_ms(99),
            max_ms=self.percentile_ms(100),
        )
