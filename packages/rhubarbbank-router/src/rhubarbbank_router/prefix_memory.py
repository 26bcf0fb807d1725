"""Estimates which parts of prompts are in an upstream's prefix cache.

Placement asks how much of a new prompt an upstream probably has cached: the
parts that were sent there recently. A part counts only if all parts before it
count, and only for the same model.
"""

import collections

from rhubarbbank_router import callers
from rhubarbbank_router import defaults

PartKey = tuple[str, str, str]


class PrefixMemory:
    """Times of last use by upstream, model and part, oldest first."""

    def __init__(self) -> None:
        self.used_at: collections.OrderedDict[PartKey, float] = (
            collections.OrderedDict()
        )

    def record(
        self,
        *,
        upstream: str,
        model: str,
        prompt: tuple[callers.PromptPart, ...],
        now: float,
    ) -> None:
        """Records that a prompt is sent to an upstream."""
        for part in prompt:
            key = (upstream, model, part.part_id)
            self.used_at[key] = now
            self.used_at.move_to_end(key)
        while len(self.used_at) > defaults.MAX_PREFIX_PARTS:
            self.used_at.popitem(last=False)

    def count_cached_tokens(
        self,
        *,
        upstream: str,
        model: str,
        prompt: tuple[callers.PromptPart, ...],
        now: float,
    ) -> int:
        """Returns how many of the prompt's tokens are probably cached."""
        tokens = 0
        for part in prompt:
            used_at = self.used_at.get((upstream, model, part.part_id))
            if used_at is None or now - used_at > defaults.PREFIX_CACHE_AGE_S:
                break
            tokens += part.tokens
        return tokens
