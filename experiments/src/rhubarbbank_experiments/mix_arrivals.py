"""Draws the requests of a mix, the same for every arm that plays them.

All that chance decides about a request is drawn here, before it is played: so
two arms differ by their decisions alone.
"""

import dataclasses
import math
import random

from rhubarbbank_experiments import mix_settings
from rhubarbbank_router import callers

# The load goes up and down by this share, in waves of this length.
WAVE_SHARE = 0.15
WAVE_S = 11.0
# How uneven sessions are: the weight of the n-th falls with this power.
SESSION_SKEW = 0.3
# What a model says of its answer, against how much too hard the request is:
# 50 at the border, with this slope and this noise (measured on a quiet day:
# 13 in 100 say 0, 31 say 100, the others lie evenly between).
CONFIDENCE_MIDDLE = 50.0
CONFIDENCE_SLOPE = 170.0
CONFIDENCE_NOISE = 12.0
# Callers' estimates of an answer's length: sigma of the logarithm.
HINT_SIGMA = 0.5
LEAST_TOKENS = 1
# Work of one request in this many takes five times as long.
TAIL_EVERY = 100
TAIL_TIMES = 5.0
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request, with all that chance decides of it.

    Attributes:
        number: Tells requests apart.
        at: When it comes, in seconds.
        entry: Which entry it comes to.
        wanted: Its class.
        generation: What it asks of a model; None where none answers.
        answer_tokens: Length of its answer.
        hardness: Models below this quality answer it poorly.
        noises: Noise of the models' confidence, by model.
        work_s: Time that a service works on it, by attempt.
        fails: Whether the service fails, by attempt.
    """

    number: int
    at: float
    entry: int
    wanted: mix_settings.MixClass
    generation: callers.GenerationParameters | None
    answer_tokens: int
    hardness: float
    noises: dict[str, float]
    work_s: tuple[float, ...]
    fails: tuple[bool, ...]

    def is_poor(self, model: mix_settings.MixModel) -> bool:
        """Returns whether the request is too hard for a model."""
        return self.hardness > model.quality

    def rate_confidence(self, model: mix_settings.MixModel) -> int:
        """Returns a model's opinion of its answer, 0 to 100."""
        spare = model.quality - self.hardness
        opinion = CONFIDENCE_MIDDLE + CONFIDENCE_SLOPE * spare
        opinion += CONFIDENCE_NOISE * self.noises[model.name]
        return round(min(100.0, max(0.0, opinion)))


def draw_arrivals(
    mix: mix_settings.Mix, *, load: float, duration_s: float, seed: int
) -> list[Arrival]:
    """Returns the requests of one run, in the order of their arrival.

    Args:
        mix: The site.
        load: Times the site's usual requests.
        duration_s: How long requests come.
        seed: Of all that chance decides.
    """
    rng = random.Random(f"{mix.name}/{seed}")
    shares = [each.share for each in mix.classes]
    most_per_s = mix.requests_per_s * load * (1.0 + WAVE_SHARE)
    arrivals: list[Arrival] = []
    at = rng.expovariate(most_per_s)
    while at < duration_s:
        wave = 1.0 + WAVE_SHARE * math.sin(2.0 * math.pi * at / WAVE_S)
        if rng.random() * (1.0 + WAVE_SHARE) < wave:
            wanted = rng.choices(mix.classes, shares)[0]
            arrivals.append(draw(mix, wanted, rng, len(arrivals), at))
        at += rng.expovariate(most_per_s)
    return arrivals


def draw(
    mix: mix_settings.Mix,
    wanted: mix_settings.MixClass,
    rng: random.Random,
    number: int,
    at: float,
) -> Arrival:
    """Draws one request of a class."""
    answer_tokens = 0
    generation = None
    if wanted.prompt is not None and wanted.answer is not None:
        answer_tokens = draw_tokens(wanted.answer, rng)
        prompt = draw_prompt(wanted, wanted.prompt, rng, number)
        generation = callers.GenerationParameters(
            prompt=prompt,
            prompt_tokens=sum(each.tokens for each in prompt),
            max_output_tokens=wanted.answer.most,
            expected_output_tokens=round(
                answer_tokens * rng.lognormvariate(0.0, HINT_SIGMA)
            ),
        )
    work = [draw_work_s(wanted, rng) for _ in range(wanted.attempts)]
    return Arrival(
        number=number,
        at=at,
        entry=rng.randrange(mix.entries),
        wanted=wanted,
        generation=generation,
        answer_tokens=answer_tokens,
        hardness=rng.random(),
        noises={each.name: rng.gauss(0.0, 1.0) for each in mix.models},
        work_s=tuple(work),
        fails=tuple(rng.random() < wanted.error_share for _ in work),
    )


def draw_tokens(spread: mix_settings.TokenSpread, rng: random.Random) -> int:
    """Draws a length."""
    location = math.log(spread.mean) - spread.sigma**2 / 2.0
    found = round(rng.lognormvariate(location, spread.sigma))
    return min(spread.most, max(LEAST_TOKENS, found))


def draw_prompt(
    wanted: mix_settings.MixClass,
    spread: mix_settings.TokenSpread,
    rng: random.Random,
    number: int,
) -> tuple[callers.PromptPart, ...]:
    """Draws a prompt: a common beginning, its session's part, and its own."""
    total = draw_tokens(spread, rng)
    shared = min(wanted.shared_tokens, total // 4)
    weights = [(x + 1.0) ** -SESSION_SKEW for x in range(wanted.sessions)]
    session = rng.choices(range(wanted.sessions), weights)[0]
    kept = min(wanted.session_tokens, total // 2)
    beginning = rng.randrange(wanted.shared_parts)
    parts = (
        (f"{wanted.name}-all-{beginning}", shared),
        (f"{wanted.name}-session-{session}", kept),
        (f"own-{number}", total - shared - kept),
    )
    return tuple(
        callers.PromptPart(part_id=name, tokens=tokens)
        for name, tokens in parts
        if tokens
    )


def draw_work_s(wanted: mix_settings.MixClass, rng: random.Random) -> float:
    """Draws how long a service works on a request."""
    if not wanted.work_ms:
        return 0.0
    sigma = wanted.work_sigma
    work_ms = wanted.work_ms * rng.lognormvariate(-(sigma**2) / 2.0, sigma)
    if rng.randrange(TAIL_EVERY) == 0:
        work_ms *= TAIL_TIMES
    return work_ms / MS_PER_S
