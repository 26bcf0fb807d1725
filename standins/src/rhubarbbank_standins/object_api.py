"""Stand-in of the platform's object API.

Serves the objects of `object_store`, values of up to a megabyte by key, with
conditional writes, watches, rate limits and faults. Paths:

* `GET /objects/{key}`, `PUT /objects/{key}` with `If-Match: "version"` or
  `If-None-Match: *`, `DELETE /objects/{key}`.
* `GET /objects?prefix=P` lists; `GET /watch?prefix=P&after=R&timeout_s=T`
  answers as soon as something under the prefix changed after revision R.

Calls above the settings' rates are answered 429.
"""

import asyncio
import collections
from collections.abc import Coroutine
import dataclasses
import enum
import random

import aiohttp.web

from rhubarbbank_standins import object_store
from rhubarbbank_standins import rates
from rhubarbbank_standins import settings
from rhubarbbank_standins import web

VALUE_LIMIT_BYTES = 1_000_000
WATCH_TIMEOUT_LIMIT_S = 60.0
REVISION_HEADER = "X-Store-Revision"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectApiFaults:
    """Faults of the object API.

    Attributes:
        down: Every call is answered 503.
        delay_s: Every call takes this much longer; a write takes effect
            after that, even if its caller has left.
        lose_replies: Share of GET, PUT, DELETE and list calls that take
            effect and whose connection is then closed without an answer.
        watch_delay_s: A watch's answer comes this much later.
        watch_drop: Share of changes that a watch's answer leaves out.
        deny_clients: Calls whose X-Client is listed are answered 503.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: float = 0.0
    watch_delay_s: float = 0.0
    watch_drop: float = 0.0
    deny_clients: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Counts:
    """Calls that were refused, failed or lost their reply."""

    throttled: int = 0
    unavailable: int = 0
    conflicts: int = 0
    lost_replies: int = 0


class CallSort(enum.StrEnum):
    """The sorts of calls that are counted apart."""

    WRITE = "writes"
    READ = "reads"
    WATCH = "watches"


class ObjectApi:
    """The object API.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.ObjectApiSettings) -> None:
        self.configured = configured
        self.faults = ObjectApiFaults()
        self.random = random.Random(configured.seed)
        self.store = object_store.ObjectStore()
        self.writing: set[asyncio.Task[aiohttp.web.Response]] = set()
        self.waiting: dict[asyncio.Event, str] = {}
        self.counts = Counts()
        self.calls: collections.Counter[str] = collections.Counter()
        self.client_counts: dict[str, collections.Counter[str]] = {}
        self.write_bucket = rates.TokenBucket(
            rate_per_s=configured.writes_per_s, burst_s=configured.burst_s
        )
        self.read_bucket = rates.TokenBucket(
            rate_per_s=configured.reads_per_s, burst_s=configured.burst_s
        )
        self.write_meter = rates.PeakMeter()
        self.read_meter = rates.PeakMeter()

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        router = application.router
        router.add_get("/objects", self.list_objects)
        router.add_get("/objects/{key:.+}", self.get_object)
        router.add_put("/objects/{key:.+}", self.put_object)
        router.add_delete("/objects/{key:.+}", self.delete_object)
        router.add_get("/watch", self.watch)
        return application

    def make_counts(self) -> object:
        """Returns the counts, with those of each X-Client."""
        calls = {sort.value: self.calls[sort] for sort in CallSort}
        return {
            **calls,
            **dataclasses.asdict(self.counts),
            "peak_writes_per_s": self.write_meter.peak,
            "peak_reads_per_s": self.read_meter.peak,
            "revision": self.store.revision,
            "objects": len(self.store.objects),
            "waiting_watches": len(self.waiting),
            "clients": self.client_counts,
        }

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults; waiting watches look at the new ones."""
        self.faults = settings.decode_strictly(body, ObjectApiFaults)
        for event in self.waiting:
            event.set()

    def admit(
        self, request: aiohttp.web.Request, sort: CallSort
    ) -> aiohttp.web.Response | None:
        """Counts a call, or refuses it.

        Returns:
            The refusal, or None if the call may go on.
        """
        is_write = sort is CallSort.WRITE
        bucket = self.write_bucket if is_write else self.read_bucket
        meter = self.write_meter if is_write else self.read_meter
        client = request.headers.get("X-Client", "")
        if self.is_cut_off(client):
            self.counts.unavailable += 1
            return web.make_error(503, "unavailable")
        if not bucket.take():
            self.counts.throttled += 1
            return web.make_error(
                429, "rate limit", headers={"Retry-After": "1"}
            )
        meter.add()
        self.calls[sort] += 1
        per_client = self.client_counts.setdefault(
            client, collections.Counter()
        )
        per_client[sort] += 1
        return None

    async def delay(self) -> None:
        """Takes as long as the faults say."""
        if self.faults.delay_s > 0.0:
            await asyncio.sleep(self.faults.delay_s)

    async def outlive_caller(
        self, write: Coroutine[None, None, aiohttp.web.Response]
    ) -> aiohttp.web.Response:
        """Carries a write out even if its caller has given up by then."""
        task = asyncio.create_task(write)
        self.writing.add(task)
        task.add_done_callback(self.writing.discard)
        return await asyncio.shield(task)

    def is_cut_off(self, client: str) -> bool:
        """Tells whether a client's calls are answered 503."""
        return self.faults.down or client in self.faults.deny_clients

    def reply(
        self, request: aiohttp.web.Request, response: aiohttp.web.Response
    ) -> aiohttp.web.Response:
        """Returns the response, or loses it as the faults say."""
        lost = self.random.random() < self.faults.lose_replies
        if lost:
            self.counts.lost_replies += 1
            return web.drop_connection(request)
        response.headers[REVISION_HEADER] = str(self.store.revision)
        return response

    async def get_object(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers one object's bytes, or 404."""
        refusal = self.admit(request, CallSort.READ)
        if refusal is not None:
            return refusal
        await self.delay()
        stored = self.store.get(request.match_info["key"])
        if stored is None:
            return self.reply(request, web.make_error(404, "no such object"))
        return self.reply(request, make_object_response(stored, status=200))

    async def put_object(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Writes one object if the request's condition holds."""
        refusal = self.admit(request, CallSort.WRITE)
        if refusal is not None:
            return refusal
        value = await request.read()
        if len(value) > VALUE_LIMIT_BYTES:
            return web.make_error(413, "value above a megabyte")
        return await self.outlive_caller(self.write(request, value))

    async def write(
        self, request: aiohttp.web.Request, value: bytes
    ) -> aiohttp.web.Response:
        """Carries out a PUT that was let in."""
        await self.delay()
        key = request.match_info["key"]
        current = self.store.get(key)
        if not is_condition_met(request, current):
            self.counts.conflicts += 1
            return self.reply(request, make_conflict(current))
        stored = self.store.put(key, value)
        self.wake_watches(key)
        response = web.make_json({"version": stored.version})
        response.headers["ETag"] = f'"{stored.version}"'
        return self.reply(request, response)

    async def delete_object(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Removes one object, or answers 404."""
        refusal = self.admit(request, CallSort.WRITE)
        if refusal is not None:
            return refusal
        return await self.outlive_caller(self.remove(request))

    async def remove(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Carries out a DELETE that was let in."""
        await self.delay()
        key = request.match_info["key"]
        if not self.store.delete(key):
            return self.reply(request, web.make_error(404, "no such object"))
        self.wake_watches(key)
        return self.reply(request, aiohttp.web.Response(status=204))

    async def list_objects(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers all objects under a prefix, sorted by key."""
        refusal = self.admit(request, CallSort.READ)
        if refusal is not None:
            return refusal
        await self.delay()
        prefix = request.query.get("prefix", "")
        keys = self.store.list_keys(prefix)
        return self.reply(request, self.make_listing(keys))

    async def watch(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers the objects changed after a revision, or none in time."""
        refusal = self.admit(request, CallSort.WATCH)
        if refusal is not None:
            return refusal
        await self.delay()
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        timeout_s = float(request.query.get("timeout_s", "10"))
        timeout_s = min(timeout_s, WATCH_TIMEOUT_LIMIT_S)
        client = request.headers.get("X-Client", "")
        keys = await self.wait_for_changes(prefix, after, timeout_s, client)
        if self.faults.watch_delay_s > 0.0:
            await asyncio.sleep(self.faults.watch_delay_s)
            keys = self.store.list_changes(prefix, after)
        if self.is_cut_off(client):
            return web.make_error(503, "unavailable")
        drop = self.faults.watch_drop
        kept = [key for key in keys if self.random.random() >= drop]
        return self.make_listing(kept)

    async def wait_for_changes(
        self, prefix: str, after: int, timeout_s: float, client: str
    ) -> list[str]:
        """Waits for a change after a revision and returns the changed keys.

        It returns early, with no keys, when the client is cut off.
        """
        event = asyncio.Event()
        self.waiting[event] = prefix
        try:
            async with asyncio.timeout(timeout_s):
                while not self.is_cut_off(client):
                    keys = self.store.list_changes(prefix, after)
                    if keys:
                        return keys
                    event.clear()
                    await event.wait()
        except TimeoutError:
            pass
        finally:
            del self.waiting[event]
        return []

    def wake_watches(self, key: str) -> None:
        """Wakes the watches that wait for this key."""
        for event, prefix in self.waiting.items():
            if key.startswith(prefix):
                event.set()

    def make_listing(self, keys: list[str]) -> aiohttp.web.Response:
        """Returns the objects of some keys, as they stand now."""
        return web.make_json(
            {
                "revision": self.store.revision,
                "objects": self.store.describe(keys),
            }
        )


def is_condition_met(
    request: aiohttp.web.Request, current: object_store.StoredValue | None
) -> bool:
    """Tells whether a PUT's If-Match or If-None-Match holds."""
    if request.headers.get("If-None-Match") == "*" and current is not None:
        return False
    wanted = request.headers.get("If-Match")
    if wanted is None:
        return True
    return current is not None and wanted == f'"{current.version}"'


def make_object_response(
    stored: object_store.StoredValue, *, status: int
) -> aiohttp.web.Response:
    """Returns an object's bytes with its version as the ETag."""
    return aiohttp.web.Response(
        status=status,
        body=stored.value,
        content_type="application/octet-stream",
        headers={"ETag": f'"{stored.version}"'},
    )


def make_conflict(
    current: object_store.StoredValue | None,
) -> aiohttp.web.Response:
    """Returns 412 with the object as it stands, if there is one."""
    if current is None:
        return aiohttp.web.Response(status=412)
    return make_object_response(current, status=412)
