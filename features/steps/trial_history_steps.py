"""Steps for histories of roll-outs on upstreams with load."""

import random

from behave import then
from behave import when
from support import trial_fleet

SEEDS = 4
ENTRIES = 3


def play(context, answers, kind):
    settings = context.config.userdata
    context.outcomes = [
        trial_fleet.TrialFleet(
            rng=random.Random(str(seed)),
            kind=kind,
            entries=settings.getint("trial_entries", ENTRIES),
            is_plain=answers == "bookings",
        ).run()
        for seed in range(settings.getint("trial_seeds", SEEDS))
    ]
    print(trial_fleet.describe(context.outcomes))


@when("roll-outs of a service of {answers} are played whose target is good")
def play_good(context, answers):
    play(context, answers, trial_fleet.Kind.GOOD)


@when(
    "roll-outs of a service of {answers} are played whose target is bad {kind}"
)
def play_bad(context, answers, kind):
    play(context, answers, trial_fleet.Kind(kind))


@then("each is rolled back within the bound on exposure")
def check_stopped(context):
    missed = [
        seed
        for seed, each in enumerate(context.outcomes)
        if each.is_exposed or each.is_completed or not each.is_held
    ]
    assert not missed, (missed, [context.outcomes[x] for x in missed])


@then("each is completed, and none is held")
def check_completed(context):
    missed = [
        seed
        for seed, each in enumerate(context.outcomes)
        if each.is_held or not each.is_completed
    ]
    assert not missed, (missed, [context.outcomes[x] for x in missed])
