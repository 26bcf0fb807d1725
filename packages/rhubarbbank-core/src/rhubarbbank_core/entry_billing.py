"""Last pass: one billing record for each answered request.

The answer ends only when its record is durable, or, if that takes long, when
a second host keeps a copy of it: the sidecar that answered, or the owner of
the ledger's shard while the store is down for everyone. The sidecar hands its
copy in by itself if this entry dies; the ledger drops repeats by key.
"""

import msgspec

from rhubarbbank_core import claim_records
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_end
from rhubarbbank_core import entry_state
from rhubarbbank_core import entry_suspects
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests

TOKENS_PER_PRICE_UNIT = 1000


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """One billing record.

    Attributes:
        request_id: The request.
        organisation: Who pays.
        model: What served it last.
        version: What served it last.
        request_class: Of the request.
        prompt_tokens: Summed over its attempts.
        completion_tokens: Summed over its attempts.
        cost: In millicents.
    """

    request_id: str
    organisation: str
    model: str
    version: str
    request_class: str
    prompt_tokens: int
    completion_tokens: int
    cost: int


def price(opened: open_requests.OpenRequest, done: path_messages.Done) -> int:
    """Returns what one answered attempt costs, in millicents."""
    unit = opened.row.price_per_1k_tokens
    if opened.request.kind is requests.WorkKind.SERVICE:
        return unit
    tokens = done.prompt_tokens + done.completion_tokens
    return -(-tokens * unit // TOKENS_PER_PRICE_UNIT)


def build_record(
    opened: open_requests.OpenRequest,
) -> ledger_records.Record:
    """Returns the billing record; a caller's key makes repeats count once.

    The fingerprint tells apart requests that share a key but ask for
    different things, since each of them is answered.
    """
    request = opened.request
    name = request.idempotency_key or request.request_id
    bill_value = Bill(
        request_id=request.request_id,
        organisation=request.organisation,
        model=opened.row.model,
        version=opened.row.version,
        request_class=request.request_class,
        prompt_tokens=opened.prompt_tokens,
        completion_tokens=opened.completion_tokens,
        cost=opened.cost,
    )
    return ledger_records.Record(
        f"bill/{request.organisation}/{name}/{request.fingerprint:016x}",
        ledger_records.RecordKind.BILL,
        msgspec.json.encode(bill_value),
    )


def bill(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Makes the billing record of a request whose answer is whole."""
    opened.phase = open_requests.Phase.BILLING
    opened.hold_at = now + defaults.BILL_HOLD_AFTER_S
    record = build_record(opened)
    opened.bill_key = record.key
    opened.bill_value = record.value
    state.unsettled[record.key] = entry_state.UnsettledRecord(record.value, "")
    return [
        *entry_suspects.note_end(state, opened),
        *claim_records.record_outcome(
            state, opened, now=now, run_state=errors.RunState.RAN
        ),
        *entry_state.put_record(
            state,
            opened,
            now=now,
            purpose=entry_state.PutPurpose.BILL,
            record=record,
        ),
    ]


def take_settled(
    state: entry_state.EntryState,
    pending: entry_state.PendingPut,
    *,
    now: float,
    durable: bool,
) -> list[fx.Effect]:
    """Takes the ledger's answer to a billing record."""
    out = release(state, pending.record.key) if durable else []
    opened = state.open.get(pending.request_id)
    if opened is None or opened.phase is not open_requests.Phase.BILLING:
        return out
    if durable:
        return out + finish(state, opened, now=now)
    opened.hold_at = now
    return out + watch(state, opened, now=now)


def release(state: entry_state.EntryState, key: str) -> list[fx.Effect]:
    """Lets the sidecar that keeps a copy forget a record that is durable."""
    unsettled = state.unsettled.pop(key, None)
    if unsettled is None or not unsettled.holder:
        return []
    message = path_messages.ReleaseRecord(key)
    return [effects.Send(unsettled.holder, message)]


def take_failed(
    state: entry_state.EntryState,
    pending: entry_state.PendingPut,
    *,
    now: float,
) -> list[fx.Effect]:
    """Puts a billing record again; its key makes that harmless."""
    if pending.record.key not in state.unsettled:
        return []
    put_id, step = state.control.put(
        now=now, record=pending.record, wait_durable=False, is_resend=True
    )
    state.puts[put_id] = pending
    state.control.late_events += step.events
    return [*step.effects]


def watch(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Asks the sidecar to keep a copy when durability takes long."""
    if now < opened.hold_at or not opened.last_address:
        return []
    opened.hold_at = now + defaults.BILL_HOLD_RESEND_S
    hold = path_messages.HoldRecord(
        opened.bill_key,
        ledger_records.RecordKind.BILL,
        opened.bill_value,
        opened.request.request_id,
        state.identity.peer_address,
    )
    return [effects.Send(opened.last_address, hold)]


def take_held(
    state: entry_state.EntryState,
    message: path_messages.RecordHeld,
    *,
    now: float,
) -> list[fx.Effect]:
    """Ends the answer, since two hosts have the record now."""
    opened = state.open.get(message.request_id)
    if opened is None or opened.phase is not open_requests.Phase.BILLING:
        return []
    if message.key != opened.bill_key:
        return []
    if opened.bill_key in state.unsettled:
        state.unsettled[opened.bill_key] = entry_state.UnsettledRecord(
            opened.bill_value, opened.last_address
        )
    return finish(state, opened, now=now)


def hand_in(
    state: entry_state.EntryState,
    message: path_messages.HandInRecord,
    *,
    now: float,
) -> list[fx.Effect]:
    """Makes a record durable that a sidecar kept for a lost entry."""
    if message.key in state.unsettled:
        return []
    if len(state.unsettled) >= defaults.MAX_UNSETTLED_RECORDS:
        return []
    state.unsettled[message.key] = entry_state.UnsettledRecord(
        message.value, message.reply_to
    )
    record = ledger_records.Record(message.key, message.kind, message.value)
    pending = entry_state.PendingPut(entry_state.PutPurpose.BILL, "", record)
    return take_failed(state, pending, now=now)


def finish(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Ends the answer and forgets the request."""
    line = entry_state.log_decision(
        state, opened, decision="answered", reason=f"cost {opened.cost}"
    )
    del state.open[opened.request.request_id]
    state.retries.record_success()
    return [
        *entry_end.end_answer(opened, now=now),
        line,
        fx.Count("entry.answered"),
        fx.Timing("entry.answer_ms", (now - opened.arrived) * 1000),
    ]
