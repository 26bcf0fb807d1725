"""Stand-ins of the platform, runners and clients for the review's scripts.

Only the standard library is used. Entries run as processes of their own, with
the command and the settings template of the deploy file; the stand-ins run in
the script's event loop. All addresses are loopback addresses.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import http
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOCAL = "127.0.0.1"
HOST = "work.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_WAIT_S = 30.0
SLOTS = 6
# `history_s` and `heartbeat_ms` of the settings.
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
ERA_HEADER = "Store-Era"
# Bounds of tsukushi-rail, as in SYSTEM.md.
BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 8,
    "retry_budget_ratio": 0.9,
    "budget_extra": 56,
    "budget_window_s": 10,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "session_s": 5,
}
Headers = dict[str, str]


class Record:
    """Writes `record.txt`: one line for each thing that is seen."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Adds a line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def find_port() -> int:
    """Returns a free port."""
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return int(probe.getsockname()[1])


# --- HTTP ------------------------------------------------------------------


@dataclasses.dataclass
class Message:
    """A request or an answer: first line, headers in lower case, raw body."""

    first: str
    headers: Headers
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a request, or an answer that has a length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\n"), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first, headers, body)


def build_message(first: str, headers: Headers, body: bytes = b"") -> bytes:
    """Returns a request or an answer as bytes, with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# --- The platform's store --------------------------------------------------


@dataclasses.dataclass
class Change:
    """One entry of the store's history."""

    revision: int
    kind: str
    rendered: Any
    removed: bool
    noted_at: float


class Store:
    """The platform's store, by PROTOCOL.md and the sixth letter.

    Attributes:
        kinds: Objects by kind and name.
        is_down: Whether it closes each call's connection without an answer.
        watches: Writers of the watches that are waiting.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.kinds: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self.era = 1
        self.history: list[Change] = []
        self.known_from = 0
        self.changed = asyncio.Event()
        self.watches: set[asyncio.StreamWriter] = set()
        self.is_down = False
        self.port = 0

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def note(self, kind: str, found: Any, *, removed: bool) -> None:
        """Adds a change to the history, and wakes the watches."""
        rendered = json.loads(json.dumps(found))
        self.drop_history(kept_s=HISTORY_S)
        self.history.append(
            Change(self.revision, kind, rendered, removed, time.monotonic())
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self, *, kept_s: float) -> None:
        """Forgets the changes that are older than so many seconds."""
        since = time.monotonic() - kept_s
        while self.history and self.history[0].noted_at < since:
            self.known_from = self.history.pop(0).revision

    def put(self, kind: str, name: str, **parts: Any) -> Any:
        """Writes `spec` or `status`; returns the object."""
        known = self.kinds.setdefault(kind, {})
        found = known.get(name)
        if found is not None and all(found[x] == y for x, y in parts.items()):
            return found
        self.revision += 1
        if found is None:
            found = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created_rev": self.revision,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": None,
                "status": None,
            }
            known[name] = found
        found["metadata"]["revision"] = self.revision
        found.update(parts)
        self.note(kind, found, removed=False)
        return found

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            found["metadata"]["revision"] = self.revision
            self.note(kind, found, removed=True)

    def copy(self) -> tuple[str, int]:
        """Returns a copy of all that the store holds."""
        return json.dumps(self.kinds), self.revision

    def restore(self, copy: tuple[str, int]) -> None:
        """Comes back from a copy, in the next era."""
        self.kinds = json.loads(copy[0])
        self.revision = copy[1]
        self.history = [x for x in self.history if x.revision <= copy[1]]
        self.era += 1

    def go_away(self) -> None:
        """Goes away: ends all calls that wait, and answers no others."""
        self.is_down = True
        self.cut_watches()

    def cut_watches(self) -> int:
        """Closes the connections of all waiting watches without an answer."""
        cut = list(self.watches)
        for writer in cut:
            writer.close()
        return len(cut)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                call = await read_message(reader)
                status, answer = await self.answer(call, writer)
                writer.write(
                    build_message(
                        f"HTTP/1.1 {status} Answer",
                        {
                            "Content-Type": "application/json",
                            ERA_HEADER: str(self.era),
                        },
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def answer(
        self, call: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        """Returns the status and the body of the answer to a call."""
        if self.is_down:
            raise ConnectionResetError
        method, target, _ = call.first.split(" ")
        path, _, query = target.partition("?")
        _, _, kind, *rest = path.split("/")
        given = dict(x.split("=", 1) for x in query.split("&") if x)
        body = json.loads(call.body or b"{}")
        found = self.kinds.get(kind, {}).get(rest[0]) if rest else None
        if method == "GET" and not rest:
            if "watch" in given:
                return await self.watch(kind, given, writer)
            items = list(self.kinds.get(kind, {}).values())
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self.revision,
            }
        if method == "POST":
            name = body["metadata"]["name"]
            if name in self.kinds.get(kind, {}):
                return 409, self.kinds[kind][name]
            return 200, self.put(kind, name, spec=body.get("spec"))
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        expected = body.get("metadata", {}).get("revision")
        if expected and expected != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, rest[0])
            return 200, {}
        part = "status" if rest[1:] == ["status"] else "spec"
        return 200, self.put(kind, rest[0], **{part: body.get(part)})

    async def watch(
        self, kind: str, given: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        """Answers as soon as something has changed."""
        since, era = int(given["watch"]), self.era
        ends_at = time.monotonic() + int(given.get("wait_ms", "0")) / 1000
        self.watches.add(writer)
        try:
            while True:
                self.drop_history(kept_s=HISTORY_S)
                if not self.known_from <= since <= self.revision:
                    return 410, {}
                if era != self.era:
                    return 410, {}
                found = [
                    {"object": x.rendered, "removed": x.removed}
                    for x in self.history
                    if x.kind == kind and x.revision > since
                ]
                left_s = ends_at - time.monotonic()
                if found or left_s <= 0:
                    return 200, {
                        "events": found,
                        "store_revision": self.revision,
                    }
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self.changed.wait()
                if self.is_down:
                    raise ConnectionResetError
        finally:
            self.watches.discard(writer)


# --- Runners ---------------------------------------------------------------


@dataclasses.dataclass
class Run:
    """A request that a runner ran."""

    runner: str
    at: float
    first: str
    headers: Headers
    body: bytes

    @property
    def attempt_id(self) -> str:
        """The client's id of its attempt."""
        return self.headers.get("x-attempt-id", "")


class Runner:
    """A sound runner of a plain service.

    Runs `SLOTS` requests at a time, each for `work_s`, and queues the others.
    """

    def __init__(self, name: str, record: Record, *, work_s: float) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """Ends as a process does: closes its port and its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write(f"runner {self.name} exits")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                writer.write(await self.run(request, reader))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def run(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Runs a request; returns the answer."""
        headers = request.headers
        if headers.get("x-expect-instance", self.name) != self.name:
            return build_message(
                "HTTP/1.1 421 Misdirected", {"X-Instance-Id": self.name}
            )
        self.record.write(
            f"{headers.get('x-attempt-id')} reaches runner {self.name}"
        )
        self.arrivals.append(
            (self.record.now(), headers.get("x-attempt-id", ""))
        )
        async with self.slots:
            if reader.at_eof():
                self.record.write(
                    f"runner {self.name}: the connection of"
                    f" {headers.get('x-attempt-id')} was closed in the queue"
                )
                raise ConnectionResetError
            return await self.work(request, reader)

    async def work(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes:
        """Runs a request that has a slot; returns the answer."""
        headers = request.headers
        run = Run(
            self.name,
            self.record.now(),
            request.first,
            headers,
            request.body,
        )
        self.runs.append(run)
        self.record.write(
            f"runner {self.name} runs {run.attempt_id}: {run.first},"
            f" {len(run.body)} bytes"
        )
        # A runner drops a request when its connection closes.
        ends_at = time.monotonic() + self.work_s
        while (left_s := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, 0.01))
            if reader.at_eof():
                self.record.write(
                    f"runner {self.name}: the connection of"
                    f" {run.attempt_id} was closed while it ran"
                )
                raise ConnectionResetError
        return build_message(
            "HTTP/1.1 200 OK",
            {
                "X-Attempt-Id": run.attempt_id,
                "X-Response-Stamp": f"stamp.{self.name}.{run.attempt_id}",
                "X-Server-Load": "1,0,6",
            },
            f"done {run.attempt_id}".encode(),
        )


# --- Clients ---------------------------------------------------------------


@dataclasses.dataclass
class Outcome:
    """What a client saw of its request; status 0: closed without an answer."""

    attempt_id: str
    sent_at: float
    status: int = 0
    body: bytes = b""

    @property
    def served(self) -> bool:
        """Whether the client got a success."""
        return self.status == http.HTTPStatus.OK


def build_head(attempt_id: str, *, key: str, **more: str) -> Headers:
    """Returns a client's headers."""
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "1500",
        "Authorization": f"Bearer {key}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


async def ask(
    record: Record,
    port: int,
    first: str,
    headers: Headers,
    body: bytes = b"",
) -> Outcome:
    """Sends a request on a new connection, and reads the answer."""
    attempt_id = headers["X-Attempt-Id"]
    outcome = Outcome(attempt_id, record.now())
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(LOCAL, port)
            outcome.sent_at = record.now()
            record.write(f"client sends {attempt_id}: {first}")
            writer.write(build_message(f"{first} HTTP/1.1", headers, body))
            answer = await read_message(reader)
            outcome.status = int(answer.first.split(" ")[1])
            outcome.body = answer.body
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"client {attempt_id}: {type(error).__name__}")
        return outcome
    record.write(f"client {attempt_id} gets {outcome.status}")
    return outcome


# --- Entries ---------------------------------------------------------------


def render(template: str, fields: Any) -> str:
    """Fills in the placeholders that deploy/entry.json uses."""

    def find(match: re.Match[str]) -> str:
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if name.isdecimal() else value[name]
        return json.dumps(value) if match[2] else str(value)

    def find_section(match: re.Match[str]) -> str:
        value = fields
        for name in match[1].split("."):
            value = value.get(name)
        return match[2] if value is not None else ""

    section = r"\{\{#([a-z_0-9.]+)\}\}(.*?)\{\{/\1\}\}"
    template = re.sub(section, find_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", find, template)


class Entry:
    """A `front` machine: the process that the deploy file's role runs."""

    def __init__(self, name: str, store: Store, folder: pathlib.Path) -> None:
        self.name, self.folder = name, folder
        self.port, self.ready_port = find_port(), find_port()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        fields = {
            "node_name": name,
            "zone": "kyushu-a",
            "ip": LOCAL,
            "listen": {
                "front": f"{LOCAL}:{self.port}",
                "ready": f"{LOCAL}:{self.ready_port}",
            },
            "internal_ports": [find_port(), find_port()],
            "platform": {"addr": f"{LOCAL}:{store.port}"},
            "bounds": BOUNDS,
        }
        template = (ROOT / self.role["template"]).read_text()
        self.settings = folder / f"{name}.json"
        self.settings.write_text(render(template, fields))
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self.starts += 1
        log = (self.folder / f"{self.name}-{self.starts}.log").open("wb")
        kept = ("PATH", "HOME", "LANG")
        self.process = await asyncio.create_subprocess_exec(
            *self.role["run"].split(" "),
            cwd=ROOT,
            env={x: os.environ[x] for x in kept if x in os.environ}
            | {
                "RHUBARBBANK_CONFIG": str(self.settings),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it still runs."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process, and waits until it has ended."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks as the platform does whether the entry is ready."""
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    LOCAL, self.ready_port
                )
                writer.write(
                    build_message("GET /ready HTTP/1.1", {"Host": LOCAL})
                )
                answer = await read_message(reader)
                writer.close()
                return " 200 " in answer.first
        return False

    async def wait_ready(self) -> None:
        """Waits until the entry says that it is ready."""
        async with asyncio.timeout(READY_WAIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


async def is_listening(port: int) -> bool:
    """Returns whether a process accepts connections on a port."""
    try:
        _, writer = await asyncio.open_connection(LOCAL, port)
    except OSError:
        return False
    writer.close()
    return True


# --- A whole deployment ----------------------------------------------------


class Deployment:
    """A store, runners and entries that are ended with the script."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.runners: dict[str, Runner] = {}
        self.entries: list[Entry] = []

    async def add_runner(self, name: str, service: str, work_s: float) -> None:
        """Starts a runner and registers it."""
        runner = Runner(name, self.record, work_s=work_s)
        await runner.start()
        self.runners[name] = runner
        self.register(name, service)

    def register(self, name: str, service: str, **changes: Any) -> None:
        """Writes a runner's entry."""
        spec = {
            "service": service,
            "addr": f"{LOCAL}:{self.runners[name].port}",
            "zone": "kyushu-a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, spec=spec | changes)

    async def add_entry(self, name: str) -> Entry:
        """Starts an entry."""
        entry = Entry(name, self.store, self.folder)
        self.entries.append(entry)
        await entry.start()
        return entry

    def list_arrivals(self) -> dict[str, str]:
        """Returns the runner that each request reached last."""
        return {
            attempt_id: runner.name
            for runner in self.runners.values()
            for _, attempt_id in runner.arrivals
        }

    def list_runs(self) -> list[Run]:
        """Returns all that runners ran."""
        return [run for x in self.runners.values() for run in x.runs]


def build_route(name: str, kind: str, **more: Any) -> Any:
    """Returns a route of the service `orders`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "orders",
        "max_attempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
    } | more


def build_configuration(version: int, *, keys: dict[str, list[str]]) -> Any:
    """Returns a configuration with a booking and a lookup route."""
    return {
        "version": version,
        "routes": [
            build_route("book", "non_idempotent"),
            build_route("look", "idempotent"),
        ],
        "services": [
            {"name": "orders", "health_path": "/health", "max_conns": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": found} for name, found in keys.items()
        ],
    }


Case = Callable[[Deployment], Awaitable[int]]


def main(case: Case, folder: pathlib.Path, *, limit_s: float = 100.0) -> None:
    """Runs a case, and exits with 0, 1 or 2."""
    record = Record(folder)
    record.write(f"TROUBLE={int(TROUBLE)}")

    async def carry_out() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            deployment = Deployment(record, pathlib.Path(scratch))
            try:
                await deployment.store.start()
                async with asyncio.timeout(limit_s):
                    return await case(deployment)
            finally:
                for entry in deployment.entries:
                    await entry.end()
                kept = os.environ.get("REVIEW_KEEP_LOGS")
                if kept:
                    for log in pathlib.Path(scratch).glob("*.log"):
                        (pathlib.Path(kept) / log.name).write_bytes(
                            log.read_bytes()
                        )

    try:
        code = asyncio.run(carry_out())
    except Exception:  # noqa: BLE001
        record.write("the case couldn't run:\n" + traceback.format_exc())
        traceback.print_exc()
        code = COULD_NOT_RUN
    record.write(f"exit {code}")
    print({HELD: "held", BROKEN: "BROKEN"}.get(code, "could not run"))
    sys.stdout.flush()
    os._exit(code)
