"""Steps for admission control at the sidecar."""

import random

from behave import given
from behave import runner
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import admission
from rhubarbbank_core import errors

DISTANT_DEADLINE = 1e9


def make_ticket(
    name: str,
    organisation: str = "x",
    priority: int = 5,
    deadline: float = DISTANT_DEADLINE,
) -> admission.Ticket:
    return admission.Ticket(
        request_id=name,
        organisation=organisation,
        priority=priority,
        deadline=deadline,
    )


@given("an admission queue with 2 slots, a service time of 1 s and 8 requests")
def step_full_slots(context: runner.Context) -> None:
    context.policy = admission.DeadlineAdmission(slots=2, rng=random.Random(1))
    for number in range(10):
        context.policy.admit(make_ticket(f"r{number}"), now=0.0)
    context.policy.start(now=0.0)


@when("a request with a deadline in 2 s arrives")
def step_arrive(context: runner.Context) -> None:
    context.decision = context.policy.admit(
        make_ticket("late", deadline=2.0), now=0.0
    )


@then('admission sheds it as "{code}" with a retry delay')
def step_sheds(context: runner.Context, code: str) -> None:
    assert isinstance(context.decision, admission.Shed)
    assert context.decision.code == code
    assert context.decision.retry_after_s > 0.0


def queue_rows(context: runner.Context, limit: int) -> None:
    context.policy = admission.DeadlineAdmission(
        slots=1, rng=random.Random(1), limit=limit
    )
    for row in context.table:
        ticket = make_ticket(
            row["request"], row["organisation"], int(row["priority"])
        )
        context.policy.admit(ticket, now=0.0)


@given("an admission queue with 1 slot and these requests")
def step_queue(context: runner.Context) -> None:
    queue_rows(context, limit=100)


@given("an admission queue with 1 slot, a limit of 2 and these requests")
def step_queue_limit(context: runner.Context) -> None:
    queue_rows(context, limit=2)


@then('admission starts "{names}"')
def step_starts(context: runner.Context, names: str) -> None:
    found = []
    while started := context.policy.start(now=0.0):
        found.extend(each.request_id for each in started)
        context.policy.finish(found[-1], now=0.0)
    assert found == names.split(", "), found


@when("{count:d} requests of priority 0 are admitted and {end_s:f} s pass")
def step_admit_urgent(
    context: runner.Context, count: int, end_s: float
) -> None:
    context.policy.start(now=0.0)
    for number in range(count):
        context.policy.admit(make_ticket(f"x{number}", priority=0), now=0.0)
    context.now = end_s


@given("an admission queue with 1 slot and a request due in {due_s:f} s")
def step_queue_one(context: runner.Context, due_s: float) -> None:
    context.policy = admission.DeadlineAdmission(slots=1, rng=random.Random(1))
    context.policy.admit(make_ticket("running"), now=0.0)
    context.policy.start(now=0.0)
    decision = context.policy.admit(make_ticket("low", deadline=due_s), now=0.0)
    assert isinstance(decision, admission.Admitted)


@then('admission has shed "{name}" as "{code}"')
def step_has_shed(context: runner.Context, name: str, code: str) -> None:
    sheds = context.policy.shed(now=getattr(context, "now", 0.0))
    assert [(each.request_id, each.code) for each in sheds] == [(name, code)]


@then("{count:d} refusals by admission have distinct retry delays")
def step_distinct_delays(context: runner.Context, count: int) -> None:
    decisions = [
        context.policy.admit(make_ticket(f"x{n}", deadline=1.0), now=0.0)
        for n in range(count)
    ]
    assert all(isinstance(each, admission.Shed) for each in decisions)
    assert len({each.retry_after_s for each in decisions}) == count


@then("admission meets its guarantees in {count:d} random sequences")
def step_guarantees(context: runner.Context, count: int) -> None:
    event = strategies.tuples(
        strategies.sampled_from(("admit", "finish", "wait")),
        strategies.integers(0, 9),
        strategies.sampled_from("xyz"),
        strategies.floats(0.1, 9.0),
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(event, min_size=30, max_size=60))
    def check(events: list[tuple[str, int, str, float]]) -> None:
        policy = admission.DeadlineAdmission(slots=2, rng=random.Random(1))
        now = 0.0
        running: list[str] = []
        queued_ids: set[str] = set()
        for number, (kind, priority, owner, size) in enumerate(events):
            if kind == "admit":
                ticket = make_ticket(str(number), owner, priority, now + size)
                longest = policy.predict_service_s(ticket)
                decision = policy.admit(ticket, now=now)
                if isinstance(decision, admission.Admitted):
                    queued_ids.add(str(number))
                    assert decision.expected_wait_s + longest <= size + 1e-9
            elif kind == "finish" and running:
                policy.finish(running.pop(0), now=now)
            else:
                now += size / 4.0
            for shed in policy.shed(now=now):
                assert shed.code == errors.ErrorCode.DEADLINE_UNREACHABLE
                queued_ids.remove(shed.request_id)
            for each in policy.start(now=now):
                end = now + policy.predict_service_s(each)
                assert end <= each.deadline + 1e-9, (
                    "started past the latest feasible time"
                )
                queued_ids.remove(each.request_id)
                running.append(each.request_id)
            assert len(running) <= policy.slots
            assert set(policy.queued) == queued_ids, (
                "queued requests differ from admitted ones"
            )
            # No request waits while a slot is free.
            assert not queued_ids or len(running) == policy.slots

    check()
