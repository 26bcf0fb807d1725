"""The log line that says what became of one attempt.

`answers` and `timeouts` write one wherever an attempt ends without the answer
that the caller gets.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import state as states


def log_attempt(
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    decision: str,
    reason: str,
    inputs: tuple[fx.LogInput, ...] = (),
) -> fx.LogDecision:
    """Returns the line on an attempt.

    Args:
        opened: The request.
        attempt: The attempt.
        decision: What became of it.
        reason: Why.
        inputs: What decided it, by name.
    """
    return fx.LogDecision(
        decision=decision,
        request_id=opened.request.attempt_id,
        upstream=attempt.upstream,
        reason=reason,
        attempt=attempt.number,
        inputs=inputs,
    )
