"""Runs entries as processes against stand-ins of the users' platform.

Store and runners live in a thread of this process, so that tests and the
demo can switch their faults and read what they saw; each entry is a process
of its own, started as the platform starts it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
from typing import TypeVar

from rhubarbbank_experiments import ports
from rhubarbbank_experiments import stop_signals
from rhubarbbank_standins import platform_runner
from rhubarbbank_standins import platform_store

Found = TypeVar("Found")

ROOT = pathlib.Path(__file__).resolve().parents[3]
LOCAL = "127.0.0.1"
HOST = "api.example"
KEY = "key-innsbruck"
ORGANISATION = "tc-innsbruck"
MODELS = "model-pool"
BOOKINGS = "bookings"
SIZES = ("small", "large")
READY_WAIT_S = 20.0
POLL_S = 0.05


def build_route(name: str, kind: str, service: str, **more: Any) -> Any:
    """Returns a route as the operators write it."""
    given = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        "public": False,
    }
    return given | more


def build_configuration(
    version: int,
    *,
    keys: tuple[str, ...] = (KEY,),
    extra: tuple[Any, ...] = (),
    **limits: int,
) -> Any:
    """Returns a configuration as the operators write it."""
    routes = [
        build_route(
            "chat",
            "stream",
            MODELS,
            sizes=list(SIZES),
            sticky=True,
            resumable=True,
            gap_aim_ms=500,
        ),
        build_route("look", "idempotent", BOOKINGS, max_attempts=2),
        build_route("book", "non_idempotent", BOOKINGS, max_attempts=1),
        *extra,
    ]
    engine = {
        "slots": 8,
        "models": [
            {"name": name, "cost": 0.1 * rank}
            for rank, name in enumerate(SIZES)
        ],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": MODELS, "max_conns": 100, "engine": engine},
            {"name": BOOKINGS, "max_conns": 100},
        ],
        "limits": {"max_body_bytes": 100_000} | limits,
        "tenants": [{"name": ORGANISATION, "api_keys": list(keys)}],
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: In lower case.
        body: As far as it came.
        whole: Whether it ended as complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def events(self) -> list[int]:
        """Ids of a stream's events."""
        return [
            int(line.removeprefix(b"id: "))
            for line in self.body.splitlines()
            if line.startswith(b"id: ")
        ]


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """One entry.

    Attributes:
        name: Its name.
        number: Its place in the fleet.
        ports: Callers, ready, metrics and peers.
        process: The running process.
        log: Where its output goes.
        settings: Its settings file.
    """

    name: str
    number: int
    ports: list[int]
    process: "subprocess.Popen[bytes]"
    log: pathlib.Path
    settings: pathlib.Path

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the lines that it has written."""
        return [
            json.loads(line)
            for line in self.log.read_text(encoding="utf-8").splitlines()
            if line.startswith("{")
        ]


class PlatformFleet:
    """Entries, a store and runners.

    Attributes:
        store: The store's stand-in.
        runners: Runners by name.
        entries: The entries.
        bounds: Bounds in the entries' settings.
        loop: The event loop of the stand-ins' thread.
        host: The limits of the entries' hosts, as in their settings.
        root: The checkout that the entries run in.
        interpreter: The command that runs a Python program.
        environment: Environment variables of the entries.
    """

    def __init__(
        self, *, entries: int = 1, host: dict[str, float] | None = None
    ) -> None:
        self.count = entries
        self.host = host or {}
        self.root = ROOT
        self.interpreter = [sys.executable]
        self.environment: dict[str, str] = {}
        self.store = platform_store.PlatformStore()
        self.runners: dict[str, platform_runner.PlatformRunner] = {}
        self.entries: list[EntryProcess] = []
        self.bounds: dict[str, Any] = {"retry_ratio": 0.9, "retry_extra": 56.0}
        self.stack = contextlib.ExitStack()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.store_ports: list[int] = []
        self.asked = 0

    def __enter__(self) -> "PlatformFleet":
        """Starts everything and waits until the entries are ready."""
        try:
            self.start()
        except BaseException:
            self.stack.close()
            raise
        return self

    def start(self) -> None:
        """Starts everything and waits until the entries are ready."""
        self.thread.start()
        self.stack.callback(self.stop_loop)
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        runner, self.store_ports = self.run(
            platform_store.serve(self.store, self.count)
        )
        self.stack.callback(lambda: self.run(runner.cleanup()))
        self.configure(1)
        for number in range(3):
            self.add_runner(f"m-{number}", MODELS)
            self.add_runner(f"b-{number}", BOOKINGS)
        self.stack.callback(self.stop_entries)
        for number in range(self.count):
            with stop_signals.STOP_SIGNALS.hold():
                self.entries.append(self.start_entry(number))
        for entry in self.entries:
            self.wait_ready(entry)

    def __exit__(self, *_: object) -> None:
        """Stops everything."""
        self.stack.close()

    def run(self, work: Coroutine[Any, Any, Found]) -> Found:
        """Runs work on the stand-ins' event loop."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(READY_WAIT_S)

    def call(self, work: Callable[[], Found]) -> Found:
        """Calls a function on the stand-ins' event loop."""

        async def carry_out() -> Found:
            return work()

        return self.run(carry_out())

    def stop_loop(self) -> None:
        """Ends the stand-ins' thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def configure(self, version: int, **changes: Any) -> None:
        """Writes a configuration as the operators do."""
        spec = build_configuration(version, **changes)
        self.call(lambda: self.store.put("config", "main", spec=spec))

    def add_runner(
        self, name: str, service: str, *, version: str = "v1"
    ) -> None:
        """Starts a runner and registers it."""
        runner = platform_runner.PlatformRunner(
            name=name, streams=service == MODELS
        )
        self.run(runner.start())
        self.stack.callback(lambda: self.run(runner.stop()))
        self.runners[name] = runner
        self.register(name, service, version=version)

    def register(
        self, name: str, service: str, *, version: str = "v1", **changes: Any
    ) -> None:
        """Writes a runner's entry."""
        spec = {
            "service": service,
            "addr": f"{LOCAL}:{self.runners[name].port}",
            "zone": "west-a",
            "version": version,
            "slots": 8,
            "state": "ready",
            "born": 1,
            "seq": 1,
        } | changes
        self.call(lambda: self.store.put("servers", name, spec=spec))

    def start_entry(self, number: int) -> EntryProcess:
        """Starts an entry's process on ports of its own."""
        found = [ports.FINDER.find() for _ in range(4)]
        path = self.folder / f"entry-{number}.json"
        settings = self.build_settings(number, found)
        path.write_text(json.dumps(settings), encoding="utf-8")
        return self.launch_entry(number, found, path)

    def build_settings(self, number: int, found: list[int]) -> dict[str, Any]:
        """Returns an entry's settings.

        Args:
            number: Its place in the fleet.
            found: Its ports, as in `EntryProcess`.
        """
        callers, ready, metrics, peer = (f"{LOCAL}:{x}" for x in found)
        settings = {
            "name": f"entry-{number}",
            "data_centre": "west-a",
            "caller_address": callers,
            "ready_address": ready,
            "metrics_address": metrics,
            "peer_address": peer,
            "store_address": f"{LOCAL}:{self.store_ports[number]}",
            "bounds": self.bounds,
        }
        if self.host:
            settings["host"] = self.host
        return settings

    def launch_entry(
        self, number: int, found: list[int], path: pathlib.Path
    ) -> EntryProcess:
        """Starts an entry's process with the settings file as it is."""
        name = f"entry-{number}"
        log = self.folder / f"{name}-{time.monotonic_ns()}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [*self.interpreter, str(self.root / "platform" / "entry.py")],
                env=os.environ
                | self.environment
                | {"RHUBARBBANK_CONFIG": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
                cwd=self.root,
            )
        return EntryProcess(name, number, found, process, log, path)

    def restart_entry(self, number: int) -> None:
        """Starts an entry anew that has ended."""
        with stop_signals.STOP_SIGNALS.hold():
            self.entries[number] = self.start_entry(number)

    def relaunch_entry(self, number: int) -> None:
        """Starts an entry that has ended with the same ports and settings."""
        entry = self.entries[number]
        with stop_signals.STOP_SIGNALS.hold():
            self.entries[number] = self.launch_entry(
                number, entry.ports, entry.settings
            )

    def stop_entries(self) -> None:
        """Ends the entries that still run."""
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.kill()
            entry.process.wait()

    def is_ready(self, entry: EntryProcess) -> bool:
        """Returns whether an entry says that it is ready."""
        connection = http.client.HTTPConnection(
            LOCAL, entry.ports[1], timeout=2.0
        )
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == http.HTTPStatus.OK
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self, entry: EntryProcess) -> None:
        """Waits until an entry is ready."""
        self.wait_until(lambda: self.is_ready(entry), f"{entry.name} ready")

    def wait_until(
        self, check: Callable[[], bool], what: str, *, wait_s: float = 20.0
    ) -> None:
        """Waits until something holds.

        Raises:
            AssertionError: It doesn't within the time.
        """
        ends_at = time.monotonic() + wait_s
        while not check():
            if time.monotonic() > ends_at:
                message = f"not within {wait_s} s: {what}"
                raise AssertionError(message)
            time.sleep(POLL_S)

    def ask(
        self,
        path: str,
        *,
        entry: int = 0,
        method: str = "POST",
        body: bytes | Iterator[bytes] = b"",
        headers: dict[str, str] | None = None,
        wait_ms: int = 2500,
    ) -> Reply:
        """Sends a caller's request and reads its answer."""
        self.asked += 1
        sent = {
            "Host": HOST,
            "X-Attempt-Id": f"a{self.asked}-{time.monotonic_ns()}",
            "X-Deadline-Ms": str(wait_ms),
            "Authorization": f"Bearer {KEY}",
        }
        if path.startswith("/chat/"):
            sent["X-Model"] = "*"
            sent["X-Token-Usage"] = "1000,50"
            sent["X-Prompt-Prefix"] = f"aa:400,bb{self.asked}:200,cc:400"
        connection = http.client.HTTPConnection(
            LOCAL, self.entries[entry].ports[0], timeout=10.0
        )
        try:
            given = sent | (headers or {})
            connection.request(
                method,
                path,
                body=body or None,
                headers=given,
                encode_chunked="Transfer-Encoding" in given,
            )
            answer = connection.getresponse()
            whole = True
            try:
                found = answer.read()
            except http.client.IncompleteRead as error:
                found, whole = error.partial, False
            except ConnectionError:
                found, whole = b"", False
        finally:
            connection.close()
        return Reply(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            found,
            whole,
        )

    def list_runs(self, text: str = "") -> list[platform_runner.Run]:
        """Returns what runners ran whose target holds a text."""
        return [
            run
            for runner in self.runners.values()
            for run in runner.runs
            if text in run.target
        ]

    def misbehave(
        self, misdeed: str, *, service: str = "", count: int = 0
    ) -> None:
        """Lets runners misbehave: with so many requests in all, or with all."""
        prefix = {"": "", MODELS: "m-", BOOKINGS: "b-"}[service]
        found = platform_runner.Misdeed(misdeed)
        # Shared, so that whichever runner is asked first does it.
        deeds = [found] * count
        for name, runner in self.runners.items():
            if name.startswith(prefix):
                runner.misdeeds = deeds
                runner.misdeed = (
                    platform_runner.Misdeed.NONE if count else found
                )

    def stop(self, number: int) -> None:
        """Asks an entry to stop."""
        self.entries[number].process.send_signal(signal.SIGTERM)
