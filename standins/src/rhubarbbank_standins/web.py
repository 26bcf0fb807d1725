"""HTTP helpers that all stand-ins share.

Every stand-in serves `GET /counts` and `POST /faults` beside its own paths.
These two always answer, whatever faults are switched on; `POST /faults`
replaces all faults at once, so that `{}` clears them.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

import aiohttp.web
import msgspec

from rhubarbbank_standins import settings

BODY_LIMIT_BYTES = 64_000_000
CONTROL_PATHS = frozenset({"/counts", "/faults"})

Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]]


class Standin(Protocol):
    """What the bundle needs of each stand-in."""

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve; called once, in the loop."""

    def make_counts(self) -> object:
        """Returns what `GET /counts` answers."""

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults by those in a JSON object."""


def make_application(*, standin: Standin) -> aiohttp.web.Application:
    """Returns an application with the two control paths of a stand-in."""

    async def get_counts(_: aiohttp.web.Request) -> aiohttp.web.Response:
        return make_json(standin.make_counts())

    async def post_faults(
        request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        try:
            standin.set_faults(await request.read())
        except settings.SettingsError as error:
            return make_error(400, str(error))
        return make_json({})

    application = aiohttp.web.Application(client_max_size=BODY_LIMIT_BYTES)
    application.router.add_get("/counts", get_counts)
    application.router.add_post("/faults", post_faults)
    return application


def make_json(
    content: object,
    *,
    status: int = 200,
    headers: Mapping[str, str] | None = None,
) -> aiohttp.web.Response:
    """Returns a JSON response."""
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
        headers=headers,
    )


def make_error(
    status: int, text: str, *, headers: Mapping[str, str] | None = None
) -> aiohttp.web.Response:
    """Returns an error in the shape of the chat API."""
    return make_json(
        {"error": {"code": status, "message": text}},
        status=status,
        headers=headers,
    )


def drop_connection(request: aiohttp.web.Request) -> aiohttp.web.Response:
    """Closes the connection so that the caller gets no answer.

    Returns:
        A response for the handler to return; it never reaches the caller.
    """
    if request.transport is not None:
        request.transport.abort()
    return aiohttp.web.Response(status=500)


def repeat_in_background(
    application: aiohttp.web.Application,
    action: Callable[[], None],
    interval_s: float,
) -> None:
    """Calls an action at an interval while the application is served.

    Args:
        application: The application whose life the calls follow.
        action: What to call.
        interval_s: Seconds between calls; nothing is called for 0.
    """

    async def repeat() -> None:
        while interval_s > 0.0:
            await asyncio.sleep(interval_s)
            action()

    async def run(_: aiohttp.web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(repeat())
        yield
        task.cancel()

    application.cleanup_ctx.append(run)
