"""Metrics that an operator's collector reads as text."""

import prometheus_client
from prometheus_client import exposition

from rhubarbbank_core import program_effects as fx

PREFIX = "rhubarbbank"
S_PER_MS = 0.001
# Seconds; from a plain read inside a data centre to a long stream.
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0,
)  # fmt: skip


class ScrapedMetrics:
    """Counters, gauges and latency histograms, read over HTTP.

    Attributes:
        registry: Holds all of them.
        counters: By the effects' name.
        gauges: Likewise.
        histograms: Likewise, in seconds.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}

    def count(self, effect: fx.Count) -> None:
        """Adds to a counter."""
        counter = self.counters.get(effect.metric)
        if counter is None:
            counter = prometheus_client.Counter(
                build_metric_name(effect.metric),
                effect.metric,
                registry=self.registry,
            )
            self.counters[effect.metric] = counter
        counter.inc(effect.amount)

    def gauge(self, effect: fx.Gauge) -> None:
        """Sets a gauge."""
        gauge = self.gauges.get(effect.metric)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                build_metric_name(effect.metric),
                effect.metric,
                registry=self.registry,
            )
            self.gauges[effect.metric] = gauge
        gauge.set(effect.value)

    def timing(self, effect: fx.Timing) -> None:
        """Records a timing in its histogram."""
        histogram = self.histograms.get(effect.metric)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                f"{build_metric_name(effect.metric)}_seconds",
                effect.metric,
                buckets=LATENCY_BUCKETS_S,
                registry=self.registry,
            )
            self.histograms[effect.metric] = histogram
        histogram.observe(effect.value_ms * S_PER_MS)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        return exposition.generate_latest(self.registry)

    def close(self) -> None:
        """Does nothing: nothing is held open."""


def build_metric_name(metric: str) -> str:
    """Returns a metric's name in the collector's spelling."""
    return f"{PREFIX}_{metric.replace('.', '_')}"
