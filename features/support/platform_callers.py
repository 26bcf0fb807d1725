"""A shared fleet and raw requests for the steps on callers of the platform."""

import contextlib
import re
import socket
import time

from rhubarbbank_experiments import platform_fleet

LOCAL = platform_fleet.LOCAL
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3}) ")


def get_shared_fleet(context):
    """Returns the fleet shared by the feature's scenarios, without faults."""
    fleet = getattr(context.feature, "shared_fleet", None)
    if fleet is None:
        fleet = platform_fleet.PlatformFleet()
        context.feature_stack.enter_context(fleet)
        context.feature.shared_fleet = fleet
    fleet.misbehave("none")
    return fleet


def prepare_fleet(context):
    context.platform = get_shared_fleet(context)
    # Runners that an earlier scenario made unavailable need time to return.
    context.platform.wait_until(
        lambda: all(
            context.platform.ask(path).status == 200
            for path in ("/look/warm", "/book/warm", "/chat/warm")
        ),
        "warm",
    )
    for runner in context.platform.runners.values():
        runner.runs.clear()


def connect(fleet, entry=0):
    return socket.create_connection(
        (LOCAL, fleet.entries[entry].ports[0]), timeout=5.0
    )


def build_request(target, *, lines=(), body=b"", key=platform_fleet.KEY):
    head = [
        f"POST {target} HTTP/1.1",
        f"Host: {platform_fleet.HOST}",
        f"X-Attempt-Id: raw-{time.monotonic_ns()}",
        "X-Deadline-Ms: 2500",
        f"Authorization: Bearer {key}",
        *lines,
    ]
    if not any(
        line.lower().startswith(("content", "transf")) for line in lines
    ):
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


INVALID_INPUTS = {
    "Content-Length and chunked": lambda: build_request(
        "/book/bad",
        lines=("Content-Length: 4", "Transfer-Encoding: chunked"),
        body=b"0\r\n\r\nGET /book/smuggled HTTP/1.1\r\n\r\n",
    ),
    "two Content-Length lines": lambda: build_request(
        "/book/bad",
        lines=("Content-Length: 4", "Content-Length: 40"),
        body=b"abcd",
    ),
    "an oversize head": lambda: build_request(
        "/book/bad", lines=("X-Long: " + "x" * 70_000,)
    ),
    "an oversize body": lambda: build_request("/book/bad", body=b"x" * 200_000),
    "no attempt id": lambda: build_request("/book/bad").replace(
        b"X-Attempt-Id", b"X-Other"
    ),
    "an unknown key": lambda: build_request("/book/bad", key="nobodys"),
    "a key in the path": lambda: build_request(
        f"/book/bad?key={platform_fleet.KEY}", key=""
    ),
    "an unknown route": lambda: build_request("/nosuch/bad"),
    "half a head": lambda: build_request("/book/bad")[:40],
    "half a body": lambda: build_request(
        "/book/bad", lines=("Content-Length: 40",), body=b"abcd"
    ),
}


def send_raw(fleet, data, *, answers=1):
    """Sends raw bytes; returns the response statuses and the bytes received.

    Stops 0.2 s after `answers` responses, or after 1 s without data.
    """
    with connect(fleet) as caller:
        caller.sendall(data)
        caller.settimeout(1.0)
        received = b""
        with contextlib.suppress(TimeoutError, ConnectionError):
            while chunk := caller.recv(65_536):
                received += chunk
                if len(STATUS_LINE.findall(received)) >= answers:
                    caller.settimeout(0.2)
    return read_statuses(received), received


def read_statuses(received):
    """Returns the statuses of all responses in the received bytes."""
    return [int(status) for status in STATUS_LINE.findall(received)]
