"""Records of the ledger: the durable keyed state that processes share.

A record is put if its key is absent: the first value wins, and each later put
of the key is told that value. This module holds the values alone; they travel
in `ledger_messages` and are kept in `ledger_log` segments.
"""

import enum
import typing

import msgspec
import xxhash


class RecordKind(enum.StrEnum):
    """What a record is for; each kind has its own retention."""

    PIN = "p"
    CLAIM = "c"
    OUTCOME = "o"
    BILL = "b"
    EVIDENCE = "e"
    SUSPECT = "s"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One keyed value.

    Attributes:
        key: Unique over all kinds; by custom it starts with the kind's name
            and a slash.
        kind: What it is for.
        value: Opaque to the ledger, up to `MAX_VALUE_BYTES`.
    """

    key: str
    kind: RecordKind
    value: bytes


class PutStatus(enum.StrEnum):
    """How the put of one record stands.

    STORED: this value is the key's. EXISTING: the key had a value already,
    which the status carries (empty for a BILL or EVIDENCE key of which only
    the digest is kept). UNAVAILABLE: not kept; the store is down or a bound
    was reached. UNKNOWN: not confirmed; it may or may not be kept.
    """

    STORED = "s"
    EXISTING = "e"
    UNAVAILABLE = "u"
    UNKNOWN = "k"


class RecordStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of one put record.

    Attributes:
        key: The record's key.
        status: How it stands.
        value: The value that the key has now; empty if it has none.
    """

    key: str
    status: PutStatus
    value: bytes


MAX_VALUE_BYTES = 16_384


class EvidenceFold(typing.Protocol):
    """Sums evidence batches, which are not retained one by one."""

    def subject(self, record: Record) -> str:
        """Returns the name of the sum that the batch adds to."""

    def add(self, total: bytes, record: Record) -> bytes:
        """Returns the sum with the batch added; `total` is empty at first."""


class DiscardEvidence:
    """An `EvidenceFold` for programs without evidence: it keeps nothing."""

    def subject(self, record: Record) -> str:
        """Returns one name for all batches."""
        del record
        return ""

    def add(self, total: bytes, record: Record) -> bytes:
        """Returns the sum unchanged."""
        del record
        return total


def shard_of(key: str, shards: int) -> int:
    """Returns the shard of a key, from 0 to `shards` - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % shards


def shard_subject(shard: int) -> str:
    """Returns the name under which entries are ranked for a shard."""
    return f"ledger/{shard}"
