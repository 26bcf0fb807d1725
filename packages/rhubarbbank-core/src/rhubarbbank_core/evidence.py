"""Counts the outcomes of each version on an entry and reports them.

The reports for a model go to its judge, the entry that rendezvous hashing
selects. They contain totals since this entry's start. Changed totals are sent
every `REPORT_INTERVAL_S`, and all totals every `FULL_REPORT_INTERVAL_S`, so
that an entry that takes over as judge receives the whole history.
"""

from collections.abc import Iterable

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import rendezvous
from rhubarbbank_core import table

REPORT_INTERVAL_S = 1.0
FULL_REPORT_INTERVAL_S = 5.0
# Required upper limit on the time to the first token.
SLOW_FIRST_TOKEN_S = 0.54


def find_judge(model: str, entries: Iterable[str]) -> str | None:
    """Returns the peer address of a model's judge; None without entries."""
    return rendezvous.select(f"exposure/{model}", entries)


class Evidence:
    """Totals of requests and ratings by version, and when to report them.

    Attributes:
        totals: Totals by version, since this entry started.
        changed: Models whose totals changed since the last report.
        report_at: When changed totals are reported next, in seconds.
        full_report_at: When all totals are reported next, in seconds.
    """

    def __init__(self) -> None:
        self.totals: dict[
            table.VersionKey, evidence_messages.EvidenceTally
        ] = {}
        self.changed: set[str] = set()
        self.report_at = 0.0
        self.full_report_at = 0.0

    def find(self, key: table.VersionKey) -> evidence_messages.EvidenceTally:
        """Returns the totals of a version, zero if it has none yet."""
        return self.totals.get(key) or evidence_messages.EvidenceTally(
            key.model, key.version
        )

    def record_attempt(
        self, key: table.VersionKey, *, failed: bool, slow: bool
    ) -> None:
        """Counts one attempt on a version that ended."""
        found = self.find(key)
        self.totals[key] = msgspec.structs.replace(
            found,
            requests=found.requests + 1,
            errors=found.errors + failed,
            slow=found.slow + slow,
        )
        self.changed.add(key.model)

    def record_rating(self, key: table.VersionKey, rating: float) -> None:
        """Adds the rating of one answer, in [0, 1]."""
        found = self.find(key)
        self.totals[key] = msgspec.structs.replace(
            found,
            rated=found.rated + 1,
            rating_sum=found.rating_sum + rating,
            rating_square_sum=found.rating_square_sum + rating * rating,
        )
        self.changed.add(key.model)

    def tick(
        self,
        *,
        now: float,
        entry: str,
        incarnation: int,
        entries: frozenset[str],
    ) -> list[effects.Send]:
        """Returns the reports that are due.

        Args:
            now: The current time in seconds.
            entry: This entry's name.
            incarnation: This entry's incarnation.
            entries: Peer addresses of the live entries.
        """
        if now < self.report_at:
            return []
        self.report_at = now + REPORT_INTERVAL_S
        models = self.changed
        if now >= self.full_report_at:
            self.full_report_at = now + FULL_REPORT_INTERVAL_S
            models = {key.model for key in self.totals}
        self.changed = set()
        sends: list[effects.Send] = []
        for model in sorted(models):
            judge = find_judge(model, entries)
            if judge is None:
                continue
            report = evidence_messages.EvidenceReport(
                entry, incarnation, self.list_tallies(model)
            )
            sends.append(effects.Send(judge, report))
        return sends

    def list_tallies(
        self, model: str
    ) -> tuple[evidence_messages.EvidenceTally, ...]:
        """Returns the totals of all versions of a model."""
        return tuple(
            tally for key, tally in self.totals.items() if key.model == model
        )
