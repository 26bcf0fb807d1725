"""How a shard of the ledger lies in the object API, and how it is read.

A shard is a log of create-only segments `ledger/<shard>/log/<sequence>`.
Creating segment n + 1 if it is absent commits its records and fences off
every other writer in one call. A checkpoint object now and then repeats the
state up to a segment, after which older segments are deleted. Bills leave the
log only into create-only archives `ledger/<shard>/bills/<first sequence>`,
which tile the sequence numbers without overlap: the name is the first segment
covered, so that two owners who archive from the same point cannot both do so.
"""

import collections.abc

import msgspec

from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_records
from rhubarbbank_core import store

LEDGER_PREFIX = "ledger/"


class WriteId(msgspec.Struct, frozen=True, array_like=True):
    """Tells one write from all others.

    Attributes:
        incarnation: Unique to one run of one process.
        sequence: Counts the writes of that run.
    """

    incarnation: str
    sequence: int


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """One commit. A take-over is a segment with its own sequence as fence.

    Attributes:
        write_id: Makes the bytes unique.
        owner: The peer address of the writer.
        fence: The sequence of the writer's take-over segment.
        records: What it commits, no key twice.
        released: The writer gave the shard up with nothing left to commit.
        leases: The slices that it had leased when it released the shard.
        deputy: Who else knows what it has leased.
    """

    write_id: WriteId
    owner: str
    fence: int
    records: tuple[ledger_records.Record, ...]
    released: bool = False
    leases: ledger_leases.LeaseReport | None = None
    deputy: ledger_leases.Deputy | None = None


class KeptRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record in a checkpoint, with the seconds since its last use."""

    record: ledger_records.Record
    age_s: int


class KeptDigest(msgspec.Struct, frozen=True, array_like=True):
    """The digest of a bill's or batch's key, with its age in seconds."""

    digest: bytes
    age_s: int


class Checkpoint(msgspec.Struct, frozen=True, array_like=True):
    """The state of a shard after a segment.

    Attributes:
        write_id: Makes the bytes unique.
        sequence: The last segment that it covers; the bills of all segments
            up to it are archived.
        kept: Records that are still retained, least recently used first.
        digests: Keys of bills and evidence batches, oldest first.
        sums: Evidence, summed by subject.
    """

    write_id: WriteId
    sequence: int
    kept: tuple[KeptRecord, ...]
    digests: tuple[KeptDigest, ...]
    sums: dict[str, bytes]


class BillArchive(msgspec.Struct, frozen=True, array_like=True):
    """The bills of the segments from `first` to `last`, both included."""

    write_id: WriteId
    first: int
    last: int
    bills: tuple[ledger_records.Record, ...]


encode = msgspec.msgpack.encode
SEGMENT_DECODER = msgspec.msgpack.Decoder(Segment)
CHECKPOINT_DECODER = msgspec.msgpack.Decoder(Checkpoint)
ARCHIVE_DECODER = msgspec.msgpack.Decoder(BillArchive)


def log_prefix(shard: int) -> str:
    """Returns the prefix of a shard's segments."""
    return f"{LEDGER_PREFIX}{shard}/log/"


def segment_key(shard: int, sequence: int) -> str:
    """Returns the key of one segment."""
    return f"{log_prefix(shard)}{sequence:012d}"


def checkpoint_key(shard: int) -> str:
    """Returns the key of a shard's checkpoint."""
    return f"{LEDGER_PREFIX}{shard}/checkpoint"


def archive_key(shard: int, first: int) -> str:
    """Returns the key of the archive that starts at segment `first`."""
    return f"{LEDGER_PREFIX}{shard}/bills/{first:012d}"


def sequence_of(key: str) -> int:
    """Returns the sequence number at the end of a key."""
    return int(key.rpartition("/")[2])


def owner_in(objects: collections.abc.Sequence[store.StoredObject]) -> str:
    """Returns who wrote the first segment, if one was read."""
    return SEGMENT_DECODER.decode(objects[0].value).owner if objects else ""


def bills_of(
    records: collections.abc.Iterable[ledger_records.Record],
) -> list[ledger_records.Record]:
    """Returns the bills among the records."""
    return [
        record
        for record in records
        if record.kind == ledger_records.RecordKind.BILL
    ]


def read_bills(
    objects: collections.abc.Iterable[store.StoredObject],
) -> list[ledger_records.Record]:
    """Returns every bill in a LIST of `ledger/`, shard by shard.

    Segments that an archive or a checkpoint covers are passed over: they are
    waiting for deletion, or were written by a fenced-off owner after it.
    """
    by_shard: dict[int, list[store.StoredObject]] = {}
    for item in objects:
        if item.key.startswith(LEDGER_PREFIX):
            shard = int(item.key.split("/")[1])
            by_shard.setdefault(shard, []).append(item)
    bills: list[ledger_records.Record] = []
    for shard in sorted(by_shard):
        bills.extend(read_shard_bills(by_shard[shard]))
    return bills


def read_shard_bills(
    objects: list[store.StoredObject],
) -> list[ledger_records.Record]:
    """Returns the bills of one shard, in the order of their commits."""
    bills: list[ledger_records.Record] = []
    covered = 0
    for item in sorted(objects, key=lambda item: item.key):
        if "/bills/" in item.key:
            archive = ARCHIVE_DECODER.decode(item.value)
            bills.extend(archive.bills)
            covered = max(covered, archive.last)
        elif item.key.endswith("/checkpoint"):
            checkpoint = CHECKPOINT_DECODER.decode(item.value)
            covered = max(covered, checkpoint.sequence)
        elif sequence_of(item.key) > covered:
            segment = SEGMENT_DECODER.decode(item.value)
            bills.extend(bills_of(segment.records))
    return bills
