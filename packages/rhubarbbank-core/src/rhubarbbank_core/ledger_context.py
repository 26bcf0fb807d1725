"""What the parts of one ledger owner share: names, timing, new writes."""

import dataclasses
import random

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_records
from rhubarbbank_core import store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerTiming:
    """Times in seconds and bounds of an owner.

    Clocks: only differences of one process's own monotonic clock are used.
    They must run alike within `segment_keep_s` / `confirm_after_s`, that is
    by a factor of two at the defaults.

    Attributes:
        confirm_after_s: An owner that has not heard for so long that its
            segment is the newest reads the log before it writes.
        renew_after_s: An idle owner confirms its ownership this long after
            the last time, for those who grant leases on the strength of it.
        segment_keep_s: How long a segment stays after a checkpoint covers
            it. An answer to a write counts as a commit only if it comes
            within this time of the last confirmation.
        grace_s: How long after a take-over unknown pins and claims wait for
            clients to hand in again what the former owner had accepted.
        handover_wait_s: Time between two looks whether a live owner has
            released the shard.
        handover_waits: Looks after which it is taken without a release.
        backoff_s: Mean wait after a failed store call; it doubles.
        max_backoff_s: Mean wait that the doubling stops at.
        checkpoint_segments: Segments after which a checkpoint is due.
        checkpoint_bytes: Bytes of segments after which one is due.
        segment_bytes: Bound on the records of one segment.
        pending_bytes: Bound on the records of a shard that wait for commit.
        waiters: Bound on the puts of a shard that wait for commit.
    """

    confirm_after_s: float = 60.0
    renew_after_s: float = 2.0
    segment_keep_s: float = 120.0
    grace_s: float = 3.0
    handover_wait_s: float = 0.5
    handover_waits: int = 3
    backoff_s: float = 0.1
    max_backoff_s: float = 5.0
    checkpoint_segments: int = 64
    checkpoint_bytes: int = 262_144
    segment_bytes: int = 524_288
    pending_bytes: int = 8_388_608
    waiters: int = 65_536


class LedgerContext:
    """Shared by all shards of one owner.

    Attributes:
        name: The owner's peer address.
        incarnation: Unique to this run of the process.
        leases: Knows the slices that this process leased.
        deputies: Knows who should be named as deputy.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: str,
        call_ids: effects.CallIds,
        rng: random.Random,
        timing: LedgerTiming,
        retention: ledger_memory.Retention,
        fold: ledger_records.EvidenceFold,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.call_ids = call_ids
        self.rng = rng
        self.timing = timing
        self.retention = retention
        self.fold = fold
        self.leases: ledger_leases.LeaseSource = ledger_leases.NoLeases()
        self.deputies: ledger_leases.DeputySource = ledger_leases.NoDeputies()
        self.writes = 0

    def new_write_id(self) -> ledger_log.WriteId:
        """Returns a write id that no other write has."""
        self.writes += 1
        return ledger_log.WriteId(self.incarnation, self.writes)

    def new_memory(self) -> ledger_memory.ShardMemory:
        """Returns an empty memory for a shard."""
        return ledger_memory.ShardMemory(
            retention=self.retention, fold=self.fold
        )

    def new_segment(
        self,
        *,
        fence: int,
        records: tuple[ledger_records.Record, ...] = (),
        released: bool = False,
        leases: ledger_leases.LeaseReport | None = None,
        deputy: ledger_leases.Deputy | None = None,
    ) -> ledger_log.Segment:
        """Returns a segment with a new write id."""
        return ledger_log.Segment(
            write_id=self.new_write_id(),
            owner=self.name,
            fence=fence,
            records=records,
            released=released,
            leases=leases,
            deputy=deputy,
        )

    def name_deputy(
        self,
        *,
        shard: int,
        sequence: int,
        known: ledger_leases.Deputy | None = None,
    ) -> ledger_leases.Deputy | None:
        """Returns the deputy that segment `sequence` names."""
        chosen = self.deputies.choose(shard=shard)
        if chosen is None:
            return None
        address, incarnation = chosen
        if known is not None and (known.address, known.incarnation) == chosen:
            return known
        return ledger_leases.Deputy(address, incarnation, sequence)

    def new_call(
        self,
        operation: store.StoreOperation,
        key: str,
        *,
        value: bytes = b"",
        expected_version: int = store.ABSENT_VERSION,
    ) -> store.StoreCall:
        """Returns a store call with a new id."""
        return store.StoreCall(
            call_id=self.call_ids.allocate(),
            operation=operation,
            key=key,
            value=value,
            expected_version=expected_version,
        )

    def draw_backoff(self, doublings: int) -> float:
        """Returns a wait of 0.5 to 1.5 times the doubled mean."""
        mean_s = min(
            self.timing.max_backoff_s,
            self.timing.backoff_s * 2.0 ** min(doublings, 16),
        )
        return mean_s * self.rng.uniform(0.5, 1.5)
