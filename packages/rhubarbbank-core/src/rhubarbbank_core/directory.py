"""What entries tell each other about all sidecars and entries.

An entry heartbeats with few others, yet must know which upstreams exist, what
they have loaded and which entries live. Rows that change seldom therefore
spread as rumours: whoever learns a newer row passes it to its peers once.
A digest of all rows rides on heartbeats; when two entries' digests differ for
longer than a rumour takes, one pulls the other's rows whole.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

from rhubarbbank_core import membership_messages

SidecarRow = membership_messages.SidecarRow
EntryRow = membership_messages.EntryRow
ROWS_PER_UPDATE = 50
RowType = TypeVar("RowType")


def rank_sidecar(row: SidecarRow) -> tuple[int, int]:
    """Returns what decides between two rows of one sidecar."""
    return row.incarnation, row.generation


def rank_entry(row: EntryRow) -> tuple[int, int, int]:
    """Returns what decides between two rows of one entry."""
    return row.incarnation, row.refutation, row.state


class Directory:
    """The newest known row of each sidecar and entry.

    Attributes:
        sidecars: Rows by sidecar name.
        entries: Rows by entry name.
        digest: Exclusive-or of the 64-bit hashes of all rows' ranks.
        dropped: The ranks of removed rows, so that a peer that still holds
            one does not bring it back.
    """

    def __init__(self) -> None:
        self.sidecars: dict[str, SidecarRow] = {}
        self.entries: dict[str, EntryRow] = {}
        self.digest = 0
        self.dropped: dict[str, tuple[int, ...]] = {}

    def hash_rank(self, name: str, rank: tuple[int, ...]) -> int:
        """Returns what one row adds to the digest."""
        return xxhash.xxh64_intdigest(f"{name}/{rank}".encode())

    def merge_sidecar(self, row: SidecarRow) -> bool:
        """Takes the row if it is newer; returns whether it was."""
        known = self.sidecars.get(row.name)
        rank = rank_sidecar(row)
        if rank <= self.dropped.get(row.name, ()):
            return False
        if known is not None:
            if rank <= rank_sidecar(known):
                return False
            self.digest ^= self.hash_rank(row.name, rank_sidecar(known))
        self.digest ^= self.hash_rank(row.name, rank)
        self.sidecars[row.name] = row
        return True

    def merge_entry(self, row: EntryRow) -> bool:
        """Takes the row if it is newer; returns whether it was."""
        known = self.entries.get(row.name)
        rank = rank_entry(row)
        if rank <= self.dropped.get(row.name, ()):
            return False
        if known is not None:
            if rank <= rank_entry(known):
                return False
            self.digest ^= self.hash_rank(row.name, rank_entry(known))
        self.digest ^= self.hash_rank(row.name, rank)
        self.entries[row.name] = row
        return True

    def merge(
        self, update: membership_messages.DirectoryUpdate
    ) -> tuple[tuple[SidecarRow, ...], tuple[EntryRow, ...]]:
        """Takes the newer rows of an update and returns those."""
        sidecars = tuple(r for r in update.sidecars if self.merge_sidecar(r))
        entries = tuple(r for r in update.entries if self.merge_entry(r))
        return sidecars, entries

    def incarnations(self) -> dict[str, int]:
        """Returns the incarnation of each known process."""
        known = {row.name: row.incarnation for row in self.entries.values()}
        for row in self.sidecars.values():
            known[row.name] = row.incarnation
        return known

    def drop(self, name: str) -> None:
        """Removes the rows of a host that is gone for good."""
        sidecar = self.sidecars.pop(name, None)
        if sidecar is not None:
            self.dropped[name] = rank_sidecar(sidecar)
            self.digest ^= self.hash_rank(name, rank_sidecar(sidecar))
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.dropped[name] = rank_entry(entry)
            self.digest ^= self.hash_rank(name, rank_entry(entry))

    def export(
        self, *, sender: str
    ) -> list[membership_messages.DirectoryUpdate]:
        """Returns all rows, in messages of bounded size."""
        updates = [
            membership_messages.DirectoryUpdate(name=sender, sidecars=rows)
            for rows in split(self.sidecars.values())
        ]
        updates += [
            membership_messages.DirectoryUpdate(name=sender, entries=rows)
            for rows in split(self.entries.values())
        ]
        return updates


def split(rows: Iterable[RowType]) -> list[tuple[RowType, ...]]:
    """Returns the rows in groups of `ROWS_PER_UPDATE`."""
    everything = tuple(rows)
    return [
        everything[start : start + ROWS_PER_UPDATE]
        for start in range(0, len(everything), ROWS_PER_UPDATE)
    ]
