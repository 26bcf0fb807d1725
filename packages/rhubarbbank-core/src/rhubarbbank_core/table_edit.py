"""Applies edits to the stored table, alone or all of a batch or none.

An edit names its author, a write id and one change, and says which value its
author saw. It applies to any later revision as long as that value still
stands there (a rebase); otherwise it is refused with both values shown.
`table_editor` carries a batch through the store.

A write id that stands in the history was applied before and is not applied
again. The history is bounded, so a batch whose base revision lies before it
is refused: nobody could tell whether it was applied.
"""

import collections.abc
import dataclasses

import msgspec

from rhubarbbank_core import errors
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_input

HELD_STATUS = "held"
FIRST_STAGE = "stage:1"
OK_STATUS = "ok"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Two values for one cell, or for the presence of one row.

    Attributes:
        row_key: The row.
        column: The cell; None when the row itself is at issue.
        wanted: What the refused edit would have set; empty for no row.
        present: What stands there; empty for no row.
        set_by: Who set it; empty when the history no longer tells.
        set_at: When, ISO 8601; empty when the history no longer tells.
    """

    row_key: table.RowKey
    column: table.Column | None
    wanted: str
    present: str
    set_by: str
    set_at: str

    def __str__(self) -> str:
        place = f"{self.row_key} {self.column or 'row'}"
        return (
            f"{place}: wanted={self.wanted!r} present={self.present!r} "
            f"set_by={self.set_by or '?'} set_at={self.set_at or '?'}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An edit that was not applied.

    Attributes:
        problem: Why, as code and particulars.
        conflict: Both values, for EDIT_CONFLICT on a cell or row.
        fault: The cell's fault, for BAD_CELL.
    """

    problem: errors.Problem
    conflict: Conflict | None = None
    fault: table_input.CellFault | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The table after a batch.

    Attributes:
        stored: The table that holds the batch.
        revision: The revision that the batch's last edit led to.
        repeated: Whether the batch had been applied before.
    """

    stored: table_codec.StoredTable
    revision: int
    repeated: bool = False


class RefusalError(Exception):
    """Carries a refusal out of the checks of one change."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.problem.detail)
        self.refusal = refusal


def find_row_key(change: table_codec.Change) -> table.RowKey:
    """Returns the row that a change speaks of."""
    if isinstance(change, table_codec.SetCell):
        return change.row_key
    return change.row.row_key


def refuse_cell(fault: table_input.CellFault, subject: str) -> Refusal:
    """Returns a refusal with BAD_CELL."""
    return Refusal(
        problem=errors.Problem(
            code=errors.ErrorCode.BAD_CELL, detail=f"{subject}: {fault}"
        ),
        fault=fault,
    )


def refuse_missing(row_key: table.RowKey) -> Refusal:
    """Returns a refusal for a row that is not there and never was seen."""
    return Refusal(
        problem=errors.Problem(
            code=errors.ErrorCode.NOT_FOUND, detail=str(row_key)
        )
    )


def describe_row(row: table.Row) -> str:
    """Returns the cells after the key as one text."""
    return " ".join(
        f"{column}={table_input.read_cell(row, column)}"
        for column in table.Column
        if column not in table.KEY_COLUMNS
    )


class Batch:
    """Applies changes one after another to a copy of the rows.

    Attributes:
        rows: The rows as they stand after the changes so far.
        history: The edits accepted so far, oldest first, untrimmed.
        revision: The revision so far.
    """

    def __init__(self, *, stored: table_codec.StoredTable) -> None:
        self.rows = {row.row_key: row for row in stored.table.rows}
        self.history = list(stored.history)
        self.revision = stored.table.revision

    def apply(self, edit: table_codec.Edit) -> None:
        """Applies one edit.

        Raises:
            RefusalError: The edit is refused.
        """
        change = edit.change
        if isinstance(change, table_codec.SetCell):
            self.set_cell(change, by_system=edit.by_system)
        elif isinstance(change, table_codec.AddRow):
            self.add_row(change, by_system=edit.by_system)
        else:
            self.remove_row(change)
        self.revision += 1
        self.history.append(
            msgspec.structs.replace(edit, revision=self.revision)
        )

    def set_cell(self, change: table_codec.SetCell, *, by_system: bool) -> None:
        """Sets one cell if it still holds the value that the author saw."""
        row = self.rows.get(change.row_key)
        if row is None:
            self.refuse_lost_row(change)
            raise RefusalError(refuse_missing(change.row_key))
        present = table_input.read_cell(row, change.column)
        if present != change.old:
            raise RefusalError(
                self.refuse_conflict(
                    row_key=change.row_key,
                    column=change.column,
                    wanted=change.new,
                    present=present,
                )
            )
        clears_hold = present == HELD_STATUS and change.new == OK_STATUS
        is_status = change.column is table.Column.STATUS
        if is_status and not (by_system or clears_hold):
            raise RefusalError(
                refuse_cell(
                    table_input.CellFault.STATUS_IS_SYSTEM, change.column
                )
            )
        self.rows[change.row_key] = table_input.write_cell(
            row, change.column, change.new
        )

    def refuse_lost_row(self, change: table_codec.SetCell) -> None:
        """Refuses with a conflict when the history shows the row's end."""
        setter = self.find_setter(change.row_key, None)
        if setter is None:
            return
        raise RefusalError(
            self.refuse_conflict(
                row_key=change.row_key,
                column=change.column,
                wanted=change.new,
                present="",
            )
        )

    def add_row(self, change: table_codec.AddRow, *, by_system: bool) -> None:
        """Adds a row whose key is free and whose names are distinct."""
        row = change.row
        present = self.rows.get(row.row_key)
        if present is not None:
            raise RefusalError(
                self.refuse_conflict(
                    row_key=row.row_key,
                    column=None,
                    wanted=describe_row(row),
                    present=describe_row(present),
                )
            )
        if row.status != OK_STATUS and not by_system:
            raise RefusalError(
                refuse_cell(
                    table_input.CellFault.STATUS_IS_SYSTEM, table.Column.STATUS
                )
            )
        cells = {
            column: table_input.read_cell(row, column)
            for column in table.Column
        }
        canonical = table_input.build_row(cells)
        table_input.check_names(canonical.row_key, self.rows.keys())
        if not by_system and self.replaces_another(canonical):
            canonical = dataclasses.replace(canonical, status=FIRST_STAGE)
        self.rows[canonical.row_key] = canonical

    def replaces_another(self, row: table.Row) -> bool:
        """Returns whether the organisation has the model in other versions.

        The new version then starts at the first stage of a roll-out.
        """
        return any(
            other.organisation == row.organisation
            and other.model == row.model
            and other.state is table.VersionState.OFFERED
            for other in self.rows.values()
        )

    def remove_row(self, change: table_codec.RemoveRow) -> None:
        """Removes a row that an operator would recognise as the one seen.

        The status is left out of the comparison: the system may have moved
        it on, and a removal stands all the same.
        """
        present = self.rows.get(change.row.row_key)
        if present is None:
            raise RefusalError(refuse_missing(change.row.row_key))
        if dataclasses.replace(present, status=change.row.status) != change.row:
            raise RefusalError(
                self.refuse_conflict(
                    row_key=change.row.row_key,
                    column=None,
                    wanted="",
                    present=describe_row(present),
                )
            )
        del self.rows[change.row.row_key]

    def refuse_conflict(
        self,
        *,
        row_key: table.RowKey,
        column: table.Column | None,
        wanted: str,
        present: str,
    ) -> Refusal:
        """Returns a refusal that shows both values and who set the present."""
        setter = self.find_setter(row_key, column)
        conflict = Conflict(
            row_key=row_key,
            column=column,
            wanted=wanted,
            present=present,
            set_by=setter.author if setter else "",
            set_at=setter.time if setter else "",
        )
        return Refusal(
            problem=errors.Problem(
                code=errors.ErrorCode.EDIT_CONFLICT, detail=str(conflict)
            ),
            conflict=conflict,
        )

    def find_setter(
        self, row_key: table.RowKey, column: table.Column | None
    ) -> table_codec.Edit | None:
        """Returns the last edit that set this cell or row, or None.

        Adding or removing the row sets each of its cells.
        """
        for edit in reversed(self.history):
            change = edit.change
            if find_row_key(change) != row_key:
                continue
            if column is None or not isinstance(change, table_codec.SetCell):
                return edit
            if change.column is column:
                return edit
        return None


def find_write(
    stored: table_codec.StoredTable, write_id: str
) -> table_codec.Edit | None:
    """Returns the accepted edit with this write id, or None."""
    for edit in reversed(stored.history):
        if edit.write_id == write_id:
            return edit
    return None


def reaches_back(stored: table_codec.StoredTable, revision: int) -> bool:
    """Tells whether the history holds each edit after this revision."""
    return stored.table.revision - len(stored.history) <= revision


def apply_edits(
    stored: table_codec.StoredTable,
    edits: collections.abc.Sequence[table_codec.Edit],
) -> Applied | Refusal:
    """Applies all edits, or none of them when one is refused.

    Args:
        stored: The table as it stands.
        edits: At least one, all made against the same base revision. A
            repeated batch is told by the write id of its last edit.

    Returns:
        The new table, or the refusal of the first edit that was refused.
    """
    earlier = find_write(stored, edits[-1].write_id)
    if earlier is not None:
        return Applied(stored=stored, revision=earlier.revision, repeated=True)
    if not reaches_back(stored, edits[0].base_revision):
        return Refusal(
            problem=errors.Problem(
                code=errors.ErrorCode.EDIT_CONFLICT,
                detail=f"base revision {edits[0].base_revision} is too old "
                f"for revision {stored.table.revision}",
            )
        )
    batch = Batch(stored=stored)
    try:
        for edit in edits:
            batch.apply(edit)
    except RefusalError as error:
        return error.refusal
    except table_input.CellError as error:
        return refuse_cell(error.fault, error.subject)
    rows = tuple(batch.rows[key] for key in sorted(batch.rows))
    if len(table_codec.encode_rows(rows)) > table_codec.ROWS_LIMIT_BYTES:
        return refuse_cell(
            table_input.CellFault.TABLE_FULL, f"{len(rows)} rows"
        )
    return Applied(
        stored=table_codec.StoredTable(
            table=table.Table(revision=batch.revision, rows=rows),
            write_id=edits[-1].write_id,
            history=table_codec.trim_history(tuple(batch.history)),
        ),
        revision=batch.revision,
    )


def apply_edit(
    stored: table_codec.StoredTable, edit: table_codec.Edit
) -> Applied | Refusal:
    """Applies one edit, as `apply_edits` does for a batch of one."""
    return apply_edits(stored, (edit,))
