"""Steps on edits while the store fails, operators meet or processes start."""

import contextlib
import http.client

from behave import then
from behave import when
from support import failures
from support import fleets
from support import operators

from rhubarbbank_core import table

ROW = (failures.ORGANISATION, "kurz", "v2")
WEIGHT = "weight_points"
EDIT_TRIES = 5


def set_weight(running, value, *more, author="operator"):
    return operators.start_table_command(
        running, "set", *ROW, WEIGHT, str(value), *more, author=author
    )


@when("the operator sets the weight to each of {first:d} to {last:d}")
def set_weights(context, first, last):
    context.values = list(range(first, last + 1))
    context.revisions = [set_surely(context, x) for x in context.values]
    context.revision = context.revisions[-1]


def set_surely(context, value):
    """Edits until it stands, as the operator is told by each refusal.

    Only an edit that the table doesn't show is entered again. One that is
    refused as not run must not show.
    """
    for _ in range(EDIT_TRIES):
        ended = operators.wait_for_exit(set_weight(context.fleet, value))
        unsettled = "Check whether it took effect" in ended.stderr
        not_run = not unsettled and "Send it again later" in ended.stderr
        assert ended.returncode == 0 or unsettled or not_run, ended
        stored = read_surely(context)
        row = next(x for x in stored.rows if x.row_key == table.RowKey(*ROW))
        if row.weight == value:
            assert not not_run, ("refused as not run, yet it ran", ended)
            return stored.revision
        assert ended.returncode != 0, "an accepted edit is not in the table"
    raise AssertionError(f"{value} was never accepted")


def read_surely(context):
    """Reads the table though answers are lost."""
    found = []

    def try_read():
        with contextlib.suppress(OSError, http.client.HTTPException):
            found.append(operators.read_table(context.fleet))
        return found

    fleets.wait_until(try_read, "the table is read")
    return found[0]


@then("every edit had a revision of its own, one after the other")
def check_revisions(context):
    first = context.revisions[0]
    wanted = list(range(first, first + len(context.revisions)))
    assert context.revisions == wanted, context.revisions


@then("the table's history shows each edit once")
def check_history(context):
    failures.set_store_faults(context.fleet)
    shown = operators.run_table_command(context.fleet, "history").stdout
    lines = shown.splitlines()[-len(context.values) :]
    for line, value in zip(lines, context.values, strict=True):
        assert WEIGHT in line, line
        assert str(value) in line, (line, value)


@when("two operators set the weight to {first:d} and {second:d} at once")
def set_both(context, first, second):
    row = find_row(context)
    seen = str(row.weight)
    started = {
        value: set_weight(
            context.fleet, value, "--expected", seen, author=f"author-{value}"
        )
        for value in (first, second)
    }
    context.endings = {
        value: operators.wait_for_exit(command)
        for value, command in started.items()
    }


@then("one edit is accepted and the other is refused with both values")
def check_one_refused(context):
    codes = {x: y.returncode for x, y in context.endings.items()}
    assert sorted(codes.values()) == [0, 1], context.endings
    context.accepted = next(x for x, code in codes.items() if code == 0)
    refused = next(x for x, code in codes.items() if code == 1)
    text = context.endings[refused].stderr
    assert text.startswith("edit_conflict"), text
    for part in (str(context.accepted), str(refused), "author-"):
        assert part in text, text


@then("the accepted value stands in the table")
def check_accepted(context):
    assert find_row(context).weight == context.accepted


def find_row(context):
    rows = operators.read_table(context.fleet).rows
    return next(x for x in rows if x.row_key == table.RowKey(*ROW))


@when("entry {entry:d} and the sidecar of engine {engine:d} are started anew")
def start_anew(context, entry, engine):
    context.anew = [f"entry-{entry}", f"engine-{engine}"]
    for name in context.anew:
        failures.kill(context, name)
    for name in context.anew:
        context.fleet.members[name].start()


@then("they have the edit's revision while the store is down")
def check_anew(context):
    def have_it():
        found = operators.read_lowest_revisions(context.fleet)
        return all(found[x] == context.revision for x in context.anew)

    fleets.wait_until(have_it, "the new processes have the revision")
    for name in context.anew[:1]:
        context.fleet.wait_ready(context.fleet.places[name])
