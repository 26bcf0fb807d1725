"""Goes on to a cascade's stronger version, within allowance and deadline.

It is taken when the first answer is rated too low or not in time, and when no
upstream is left for the first version. The step takes a request from the
stronger version's allowance; an entry that has no slice of it yet waits a
bounded, short time for one. If the step can't be taken, a whole first answer
stands; without one the request is refused.
"""

from rhubarbbank_core import defaults
from rhubarbbank_core import entry_billing
from rhubarbbank_core import entry_dispatch
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx


def begin(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Begins to step up to the stronger version."""
    service_s = state.service_s.get(
        opened.steps[0].key, defaults.INITIAL_SERVICE_S
    )
    if now + service_s > opened.deadline:
        return stay(state, opened, now=now, reason="no_time_to_escalate")
    opened.await_step(now=now)
    return try_step(state, opened, now=now, is_retry=False)


def try_step(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    is_retry: bool = True,
) -> list[fx.Effect]:
    """Steps up if the stronger version's allowance has a request left."""
    found = state.control.slices.try_take(
        now=now, key=opened.slice_key, is_retry=is_retry
    )
    out: list[fx.Effect] = [*found.sends]
    if found.admitted:
        return out + step_up(state, opened, now=now)
    if now < opened.slice_until:
        return out
    return out + stay(state, opened, now=now, reason="no_allowance_to_escalate")


def step_up(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Has the stronger version answer."""
    opened.take_step()
    return [
        entry_state.log_decision(
            state, opened, decision="escalated", reason=opened.step_reason
        ),
        *entry_dispatch.place(state, opened, now=now),
    ]


def stay(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    reason: str,
) -> list[fx.Effect]:
    """Gives the caller the answer that is there, or a refusal."""
    opened.steps = []
    if not opened.is_whole:
        return entry_dispatch.give_up(
            state, opened, now=now, code=errors.ErrorCode.NO_UPSTREAM
        )
    return [
        entry_state.log_decision(state, opened, decision="kept", reason=reason),
        *entry_billing.bill(state, opened, now=now),
    ]
