"""Steps for sessions whose requests go to different entries."""

import random

from behave import then
from behave import when
from support import session_fleet

SEED = 5
RUN_S = 30.0


@when(
    "{sessions:d} sessions use {entries:d} entries in {data_centres:d} data "
    "centres during a roll-out, with {lost:d} % of the heartbeats lost"
)
def run_sessions(context, sessions, entries, data_centres, lost):
    context.fleet = session_fleet.SessionFleet(
        rng=random.Random(SEED),
        entries=entries,
        data_centres=data_centres,
        sessions=sessions,
        loss_rate=lost / 100,
    )
    context.fleet.run(RUN_S)


@then("no session moves to the target in the first half")
def check_no_early_moves(context):
    assert not context.fleet.early_moves, context.fleet.early_moves


@then("no session moves from the target back to the old version")
def check_no_moves_back(context):
    assert not context.fleet.moves_back, context.fleet.moves_back


@then("some requests run on the target in the first half")
def check_target_requests(context):
    assert context.fleet.target_requests > 0
