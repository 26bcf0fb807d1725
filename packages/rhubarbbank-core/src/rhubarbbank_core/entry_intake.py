"""First pass over a request: may it run, and on which version?

A request is let in or refused at the door. Its version is the session's if
it belongs to a session, and otherwise what the cascade plans; then it goes on
to `entry_allowances`, `entry_claims` and `entry_dispatch`.
"""

from rhubarbbank_core import cascade
from rhubarbbank_core import defaults
from rhubarbbank_core import entry_pins
from rhubarbbank_core import entry_state
from rhubarbbank_core import entry_suspects
from rhubarbbank_core import errors
from rhubarbbank_core import gate
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import table
from rhubarbbank_core import version_choice

PER_MILLE = 1000
TOKENS_PER_PRICE_UNIT = 1000


def take_request(
    state: entry_state.EntryState,
    *,
    now: float,
    request: requests.CallerRequest,
) -> list[fx.Effect]:
    """Lets a request in, or refuses it as not run."""
    problem = (
        check_process(state, now)
        or check_organisation(state, request)
        or entry_suspects.check(state, request)
    )
    if problem is not None:
        return refuse_at_door(state, request, problem)
    rows = version_choice.choose_versions(
        state.rows,
        organisation=request.organisation,
        request_class=request.request_class,
        wanted=request.model,
        text=request.session or request.request_id,
        held=find_held(state, request),
    )
    pin = entry_pins.find(state, request)
    if not rows and not request.session:
        problem = gate.explain_no_offer(state.rows, request)
        return refuse_at_door(state, request, problem)
    opened = open_requests.OpenRequest(
        request=request,
        arrived=now,
        deadline=now + request.deadline_s,
        phase=open_requests.Phase.PINNING,
        row=rows[0]
        if rows
        else table.Row(organisation=request.organisation, model="", version=""),
    )
    state.open[request.request_id] = opened
    out: list[fx.Effect] = []
    if rows:
        plan(state, opened, rows, now=now)
        out.append(log_plan(state, opened, rows))
    if request.session:
        return out + entry_pins.resolve(
            state, opened, now=now, pin=pin, has_proposal=bool(rows)
        )
    return out + entry_pins.go_on(state, opened, now=now)


def log_plan(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    rows: list[table.Row],
) -> fx.LogDecision:
    """Returns the log line that tells the plan and what it chose from."""
    offered = ", ".join(str(row.key) for row in rows)
    reason = f"direct, of {offered}"
    if opened.steps:
        reason = (
            f"then {opened.steps[0].key} if rated below "
            f"{opened.threshold:.2f}, of {offered}"
        )
    return entry_state.log_decision(
        state, opened, decision="planned", reason=reason
    )


def plan(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    rows: list[table.Row],
    *,
    now: float,
) -> None:
    """Chooses the row, and the stronger one behind it if need be.

    A session keeps one version from start to finish, so that a cascade's
    stronger version takes its place there.
    """
    opened.wants_rating = (
        is_in_rollout(rows[0]) or state.rng.random() < defaults.RATED_SHARE
    )
    if len(rows) == 1:
        return
    request = opened.request
    found = state.cascade.choose(
        organisation=request.organisation,
        request_class=request.request_class,
        candidates=[price_row(row) for row in rows],
        target=max(row.quality_target for row in rows) / PER_MILLE,
        now=now,
    )
    by_key = {row.key: row for row in rows}
    opened.row = by_key[found.first]
    opened.wants_rating |= found.wants_rating or is_in_rollout(opened.row)
    if found.then is None:
        return
    if request.session:
        opened.row = by_key[found.then]
        opened.wants_rating |= is_in_rollout(opened.row)
        return
    opened.steps = [by_key[found.then]]
    opened.threshold = found.threshold
    opened.rated = True


def find_held(
    state: entry_state.EntryState, request: requests.CallerRequest
) -> set[table.VersionKey]:
    """Returns the versions that this request is not to be planned on.

    Those are the held ones; versions in roll-out that no upstream has loaded
    yet, whose share stays with the incumbent until one has; and, for a chat,
    plain services, whose rows look like a model's.
    """
    control = state.control
    rows = state.rows.by_organisation.get(request.organisation, {})
    waiting = {
        key
        for key, row in rows.items()
        if is_in_rollout(row) and str(key) not in control.loaded
    }
    if request.kind is requests.WorkKind.CHAT:
        waiting |= {key for key in rows if str(key) in control.services}
    return waiting | state.held.keys()


def is_in_rollout(row: table.Row) -> bool:
    """Returns whether the row is in roll-out, so that each answer counts."""
    return row.status.startswith(version_choice.STAGE_PREFIX)


def price_row(row: table.Row) -> cascade.PricedVersion:
    """Returns a row as the cascade weighs it."""
    tokens = defaults.EXPECTED_REQUEST_TOKENS
    return cascade.PricedVersion(
        key=row.key,
        price=row.price_per_1k_tokens * tokens / TOKENS_PER_PRICE_UNIT,
    )


def check_process(
    state: entry_state.EntryState, now: float
) -> errors.Problem | None:
    """Returns why this process takes nothing new, or None."""
    if state.stopping:
        return errors.Problem(
            code=errors.ErrorCode.SHUTTING_DOWN,
            retry_after_s=defaults.RETRY_AFTER_S,
        )
    if len(state.open) >= defaults.MAX_OPEN_REQUESTS:
        return errors.Problem(
            code=errors.ErrorCode.OVERLOADED,
            retry_after_s=defaults.RETRY_AFTER_S,
        )
    return state.control.fleet.freshness.verdict(now=now).problem


def check_organisation(
    state: entry_state.EntryState, request: requests.CallerRequest
) -> errors.Problem | None:
    """Returns a problem for an organisation that the table lacks."""
    if request.organisation in state.rows.by_organisation:
        return None
    return errors.Problem(
        code=errors.ErrorCode.UNKNOWN_ORGANISATION,
        detail=request.organisation,
    )


def refuse_at_door(
    state: entry_state.EntryState,
    request: requests.CallerRequest,
    problem: errors.Problem,
) -> list[fx.Effect]:
    """Answers a request that is not let in."""
    line = fx.LogDecision(
        decision="refused",
        request_id=request.request_id,
        organisation=request.organisation,
        reason=problem.code,
    )
    entry_state.keep_explanation(state, line)
    return [
        fx.RefuseCaller(request.request_id, problem),
        line,
        fx.Count(f"entry.refused.{problem.code}"),
    ]
