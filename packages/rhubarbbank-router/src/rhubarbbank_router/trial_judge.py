"""Sequential test of a new version that needs few answers.

The test uses Wald's likelihood ratio, averaged over several alternative rates.
If the target is no worse, the expected ratio is at most 1, so that the ratio
exceeds 1/alpha with probability at most alpha, however often it is evaluated.
If the incumbent hardly fails, about three failures in six answers suffice.
`sequential_test` in `rhubarbbank_core` treats the incumbent's rate as unknown
and needs dozens of answers: more than the trial share of a small deployment
receives in half of a roll-out.
"""

import math

from rhubarbbank_router import defaults
from rhubarbbank_router import version_trial

# Prior of the incumbent's rate, as pseudo-counts: this many answers, of which
# one was bad. The target, with a tenth of the traffic, has given about three
# answers when the incumbent has given this many.
PRIOR_ANSWERS = 30.0
# If more than half of the incumbent's answers are bad, an increase isn't
# attributed to the version.
MAX_BASE_RATE = 0.5
# Log likelihood ratio that favours neither hypothesis.
NO_EVIDENCE = 0.0
# Alternative hypotheses: increases over the tolerated rate. Operators consider
# a version bad if the rate rises by some tenths.
RATE_INCREASES = (0.1, 0.2, 0.4)
# Keeps the logarithms finite.
MAX_RATE = 0.95
# Failures, slow answers and dragging answers; the significance level is
# divided by their number (Bonferroni correction).
MEASURES = 3


class LikelihoodJudge:
    """Applies the sequential test to failures, latency and pace."""

    def is_worse(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
    ) -> bool:
        """Returns whether the evidence shows that the target is worse."""
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

        The plan sets the required ratio. For a small share it is larger,
        since few requests are at risk and more answers settle the question.
        """
        ratio = plan.doubt_ratio
        if share <= defaults.TRIAL_SMALL_SHARE:
            ratio = defaults.TRIAL_SMALL_SHARE_DOUBT_RATIO
        return self.compute_log_ratio(evidence, plan) > math.log(ratio)

    def compute_log_ratio(
        self,
        evidence: version_trial.TrialEvidence,
        plan: version_trial.TrialPlan,
    ) -> float:
        """Returns the highest log likelihood ratio of all comparisons.

        The ratio of each single route is divided by the number of routes, to
        correct for multiple comparisons.
        """
        pooled = find_max_log_ratio(evidence.pooled, plan)
        if not evidence.routes:
            return pooled
        routes = max(
            find_max_log_ratio(each, plan) for each in evidence.routes.values()
        )
        return max(pooled, routes - math.log(len(evidence.routes)))


def find_max_log_ratio(
    comparison: version_trial.Comparison, plan: version_trial.TrialPlan
) -> float:
    """Returns the highest log likelihood ratio of the three measures."""
    target, incumbent = comparison.target, comparison.incumbent
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
    """Rejects the target after a fixed number of bad answers.

    A naive baseline for comparison.

    Attributes:
        bad_answers: Bad answers from which the target counts as worse.
    """

    def __init__(self, *, bad_answers: int = 5) -> None:
        self.bad_answers = bad_answers

    def is_worse(
        self,
        evidence: version_trial.TrialEvidence,
        *,
        plan: version_trial.TrialPlan,
    ) -> bool:
        """Returns whether the target has given too many bad answers."""
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
        """Returns the same as `is_worse`; this judge has a single threshold."""
        del share
        return self.is_worse(evidence, plan=plan)


def estimate_rate(bad: int, count: int) -> float:
    """Returns the estimated rate, biased upwards if there are few answers."""
    return (bad + 1.0) / (count + PRIOR_ANSWERS)


def log_likelihood_ratio(*, bad: int, count: int, base_rate: float) -> float:
    """Returns the log likelihood ratio of "worse" against the base rate.

    Args:
        bad: Number of bad answers.
        count: Number of all answers.
        base_rate: The highest tolerated rate.
    """
    if base_rate > MAX_BASE_RATE:
        return NO_EVIDENCE
    base = base_rate
    good = count - bad
    ratios = []
    for increase in RATE_INCREASES:
        rate = min(MAX_RATE, base + increase)
        ratios.append(
            bad * math.log(rate / base)
            + good * math.log((1.0 - rate) / (1.0 - base))
        )
    highest = max(ratios)
    total = sum(math.exp(ratio - highest) for ratio in ratios)
    return highest + math.log(total / len(ratios))
