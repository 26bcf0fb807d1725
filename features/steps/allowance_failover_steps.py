"""Steps for allowances in a fleet whose processes die."""

from behave import given
from behave import then
from behave import when
from support import fleets

from rhubarbbank_core import allowances
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous
from rhubarbbank_experiments import fleet

CLASS = {"X-Request-Class": "chat"}
# One version, since an entry holds nothing of an allowance never asked for.
MODEL_VERSION = "lang@v1"


@given("a fleet of its own for the allowance")
def start_fleet(context):
    context.running = context.stack.enter_context(fleets.run_fleet("platzwart"))
    context.entries = list(context.running.find_places("entry"))


def ask(place, organisation):
    return fleets.chat(
        place.http_address,
        "hi",
        organisation=organisation,
        headers=CLASS,
        model=MODEL_VERSION,
    )


@given('each entry serves "{organisation}" within the allowance')
def warm_up(context, organisation):
    for _ in range(2):
        for place in context.entries:
            answer = ask(place, organisation)
            assert answer.status == 200, answer


def find_shard(organisation):
    model, version = MODEL_VERSION.split("@")
    key = allowances.allowance_key(organisation, model, version)
    return ledger_records.shard_of(key, fleet.SHARDS)


def read_log_owner(context, shard):
    """Returns who wrote the newest segment of a shard."""
    owner = ""
    sequence = 1
    while True:
        key = ledger_log.segment_key(shard, sequence)
        try:
            value = fleet.fetch(f"{context.running.store_url}/objects/{key}")
        except OSError:
            return owner
        owner = ledger_log.SEGMENT_DECODER.decode(value).owner
        sequence += 1


@when('the entry that owns the allowance of "{organisation}" is killed')
def kill_owner(context, organisation):
    context.shard = find_shard(organisation)
    owner = rendezvous.select(
        ledger_records.shard_subject(context.shard),
        [place.peer_address for place in context.entries],
    )
    assert owner == read_log_owner(context, context.shard), owner
    (victim,) = [x for x in context.entries if x.peer_address == owner]
    context.running.members[victim.name].kill()
    context.entries.remove(victim)
    context.victim = victim


@then(
    '{count:d} requests of "{organisation}" to the other entries are all'
    " answered"
)
def check_stream(context, count, organisation):
    # The requests take longer than the owner's replacement.
    for number in range(count):
        place = context.entries[number % len(context.entries)]
        answer = ask(place, organisation)
        assert answer.status == 200, (number, answer)


@then('another entry owns the allowance of "{organisation}"')
def check_new_owner(context, organisation):
    del organisation
    fleets.wait_until(
        lambda: (
            read_log_owner(context, context.shard)
            in {place.peer_address for place in context.entries}
        ),
        "another owner of the allowance's shard",
    )
