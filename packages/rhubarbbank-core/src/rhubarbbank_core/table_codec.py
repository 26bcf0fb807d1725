"""The stored form of the operators' table: one object under the key `table`.

`table_edit` changes a `StoredTable`; this module turns it into the bytes of
one store object and back, and gives the digest by which processes compare
tables. Rows are JSON arrays without column names, which is less than half of
the size with names. A row array may grow at its end only: a field added later
needs a default, so that older objects still decode.

The object is bounded: rows may take `ROWS_LIMIT_BYTES`, the history keeps its
newest edits within `HISTORY_LIMIT` and `HISTORY_LIMIT_BYTES`. What falls out
of the history is no longer needed to read the table; an edit whose base
revision lies before the oldest kept edit is refused instead of guessed at.
"""

import collections.abc
import dataclasses

import msgspec
import xxhash

from rhubarbbank_core import errors
from rhubarbbank_core import table

TABLE_KEY = "table"
HISTORY_LIMIT = 200
HISTORY_LIMIT_BYTES = 200_000
ROWS_LIMIT_BYTES = 700_000


class SetCell(msgspec.Struct, frozen=True, array_like=True, tag="set"):
    """Changes one cell from `old` to `new`, both in canonical text."""

    row_key: table.RowKey
    column: table.Column
    old: str
    new: str


class AddRow(msgspec.Struct, frozen=True, array_like=True, tag="add"):
    """Adds a row that is not there yet."""

    row: table.Row


class RemoveRow(msgspec.Struct, frozen=True, array_like=True, tag="remove"):
    """Removes a row; `row` is the row as its author saw it."""

    row: table.Row


Change = SetCell | AddRow | RemoveRow


class Edit(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One change with its author.

    Attributes:
        author: Who made it.
        write_id: Unique for each edit; a repeat carries the same one.
        time: When it was made, ISO 8601 in UTC.
        change: What it changes.
        base_revision: The revision that its author saw.
        by_system: Whether the system made it, not an operator.
        revision: The revision that it led to; 0 until it is accepted.
    """

    author: str
    write_id: str
    time: str
    change: Change
    base_revision: int
    by_system: bool = False
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredTable:
    """The table as it stands in the store.

    Attributes:
        table: The rows and their revision.
        write_id: The write id of the last edit.
        history: The newest accepted edits, oldest first, without gaps.
    """

    table: table.Table
    write_id: str = ""
    history: tuple[Edit, ...] = ()


EMPTY_STORED_TABLE = StoredTable(table=table.EMPTY_TABLE)


class RowRecord(msgspec.Struct, frozen=True, array_like=True):
    """A row in the stored form, in the order of `table.Row`."""

    organisation: str
    model: str
    version: str
    state: table.VersionState
    classes: tuple[str, ...]
    weight: int
    priority: int
    requests_per_minute: int
    price_per_1k_tokens: int
    quality_target: int
    status: str


class TableRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The whole object in the stored form."""

    revision: int
    write_id: str
    rows: list[RowRecord]
    history: list[Edit]


def record_row(row: table.Row) -> RowRecord:
    """Returns the stored form of a row."""
    return RowRecord(
        organisation=row.organisation,
        model=row.model,
        version=row.version,
        state=row.state,
        classes=row.classes,
        weight=row.weight,
        priority=row.priority,
        requests_per_minute=row.requests_per_minute,
        price_per_1k_tokens=row.price_per_1k_tokens,
        quality_target=row.quality_target,
        status=row.status,
    )


def restore_row(record: RowRecord) -> table.Row:
    """Returns the row of a stored form."""
    return table.Row(
        organisation=record.organisation,
        model=record.model,
        version=record.version,
        state=record.state,
        classes=record.classes,
        weight=record.weight,
        priority=record.priority,
        requests_per_minute=record.requests_per_minute,
        price_per_1k_tokens=record.price_per_1k_tokens,
        quality_target=record.quality_target,
        status=record.status,
    )


def encode_rows(rows: collections.abc.Iterable[table.Row]) -> bytes:
    """Returns the rows as JSON; equal rows give equal bytes."""
    return msgspec.json.encode([record_row(row) for row in rows])


def compute_digest(value: table.Table) -> int:
    """Returns the 64-bit digest of the rows.

    Two processes hold the same table when (revision, digest) is the same.
    """
    return xxhash.xxh64_intdigest(encode_rows(value.rows))


def trim_history(history: tuple[Edit, ...]) -> tuple[Edit, ...]:
    """Returns the newest edits that fit both bounds, at least one."""
    kept: list[Edit] = []
    size = 0
    for edit in reversed(history[-HISTORY_LIMIT:]):
        size += len(msgspec.json.encode(edit)) + 1
        if kept and size > HISTORY_LIMIT_BYTES:
            break
        kept.append(edit)
    return tuple(reversed(kept))


def encode_table(stored: StoredTable) -> bytes:
    """Returns the bytes of the store object."""
    record = TableRecord(
        revision=stored.table.revision,
        write_id=stored.write_id,
        rows=[record_row(row) for row in stored.table.rows],
        history=list(stored.history),
    )
    return msgspec.json.encode(record)


def decode_table(value: bytes) -> StoredTable:
    """Returns the table of a store object.

    Raises:
        errors.RhubarbbankError: The bytes are not a table.
    """
    try:
        record = msgspec.json.decode(value, type=TableRecord)
    except msgspec.MsgspecError as error:
        raise errors.RhubarbbankError(
            problem=errors.Problem(
                code=errors.ErrorCode.STORE_UNAVAILABLE,
                detail=f"the object `{TABLE_KEY}` is not a table: {error}",
            ),
            remedy="Restore the object from an export of the table.",
        ) from error
    rows = tuple(restore_row(row) for row in record.rows)
    return StoredTable(
        table=table.Table(revision=record.revision, rows=rows),
        write_id=record.write_id,
        history=tuple(record.history),
    )
