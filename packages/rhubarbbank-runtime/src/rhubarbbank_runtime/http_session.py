"""Opens the HTTP client session for calls to upstreams and stores."""

import aiohttp

from rhubarbbank_runtime import bounded_answer
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import watched_socket

MIDDLEWARES = (http_once.send_once, watched_socket.own_descriptor)


def open_session() -> aiohttp.ClientSession:
    """Returns a session without a connection limit; the caller closes it.

    The session doesn't retry requests, and aborts a response that sends too
    many bytes without body data. Needs a running event loop.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=0,
            socket_factory=watched_socket.open_socket,
        ),
        response_class=bounded_answer.BoundedResponse,
        middlewares=MIDDLEWARES,
    )
