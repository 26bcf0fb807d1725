"""Steps for the trial judge, and for version trials without a router."""

import random

from behave import given
from behave import then
from behave import when

from rhubarbbank_router import trial_judge
from rhubarbbank_router import version_trial

SERVICE = "pool"


def build_order(duration_s):
    return version_trial.RolloutOrder(
        service=SERVICE,
        target="v2",
        duration_s=duration_s,
        state=version_trial.OrderState.RUNNING,
        revision=41,
        created_revision=40,
    )


@then(
    "of {count:d} generated roll-outs with failure rates {base:g} before and "
    "{target:g} after, {bound} {percent:d} % are held within {answers:d} "
    "answers"
)
def check_failure_rates(context, count, base, target, bound, percent, answers):  # noqa: PLR0917
    share = find_held_share(
        count,
        answers,
        add_old=lambda old, rng: old.add(failed=rng.random() < base),
        add_new=lambda new, rng: new.add(failed=rng.random() < target),
        idle_routes=("plan", "tag"),
    )
    check_share_held(share, bound, percent)


def find_held_share(count, answers, *, add_old, add_new, idle_routes=()):
    """Returns the percentage of generated roll-outs that the judge holds.

    The incumbent gives nine answers for each of the target's. The idle routes
    have no answers.
    """
    judge = trial_judge.LikelihoodJudge()
    held = 0
    for seed in range(count):
        rng = random.Random(seed)
        old = version_trial.AnswerCounts()
        new = version_trial.AnswerCounts()
        for _ in range(answers):
            for _ in range(9):
                old = add_old(old, rng)
            new = add_new(new, rng)
            comparison = version_trial.Comparison(target=new, incumbent=old)
            routes = dict.fromkeys(idle_routes, version_trial.NO_COUNTS)
            evidence = version_trial.TrialEvidence(
                {"chat": comparison} | routes
            )
            if judge.is_worse(evidence, plan=version_trial.STREAM_PLAN):
                held += 1
                break
    return 100.0 * held / count


# Share of streams that have enough events to determine their pace.
PACED_SHARE = 0.55


def add_timed(counts, rng, slow, drag):
    """Adds an answer; the pace of some streams is unknown."""
    dragging = None
    if drag != "unknown" and rng.random() < PACED_SHARE:
        dragging = rng.random() < float(drag)
    return counts.add(failed=False, slow=rng.random() < slow, dragging=dragging)


@then(
    "of {count:d} generated roll-outs with shares {slow:g} slow and {drag} "
    "dragging before, and {new_slow:g} and {new_drag} after, {bound} "
    "{percent:d} % are held within {answers:d} answers"
)
def check_slow_shares(  # noqa: PLR0917
    context, count, slow, drag, new_slow, new_drag, bound, percent, answers
):
    share = find_held_share(
        count,
        answers,
        add_old=lambda old, rng: add_timed(old, rng, slow, drag),
        add_new=lambda new, rng: add_timed(new, rng, new_slow, new_drag),
    )
    check_share_held(share, bound, percent)


def check_share_held(share, bound, percent):
    print(f"{share:.1f} % held")
    if bound.endswith("at most"):
        assert share <= percent, share
    else:
        assert share >= percent, share


@given(
    "a trial over {duration:g} s whose target gets all requests from"
    " {since:g} s on"
)
def build_trial_with_all_traffic(context, duration, since):
    context.trial = version_trial.VersionTrial(
        order=build_order(duration),
        judge=trial_judge.LikelihoodJudge(),
        now=0.0,
    )
    context.trial.step = len(context.trial.plan.steps) - 1
    context.trial.stepped_at = since
    assert context.trial.has_all_traffic


@when(
    "the target has {slow:d} slow of {timed:d} answers and {drag:d} dragging"
    " of {paced:d}, and the incumbent {old_slow:d} of {old_timed:d} and"
    " {old_drag:d} of {old_paced:d}"
)
def build_evidence(  # noqa: PLR0917
    context, slow, timed, drag, paced, old_slow, old_timed, old_drag, old_paced
):
    comparison = version_trial.Comparison(
        target=version_trial.AnswerCounts(
            answers=timed, timed=timed, slow=slow, paced=paced, dragging=drag
        ),
        incumbent=version_trial.AnswerCounts(
            answers=old_timed,
            timed=old_timed,
            slow=old_slow,
            paced=old_paced,
            dragging=old_drag,
        ),
    )
    context.evidence = version_trial.TrialEvidence({"chat": comparison})


@then("at {now:g} s the target is {outcome}")
def check_outcome(context, now, outcome):
    context.trial.advance(context.evidence, now=now)
    assert context.trial.held is (outcome == "held")
