"""Steps that the failure features share: fleets, store faults, edits."""

import json
import time

from behave import given
from behave import then
from behave import when
from support import callers
from support import failures
from support import operators

from rhubarbbank_core import table

FIRST_WEIGHT = 100
FIRST_CELLS = ("--requests_per_minute", "6000")


def split_version(version):
    model, _, number = version.partition("@")
    return model, number


def offer(running, organisation, versions):
    """Puts rows back to their first state, whatever a scenario left."""
    rows = {
        (x.organisation, x.model, x.version): x
        for x in operators.read_table(running).rows
    }
    revision = 0
    for key in [(organisation, *split_version(x)) for x in versions]:
        row = rows.get(key)
        if row is None:
            revision = operators.run_edit(running, "add", *key, *FIRST_CELLS)
            continue
        if row.state is not table.VersionState.OFFERED:
            revision = operators.run_edit(
                running, "set", *key, "state", "offered"
            )
        if row.weight != FIRST_WEIGHT:
            revision = operators.run_edit(
                running, "set", *key, "weight_points", str(FIRST_WEIGHT)
            )
    operators.wait_in_force(running, revision)


@given('a fleet that offers "{first}" and "{second}"')
def start_fleet(context, first, second):
    context.fleet = failures.share_fleet(
        context,
        extra_versions=(second,),
        engine_settings={"base_step_ms": 5.0},
    )
    offer(context.fleet, failures.ORGANISATION, (first, second))
    failures.wait_served(context.fleet, (first, second))
    context.stack.callback(failures.set_store_faults, context.fleet)


@given("every entry's revision is watched")
def watch_revisions(context):
    context.monitor = operators.RevisionMonitor(running=context.fleet)
    context.stack.callback(context.monitor.close)


@given('callers keep every entry busy with "{model}"')
def keep_busy(context, model):
    failures.start_traffic(
        context, model=model, headers={"X-Request-Class": "chat"}
    )


@given("the store's faults are {faults}")
def give_store_faults(context, faults):
    failures.set_store_faults(context.fleet, **json.loads(faults))


@when("the store is taken down")
def take_store_down(context):
    context.owners = failures.find_owners(context.fleet)
    context.down_at = time.monotonic()
    failures.set_store_faults(context.fleet, down=True)


@when("the store answers again")
def bring_store_back(context):
    failures.set_store_faults(context.fleet)


@when('the operator sets "{column}" of "{version}" to "{value}"')
def set_cell(context, column, version, value):
    context.revision = operators.run_edit(
        context.fleet,
        *("set", failures.ORGANISATION, *split_version(version)),
        *(column, value),
    )


@when('the operator removes "{version}"')
def remove_row(context, version):
    context.revision = operators.run_edit(
        context.fleet, "remove", failures.ORGANISATION, *split_version(version)
    )


@then("the edit is in force in time")
def check_in_force(context):
    operators.wait_in_force(context.fleet, context.revision)


@then('"{version}" gets no more runs')
def check_no_more_runs(context, version):
    before = operators.count_version_runs(context.fleet, version)
    assert before > 0, f"{version} never ran"
    failures.wait_for_answers(context.traffic)
    for place in context.fleet.find_places("entry"):
        asked = callers.ask(
            context.fleet,
            place.name,
            "Court?",
            organisation=failures.ORGANISATION,
            model=version,
        )
        assert asked.refused_cleanly, asked
    after = operators.count_version_runs(context.fleet, version)
    assert after == before, (before, after)


@then("no entry's revision ever fell")
def check_monitor(context):
    assert not context.monitor.decreases, context.monitor.decreases


@then("no caller got a broken answer")
def check_answers(context):
    context.traffic.close()
    # Where no process listens, nothing was sent.
    ended = getattr(context, "stopped", None)
    bad = [
        x
        for x in context.traffic.calls
        if not (x.is_whole or x.refused_cleanly)
        and not (x.never_connected and x.entry == ended)
    ]
    assert not bad, (len(bad), len(context.traffic.calls), bad[:3])


@then("entry {number:d} goes on with a fresh table")
def check_fresh(context, number):
    failures.check_fresh(context.fleet, f"entry-{number}")
