"""Metrics in the Prometheus text format, for a collector to scrape."""

import prometheus_client
from prometheus_client import exposition

from rhubarbbank_core import program_effects as fx

PREFIX = "rhubarbbank"
S_PER_MS = 0.001
# From a short call inside a data centre to a long stream.
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0,
)  # fmt: skip


class ScrapedMetrics:
    """Counters, gauges and latency histograms that are scraped over HTTP.

    Attributes:
        registry: The registry of all metrics.
        counters: Counters, by the metric name of the effects.
        gauges: Gauges, by the metric name of the effects.
        histograms: Histograms in seconds, by the metric name of the
            effects.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}

    def count(self, effect: fx.Count) -> None:
        """Increments a counter."""
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
        """Adds a timing to its histogram."""
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
        """Returns all metrics in the Prometheus text format."""
        return exposition.generate_latest(self.registry)

    def close(self) -> None:
        """Does nothing, as the registry holds no open resources."""


def build_metric_name(metric: str) -> str:
    """Returns the Prometheus name of a metric."""
    return f"{PREFIX}_{metric.replace('.', '_')}"
