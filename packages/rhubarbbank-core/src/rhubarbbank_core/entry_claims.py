"""Fourth pass: a call that may not be repeated is claimed before it runs.

The claim is a durable ledger record; whoever stored it first may run the call
and nobody else ever does. A repeat of the key gets the recorded outcome, or
hears that the outcome is unknown. Only when the outcome is recorded as not
run may the key be claimed anew, in the next round.

While the store is down no claim can be durable, and the call is refused as
not run at once; see docs/design/claims.md for the ways weighed.
"""

import msgspec

from rhubarbbank_core import claim_records
from rhubarbbank_core import defaults
from rhubarbbank_core import entry_dispatch
from rhubarbbank_core import entry_end
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx


def claim(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Claims the call if it may not be repeated, and goes on otherwise."""
    request = opened.request
    if request.idempotent:
        return entry_dispatch.start(state, opened, now=now)
    if state.control.is_outage(now):
        return refuse_unclaimed(state, opened)
    opened.phase = open_requests.Phase.CLAIMING
    opened.claim_round += 1
    if opened.claim_round > defaults.MAX_CLAIM_ROUNDS:
        return refuse_used(state, opened, detail="too many tries")
    value = msgspec.msgpack.encode(
        claim_records.Claim(request.request_id, request.fingerprint)
    )
    record = ledger_records.Record(
        claim_records.build_key(opened, "claim"),
        ledger_records.RecordKind.CLAIM,
        value,
    )
    return entry_state.put_record(
        state,
        opened,
        now=now,
        purpose=entry_state.PutPurpose.CLAIM,
        record=record,
    )


def refuse_unclaimed(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Refuses a call whose claim can't be made durable now."""
    return entry_state.give_up(
        state,
        opened,
        errors.Problem(
            code=errors.ErrorCode.STORE_UNAVAILABLE,
            retry_after_s=defaults.RETRY_AFTER_S,
        ),
    )


def refuse_used(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    detail: str,
) -> list[fx.Effect]:
    """Refuses a key whose call may have run, or was another call."""
    return entry_state.give_up(
        state,
        opened,
        errors.Problem(
            code=errors.ErrorCode.KEY_ALREADY_USED,
            run_state=errors.RunState.UNKNOWN,
            detail=detail,
        ),
    )


def take_claim(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    status: ledger_records.RecordStatus,
    *,
    now: float,
    durable: bool,
) -> list[fx.Effect]:
    """Runs the call if the claim is ours, else looks for its outcome."""
    if opened.phase is not open_requests.Phase.CLAIMING or not durable:
        return []
    mine = status.status is ledger_records.PutStatus.STORED
    if not mine and status.value:
        # The answer to our own put may be lost; its repeat then finds it.
        found = msgspec.msgpack.decode(status.value, type=claim_records.Claim)
        mine = found.request_id == opened.request.request_id
        if found.fingerprint != opened.request.fingerprint:
            return refuse_used(state, opened, detail="by a different call")
    if mine:
        opened.claimed = True
        return entry_dispatch.start(state, opened, now=now)
    get_id, step = state.control.get(
        now=now, key=claim_records.build_key(opened, "outcome")
    )
    state.gets[get_id] = opened.request.request_id
    state.control.late_events += step.events
    return [*step.effects]


def take_found(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    records: tuple[ledger_records.Record, ...] | None,
    *,
    now: float,
) -> list[fx.Effect]:
    """Answers a repeat with the recorded outcome."""
    if not records:
        return refuse_used(state, opened, detail="the call may be running")
    outcome = msgspec.msgpack.decode(
        records[0].value, type=claim_records.Outcome
    )
    if outcome.run_state is errors.RunState.NOT_RUN:
        return claim(state, opened, now=now)
    if not outcome.kept:
        return refuse_used(state, opened, detail="its answer was not kept")
    del state.open[opened.request.request_id]
    return [
        fx.WholeAnswer(
            opened.request.request_id,
            outcome.status,
            outcome.content_type,
            outcome.body,
            # Which version ran isn't recorded.
            (entry_end.name_request(opened),),
        ),
        entry_state.log_decision(
            state, opened, decision="answered", reason="recorded_outcome"
        ),
    ]
