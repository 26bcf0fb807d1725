"""Judges the versions of the models that this entry is the judge of.

Entries report totals; here they become batches for one `ExposureJudge` a
version, and verdicts become edits of the table's status column: a version in
roll-out moves from stage to stage, and one that turns bad is held. The edits
are conditional on the cell's value, so that two judges during a change of
membership can't undo each other's work; a judge that takes over goes on from
the stage that the table shows and from the totals that entries repeat.

A hold is also told to all entries at once, again and again until the table
shows it, so that it is in force before its edit is, and in a store outage.
"""

import dataclasses

from rhubarbbank_core import evidence_messages
from rhubarbbank_core import exposure
from rhubarbbank_core import gate
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import version_choice

NO_INCUMBENT = table.VersionKey("", "")
OK_STATUS = "ok"
# Rated answers after which a settled version is watched for a change.
WATCH_AFTER_RATED = 150
MAX_SOURCES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where totals came from: one run of one entry, on one version."""

    entry: str
    incarnation: int
    key: table.VersionKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """What a round of judging led to.

    Attributes:
        changes: Edits of status cells.
        held: Versions that are held and that the table doesn't show so yet.
        suspects: Versions that turned bad and whose organisations have
            nothing else; they go on, and operators are told.
    """

    changes: list[table_codec.SetCell]
    held: list[table.VersionKey]
    suspects: list[table.VersionKey]


class ExposureDuty:
    """The judges of some models' versions.

    Attributes:
        judges: By version.
        seen: The last totals of each source.
    """

    def __init__(self) -> None:
        self.judges: dict[table.VersionKey, exposure.ExposureJudge] = {}
        self.seen: dict[Source, evidence_messages.EvidenceTally] = {}

    def take_report(self, report: evidence_messages.EvidenceReport) -> None:
        """Folds what is new in a report into the judges of its model."""
        for tally in report.tallies:
            key = table.VersionKey(tally.model, tally.version)
            source = Source(report.entry, report.incarnation, key)
            batch = subtract(tally, self.seen.get(source))
            if batch is None:
                continue
            self.seen[source] = tally
            while len(self.seen) > MAX_SOURCES:
                del self.seen[next(iter(self.seen))]
            for judge in self.judges.values():
                judge.fold(batch)

    def judge(self, rows: table.Table, *, models: set[str]) -> Judgement:
        """Compares verdicts with the table and returns what must change.

        Args:
            rows: The table in force.
            models: Those that this entry is the judge of.
        """
        found = Judgement(changes=[], held=[], suspects=[])
        offered = group_offered(rows, models)
        for key in [x for x in self.judges if x not in offered]:
            del self.judges[key]
        for key, own in offered.items():
            judge = self.judges.get(key)
            if judge is None:
                judge = self.open_judge(key, own, offered)
                self.judges[key] = judge
            start_watch(judge, own)
            self.apply_verdict(found, rows, judge, own)
        return found

    def find_reason(self, key: table.VersionKey) -> str:
        """Returns why a version is held, or an empty text."""
        judge = self.judges.get(key)
        return str(judge.state.held or "") if judge else ""

    def open_judge(
        self,
        key: table.VersionKey,
        own: list[table.Row],
        offered: dict[table.VersionKey, list[table.Row]],
    ) -> exposure.ExposureJudge:
        """Returns a new judge that has folded what is known so far."""
        shares = exposure.DEFAULT_SETTINGS.shares_per_cent
        share = min(map(version_choice.read_stage_per_cent, own))
        stage = max(
            (x for x, step in enumerate(shares) if step <= share), default=0
        )
        incumbent = find_incumbent(key, offered)
        judge = exposure.ExposureJudge(
            key=key,
            incumbent=incumbent if is_staged(own) else NO_INCUMBENT,
            state=exposure.ExposureState(stage=stage),
        )
        for tally in self.seen.values():
            batch = subtract(tally, None)
            if batch is not None:
                judge.fold(batch)
        return judge

    def apply_verdict(
        self,
        found: Judgement,
        rows: table.Table,
        judge: exposure.ExposureJudge,
        own: list[table.Row],
    ) -> None:
        """Adds what a verdict changes in the table."""
        verdict = judge.verdict()
        if isinstance(verdict, exposure.Stage):
            found.changes.extend(advance(own, verdict.share_per_cent))
            return
        holdable = [row for row in own if has_other(rows, row)]
        for row in holdable:
            found.changes.append(set_status(row, gate.HELD))
        if holdable:
            found.held.append(judge.key)
        if len(holdable) < len(own):
            found.suspects.append(judge.key)


def group_offered(
    rows: table.Table, models: set[str]
) -> dict[table.VersionKey, list[table.Row]]:
    """Returns the rows that take new work, by version."""
    found: dict[table.VersionKey, list[table.Row]] = {}
    for row in rows.rows:
        takes = row.state is table.VersionState.OFFERED
        if takes and row.model in models and row.status != gate.HELD:
            found.setdefault(row.key, []).append(row)
    return found


def is_staged(own: list[table.Row]) -> bool:
    """Returns whether a version is in roll-out for any organisation."""
    return any(
        row.status.startswith(version_choice.STAGE_PREFIX) for row in own
    )


def find_incumbent(
    key: table.VersionKey, offered: dict[table.VersionKey, list[table.Row]]
) -> table.VersionKey:
    """Returns the settled version of the model that most rows offer."""
    others = {
        other: sum(row.status == OK_STATUS for row in own)
        for other, own in offered.items()
        if other.model == key.model and other != key
    }
    settled = [other for other, count in others.items() if count]
    if not settled:
        return NO_INCUMBENT
    return max(settled, key=lambda other: (others[other], other))


def start_watch(judge: exposure.ExposureJudge, own: list[table.Row]) -> None:
    """Starts to watch a settled version once enough is known of it."""
    state = judge.state
    if is_staged(own) or state.detectors is not None:
        return
    if state.new.ratings.count >= WATCH_AFTER_RATED:
        judge.state = dataclasses.replace(
            state, detectors=judge.start_detectors()
        )


def advance(
    own: list[table.Row], share_per_cent: int
) -> list[table_codec.SetCell]:
    """Returns the edits that move rows in roll-out up to a share."""
    full = share_per_cent >= version_choice.FULL_SHARE
    status = OK_STATUS
    if not full:
        status = f"{version_choice.STAGE_PREFIX}{share_per_cent}"
    return [
        set_status(row, status)
        for row in own
        if row.status.startswith(version_choice.STAGE_PREFIX)
        and version_choice.read_stage_per_cent(row) < share_per_cent
    ]


def has_other(rows: table.Table, row: table.Row) -> bool:
    """Returns whether the organisation has other rows for the same work."""
    others = rows.by_organisation.get(row.organisation, {}).values()
    return any(
        other.key != row.key
        and other.state is table.VersionState.OFFERED
        and other.status != gate.HELD
        and serves_all(other, row)
        for other in others
    )


def serves_all(other: table.Row, row: table.Row) -> bool:
    """Returns whether a row may serve every class that another one serves."""
    if not other.classes:
        return True
    return bool(row.classes) and set(row.classes) <= set(other.classes)


def set_status(row: table.Row, status: str) -> table_codec.SetCell:
    """Returns the edit of a row's status."""
    return table_codec.SetCell(
        row.row_key, table.Column.STATUS, row.status, status
    )


def subtract(
    tally: evidence_messages.EvidenceTally,
    seen: evidence_messages.EvidenceTally | None,
) -> exposure.EvidenceBatch | None:
    """Returns what a tally adds to the one seen before; None for nothing."""
    known = seen or evidence_messages.EvidenceTally(tally.model, tally.version)
    if tally.requests < known.requests or tally.rated < known.rated:
        return None
    if tally.requests == known.requests and tally.rated == known.rated:
        return None
    return exposure.EvidenceBatch(
        key=table.VersionKey(tally.model, tally.version),
        rated=tally.rated - known.rated,
        rating_sum=tally.rating_sum - known.rating_sum,
        rating_square_sum=tally.rating_square_sum - known.rating_square_sum,
        requests=tally.requests - known.requests,
        errors=tally.errors - known.errors,
        slow=tally.slow - known.slow,
    )
