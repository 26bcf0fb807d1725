"""Judges a new version from few answers, at any time.

Wald's likelihood ratio, averaged over several ways of being worse: under a
version that is no worse its expectation stays at most 1, so that it passes
1/alpha with probability alpha at most, however often one looks. It needs
about three failures in six answers where the incumbent hardly fails, far
fewer than `sequential_test` in `rhubarbbank_core`, which takes the
incumbent's rate as unknown and so waits for dozens of answers: more than the
trial share of a small deployment brings in half of a roll-out.
"""

import math

from rhubarbbank_router import defaults
from rhubarbbank_router import version_trial

# The incumbent's rate is taken as if it had shown this many answers more, of
# which one was bad: about what it has shown when the first of the target come
# in (a tenth of the traffic, three answers).
PRIOR_ANSWERS = 30.0
# Where half of all answers are bad, a rise tells nothing of the version.
MAX_BASE_RATE = 0.5
# Log likelihood ratio that speaks for neither.
NO_EVIDENCE = 0.0
# Rates above the tolerated one that count as worse: operators call a version
# bad from a rise of some tenths on.
RISES = (0.1, 0.2, 0.4)
# Keeps the logarithms finite.
MAX_RATE = 0.95
# Failures, slow answers, dragging streams.
MEASURES = 3


class LikelihoodJudge:
    """Compares failures, slow answers and the pace of streams."""

    def is_worse(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
    ) -> bool:
        """Returns whether the evidence speaks against the target."""
        limit = math.log(MEASURES / defaults.TRIAL_FALSE_ALARM)
        return self.compute_log_ratio(evidence, plan) >= limit

    def is_doubtful(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
        share: float,
    ) -> bool:
        """Returns whether "worse" is likelier than "no worse".

        The plan says by which factor; for a small share it has to be larger:
        little is at stake, and more answers are what tells.
        """
        ratio = plan.doubt_ratio
        if share <= defaults.TRIAL_SMALL_SHARE:
            ratio = defaults.TRIAL_SMALL_SHARE_HOLD_RATIO
        return self.compute_log_ratio(evidence, plan) > math.log(ratio)

    def compute_log_ratio(
        self,
        evidence: version_trial.TrialEvidence,
        plan: version_trial.TrialPlan,
    ) -> float:
        """Returns the highest log likelihood ratio of all comparisons.

        Routes that are looked at beside the whole are paid for: their
        ratios are divided by their number.
        """
        whole = find_max_log_ratio(evidence.pooled, plan)
        if not evidence.routes:
            return whole
        routes = max(
            find_max_log_ratio(each, plan) for each in evidence.routes.values()
        )
        return max(whole, routes - math.log(len(evidence.routes)))


def find_max_log_ratio(
    found: version_trial.Comparison, plan: version_trial.TrialPlan
) -> float:
    """Returns the log likelihood ratio for the worst of the measures."""
    target, incumbent = found.target, found.incumbent
    failures = log_likelihood_ratio(
        bad=target.failures,
        count=target.answers,
        base_rate=estimate_rate(incumbent.failures, incumbent.answers)
        + defaults.TRIAL_ERROR_TOLERANCE,
    )
    slow = log_likelihood_ratio(
        bad=target.slow,
        count=target.timed,
        base_rate=estimate_rate(incumbent.slow, incumbent.timed)
        + defaults.TRIAL_SLOW_TOLERANCE,
    )
    dragging = log_likelihood_ratio(
        bad=target.dragging,
        count=target.paced,
        base_rate=estimate_rate(incumbent.dragging, incumbent.paced)
        + plan.drag_tolerance,
    )
    return max(failures, slow, dragging)


class FixedCountJudge:
    """The naive baseline: a fixed number of bad answers is too many.

    Attributes:
        bad_answers: The number.
    """

    def __init__(self, *, bad_answers: int = 5) -> None:
        self.bad_answers = bad_answers

    def is_worse(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
    ) -> bool:
        """Returns whether the evidence speaks against the target."""
        del plan
        target = evidence.pooled.target
        return target.failures + target.slow >= self.bad_answers

    def is_doubtful(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
        share: float,
    ) -> bool:
        """Returns the same: a fixed number knows no doubt."""
        del share
        return self.is_worse(evidence, plan=plan)


def estimate_rate(bad: int, count: int) -> float:
    """Returns the incumbent's rate, on the cautious side for few answers."""
    return (bad + 1.0) / (count + PRIOR_ANSWERS)


def log_likelihood_ratio(*, bad: int, count: int, base_rate: float) -> float:
    """Returns the log likelihood ratio of "worse" against "at the rate".

    Args:
        bad: Bad answers seen.
        count: All answers seen.
        base_rate: The highest rate that is let pass.
    """
    if base_rate > MAX_BASE_RATE:
        return NO_EVIDENCE
    base = base_rate
    good = count - bad
    ratios = []
    for rise in RISES:
        rate = min(MAX_RATE, base + rise)
        ratios.append(
            bad * math.log(rate / base)
            + good * math.log((1.0 - rate) / (1.0 - base))
        )
    highest = max(ratios)
    total = sum(math.exp(ratio - highest) for ratio in ratios)
    return highest + math.log(total / len(ratios))
