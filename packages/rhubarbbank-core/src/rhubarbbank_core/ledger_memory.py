"""What the owner of a shard remembers of the committed log.

Recovery and normal commits feed segments through the same `apply`. Each kind
of record has a retention time and a bound in bytes, chosen so that one
checkpoint fits into one object of a megabyte:

- PIN: dropped after the session's idle time; beyond the bound the least
  recently used go first. Safe: entries compute the same pin again from the
  session and the table, and callers hold it as a token.
- CLAIM and OUTCOME: dropped after the retention time only. Beyond the bound
  new ones are refused, since dropping one could let a call run twice.
- BILL and EVIDENCE: only the digest of the key stays, for a time longer than
  any holder of a bill goes on handing it in. Beyond the bound new ones are
  refused. Evidence values live on in the sums.
- SUSPECT: like PIN. A dropped suspect that crashes again is found again.

With more shards each one sees fewer bills, and `plan_retention` gives the
room of their digests to claims and outcomes.
"""

import collections.abc
import dataclasses
import math

import xxhash

from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_records

DIGEST_BYTES = 12
RECORD_OVERHEAD_BYTES = 16
# A digest in a checkpoint: the frames of the pair and the bytes, and the age.
KEPT_DIGEST_BYTES = DIGEST_BYTES + 6
# The largest fleet that we design for, and what it may be over by.
TARGET_BILLS_PER_S = 3_100
BILLS_MARGIN = 1.15
# Below this a shard frees no more room, so that shards still add up to more
# bills than the target's.
LEAST_DIGESTS = 15_000
# Of the room that is freed; an outcome has an answer, a claim has none.
CLAIMS_SHARE = 1 / 3

Kind = ledger_records.RecordKind
DIGEST_KINDS = frozenset({Kind.BILL, Kind.EVIDENCE})
EVICTED_KINDS = frozenset({Kind.PIN, Kind.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retention:
    """Retention times in seconds and bounds of one shard.

    Attributes:
        pin_idle_s: A session's idle time.
        claim_s: How long claims and outcomes stay.
        digest_s: How long keys of bills and batches are recognised.
        suspect_s: How long an unused suspect stays.
        pin_bytes: Bound on pins.
        claim_bytes: Bound on claims.
        outcome_bytes: Bound on outcomes.
        suspect_bytes: Bound on suspects.
        digests: Bound on the number of digests.
        sum_bytes: Bound on the evidence sums.
    """

    pin_idle_s: float = 1800.0
    claim_s: float = 900.0
    digest_s: float = 540.0
    suspect_s: float = 3600.0
    pin_bytes: int = 150_000
    claim_bytes: int = 100_000
    outcome_bytes: int = 100_000
    suspect_bytes: int = 20_000
    digests: int = 30_000
    sum_bytes: int = 50_000

    def time_of(self, kind: Kind) -> float:
        """Returns the retention time of a kind in seconds."""
        if kind == Kind.PIN:
            return self.pin_idle_s
        if kind == Kind.SUSPECT:
            return self.suspect_s
        if kind in DIGEST_KINDS:
            return self.digest_s
        return self.claim_s

    def bytes_of(self, kind: Kind) -> int:
        """Returns the bound of a retained kind in bytes."""
        if kind == Kind.PIN:
            return self.pin_bytes
        if kind == Kind.SUSPECT:
            return self.suspect_bytes
        if kind == Kind.OUTCOME:
            return self.outcome_bytes
        return self.claim_bytes


DEFAULT_RETENTION = Retention()


def plan_retention(shards: int) -> Retention:
    """Returns the bounds of each of so many shards.

    A checkpoint of one object's size holds digests, claims and outcomes. The
    bills of the target fleet are spread over the shards, so that with many of
    them a shard needs fewer digests, and has room for more claims.
    """
    default = DEFAULT_RETENTION
    bills = TARGET_BILLS_PER_S * BILLS_MARGIN * default.digest_s / shards
    digests = min(default.digests, max(LEAST_DIGESTS, math.ceil(bills)))
    freed = (default.digests - digests) * KEPT_DIGEST_BYTES
    for_claims = round(freed * CLAIMS_SHARE)
    return dataclasses.replace(
        default,
        digests=digests,
        claim_bytes=default.claim_bytes + for_claims,
        outcome_bytes=default.outcome_bytes + freed - for_claims,
    )


@dataclasses.dataclass(slots=True)
class Kept:
    """A retained record and when it was last used, in the owner's time."""

    record: ledger_records.Record
    used_at: float


def digest_of(key: str) -> bytes:
    """Returns the digest under which a key is recognised."""
    return xxhash.xxh3_128_digest(key.encode())[:DIGEST_BYTES]


def size_of(record: ledger_records.Record) -> int:
    """Returns about how many bytes a record takes in an object."""
    return len(record.key) + len(record.value) + RECORD_OVERHEAD_BYTES


class ShardMemory:
    """The committed state of one shard.

    Attributes:
        sequence: The last segment applied.
        bills: Bills that no archive holds yet, with their segment.
        sums: Evidence sums by subject.
    """

    def __init__(
        self,
        *,
        retention: Retention,
        fold: ledger_records.EvidenceFold,
    ) -> None:
        self.retention = retention
        self.fold = fold
        self.sequence = 0
        self.kept: dict[Kind, dict[str, Kept]] = {
            kind: {} for kind in Kind if kind not in DIGEST_KINDS
        }
        self.kept_bytes: dict[Kind, int] = dict.fromkeys(self.kept, 0)
        self.digests: dict[bytes, float] = {}
        self.sums: dict[str, bytes] = {}
        self.sum_bytes = 0
        self.bills: list[tuple[int, ledger_records.Record]] = []

    def find(self, key: str, *, now: float) -> ledger_records.Record | None:
        """Returns the retained record of a key, and notes its use.

        For a key of which only the digest is kept, the record's value is
        empty and its kind BILL.
        """
        self.expire(now=now)
        for kind, records in self.kept.items():
            found = records.get(key)
            if found is None:
                continue
            if kind in EVICTED_KINDS:
                found.used_at = now
                records[key] = records.pop(key)
            return found.record
        if digest_of(key) in self.digests:
            return ledger_records.Record(key, Kind.BILL, b"")
        return None

    def has_room(
        self,
        record: ledger_records.Record,
        *,
        waiting: collections.abc.Mapping[Kind, int],
        waiting_bytes: collections.abc.Mapping[Kind, int],
    ) -> bool:
        """Whether a record fits, next to those that wait for commit.

        Args:
            record: The record.
            waiting: The number of waiting records by kind.
            waiting_bytes: Their size in bytes by kind.
        """
        kind = record.kind
        if kind in DIGEST_KINDS:
            is_evidence = kind == Kind.EVIDENCE
            if is_evidence and self.sum_bytes > self.retention.sum_bytes:
                return False
            count = sum(waiting.get(other, 0) for other in DIGEST_KINDS)
            return len(self.digests) + count < self.retention.digests
        if kind in EVICTED_KINDS:
            return True
        size = self.kept_bytes[kind] + waiting_bytes.get(kind, 0)
        return size + size_of(record) <= self.retention.bytes_of(kind)

    def apply(
        self,
        records: tuple[ledger_records.Record, ...],
        *,
        sequence: int,
        now: float,
    ) -> None:
        """Adds the records of the next committed segment."""
        self.sequence = sequence
        for record in records:
            if record.kind in DIGEST_KINDS:
                self.digests[digest_of(record.key)] = now
            else:
                self.keep(record, used_at=now)
            if record.kind == Kind.BILL:
                self.bills.append((sequence, record))
            if record.kind == Kind.EVIDENCE:
                self.add_evidence(record)
        self.expire(now=now)

    def add_evidence(self, record: ledger_records.Record) -> None:
        """Adds one batch to its sum."""
        subject = self.fold.subject(record)
        old = self.sums.get(subject, b"")
        new = self.fold.add(old, record)
        self.sums[subject] = new
        self.sum_bytes += len(new) - len(old)
        if not old:
            self.sum_bytes += len(subject)

    def keep(self, record: ledger_records.Record, *, used_at: float) -> None:
        """Retains one record as the most recently used of its kind."""
        records = self.kept[record.kind]
        records[record.key] = Kept(record, used_at)
        self.kept_bytes[record.kind] += size_of(record)

    def expire(self, *, now: float) -> None:
        """Drops what is past its retention time or its bound."""
        for kind, records in self.kept.items():
            oldest_use = now - self.retention.time_of(kind)
            is_evicted = kind in EVICTED_KINDS
            bound = self.retention.bytes_of(kind)
            while records:
                key, first = next(iter(records.items()))
                is_over = is_evicted and self.kept_bytes[kind] > bound
                if first.used_at >= oldest_use and not is_over:
                    break
                del records[key]
                self.kept_bytes[kind] -= size_of(first.record)
        oldest_digest = now - self.retention.digest_s
        while self.digests:
            digest, added_at = next(iter(self.digests.items()))
            if added_at >= oldest_digest:
                break
            del self.digests[digest]

    def snapshot(
        self, *, write_id: ledger_log.WriteId, now: float
    ) -> ledger_log.Checkpoint:
        """Returns a checkpoint of the state after the last segment."""
        self.expire(now=now)
        kept = tuple(
            ledger_log.KeptRecord(item.record, int(now - item.used_at))
            for records in self.kept.values()
            for item in records.values()
        )
        digests = tuple(
            ledger_log.KeptDigest(digest, int(now - added_at))
            for digest, added_at in self.digests.items()
        )
        return ledger_log.Checkpoint(
            write_id=write_id,
            sequence=self.sequence,
            kept=kept,
            digests=digests,
            sums=dict(self.sums),
        )

    def restore(self, checkpoint: ledger_log.Checkpoint, *, now: float) -> None:
        """Loads a checkpoint into an empty memory."""
        self.sequence = checkpoint.sequence
        for item in checkpoint.kept:
            self.keep(item.record, used_at=now - item.age_s)
        for digest in checkpoint.digests:
            self.digests[digest.digest] = now - digest.age_s
        for subject, total in checkpoint.sums.items():
            self.sums[subject] = total
            self.sum_bytes += len(subject) + len(total)

    def take_archived(self, *, last: int) -> None:
        """Forgets the bills of the segments up to `last`."""
        self.bills = [item for item in self.bills if item[0] > last]


def recover(
    memory: ShardMemory,
    *,
    segments: list[tuple[int, ledger_log.Segment]],
    checkpoint: ledger_log.Checkpoint | None,
    now: float,
) -> bool:
    """Rebuilds a memory from a listed log and a checkpoint read after it.

    Everything that the checkpoint does not cover stood in the list, since
    segments are deleted only after a checkpoint covers them.

    Returns:
        False if segments are missing; read again then.
    """
    if checkpoint is not None:
        memory.restore(checkpoint, now=now)
    for sequence, segment in segments:
        if sequence <= memory.sequence:
            continue
        if sequence != memory.sequence + 1:
            return False
        memory.apply(segment.records, sequence=sequence, now=now)
    return True
