"""How a sidecar makes itself known to entries.

A sidecar sends nothing by itself: it answers each entry's Hello, so that its
traffic grows with the entries that chose it. It speaks unasked only when what
it says has changed (a version loaded, leaving), and then to every entry that
greeted it lately.
"""

import dataclasses
import random

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import gossip
from rhubarbbank_core import membership_messages

GREETED_WITHIN_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarLoad:
    """What an upstream reported of its load.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in its queue.
        max_batch: Most requests in a batch.
        reported_at: When the report came in, in seconds.
    """

    running: int = 0
    waiting: int = 0
    max_batch: int = 0
    reported_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EntryGreeting:
    """What a Hello says, with times on this process's clock.

    Attributes:
        name: The entry.
        address: Its peer address.
        revision: Its table revision.
        digest: Its table digest.
        confirmed_at: Its table included every edit up to this time, or None
            if the Hello could not prove one.
        outage_at: The entry's oldest evidence of a global outage is at
            least as young as this, or None.
    """

    name: str
    address: str
    revision: int
    digest: int
    confirmed_at: float | None
    outage_at: float | None


class SidecarPresence:
    """Answers Hellos and announces changes.

    Attributes:
        row: What this sidecar says of itself.
        healthy: Whether the upstream answers.
        load: The upstream's last load report.
        greeted: The last Hello's time and address of each entry.
    """

    def __init__(
        self, *, row: membership_messages.SidecarRow, rng: random.Random
    ) -> None:
        self.row = row
        self.healthy = True
        self.load = SidecarLoad()
        self.clock = gossip.ProbeClock(rng=rng)
        self.greeted: dict[str, tuple[float, str]] = {}

    def on_hello(
        self,
        message: membership_messages.Hello,
        *,
        now: float,
        report: membership_messages.LocalReport,
    ) -> tuple[list[effects.Send], EntryGreeting]:
        """Answers one Hello.

        Returns:
            The heartbeat to send, and what the Hello proves.
        """
        self.greeted[message.name] = (now, message.address)
        self.clock.note(message.name, message.sequence)
        sent_at = self.clock.sent_at(message.name, message.echo)
        greeting = EntryGreeting(
            name=message.name,
            address=message.address,
            revision=message.revision,
            digest=message.digest,
            confirmed_at=gossip.place_age(sent_at, message.confirmed_age_ms),
            outage_at=gossip.place_age(sent_at, message.outage_age_ms),
        )
        known = (message.known_incarnation, message.known_generation)
        tells = known != (self.row.incarnation, self.row.generation)
        answer = self.make_heartbeat(message.name, now, report, tells=tells)
        return [answer], greeting

    def make_heartbeat(
        self,
        entry: str,
        now: float,
        report: membership_messages.LocalReport,
        *,
        tells: bool,
    ) -> effects.Send:
        """Returns a heartbeat for an entry; `tells` adds the row."""
        reported_at = self.load.reported_at
        age_s = None if reported_at is None else now - reported_at
        heartbeat = membership_messages.SidecarHeartbeat(
            name=self.row.name,
            incarnation=self.row.incarnation,
            sequence=self.clock.stamp(entry, now=now),
            echo=self.clock.echo_for(entry),
            revision=report.revision,
            digest=report.digest,
            healthy=self.healthy,
            running=self.load.running,
            waiting=self.load.waiting,
            max_batch=self.load.max_batch,
            load_age_ms=membership_messages.to_age_ms(age_s),
            row=self.row if tells else None,
        )
        return effects.Send(self.greeted[entry][1], heartbeat)

    def announce(
        self,
        *,
        now: float,
        report: membership_messages.LocalReport,
        versions: tuple[str, ...] | None = None,
        leaving: bool | None = None,
    ) -> list[effects.Send]:
        """Changes what this sidecar says and tells every recent entry.

        Args:
            now: Seconds.
            report: The state of this sidecar's table.
            versions: The loaded versions, if they changed.
            leaving: Whether the upstream leaves, if that changed.
        """
        row = self.row
        changed = msgspec.structs.replace(
            row,
            generation=row.generation + 1,
            versions=row.versions if versions is None else versions,
            leaving=row.leaving if leaving is None else leaving,
        )
        self.row = changed
        return self.broadcast(now=now, report=report)

    def broadcast(
        self, *, now: float, report: membership_messages.LocalReport
    ) -> list[effects.Send]:
        """Sends a heartbeat to every entry that greeted lately."""
        self.forget_silent(now=now)
        return [
            self.make_heartbeat(name, now, report, tells=True)
            for name in self.greeted
        ]

    def forget_silent(self, *, now: float) -> None:
        """Drops the entries that have not greeted lately."""
        oldest = now - GREETED_WITHIN_S
        for name, (at, _) in list(self.greeted.items()):
            if at < oldest:
                del self.greeted[name]
                self.clock.forget(name)
