"""The entry's part in exposure: evidence, judging, holds, status edits."""

import datetime as dt

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_state
from rhubarbbank_core import evidence
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import store
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_edit

SYSTEM_AUTHOR = "rhubarbbank"
NOTICE_KEPT_S = 10.0


def note_end(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    failed: bool,
) -> None:
    """Takes the end of the current attempt as evidence on its version.

    What it waited for a place at its upstream tells of the load, not of the
    version, and isn't counted as slow.
    """
    current = opened.current
    if current is None:
        return
    waited_s = current.end.waited_s if current.end else 0.0
    late_s = current.first_event_at - current.placed_at - waited_s
    slow = not failed and late_s > evidence.SLOW_FIRST_TOKEN_S
    state.evidence.record_attempt(opened.row.key, failed=failed, slow=slow)


def tick(state: entry_state.EntryState, *, now: float) -> list[fx.Effect]:
    """Reports evidence and judges the models that are this entry's."""
    entries = state.control.live_addresses
    out: list[fx.Effect] = [
        *state.evidence.tick(
            now=now,
            entry=state.identity.name,
            incarnation=state.identity.incarnation,
            entries=entries,
        )
    ]
    for key in [x for x, until in state.held.items() if until <= now]:
        del state.held[key]
    if now < state.judge_at:
        return out
    state.judge_at = now + defaults.HEARTBEAT_PERIOD_S
    return [*out, *state.editor.handle_time(now=now), *judge(state, now=now)]


def judge(state: entry_state.EntryState, *, now: float) -> list[fx.Effect]:
    """Turns verdicts into edits and notices."""
    entries = state.control.live_addresses
    own = state.identity.peer_address
    models = {
        row.model
        for row in state.rows.rows
        if evidence.find_judge(row.model, entries) == own
    }
    found = state.duty.judge(state.rows, models=models)
    out: list[fx.Effect] = []
    for key in found.held:
        out += spread_hold(state, key, now=now)
    for key in found.suspects:
        out.append(
            fx.LogDecision(
                decision="version_suspect",
                model=key.model,
                version=key.version,
                reason="it turned bad and some organisation has nothing else",
            )
        )
    if found.changes and not state.editor.busy:
        out += submit(state, found.changes, now=now)
    return out


def spread_hold(
    state: entry_state.EntryState, key: table.VersionKey, *, now: float
) -> list[fx.Effect]:
    """Tells every live entry that a version is held."""
    take_notice(state, key, now=now)
    notice = evidence_messages.HoldNotice(key.model, key.version)
    others = state.control.live_addresses - {state.identity.peer_address}
    out: list[fx.Effect] = [
        effects.Send(address, notice) for address in sorted(others)
    ]
    out.append(
        fx.LogDecision(
            decision="held",
            model=key.model,
            version=key.version,
            reason=state.duty.find_reason(key),
        )
    )
    return out


def take_notice(
    state: entry_state.EntryState, key: table.VersionKey, *, now: float
) -> None:
    """Holds a version here, until the notice is no longer repeated."""
    state.held[key] = now + NOTICE_KEPT_S


def submit(
    state: entry_state.EntryState,
    changes: list[table_codec.SetCell],
    *,
    now: float,
) -> list[fx.Effect]:
    """Starts the edit of status cells."""
    state.edits_made += 1
    identity = state.identity
    edits = [
        table_codec.Edit(
            author=SYSTEM_AUTHOR,
            write_id=(
                f"{identity.name}/{identity.incarnation}/"
                f"{state.edits_made}/{number}"
            ),
            time=describe_time(now + identity.clock_offset_s),
            change=change,
            base_revision=state.rows.revision,
            by_system=True,
        )
        for number, change in enumerate(changes)
    ]
    out: list[fx.Effect] = [
        fx.LogDecision(
            decision="status_edit",
            organisation=change.row_key.organisation,
            model=change.row_key.model,
            version=change.row_key.version,
            reason=f"{change.old} -> {change.new}",
        )
        for change in changes
    ]
    return [*out, *state.editor.submit(edits)]


def describe_time(seconds: float) -> str:
    """Returns a time as ISO 8601 in UTC.

    Args:
        seconds: Since 1970.
    """
    moment = dt.datetime.fromtimestamp(seconds, tz=dt.UTC)
    return moment.isoformat(timespec="seconds")


def take_store_reply(
    state: entry_state.EntryState, reply: store.StoreReply, *, now: float
) -> list[fx.Effect]:
    """Goes on with the edit under way."""
    out: list[fx.Effect] = [*state.editor.handle_reply(reply, now=now)]
    outcome = state.editor.outcome
    if isinstance(outcome, table_edit.Refusal) and not state.editor.busy:
        out.append(
            fx.LogDecision(
                decision="status_edit_refused", reason=outcome.problem.detail
            )
        )
    return out
