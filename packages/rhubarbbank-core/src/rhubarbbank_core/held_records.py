"""Ledger records that a sidecar keeps until they are durable.

The entry that served a request makes its billing record durable, and its
session's pin. While it can't, as in an outage, the sidecar keeps a copy. If
the entry dies first, the sidecar hands the record to another entry; the
ledger drops repeats by key, so handing in twice is harmless.
"""

import collections
import dataclasses

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_records
from rhubarbbank_core import path_messages


@dataclasses.dataclass(slots=True)
class HeldRecord:
    """One record and when it is next handed in, in seconds."""

    key: str
    kind: ledger_records.RecordKind
    value: bytes
    hand_in_at: float


class HeldRecords:
    """The records that one sidecar keeps, bounded in number.

    At the bound a new record is not taken; the entry then waits for the
    ledger alone before it ends the answer.

    Attributes:
        records: By key, oldest first.
    """

    def __init__(self) -> None:
        self.records: collections.OrderedDict[str, HeldRecord] = (
            collections.OrderedDict()
        )

    def hold(
        self, message: path_messages.HoldRecord, *, now: float
    ) -> list[effects.Send]:
        """Keeps the record and says so, unless the bound is reached."""
        if len(self.records) >= defaults.MAX_HELD_RECORDS:
            return []
        self.records[message.key] = HeldRecord(
            message.key,
            message.kind,
            message.value,
            now + defaults.BILL_HAND_IN_S,
        )
        held = path_messages.RecordHeld(message.request_id, message.key)
        return [effects.Send(message.reply_to, held)]

    def release(self, key: str) -> None:
        """Forgets a record that is durable."""
        self.records.pop(key, None)

    def hand_in(
        self, *, now: float, entries: list[str], reply_to: str
    ) -> list[effects.Send]:
        """Sends each record that is due to one of the entries.

        Args:
            now: The time, in seconds.
            entries: Peer addresses of live entries.
            reply_to: Peer address of this sidecar.
        """
        if not entries:
            return []
        sends: list[effects.Send] = []
        for number, held in enumerate(self.records.values()):
            if held.hand_in_at > now:
                continue
            held.hand_in_at = now + defaults.BILL_HAND_IN_S
            # Each try goes to another entry, in case one doesn't answer.
            turn = int(now / defaults.BILL_HAND_IN_S) + number
            message = path_messages.HandInRecord(
                held.key, held.kind, held.value, reply_to
            )
            sends.append(effects.Send(entries[turn % len(entries)], message))
        return sends
