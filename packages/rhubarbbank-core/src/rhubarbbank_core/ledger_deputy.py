"""Which deputy the log of one owned shard names."""

from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_leases


class DeputyNaming:
    """Follows the owner's choice with the segments that it writes.

    Attributes:
        settled: The deputy that the newest segment names for certain.
        sealed: The one that the segment on its way names.
    """

    def __init__(
        self,
        *,
        context: ledger_context.LedgerContext,
        shard: int,
        settled: ledger_leases.Deputy | None,
    ) -> None:
        self.context = context
        self.shard = shard
        self.settled = settled
        self.sealed: ledger_leases.Deputy | None = None

    def is_due(self) -> bool:
        """Returns whether another deputy is to be named."""
        return self.settled != self.next_for(0)

    def next_for(self, sequence: int) -> ledger_leases.Deputy | None:
        """Returns whom segment `sequence` is to name."""
        return self.context.name_deputy(
            shard=self.shard, sequence=sequence, known=self.settled
        )

    def seal(self, sequence: int) -> ledger_leases.Deputy | None:
        """Fixes and returns whom segment `sequence` names."""
        self.sealed = self.next_for(sequence)
        return self.sealed

    def commit(self) -> None:
        """Notes that the segment on its way is the newest one."""
        self.settled = self.sealed
