"""Opens the HTTP session with which a process calls upstreams and stores."""

import aiohttp

from rhubarbbank_runtime import bounded_answer
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import watched_socket

MIDDLEWARES = (http_once.send_once, watched_socket.own_descriptor)


def open_session() -> aiohttp.ClientSession:
    """Returns a session without a limit of connections; the caller closes it.

    Each request is sent once, and answers that lead nowhere are broken off.
    A loop must be running.
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
