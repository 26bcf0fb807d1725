"""Generated roll-outs of a plain service, from the order to the deadline."""

import dataclasses
import random

from behave import then
from behave import when

from rhubarbbank_router import trial_judge
from rhubarbbank_router import version_trial

# Requests in a second, of a small deployment's plain service.
RATE_PER_S = 10.0
DURATION_S = 15.0
STEP_S = 0.05
ADVANCE_EVERY = 5
# Peers hear of an answer with the next heartbeat.
HEARD_AFTER_S = 0.5
# The agreed bound: this share of the service's requests, and some more.
EXPOSED_SHARE = 0.15
EXPOSED_MORE = 30
# Of plain answers beside crashes, those that are whole and a success.
TOLD_SHARE = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """How the answers of one version come: shares of all."""

    failed: float
    slow: float
    drag: float

    def draw(self, rng):
        told = rng.random() < TOLD_SHARE
        return version_trial.AnswerCounts().add(
            failed=rng.random() < self.failed,
            slow=rng.random() < self.slow,
            dragging=rng.random() < self.drag if told else None,
        )


@dataclasses.dataclass(kw_only=True)
class Rollout:
    """One generated roll-out.

    Attributes:
        requests: Of the service, until the deadline.
        exposed: Those that went to the target.
        whole_at: When the target began to get everything, or None.
        held: Whether the target was given up.
    """

    requests: int = 0
    exposed: int = 0
    whole_at: float | None = None
    held: bool = False

    @property
    def is_over_bound(self):
        return self.exposed > EXPOSED_SHARE * self.requests + EXPOSED_MORE


def play(seed, before, after, plan):
    """Plays one roll-out with a trial that is told the answers late."""
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
    found = Rollout()
    waiting = []
    for tick in range(round(DURATION_S / STEP_S)):
        now = tick * STEP_S
        if rng.random() < RATE_PER_S * STEP_S:
            found.requests += 1
            on_target = rng.random() < trial.share
            found.exposed += on_target
            version = "v2" if on_target else "v1"
            counts = (after if on_target else before).draw(rng)
            waiting.append((now + HEARD_AFTER_S, version, counts))
        while waiting and waiting[0][0] <= now:
            _, version, counts = waiting.pop(0)
            trial.add_counts(route="look", version=version, counts=counts)
        if tick % ADVANCE_EVERY == 0:
            trial.advance(trial.own_evidence, now=now)
        if trial.has_all_traffic and found.whole_at is None:
            found.whole_at = now
    found.held = trial.held
    return found


@when(
    "{count:d} roll-outs of a plain service are generated, of whose answers"
    " {failed:g} fail, {slow:g} are slow and {drag:g} drag before, and"
    " {new_failed:g}, {new_slow:g} and {new_drag:g} after"
)
def generate(  # noqa: PLR0917
    context, count, failed, slow, drag, new_failed, new_slow, new_drag
):
    before = Kind(failed=failed, slow=slow, drag=drag)
    after = Kind(failed=new_failed, slow=new_slow, drag=new_drag)
    context.found = [
        play(seed, before, after, version_trial.PLAIN_PLAN)
        for seed in range(count)
    ]


def count_share(context, matches):
    percent = 100.0 * sum(map(matches, context.found)) / len(context.found)
    print(f"{percent:.1f} %")
    return percent


@then("at most {percent:g} % of them expose more requests than is agreed")
def check_exposed(context, percent):
    found = count_share(context, lambda x: x.is_over_bound)
    assert found <= percent, found


@then("at least {percent:g} % get everything within {share:g} of their time")
def check_whole(context, percent, share):
    latest_s = share * DURATION_S
    found = count_share(
        context,
        lambda x: (
            x.whole_at is not None and x.whole_at <= latest_s and not x.held
        ),
    )
    assert found >= percent, found
