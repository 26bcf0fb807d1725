"""Reads revision and digest out of the stored table, for its propagation."""

from rhubarbbank_core import table_codec
from rhubarbbank_core import table_sync_events


def read_version(raw: bytes) -> table_sync_events.VersionedTable:
    """Returns what a stored table says of itself.

    Raises:
        errors.RhubarbbankError: The bytes are no table.
    """
    stored = table_codec.decode_table(raw)
    return table_sync_events.VersionedTable(
        revision=stored.table.revision,
        digest=table_codec.compute_digest(stored.table),
    )
