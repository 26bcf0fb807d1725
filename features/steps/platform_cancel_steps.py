"""Steps that break exchanges off while they connect."""

import asyncio
import os

import aiohttp
from behave import then
from support import raw_servers
import uvloop

from rhubarbbank_core import store
from rhubarbbank_platform import runners
from rhubarbbank_platform import store_api
from rhubarbbank_runtime import http_session
from rhubarbbank_runtime import store_http
from rhubarbbank_runtime import watched_socket

MOST_TURNS = 12
ROUNDS = 10


async def hold(reader, writer):
    """Takes a request and never answers."""
    await reader.read()
    writer.close()


async def break_off(begin, middlewares=()):
    """Breaks exchanges off after any number of turns of the loop.

    Returns:
        How many descriptors of others were closed by it.
    """
    server = await asyncio.start_server(hold, raw_servers.LOCAL, 0)
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=watched_socket.open_socket
        ),
        response_class=runners.CloseTrackingResponse,
        middlewares=middlewares,
    ) as session:
        for turns in list(range(MOST_TURNS)) * ROUNDS:
            task = asyncio.ensure_future(begin(session, port))
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            # These get the numbers of descriptors that are free now.
            others = os.pipe()
            del task
            await asyncio.sleep(0)
            for descriptor in others:
                try:
                    os.fstat(descriptor)
                    os.close(descriptor)
                except OSError:
                    closed += 1
    server.close()
    return closed


async def call_upstream(session, port):
    exchange = runners.UpstreamClient(
        session=session, apply=lambda _: None, spawn=lambda _: None
    )
    await exchange.exchange(raw_servers.build_sending(port=port))


async def call_store(session, port):
    api = store_api.StoreApi(
        address=f"{raw_servers.LOCAL}:{port}", session=session
    )
    await api.get("config", "main")


@then("breaking off an attempt while it connects closes nobody else's socket")
def check_attempts(context):
    assert uvloop.run(break_off(call_upstream)) == 0


@then("breaking off a store call while it connects closes nobody else's socket")
def check_store_calls(context):
    assert uvloop.run(break_off(call_store)) == 0


async def call_object_api(session, port):
    api = store_http.StoreHttp(
        url=f"http://{raw_servers.LOCAL}:{port}", session=session, client="t"
    )
    await api.call(
        store.StoreCall(
            call_id=1,
            operation=store.StoreOperation.GET,
            key="k",
            timeout_s=1.0,
        )
    )


@then("breaking off an object call while it connects closes no other socket")
def check_object_calls(context):
    found = break_off(call_object_api, middlewares=http_session.MIDDLEWARES)
    assert uvloop.run(found) == 0
