"""Stand-in of the service that rates answers.

`POST /rate` takes `{"request_id", "model", "version", "request_class",
"answer"}` and answers `{"rating": 0..1}` after a delay. The rating is a beta
variate around the true quality of the version for the class; its seed is the
request id, so that the same request always gets the same rating. An answer
that carries an engine's quality-loss marker is rated that much lower.
"""

import asyncio
import dataclasses
import random
import re

import aiohttp.web
import msgspec

from rhubarbbank_standins import settings
from rhubarbbank_standins import web

ANY_CLASS = "*"
LOWEST_MEAN = 0.001
LOSS_MARKER = re.compile(r"<loss ([0-9.]+)>")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingFaults:
    """Faults of the rating service.

    Attributes:
        qualities: True qualities that stand in front of the settings'.
        lose: Share of ratings answered 503.
        delay_s: How long a rating takes; None for the settings' value.
    """

    qualities: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    lose: float = 0.0
    delay_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateRequest:
    """One answer to rate."""

    request_id: str
    model: str
    version: str
    request_class: str = ""
    answer: str = ""


@dataclasses.dataclass(slots=True)
class Counts:
    """Ratings given and lost."""

    rated: int = 0
    lost: int = 0


class Rating:
    """The rating service.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.RatingSettings) -> None:
        self.configured = configured
        self.faults = RatingFaults()
        self.random = random.Random(configured.seed)
        self.counts = Counts()

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        application.router.add_post("/rate", self.rate)
        return application

    def make_counts(self) -> object:
        """Returns the counts."""
        return self.counts

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults."""
        self.faults = settings.decode_strictly(body, RatingFaults)

    async def rate(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        """Answers one rating, late and noisy."""
        try:
            wanted = msgspec.json.decode(await request.read(), type=RateRequest)
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        delay_s = self.faults.delay_s
        if delay_s is None:
            delay_s = self.configured.delay_s
        await asyncio.sleep(delay_s)
        if self.random.random() < self.faults.lose:
            self.counts.lost += 1
            return web.make_error(503, "rating lost")
        self.counts.rated += 1
        return web.make_json({"rating": self.draw_rating(wanted)})

    def draw_rating(self, wanted: RateRequest) -> float:
        """Returns the request's rating, 0 to 1, the same at each call."""
        mean = self.find_quality(wanted) - read_quality_loss(wanted.answer)
        mean = min(1.0 - LOWEST_MEAN, max(LOWEST_MEAN, mean))
        concentration = self.configured.noise_concentration
        seeded = random.Random(f"{self.configured.seed}/{wanted.request_id}")
        return seeded.betavariate(
            mean * concentration, (1.0 - mean) * concentration
        )

    def find_quality(self, wanted: RateRequest) -> float:
        """Returns the true quality of a version for a class."""
        name = f"{wanted.model}@{wanted.version}"
        for qualities in (self.faults.qualities, self.configured.qualities):
            by_class = qualities.get(name, {})
            for request_class in (wanted.request_class, ANY_CLASS):
                if request_class in by_class:
                    return by_class[request_class]
        return self.configured.default_quality


def make_loss_marker(loss: float) -> str:
    """Returns the marker that an engine puts into a worse answer."""
    return f"<loss {loss:.2f}>"


def read_quality_loss(answer: str) -> float:
    """Returns the quality loss that an answer's marker tells, or 0."""
    found = LOSS_MARKER.search(answer)
    return float(found.group(1)) if found else 0.0
