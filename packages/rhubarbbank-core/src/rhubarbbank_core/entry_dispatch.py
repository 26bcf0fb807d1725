"""Fifth pass: hands an attempt to a sidecar, and again when it is lost."""

from rhubarbbank_core import claim_records
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_exposure
from rhubarbbank_core import entry_state
from rhubarbbank_core import entry_suspects
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import membership_view
from rhubarbbank_core import open_requests
from rhubarbbank_core import path_messages
from rhubarbbank_core import placement
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import suspect_messages


def start(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Begins the work on a request whose version is settled."""
    level = state.suspects.find(opened.request.fingerprint).level
    if level is suspect_messages.SuspicionLevel.SUSPECT:
        return entry_suspects.isolate(state, opened, now=now)
    return place(state, opened, now=now)


def find_candidates(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[membership_view.Candidate]:
    """Returns the sidecars that may serve the request."""
    version = str(opened.row.key)
    return [
        found
        for found in state.control.fleet.membership.candidates(version, now=now)
        if found.name not in opened.excluded
    ]


def weigh(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    found: membership_view.Candidate,
) -> placement.Candidate:
    """Returns a sidecar as placement weighs it."""
    here = found.data_centre == state.identity.data_centre
    age_s = found.load_age_s
    return placement.Candidate(
        name=found.name,
        own_in_flight=state.in_flight[found.name],
        own_at_report=state.at_report.get(found.name, 0),
        running=found.running,
        waiting=found.waiting,
        max_batch=max(1, found.max_batch),
        report_age_s=float("inf") if age_s is None else age_s,
        latency_ms=0.0 if here else defaults.CROSS_DATA_CENTRE_LATENCY_MS,
        service_s=state.service_s.get(
            opened.row.key, defaults.INITIAL_SERVICE_S
        ),
    )


def place(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Sends the next attempt to the best sidecar, or gives up."""
    candidates = find_candidates(state, opened, now=now)
    pin = state.pins.get(
        f"pin/{opened.request.organisation}/{opened.request.session}"
    )
    chosen = state.placement.choose(
        candidates=[weigh(state, opened, found) for found in candidates],
        request=placement.PlacementRequest(
            session_upstream=pin.upstream if pin else "",
            prompt_blocks=len(opened.request.body)
            // defaults.PROMPT_BLOCK_BYTES,
        ),
    )
    if chosen is None and opened.steps:
        # The stronger version's turn comes as an event of its own.
        opened.step_reason = "no upstream"
        opened.await_step(now=now)
        return [
            fx.RetryAfter(opened.request.request_id, defaults.MIN_RETRY_DELAY_S)
        ]
    if chosen is None or opened.attempts >= defaults.MAX_ATTEMPTS:
        return give_up(
            state, opened, now=now, code=errors.ErrorCode.NO_UPSTREAM
        )
    target = next(x for x in candidates if x.name == chosen.upstream)
    if pin is not None:
        pin.upstream = target.name
    return send(state, opened, target, reason=chosen.reason, now=now)


def send(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    target: membership_view.Candidate,
    *,
    reason: str,
    now: float,
) -> list[fx.Effect]:
    """Sends the next attempt to a sidecar."""
    opened.attempts += 1
    state.in_flight[target.name] += 1
    opened.phase = open_requests.Phase.RUNNING
    row = state.control.fleet.membership.directory.sidecars[target.name]
    opened.last_sidecar = target.name
    opened.current = open_requests.Try(
        number=opened.attempts,
        sidecar=target.name,
        address=target.address,
        submit=build_submit(
            state, opened, incarnation=row.incarnation, now=now
        ),
        placed_at=now,
        sent_at=now,
        heard_at=now,
        probed_at=now,
    )
    return [
        effects.Send(target.address, opened.current.submit),
        *hold_pin(state, opened, target.address),
        entry_state.log_decision(
            state, opened, decision="placed", reason=reason
        ),
    ]


def hold_pin(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    address: str,
) -> list[effects.Send]:
    """Has the sidecar keep the session's pin while it isn't durable."""
    if not opened.pin_to_hold:
        return []
    request = opened.request
    key = f"pin/{request.organisation}/{request.session}"
    state.unsettled[key] = entry_state.UnsettledRecord(
        opened.pin_to_hold, address
    )
    hold = path_messages.HoldRecord(
        key,
        ledger_records.RecordKind.PIN,
        opened.pin_to_hold,
        request.request_id,
        state.identity.peer_address,
    )
    return [effects.Send(address, hold)]


def build_submit(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    incarnation: int,
    now: float,
) -> path_messages.Submit:
    """Returns the message that asks for the next attempt."""
    request = opened.request
    row = opened.row
    first_event = opened.buffer.next_event
    opened.buffer.drop_early()
    return path_messages.Submit(
        request_id=request.request_id,
        attempt=opened.attempts,
        reply_to=state.identity.peer_address,
        incarnation=incarnation,
        kind=request.kind,
        organisation=request.organisation,
        model=row.model,
        version=row.version,
        pinned=opened.pinned,
        request_class=request.request_class,
        priority=choose_priority(opened),
        deadline_s=opened.deadline - now,
        table_revision=state.rows.revision,
        first_event=first_event,
        method=request.method,
        path=request.path,
        idempotency_key=request.idempotency_key,
        body=requests.build_engine_body(
            request, model_version=str(row.key), resume_from=first_event
        ),
        alone=opened.alone,
        fingerprint=request.fingerprint,
    )


def choose_priority(opened: open_requests.OpenRequest) -> int:
    """Returns the caller's priority, but never a better one than the row's."""
    asked = opened.request.priority
    if asked is None:
        return opened.row.priority
    return max(asked, opened.row.priority)


def judge_run_state(opened: open_requests.OpenRequest) -> errors.RunState:
    """Returns what can be said of all attempts of a request together."""
    if opened.run_failures or opened.current is not None:
        return errors.RunState.UNKNOWN
    if opened.has_answer:
        return errors.RunState.RAN
    return errors.RunState.NOT_RUN


def give_up(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    code: errors.ErrorCode,
) -> list[fx.Effect]:
    """Answers at once that the request won't be served."""
    run_state = judge_run_state(opened)
    out: list[fx.Effect] = []
    if opened.alone and run_state is errors.RunState.NOT_RUN:
        out = entry_suspects.note_not_run(state, opened)
    problem = errors.Problem(
        code=code,
        run_state=run_state,
        detail=str(opened.row.key),
        retry_after_s=opened.retry_after_s or defaults.RETRY_AFTER_S,
    )
    return [
        *out,
        *entry_state.give_up(state, opened, problem),
        *claim_records.record_outcome(
            state, opened, now=now, run_state=run_state
        ),
    ]


def lose_attempt(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    code: errors.ErrorCode,
    crashed: bool = True,
) -> list[fx.Effect]:
    """Goes on after an attempt that may have run but gave no whole answer.

    Only what may have crashed its upstream counts against the reruns: an
    error answer, as of an engine that restarts, takes nothing down.
    """
    opened.run_failures += 1
    opened.crash_failures += crashed
    entry_exposure.note_end(state, opened, failed=True)
    current = entry_state.release_try(state, opened)
    if current is not None:
        opened.excluded.add(current.sidecar)
    out = entry_suspects.note_second_loss(state, opened)
    level = state.suspects.find(opened.request.fingerprint).level
    if level is suspect_messages.SuspicionLevel.CONVICTED:
        return out + entry_suspects.refuse(state, opened)
    may_rerun = (
        opened.request.idempotent
        and opened.crash_failures < defaults.MAX_RUN_FAILURES
        and state.retries.try_acquire(now=now)
    )
    if not may_rerun:
        return give_up(state, opened, now=now, code=code)
    if level is suspect_messages.SuspicionLevel.SUSPECT:
        return entry_suspects.isolate(state, opened, now=now)
    return place(state, opened, now=now)


def take_isolation(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    status: ledger_records.RecordStatus,
    *,
    now: float,
    durable: bool,
) -> list[fx.Effect]:
    """Runs a suspect alone if the fleet's claim on that run is its own."""
    waits = opened.phase is open_requests.Phase.ISOLATING
    if not waits or not durable:
        return []
    if not entry_suspects.may_run_alone(state, opened, status):
        return entry_suspects.refuse(state, opened)
    opened.alone = True
    return place(state, opened, now=now)


def refuse_attempt(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    failed: path_messages.Failed,
) -> list[fx.Effect]:
    """Goes on after an attempt that provably did not run."""
    current = entry_state.release_try(state, opened)
    if current is not None:
        opened.excluded.add(current.sidecar)
    opened.retry_after_s = max(opened.retry_after_s, failed.retry_after_s)
    another = opened.attempts < defaults.MAX_ATTEMPTS and find_candidates(
        state, opened, now=now
    )
    if another and state.retries.try_acquire(now=now):
        return place(state, opened, now=now)
    return give_up(state, opened, now=now, code=failed.code)


def watch_attempt(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Resends, probes or gives up the current attempt as time goes by."""
    current = opened.current
    if current is None:
        return []
    silence = now - current.heard_at
    if silence >= defaults.ATTEMPT_SILENCE_TIMEOUT_S:
        return [
            *state.control.fleet.membership.report_failure(
                current.sidecar, now=now
            ),
            *lose_attempt(
                state, opened, now=now, code=errors.ErrorCode.UPSTREAM_LOST
            ),
        ]
    if not current.accepted:
        if now - current.sent_at < defaults.SUBMIT_RESEND_S:
            return []
        current.sent_at = now
        return [effects.Send(current.address, current.submit)]
    if silence >= defaults.STREAM_PROBE_S:
        return probe(state, opened, now=now)
    return []


def exceed_deadline(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Breaks off a request whose answer comes too late."""
    out: list[fx.Effect] = []
    current = opened.current
    if current is not None:
        cancel = path_messages.Cancel(opened.request.request_id, current.number)
        out.append(effects.Send(current.address, cancel))
    code = errors.ErrorCode.DEADLINE_EXCEEDED
    return out + give_up(state, opened, now=now, code=code)


def probe(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Asks the sidecar for whatever is missing, at most once a period."""
    current = opened.current
    if current is None or now - current.probed_at < defaults.SUBMIT_RESEND_S:
        return []
    current.probed_at = now
    ask = path_messages.Resend(
        opened.request.request_id,
        current.number,
        state.identity.peer_address,
        opened.buffer.next_event,
    )
    return [effects.Send(current.address, ask)]
