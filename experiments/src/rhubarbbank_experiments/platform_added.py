"""Measures what an entry on the users' platform adds to a stream's start.

Pairs of chats, one straight to a runner's stand-in and one through an entry,
in an order that changes from pair to pair, so that what else the machine does
touches both alike. Each has a connection of its own, as callers without one
that is kept would have.
"""

import contextlib
import http.client
import json
import pathlib
import statistics
import time

import msgspec

from rhubarbbank_experiments import platform_fleet

REPORT = "docs/measurements/platform_added.json"
PAIRS = 400
# Not counted: first uses fill caches and learn speeds.
WARM_UP_PAIRS = 40
MS_PER_S = 1000.0
PERCENTILES = (50, 95, 99)


class AddedTime(msgspec.Struct, frozen=True, kw_only=True):
    """Times to the first event, in milliseconds by percentile.

    Attributes:
        pairs: Pairs of chats.
        direct: Straight to the runner.
        through: Through an entry.
        added: Of the differences within pairs.
    """

    pairs: int
    direct: dict[str, float]
    through: dict[str, float]
    added: dict[str, float]


def time_first_event(port: int, headers: dict[str, str]) -> float:
    """Returns how long a chat's first event takes, in milliseconds.

    Raises:
        RuntimeError: The chat isn't answered with a stream.
    """
    began = time.perf_counter()
    connection = http.client.HTTPConnection(platform_fleet.LOCAL, port)
    with contextlib.closing(connection):
        connection.request("POST", "/chat/easy", headers=headers)
        answer = connection.getresponse()
        if answer.status != http.HTTPStatus.OK:
            message = f"a chat at port {port} got {answer.status}"
            raise RuntimeError(message)
        while not answer.readline().startswith(b"id: "):
            pass
        took_s = time.perf_counter() - began
        answer.read()
    return took_s * MS_PER_S


def build_headers(number: int, runner: str) -> dict[str, str]:
    """Returns a chat's headers.

    Args:
        number: Tells requests apart.
        runner: The runner that is asked directly; empty for an entry.
    """
    headers = {
        "Host": platform_fleet.HOST,
        "X-Attempt-Id": f"m{number}",
        "X-Deadline-Ms": "5000",
        "X-Token-Usage": "1000,50",
        "X-Prompt-Prefix": f"aa:400,cc{number}:400",
    }
    if runner:
        return headers | {
            "X-Model": platform_fleet.SIZES[0],
            "X-Expect-Instance": runner,
        }
    key = f"Bearer {platform_fleet.KEY}"
    return headers | {"X-Model": "*", "Authorization": key}


def summarise(times_ms: list[float]) -> dict[str, float]:
    """Returns some percentiles of times."""
    cuts = statistics.quantiles(times_ms, n=100)
    return {f"p{x}": round(cuts[x - 1], 3) for x in PERCENTILES}


def measure(pairs: int) -> AddedTime:
    """Times pairs of chats."""
    direct: list[float] = []
    through: list[float] = []
    with platform_fleet.PlatformFleet(entries=1) as running:
        name = next(x for x in running.runners if x.startswith("m-"))
        places = [
            (running.runners[name].port, name, direct),
            (running.entries[0].ports[0], "", through),
        ]
        for number in range(WARM_UP_PAIRS + pairs):
            for port, runner, found in places:
                headers = build_headers(number, runner)
                found.append(time_first_event(port, headers))
            places.reverse()
    direct = direct[WARM_UP_PAIRS:]
    through = through[WARM_UP_PAIRS:]
    added = [x - y for x, y in zip(through, direct, strict=True)]
    return AddedTime(
        pairs=pairs,
        direct=summarise(direct),
        through=summarise(through),
        added=summarise(added),
    )


def run(*, report: str = REPORT, pairs: int = PAIRS) -> str:
    """Measures, writes the report, and returns it as a line to print."""
    found = measure(pairs)
    text = json.dumps(msgspec.to_builtins(found), indent=2) + "\n"
    pathlib.Path(report).write_text(text, encoding="utf-8")
    return text
