"""The demo: both deployments, one after the other, as real processes.

It starts the stand-ins, three entries and eight upstreams with their
sidecars, sends requests of every class, prints who answered and why, changes
a cell of the table and shows the change in force, and stops everything.
"""

import contextlib
import json
import pathlib
import sys
import time
import urllib.error
import urllib.request

from rhubarbbank_core import texts
from rhubarbbank_entry import operator_commands
from rhubarbbank_entry import table_commands
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet
from rhubarbbank_experiments import platform_demo

FOLDER = pathlib.Path(__file__).parents[2] / "deployments"
DEPLOYMENTS = ("platzwart", "tsukushi")
SESSION = "demo-session"
LANGUAGES = {
    "platzwart": texts.Language.DE,
    "tsukushi": texts.Language.JA,
}


def send(
    address: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request; returns status, headers and body."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=body,
        headers={
            name: value.encode().decode("latin-1")
            for name, value in headers.items()
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=60) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def build_request(
    running: fleet.Fleet, spec: deployments.ClassSpec, *, number: int
) -> tuple[str, bytes, dict[str, str]]:
    """Returns path, body and headers of one request of a class."""
    found = running.deployment
    headers = {
        "X-Organisation": found.organisations[0].name,
        "X-Request-Class": spec.name,
    }
    if spec.name == deployments.BOOKING_CLASS:
        service = found.service.partition("@")[0]
        headers["Idempotency-Key"] = f"demo-{number}"
        return f"/services/{service}/demo", spec.prompt.encode(), headers
    if spec.name == "chat":
        headers["X-Session"] = SESSION
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": spec.prompt}],
    }
    return "/v1/chat/completions", json.dumps(body).encode(), headers


def show_answer(
    running: fleet.Fleet,
    spec: deployments.ClassSpec,
    *,
    number: int,
    asked: operator_commands.OperatorCommands,
) -> None:
    """Sends one request and prints who answered it, and why."""
    entries = running.find_places("entry")
    place = entries[number % len(entries)]
    path, body, headers = build_request(running, spec, number=number)
    status, answered, content = send(place.http_address, path, body, headers)
    print(f"\n{spec.name} through {place.name}: HTTP {status}")
    print(f"  answer: {content.decode()[:100]}")
    print(f"  served by: {answered.get('X-Model-Version', 'nobody')}")
    print("  why:")
    for line in asked.explain(answered["X-Request-Id"]).splitlines():
        print(f"    {line}")


def change_cell(running: fleet.Fleet) -> None:
    """Drains the cheap model for one organisation and shows it in force."""
    found = running.deployment
    organisation = found.organisations[0].name
    cheap = found.models[0]
    commands = table_commands.TableCommands(
        store_url=running.store_url,
        hosts_url=running.hosts_url,
        language=LANGUAGES[found.name],
        author="demo",
    )
    print(f"\nedit: {organisation} {cheap.key} state -> draining")
    started = time.monotonic()
    commands.set(
        organisation,
        cheap.model,
        cheap.version,
        "state",
        "draining",
        wait=True,
    )
    print(f"  in force everywhere after {time.monotonic() - started:.1f} s")
    commands.show(organisation)


def run_deployment(name: str) -> bool:
    """Runs the demo of one deployment; returns whether it stopped cleanly."""
    found = deployments.read_deployment(FOLDER / f"{name}.json")
    print(f"\n=== {name} ({found.region}) ===")
    running = fleet.Fleet(deployment=found)
    with contextlib.closing(running):
        running.start()
        asked = operator_commands.OperatorCommands(hosts_url=running.hosts_url)
        print(asked.status())
        for number, spec in enumerate(found.classes):
            show_answer(running, spec, number=number, asked=asked)
        change_cell(running)
        tag = found.classes[0]
        show_answer(running, tag, number=1, asked=asked)
        codes = running.stop()
    unclean = sorted(x for x, code in codes.items() if code != 0)
    print(f"\nstopped {len(codes)} processes, unclean: {unclean or 'none'}")
    return not unclean


def main() -> None:
    """Runs the demo of both deployments, then that of the platform."""
    results = [run_deployment(name) for name in DEPLOYMENTS]
    results.append(platform_demo.main())
    sys.exit(0 if all(results) else 1)
