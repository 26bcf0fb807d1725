"""Chooses the model size of requests to routes that allow several.

The router calls `choose_first` before the first attempt, and `step_up` when
the head of an answer reports the model's confidence, before any of the answer
is sent to the caller.
"""

import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SizeContext:
    """The properties of a request that decide its model size.

    Attributes:
        sizes: Names of the models that may answer, smallest first.
        left_s: Time left until the request's deadline, in seconds.
        target_latency_left_s: Time left until the route's target latency, in
            seconds; negative after it.
        prompt_tokens: Length of the prompt, in tokens.
        expected_output_tokens: Expected length of the answer, in tokens; 0 if
            unknown.
    """

    sizes: tuple[str, ...]
    left_s: float
    target_latency_left_s: float
    prompt_tokens: int
    expected_output_tokens: int


class SizePolicy(Protocol):
    """A policy that chooses model sizes."""

    def choose_first(self, context: SizeContext) -> str:
        """Returns the model of the first attempt."""

    def step_up(
        self, context: SizeContext, *, model: str, confidence: int
    ) -> str | None:
        """Returns the model to retry with, or None to keep the answer."""


class SmallestThenLargest:
    """Uses the smallest model, and the largest if its confidence is low."""

    def choose_first(self, context: SizeContext) -> str:
        """Returns the smallest model."""
        return context.sizes[0]

    def step_up(
        self, context: SizeContext, *, model: str, confidence: int
    ) -> str | None:
        """Returns the largest model if confidence is low and time is left."""
        largest = context.sizes[-1]
        if model == largest or confidence >= defaults.STEP_UP_CONFIDENCE:
            return None
        if context.left_s < defaults.STEP_UP_MIN_S:
            return None
        return largest


class LargestOnly:
    """Always uses the largest model: the baseline of comparisons."""

    def choose_first(self, context: SizeContext) -> str:
        """Returns the largest model."""
        return context.sizes[-1]

    def step_up(
        self, context: SizeContext, *, model: str, confidence: int
    ) -> str | None:
        """Returns None, as there is no larger model."""
        del context, model, confidence
        return None
