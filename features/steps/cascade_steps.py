"""Steps for `cascade.LearningCascade`."""

import random

from behave import given
from behave import runner
from behave import then
from behave import when

from rhubarbbank_core import cascade
from rhubarbbank_core import table

CHEAP = table.VersionKey("cheap", "1")
STRONG = table.VersionKey("strong", "1")
CANDIDATES = (
    cascade.PricedVersion(key=CHEAP, price=1.0),
    cascade.PricedVersion(key=STRONG, price=12.0),
)


@given("a cascade without ratings")
def step_empty_cascade(context: runner.Context) -> None:
    context.cascade = cascade.LearningCascade(rng=random.Random(1))
    context.rating_rng = random.Random(2)


@given('a cascade with {count:d} ratings of "{name}" with mean {mean:f}')
def step_cascade_ratings(
    context: runner.Context, count: int, name: str, mean: float
) -> None:
    step_empty_cascade(context)
    observe_ratings(context, count, name, mean)


@given('the cascade has {count:d} ratings of "{name}" with mean {mean:f}')
@when(
    'the cascade observes {count:d} more ratings of "{name}" with mean {mean:f}'
)
def observe_ratings(
    context: runner.Context, count: int, name: str, mean: float
) -> None:
    for _ in range(count):
        context.cascade.observe(
            organisation="o",
            request_class="chat",
            key=table.VersionKey(name, "1"),
            rating=context.rating_rng.betavariate(mean * 10, 10 - mean * 10),
            now=0.0,
        )


def choose_plans(
    context: runner.Context, count: int, target: float, organisation: str = "o"
) -> list[cascade.Plan]:
    return [
        context.cascade.choose(
            organisation=organisation,
            request_class="chat",
            candidates=CANDIDATES,
            target=target,
            now=100.0,
        )
        for _ in range(count)
    ]


@then(
    'at least 80% of 500 cascade plans run "strong" directly, all to be rated'
)
def step_strong_share(context: runner.Context) -> None:
    context.plans = choose_plans(context, 500, 0.9)
    direct = [each for each in context.plans if each.first == STRONG]
    assert len(direct) >= 400, len(direct)
    assert all(each.wants_rating for each in context.plans)


@then(
    'every other cascade plan runs "cheap" first and may escalate to "strong"'
)
def step_other_plans_are_trials(context: runner.Context) -> None:
    trials = [each for each in context.plans if each.first != STRONG]
    assert trials
    assert all(
        (each.first, each.then) == (CHEAP, STRONG) and each.threshold >= 0.9
        for each in trials
    )


def describe_regular_plan(plans: list[cascade.Plan]) -> str:
    plan = next(each for each in plans if not each.is_trial)
    then_name = f" then {plan.then.model}" if plan.then else ""
    return plan.first.model + then_name


@then('the cascade\'s regular plan for target {target:f} is "{name}"')
def step_regular_plan(
    context: runner.Context, target: float, name: str
) -> None:
    found = describe_regular_plan(choose_plans(context, 20, target))
    assert found == name, found


@then('the cascade\'s regular plan for target {target:f} is not "{name}"')
def step_not_regular_plan(
    context: runner.Context, target: float, name: str
) -> None:
    found = describe_regular_plan(choose_plans(context, 20, target))
    assert found != name, found


@then('the cascade\'s regular plan for a new organisation is "{name}"')
def step_new_organisation(context: runner.Context, name: str) -> None:
    found = describe_regular_plan(
        choose_plans(context, 20, 0.9, organisation="new")
    )
    assert found == name, found
