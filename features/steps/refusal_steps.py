"""Steps for refusals by an entry of the fleet in memory."""

from behave import given
from behave import then
from behave import when
from support import fleet_model

from rhubarbbank_core import allowances
from rhubarbbank_core import errors
from rhubarbbank_core import problem_status
from rhubarbbank_core import table
from rhubarbbank_core import texts

ENTRY = "entry-0"
WARM_UP_S = 8.0
ANSWERED_S = 5.0


@given('the fleet in memory, where "{version}" is {state}')
def start_with_state(context, version, state):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)
    context.world.edit({version: table.VersionState(state)})
    context.world.run(WARM_UP_S)


def ask(context, wanted, session=""):
    context.world.ask(ENTRY, "Court 1?", model=wanted, session=session)
    context.world.run(ANSWERED_S)
    (context.asked,) = context.world.callers.asked.values()


@when('a caller asks the fleet in memory for "{wanted}"')
def ask_version(context, wanted):
    ask(context, wanted)


@when('a new session asks the fleet in memory for "{wanted}"')
def ask_in_session(context, wanted):
    ask(context, wanted, session="new")


@then('that caller is refused with "{code}", and nothing has run')
def check_refused(context, code):
    problem = context.asked.problem
    assert problem is not None
    assert problem.code == code, problem
    assert problem.run_state is errors.RunState.NOT_RUN, problem
    assert not context.world.callers.runs


@then('that refusal\'s remedy is "{remedy}"')
def check_remedy(context, remedy):
    text = texts.PROBLEMS[context.asked.problem.code]
    assert text.remedy.pick(texts.Language.EN) == remedy, text


@given("the fleet in memory, where each allowance is {count:d} a minute")
def start_with_allowance(context, count):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)
    context.world.edit({}, requests_per_minute=count)
    context.world.run(WARM_UP_S)


@given("no request for a slice of an allowance arrives any more")
def lose_slice_requests(context):
    context.world.lost_kinds = (allowances.SliceRequest,)


@when("requests for slices arrive again")
def end_loss(context):
    context.world.lost_kinds = ()


@when('{count:d} callers ask the fleet in memory for "{wanted}" at once')
def ask_at_once(context, count, wanted):
    for _ in range(count):
        context.world.ask(ENTRY, "Court 1?", model=wanted)


@then('each is refused with "{code}" within {wait_s:d} s, not run')
def check_all_refused(context, code, wait_s):
    # A wait that ends between two ticks is noticed at the second one.
    context.world.run(wait_s + fleet_model.TICK_S)
    context.problems = [
        asked.problem for asked in context.world.callers.asked.values()
    ]
    for problem in context.problems:
        assert problem is not None
        assert problem.code == code, problem
        assert problem.run_state is errors.RunState.NOT_RUN, problem
    context.world.run(ANSWERED_S)
    assert not context.world.callers.runs


@then("the refusals' Retry-After spreads over at least {least:d} values")
def check_spread(context, least):
    values = {problem_status.format_retry_after(x) for x in context.problems}
    assert None not in values
    assert len(values) >= least, values


@then('one that asks then is refused with "{code}" at once')
def check_refused_at_once(context, code):
    context.world.ask(ENTRY, "Court 3?", model="kurz@v1")
    *_, asked = context.world.callers.asked.values()
    assert asked.problem is not None
    assert asked.problem.code == code, asked.problem
    assert asked.problem.retry_after_s > 0.0


@then("the fleet in memory answers the next caller")
def check_next(context):
    context.world.run(ANSWERED_S)
    context.world.ask(ENTRY, "Court 2?", model="kurz@v1")
    context.world.run(ANSWERED_S)
    *_, asked = context.world.callers.asked.values()
    assert asked.answered, asked
