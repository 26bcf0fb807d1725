"""Second pass: a session's version, the same from its first turn to its last.

The version of a session is a ledger record that is put once: whichever entry
serves the first turn proposes a version, and the record that was stored
first is the answer for all. Entries remember pins; one that doesn't know a
pin asks the ledger by proposing again.
"""

from rhubarbbank_core import defaults
from rhubarbbank_core import entry_allowances
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import gate
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import table


def build_key(request: requests.CallerRequest) -> str:
    """Returns the ledger key of a session's pin."""
    return f"pin/{request.organisation}/{request.session}"


def find(
    state: entry_state.EntryState, request: requests.CallerRequest
) -> entry_state.SessionPin | None:
    """Returns the pin that this entry remembers, or None."""
    if not request.session:
        return None
    key = build_key(request)
    pin = state.pins.get(key)
    if pin is not None:
        state.pins.move_to_end(key)
    return pin


def resolve(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    pin: entry_state.SessionPin | None,
    has_proposal: bool,
) -> list[fx.Effect]:
    """Finds the session's version, from memory or through the ledger.

    Args:
        state: The entry's state.
        opened: The request; its row is the proposal.
        now: Seconds.
        pin: What this entry remembers.
        has_proposal: Whether any row offers itself to a new session.
    """
    if pin is not None:
        return apply_pin(state, opened, pin.key, now=now, known=True)
    record = ledger_records.Record(
        build_key(opened.request),
        ledger_records.RecordKind.PIN,
        str(opened.row.key).encode(),
    )
    if not has_proposal:
        get_id, step = state.control.get(now=now, key=record.key)
        state.gets[get_id] = opened.request.request_id
        state.control.late_events += step.events
        return [*step.effects]
    return entry_state.put_record(
        state,
        opened,
        now=now,
        purpose=entry_state.PutPurpose.PIN,
        record=record,
    )


def take_pin(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    status: ledger_records.RecordStatus,
    *,
    now: float,
    durable: bool,
) -> list[fx.Effect]:
    """Takes the ledger's answer to a proposal.

    A pin that isn't durable yet is kept by the sidecar that serves the turn,
    too, so that it survives this entry.
    """
    if opened.phase is not open_requests.Phase.PINNING:
        return []
    known = status.status is ledger_records.PutStatus.EXISTING
    key = opened.row.key
    if known:
        model, _, version = status.value.decode().partition("@")
        key = table.VersionKey(model, version)
    remember(state, opened, key)
    if not durable:
        opened.pin_to_hold = str(key).encode()
    return apply_pin(state, opened, key, now=now, known=known)


def take_found(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    records: tuple[ledger_records.Record, ...] | None,
    *,
    now: float,
) -> list[fx.Effect]:
    """Takes the pin of a session to which no row offers itself any more."""
    if records is None:
        return refuse_unknown(state, opened)
    if not records:
        problem = gate.explain_no_offer(state.rows, opened.request)
        return entry_state.give_up(state, opened, problem)
    model, _, version = records[0].value.decode().partition("@")
    key = table.VersionKey(model, version)
    remember(state, opened, key)
    return apply_pin(state, opened, key, now=now, known=True)


def remember(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    key: table.VersionKey,
) -> None:
    """Remembers a pin; the least recently used go first at the bound.

    Forgetting is safe: the ledger is asked again.
    """
    state.pins[build_key(opened.request)] = entry_state.SessionPin(key=key)
    entry_state.trim(state.pins, defaults.MAX_CACHED_PINS)


def refuse_unknown(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> list[fx.Effect]:
    """Refuses a turn whose session's version can't be found out now."""
    return entry_state.give_up(
        state,
        opened,
        errors.Problem(
            code=errors.ErrorCode.SESSION_STATE_UNAVAILABLE,
            detail=opened.request.session,
            retry_after_s=defaults.RETRY_AFTER_S,
        ),
    )


def apply_pin(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    key: table.VersionKey,
    *,
    now: float,
    known: bool,
) -> list[fx.Effect]:
    """Puts the request on its session's version.

    Args:
        state: The entry's state.
        opened: The request.
        key: The session's version.
        now: Seconds.
        known: Whether the session had the version before this request.
    """
    opened.pinned = known
    problem = gate.check(
        rows=state.rows,
        organisation=opened.request.organisation,
        key=key,
        pinned=known,
    )
    row = state.rows.find(opened.request.organisation, key)
    if problem is not None or row is None:
        return entry_state.give_up(
            state,
            opened,
            problem or errors.Problem(code=errors.ErrorCode.MODEL_NOT_ALLOWED),
        )
    opened.row = row
    return go_on(state, opened, now=now)


def go_on(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Hands the request to the next pass."""
    return entry_allowances.take(state, opened, now=now)
