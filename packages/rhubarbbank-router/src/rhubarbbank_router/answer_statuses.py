"""Decides which statuses of upstreams may be relayed to callers.

Some statuses tell a caller that its request hasn't run and never will, after
which it repeats even a request that must not run twice. An upstream may use
them for a request that it has run: only its explicit statement, which
`answer_heads` handles, says that it hasn't.
"""

import http

from rhubarbbank_router import attempt_states
from rhubarbbank_router import state as states

NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def may_relay(opened: states.OpenRequest, status: int) -> bool:
    """Returns whether a request's caller may get a status from an upstream.

    A request that may be repeated can have any status: its caller loses
    nothing by repeating it, and Retry-After tells it when.
    """
    if status not in NOT_RUN_STATUSES or opened.route.repeatable:
        return True
    return attempt_states.has_not_run(opened.attempts)
