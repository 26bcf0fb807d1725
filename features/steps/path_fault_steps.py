"""Steps that bring one fault of the path about in the fleet in memory."""

from behave import given
from behave import then
from behave import when
import msgspec
from support import fleet_model
from support import fleet_reducers
from support import naive_answers

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import event_log
from rhubarbbank_core import events
from rhubarbbank_core import path_messages
from rhubarbbank_core import requests
from rhubarbbank_core import table

WARM_UP_S = 8.0
# Half of an answer's tokens.
MIDDLE_S = naive_answers.TOKENS / 2 * fleet_model.TOKEN_S
END_S = 25.0
START_S = 0.3
COPY_LATE_S = 2.0
CHUNK_LATE_S = 0.5
FOURTH = 3
NO_DELAY_S = 0.001
LATE = "late"


@given("a fleet in memory")
def start_world(context):
    context.world = fleet_model.World(seed=11)
    context.world.run(WARM_UP_S)


def ask_chat(context, **options):
    context.world.ask("entry-0", "court?", **options)
    context.asked = list(context.world.callers.asked.values())[-1]


def list_runs(context):
    request_id = context.asked.request.request_id
    return [x for x in context.world.handed_over if x.request_id == request_id]


def lose_once(world, is_lost):
    """Loses the first message of which `is_lost` is true."""
    lost = []

    def find_delays(message):
        if not lost and is_lost(message):
            lost.append(message)
            return []
        return [NO_DELAY_S]

    world.delays_of = find_delays
    return lost


def is_second_chunk(message):
    return isinstance(message, path_messages.Chunk) and message.first_event == 1


def is_end(message):
    return isinstance(message, path_messages.Done)


LOST = {"second chunk": is_second_chunk, "end": is_end}


@when("a chat runs and its {message} gets lost once")
def lose_message(context, message):
    lost = lose_once(context.world, LOST[message])
    # A session's chat has one version, so that each run is of that one.
    ask_chat(context, session="s1")
    context.world.run(END_S)
    assert len(lost) == 1


@when("a chat runs and its upstream breaks off in the middle")
def break_stream(context):
    ask_chat(context, session="s1")
    context.world.run(MIDDLE_S)
    break_off(context)
    context.world.run(END_S)


def break_off(context):
    for name in sorted({x[0] for x in context.world.calls}):
        context.world.break_calls(name)


@when(
    "a chat's fourth chunk comes last of all and the next ones late, and its"
    " upstream breaks off in the middle"
)
def delay_chunks(context):
    # The fourth is what the caller lacks when the next run begins, so that a
    # later one of the first run would be put behind the next run's fourth.
    def find_delays(message):
        if not isinstance(message, path_messages.Chunk) or message.attempt > 1:
            return [NO_DELAY_S]
        if message.first_event == FOURTH:
            return [COPY_LATE_S]
        return [CHUNK_LATE_S if message.first_event > FOURTH else NO_DELAY_S]

    context.world.delays_of = find_delays
    ask_chat(context, session="s1")
    # Its session is pinned first.
    context.world.run(START_S + MIDDLE_S)
    break_off(context)
    context.world.run(END_S)


@then("late chunks of the first run came after the second had begun")
def check_late(context):
    recorded = [
        event_log.decode(x).event
        for x in context.world.processes["entry-0"].recorded
    ]
    attempts = [
        x.message.attempt
        for x in recorded
        if isinstance(x, events.MessageReceived)
        and isinstance(x.message, path_messages.Chunk | path_messages.Accepted)
    ]
    assert 1 in attempts[attempts.index(2) :], attempts


@when("{count:d} whole chats run and each chunk comes again much later")
def repeat_chunks(context, count):
    def find_delays(message):
        if isinstance(message, path_messages.Chunk):
            return [NO_DELAY_S, COPY_LATE_S]
        return [NO_DELAY_S]

    context.world.delays_of = find_delays
    for _ in range(count):
        ask_chat(context, stream=False)
        context.world.run(END_S / 5)
    context.world.run(END_S)


@then("all these chats have their whole answers")
def check_all(context):
    asked = context.world.callers.asked.values()
    assert all(x.answered for x in asked), [x.problem for x in asked]


@then("some of them were run on two versions")
def check_cascade(context):
    versions = {}
    for call in context.world.handed_over:
        version, _ = naive_answers.make_stream(call)
        versions.setdefault(call.request_id, set()).add(version)
    assert any(len(x) == 2 for x in versions.values()), versions


@when("a chat runs whose first answer's rating comes after every deadline")
def delay_rating(context):
    context.world.ratings_late_s = [END_S]
    ask_chat(context)
    context.world.run(naive_answers.DEADLINE_S / 2)


@when("a chat runs whose first version's only upstream breaks off")
def break_only_upstream(context):
    ask_chat(context)
    context.world.run(MIDDLE_S)
    break_off(context)
    context.world.run(END_S)


@when("the first chat of its entry runs and its answer can't be rated")
def fail_rating(context):
    context.world.ratings = [None]
    context.world.ratings_late_s = [NO_DELAY_S]
    ask_chat(context)
    context.world.run(END_S)


@then("the stronger version has answered it")
def check_stronger(context):
    assert context.asked.answered, context.asked.problem
    assert context.asked.version == "lang@v1", context.asked.version


@when(
    "a submit comes that an older table allowed, {pinned}, and its version is"
    " now {state}"
)
def submit_late(context, pinned, state):
    world = context.world
    ask_chat(context, session="s1")
    world.run(END_S)
    name, submit = find_submit(world)
    version = f"{submit.model}@{submit.version}"
    world.edit({version: table.VersionState(state)})
    # Before an order to unload the version comes, which refuses it as well.
    sidecar = world.processes[name].reducer
    while sidecar.rows.revision < 2:
        world.run(fleet_model.TICK_S)
    late = msgspec.structs.replace(
        submit, request_id=LATE, pinned=pinned == "pinned"
    )
    session = "s1" if late.pinned else ""
    world.callers.asked[LATE] = naive_answers.Asked(
        request=msgspec.structs.replace(context.asked.request, session=session),
        prompt="court?",
        entry="entry-0",
    )
    world.apply(name, 0, events.MessageReceived(late), at=world.now)
    context.answers = world.processes[name].effects[-1]


def find_submit(world):
    """Returns the sidecar that got a submit, and the submit."""
    for name in fleet_reducers.ENGINES:
        for line in world.processes[name].recorded:
            event = event_log.decode(line).event
            if isinstance(event, events.MessageReceived) and isinstance(
                event.message, path_messages.Submit
            ):
                return name, event.message
    raise AssertionError("no sidecar got a submit")


@then("the sidecar in memory has run it")
def check_late_run(context):
    assert context.world.callers.runs[LATE] == 1


@then("the sidecar in memory has refused it")
def check_late_refused(context):
    assert context.world.callers.runs[LATE] == 0
    (refusal,) = [
        x.message
        for x in context.answers
        if isinstance(x, effects.Send)
        and isinstance(x.message, path_messages.Failed)
    ]
    assert refusal.run_state is errors.RunState.NOT_RUN


@then("half its deadline has been enough for it")
@then("the chat has its whole answer")
def check_answered(context):
    assert context.asked.answered, context.asked.problem


@then("an engine has run it {times:d} time")
@then("an engine has run it {times:d} times")
def check_runs(context, times):
    assert len(list_runs(context)) == times, list_runs(context)


@then("the second run began with the first token that the caller lacked")
def check_resumed(context):
    marks = naive_answers.MARK.findall(context.asked.text)
    had = marks.count("1")
    assert 0 < had < naive_answers.TOKENS
    _, whole = naive_answers.make_stream(list_runs(context)[0])
    _, rest = naive_answers.make_stream(list_runs(context)[1])
    assert len(whole) - len(rest) == had


@when("a chat runs and its caller leaves in the middle")
def leave(context):
    ask_chat(context)
    context.world.run(MIDDLE_S)
    assert context.world.calls
    context.world.hang_up()
    context.world.run(1.0)


@then("no upstream of the fleet in memory runs anything")
def check_cancelled(context):
    assert not context.world.calls


@when(
    "a chat is answered in an outage and both entries die, one of them for good"
)
def answer_in_outage(context):
    context.world.store_down = True
    context.world.run(WARM_UP_S)
    ask_chat(context)
    context.world.run(WARM_UP_S)
    assert context.asked.answered, context.asked.problem
    # The shard's owner may have the bill in memory as well.
    for name in fleet_reducers.ENTRIES:
        context.world.kill(name)
    context.world.start("entry-1")


@when("the store of the fleet in memory answers again")
def end_outage(context):
    assert not context.world.read_bills()
    context.world.store_down = False
    context.world.run(60.0)


@then("the chat has {count:d} bill")
def check_bill(context, count):
    bills = context.world.read_bills()
    assert bills.count(context.asked.request.request_id) == count, bills


@when("a booking is sent {seconds:d} seconds after an outage began")
def book_in_outage(context, seconds):
    context.world.store_down = True
    context.world.run(seconds)
    ask_chat(context, kind=requests.WorkKind.SERVICE, key="k")


@then("the booking is refused in the same instant, as not run")
def check_refused(context):
    problem = context.asked.problem
    assert problem is not None
    assert problem.run_state is errors.RunState.NOT_RUN
    assert problem.retry_after_s > 0
    assert not list_runs(context)
