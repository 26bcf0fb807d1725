"""Shows the table and its history as text, and reads exports back.

Three forms: a plain-text grid whose columns align in a terminal, also with
East Asian wide characters; CSV and TSV, whose header holds the column codes,
the same in every language. An import is a list of changes against the table
that is there. It leaves the status column alone: the system writes that one.
"""

import collections.abc
import csv
import enum
import io
import unicodedata

from rhubarbbank_core import errors
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_edit
from rhubarbbank_core import table_input
from rhubarbbank_core import texts

COLUMN_GAP = "  "
WIDE = frozenset({"W", "F"})
BYTE_ORDER_MARK = "\ufeff"

BOTH_VALUES = texts.Text(
    "Yours: {wanted}. Now there: {present}, set by {set_by} at {set_at}.",
    "Ihr Wert: {wanted}. Jetziger Wert: {present}, gesetzt von {set_by} "
    "am {set_at}.",
    "入力値: {wanted}、現在の値: {present}(設定者: {set_by}、日時: {set_at})。",
)
HISTORY_HEADINGS = (
    texts.Text("Revision", "Revision", "改訂"),
    texts.Text("Time (UTC)", "Zeit (UTC)", "日時(UTC)"),
    texts.Text("Author", "Von", "設定者"),
    texts.Text("Change", "Änderung", "変更"),
)
UNKNOWN_MARK = "?"
EMPTY_MARK = "-"


class ExportFormat(enum.StrEnum):
    """Forms of an export, each in UTF-8."""

    CSV = "csv"
    TSV = "tsv"

    @property
    def delimiter(self) -> str:
        """What separates the cells."""
        return "," if self is ExportFormat.CSV else "\t"


def measure_width(text: str) -> int:
    """Returns the terminal columns that a text takes."""
    width = 0
    for character in text:
        if unicodedata.combining(character):
            continue
        is_wide = unicodedata.east_asian_width(character) in WIDE
        width += 2 if is_wide else 1
    return width


def pad(text: str, width: int) -> str:
    """Returns the text filled with spaces up to a width."""
    return text + " " * (width - measure_width(text))


def render_grid(
    lines: collections.abc.Sequence[collections.abc.Sequence[str]],
) -> str:
    """Returns the lines with their cells aligned; all have as many cells."""
    widths = [
        max(map(measure_width, column)) for column in zip(*lines, strict=True)
    ]
    return "\n".join(
        COLUMN_GAP.join(
            pad(cell, width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_table(value: table.Table, language: texts.Language) -> str:
    """Returns the table under its column codes and headings."""
    lines = [
        [column.value for column in table.Column],
        [texts.HEADINGS[column].pick(language) for column in table.Column],
    ]
    for row in value.rows:
        cells = (table_input.read_cell(row, column) for column in table.Column)
        lines.append([cell or EMPTY_MARK for cell in cells])
    return render_grid(lines)


def describe_change(change: table_codec.Change) -> str:
    """Returns one change in codes, the same in every language."""
    if isinstance(change, table_codec.SetCell):
        return (
            f"set {change.row_key} {change.column}: "
            f"{change.old or EMPTY_MARK} -> {change.new or EMPTY_MARK}"
        )
    if isinstance(change, table_codec.AddRow):
        return f"add {change.row.row_key}"
    return f"remove {change.row.row_key}"


def render_history(
    edits: collections.abc.Iterable[table_codec.Edit],
    language: texts.Language,
) -> str:
    """Returns the edits, one a line, oldest first."""
    lines = [[heading.pick(language) for heading in HISTORY_HEADINGS]]
    lines.extend(
        [
            str(edit.revision),
            edit.time,
            edit.author,
            describe_change(edit.change),
        ]
        for edit in edits
    )
    return render_grid(lines)


def describe_refusal(
    refusal: table_edit.Refusal, language: texts.Language
) -> str:
    """Returns what happened and the remedy in one line, both values shown."""
    remedy = describe_remedy(refusal, language)
    message = texts.PROBLEMS[refusal.problem.code].message.pick(language)
    return f"{message} {describe_particulars(refusal, language)} {remedy}"


def describe_particulars(
    refusal: table_edit.Refusal, language: texts.Language
) -> str:
    """Returns which cell or row, and for a conflict both values."""
    conflict = refusal.conflict
    if conflict is None:
        return f"[{refusal.problem.detail}]"
    values = BOTH_VALUES.pick(language).format(
        wanted=conflict.wanted or EMPTY_MARK,
        present=conflict.present or EMPTY_MARK,
        set_by=conflict.set_by or UNKNOWN_MARK,
        set_at=conflict.set_at or UNKNOWN_MARK,
    )
    return f"[{conflict.row_key} {conflict.column or 'row'}] {values}"


def describe_remedy(
    refusal: table_edit.Refusal, language: texts.Language
) -> str:
    """Returns what the operator can do."""
    if refusal.fault is not None:
        return table_input.REMEDIES[refusal.fault].pick(language)
    if refusal.problem.run_state is errors.RunState.UNKNOWN:
        return texts.CHECK_RESULT.pick(language)
    return texts.PROBLEMS[refusal.problem.code].remedy.pick(language)


def export_table(value: table.Table, form: ExportFormat) -> str:
    """Returns the table as CSV or TSV with a header of column codes."""
    target = io.StringIO(newline="")
    writer = csv.writer(target, delimiter=form.delimiter, lineterminator="\n")
    writer.writerow(column.value for column in table.Column)
    for row in value.rows:
        writer.writerow(
            table_input.read_cell(row, column) for column in table.Column
        )
    return target.getvalue()


def parse_rows(text: str, form: ExportFormat) -> tuple[table.Row, ...]:
    """Returns the rows of an export, sorted.

    Columns may stand in any order, but each must be there: a default put in
    silently would overwrite what the table holds.

    Raises:
        table_input.CellError: A header or cell is refused, or a row stands
            twice.
    """
    source = io.StringIO(text.removeprefix(BYTE_ORDER_MARK), newline="")
    lines = list(csv.reader(source, delimiter=form.delimiter))
    columns = [table_input.parse_column(code) for code in next(iter(lines), ())]
    if sorted(columns) != sorted(table.Column):
        raise table_input.CellError(
            fault=table_input.CellFault.WRONG_COLUMNS, subject="line 1"
        )
    rows: dict[table.RowKey, table.Row] = {}
    for number, line in enumerate(lines[1:], start=2):
        if not any(line):
            continue
        row = parse_line(columns, line, number)
        if row.row_key in rows:
            raise table_input.CellError(
                fault=table_input.CellFault.REPEATED_ROW,
                subject=f"line {number}",
            )
        rows[row.row_key] = row
    return tuple(rows[key] for key in sorted(rows))


def parse_line(
    columns: collections.abc.Sequence[table.Column],
    line: collections.abc.Sequence[str],
    number: int,
) -> table.Row:
    """Returns the row of one line, naming the line in a refusal."""
    try:
        if len(line) != len(columns):
            raise table_input.CellError(
                fault=table_input.CellFault.WRONG_COLUMNS,
                subject=f"{len(line)} cells for {len(columns)} columns",
            )
        return table_input.build_row(dict(zip(columns, line, strict=True)))
    except table_input.CellError as error:
        raise table_input.CellError(
            fault=error.fault, subject=f"line {number}: {error.subject}"
        ) from error


def compare_rows(
    value: table.Table, wanted: collections.abc.Iterable[table.Row]
) -> list[table_codec.Change]:
    """Returns the changes that lead from a table to the wanted rows.

    Rows to remove come first, so that their names are free for new rows.
    """
    present = {row.row_key: row for row in value.rows}
    goal = {row.row_key: row for row in wanted}
    changes: list[table_codec.Change] = [
        table_codec.RemoveRow(row)
        for key, row in present.items()
        if key not in goal
    ]
    for key, row in goal.items():
        there = present.get(key)
        if there is None:
            fresh = table_input.write_cell(
                row, table.Column.STATUS, table_edit.OK_STATUS
            )
            changes.append(table_codec.AddRow(fresh))
        else:
            changes.extend(compare_cells(there, row))
    return changes


def compare_cells(
    there: table.Row, wanted: table.Row
) -> collections.abc.Iterator[table_codec.SetCell]:
    """Yields a change for each cell that differs, but for the status."""
    for column in table.Column:
        old = table_input.read_cell(there, column)
        new = table_input.read_cell(wanted, column)
        if column is not table.Column.STATUS and old != new:
            yield table_codec.SetCell(there.row_key, column, old, new)
