"""What the table's synchronisation reports, and the codec it relies on."""

import dataclasses
from typing import Protocol

from rhubarbbank_core import effects


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedTable:
    """What a stored table says of itself.

    Attributes:
        revision: At least 1.
        digest: 64 bits over the content.
    """

    revision: int
    digest: int


class TableDecoder(Protocol):
    """Reads revision and digest out of a stored table."""

    def __call__(self, raw: bytes) -> VersionedTable:
        """Returns what the bytes say of themselves.

        Raises:
            errors.RhubarbbankError: The bytes are no table.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class TableAdopted:
    """A newer table is in force in this process.

    Attributes:
        revision: Its revision.
        digest: Its digest.
        raw: The whole table in its stored form.
    """

    revision: int
    digest: int
    raw: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TableFault:
    """Two tables contradict each other, or one can't be read.

    Attributes:
        source: Where the other table came from, a process or the store.
        detail: What is wrong.
    """

    source: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConfirmed:
    """The store's table had this revision at this time.

    Attributes:
        revision: The revision read; 0 if there was no table.
        at: When the read was sent, in seconds.
    """

    revision: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read sent at this time failed."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The store answered without telling the table, as when it throttles."""

    at: float


CoordinationEffect = effects.CoordinationEffect
SyncEvent = (
    TableAdopted | TableFault | StoreConfirmed | StoreFailed | StoreAnswered
)


@dataclasses.dataclass(slots=True)
class SyncStep:
    """What one step yields.

    Attributes:
        effects: What to send and which store calls to make.
        events: What others have to know.
    """

    effects: list[CoordinationEffect] = dataclasses.field(default_factory=list)
    events: list[SyncEvent] = dataclasses.field(default_factory=list)
