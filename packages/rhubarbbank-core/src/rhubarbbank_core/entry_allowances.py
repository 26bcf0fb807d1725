"""Third pass: takes each attempt's request from the organisation's allowance.

The entry spends slices that the allowance's owner leased to it. A request
that finds no slice yet waits for the first one for a bounded, short time.
"""

from rhubarbbank_core import defaults
from rhubarbbank_core import entry_claims
from rhubarbbank_core import entry_state
from rhubarbbank_core import errors
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx

UNAVAILABLE_RETRY_S = 4.0


def take(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Takes one request from the allowance, or waits for a slice."""
    opened.phase = open_requests.Phase.SLICING
    opened.slice_until = now + defaults.SLICE_WAIT_S
    return try_take(state, opened, now=now, is_retry=False)


def try_take(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    is_retry: bool = True,
) -> list[fx.Effect]:
    """Goes on if the slice has a request left; gives up when it never will."""
    key = opened.slice_key
    found = state.control.slices.try_take(now=now, key=key, is_retry=is_retry)
    out: list[fx.Effect] = [*found.sends]
    if found.admitted or take_reserve(state, key, now=now):
        return out + entry_claims.claim(state, opened, now=now)
    if may_wait(state, opened, key, found.retry_after_s, now=now):
        return out + wait(state, opened, key, found.retry_after_s)
    problem = describe(state, opened, key, found.retry_after_s, now=now)
    return out + entry_state.give_up(state, opened, problem)


def take_reserve(
    state: entry_state.EntryState, key: str, *, now: float
) -> bool:
    """Takes a request from the reserve, while there is no slice at all."""
    held = state.control.slices.held.get(key)
    if held is not None and held.rate_per_s > 0.0:
        return False
    return state.control.reserve.try_take(now=now, key=key)


def is_answered(state: entry_state.EntryState, key: str, *, now: float) -> bool:
    """Returns whether the allowance's owner granted anything lately."""
    return state.control.slices.is_answered(
        now=now, key=key, within_s=defaults.SLICE_WAIT_S
    )


def describe(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    key: str,
    retry_after_s: float,
    *,
    now: float,
) -> errors.Problem:
    """Returns why there is no request left: used up, or no owner answers."""
    code = errors.ErrorCode.ALLOWANCE_EXHAUSTED
    wait_s = max(retry_after_s, defaults.RETRY_AFTER_S)
    if not is_answered(state, key, now=now):
        code = errors.ErrorCode.ALLOWANCE_UNAVAILABLE
        wait_s = state.control.slices.draw_retry(UNAVAILABLE_RETRY_S)
    return errors.Problem(
        code=code, detail=str(opened.row.key), retry_after_s=wait_s
    )


def wait(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    key: str,
    retry_after_s: float,
) -> list[fx.Effect]:
    """Asks for the moment when the slice has enough, if a tick is too late.

    A new slice starts empty, so that nobody gains by giving slices back; its
    first request is due after one over its rate, often a few milliseconds.
    """
    held = state.control.slices.held.get(key)
    if held is None or held.rate_per_s <= 0.0:
        return []
    if retry_after_s >= defaults.TICK_S:
        return []
    delay_s = max(retry_after_s, defaults.MIN_RETRY_DELAY_S)
    return [fx.RetryAfter(opened.request.request_id, delay_s)]


def may_wait(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    key: str,
    retry_after_s: float,
    *,
    now: float,
) -> bool:
    """Returns whether the request soon gets its turn.

    Without a slice it waits for the first one, and with a small one of an
    ample allowance for a larger one. While no owner answers, it waits until a
    dead one should have been replaced; after that nothing is waited for. Else
    it waits only for a request that is nearly due.
    """
    held = state.control.slices.held.get(key)
    if held is not None and held.rate_per_s > 0.0 and held.is_scarce:
        return retry_after_s <= defaults.SCARCE_SLICE_WAIT_S
    since = state.control.slices.unanswered_since(key=key)
    if since is not None and not is_answered(state, key, now=now):
        return now < since + defaults.OWNER_WAIT_S
    return now < opened.slice_until
