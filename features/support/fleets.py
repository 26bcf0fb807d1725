"""Fleets for tests, and a plain caller."""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import pathlib
import time
from typing import Any

import msgspec

from rhubarbbank_experiments import deployment
from rhubarbbank_experiments import fleet

FOLDER = pathlib.Path("experiments/deployments")
WAIT_S = 20.0
POLL_S = 0.05


def read_deployment(
    name: str, *, extra_versions: tuple[str, ...] = ()
) -> deployment.Deployment:
    """Returns a deployment, with more versions of the models that it has."""
    found = deployment.read_deployment(FOLDER / f"{name}.json")
    models = list(found.models)
    for key in extra_versions:
        model, _, version = key.partition("@")
        like = next(x for x in found.models if x.model == model)
        models.append(msgspec.structs.replace(like, version=version))
    return msgspec.structs.replace(found, models=models)


@contextlib.contextmanager
def run_fleet(
    name: str, *, extra_versions: tuple[str, ...] = (), **changes: Any
) -> Iterator[fleet.Fleet]:
    """Runs a deployment until the block ends."""
    found = read_deployment(name, extra_versions=extra_versions)
    running = fleet.Fleet(deployment=found, **changes)
    with contextlib.closing(running):
        running.start()
        yield running


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """One HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> Any:
        return self.json["error"]

    @property
    def events(self) -> list[Any]:
        """The payloads of the answer's server-sent events."""
        found = []
        for piece in self.body.split(b"\n\n"):
            payload = piece.removeprefix(b"data: ")
            if payload and payload != b"[DONE]":
                found.append(json.loads(payload))
        return found


def call(
    address: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Sends one request and reads the whole answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    with contextlib.closing(connection):
        encoded = {
            name: value.encode() for name, value in (headers or {}).items()
        }
        connection.request(method, path, body=body, headers=encoded)
        response = connection.getresponse()
        return Answer(
            status=response.status,
            headers=dict(response.getheaders()),
            body=response.read(),
        )


def chat(
    address: str,
    text: str,
    *,
    organisation: str,
    stream: bool = False,
    model: str = "auto",
    headers: dict[str, str] | None = None,
    **fields: Any,
) -> Answer:
    """Sends one chat completion."""
    body = {
        "model": model,
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
        **fields,
    }
    return call(
        address,
        "/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={"X-Organisation": organisation, **(headers or {})},
    )


def wait_until(check: Any, what: str, *, wait_s: float = WAIT_S) -> None:
    """Waits until a check holds; fails when it doesn't in time."""
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(POLL_S)
    raise AssertionError(f"waited in vain: {what}")


def read_counts(running: fleet.Fleet, *kinds: str) -> list[Any]:
    """Returns the counts of the upstreams of some kinds."""
    return [
        json.loads(fleet.fetch(f"{place.upstream_url}/counts"))
        for place in running.find_places(*kinds)
    ]


def set_faults(url: str, **faults: Any) -> None:
    """Switches a stand-in's faults; none clears them."""
    fleet.post_json(f"{url}/faults", faults)
