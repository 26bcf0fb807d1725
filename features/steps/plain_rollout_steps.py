"""Generated roll-outs of a plain service, from the order to the deadline."""

import dataclasses
import random

from behave import then
from behave import when

from rhubarbbank_router import trial_judge
from rhubarbbank_router import version_trial

# Request rate of a plain service in a small deployment.
RATE_PER_S = 10.0
DURATION_S = 15.0
STEP_S = 0.05
STEPS_PER_ADVANCE = 5
# Peers learn of an answer from the next heartbeat.
REPORT_DELAY_S = 0.5
# Agreed limit of requests on a bad version: a share of the service's requests
# plus a fixed number.
MAX_EXPOSED_SHARE = 0.15
MAX_EXPOSED_EXTRA = 30
# Share of plain answers that are complete and successful while upstreams crash.
PACED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerShares:
    """Shares of failed, slow and dragging answers of one version."""

    failed: float
    slow: float
    drag: float

    def draw(self, rng):
        is_paced = rng.random() < PACED_SHARE
        return version_trial.AnswerCounts().add(
            failed=rng.random() < self.failed,
            slow=rng.random() < self.slow,
            dragging=rng.random() < self.drag if is_paced else None,
        )


@dataclasses.dataclass(kw_only=True)
class Rollout:
    """One generated roll-out.

    Attributes:
        requests: The service's requests until the deadline.
        exposed: Requests that ran on the target.
        all_traffic_at: When the target first got all requests, or None.
        held: Whether the target was held.
    """

    requests: int = 0
    exposed: int = 0
    all_traffic_at: float | None = None
    held: bool = False

    @property
    def is_over_limit(self):
        return (
            self.exposed > MAX_EXPOSED_SHARE * self.requests + MAX_EXPOSED_EXTRA
        )


def simulate(seed, before, after, plan):
    """Simulates one roll-out whose trial learns of the answers late."""
    rng = random.Random(seed)
    trial = version_trial.VersionTrial(
        order=version_trial.RolloutOrder(
            service="plain",
            target="v2",
            duration_s=DURATION_S,
            state=version_trial.OrderState.RUNNING,
            revision=2,
            created_revision=1,
        ),
        judge=trial_judge.LikelihoodJudge(),
        plan=plan,
        now=0.0,
    )
    rollout = Rollout()
    waiting = []
    for tick in range(round(DURATION_S / STEP_S)):
        now = tick * STEP_S
        if rng.random() < RATE_PER_S * STEP_S:
            rollout.requests += 1
            on_target = rng.random() < trial.share
            rollout.exposed += on_target
            version = "v2" if on_target else "v1"
            counts = (after if on_target else before).draw(rng)
            waiting.append((now + REPORT_DELAY_S, version, counts))
        while waiting and waiting[0][0] <= now:
            _, version, counts = waiting.pop(0)
            trial.add_counts(route="look", version=version, counts=counts)
        if tick % STEPS_PER_ADVANCE == 0:
            trial.advance(trial.own_evidence, now=now)
        if trial.has_all_traffic and rollout.all_traffic_at is None:
            rollout.all_traffic_at = now
    rollout.held = trial.held
    return rollout


@when(
    "{count:d} roll-outs of a plain service are generated with shares"
    " {failed:g} failed, {slow:g} slow and {drag:g} dragging before, and"
    " {new_failed:g}, {new_slow:g} and {new_drag:g} after"
)
def simulate_rollouts(  # noqa: PLR0917
    context, count, failed, slow, drag, new_failed, new_slow, new_drag
):
    before = AnswerShares(failed=failed, slow=slow, drag=drag)
    after = AnswerShares(failed=new_failed, slow=new_slow, drag=new_drag)
    context.rollouts = [
        simulate(seed, before, after, version_trial.PLAIN_PLAN)
        for seed in range(count)
    ]


def find_percentage(context, matches):
    percent = (
        100.0 * sum(map(matches, context.rollouts)) / len(context.rollouts)
    )
    print(f"{percent:.1f} %")
    return percent


@then("at most {percent:g} % of them expose more requests than agreed")
def check_exposed(context, percent):
    matching = find_percentage(context, lambda x: x.is_over_limit)
    assert matching <= percent, matching


@then(
    "in at least {percent:g} % of them the target gets all requests within"
    " {share:g} of the duration"
)
def check_all_traffic(context, percent, share):
    latest_s = share * DURATION_S
    matching = find_percentage(
        context,
        lambda x: (
            x.all_traffic_at is not None
            and x.all_traffic_at <= latest_s
            and not x.held
        ),
    )
    assert matching >= percent, matching
