"""Steps for the retry budget."""

from behave import given
from behave import runner
from behave import then
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import retry_budget


@then("the retry budget stays within its limit in {count:d} random sequences")
def step_check_limit(context: runner.Context, count: int) -> None:
    event = strategies.tuples(
        strategies.booleans(), strategies.floats(0.0, 2.0)
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(event, max_size=100))
    def check_sequence(events: list[tuple[bool, float]]) -> None:
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
            # The initial burst and all tokens added since the start.
            assert retries <= 3.0 + 0.1 * successes + 0.1 * now + 1e-9

    check_sequence()


@given("a retry budget after 1000 attempted retries")
def step_exhaust_budget(context: runner.Context) -> None:
    context.budget = retry_budget.SuccessRetryBudget()
    for _ in range(1000):
        context.budget.try_acquire(now=0.0)


@then(
    "the retry budget allows at most {limit:d} of 1000 retries in {time_s:d} s"
)
def step_check_allowed_retries(
    context: runner.Context, limit: int, time_s: int
) -> None:
    allowed = sum(
        context.budget.try_acquire(now=number * time_s / 1000)
        for number in range(1000)
    )
    assert 0 < allowed <= limit, allowed
