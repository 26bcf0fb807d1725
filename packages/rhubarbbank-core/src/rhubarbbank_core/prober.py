"""Makes an entry's probes, numbers them and plans the next ones."""

import random

from rhubarbbank_core import gossip
from rhubarbbank_core import membership_messages

JITTER = 0.1


class Prober:
    """The probes of one entry.

    Attributes:
        rng: Spreads probes over time.
        clock: Bounds the age of answers.
        next_probe: When each probed process is due next.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.clock = gossip.ProbeClock(rng=rng)
        self.next_probe: dict[str, float] = {}

    def take_due(self, name: str, interval_s: float, *, now: float) -> bool:
        """Returns whether a probe is due, and plans the next one."""
        if now < self.next_probe.get(name, now):
            return False
        self.next_probe[name] = now + interval_s * self.rng.uniform(
            1 - JITTER, 1 + JITTER
        )
        return True

    def unplan(self, name: str) -> None:
        """Stops probing a process."""
        self.next_probe.pop(name, None)

    def forget(self, name: str) -> None:
        """Drops all that is kept about a process that is gone."""
        self.unplan(name)
        self.clock.forget(name)

    def make_hello(
        self,
        name: str,
        *,
        row: membership_messages.EntryRow,
        known: membership_messages.SidecarRow | None,
        report: membership_messages.LocalReport,
        now: float,
    ) -> membership_messages.Hello:
        """Returns a Hello for a sidecar."""
        return membership_messages.Hello(
            name=row.name,
            incarnation=row.incarnation,
            address=row.address,
            sequence=self.clock.stamp(name, now=now),
            echo=self.clock.echo_for(name),
            revision=report.revision,
            digest=report.digest,
            known_incarnation=0 if known is None else known.incarnation,
            known_generation=0 if known is None else known.generation,
            confirmed_age_ms=membership_messages.to_age_ms(
                report.confirmed_age_s
            ),
            outage_age_ms=membership_messages.to_age_ms(report.outage_age_s),
        )

    def make_heartbeat(
        self,
        name: str,
        *,
        own: str,
        row: membership_messages.EntryRow | None,
        report: membership_messages.LocalReport,
        directory_digest: int,
        view_size: int,
        wants_reply: bool,
        now: float,
    ) -> membership_messages.EntryHeartbeat:
        """Returns a heartbeat for an entry."""
        return membership_messages.EntryHeartbeat(
            name=own,
            sequence=self.clock.stamp(name, now=now),
            echo=self.clock.echo_for(name),
            revision=report.revision,
            digest=report.digest,
            directory_digest=directory_digest,
            view_size=view_size,
            confirmed_age_ms=membership_messages.to_age_ms(
                report.confirmed_age_s
            ),
            store_failed_age_ms=membership_messages.to_age_ms(
                report.store_failed_age_s
            ),
            wants_reply=wants_reply,
            row=row,
        )
