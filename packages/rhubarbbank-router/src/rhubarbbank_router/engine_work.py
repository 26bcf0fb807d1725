"""Estimates how much work the attempts under way still are for an engine.

Reading a prompt holds up all others on its engine, while an answer that is
being generated costs them little. So the wait at an engine is about the time
to read what is queued there. Each entry knows its own attempts exactly; the
speed at which a model reads is learnt from the time to first events.
"""

import math

from rhubarbbank_router import attempt_states
from rhubarbbank_router import callers
from rhubarbbank_router import defaults

ModelKey = tuple[str, str]


class PrefillSpeeds:
    """Reading speeds by service and model, in tokens per second.

    Waiting behind others only ever makes a prompt look slow to read, so that
    a high quantile of what is seen comes near the speed of an idle engine.

    Attributes:
        speeds: Logarithms of the speeds, since models differ by factors.
    """

    def __init__(self) -> None:
        self.speeds: dict[ModelKey, float] = {}

    def find(self, service: str, model: str) -> float:
        """Returns a model's speed."""
        known = self.speeds.get((service, model))
        if known is None:
            return defaults.INITIAL_PREFILL_TOKENS_PER_S
        return math.exp(known)

    def learn(
        self, attempt: attempt_states.Attempt, *, waited_s: float
    ) -> None:
        """Learns from the time to an attempt's first event.

        Args:
            attempt: The attempt.
            waited_s: From sending to the first event.
        """
        if attempt.unread_tokens < defaults.MIN_TOKENS_TO_LEARN:
            return
        reading_s = max(waited_s - defaults.ENGINE_LATENCY_S, waited_s / 4.0)
        sample = math.log(attempt.unread_tokens / max(reading_s, 0.001))
        key = (attempt.service, attempt.model)
        known = self.speeds.get(key)
        if known is None:
            self.speeds[key] = sample
            return
        quantile = defaults.PREFILL_SPEED_QUANTILE
        step = quantile if sample > known else quantile - 1.0
        self.speeds[key] = known + defaults.PREFILL_SPEED_LOG_STEP * step


def count_uncached_tokens(
    facts: callers.GenerationFacts | None, kept_tokens: int
) -> int:
    """Returns how many tokens of a prompt an engine must still read."""
    if facts is None:
        return 0
    return max(0, facts.prompt_tokens - kept_tokens)


def estimate_remaining_s(
    attempt: attempt_states.Attempt, *, now: float
) -> float:
    """Returns how long an attempt still holds up others, in seconds."""
    if attempt.first_event_at is not None:
        return attempt.work_s * defaults.DECODE_WORK_SHARE
    # While it waits behind others it loses nothing; the estimate never ends
    # before the first event does.
    begun_s = max(0.0, now - attempt.sent_at - attempt.backlog_s)
    return max(attempt.work_s - begun_s, attempt.work_s / 4.0)
