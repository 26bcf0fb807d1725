"""Steps for sessions whose requests come to many entries."""

import random

from behave import then
from behave import when
from support import session_fleet

SEED = 5
RUN_S = 30.0


@when(
    "{sessions:d} sessions move between {entries:d} entries in {places:d} "
    "data centres, with {lost:d} of 100 heartbeats lost, through a roll-out"
)
def run_fleet(context, sessions, entries, places, lost):
    context.fleet = session_fleet.SessionFleet(
        rng=random.Random(SEED),
        entries=entries,
        places=places,
        sessions=sessions,
        loss=lost / 100,
    )
    context.fleet.run(RUN_S)


@then("none moves to the target in its first half")
def check_early(context):
    assert not context.fleet.early, context.fleet.early


@then("none that ran on the target runs on the version before it")
def check_back(context):
    assert not context.fleet.back, context.fleet.back


@then("sessions that begin in the first half try the target")
def check_tried(context):
    assert context.fleet.on_target > 0
