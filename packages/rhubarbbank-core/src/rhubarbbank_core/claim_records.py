"""Ledger records of calls that may not be repeated: claims and outcomes."""

import msgspec

from rhubarbbank_core import defaults
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx


class Claim(msgspec.Struct, frozen=True):
    """Who may run a call, and what the call was."""

    request_id: str
    fingerprint: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a claimed call ended.

    Attributes:
        run_state: Whether it ran.
        fingerprint: Of the call.
        status: The service's HTTP status, or 0.
        content_type: Of the answer.
        body: The answer; empty when it was too long to keep.
        kept: Whether the answer was kept.
    """

    run_state: errors.RunState
    fingerprint: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


def build_key(opened: open_requests.OpenRequest, kind: str) -> str:
    """Returns the ledger key of the claim or the outcome of this round."""
    request = opened.request
    name = f"{request.organisation}/{request.model}/{request.idempotency_key}"
    return f"{kind}/{name}/{opened.claim_round}"


def record_outcome(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    run_state: errors.RunState,
) -> list[fx.Effect]:
    """Records how a claimed call ended; nothing for other requests.

    A request that never learnt whose the claim is may not speak for it: the
    call may be running for another one.
    """
    if not opened.claimed or run_state is errors.RunState.UNKNOWN:
        return []
    body = b"".join(opened.answer)
    kept = len(body) <= defaults.MAX_OUTCOME_BYTES
    outcome = Outcome(
        run_state=run_state,
        fingerprint=opened.request.fingerprint,
        status=opened.service_status,
        content_type=opened.content_type,
        body=body if kept else b"",
        kept=kept,
    )
    record = ledger_records.Record(
        build_key(opened, "outcome"),
        ledger_records.RecordKind.OUTCOME,
        msgspec.msgpack.encode(outcome),
    )
    return entry_state.put_record(
        state,
        opened,
        now=now,
        purpose=entry_state.PutPurpose.OUTCOME,
        record=record,
    )


def free_claim(
    state: entry_state.EntryState,
    pending: entry_state.PendingPut,
    status: ledger_records.RecordStatus,
    *,
    now: float,
) -> list[fx.Effect]:
    """Records that a claimed call did not run, since its request was given up.

    Without it the key would stay claimed for good, although its caller was
    told that nothing ran.
    """
    claim = msgspec.msgpack.decode(pending.record.value, type=Claim)
    stored = status.status is ledger_records.PutStatus.STORED
    if not stored and status.value != pending.record.value:
        return []
    outcome = Outcome(
        run_state=errors.RunState.NOT_RUN, fingerprint=claim.fingerprint
    )
    record = ledger_records.Record(
        "outcome" + pending.record.key.removeprefix("claim"),
        ledger_records.RecordKind.OUTCOME,
        msgspec.msgpack.encode(outcome),
    )
    put_id, step = state.control.put(now=now, record=record, wait_durable=False)
    state.puts[put_id] = entry_state.PendingPut(
        entry_state.PutPurpose.OUTCOME, pending.request_id, record
    )
    state.control.late_events += step.events
    return [*step.effects]
