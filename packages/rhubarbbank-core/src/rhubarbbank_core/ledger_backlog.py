"""The records of one shard that wait for their commit.

They wait in `pending` until a flush seals them into the next segment; a
sealed segment keeps its records and bytes until it is committed.
"""

import collections
import collections.abc

from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_records


class Backlog:
    """Accepted records that are not committed.

    Attributes:
        pending: Records for later segments, by key.
        sealed: Records of the segment that is on its way, by key.
        sealed_value: The bytes of that segment; empty when none is on its
            way.
        size_bytes: The size of all records.
        counts: The number of records of each kind.
        kind_bytes: Their size by kind.
    """

    def __init__(self) -> None:
        self.pending: dict[str, ledger_records.Record] = {}
        self.sealed: dict[str, ledger_records.Record] = {}
        self.sealed_value = b""
        self.size_bytes = 0
        self.counts: collections.Counter[ledger_records.RecordKind] = (
            collections.Counter()
        )
        self.kind_bytes: collections.Counter[ledger_records.RecordKind] = (
            collections.Counter()
        )

    def is_empty(self) -> bool:
        """Whether nothing waits."""
        return not self.pending and not self.sealed

    def find(self, key: str) -> ledger_records.Record | None:
        """Returns the record that waits under a key."""
        return self.sealed.get(key) or self.pending.get(key)

    def add(self, record: ledger_records.Record) -> None:
        """Lets a record with a new key wait."""
        self.pending[record.key] = record
        self.count(record, 1)

    def count(self, record: ledger_records.Record, sign: int) -> None:
        """Adds a record to the sizes, or takes it off."""
        size = sign * ledger_memory.size_of(record)
        self.size_bytes += size
        self.kind_bytes[record.kind] += size
        self.counts[record.kind] += sign

    def keep_only(self, wanted: collections.abc.Set[str]) -> None:
        """Drops the pending records whose keys nobody waits for."""
        for key in [key for key in self.pending if key not in wanted]:
            self.count(self.pending.pop(key), -1)

    def seal(self, *, max_bytes: int) -> tuple[ledger_records.Record, ...]:
        """Moves the oldest pending records to the next segment."""
        size = 0
        for record in self.pending.values():
            size += ledger_memory.size_of(record)
            if self.sealed and size > max_bytes:
                break
            self.sealed[record.key] = record
        for key in self.sealed:
            del self.pending[key]
        return tuple(self.sealed.values())

    def commit(self) -> dict[str, ledger_records.Record]:
        """Takes the sealed records off and returns them."""
        committed = self.sealed
        self.sealed = {}
        for record in committed.values():
            self.count(record, -1)
        return committed
