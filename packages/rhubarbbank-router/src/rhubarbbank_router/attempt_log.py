"""Builds the log line on the outcome of one attempt.

`answer_heads`, `answers`, `attempt_ends` and `timeouts` log one for each
attempt that ends without delivering the caller's answer.
"""

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import attempt_states
from rhubarbbank_router import state as states


def list_shared_parts(opened: states.OpenRequest) -> str:
    """Returns the ids of a prompt's shared parts, separated by commas."""
    generation = opened.request.generation
    if generation is None:
        return ""
    return ",".join(generation.shared_part_ids)


def build_attempt_line(
    opened: states.OpenRequest,
    attempt: attempt_states.Attempt,
    *,
    decision: str,
    reason: str,
    inputs: tuple[fx.LogInput, ...] = (),
) -> fx.LogDecision:
    """Returns the log line on an attempt.

    Args:
        opened: The request.
        attempt: The attempt.
        decision: Name of the decision, such as `unreached`.
        reason: Why it was made.
        inputs: Names and values of what it was based on.
    """
    return fx.LogDecision(
        decision=decision,
        request_id=opened.request.attempt_id,
        upstream=attempt.upstream,
        reason=reason,
        attempt=attempt.number,
        inputs=inputs,
    )
