"""Steps for crowds of callers that misbehave."""

import http.client

from behave import given
from behave import then
from behave import when
from support import crowds

from rhubarbbank_experiments import platform_fleet

# The smallest host of the operators' deployments has this much memory.
MEMORY_MB = 128
MAX_DESCRIPTORS = 600
CROWD_S = 6.0
MAX_BODY_BYTES = 4_194_304


@given("an entry on a small host")
def start_entry(context):
    context.platform = platform_fleet.PlatformFleet(
        host={"memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS}
    )
    context.stack.enter_context(context.platform)
    context.platform.configure(2, max_body_bytes=MAX_BODY_BYTES)
    context.entry = context.platform.entries[0]
    context.platform.wait_until(
        lambda: (
            context.platform.ask("/book/large", body=b"x" * 3_000_000).status
            == 200
        ),
        "large bodies are accepted",
    )
    context.usage = crowds.Usage()


@when('{count:d} callers send {conduct} to "{target}"')
def send_crowd(context, count, conduct, target):
    port = context.entry.ports[{"/ready": 1, "/metrics": 2}.get(target, 0)]
    crowd = crowds.Crowd(
        conduct=crowds.CONDUCTS[conduct], target=target, port=port, size=count
    )
    context.stack.enter_context(crowd)
    crowd.watch(context.entry.process, context.usage, duration_s=CROWD_S)
    assert crowd.open_count == count, crowd.open_count


def is_served(fleet):
    try:
        return fleet.ask("/book/ordinary").status == 200
    except (OSError, http.client.HTTPException):
        return False


@then("the entry serves a caller and says that it is ready")
def check_served(context):
    fleet = context.platform
    fleet.wait_until(lambda: is_served(fleet), "a caller is served")
    fleet.wait_until(lambda: fleet.is_ready(context.entry), "ready")


@then("the entry has kept to its host's memory and descriptors")
def check_usage(context):
    assert context.entry.process.poll() is None
    usage = context.usage
    usage.sample(context.entry.process.pid)
    assert usage.memory_bytes <= MEMORY_MB * crowds.MB, usage
    assert usage.descriptors <= MAX_DESCRIPTORS, usage
