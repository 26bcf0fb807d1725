"""Steps for roll-outs through real processes."""

import contextlib
import json
import subprocess
import sys

from behave import given
from behave import then
from behave import when
from support import fleets

from rhubarbbank_experiments import deployment
from rhubarbbank_experiments import fleet

LOAD_S = 5.0
WAIT_S = 60.0
ORDERED = '"decision":"ordered"'


class RolloutFleet(fleet.Fleet):
    """Engines that load from the weight store; the first obeys any order."""

    def describe_upstream(self, place):
        found = super().describe_upstream(place)
        if place.kind != "engine":
            return found
        return found | {
            "load_seconds": LOAD_S,
            "weights_url": self.weights_url,
            "check_fence": place.name != "engine-0",
        }


@given("a roll-out fleet whose engine 0 obeys any order")
def start_fleet(context):
    found = deployment.read_deployment(fleets.FOLDER / "platzwart.json")
    running = RolloutFleet(deployment=found)
    context.stack.enter_context(contextlib.closing(running))
    running.start()
    context.rollout_fleet = running
    context.live = [x.name for x in running.find_places("entry")]


def edit(context, *arguments):
    running = context.rollout_fleet
    subprocess.run(
        [
            sys.executable,
            "-m",
            "rhubarbbank_entry.main",
            "table",
            f"--store_url={running.store_url}",
            f"--hosts_url={running.hosts_url}",
            "-",
            *arguments,
        ],
        check=True,
        timeout=WAIT_S,
    )


@when('the roll-out operator adds "{model}" "{version}" for "{organisation}"')
def add(context, model, version, organisation):
    edit(context, "add", organisation, model, version)


@when(
    'the roll-out operator sets "{model}" "{version}" for "{organisation}" to'
    ' "{state}"'
)
def set_state(context, model, version, organisation, state):
    edit(context, "set", organisation, model, version, "state", state)


def read_engines(context, path):
    return [
        json.loads(fleet.fetch(f"{place.upstream_url}/{path}"))
        for place in context.rollout_fleet.find_places("engine")
    ]


def count_holders(context, version):
    return sum(
        version in x["loaded"] for x in read_engines(context, "versions")
    )


@then(
    'at least {count:d} engine of the roll-out fleet holds "{version}" at last'
)
def check_some(context, count, version):
    fleets.wait_until(
        lambda: count_holders(context, version) >= count,
        f"{count} engine with {version}",
        wait_s=WAIT_S,
    )


@then('{count:d} engines of the roll-out fleet hold "{version}" at last')
def check_all(context, count, version):
    fleets.wait_until(
        lambda: count_holders(context, version) == count,
        f"{count} engines with {version}",
        wait_s=WAIT_S,
    )


@then('"{organisation}" is answered by "{version}" at last')
def check_served(context, organisation, version):
    place = context.rollout_fleet.places[context.live[0]]

    def check():
        answer = fleets.chat(
            place.http_address,
            "Which shoes on clay?",
            organisation=organisation,
            model=version,
        )
        context.last = answer
        return (
            answer.status == 200
            and answer.headers["X-Model-Version"] == version
        )

    fleets.wait_until(check, f"an answer by {version}", wait_s=WAIT_S)


@when("the owner of the roll-out duty is killed half-way")
def kill_owner(context):
    running = context.rollout_fleet

    def find_owner():
        return [x for x in context.live if ORDERED in running.read_log(x)]

    fleets.wait_until(find_owner, "the first order", wait_s=WAIT_S)
    (owner,) = find_owner()
    running.members[owner].kill()
    context.live.remove(owner)
    assert count_holders(context, "mittel@v1") < 5


@then('the weight store served "{version}" {count:d} times')
def check_fetches(context, version, count):
    url = context.rollout_fleet.weights_url
    found = json.loads(fleet.fetch(f"{url}/counts"))
    assert found["by_version"] == {version: count}, found


@then("two fences gave the orders")
def check_fences(context):
    fences = {
        fence
        for each in read_engines(context, "counts")
        for fence in each["orders_by_fence"]
    }
    assert len(fences) == 2, fences


@then("the plain services' version was never loaded")
def check_services(context):
    url = context.rollout_fleet.weights_url
    found = json.loads(fleet.fetch(f"{url}/counts"))
    assert set(found["by_version"]) == {"kurz@v2"}, found


@then("no engine of the roll-out fleet obeyed a stale order")
def check_stale(context):
    stale = [x["stale_orders_obeyed"] for x in read_engines(context, "counts")]
    assert not any(stale), stale
