"""Sixth pass: rates answers; those that are rated too low are escalated.

A cascade's first answer is rated before the caller sees it. If its rating is
below the plan's threshold, or none comes soon, the stronger version answers.
When that can't be (`entry_cascade`), the first answer stands.
Final answers are rated now and then, so that the cascade goes on learning.
"""

from rhubarbbank_core import chat_assembly
from rhubarbbank_core import defaults
from rhubarbbank_core import entry_billing
from rhubarbbank_core import entry_cascade
from rhubarbbank_core import entry_state
from rhubarbbank_core import events
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests


def take_answer(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Takes a whole answer: rates it first, or bills it."""
    wants_rating = bool(opened.steps) or opened.wants_rating
    out: list[fx.Effect] = []
    if wants_rating and opened.request.kind is requests.WorkKind.CHAT:
        out.append(ask(state, opened))
    if opened.steps:
        opened.is_whole = True
        opened.phase = open_requests.Phase.RATING
        opened.rating_until = now + defaults.RATING_WAIT_S
        return out
    return out + entry_billing.bill(state, opened, now=now)


def ask(
    state: entry_state.EntryState, opened: open_requests.OpenRequest
) -> fx.AskRating:
    """Returns the question to the rating service, and remembers it."""
    request = opened.request
    name = name_answer(request.request_id, opened.attempts)
    state.ratings[name] = entry_state.PendingRating(
        organisation=request.organisation,
        request_class=request.request_class,
        key=opened.row.key,
        after=opened.after,
    )
    entry_state.trim(state.ratings, defaults.MAX_PENDING_RATINGS)
    return fx.AskRating(
        request_id=request.request_id,
        attempt=opened.attempts,
        model=opened.row.model,
        version=opened.row.version,
        request_class=request.request_class,
        answer=chat_assembly.read_text(opened.answer),
    )


def name_answer(request_id: str, attempt: int) -> str:
    """Returns the name that the rating of one answer goes by."""
    return f"{request_id}/{attempt}"


def take_rating(
    state: entry_state.EntryState,
    *,
    now: float,
    received: events.RatingReceived,
) -> list[fx.Effect]:
    """Learns from a rating, and ends or escalates the request it is for."""
    rating = received.rating
    name = name_answer(received.request_id, received.attempt)
    pending = state.ratings.pop(name, None)
    if pending is not None and rating is not None:
        state.evidence.record_rating(pending.key, rating)
        state.cascade.observe(
            organisation=pending.organisation,
            request_class=pending.request_class,
            key=pending.key,
            rating=rating,
            now=now,
            after=pending.after,
        )
    opened = state.open.get(received.request_id)
    if opened is None or opened.phase is not open_requests.Phase.RATING:
        return []
    if opened.attempts != received.attempt:
        return []
    if rating is not None and rating >= opened.threshold:
        opened.steps = []
        return entry_billing.bill(state, opened, now=now)
    shown = "none" if rating is None else f"{rating:.2f}"
    opened.step_reason = f"rating {shown}"
    return entry_cascade.begin(state, opened, now=now)


def watch(
    state: entry_state.EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
) -> list[fx.Effect]:
    """Goes on without a rating that doesn't come in time."""
    if now < min(opened.rating_until, opened.deadline):
        return []
    opened.step_reason = "no rating in time"
    return entry_cascade.begin(state, opened, now=now)
