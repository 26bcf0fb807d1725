"""Steps for placement: the choice of an upstream for a request."""

import random

from behave import given
from behave import runner
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import placement


@given("placement candidates")
def step_set_candidates(context: runner.Context) -> None:
    context.candidates = [
        placement.Candidate(
            name=row["name"],
            own_in_flight=int(row["own"]),
            own_at_report=int(row["own"]),
            running=int(row["running"]),
            waiting=int(row["waiting"]),
            cached_blocks=int(row["cached"]),
            leaving=row["leaving"] == "yes",
            max_batch=8,
            report_age_s=0.1,
        )
        for row in context.table
    ]


@when('placement chooses for a session last served by "{name}"')
def step_choose_for_session(context: runner.Context, name: str) -> None:
    policy = placement.ExpectedWaitPlacement(rng=random.Random(1))
    request = placement.PlacementRequest(session_upstream=name)
    context.decision = policy.choose(
        candidates=context.candidates, request=request
    )


@when("placement chooses for a prompt of {blocks:d} blocks")
def step_choose_for_prompt(context: runner.Context, blocks: int) -> None:
    policy = placement.ExpectedWaitPlacement(rng=random.Random(1))
    request = placement.PlacementRequest(prompt_blocks=blocks)
    context.decision = policy.choose(
        candidates=context.candidates, request=request
    )


@then('placement chose "{name}" for the reason "{reason}"')
def step_check_choice(context: runner.Context, name: str, reason: str) -> None:
    assert context.decision.upstream == name, context.decision
    assert context.decision.reason == reason, context.decision


@then("placement chooses only usable upstreams in {count:d} random fleets")
def step_check_usable(context: runner.Context, count: int) -> None:
    candidate = strategies.builds(
        placement.Candidate,
        name=strategies.sampled_from("abcdefgh"),
        own_in_flight=strategies.integers(0, 9),
        running=strategies.integers(0, 9),
        report_age_s=strategies.floats(0, 99),
        cached_blocks=strategies.integers(0, 9),
        leaving=strategies.booleans(),
    )
    fleets = strategies.lists(candidate, unique_by=lambda each: each.name)

    @trials.repeat(count)
    @hypothesis.given(
        fleets,
        strategies.sampled_from("abcdefgh"),
        strategies.frozensets(strategies.sampled_from("abcdefgh")),
        strategies.integers(),
    )
    def check_fleet(
        fleet: list[placement.Candidate],
        session: str,
        excluded: frozenset[str],
        seed: int,
    ) -> None:
        policy = placement.ExpectedWaitPlacement(rng=random.Random(seed))
        request = placement.PlacementRequest(
            session_upstream=session, prompt_blocks=5, excluded=excluded
        )
        decision = policy.choose(candidates=fleet, request=request)
        usable = {each.name for each in fleet if not each.leaving} - excluded
        if decision is None:
            assert not usable
        else:
            assert decision.upstream in usable

    check_fleet()
