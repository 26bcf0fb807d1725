"""Places requests where their first event is expected soonest.

The load that this answers: prompts of very different length and models of
very different speed on engines that batch, where a long prompt delays the
tokens of all others. Counting requests, as `ExpectedWaitPlacement` does,
takes a plan of 12,000 tokens for a chat of 800.

The estimate adds the work at the upstream, this entry's own and what the
others tell of theirs, the time to read what the upstream doesn't keep of the
prompt, and the way there. Reports in answers count only where they show that
requests wait for a slot: as they count for less with their age, the upstream
that hasn't answered lately would look empty to all entries, which would meet
there. The upstream that all entries prefer for the same prompt gets
a small credit, so that they meet where its parts are kept.
"""

import collections.abc
import math
import random

from rhubarbbank_core import placement
from rhubarbbank_router import defaults

MS_PER_S = 1000.0


class WorkPlacement:
    """Chooses the upstream with the least expected time to a first event.

    Attributes:
        rng: Draws the candidates to compare where there are many.
        choices: How many are compared at most.
        affinity_credit_s: How much longer the preferred upstream may take.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        choices: int = defaults.PLACEMENT_CHOICES,
        affinity_credit_s: float = defaults.AFFINITY_CREDIT_S,
    ) -> None:
        self.rng = rng
        self.choices = choices
        self.affinity_credit_s = affinity_credit_s

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[placement.Candidate],
        request: placement.PlacementRequest,
    ) -> placement.PlacementDecision | None:
        """Returns the choice, or None when no candidate may be used."""
        usable = placement.list_usable(candidates, request)
        if not usable:
            return None
        sample = self.draw_sample(usable, request.session_upstream)
        best = min(sample, key=lambda each: self.score(each, request))
        return placement.PlacementDecision(
            upstream=best.name,
            reason=find_reason(best, request, len(usable)),
            expected_wait_s=estimate_s(best, request),
        )

    def score(
        self,
        candidate: placement.Candidate,
        request: placement.PlacementRequest,
    ) -> float:
        """Returns the expected time, less the credit of the preferred one."""
        expected_s = estimate_s(candidate, request)
        if candidate.name == request.session_upstream:
            credit_s = request.session_credit_s
            if credit_s is None:
                credit_s = self.affinity_credit_s
            expected_s -= credit_s
        return expected_s

    def draw_sample(
        self, usable: list[placement.Candidate], preferred: str
    ) -> list[placement.Candidate]:
        """Returns the candidates to compare, in random order."""
        sample = self.rng.sample(usable, min(self.choices, len(usable)))
        kept = [
            each
            for each in usable
            if (each.cached_blocks or each.name == preferred)
            and each not in sample
        ]
        return sample + kept


def estimate_s(
    candidate: placement.Candidate, request: placement.PlacementRequest
) -> float:
    """Returns the expected time to the first event, in seconds."""
    weight = math.exp(-candidate.report_age_s / defaults.REPORT_DECAY_S)
    reported = weight * placement.count_others(candidate)
    others = max(reported, candidate.told_in_flight)
    full = candidate.own_in_flight + others + 1.0 - candidate.max_batch
    queued = max(0.0, full) / candidate.max_batch
    uncached = max(0, request.prompt_blocks - candidate.cached_blocks)
    return (
        candidate.backlog_s
        + queued * candidate.service_s
        + uncached * request.prefill_s_per_block
        + candidate.latency_ms / MS_PER_S
    )


def find_reason(
    chosen: placement.Candidate,
    request: placement.PlacementRequest,
    count: int,
) -> placement.PlacementReason:
    """Returns why an upstream was chosen, for the log."""
    if count == 1:
        return placement.PlacementReason.ONLY_CANDIDATE
    if chosen.name == request.session_upstream:
        return placement.PlacementReason.SESSION
    if chosen.cached_blocks:
        return placement.PlacementReason.PREFIX
    return placement.PlacementReason.LEAST_WAIT
