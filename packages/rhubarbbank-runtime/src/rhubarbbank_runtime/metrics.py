"""Sends metrics to a statsd server, if one is configured."""

import statsd

from rhubarbbank_core import program_effects as fx

PREFIX = "rhubarbbank"


class Metrics:
    """Sends counters, gauges and timings over UDP.

    Attributes:
        client: The statsd client; None if no address is configured.
    """

    def __init__(self, *, address: str) -> None:
        self.client: statsd.StatsClient | None = None
        if address:
            ip, _, port = address.rpartition(":")
            self.client = statsd.StatsClient(ip, int(port), prefix=PREFIX)

    def count(self, effect: fx.Count) -> None:
        """Increments a counter."""
        if self.client:
            self.client.incr(effect.metric, effect.amount)

    def gauge(self, effect: fx.Gauge) -> None:
        """Sets a gauge."""
        if self.client:
            self.client.gauge(effect.metric, effect.value)

    def timing(self, effect: fx.Timing) -> None:
        """Records a timing in milliseconds."""
        if self.client:
            self.client.timing(effect.metric, effect.value_ms)

    def close(self) -> None:
        """Closes the socket."""
        if self.client:
            self.client.close()
