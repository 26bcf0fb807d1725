"""Estimates how much work open attempts still are for an engine.

The prefill of a prompt delays all other requests on its engine, while
generating tokens delays them little. So the wait at an engine is about the
prefill time of the prompts that are queued there. Each entry knows its own
attempts exactly; it learns a model's prefill speed from the times to first
events.
"""

import math

from rhubarbbank_router import attempt_states
from rhubarbbank_router import callers
from rhubarbbank_router import defaults

ModelKey = tuple[str, str]


class PrefillSpeeds:
    """Prefill speeds by service and model, in tokens per second.

    Queueing can only make prefill look slower than it is, so a high quantile
    of the observed speeds is close to the speed of an idle engine.

    Attributes:
        speeds: Logarithms of the speeds, since models differ by factors.
    """

    def __init__(self) -> None:
        self.speeds: dict[ModelKey, float] = {}

    def find(self, service: str, model: str) -> float:
        """Returns a model's estimated speed."""
        known = self.speeds.get((service, model))
        if known is None:
            return defaults.INITIAL_PREFILL_TOKENS_PER_S
        return math.exp(known)

    def learn(
        self, attempt: attempt_states.Attempt, *, waited_s: float
    ) -> None:
        """Updates the estimate with the time to an attempt's first event.

        Args:
            attempt: The attempt.
            waited_s: Time from sending to the first event.
        """
        if attempt.uncached_tokens < defaults.MIN_TOKENS_TO_LEARN:
            return
        prefill_s = max(waited_s - defaults.ENGINE_LATENCY_S, waited_s / 4.0)
        sample = math.log(attempt.uncached_tokens / max(prefill_s, 0.001))
        key = (attempt.service, attempt.model)
        known = self.speeds.get(key)
        if known is None:
            self.speeds[key] = sample
            return
        quantile = defaults.PREFILL_SPEED_QUANTILE
        step = quantile if sample > known else quantile - 1.0
        self.speeds[key] = known + defaults.PREFILL_SPEED_LOG_STEP * step


def count_uncached_tokens(
    facts: callers.GenerationParameters | None, cached_tokens: int
) -> int:
    """Returns the number of a prompt's tokens that need prefill."""
    if facts is None:
        return 0
    return max(0, facts.prompt_tokens - cached_tokens)


def estimate_remaining_s(
    attempt: attempt_states.Attempt, *, now: float
) -> float:
    """Returns for how long an attempt still delays others, in seconds."""
    if attempt.first_event_at is not None:
        return attempt.prefill_s * defaults.DECODE_WORK_SHARE
    # The work doesn't shrink while the attempt is queued, and isn't taken as
    # done before the first event has come.
    elapsed_s = max(0.0, now - attempt.sent_at - attempt.backlog_s)
    return max(attempt.prefill_s - elapsed_s, attempt.prefill_s / 4.0)
