"""Takes answers in and hands them to the caller, in order."""

from rhubarbbank_core import claim_records
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_billing
from rhubarbbank_core import entry_dispatch
from rhubarbbank_core import entry_end
from rhubarbbank_core import entry_exposure
from rhubarbbank_core import entry_ratings
from rhubarbbank_core import entry_state
from rhubarbbank_core import entry_suspects
from rhubarbbank_core import errors
from rhubarbbank_core import open_requests
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx


def find_current(
    state: entry_state.EntryState, request_id: str, attempt: int
) -> open_requests.OpenRequest | None:
    """Returns the request if the attempt is its current one."""
    opened = state.open.get(request_id)
    if opened is None or opened.current is None:
        return None
    if opened.current.number != attempt:
        return None
    return opened


def take_accepted(
    state: entry_state.EntryState,
    *,
    now: float,
    message: path_messages.Accepted,
) -> list[fx.Effect]:
    """Notes that the sidecar has the attempt."""
    opened = find_current(state, message.request_id, message.attempt)
    if opened is not None and opened.current is not None:
        opened.current.accepted = True
        opened.current.heard_at = now
    return []


def take_chunk(
    state: entry_state.EntryState, *, now: float, chunk: path_messages.Chunk
) -> list[fx.Effect]:
    """Takes answer events in; what is in order goes to the caller."""
    opened = find_current(state, chunk.request_id, chunk.attempt)
    if opened is None or opened.current is None:
        return []
    opened.current.accepted = True
    opened.current.heard_at = now
    if chunk.events and not opened.current.first_event_at:
        opened.current.first_event_at = now
    ready = opened.buffer.accept(
        first_event=chunk.first_event, events=chunk.events
    )
    out = deliver(opened, ready) if ready else []
    if opened.buffer.early:
        out += entry_dispatch.probe(state, opened, now=now)
    if opened.current.end is not None:
        out += finish_if_whole(state, opened, now=now)
    return out


def deliver(
    opened: open_requests.OpenRequest, ready: list[bytes]
) -> list[fx.Effect]:
    """Streams events to the caller, or keeps them for the whole answer."""
    if not opened.streams_through or opened.wants_rating:
        opened.answer += ready
    if not opened.streams_through:
        return []
    wanted = [
        event for event in ready if entry_end.is_for_caller(opened, event)
    ]
    if not wanted:
        return []
    write = fx.WriteEvents(opened.request.request_id, wanted)
    if opened.started:
        return [write]
    opened.started = True
    return [entry_end.start_answer(opened), write]


def take_done(
    state: entry_state.EntryState, *, now: float, done: path_messages.Done
) -> list[fx.Effect]:
    """Notes that the upstream's answer is complete."""
    opened = find_current(state, done.request_id, done.attempt)
    if opened is None or opened.current is None:
        return []
    opened.current.end = done
    opened.current.heard_at = now
    note_load(state, opened, done.load, now=now)
    return finish_if_whole(state, opened, now=now)


def finish_if_whole(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Completes the attempt once every event is there."""
    current = opened.current
    if current is None or current.end is None:
        return []
    if opened.buffer.next_event < current.end.end_event:
        return entry_dispatch.probe(state, opened, now=now)
    done = current.end
    opened.prompt_tokens += done.prompt_tokens
    opened.completion_tokens += done.completion_tokens
    opened.cost += entry_billing.price(opened, done)
    opened.service_status = done.status
    opened.content_type = done.content_type or opened.content_type
    opened.last_address = current.address
    learn_service_time(state, opened, current, now=now)
    entry_exposure.note_end(state, opened, failed=False)
    finish = path_messages.Finish(opened.request.request_id, current.number)
    entry_state.release_try(state, opened)
    return [
        effects.Send(current.address, finish),
        *entry_ratings.take_answer(state, opened, now=now),
    ]


def learn_service_time(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    current: open_requests.Try,
    *,
    now: float,
) -> None:
    """Takes how long the attempt took into the version's mean."""
    key = opened.row.key
    known = state.service_s.get(key, defaults.INITIAL_SERVICE_S)
    took_s = now - current.placed_at
    state.service_s[key] = known + defaults.SERVICE_SMOOTHING * (took_s - known)


def note_load(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    load: path_messages.Load,
    *,
    now: float,
) -> None:
    """Takes the load report that rides on an answer."""
    current = opened.current
    if current is None:
        return
    state.control.fleet.membership.note_load(
        current.sidecar, running=load.running, waiting=load.waiting, now=now
    )
    state.at_report[current.sidecar] = state.in_flight[current.sidecar]


def take_failed(
    state: entry_state.EntryState, *, now: float, failed: path_messages.Failed
) -> list[fx.Effect]:
    """Goes on after an attempt that ended without a whole answer."""
    opened = find_current(state, failed.request_id, failed.attempt)
    if opened is None or opened.current is None:
        return []
    note_load(state, opened, failed.load, now=now)
    # Until it is confirmed, the sidecar keeps the end to send it again, and
    # a graceful stop of it waits.
    finish = path_messages.Finish(failed.request_id, failed.attempt)
    confirm = effects.Send(opened.current.address, finish)
    if failed.run_state is errors.RunState.NOT_RUN:
        return [
            confirm,
            *entry_dispatch.refuse_attempt(
                state, opened, now=now, failed=failed
            ),
        ]
    noted: list[fx.Effect] = []
    if failed.crashed:
        noted = entry_suspects.note_crash(state, opened, failed)
    return [
        confirm,
        *noted,
        *entry_dispatch.lose_attempt(
            state, opened, now=now, code=failed.code, crashed=failed.crashed
        ),
    ]


def take_unknown(
    state: entry_state.EntryState,
    *,
    now: float,
    message: path_messages.AttemptUnknown,
) -> list[fx.Effect]:
    """Goes on after the sidecar lost the attempt, as by a restart."""
    opened = find_current(state, message.request_id, message.attempt)
    if opened is None:
        return []
    return entry_dispatch.lose_attempt(
        state, opened, now=now, code=errors.ErrorCode.UPSTREAM_LOST
    )


def drop_caller(
    state: entry_state.EntryState, request_id: str, *, now: float
) -> list[fx.Effect]:
    """Cancels the work of a caller that has gone."""
    opened = state.open.get(request_id)
    if opened is None:
        return []
    if opened.phase is open_requests.Phase.BILLING:
        # The answer is complete at this entry, so its record is still made.
        return []
    out: list[fx.Effect] = [
        entry_state.log_decision(state, opened, decision="caller_gone")
    ]
    current = entry_state.release_try(state, opened)
    del state.open[request_id]
    if current is not None:
        cancel = path_messages.Cancel(request_id, current.number)
        out.append(effects.Send(current.address, cancel))
    if not opened.attempts:
        out += claim_records.record_outcome(
            state, opened, now=now, run_state=errors.RunState.NOT_RUN
        )
    return out
