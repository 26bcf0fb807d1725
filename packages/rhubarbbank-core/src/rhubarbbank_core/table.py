"""The operators' table: rows of models and versions for each organisation.

A `Table` is an immutable value with a revision. Entries and sidecars ask it
whether an organisation may use a version; nothing else grants that right.
Editing, text forms and storage stand in modules of their own.
"""

import dataclasses
import enum
import functools


class VersionState(enum.StrEnum):
    """Where a row stands in its life.

    OFFERED takes new sessions and requests, DRAINING only keeps the sessions
    that it has, WITHDRAWN runs nothing new.
    """

    OFFERED = "offered"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class VersionKey:
    """Names one version of one model or plain service."""

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Names one row: an organisation and a version."""

    organisation: str
    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.organisation} {self.model}@{self.version}"


class Column(enum.StrEnum):
    """Codes of the columns, the same in every language, units included.

    They stand in the order in which the table is shown and exported.
    """

    ORGANISATION = "organisation"
    MODEL = "model"
    VERSION = "version"
    STATE = "state"
    CLASSES = "classes"
    WEIGHT = "weight_points"
    PRIORITY = "priority"
    REQUESTS_PER_MINUTE = "requests_per_minute"
    PRICE = "price_millicent_per_1k_tokens"
    QUALITY_TARGET = "quality_target_per_mille"
    STATUS = "status"


KEY_COLUMNS = frozenset({Column.ORGANISATION, Column.MODEL, Column.VERSION})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row: what one organisation may do with one version.

    Attributes:
        organisation: The customer that the row is for.
        model: The model or plain service.
        version: The version of it.
        state: Whether it takes new work.
        classes: Request classes that it may serve; empty means all.
        weight: Share among the organisation's offered versions of a model.
        priority: 0 is served first, 9 last.
        requests_per_minute: The organisation's allowance on this row.
        price_per_1k_tokens: In millicents (1/100,000 of a euro or the
            operator's own unit); for plain services, a call's price.
        quality_target: Least mean rating, in per mille (0 to 1000).
        status: Written by the system: `ok`, `stage:N` (N per cent of new
            work) or `held`.
    """

    organisation: str
    model: str
    version: str
    state: VersionState = VersionState.OFFERED
    classes: tuple[str, ...] = ()
    weight: int = 100
    priority: int = 5
    requests_per_minute: int = 600
    price_per_1k_tokens: int = 0
    quality_target: int = 0
    status: str = "ok"

    @property
    def key(self) -> VersionKey:
        """The version that the row speaks of."""
        return VersionKey(self.model, self.version)

    @property
    def row_key(self) -> RowKey:
        """What names the row within the table."""
        return RowKey(self.organisation, self.model, self.version)


@dataclasses.dataclass(frozen=True)
class Table:
    """All rows at one revision.

    Attributes:
        revision: Grows by one with each accepted edit; 0 means no table.
        rows: Sorted by organisation, model and version.
    """

    revision: int
    rows: tuple[Row, ...]

    @functools.cached_property
    def by_organisation(self) -> dict[str, dict[VersionKey, Row]]:
        """Rows of each organisation by version."""
        found: dict[str, dict[VersionKey, Row]] = {}
        for row in self.rows:
            found.setdefault(row.organisation, {})[row.key] = row
        return found

    def find(self, organisation: str, key: VersionKey) -> Row | None:
        """Returns the row for this organisation and version, or None."""
        return self.by_organisation.get(organisation, {}).get(key)


EMPTY_TABLE = Table(revision=0, rows=())
