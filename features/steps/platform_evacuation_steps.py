"""Steps for evacuations that entry processes read from the store's stand-in."""

import contextlib
import time
import urllib.request

from behave import given
from behave import then
from behave import when

from rhubarbbank_experiments import platform_fleet

BOUNDS = {"evac_ms": 5000, "config_apply_ms": 4000, "drain_ms": 4000}
KIND = "evacuations"


@given(
    '2 entries that follow evacuations, and bookings in "{first}" and "{other}"'
)
def start_fleet(context, first, other):
    fleet = platform_fleet.PlatformFleet(entries=2)
    fleet.bounds |= BOUNDS
    context.data_centres = {"b-0": first, "b-1": first, "b-2": other}
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.platform = stack.enter_context(fleet)
    for name, data_centre in context.data_centres.items():
        fleet.register(name, platform_fleet.BOOKINGS, zone=data_centre)
    context.backup = fleet.call(fleet.store.take_backup)
    wait_until_relayed(fleet)


def wait_until_relayed(fleet):
    """Waits until entry 0 reads the store for entry 1."""
    fleet.wait_until(
        lambda: any(
            line.get("decision") == "store_reading_ended"
            for line in fleet.entries[1].read_log()
        ),
        "entry 1 is informed by entry 0",
    )


@when('the store lists "{name}" as evacuated')
def evacuate(context, name):
    fleet = context.platform
    fleet.call(lambda: fleet.store.put(KIND, name, spec={}))


@when('the store no longer lists "{name}" as evacuated')
def take_back(context, name):
    fleet = context.platform
    fleet.call(lambda: fleet.store.remove(KIND, name))


@when("the store is restored from a copy from before the evacuation")
def restore(context):
    fleet = context.platform
    fleet.call(lambda: fleet.store.restore(context.backup))


@then('within {wait:g} s both entries log "{decision}" for "{name}"')
def check_logs(context, wait, decision, name):
    fleet = context.platform

    def is_logged(entry):
        return any(
            line.get("decision") == decision and line.get("reason") == name
            for line in entry.read_log()
        )

    fleet.wait_until(
        lambda: all(is_logged(entry) for entry in fleet.entries),
        f"{decision} of {name}",
        wait_s=wait,
    )


def book(context, count, name):
    """Sends bookings to each entry; returns the data centres that ran them."""
    fleet = context.platform
    path = f"/book/{time.monotonic_ns()}"
    for entry in range(2):
        for _ in range(count):
            reply = fleet.ask(path, entry=entry)
            assert reply.status == 200, reply
    found = {context.data_centres[x.runner] for x in fleet.list_runs(path)}
    assert found == {name}, found


@then('{count:d} requests at each entry run in "{name}" only')
def check_requests(context, count, name):
    book(context, count, name)


@then('for {duration:g} s requests at both entries run in "{name}" only')
def check_for(context, duration, name):
    ends_at = time.monotonic() + duration
    while time.monotonic() < ends_at:
        book(context, 1, name)


@then("a booking at each entry is refused with Retry-After")
def check_refused(context):
    fleet = context.platform
    for entry in range(2):
        reply = fleet.ask("/book/none", entry=entry)
        assert reply.status == 503, reply
        assert 0.2 <= float(reply.headers["retry-after"]) <= 0.8, reply
    assert not fleet.list_runs("/book/none")


@then("the metrics of each entry say that {count:d} data centres are evacuated")
def check_metrics(context, count):
    fleet = context.platform

    def read(entry):
        url = f"http://{platform_fleet.LOCAL}:{entry.ports[2]}/metrics"
        with urllib.request.urlopen(url, timeout=2.0) as answer:
            return answer.read().decode()

    def is_shown(entry):
        lines = dict(
            line.rsplit(" ", 1)
            for line in read(entry).splitlines()
            if not line.startswith("#")
        )
        evacuated = [
            float(value)
            for name, value in lines.items()
            if "evacuated_s_west_" in name
        ]
        shown = {v for n, v in lines.items() if n.endswith("_evacuations")}
        return shown == {f"{count}.0"} and len(evacuated) == count

    fleet.wait_until(
        lambda: all(is_shown(entry) for entry in fleet.entries), "metrics"
    )
