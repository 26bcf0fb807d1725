"""Carries out roll-out orders jointly with the other entries.

Each entry runs its own trial of the order's target (`version_trial`) and
shares its evidence with its peers. The live entry whose name sorts first
records the outcome. The store accepts a write only for the latest revision of
the record, so that it does no harm if two entries both consider themselves
first.
"""

import dataclasses

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import state as states
from rhubarbbank_router import store_eras
from rhubarbbank_router import version_trial

# Minimum time between two attempts to record a state.
RECORD_RETRY_S = 0.5
# By how much each entry waits longer than the one before by name to record a
# hold, and the number of such waits at most.
RECORD_TURN_S = 0.25
MAX_RECORD_TURNS = 4


def apply_order(
    state: states.RouterState,
    order: version_trial.RolloutOrder,
    *,
    now: float,
) -> list[effects.Effect]:
    """Applies an order as read from the store; ignores older positions."""
    trial = state.trials.get(order.service)
    if trial is not None and order.position < trial.order.position:
        return []
    state.doubtful_orders.pop(order.service, None)
    if trial is not None and is_repeated(trial.order, order):
        trial.keep_outcome(now=now)
        state.entries.rename_ended_evidence(
            order.service, trial.order.key, order.key
        )
    elif trial is None or is_new_order(trial.order, order):
        init_settled_versions(state, order.service)
        trial = version_trial.VersionTrial(
            order=order,
            judge=state.judge,
            plan=choose_plan(state, order.service),
            now=now,
        )
        state.trials[order.service] = trial
        keep_live_sessions(state, trial, now=now)
    trial.order = order
    if order.state is version_trial.OrderState.ROLLED_BACK:
        trial.hold(now=now)
    settled = state.settled_versions.setdefault(order.service, set())
    if order.state is version_trial.OrderState.COMPLETED:
        # The operators have stopped the other versions.
        trial.release()
        settled.clear()
        settled.add(order.target)
    else:
        settled.discard(order.target)
    return [
        fx.LogDecision(
            decision="rollout_read",
            version=order.target,
            reason=order.state.value,
            inputs=(
                ("service", order.service),
                ("era", order.era),
                ("revision", order.revision),
                ("duration_s", order.duration_s),
            ),
        )
    ]


def is_new_order(
    known: version_trial.RolloutOrder, read: version_trial.RolloutOrder
) -> bool:
    """Returns whether an order is a new one rather than an update.

    An operator may reuse an order's record for a new order, even with the same
    target.
    """
    if known.key != read.key:
        return True
    is_unstarted = read.state is version_trial.OrderState.ORDERED
    return is_unstarted and known.state in version_trial.FINAL_STATES


def is_repeated(
    known: version_trial.RolloutOrder, read: version_trial.RolloutOrder
) -> bool:
    """Returns whether an order is a known one that a restored store has.

    An order that the store had lost and that was written again has another
    creation revision, and thus another key.
    """
    return (
        read.era > known.era
        and read.target == known.target
        and read.duration_s == known.duration_s
    )


def choose_plan(
    state: states.RouterState, service: str
) -> version_trial.TrialPlan:
    """Returns the roll-out parameters for a service.

    Plain services, which have no models, get fewer requests. They also have no
    sessions that a larger share would move to another version.
    """
    current = state.active_configuration
    configured = current.services.get(service) if current else None
    if configured is not None and not configured.models:
        return version_trial.PLAIN_PLAN
    return version_trial.STREAM_PLAN


def apply_orders(
    state: states.RouterState,
    orders: tuple[version_trial.RolloutOrder, ...],
    *,
    now: float,
) -> list[effects.Effect]:
    """Applies the complete list of orders that the store holds.

    While a restored store may still lack changes, an order that contradicts
    a trial, or its absence, is only noted: the trial's order is probably
    written again, and its evidence must not be lost.
    """
    by_service: dict[str, version_trial.RolloutOrder | None] = {
        **dict.fromkeys(state.trials),
        **{order.service: order for order in orders},
    }
    in_doubt = not store_eras.has_settled(state, now)
    out: list[effects.Effect] = []
    for service, order in by_service.items():
        if in_doubt and contradicts_trial(state, service, order):
            state.doubtful_orders[service] = order
            out.append(
                fx.LogDecision(
                    decision="rollout_doubted",
                    reason="missing" if order is None else order.target,
                    inputs=(("service", service),),
                )
            )
        elif order is None:
            remove_order(state, service)
        else:
            out += apply_order(state, order, now=now)
            await_report(state, service)
    return out


def await_report(state: states.RouterState, service: str) -> None:
    """Records that other entries know more of a roll-out than this one.

    That is so if the first list of orders has one that has begun.
    """
    trial = state.trials[service]
    is_first = events.Subject.ROLLOUTS not in state.listed_subjects
    if is_first and trial.order.state is version_trial.OrderState.RUNNING:
        trial.awaits_report = True


def awaits_reports(state: states.RouterState) -> bool:
    """Returns whether other entries have yet to report on a roll-out."""
    if not any(each.awaits_report for each in state.trials.values()):
        return False
    is_listed = events.Subject.ENTRIES in state.listed_subjects
    return bool(state.entries.registered) or not is_listed


def contradicts_trial(
    state: states.RouterState,
    service: str,
    order: version_trial.RolloutOrder | None,
) -> bool:
    """Returns whether a listed order isn't that of the service's trial."""
    trial = state.trials.get(service)
    if trial is None:
        return False
    return order is None or not is_repeated(trial.order, order)


def settle_orders(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Applies what a restored store had, unless it has changed since."""
    if not state.doubtful_orders or not store_eras.has_settled(state, now):
        return []
    out: list[effects.Effect] = []
    for service, order in list(state.doubtful_orders.items()):
        if order is None:
            remove_order(state, service)
        else:
            out += apply_order(state, order, now=now)
    return out


def remove_order(state: states.RouterState, service: str) -> None:
    """Ends the trial of an order that was removed from the store.

    The settled versions stay as they are, so that a held target doesn't become
    settled.
    """
    state.trials.pop(service, None)
    state.doubtful_orders.pop(service, None)


def init_settled_versions(state: states.RouterState, service: str) -> None:
    """Marks a service's listed versions as settled, if none are yet.

    Without a trial, requests run on settled versions as long as an upstream
    has one. The target of a running trial isn't settled.
    """
    settled = state.settled_versions.setdefault(service, set())
    if settled:
        return
    trial = state.trials.get(service)
    target = trial.order.target if trial else None
    settled.update(
        tracked.listed.version
        for tracked in state.view.tracked.values()
        if tracked.listed.service == service
        and tracked.listed.version != target
    )


def init_all_settled_versions(state: states.RouterState) -> None:
    """Calls `init_settled_versions` for every listed service."""
    for service in {
        tracked.listed.service for tracked in state.view.tracked.values()
    }:
        init_settled_versions(state, service)


def keep_live_sessions(
    state: states.RouterState,
    trial: version_trial.VersionTrial,
    *,
    now: float,
) -> None:
    """Records the sessions that are alive when an order is first seen.

    The margin covers sessions that have expired at this entry but were seen a
    little later by another entry.
    """
    alive_s = state.settings.bounds.session_s + defaults.SESSION_MARGIN_S
    service = trial.order.service
    for session, pin in state.sessions.list_alive(
        service, now=now, alive_s=alive_s
    ):
        keep_session(
            state,
            trial,
            session,
            version=pin.version,
            affinity_key=pin.affinity_key,
            now=now,
        )


def keep_session(
    state: states.RouterState,
    trial: version_trial.VersionTrial,
    session: str,
    *,
    version: str,
    affinity_key: str,
    now: float,
) -> None:
    """Keeps a session on its version if its key selects the target."""
    if (
        trial.may_move_sessions
        or trial.is_finished
        or version == trial.order.target
    ):
        return
    session_hash = name_hashes.hash_name(session)
    if session_hash in trial.kept_sessions or not trial.routes_to_target(
        affinity_key
    ):
        return
    trial.kept_sessions.add(session_hash)
    # Tell the peers soon: the next request may come to another entry.
    state.expedite_heartbeat(now=now)


def record_placement(
    state: states.RouterState,
    opened: states.OpenRequest,
    version: str,
    *,
    now: float,
) -> None:
    """Records the version that a request of a session begins on."""
    request = opened.request
    if not request.session:
        return
    state.sessions.begin_request(
        opened.session_key,
        version=version,
        affinity_key=request.affinity_key,
        now=now,
    )
    trial = state.trials.get(opened.service)
    if trial is not None:
        keep_session(
            state,
            trial,
            request.session,
            version=version,
            affinity_key=request.affinity_key,
            now=now,
        )


def merge_trial_reports(
    state: states.RouterState, heartbeat: messages.Heartbeat, *, now: float
) -> None:
    """Merges a peer's reports: start, step, rejection and kept sessions.

    All entries must use the same share; otherwise a session that one entry
    moves would be routed back by another.
    """
    for theirs in heartbeat.trials:
        trial = state.trials.get(theirs.service)
        if trial is None or theirs.key != trial.order.key:
            continue
        trial.awaits_report = False
        trial.started_at = min(trial.started_at, now - theirs.age_s)
        is_completed = trial.order.state is version_trial.OrderState.COMPLETED
        if theirs.held and not is_completed:
            trial.hold(now=now)
        trial.adopt_step(theirs.step, now=now)
        trial.kept_sessions.update(theirs.kept_sessions)


def tick(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Advances all roll-outs and records changes of their state."""
    out = settle_orders(state, now=now)
    for service, trial in state.trials.items():
        # An order may be read before the configuration, so the plan may still
        # change. In the second half it may not: the step would stand for
        # another share.
        if not trial.may_move_sessions:
            trial.plan = choose_plan(state, service)
        evidence = trial.own_evidence.plus(
            state.entries.sum_evidence(service, trial.order.key)
        )
        if trial.advance(evidence, now=now):
            out.append(build_step_log(service, trial, evidence, now=now))
            if trial.held:
                # Sessions stay on the target until the outcome is recorded.
                state.expedite_heartbeat(now=now)
        out += record_state(state, service, trial, now=now)
    return out


def build_step_log(
    service: str,
    trial: version_trial.VersionTrial,
    evidence: version_trial.TrialEvidence,
    *,
    now: float,
) -> fx.LogDecision:
    """Returns the log line for a change of a target's share."""
    return fx.LogDecision(
        decision="rollout_held" if trial.held else "rollout_step",
        version=trial.order.target,
        reason=f"share {trial.share}",
        inputs=(
            ("service", service),
            ("age_s", round(now - trial.started_at, 3)),
            *list_log_inputs("target", evidence.pooled.target),
            *list_log_inputs("incumbent", evidence.pooled.incumbent),
        ),
    )


def list_log_inputs(
    name: str, counts: version_trial.AnswerCounts
) -> tuple[fx.LogInput, ...]:
    """Returns a version's counts as inputs of a log line."""
    return (
        (f"{name}_answers", counts.answers),
        (f"{name}_failures", counts.failures),
        (f"{name}_timed", counts.timed),
        (f"{name}_slow", counts.slow),
        (f"{name}_paced", counts.paced),
        (f"{name}_dragging", counts.dragging),
    )


def record_state(
    state: states.RouterState,
    service: str,
    trial: version_trial.VersionTrial,
    *,
    now: float,
) -> list[effects.Effect]:
    """Records a roll-out's new state, if this entry is to record it."""
    order = trial.order
    reached = determine_state(state, trial, now=now)
    if order.state in version_trial.FINAL_STATES or reached is order.state:
        return []
    if order.era < (state.store_era or 0):
        # Its revision may belong to another record now.
        return []
    if now - state.rollout_recorded_at.get(service, 0.0) < RECORD_RETRY_S:
        return []
    if state.stopping or not may_record(state, trial, now=now):
        return []
    state.rollout_recorded_at[service] = now
    return [
        fx.LogDecision(
            decision="rollout_recorded",
            version=order.target,
            reason=reached.value,
            inputs=(("service", service), ("revision", order.revision)),
        ),
        effects.RecordRollout(order, reached),
    ]


def may_record(
    state: states.RouterState,
    trial: version_trial.VersionTrial,
    *,
    now: float,
) -> bool:
    """Returns whether it is this entry's turn to record a roll-out's state.

    A hold must be recorded soon. If an entry hasn't done so, the next one by
    name tries: the others may be slow, about to end, or cut off.
    """
    rank = state.entries.count_names_before(now=now)
    if trial.held_at is None:
        return rank == 0
    turn = min(rank, MAX_RECORD_TURNS)
    return now - trial.held_at >= turn * RECORD_TURN_S


def determine_state(
    state: states.RouterState,
    trial: version_trial.VersionTrial,
    *,
    now: float,
) -> version_trial.OrderState:
    """Returns the roll-out's state, taking all live entries into account."""
    if trial.held:
        return version_trial.OrderState.ROLLED_BACK
    if not trial.has_all_traffic or count_other_attempts(state, trial):
        return version_trial.OrderState.RUNNING
    if state.view.is_evacuated(trial.order.service, trial.order.target):
        # The other versions end once the roll-out is recorded as completed.
        return version_trial.OrderState.RUNNING
    for heartbeat in state.entries.list_live(now=now):
        theirs = [
            each for each in heartbeat.trials if each.key == trial.order.key
        ]
        if not theirs or not theirs[0].whole or theirs[0].old_in_flight:
            return version_trial.OrderState.RUNNING
    return version_trial.OrderState.COMPLETED


def count_other_attempts(
    state: states.RouterState, trial: version_trial.VersionTrial
) -> int:
    """Returns this entry's open attempts on other versions."""
    return sum(
        attempt.version != trial.order.target
        for opened in state.open_requests.values()
        if opened.service == trial.order.service
        for attempt in opened.open_attempts
    )


def build_trial_reports(
    state: states.RouterState, *, now: float
) -> tuple[messages.TrialReport, ...]:
    """Returns this entry's roll-outs in the form that heartbeats carry."""
    return tuple(
        messages.TrialReport(
            service=service,
            key=trial.order.key,
            age_s=now - trial.started_at,
            held=trial.held,
            whole=trial.has_all_traffic,
            old_in_flight=count_other_attempts(state, trial),
            step=trial.step,
            kept_sessions=list_kept_sessions(trial),
            routes=() if trial.is_finished else list_route_counts(trial),
        )
        for service, trial in state.trials.items()
    )


def list_kept_sessions(
    trial: version_trial.VersionTrial,
) -> tuple[name_hashes.NameHash, ...]:
    """Returns the kept sessions, or nothing once sessions may move."""
    if trial.may_move_sessions or trial.is_finished:
        return ()
    return tuple(sorted(trial.kept_sessions))


def list_route_counts(
    trial: version_trial.VersionTrial,
) -> tuple[messages.RouteReport, ...]:
    """Returns this entry's evidence in the form that heartbeats carry."""
    return tuple(
        messages.RouteReport(
            route,
            encode_counts(comparison.target),
            encode_counts(comparison.incumbent),
        )
        for route, comparison in trial.own_evidence.routes.items()
    )


def encode_counts(counts: version_trial.AnswerCounts) -> messages.CountReport:
    """Returns counts in the form that heartbeats carry."""
    return messages.CountReport(**dataclasses.asdict(counts))
