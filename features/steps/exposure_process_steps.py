"""Steps that expose callers of real processes to a bad version."""

from concurrent import futures
import io
import json

from behave import given
from behave import then
from behave import when
from support import fleets

from rhubarbbank_core import table_codec
from rhubarbbank_entry import table_commands

CALLERS = 24
ROUND_REQUESTS = 600
MAX_ROUNDS = 16
ALLOWANCE = "600000"


def make_commands(context):
    return table_commands.TableCommands(
        store_url=context.fleet.store_url,
        hosts_url=context.fleet.hosts_url,
        author="anna",
        output=io.StringIO(),
    )


def read_table(context):
    value = fleets.fleet.fetch(f"{context.fleet.store_url}/objects/table")
    return table_codec.decode_table(value).table


def count_runs(context, version):
    counts = fleets.read_counts(context.fleet, "engine")
    return sum(x["runs_by_version"].get(version, 0) for x in counts)


@given(
    'a fleet of its own whose engines also serve "{version}", rated {rating:g}'
)
def start_fleet(context, version, rating):
    context.fleet = context.stack.enter_context(
        fleets.run_fleet(
            "platzwart",
            engine_settings={"versions": ["kurz@v1", "lang@v1", version]},
        )
    )
    qualities = {
        spec.key: spec.qualities for spec in context.fleet.deployment.models
    }
    qualities[version] = dict.fromkeys(("tag", "chat", "plan"), rating)
    fleets.set_faults(context.fleet.rating_url, qualities=qualities)


@when(
    'an operator adds "{version}" for "{organisation}" through the command line'
)
def add_version(context, version, organisation):
    model, _, name = version.partition("@")
    commands = make_commands(context)
    commands.set(
        organisation, model, "v1", "requests_per_minute", ALLOWANCE, wait=True
    )
    commands.add(
        organisation,
        model,
        name,
        requests_per_minute=ALLOWANCE,
        classes="tag chat",
        price_millicent_per_1k_tokens="100",
        wait=True,
    )


def send_round(context, organisation, model, count):
    entries = context.fleet.find_places("entry")

    def send(number):
        answer = fleets.chat(
            entries[number % len(entries)].http_address,
            f"Tag message {number}.",
            organisation=organisation,
            model=model,
            headers={"X-Request-Class": "tag"},
            max_tokens=4,
        )
        return answer.status

    with futures.ThreadPoolExecutor(CALLERS) as pool:
        statuses = list(pool.map(send, range(count)))
    context.sent += statuses.count(200)
    return statuses


@when(
    'callers of "{organisation}" ask for model "{model}" '
    'until "{version}" is held'
)
def send_until_held(context, organisation, model, version):
    context.sent = 0
    context.organisation = organisation
    for _ in range(MAX_ROUNDS):
        send_round(context, organisation, model, ROUND_REQUESTS)
        rows = read_table(context).by_organisation[organisation]
        status = {str(key): row.status for key, row in rows.items()}[version]
        if status == "held":
            return
    raise AssertionError(
        f"not held: {status} after {context.sent} answers, "
        f"{count_runs(context, version)} of them on {version}"
    )


@then('fewer than {share:d} per cent of those requests ran on "{version}"')
def check_share(context, share, version):
    runs = count_runs(context, version)
    assert 0 < runs < context.sent * share / 100, (runs, context.sent)


@then('after that {count:d} more requests run none on "{version}"')
def check_none(context, count, version):
    revision = read_table(context).revision

    def is_in_force():
        reports = [
            json.loads(fleets.fleet.fetch(f"http://{x.http_address}/status"))
            for x in context.fleet.find_places("entry")
        ]
        return all(
            min([x["table_revision"], *x["sidecars"].values()]) >= revision
            for x in reports
        )

    fleets.wait_until(is_in_force, "the hold is in force")
    before = count_runs(context, version)
    model = version.partition("@")[0]
    statuses = send_round(context, context.organisation, model, count)
    assert statuses.count(200) == count, statuses
    assert count_runs(context, version) == before
