"""Stand-ins of the platform's store and of runners, on loopback addresses.

They follow PROTOCOL.md and use only the standard library.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import socket
import struct
import time
import urllib.parse

LOCAL = "127.0.0.1"
POLL_S = 0.01
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Kind, name and "status", the part of an object that has a path of its own.
STATUS_PARTS = 3


def find_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((LOCAL, 0))
        return probe.getsockname()[1]


@dataclasses.dataclass
class Message:
    """An HTTP message as it was read from a connection."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def words(self) -> list[str]:
        """The parts of the first line."""
        return self.first_line.split(" ")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the head of a message; returns None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    return Message(first_line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a whole message; returns None if the input ends before that."""
    message = await read_head(reader)
    return None if message is None else await read_body(reader, message)


async def read_body(
    reader: asyncio.StreamReader, message: Message
) -> Message | None:
    """Reads the body that follows a head; returns None if it is cut off."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            body = bytearray()
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
            message.body = bytes(body)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def build_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} Reason"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a reset."""
    if writer.transport.is_closing():
        return
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    writer.transport.abort()


class Store:
    """The platform's metadata store, with one port for each entry.

    Attributes:
        objects: Objects by kind and name.
        revision: The revision of the last change.
        events: All changes: kind, revision, object and whether it was removed.
        silent: Ports at which calls are read and not answered.
        writes: Calls that changed something: time, port, method, path, body.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.events: list[tuple[str, int, dict, bool]] = []
        self.silent: set[int] = set()
        self.writes: list[tuple[float, int, str, str, object]] = []
        self.servers: list[asyncio.Server] = []

    async def open(self, count: int) -> list[int]:
        """Opens ports; returns their numbers."""
        ports = []
        for _ in range(count):
            server = await asyncio.start_server(self.serve, LOCAL, 0)
            self.servers.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        return ports

    def close(self) -> None:
        """Closes all ports."""
        for server in self.servers:
            server.close()

    def put(
        self,
        kind: str,
        name: str,
        *,
        spec: object = None,
        status: object = None,
    ) -> dict:
        """Creates or changes an object."""
        stored = self.objects.setdefault(kind, {})
        known = stored.get(name)
        changed = {
            "spec": known["spec"] if known and spec is None else spec,
            "status": known["status"] if known and status is None else status,
        }
        if known and all(known[key] == changed[key] for key in changed):
            return known
        self.revision += 1
        created = known["metadata"]["created_rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        stored[name] = {"metadata": metadata, **changed}
        self.events.append((kind, self.revision, stored[name], False))
        return stored[name]

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        known = self.objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self.events.append((kind, self.revision, known, True))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the calls of one connection."""
        port = writer.get_extra_info("sockname")[1]
        try:
            while (call := await read_message(reader)) is not None:
                if port in self.silent:
                    while port in self.silent:
                        await asyncio.sleep(POLL_S)
                    # An answer that was lost isn't sent later.
                    break
                status, body = await self.answer(call, port)
                data = json.dumps(body).encode()
                head = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                }
                writer.write(build_head(status, head) + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, call: Message, port: int) -> tuple[int, object]:
        """Carries out a call; returns the status and the body."""
        method, target, _ = call.words
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(x) for x in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET":
            if name:
                found = self.objects.get(kind, {}).get(name)
                return (200, found) if found else (404, {})
            if "watch" in query:
                return 200, await self.watch(kind, query)
            names = sorted(self.objects.get(kind, {}))
            names = [x for x in names if x > query.get("after", "")]
            items = [self.objects[kind][x] for x in names]
            return 200, {
                "items": items,
                "has_more": False,
                "store_revision": self.revision,
            }
        body = json.loads(call.body) if call.body else {}
        self.writes.append((time.time(), port, method, path, body))
        if method == "POST":
            name = body["metadata"]["name"]
            known = self.objects.get(kind, {}).get(name)
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, spec=body.get("spec"))
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, {}
        wanted = body.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if len(parts) == STATUS_PARTS:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, spec=body.get("spec"))

    async def watch(self, kind: str, query: dict[str, str]) -> object:
        """Waits for changes of a kind after a revision."""
        since = int(query["watch"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [
                {"object": stored, "removed": removed}
                for changed_kind, revision, stored, removed in self.events
                if changed_kind == kind and revision > since
            ]
            if found or time.monotonic() >= ends_at:
                return {"events": found, "store_revision": self.revision}
            await asyncio.sleep(POLL_S)


@dataclasses.dataclass
class Run:
    """A request that a runner began to work on."""

    at: float
    runner: str
    message: Message
    ended: str = ""

    @property
    def attempt_id(self) -> str:
        """The id of the client's attempt."""
        return self.message.headers.get("x-attempt-id", "")


Respond = Callable[["Runner", Run, asyncio.StreamWriter], Awaitable[bool]]


class Runner:
    """A runner; `respond` answers the requests that it runs.

    Attributes:
        name: Its id.
        runs: What it ran.
        respond: Answers a request; returns whether another may follow.
    """

    def __init__(self, name: str, respond: Respond) -> None:
        self.name = name
        self.runs: list[Run] = []
        self.respond = respond
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        self.server.close()

    def build_headers(self, run: Run) -> dict[str, str]:
        """Returns the headers that all answers of a run have."""
        return {
            "X-Attempt-Id": run.attempt_id,
            "X-Instance-Id": self.name,
            "X-Response-Stamp": f"stamp.{self.name}.{len(self.runs)}",
            "X-Server-Load": f"{len(self.writers)},0,64",
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                expected = message.headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    head = {"Content-Length": "0", "X-Instance-Id": self.name}
                    writer.write(build_head(421, head))
                    continue
                run = Run(time.time(), self.name, message)
                self.runs.append(run)
                if not await self.respond(self, run, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
