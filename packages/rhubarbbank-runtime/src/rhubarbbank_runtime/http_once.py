"""Prevents the automatic retries of aiohttp.

aiohttp retries requests with an idempotent method (GET, PUT, DELETE) when the
server disconnects before it answers. The first request may already have taken
effect, and only its sender can decide whether to repeat it.
"""

import aiohttp


class AnswerLostError(aiohttp.ClientConnectionError):
    """The connection was lost after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raises an error that aiohttp doesn't retry when an answer is lost."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(str(error)) from error
