"""Messages between ledger clients and shard owners.

Any of them may be lost, late, repeated or reordered: puts are idempotent by
key, and a client matches replies by put id.
"""

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_records


class LedgerPut(effects.Message, frozen=True, array_like=True, tag="lp"):
    """Asks a shard's owner to put records, each if its key is absent.

    Attributes:
        put_id: Unique within the client.
        reply_to: The client's peer address.
        shard: The shard of all the records.
        records: At least one record.
        wait_durable: Answer only once the records are in the store.
        resend: An earlier owner accepted the records without durability.
    """

    put_id: int
    reply_to: str
    shard: int
    records: tuple[ledger_records.Record, ...]
    wait_durable: bool
    resend: bool = False


class LedgerReply(effects.Message, frozen=True, array_like=True, tag="lr"):
    """Answers a put; one with durable=False is followed by another.

    Attributes:
        put_id: The put that this answers.
        shard: Its shard.
        statuses: One for each record, in the put's order.
        durable: The statuses rest on what the store holds.
        owner: The owner's peer address.
        fence: The owner's fencing number for the shard.
    """

    put_id: int
    shard: int
    statuses: tuple[ledger_records.RecordStatus, ...]
    durable: bool
    owner: str
    fence: int


class LedgerNotOwner(effects.Message, frozen=True, array_like=True, tag="ln"):
    """Says that the receiver of a put or get does not own the shard.

    Attributes:
        put_id: The put or get id that this answers.
        shard: The shard.
        sender: The peer address of who says so.
        hint: The peer address of a likely owner; empty if unknown.
    """

    put_id: int
    shard: int
    sender: str
    hint: str


class LedgerGet(effects.Message, frozen=True, array_like=True, tag="lg"):
    """Asks a shard's owner for the values of keys.

    Attributes:
        get_id: Unique within the client, over puts and gets.
        reply_to: The client's peer address.
        shard: The shard of all the keys.
        keys: The keys wanted.
    """

    get_id: int
    reply_to: str
    shard: int
    keys: tuple[str, ...]


class LedgerValues(effects.Message, frozen=True, array_like=True, tag="lv"):
    """Answers a get with those records that the shard holds durably.

    Attributes:
        get_id: The get that this answers.
        shard: Its shard.
        records: The records found; evidence is not among them.
        owner: The owner's peer address.
        fence: The owner's fencing number for the shard.
    """

    get_id: int
    shard: int
    records: tuple[ledger_records.Record, ...]
    owner: str
    fence: int
