"""What an entry has seen of each version, told to the version's judge.

The judge of a model is the entry that rendezvous hashing prefers for it. The
totals since this entry's start go to it whenever they have changed, and now
and then in any case, so that a judge that takes over learns all of it.
"""

from collections.abc import Iterable

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import rendezvous
from rhubarbbank_core import table

REPORT_S = 1.0
REPEAT_S = 5.0
# The letter's bound on the time to the first token.
SLOW_FIRST_TOKEN_S = 0.54


def find_judge(model: str, entries: Iterable[str]) -> str | None:
    """Returns the peer address of the entry that judges a model."""
    return rendezvous.select(f"exposure/{model}", entries)


class Evidence:
    """Totals by version.

    Attributes:
        totals: By version, since the start.
        changed: Models whose totals changed since they were reported.
        report_at: When changes are reported next, in seconds.
        repeat_at: When everything is reported next, in seconds.
    """

    def __init__(self) -> None:
        self.totals: dict[
            table.VersionKey, evidence_messages.EvidenceTally
        ] = {}
        self.changed: set[str] = set()
        self.report_at = 0.0
        self.repeat_at = 0.0

    def find(self, key: table.VersionKey) -> evidence_messages.EvidenceTally:
        """Returns the totals of a version."""
        return self.totals.get(key) or evidence_messages.EvidenceTally(
            key.model, key.version
        )

    def note_end(
        self, key: table.VersionKey, *, failed: bool, slow: bool
    ) -> None:
        """Takes the end of one attempt on a version."""
        found = self.find(key)
        self.totals[key] = msgspec.structs.replace(
            found,
            requests=found.requests + 1,
            errors=found.errors + failed,
            slow=found.slow + slow,
        )
        self.changed.add(key.model)

    def note_rating(self, key: table.VersionKey, rating: float) -> None:
        """Takes the rating of one answer, in [0, 1]."""
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
            now: Seconds.
            entry: This entry's name.
            incarnation: This entry's.
            entries: Peer addresses of the live entries.
        """
        if now < self.report_at:
            return []
        self.report_at = now + REPORT_S
        models = self.changed
        if now >= self.repeat_at:
            self.repeat_at = now + REPEAT_S
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
