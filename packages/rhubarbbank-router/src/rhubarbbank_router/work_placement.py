"""Places requests where their first event is expected soonest.

It is meant for prompts of very different lengths and models of very different
speeds on batching engines, where a long prompt delays the tokens of all other
requests. Counting requests, as `ExpectedWaitPlacement` does, treats a prompt
of 12,000 tokens like one of 800.

The estimate adds up the work at the upstream (this entry's own and what other
entries report), the prefill time of the part of the prompt that the upstream
doesn't have cached, and the network latency. Load reports in answers count
only where they show that requests wait for a slot. Their weight falls with
their age, so an upstream that hasn't answered recently would look empty to
all entries, and all would send their requests there. The upstream that all
entries prefer for the same prompt gets a small credit, so that such requests
go where parts of the prompt are cached.

On hosts that report how long work takes at the moment (see `host_speed`), the
estimate is longer or shorter by that factor.
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
        rng: Draws the sample of candidates to compare.
        choices: Size of the sample at most.
        affinity_credit_s: How much longer the preferred upstream may take,
            if the request says nothing else.
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
        """Returns the choice, or None if there is no usable candidate."""
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
        """Returns the expected time, less the preferred upstream's credit."""
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
        """Returns a random sample of the candidates.

        It always has the preferred one and those that have a part of the
        prompt cached.
        """
        sample = self.rng.sample(usable, min(self.choices, len(usable)))
        required = [
            each
            for each in usable
            if (each.cached_blocks or each.name == preferred)
            and each not in sample
        ]
        return sample + required


def estimate_s(
    candidate: placement.Candidate, request: placement.PlacementRequest
) -> float:
    """Returns the expected time to the first event, in seconds."""
    weight = math.exp(-candidate.report_age_s / defaults.REPORT_DECAY_S)
    reported = weight * placement.count_peer_requests(candidate)
    others = max(reported, candidate.peer_in_flight)
    excess = candidate.own_in_flight + others + 1.0 - candidate.max_batch
    queued = max(0.0, excess) / candidate.max_batch
    uncached = max(0, request.prompt_blocks - candidate.cached_blocks)
    delayed_s = (
        candidate.backlog_s
        + queued * candidate.service_s
        + uncached * request.prefill_s_per_block
    )
    return (
        candidate.slowdown * delayed_s
        + (candidate.slowdown - 1.0) * request.answer_s
        + candidate.latency_ms / MS_PER_S
    )


def find_reason(
    chosen: placement.Candidate,
    request: placement.PlacementRequest,
    count: int,
) -> placement.PlacementReason:
    """Returns the reason for the choice, for the log."""
    if count == 1:
        return placement.PlacementReason.ONLY_CANDIDATE
    if chosen.name == request.session_upstream:
        return placement.PlacementReason.SESSION
    if chosen.cached_blocks:
        return placement.PlacementReason.PREFIX
    return placement.PlacementReason.LEAST_WAIT
