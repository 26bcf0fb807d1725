"""Steps for the budget of retries."""

from behave import given
from behave import runner
from behave import then
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import retry_budget


@then("the retry budget keeps to its share over {count:d} random sequences")
def step_budget(context: runner.Context, count: int) -> None:
    event = strategies.tuples(
        strategies.booleans(), strategies.floats(0.0, 2.0)
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(event, max_size=100))
    def check(events: list[tuple[bool, float]]) -> None:
        budget = retry_budget.SuccessRetryBudget(
            ratio=0.1, min_retries_per_s=0.1, burst=3.0
        )
        now = 0.0
        retries = successes = 0
        for succeeded, gap_s in events:
            now += gap_s
            if succeeded:
                budget.record_success()
                successes += 1
            else:
                retries += budget.try_acquire(now=now)
            # The naive bound: all that was ever earned.
            assert retries <= 3.0 + 0.1 * successes + 0.1 * now + 1e-9

    check()


@given("a retry budget that 1000 failures have used")
def step_used_budget(context: runner.Context) -> None:
    context.budget = retry_budget.SuccessRetryBudget()
    for _ in range(1000):
        context.budget.try_acquire(now=0.0)


@then("the retry budget allows at most {most:d} of 1000 retries in {end:d} s")
def step_starved(context: runner.Context, most: int, end: int) -> None:
    allowed = sum(
        context.budget.try_acquire(now=number * end / 1000)
        for number in range(1000)
    )
    assert 0 < allowed <= most, allowed
