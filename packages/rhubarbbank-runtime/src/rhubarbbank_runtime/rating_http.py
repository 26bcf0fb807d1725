"""HTTP client for the platform's rating service."""

import aiohttp
import msgspec

from rhubarbbank_core import program_effects as fx

TIMEOUT = aiohttp.ClientTimeout(total=5.0)


class RatingAnswer(msgspec.Struct, frozen=True):
    """The response of the rating service, from 0 (worst) to 1 (best)."""

    rating: float


class RatingQuestion(msgspec.Struct, frozen=True):
    """The request to the rating service: an answer and its origin."""

    request_id: str
    model: str
    version: str
    request_class: str
    answer: str


async def request_rating(
    session: aiohttp.ClientSession, url: str, effect: fx.AskRating
) -> float | None:
    """Returns the rating of an answer, or None if the request fails."""
    question = RatingQuestion(
        effect.request_id,
        effect.model,
        effect.version,
        effect.request_class,
        effect.answer,
    )
    try:
        async with session.post(
            f"{url}/rate",
            data=msgspec.json.encode(question),
            headers={"Content-Type": "application/json"},
            timeout=TIMEOUT,
        ) as response:
            response.raise_for_status()
            body = await response.read()
        return msgspec.json.decode(body, type=RatingAnswer).rating
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None
