"""Steps for the judging of versions, without I/O."""

import random
import types

from behave import given
from behave import then
from behave import when
import msgspec

from rhubarbbank_core import entry_intake
from rhubarbbank_core import evidence_messages
from rhubarbbank_core import exposure_duty
from rhubarbbank_core import requests
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import table_edit
from rhubarbbank_core import version_choice

ANSWERS_PER_REPORT = 10
SPREAD = 0.05
MODELS = {"kurz"}
TAG = requests.CallerRequest(
    request_id="r1",
    kind=requests.WorkKind.CHAT,
    organisation="tc-hall",
    request_class="tag",
)


def make_row(version, status):
    model, _, name = version.partition("@")
    return table.Row(
        organisation="tc-hall", model=model, version=name, status=status
    )


def set_rows(context, statuses):
    context.statuses = statuses
    rows = tuple(make_row(*item) for item in sorted(statuses.items()))
    context.exposure_table = table.Table(revision=1, rows=rows)


@given('the exposure table has "{first}" "{one}" and "{second}" "{two}"')
def offer_two(context, first, one, second, two):
    set_rows(context, {first: one, second: two})
    context.duty = exposure_duty.ExposureDuty()
    context.totals = {}
    context.rng = random.Random(7)
    context.changes = []
    judge(context)


@given('the exposure table offers only "{version}" with "{status}"')
def offer_one(context, version, status):
    set_rows(context, {version: status})
    context.duty = exposure_duty.ExposureDuty()
    judge(context)


@given('the exposure table shows "{version}" at "{status}"')
def show(context, version, status):
    set_rows(context, context.statuses | {version: status})
    context.duty = exposure_duty.ExposureDuty()
    judge(context)


def judge(context):
    """Judges once and takes the edits of status cells into the table."""
    context.judgement = context.duty.judge(
        context.exposure_table, models=MODELS
    )
    statuses = dict(context.statuses)
    for change in context.judgement.changes:
        key = f"{change.row_key.model}@{change.row_key.version}"
        assert statuses[key] == change.old
        statuses[key] = change.new
        context.changes.append((key, change.new))
    held_now = list(context.judgement.held)
    set_rows(context, statuses)
    context.held = getattr(context, "held", []) + held_now


def add_answers(context, version, count, rating):
    model, _, name = version.partition("@")
    known = context.totals.get(version)
    rated = known.rated if known else 0
    total = known.rating_sum if known else 0.0
    squares = known.rating_square_sum if known else 0.0
    for _ in range(count):
        value = rating + context.rng.uniform(-SPREAD, SPREAD)
        total += value
        squares += value * value
    context.totals[version] = evidence_messages.EvidenceTally(
        model=model,
        version=name,
        rated=rated + count,
        rating_sum=total,
        rating_square_sum=squares,
        requests=rated + count,
    )


def report(context):
    return evidence_messages.EvidenceReport(
        "entry-0", 1, tuple(context.totals.values())
    )


@when(
    'the exposure judge hears {count:d} answers of "{version}" rated {rating:g}'
)
@when(
    'the exposure judge hears {count:d} more answers of "{version}" '
    "rated {rating:g}"
)
def hear(context, count, version, rating):
    for _ in range(count // ANSWERS_PER_REPORT):
        add_answers(context, version, ANSWERS_PER_REPORT, rating)
        context.duty.take_report(report(context))
        judge(context)


@when("the exposure judge hears the same report {times:d} more times")
def repeat(context, times):
    for _ in range(times):
        context.duty.take_report(report(context))


@when("another exposure judge takes over and hears the totals")
def take_over(context):
    add_answers(context, "kurz@v1", 50, 0.9)
    add_answers(context, "kurz@v2", 50, 0.9)
    context.duty = exposure_duty.ExposureDuty()
    context.duty.take_report(report(context))
    judge(context)


@when('an operator adds "{version}" to the exposure table')
def add_row(context, version):
    stored = table_codec.StoredTable(table=context.exposure_table)
    edit = table_codec.Edit(
        author="anna",
        write_id="w1",
        time="2026-12-03T10:00:00+00:00",
        change=table_codec.AddRow(make_row(version, "ok")),
        base_revision=1,
    )
    applied = table_edit.apply_edits(stored, [edit])
    assert isinstance(applied, table_edit.Applied), applied
    context.exposure_table = applied.stored.table


@then('the exposure judge sets "{version}" to "{status}" at last')
def check_status(context, version, status):
    assert context.statuses[version] == status, context.changes


@then('the exposure judge holds "{version}"')
def check_held(context, version):
    assert version in {str(key) for key in context.held}


@then('the exposure judge has counted {count:d} rated answers of "{version}"')
def check_count(context, count, version):
    model, _, name = version.partition("@")
    judged = context.duty.judges[table.VersionKey(model, name)]
    assert judged.state.new.ratings.count == count


@then('it starts "{version}" at {share:d} per cent')
def check_stage(context, version, share):
    model, _, name = version.partition("@")
    verdict = context.duty.judges[table.VersionKey(model, name)].verdict()
    assert verdict.share_per_cent >= share, verdict
    assert context.statuses[version] != "held"


@then('the exposure judge changes nothing and names "{version}" a suspect')
def check_suspect(context, version):
    assert context.statuses == {version: "ok"}
    assert version in {str(key) for key in context.judgement.suspects}


@then('the exposure table shows "{version}" with status "{status}"')
def check_row(context, version, status):
    found = {str(row.key): row.status for row in context.exposure_table.rows}
    assert found[version] == status, found


@when('an entry plans {count:d} tags while upstreams have loaded "{loaded}"')
def plan_tags(context, count, loaded):
    state = types.SimpleNamespace(
        control=types.SimpleNamespace(
            loaded=frozenset(loaded.split()), services=frozenset()
        ),
        rows=context.exposure_table,
        held={},
    )
    context.planned = [
        str(row.key)
        for number in range(count)
        for row in version_choice.choose_versions(
            state.rows,
            organisation="tc-hall",
            request_class="tag",
            wanted="kurz",
            text=f"request-{number}",
            held=entry_intake.find_held(state, TAG),
        )
    ]
    assert len(context.planned) == count


@then('{some} of those tags are planned on "{version}"')
def check_planned(context, some, version):
    assert (context.planned.count(version) > 0) == (some == "some")


@then('a chat is not planned on "{version}" once it is a plain service\'s')
def check_service(context, version):
    state = types.SimpleNamespace(
        control=types.SimpleNamespace(
            loaded=frozenset({version}), services=frozenset({version})
        ),
        rows=context.exposure_table,
        held={},
    )
    held = entry_intake.find_held(state, TAG)
    assert {str(key) for key in held} >= {version}
    call = msgspec.structs.replace(TAG, kind=requests.WorkKind.SERVICE)
    held = entry_intake.find_held(state, call)
    assert version not in {str(key) for key in held}
