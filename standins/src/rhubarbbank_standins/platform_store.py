"""Stand-in of the users' platform's store, by its published protocol.

Objects of kinds, a single revision, conditional writes, pages, watches with a
history that can be dropped. Each entry reaches it at a port of its own, so
that faults can be switched for one entry alone. The store can be restored from
a copy of itself, which begins a new era.
"""

import asyncio
import collections
import copy
import dataclasses
import enum
import http
import time
from typing import Any

from aiohttp import web

PAGE = 50
POLL_S = 0.02
# How old a read may be that allows it.
STALE_S = 1.0
LOCAL = "127.0.0.1"
ERA_HEADER = "Store-Era"


class Fault(enum.StrEnum):
    """What the store does wrong at one port.

    BUSY: answers 503. SILENT: never answers. RESET: closes connections.
    LOST: does a write and closes the connection. LATE: does a write a second
    later and closes the connection.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOST = "lost"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class StoredObject:
    """One object."""

    name: str
    revision: int
    created: int
    spec: Any = None
    status: Any = None

    def render(self) -> dict[str, Any]:
        """Returns the object as the protocol writes it."""
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created_rev": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": self.status,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Backup:
    """A copy of the store.

    Attributes:
        kinds: Objects by kind and name.
        revision: The store's revision at the time of the copy.
    """

    kinds: dict[str, dict[str, StoredObject]]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One entry of the history."""

    revision: int
    kind: str
    rendered: dict[str, Any]
    removed: bool
    noted_at: float = dataclasses.field(default_factory=time.monotonic)


class PlatformStore:
    """The store.

    Attributes:
        kinds: Objects by kind and name.
        revision: Grows with each change, and goes back with a restore.
        era: Grows with each restore.
        names_first_era: Whether answers name the era before the first restore.
        history: Changes that watches may ask for.
        history_from: Watches from before this revision get 410.
        faults: By port.
        calls: Number of calls by port.
        watches: Number of watches by kind and whether they allowed an old
            answer.
        waiting: Connections of watches that wait for a change.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, StoredObject]] = {}
        self.revision = 1
        self.era = 1
        self.names_first_era = True
        self.history: list[Change] = []
        self.history_from = 0
        self.faults: dict[int, Fault] = {}
        self.calls: dict[int, int] = {}
        self.watches: collections.Counter[tuple[str, bool]] = (
            collections.Counter()
        )
        self.waiting: set[asyncio.Transport] = set()

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/objects/{kind}", self.list_or_watch)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_get("/objects/{kind}/{name}", self.get)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_delete("/objects/{kind}/{name}", self.delete)
        app.router.add_put("/objects/{kind}/{name}/status", self.replace_status)
        app.middlewares.append(self.apply_fault)
        return app

    @web.middleware
    async def apply_fault(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Lets a call through, or fails it."""
        transport = request.transport
        assert transport is not None
        port = transport.get_extra_info("sockname")[1]
        self.calls[port] = self.calls.get(port, 0) + 1
        match self.faults.get(port, Fault.NONE):
            case Fault.BUSY:
                return web.Response(
                    status=503, headers={ERA_HEADER: str(self.era)}
                )
            case Fault.SILENT:
                await asyncio.sleep(3600)
            case Fault.RESET:
                transport.abort()
            case Fault.LOST if request.method != "GET":
                await handler(request)
                transport.abort()
            case Fault.LATE if request.method != "GET":
                body = await request.read()
                asyncio.get_running_loop().call_later(
                    1.0, asyncio.ensure_future, handler(request)
                )
                del body
                transport.abort()
        response: web.StreamResponse = await handler(request)
        if self.era > 1 or self.names_first_era:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    def put(
        self, kind: str, name: str, *, spec: Any = None, status: Any = None
    ) -> StoredObject:
        """Writes an object as the operator or a runner would."""
        found = self.kinds.setdefault(kind, {}).get(name)
        self.revision += 1
        if found is None:
            found = StoredObject(name, self.revision, self.revision)
            self.kinds[kind][name] = found
        found.revision = self.revision
        found.spec = spec if spec is not None else found.spec
        found.status = status if status is not None else found.status
        self.note(kind, found, removed=False)
        return found

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            found.revision = self.revision
            self.note(kind, found, removed=True)

    def note(self, kind: str, found: StoredObject, *, removed: bool) -> None:
        """Adds a change to the history."""
        self.history.append(
            Change(self.revision, kind, found.render(), removed)
        )

    def drop_history(self) -> None:
        """Forgets all changes so far."""
        self.history.clear()
        self.history_from = self.revision

    def take_backup(self) -> Backup:
        """Returns a copy of all objects."""
        return Backup(copy.deepcopy(self.kinds), self.revision)

    def restore(self, backup: Backup) -> None:
        """Goes back to a copy; what was written since then is lost."""
        self.kinds = copy.deepcopy(backup.kinds)
        self.revision = backup.revision
        self.history = [
            each for each in self.history if each.revision <= self.revision
        ]
        self.era += 1

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """Lists a kind, or waits for its changes."""
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self.watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(
            name for name in self.kinds.get(kind, {}) if name > after
        )
        page = [self.kinds[kind][name].render() for name in names[:PAGE]]
        return web.json_response(
            {
                "items": page,
                "has_more": len(names) > PAGE,
                "store_revision": self.revision,
            }
        )

    def cut_watches(self) -> None:
        """Closes the connections of all watches that wait."""
        for transport in self.waiting:
            transport.abort()

    async def watch(self, request: web.Request, kind: str) -> web.Response:
        """Answers as soon as something has changed."""
        transport = request.transport
        assert transport is not None
        self.waiting.add(transport)
        try:
            return await self.wait_for_change(request, kind)
        finally:
            self.waiting.discard(transport)

    async def wait_for_change(
        self, request: web.Request, kind: str
    ) -> web.Response:
        """Returns the changes since a revision, once there are any."""
        since = int(request.query["watch"])
        self.watches[kind, is_cheap(request)] += 1
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if not self.history_from <= since <= self.revision:
                return web.json_response({}, status=http.HTTPStatus.GONE)
            known, revision = self.history, self.revision
            if is_cheap(request):
                until = time.monotonic() - STALE_S
                known = [x for x in known if x.noted_at <= until]
                revision = known[-1].revision if known else self.history_from
            found = [
                {"object": each.rendered, "removed": each.removed}
                for each in known
                if each.kind == kind and each.revision > since
            ]
            if found or loop.time() >= ends_at:
                return web.json_response(
                    {"events": found, "store_revision": revision}
                )
            await asyncio.sleep(POLL_S)

    async def get(self, request: web.Request) -> web.Response:
        """Reads one object."""
        found = self.find(request)
        if found is None:
            return web.json_response({}, status=http.HTTPStatus.NOT_FOUND)
        return web.json_response(found.render())

    def find(self, request: web.Request) -> StoredObject | None:
        """Returns the object that a path names."""
        place = request.match_info
        return self.kinds.get(place["kind"], {}).get(place["name"])

    async def create(self, request: web.Request) -> web.Response:
        """Creates an object."""
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        existing = self.kinds.get(kind, {}).get(name)
        if existing is not None:
            return web.json_response(existing.render(), status=409)
        found = self.put(kind, name, spec=body.get("spec"))
        return web.json_response(found.render())

    async def replace(self, request: web.Request) -> web.Response:
        """Replaces an object's content."""
        body = await request.json()
        return self.write(request, body, spec=body.get("spec"))

    async def replace_status(self, request: web.Request) -> web.Response:
        """Replaces an object's status."""
        body = await request.json()
        return self.write(request, body, status=body.get("status"))

    def write(
        self,
        request: web.Request,
        body: Any,
        *,
        spec: Any = None,
        status: Any = None,
    ) -> web.Response:
        """Writes if the object is as the call expects."""
        found = self.find(request)
        if found is None:
            return web.json_response({}, status=http.HTTPStatus.NOT_FOUND)
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != found.revision:
            return web.json_response(found.render(), status=409)
        place = request.match_info
        self.put(place["kind"], place["name"], spec=spec, status=status)
        return web.json_response(found.render())

    async def delete(self, request: web.Request) -> web.Response:
        """Removes an object."""
        place = request.match_info
        self.remove(place["kind"], place["name"])
        return web.json_response({})


async def serve(store: PlatformStore, ports: int) -> tuple[Any, list[int]]:
    """Starts the store on so many ports; returns its runner and them."""
    runner = web.AppRunner(
        store.build_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    found: list[int] = []
    for _ in range(ports):
        site = web.TCPSite(runner, LOCAL, 0)
        await site.start()
        server: Any = site._server
        found.append(server.sockets[0].getsockname()[1])
    return runner, found


def is_cheap(request: web.Request) -> bool:
    """Returns whether a call allows an old answer."""
    return request.query.get("allow_stale") == "1"
