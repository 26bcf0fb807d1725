"""Opens the HTTP client session for calls to upstreams and stores."""

import aiohttp

from rhubarbbank_runtime import close_delimited
from rhubarbbank_runtime import exchange_socket
from rhubarbbank_runtime import http_once

MIDDLEWARES = (http_once.send_once, exchange_socket.prevent_double_close)


def open_session() -> aiohttp.ClientSession:
    """Returns a session without a connection limit; the caller closes it.

    The session doesn't retry requests, and aborts a response that sends too
    many bytes without body data. Needs a running event loop.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=0,
            socket_factory=exchange_socket.open_socket,
        ),
        response_class=close_delimited.CloseTrackingResponse,
        middlewares=MIDDLEWARES,
    )
