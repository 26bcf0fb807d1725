"""Runs a whole deployment as processes on loopback addresses.

A `Fleet` starts the stand-ins (one process), the entries and the sidecars
(one process each), waits until every entry is ready, and stops all of them.
Tests and experiments use it; the product never starts processes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import ports
from rhubarbbank_experiments import stop_signals

READY_WAIT_S = 30.0
POLL_S = 0.05
STOP_WAIT_S = 40.0
LOCAL = "127.0.0.1"
SHARDS = 8
SETTLED_S = 4.5


class FleetError(RuntimeError):
    """A process of the fleet did not do what it was waited for."""


def find_owners(addresses: list[str]) -> set[str | None]:
    """Returns which of the entries' addresses get a shard of the ledger."""
    return {
        rendezvous.select(ledger_records.shard_subject(shard), addresses)
        for shard in range(SHARDS)
    }


def fetch(url: str, *, timeout_s: float = 5.0) -> bytes:
    """Returns the body of a GET.

    Raises:
        OSError: The server can't be reached or answers an error.
    """
    with urllib.request.urlopen(url, timeout=timeout_s) as response:
        return bytes(response.read())


def post_json(url: str, body: object, *, method: str = "POST") -> bytes:
    """Sends JSON and returns the answer's body."""
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        method=method,
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return bytes(response.read())


@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """One process of the fleet.

    Attributes:
        name: Its name.
        command: How it is started.
        log: Where its output goes.
        process: The running process, or None.
    """

    name: str
    command: list[str]
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        holding = stop_signals.STOP_SIGNALS.hold()
        with self.log.open("ab") as output, holding:
            self.process = subprocess.Popen(
                self.command,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"UV_USE_IO_URING": "0"},
            )

    @property
    def pid(self) -> int:
        """The process id.

        Raises:
            FleetError: It isn't started.
        """
        if self.process is None:
            raise FleetError(f"{self.name} is not started")
        return self.process.pid

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process without a warning."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int:
        """Asks for a graceful stop and returns the exit code."""
        if self.process is None:
            return 0
        if self.process.poll() is None:
            self.process.terminate()
        return self.process.wait(timeout=STOP_WAIT_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Where one process of the system stands.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        peer_address: For other processes.
        http_address: For callers; empty for a sidecar.
        upstream_url: Of a sidecar's upstream.
        kind: `entry`, `engine` or `service`.
    """

    name: str
    data_centre: str
    peer_address: str
    http_address: str = ""
    upstream_url: str = ""
    kind: str = "entry"


class Fleet:
    """All processes of one deployment.

    Attributes:
        deployment: What runs.
        folder: Where settings and logs lie.
        store_url: Base URL of the object API.
        hosts_url: Base URL of the host list.
        rating_url: Base URL of the rating service.
        weights_url: Base URL of the weight store.
        places: Entries and sidecars, by name.
        members: All processes, by name.
        engine_settings: Extra settings for each engine stand-in.
        entry_settings: Extra settings for each entry.
        sidecar_settings: Extra settings for each sidecar.
    """

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        engine_settings: dict[str, object] | None = None,
        entry_settings: dict[str, object] | None = None,
        sidecar_settings: dict[str, object] | None = None,
    ) -> None:
        self.deployment = deployment
        self.stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self.stack.enter_context(
                tempfile.TemporaryDirectory(prefix="rhubarbbank-")
            )
        )
        self.ports: set[int] = set()
        self.store_url = self.make_url()
        self.hosts_url = self.make_url()
        self.rating_url = self.make_url()
        self.weights_url = self.make_url()
        self.places: dict[str, Place] = {}
        self.members: dict[str, Member] = {}
        self.engine_settings = engine_settings or {}
        self.entry_settings = entry_settings or {}
        self.sidecar_settings = sidecar_settings or {}
        self.plan()

    def make_port(self) -> int:
        """Returns a free port that this fleet hasn't used yet."""
        while (port := ports.FINDER.find()) in self.ports:
            pass
        self.ports.add(port)
        return port

    def make_address(self) -> str:
        """Returns a free loopback address."""
        return f"{LOCAL}:{self.make_port()}"

    def make_url(self) -> str:
        """Returns a free loopback base URL."""
        return f"http://{self.make_address()}"

    def make_peer_addresses(self, count: int) -> list[str]:
        """Returns the entries' addresses, which shards are given out by.

        In a small fleet each entry gets a shard, so that tests find one whose
        owner is a given entry. Of random addresses, about one in nine fleets
        of three has an entry without.
        """
        while True:
            addresses = [self.make_address() for _ in range(count)]
            if 2 * count > SHARDS or find_owners(addresses) == set(addresses):
                return addresses

    def pick_data_centre(self, number: int) -> str:
        """Returns the data centre of the n-th process of a kind."""
        centres = self.deployment.data_centres
        return centres[number % len(centres)]

    def plan(self) -> None:
        """Gives every process its place."""
        addresses = self.make_peer_addresses(self.deployment.entries)
        for number, peer_address in enumerate(addresses):
            name = f"entry-{number}"
            self.places[name] = Place(
                name=name,
                data_centre=self.pick_data_centre(number),
                peer_address=peer_address,
                http_address=self.make_address(),
            )
        for kind, count in (
            ("engine", self.deployment.engines),
            ("service", self.deployment.services),
        ):
            for number in range(count):
                name = f"{kind}-{number}"
                self.places[name] = Place(
                    name=name,
                    data_centre=self.pick_data_centre(number),
                    peer_address=self.make_address(),
                    upstream_url=self.make_url(),
                    kind=kind,
                )

    def find_places(self, *kinds: str) -> list[Place]:
        """Returns the places of some kinds."""
        return [x for x in self.places.values() if x.kind in kinds]

    def describe_host(self, place: Place) -> dict[str, object]:
        """Returns the host list's line for a process."""
        return {
            "name": place.name,
            "role": "entry" if place.kind == "entry" else "sidecar",
            "data_centre": place.data_centre,
            "region": self.deployment.region,
            "peer_address": place.peer_address,
            "http_address": place.http_address,
            "upstream": "" if place.kind == "entry" else place.name,
            "kind": "" if place.kind == "entry" else place.kind,
            "state": "live",
        }

    def describe_standins(self) -> list[dict[str, object]]:
        """Returns the stand-ins' settings, without the upstreams."""
        qualities = {x.key: x.qualities for x in self.deployment.models}
        return [
            {"kind": "object_api", "port": read_port(self.store_url)},
            {
                "kind": "hosts",
                "port": read_port(self.hosts_url),
                "hosts": [self.describe_host(x) for x in self.places.values()],
            },
            {
                "kind": "rating",
                "port": read_port(self.rating_url),
                "qualities": qualities,
            },
            {"kind": "weights", "port": read_port(self.weights_url)},
        ]

    def describe_upstream(self, place: Place) -> dict[str, object]:
        """Returns the settings of one upstream's stand-in."""
        port = read_port(place.upstream_url)
        if place.kind == "service":
            return {"kind": "service", "port": port, "name": place.name}
        models = self.deployment.models
        return {
            "kind": "engine",
            "port": port,
            "name": place.name,
            "versions": [x.key for x in models],
            "mean_tokens": {x.model: x.mean_tokens for x in models},
            **self.engine_settings,
        }

    def add_member(
        self, name: str, module: list[str], settings: object, option: str
    ) -> Member:
        """Writes a process's settings and notes how to start it."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        member = Member(
            name=name,
            command=[sys.executable, "-m", *module, option, str(path)],
            log=self.folder / f"{name}.log",
        )
        self.members[name] = member
        return member

    def prepare(self) -> None:
        """Writes all settings."""
        upstreams = self.find_places("engine", "service")
        self.add_member(
            "standins",
            ["rhubarbbank_standins", "bundle"],
            {"standins": self.describe_standins()},
            "--settings",
        )
        self.add_member(
            "upstreams",
            ["rhubarbbank_standins", "bundle"],
            {"standins": [self.describe_upstream(x) for x in upstreams]},
            "--settings",
        )
        for place in self.find_places("entry"):
            self.add_member(
                place.name,
                ["rhubarbbank_entry.main", "entry"],
                self.describe_entry(place),
                "--settings",
            )
        for place in upstreams:
            self.add_member(
                place.name,
                ["rhubarbbank_sidecar.main"],
                self.describe_sidecar(place),
                "--settings",
            )

    def describe_entry(self, place: Place) -> dict[str, object]:
        """Returns an entry's settings."""
        return {
            "name": place.name,
            "data_centre": place.data_centre,
            "region": self.deployment.region,
            "http_address": place.http_address,
            "peer_address": place.peer_address,
            "store_url": self.store_url,
            "hosts_url": self.hosts_url,
            "rating_url": self.rating_url,
            **self.entry_settings,
        }

    def describe_sidecar(self, place: Place) -> dict[str, object]:
        """Returns a sidecar's settings."""
        chat = place.kind == "engine"
        return {
            "name": place.name,
            "data_centre": place.data_centre,
            "region": self.deployment.region,
            "peer_address": place.peer_address,
            "upstream": place.name,
            "upstream_url": place.upstream_url,
            "kind": "chat" if chat else "service",
            "service_version": "" if chat else self.deployment.service,
            **self.sidecar_settings,
        }

    def start(self) -> None:
        """Starts everything and waits until the entries are ready."""
        self.prepare()
        self.stack.callback(self.kill_all)
        for name in ("standins", "upstreams"):
            self.members[name].start()
            self.wait_for(
                f"{name} to listen", functools.partial(self.listens, name)
            )
        self.put_table()
        for place in self.places.values():
            self.members[place.name].start()
        for place in self.find_places("entry"):
            self.wait_ready(place)
        self.wait_settled()

    def wait_settled(self) -> None:
        """Waits until the entries have shared the ledger's shards out.

        A new owner grants allowances only after a wait, so that the shares
        must have stood for a while.
        """
        since = time.monotonic()
        shares: list[int] = []

        def check() -> bool:
            nonlocal since, shares
            now = time.monotonic()
            found = [self.count_shards(x) for x in self.find_places("entry")]
            if found != shares or sum(found) != SHARDS:
                shares = found
                since = now
            return now - since >= SETTLED_S

        self.wait_for("the entries to share the shards out", check)

    def count_shards(self, place: Place) -> int:
        """Returns how many ledger shards an entry owns."""
        report = json.loads(fetch(f"http://{place.http_address}/status"))
        return int(report["shards"])

    def listens(self, name: str) -> bool:
        """Returns whether a bundle of stand-ins has said that it listens."""
        return b"ready" in self.members[name].log.read_bytes()

    def put_table(self) -> None:
        """Writes the deployment's table to the object API."""
        request = urllib.request.Request(
            f"{self.store_url}/objects/table",
            data=deployments.encode_table(self.deployment),
            headers={"If-None-Match": "*"},
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=5).close()

    def wait_ready(self, place: Place) -> None:
        """Waits until an entry is ready for callers."""
        self.wait_for(
            f"{place.name} to be ready",
            lambda: answers(f"http://{place.http_address}/ready"),
        )

    def wait_for(self, what: str, check: Callable[[], bool]) -> None:
        """Waits until a check holds.

        Raises:
            FleetError: It doesn't hold in time.
        """
        deadline = time.monotonic() + READY_WAIT_S
        while time.monotonic() < deadline:
            if check():
                return
            time.sleep(POLL_S)
        raise FleetError(f"waited in vain for {what}")

    def kill_all(self) -> None:
        """Ends every process that still runs."""
        for member in self.members.values():
            member.kill()

    def stop(self) -> dict[str, int]:
        """Stops everything gracefully; returns the exit codes by name."""
        codes: dict[str, int] = {}
        order: Iterable[str] = [
            *(x.name for x in self.find_places("entry")),
            *(x.name for x in self.find_places("engine", "service")),
            "upstreams",
            "standins",
        ]
        for name in order:
            codes[name] = self.members[name].stop()
        return codes

    def close(self) -> None:
        """Ends everything and removes settings and logs."""
        self.stack.close()

    def read_log(self, name: str) -> str:
        """Returns what a process has logged."""
        return self.members[name].log.read_text(encoding="utf-8")


def read_port(url: str) -> int:
    """Returns the port of a base URL."""
    return int(url.rpartition(":")[2])


def answers(url: str) -> bool:
    """Returns whether a GET succeeds."""
    try:
        fetch(url, timeout_s=1.0)
    except OSError:
        return False
    return True
