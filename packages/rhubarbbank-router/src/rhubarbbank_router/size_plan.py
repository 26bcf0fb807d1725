"""Chooses which size of model answers, on routes that allow several.

The router asks `choose_first` before the first attempt and `step_up` when an
answer's head tells the model's confidence in it, before the caller has
received any of it.
"""

import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SizeQuestion:
    """What a plan knows of a request.

    Attributes:
        sizes: Models that may answer, smallest first.
        left_s: Time left until the request's end.
        objective_left_s: Time left within its objective; may be negative.
        prompt_tokens: Length of the prompt.
        expected_output_tokens: Estimate of the answer's length.
    """

    sizes: tuple[str, ...]
    left_s: float
    objective_left_s: float
    prompt_tokens: int
    expected_output_tokens: int


class SizePlan(Protocol):
    """Chooses sizes."""

    def choose_first(self, question: SizeQuestion) -> str:
        """Returns the model to ask first."""

    def step_up(
        self, question: SizeQuestion, *, model: str, confidence: int
    ) -> str | None:
        """Returns the model to ask instead, or None to keep the answer."""


class SmallestThenLargest:
    """Asks the smallest model, and the largest where that one is unsure."""

    def choose_first(self, question: SizeQuestion) -> str:
        """Returns the smallest model."""
        return question.sizes[0]

    def step_up(
        self, question: SizeQuestion, *, model: str, confidence: int
    ) -> str | None:
        """Returns the largest model if the answer seems poor."""
        largest = question.sizes[-1]
        if model == largest or confidence >= defaults.STEP_UP_CONFIDENCE:
            return None
        if question.left_s < defaults.STEP_UP_MIN_S:
            return None
        return largest


class LargestOnly:
    """The naive baseline: always the largest model."""

    def choose_first(self, question: SizeQuestion) -> str:
        """Returns the largest model."""
        return question.sizes[-1]

    def step_up(
        self, question: SizeQuestion, *, model: str, confidence: int
    ) -> str | None:
        """Returns None: the answer is kept."""
        del question, model, confidence
        return None
