"""Estimates how much longer work takes on an upstream's host than usual.

Upstreams share their hosts with other programs, so that the same work takes a
different time from moment to moment. Load reports state how long it takes at
the moment of the report. A report is worth most for a plain request of a few
milliseconds that is sent right after it. It says little about a generation of
seconds, and nothing once it is old: the host is then as slow as hosts are on
average.
"""

import math
from typing import Protocol

from rhubarbbank_router import defaults

USUAL_SPEED = 1.0


class SlowdownEstimate(Protocol):
    """Predicts the mean slowdown of a piece of work from a report.

    It answers the load of many short requests before few upstreams on uneven
    hosts, whose speed changes several times a second.
    """

    def predict(
        self, reported: float, *, mean: float, age_s: float, duration_s: float
    ) -> float:
        """Returns by which factor the work is expected to take longer.

        Args:
            reported: The factor that the upstream's last report states.
            mean: The mean of the factors in recent reports of its service.
            age_s: Age of the report, in seconds.
            duration_s: How long the work usually takes, in seconds.
        """


class DecayingSlowdown:
    """Assumes that a host's slowdown approaches the mean exponentially.

    Attributes:
        decay_s: Time constant, in seconds.
    """

    def __init__(self, *, decay_s: float = defaults.SLOWDOWN_DECAY_S) -> None:
        self.decay_s = decay_s

    def predict(
        self, reported: float, *, mean: float, age_s: float, duration_s: float
    ) -> float:
        """Returns the factor's expected mean over the work's duration."""
        if reported == mean:
            return mean
        remaining = math.exp(-max(0.0, age_s) / self.decay_s)
        spans = max(0.0, duration_s) / self.decay_s
        share = -math.expm1(-spans) / spans if spans > 0.0 else 1.0
        return mean + (reported - mean) * remaining * share


class LastSlowdown:
    """Baseline: trusts the last report, however old it is."""

    def predict(
        self, reported: float, *, mean: float, age_s: float, duration_s: float
    ) -> float:
        """Returns the reported factor."""
        del mean, age_s, duration_s
        return reported


class IgnoredSlowdown:
    """Baseline: takes every host to have its usual speed."""

    def predict(
        self, reported: float, *, mean: float, age_s: float, duration_s: float
    ) -> float:
        """Returns 1."""
        del reported, mean, age_s, duration_s
        return USUAL_SPEED
