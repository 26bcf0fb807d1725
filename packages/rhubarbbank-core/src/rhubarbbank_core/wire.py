"""Codec of the messages between the system's own processes.

A frame is one msgpack array of messages. Batching spreads the cost of a frame
over the answer chunks that are ready at the same time.
"""

import msgspec

from rhubarbbank_core import allowances
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import membership_messages
from rhubarbbank_core import order_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import suspect_messages
from rhubarbbank_core import table_sync_messages

AnyMessage = (
    path_messages.Submit
    | path_messages.Accepted
    | path_messages.Chunk
    | path_messages.Done
    | path_messages.Failed
    | path_messages.Cancel
    | path_messages.Resend
    | path_messages.AttemptUnknown
    | path_messages.Finish
    | path_messages.HoldRecord
    | path_messages.RecordHeld
    | path_messages.HandInRecord
    | path_messages.ReleaseRecord
    | membership_messages.Hello
    | membership_messages.SidecarHeartbeat
    | membership_messages.EntryHeartbeat
    | membership_messages.DirectoryUpdate
    | membership_messages.DirectoryPull
    | table_sync_messages.TableNews
    | table_sync_messages.TablePull
    | table_sync_messages.TablePush
    | ledger_messages.LedgerPut
    | ledger_messages.LedgerReply
    | ledger_messages.LedgerNotOwner
    | ledger_messages.LedgerGet
    | ledger_messages.LedgerValues
    | allowances.SliceRequest
    | allowances.SliceGrant
    | allowances.SliceApplied
    | allowances.SliceRefusal
    | deputy_messages.DeputyNote
    | deputy_messages.DeputyAck
    | deputy_messages.DeputyPull
    | deputy_messages.DeputyBounds
    | evidence_messages.EvidenceReport
    | evidence_messages.HoldNotice
    | suspect_messages.SuspectNotice
    | suspect_messages.SuspectPull
    | order_messages.FenceAnnounce
    | order_messages.RolloutOrder
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(list[AnyMessage])


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the platform's host list; see `membership`."""

    name: str
    role: str
    data_centre: str
    region: str
    peer_address: str
    http_address: str = ""
    upstream: str = ""
    kind: str = ""
    state: str = "live"


def encode_frame(messages: list[AnyMessage]) -> bytes:
    """Encodes messages as one frame."""
    return ENCODER.encode(messages)


def decode_frame(frame: bytes) -> list[AnyMessage]:
    """Decodes the messages of a frame.

    Raises:
        msgspec.MsgspecError: The frame is not valid.
    """
    return DECODER.decode(frame)
