"""Stand-in of a plain service, such as court bookings or work orders.

Any method under `/{service}/...` is served. GET and HEAD are reads; every
other call makes a booking, each time it comes: the service drops no repeats,
and counts runs by `Idempotency-Key` and by `X-Request-Id`, so that a test
sees a call that ran twice. A call runs from the moment it takes one of
`max_parallel` places; from then on it counts, whether or not its caller
stays. `GET /load` reports the load with a lag.
"""

import asyncio
import collections
import dataclasses
import random
import time

import aiohttp.web

from rhubarbbank_standins import settings
from rhubarbbank_standins import web

READ_METHODS = frozenset({"GET", "HEAD"})
HANG_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFaults:
    """Faults of a plain service.

    Attributes:
        slow_factor: Every call takes this many times as long.
        error_rate: Share of calls answered 500 without having run.
        die_after_run: A booking runs and counts, then its connection is
            closed without an answer.
        hang: Calls wait, without running, until this is cleared.
        crash_on: A booking whose body holds this text runs and counts,
            then the service goes away for the settings' `restart_s`; empty
            for none.
    """

    slow_factor: float = 1.0
    error_rate: float = 0.0
    die_after_run: bool = False
    hang: bool = False
    crash_on: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What `GET /load` reports; `age_s` tells how old it is."""

    running: int
    waiting: int
    max_parallel: int
    age_s: float


class Service:
    """The plain service.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.ServiceSettings) -> None:
        self.configured = configured
        self.faults = ServiceFaults()
        self.random = random.Random(configured.seed)
        self.places = asyncio.Semaphore(configured.max_parallel)
        self.running = 0
        self.waiting = 0
        self.bookings = 0
        self.reads = 0
        self.errors = 0
        self.crashes = 0
        self.back_at_s = 0.0
        self.requests: dict[int, aiohttp.web.Request] = {}
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.runs_by_request_id: collections.Counter[str] = (
            collections.Counter()
        )
        self.load = Load(
            running=0,
            waiting=0,
            max_parallel=configured.max_parallel,
            age_s=0.0,
        )
        self.load_at_s = time.monotonic()

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        application.router.add_get("/load", self.get_load)
        application.router.add_get("/health", self.get_health)
        application.router.add_route(
            "*", "/{service}/{path:.*}", self.handle_call
        )
        web.repeat_in_background(
            application, self.refresh_load, self.configured.load_lag_s
        )
        return application

    def make_counts(self) -> object:
        """Returns the counts, with runs by key and by request id."""
        return {
            "bookings": self.bookings,
            "reads": self.reads,
            "errors": self.errors,
            "crashes": self.crashes,
            "running": self.running,
            "waiting": self.waiting,
            "runs_by_key": self.runs_by_key,
            "runs_by_request_id": self.runs_by_request_id,
        }

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults."""
        self.faults = settings.decode_strictly(body, ServiceFaults)

    async def get_health(self, _: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers 200 while the service is up."""
        if self.is_away():
            return web.make_error(503, "restarting")
        return web.make_json({"state": "up"})

    async def get_load(self, _: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers the load as it was at the last refresh."""
        if self.is_away():
            return web.make_error(503, "restarting")
        if self.configured.load_lag_s <= 0.0:
            self.refresh_load()
        age_s = time.monotonic() - self.load_at_s
        return web.make_json(dataclasses.replace(self.load, age_s=age_s))

    def refresh_load(self) -> None:
        """Takes the load that is reported from now on."""
        self.load_at_s = time.monotonic()
        self.load = dataclasses.replace(
            self.load, running=self.running, waiting=self.waiting
        )

    async def handle_call(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Runs one read or booking."""
        if self.is_away():
            return web.make_error(503, "restarting")
        body = await request.read()
        if self.random.random() < self.faults.error_rate:
            self.errors += 1
            return web.make_error(500, "not run")
        self.requests[id(request)] = request
        try:
            while self.faults.hang:
                await asyncio.sleep(HANG_POLL_S)
            await self.take_place()
            try:
                return await self.run_call(request, body)
            finally:
                self.running -= 1
                self.places.release()
        finally:
            del self.requests[id(request)]

    async def take_place(self) -> None:
        """Waits until fewer than `max_parallel` calls run."""
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    async def run_call(
        self, request: aiohttp.web.Request, body: bytes
    ) -> aiohttp.web.Response:
        """Runs a call that has a place and counts it first."""
        is_read = request.method in READ_METHODS
        if is_read:
            self.reads += 1
        else:
            self.count_booking(request)
        booking = self.bookings
        crash_on = self.faults.crash_on
        if crash_on and not is_read and crash_on.encode() in body:
            self.crash()
            return web.drop_connection(request)
        service_time_s = self.configured.service_time_ms / 1000.0
        await asyncio.sleep(service_time_s * self.faults.slow_factor)
        if is_read:
            return web.make_json({"path": request.path})
        if self.faults.die_after_run:
            return web.drop_connection(request)
        return web.make_json({"booking": booking, "path": request.path})

    def count_booking(self, request: aiohttp.web.Request) -> None:
        """Counts one run of a call that may not be repeated."""
        self.bookings += 1
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            self.runs_by_key[key] += 1
        request_id = request.headers.get("X-Request-Id")
        if request_id is not None:
            self.runs_by_request_id[request_id] += 1

    def crash(self) -> None:
        """Closes every open call and stays away for `restart_s`."""
        self.crashes += 1
        self.back_at_s = time.monotonic() + self.configured.restart_s
        for request in self.requests.values():
            web.drop_connection(request)

    def is_away(self) -> bool:
        """Tells whether the service is restarting after a crash."""
        return time.monotonic() < self.back_at_s
