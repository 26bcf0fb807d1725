"""Bounds the age of the active configuration.

The proof is the time at which a linearizable read of the configuration was
sent whose response confirmed the active revision: every change acknowledged
before that time is active. The clock has to continue while the machine is
suspended, so that a proof also ages during a suspension. `intake` checks the
proof before it accepts an API key.
"""


class FreshnessProof:
    """The most recent confirmation of the active configuration.

    Attributes:
        limit_s: Maximum age of a valid proof.
        read_sent_at: When the confirming read was sent, in seconds; None if
            no read has confirmed the configuration.
    """

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.read_sent_at: float | None = None

    def confirm(self, *, sent_at: float) -> None:
        """Records a confirming read that was sent at `sent_at`."""
        if self.read_sent_at is None or sent_at > self.read_sent_at:
            self.read_sent_at = sent_at

    def revoke(self) -> None:
        """Discards the proof."""
        self.read_sent_at = None

    def age(self, *, now: float) -> float | None:
        """Returns the proof's age in seconds, or None without a proof."""
        return None if self.read_sent_at is None else now - self.read_sent_at

    def is_valid(self, *, now: float) -> bool:
        """Returns whether API keys may be accepted at `now`."""
        age = self.age(now=now)
        return age is not None and 0.0 <= age <= self.limit_s
