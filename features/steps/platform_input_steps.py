"""Steps for callers that send invalid input, send slowly, or disconnect."""

import itertools
import os
import select
import time

from behave import given
from behave import then
from behave import when
from support import platform_callers


@when("a caller pipelines two requests to the platform")
def send_pipelined(context):
    platform_callers.prepare_fleet(context)
    data = platform_callers.build_request(
        "/look/first"
    ) + platform_callers.build_request("/look/second")
    context.statuses, context.raw = platform_callers.send_raw(
        context.platform, data, answers=2
    )


@then("it gets both answers in order")
def check_both(context):
    assert context.statuses == [200, 200], context.raw
    first, second = (context.raw.index(x) for x in (b"/first", b"/second"))
    assert first < second


@when("a caller sends this invalid input: {what}")
def send_invalid(context, what):
    platform_callers.prepare_fleet(context)
    context.statuses, context.raw = platform_callers.send_raw(
        context.platform, platform_callers.INVALID_INPUTS[what]()
    )


@then("the platform answers with status {status:d}")
def check_status(context, status):
    # 0 stands for no answer.
    statuses = context.statuses or [0]
    assert statuses == [status], context.raw[:300]


@then("no runner received a request")
def check_nothing_ran(context):
    assert not context.platform.list_runs()


def count_descriptors(fleet):
    process = fleet.entries[0].process
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@when("{count:d} callers send requests, some leave, and runners misbehave")
def send_many(context, count):
    platform_callers.prepare_fleet(context)
    fleet = context.platform
    time.sleep(0.5)
    context.before = count_descriptors(fleet)
    misdeeds = itertools.cycle(["none", "cut", "shed", "fail", "foreign"])
    for number in range(count):
        fleet.misbehave(next(misdeeds))
        if number % 4 == 0:
            with platform_callers.connect(fleet) as caller:
                caller.sendall(platform_callers.build_request("/look/gone"))
        else:
            fleet.ask(("/look/n", "/book/n", "/chat/n")[number % 3])
    fleet.misbehave("none")


@then("the entry has no more file descriptors open than before")
def check_descriptors(context):
    fleet = context.platform
    fleet.wait_until(
        lambda: count_descriptors(fleet) <= context.before + 2,
        "descriptors closed",
        wait_s=10.0,
    )


BYTE_INTERVAL_S = 0.05
RECEIVE_TIMEOUT_S = 4.0
# By name, what is sent and answered first, and what is sent after that.
SLOW_INPUTS = {
    "nothing": (b"", b""),
    "half a head": (b"", platform_callers.build_request("/book/slow")[:40]),
    "half a body": (
        b"",
        platform_callers.build_request(
            "/book/slow", lines=("Content-Length: 40",), body=b"abcd"
        ),
    ),
    "a whole request, then nothing": (
        platform_callers.build_request("/look/first"),
        b"",
    ),
    "a whole request, then half a head": (
        platform_callers.build_request("/look/first"),
        platform_callers.build_request("/look/second")[:40],
    ),
}


@given("the header timeout is {head:g} s and the idle timeout {idle:g} s")
def configure_timeouts(context, head, idle):
    platform_callers.prepare_fleet(context)
    context.platform.configure(
        5, header_timeout_ms=int(head * 1000), idle_timeout_ms=int(idle * 1000)
    )
    # Every entry applies a new configuration within two seconds.
    time.sleep(2.0)


def receive(caller, timeout_s):
    """Returns the bytes that arrive within a time.

    An empty string means that the connection was closed, None that no bytes
    arrived.
    """
    readable, _, _ = select.select([caller], [], [], timeout_s)
    if not readable:
        return None
    try:
        return caller.recv(65_536)
    except ConnectionError:
        return b""


def send_byte_by_byte(context):
    data = platform_callers.build_request("/book/slow")
    with platform_callers.connect(context.platform) as caller:
        started_at = time.monotonic()
        for number in range(len(data)):
            caller.sendall(data[number : number + 1])
            if receive(caller, BYTE_INTERVAL_S) == b"":
                break
        context.took_s = time.monotonic() - started_at


@when("a slow caller sends {what}")
def send_slowly(context, what):
    if what == "a head byte by byte":
        send_byte_by_byte(context)
        return
    first, second = SLOW_INPUTS[what]
    with platform_callers.connect(context.platform) as caller:
        if first:
            caller.sendall(first)
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
        started_at = time.monotonic()
        caller.sendall(second)
        received = b""
        while chunk := receive(caller, RECEIVE_TIMEOUT_S):
            received += chunk
        context.took_s = time.monotonic() - started_at
    context.statuses = platform_callers.read_statuses(received)


@then("its connection is closed after {least:g} to {most:g} s")
def check_closed(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then("no more than {runs:d} requests reached the runners")
def check_runs(context, runs):
    assert len(context.platform.list_runs()) <= runs
