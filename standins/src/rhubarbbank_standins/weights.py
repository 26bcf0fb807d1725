"""Stand-in of the platform's weight store.

`POST /fetch` takes `{"model", "version"}` and answers 200 once the weights
would have arrived, or 429 when too many fetches started within a minute.
"""

import asyncio
import collections
import dataclasses
import time

import aiohttp.web
import msgspec

from rhubarbbank_standins import settings
from rhubarbbank_standins import web

WINDOW_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightsFaults:
    """Faults of the weight store.

    Attributes:
        down: Every fetch is answered 503.
        delay_s: Every fetch takes this much longer.
    """

    down: bool = False
    delay_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FetchRequest:
    """The weights that an engine asks for."""

    model: str
    version: str


@dataclasses.dataclass(slots=True)
class Counts:
    """Fetches let in, refused by rate, and refused while down."""

    fetches: int = 0
    throttled: int = 0
    unavailable: int = 0


class Weights:
    """The weight store.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.WeightsSettings) -> None:
        self.configured = configured
        self.faults = WeightsFaults()
        self.counts = Counts()
        self.by_version: collections.Counter[str] = collections.Counter()
        self.started_at_s: collections.deque[float] = collections.deque()

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        application.router.add_post("/fetch", self.fetch)
        return application

    def make_counts(self) -> object:
        """Returns the counts, with fetches by "model@version"."""
        return {
            **dataclasses.asdict(self.counts),
            "by_version": self.by_version,
        }

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults."""
        self.faults = settings.decode_strictly(body, WeightsFaults)

    async def fetch(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers after the fetch time, or refuses at once."""
        if self.faults.down:
            self.counts.unavailable += 1
            return web.make_error(503, "unavailable")
        try:
            wanted = msgspec.json.decode(
                await request.read(), type=FetchRequest
            )
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        wait_s = self.measure_wait()
        if wait_s > 0.0:
            self.counts.throttled += 1
            return web.make_error(
                429,
                "too many fetches",
                headers={"Retry-After": str(int(wait_s) + 1)},
            )
        self.started_at_s.append(time.monotonic())
        self.counts.fetches += 1
        self.by_version[f"{wanted.model}@{wanted.version}"] += 1
        await asyncio.sleep(self.configured.fetch_seconds + self.faults.delay_s)
        return web.make_json({})

    def measure_wait(self) -> float:
        """Returns the seconds until a fetch may start; 0 for at once."""
        now = time.monotonic()
        while self.started_at_s and self.started_at_s[0] <= now - WINDOW_S:
            self.started_at_s.popleft()
        if len(self.started_at_s) < self.configured.fetches_per_minute:
            return 0.0
        if not self.started_at_s:
            return WINDOW_S
        return self.started_at_s[0] + WINDOW_S - now
