"""Steps for the soak of entries under signals, restarts and changes."""

from behave import then
from behave import when
from support import signal_soak

SEEDS_OPTION = "soak_seeds"


@when(
    "{entries:d} entries serve callers for {duration:g} s, with series from "
    "seed {first:d} on"
)
def play_soak(context, entries, duration, first):
    context.faults = {}
    for seed in range(
        first, first + int(context.config.userdata.get(SEEDS_OPTION, 1))
    ):
        soak = signal_soak.Soak(seed=seed, entries=entries)
        for kind, faults in soak.play(duration).items():
            context.faults.setdefault(kind, []).extend(faults)
        answers = soak.count_answers()
        print(
            f"seed {seed}: answers by status {answers}, {len(soak.ended)}"
            f" restarts, faults so far"
            f" { {x: len(y) for x, y in context.faults.items()} }"
        )
        # A run without answers would show nothing.
        assert answers.get(200, 0) > 100, answers


def check_none(context, kind):
    faults = context.faults[kind]
    assert not faults, (len(faults), faults[:5])


@then("no process ended by itself")
def check_ends(context):
    check_none(context, "ends")


@then("no request was lost but at a process that was killed")
def check_losses(context):
    check_none(context, "losses")


@then("nothing ran twice that mustn't")
def check_repeats(context):
    check_none(context, "repeats")


@then("each entry serves at the end, with the settings that were written last")
def check_at_end(context):
    check_none(context, "at_end")
