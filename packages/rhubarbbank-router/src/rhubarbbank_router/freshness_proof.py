"""Proves that the configuration in use can't be older than a bound.

The proof is the time at which a linearizable read of the configuration was
sent, once its answer has confirmed the revision in use: whatever had been
acknowledged by then is in force. Times are of a clock that goes on while the
machine is suspended, so that a proof ages through a suspension. Intake asks
before it accepts a key.
"""


class FreshnessProof:
    """The newest proof.

    Attributes:
        limit_s: Age up to which it holds.
        asked_at: When the read that gave it was sent; None for no proof.
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.read_sent_at: float | None = None

    def confirm(self, *, asked_at: float) -> None:
        """Takes a confirmed read that was sent at `asked_at`."""
        if self.read_sent_at is None or asked_at > self.read_sent_at:
            self.read_sent_at = asked_at

    def age(self, *, now: float) -> float | None:
        """Returns the proof's age in seconds, or None without a proof."""
        return None if self.read_sent_at is None else now - self.read_sent_at

    def is_valid(self, *, now: float) -> bool:
        """Returns whether keys may be accepted at `now`."""
        age = self.age(now=now)
        return age is not None and 0.0 <= age <= self.limit_s
