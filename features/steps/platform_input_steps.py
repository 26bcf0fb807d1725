"""Steps on callers that send bad input, send slowly, or leave."""

import itertools
import os
import select
import time

from behave import given
from behave import then
from behave import when
from support import platform_callers


@when("a caller sends the platform two requests at once")
def send_two(context):
    platform_callers.start_asking(context)
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


@when("a caller sends as bad input {what}")
def send_bad(context, what):
    platform_callers.start_asking(context)
    context.statuses, context.raw = platform_callers.send_raw(
        context.platform, platform_callers.BAD_INPUTS[what]()
    )


@then("the platform's status is {status:d}")
def check_status(context, status):
    found = context.statuses or [0]
    assert found == [status], context.raw[:300]


@then("no runner got anything")
def check_nothing_ran(context):
    assert not context.platform.list_runs()


def count_descriptors(fleet):
    process = fleet.entries[0].process
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@when("{count:d} callers come and go in all these ways")
def send_many(context, count):
    platform_callers.start_asking(context)
    fleet = context.platform
    time.sleep(0.5)
    context.before = count_descriptors(fleet)
    deeds = itertools.cycle(["none", "cut", "shed", "fail", "foreign"])
    for number in range(count):
        fleet.misbehave(next(deeds))
        if number % 4 == 0:
            with platform_callers.open_socket(fleet) as caller:
                caller.sendall(platform_callers.build_request("/look/gone"))
        else:
            fleet.ask(("/look/n", "/book/n", "/chat/n")[number % 3])
    fleet.misbehave("none")


@then("the entry has no more descriptors open than before")
def check_descriptors(context):
    fleet = context.platform
    fleet.wait_until(
        lambda: count_descriptors(fleet) <= context.before + 2,
        "descriptors closed",
        wait_s=10.0,
    )


BYTE_EVERY_S = 0.05
WATCHED_S = 4.0
SLOW_DEEDS = {
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


@given("callers may take {head:g} s for a head and rest for {idle:g} s")
def bound_callers(context, head, idle):
    platform_callers.start_asking(context)
    context.platform.configure(
        5, header_timeout_ms=int(head * 1000), idle_timeout_ms=int(idle * 1000)
    )
    # It is in force everywhere after two seconds.
    time.sleep(2.0)


def read_some(caller, wait_s):
    """Returns what comes within a time; nothing at a close, None if neither."""
    readable, _, _ = select.select([caller], [], [], wait_s)
    if not readable:
        return None
    try:
        return caller.recv(65_536)
    except ConnectionError:
        return b""


def send_byte_by_byte(context):
    data = platform_callers.build_request("/book/slow")
    with platform_callers.open_socket(context.platform) as caller:
        began = time.monotonic()
        for number in range(len(data)):
            caller.sendall(data[number : number + 1])
            if read_some(caller, BYTE_EVERY_S) == b"":
                break
        context.took_s = time.monotonic() - began


@when("a tardy caller sends {deed}")
def send_slowly(context, deed):
    if deed == "a head byte by byte":
        send_byte_by_byte(context)
        return
    first, then_sent = SLOW_DEEDS[deed]
    with platform_callers.open_socket(context.platform) as caller:
        if first:
            caller.sendall(first)
            assert caller.recv(65_536).startswith(b"HTTP/1.1 200")
        began = time.monotonic()
        caller.sendall(then_sent)
        found = b""
        while piece := read_some(caller, WATCHED_S):
            found += piece
        context.took_s = time.monotonic() - began
    context.statuses = platform_callers.read_statuses(found)


@then("its connection is closed after {least:g} to {most:g} s")
def check_closed(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@then("no runner got more than {runs:d} requests")
def check_runs(context, runs):
    assert len(context.platform.list_runs()) <= runs
