"""Steps for sessions whose requests go to different entries."""

import random

from behave import then
from behave import when
from support import session_fleet
from support import session_histories

SEED = 5
RUN_S = 30.0
SESSIONS_PER_ENTRY = 10
MIN_SESSIONS = 200


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
    context.fleets = [context.fleet]


def run_histories(context, count, entries, **options):
    context.fleets = []
    for seed in range(count):
        fleet = session_histories.SessionHistory(
            rng=random.Random(seed),
            entries=entries,
            sessions=max(MIN_SESSIONS, SESSIONS_PER_ENTRY * entries),
            **options,
        )
        fleet.run(RUN_S)
        context.fleets.append(fleet)


@when(
    "{count:d} histories of a good roll-out are generated for {entries:d} "
    'entries, whose troubles are "{troubles}"'
)
def run_good_rollouts(context, count, entries, troubles):
    run_histories(context, count, entries, troubles=troubles.split(", "))


@when(
    "{count:d} histories of a good roll-out are generated for {entries:d} "
    'entries, whose troubles are "{troubles}", with a store that takes '
    "{record_s:g} s"
)
def run_held_rollouts(context, count, entries, troubles, record_s):
    run_histories(
        context,
        count,
        entries,
        troubles=troubles.split(", "),
        record_s=record_s,
    )


@when(
    "{count:d} histories of a bad roll-out are generated for {entries:d} "
    "entries, with a store that takes {record_s:g} s"
)
def run_bad_rollouts(context, count, entries, record_s):
    run_histories(
        context, count, entries, troubles=(), record_s=record_s, is_bad=True
    )


@then("no session moves to the target in the first half")
def check_no_early_moves(context):
    moves = [x.early_moves for x in context.fleets]
    assert not any(moves), moves


@then("no session moves from the target back to the old version")
def check_no_moves_back(context):
    moves = [x.moves_back for x in context.fleets]
    assert not any(moves), moves


@then("some requests run on the target in the first half")
def check_target_requests(context):
    assert context.fleet.target_requests > 0


@then("at least {least:d} % of the requests are served at the first try")
def check_served(context, least):
    served = sum(x.served for x in context.fleets)
    refused = sum(x.refused for x in context.fleets)
    assert served >= least / 100 * (served + refused), (served, refused)


@then("the roll-back is recorded within {bound_s:g} s of the hold")
def check_recorded(context, bound_s):
    held = [x for x in context.fleets if x.held_at is not None]
    assert held
    delays_s = [(x.recorded_at or x.now) - x.held_at - x.record_s for x in held]
    assert max(delays_s) <= bound_s, delays_s


@then("no request runs on the target {bound_s:g} s after it was held")
def check_bound(context, bound_s):
    assert all(x.bound_s == bound_s for x in context.fleets)
    assert all(x.held_at is not None for x in context.fleets)
    late = [x.late_target_requests for x in context.fleets]
    assert not any(late), late
