"""Chooses one version of each model that a new request may use.

The choice is a function of the table and of a text (the session, or the
request id), so that every entry with the same table chooses alike. Among the
offered versions of a model the shares follow the table's weights; a version
that is being rolled out gets no more than its stage's share.
"""

from collections.abc import Collection
import dataclasses

import xxhash

from rhubarbbank_core import gate
from rhubarbbank_core import requests
from rhubarbbank_core import table

STAGE_PREFIX = "stage:"
HASH_RANGE = 2**64
FULL_SHARE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A version's part of the new work of its model."""

    row: table.Row
    amount: float


def read_stage_per_cent(row: table.Row) -> int:
    """Returns the most that a row may take of new work, in per cent."""
    if row.status == gate.HELD:
        return 0
    if row.status.startswith(STAGE_PREFIX):
        return int(row.status.removeprefix(STAGE_PREFIX))
    return FULL_SHARE


def takes_new_work(row: table.Row, *, request_class: str) -> bool:
    """Returns whether the row offers itself to new work of the class."""
    if row.state is not table.VersionState.OFFERED or row.weight <= 0:
        return False
    if row.classes and request_class not in row.classes:
        return False
    return read_stage_per_cent(row) > 0


def matches(row: table.Row, wanted: str) -> bool:
    """Returns whether the row is what the caller asked for."""
    return wanted in (requests.ANY_MODEL, row.model, str(row.key))


def share_out(rows: list[table.Row]) -> list[Share]:
    """Returns each row's share; staged rows get their stage's at most."""
    staged = [row for row in rows if row.status.startswith(STAGE_PREFIX)]
    settled = [row for row in rows if row not in staged]
    if not settled:
        return [Share(row, row.weight) for row in staged]
    shares = [
        Share(row, read_stage_per_cent(row) / FULL_SHARE) for row in staged
    ]
    rest = max(0.0, 1.0 - sum(share.amount for share in shares))
    weight = sum(row.weight for row in settled)
    shares += [Share(row, rest * row.weight / weight) for row in settled]
    return shares


def pick(shares: list[Share], *, text: str) -> table.Row:
    """Returns the row that the text falls on, in proportion to the shares."""
    total = sum(share.amount for share in shares)
    point = xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE * total
    for share in shares:
        point -= share.amount
        if point < 0:
            return share.row
    return shares[-1].row


def choose_versions(
    rows: table.Table,
    *,
    organisation: str,
    request_class: str,
    wanted: str,
    text: str,
    held: Collection[table.VersionKey] = (),
) -> list[table.Row]:
    """Returns one row for each model that may serve the request.

    Args:
        rows: The table in force.
        organisation: The customer.
        request_class: Such as `chat`.
        wanted: A model, a `model@version` or `auto`.
        text: What the choice hangs on: the session or the request id.
        held: Versions that are held although the table doesn't say so yet.
    """
    by_model: dict[str, list[table.Row]] = {}
    for row in rows.by_organisation.get(organisation, {}).values():
        if not takes_new_work(row, request_class=request_class):
            continue
        if matches(row, wanted) and row.key not in held:
            by_model.setdefault(row.model, []).append(row)
    return [
        pick(share_out(found), text=f"{organisation}/{text}/{model}")
        for model, found in sorted(by_model.items())
    ]
