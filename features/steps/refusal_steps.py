"""Steps for requests that an entry of the fleet in memory refuses."""

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
ANSWER_WAIT_S = 5.0


@given('the fleet in memory, where "{version}" is {state}')
def start_with_state(context, version, state):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)
    context.world.edit({version: table.VersionState(state)})
    context.world.run(WARM_UP_S)


def send_request(context, version, session=""):
    context.world.ask(ENTRY, "Court 1?", model=version, session=session)
    context.world.run(ANSWER_WAIT_S)
    (context.sent_request,) = context.world.callers.asked.values()


@when('a caller requests version "{version}"')
def request_version(context, version):
    send_request(context, version)


@when('a new session requests version "{version}"')
def request_version_in_session(context, version):
    send_request(context, version, session="new")


@then('the request is refused with "{code}" and has not run')
def check_refused(context, code):
    problem = context.sent_request.problem
    assert problem is not None
    assert problem.code == code, problem
    assert problem.run_state is errors.RunState.NOT_RUN, problem
    assert not context.world.callers.runs


@then('the remedy of the refusal is "{remedy}"')
def check_remedy(context, remedy):
    text = texts.PROBLEMS[context.sent_request.problem.code]
    assert text.remedy.pick(texts.Language.EN) == remedy, text


@given(
    "the fleet in memory, where each allowance is {count:d} requests a minute"
)
def start_with_allowance(context, count):
    context.world = fleet_model.World(seed=1)
    context.world.run(WARM_UP_S)
    context.world.edit({}, requests_per_minute=count)
    context.world.run(WARM_UP_S)


@given("all requests for allowance slices are lost")
def drop_slice_requests(context):
    context.world.lost_kinds = (allowances.SliceRequest,)


@when("requests for allowance slices are delivered again")
def deliver_slice_requests(context):
    context.world.lost_kinds = ()


@when('{count:d} callers request version "{version}" at the same time')
def request_concurrently(context, count, version):
    for _ in range(count):
        context.world.ask(ENTRY, "Court 1?", model=version)


@then('each is refused with "{code}" within {wait_s:d} s and has not run')
def check_all_refused(context, code, wait_s):
    # A timeout between two ticks takes effect at the second one.
    context.world.run(wait_s + fleet_model.TICK_S)
    context.problems = [
        asked.problem for asked in context.world.callers.asked.values()
    ]
    for problem in context.problems:
        assert problem is not None
        assert problem.code == code, problem
        assert problem.run_state is errors.RunState.NOT_RUN, problem
    context.world.run(ANSWER_WAIT_S)
    assert not context.world.callers.runs


@then("the refusals have at least {minimum:d} different Retry-After values")
def check_retry_after_values(context, minimum):
    values = {
        problem_status.format_retry_after(problem)
        for problem in context.problems
    }
    assert None not in values
    assert len(values) >= minimum, values


@then('a later request is refused with "{code}" immediately')
def check_refused_immediately(context, code):
    context.world.ask(ENTRY, "Court 3?", model="kurz@v1")
    *_, asked = context.world.callers.asked.values()
    assert asked.problem is not None
    assert asked.problem.code == code, asked.problem
    assert asked.problem.retry_after_s > 0.0


@then("the fleet in memory answers the next request")
def check_next_answered(context):
    context.world.run(ANSWER_WAIT_S)
    context.world.ask(ENTRY, "Court 2?", model="kurz@v1")
    context.world.run(ANSWER_WAIT_S)
    *_, asked = context.world.callers.asked.values()
    assert asked.answered, asked
