"""Keeps a request that crashes its upstream from crashing the fleet.

`suspects.py` holds what is known of fingerprints. Here a crash that a sidecar
reports becomes notices to the other entries, a suspect's second run is
claimed in the ledger, so that the whole fleet makes only one, and what is
convicted is refused at the door.
"""

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import suspect_messages

Level = suspect_messages.SuspicionLevel


def check(
    state: entry_state.EntryState, request: requests.CallerRequest
) -> errors.Problem | None:
    """Returns why a new request's fingerprint is refused, or None."""
    level = state.suspects.find(request.fingerprint).level
    if level is not Level.CONVICTED:
        return None
    return errors.Problem(code=errors.ErrorCode.CRASH_SUSPECT)


def note_crash(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    failed: path_messages.Failed,
) -> list[fx.Effect]:
    """Makes everything suspect that ran when the upstream crashed."""
    fingerprints = {opened.request.fingerprint, *failed.running}
    out: list[fx.Effect] = []
    for fingerprint in sorted(fingerprints):
        notice = state.suspects.note_crash(
            fingerprint, incident=failed.incident
        )
        if notice is not None:
            out += spread(state, notice)
    return out


def note_second_loss(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Convicts a suspect whose attempts have cost two upstreams."""
    if opened.crash_failures < defaults.MAX_RUN_FAILURES:
        return []
    notice = state.suspects.convict(opened.request.fingerprint)
    return spread(state, notice) if notice is not None else []


def note_end(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Clears a suspect that ran alone to its end."""
    if not opened.alone:
        return []
    notice = state.suspects.clear(opened.request.fingerprint)
    return spread(state, notice) if notice is not None else []


def note_not_run(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Lets the second run be claimed anew, since it did not happen."""
    notice = state.suspects.renew(opened.request.fingerprint)
    return spread(state, notice) if notice is not None else []


def spread(
    state: entry_state.EntryState, notice: suspect_messages.SuspectNotice
) -> list[fx.Effect]:
    """Sends a notice to every other live entry; crashes are rare."""
    others = state.control.live_addresses - {state.identity.peer_address}
    return [effects.Send(address, notice) for address in sorted(others)]


def answer_pull(
    state: entry_state.EntryState, pull: suspect_messages.SuspectPull
) -> list[fx.Effect]:
    """Tells an entry that has just started what is known."""
    return [
        effects.Send(pull.reply_to, notice)
        for notice in state.suspects.list_notices()
    ]


def isolate(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Claims a suspect's only further run."""
    opened.phase = open_requests.Phase.ISOLATING
    found = state.suspects.find(opened.request.fingerprint)
    opened.suspect_epoch = found.epoch
    record = ledger_records.Record(
        f"suspect/{opened.request.fingerprint:016x}/{found.epoch}",
        ledger_records.RecordKind.SUSPECT,
        opened.request.request_id.encode(),
    )
    return entry_state.put_record(
        state,
        opened,
        now=now,
        purpose=entry_state.PutPurpose.ISOLATION,
        record=record,
    )


def may_run_alone(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    status: ledger_records.RecordStatus,
) -> bool:
    """Returns whether the claim on the second run is this request's."""
    found = state.suspects.find(opened.request.fingerprint)
    if found.level is Level.CONVICTED or found.epoch != opened.suspect_epoch:
        return False
    if status.status is ledger_records.PutStatus.STORED:
        return True
    return status.value == opened.request.request_id.encode()


def refuse(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Refuses a request that crashed an upstream and may not run again.

    While another request with this fingerprint makes the second run, coming
    back helps; after a conviction it does not.
    """
    level = state.suspects.find(opened.request.fingerprint).level
    ran = opened.run_failures > 0 or opened.has_answer
    return entry_state.give_up(
        state,
        opened,
        errors.Problem(
            code=errors.ErrorCode.CRASH_SUSPECT,
            run_state=errors.RunState.UNKNOWN
            if ran
            else errors.RunState.NOT_RUN,
            retry_after_s=None
            if level is Level.CONVICTED
            else defaults.RETRY_AFTER_S,
        ),
    )
