"""Response bodies of an entry's HTTP endpoints for operators."""

import msgspec

from rhubarbbank_core import program_effects as fx


class StatusReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response body of `/status`.

    Attributes:
        name: Name of the entry.
        table_revision: Table revision in force at this entry.
        sidecars: Table revision in force at each known sidecar, by name.
        open_requests: Number of requests that are not answered yet.
        unsettled_records: Number of billing records that are not
            durable yet.
        shards: Number of ledger shards that this entry owns.
        freshness: `fresh`; `outage`: new work is accepted because the store is
            down for everyone; `unconfirmed`: new work is accepted because of
            `serve_unconfirmed`, without the guarantee that table edits are in
            force within seconds; `stale`: new work is refused.
        stopping: Whether the entry is stopping and refuses new requests.
    """

    name: str
    table_revision: int
    sidecars: dict[str, int]
    open_requests: int
    unsettled_records: int
    shards: int
    freshness: str
    stopping: bool


class Explanation(msgspec.Struct, frozen=True):
    """Response body of `/explain`.

    Attributes:
        request_id: ID of the request.
        decisions: Decisions on the request, oldest first.
    """

    request_id: str
    decisions: list[fx.LogDecision]
