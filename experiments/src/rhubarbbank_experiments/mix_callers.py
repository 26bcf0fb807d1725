"""What callers of a mix got, and what it is worth to them."""

import dataclasses

from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_settings

# Share of its worth that an answer earns whose request was too hard.
POOR_SHARE = 0.05
# A generation is worth this much, and the rest by its size; but at most this
# many times the worth of its class. A token out counts as ten tokens in.
FIXED_WORTH = 0.3
MOST_TIMES = 4.0
OUT_TIMES = 10


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """One caller's request and its answer.

    Attributes:
        arrival: What it asked.
        asked_at: When it first asked.
        model: Which model answered; empty for none.
        first_s: From its arrival to the first event or the whole answer.
        last_at: When the last event came.
        longest_pause_s: Between two events.
        is_whole: Whether the answer is complete and a success.
        refusals: How often it was refused.
    """

    arrival: mix_arrivals.Arrival
    asked_at: float
    model: str = ""
    first_s: float | None = None
    last_at: float = 0.0
    longest_pause_s: float = 0.0
    is_whole: bool = False
    refusals: int = 0

    def note_event(self, now: float) -> None:
        """Takes one event of a stream."""
        if self.first_s is None:
            self.first_s = now - self.asked_at
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_at = now

    def is_in_time(self) -> bool:
        """Returns whether the answer is whole and within the objective."""
        wanted = self.arrival.wanted
        return (
            self.is_whole
            and self.first_s is not None
            and self.first_s <= wanted.objective_s
            and self.longest_pause_s <= wanted.pause_s
        )

    def is_poor(self, mix: mix_settings.Mix) -> bool:
        """Returns whether the request was too hard for what answered it."""
        return bool(self.model) and self.arrival.is_poor(
            mix.find_model(self.model)
        )


def size_of(arrival: mix_arrivals.Arrival) -> int:
    """Returns a generation's size, in tokens read."""
    facts = arrival.generation
    return (facts.prompt_tokens if facts else 0) + (
        OUT_TIMES * arrival.answer_tokens
    )


def weigh(arrival: mix_arrivals.Arrival) -> float:
    """Returns how much more than its class's worth a request is worth."""
    wanted = arrival.wanted
    if wanted.prompt is None or wanted.answer is None:
        return 1.0
    mean = wanted.prompt.mean + OUT_TIMES * wanted.answer.mean
    share = (1.0 - FIXED_WORTH) * size_of(arrival) / mean
    return min(MOST_TIMES, FIXED_WORTH + share)


def rate_owed(arrival: mix_arrivals.Arrival) -> float:
    """Returns what an answer in time is worth."""
    return arrival.wanted.worth * weigh(arrival)


def rate_earned(caller: Caller, mix: mix_settings.Mix) -> float:
    """Returns what the caller's answer is worth."""
    if not caller.is_whole:
        return 0.0
    wanted = caller.arrival.wanted
    worth = wanted.worth if caller.is_in_time() else wanted.late_worth
    if caller.is_poor(mix):
        worth *= POOR_SHARE
    return worth * weigh(caller.arrival)
