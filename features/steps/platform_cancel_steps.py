"""Steps that break exchanges off while they connect."""

import asyncio
import os

import aiohttp
from behave import then
import uvloop

from rhubarbbank_platform import runners
from rhubarbbank_platform import store_api
from rhubarbbank_platform import watched_socket
from rhubarbbank_router import effects

LOCAL = "127.0.0.1"
MOST_TURNS = 12
ROUNDS = 10


def build_sending(port):
    return effects.SendAttempt(
        request_id="a1",
        attempt=1,
        attempt_id="a1",
        upstream_id="i",
        address=f"{LOCAL}:{port}",
        method="GET",
        target="/",
        host="h",
        headers=(),
        body=b"",
        time_left_s=2.0,
        organisation="",
        model="",
        priority=1,
        resume_after="",
        streamed=False,
        connect_timeout_s=1.0,
    )


async def hold(reader, writer):
    """Takes a request and never answers."""
    await reader.read()
    writer.close()


async def break_off(begin):
    """Breaks exchanges off after any number of turns of the loop.

    Returns:
        How many descriptors of others were closed by it.
    """
    server = await asyncio.start_server(hold, LOCAL, 0)
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=watched_socket.open_socket
        ),
        response_class=runners.WatchedResponse,
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
    exchange = runners.Runners(
        session=session, apply=lambda _: None, spawn=lambda _: None
    )
    await exchange.exchange(build_sending(port))


async def call_store(session, port):
    api = store_api.StoreApi(address=f"{LOCAL}:{port}", session=session)
    await api.get("config", "main")


@then("breaking off an attempt while it connects closes nobody else's socket")
def check_attempts(context):
    assert uvloop.run(break_off(call_upstream)) == 0


@then("breaking off a store call while it connects closes nobody else's socket")
def check_store_calls(context):
    assert uvloop.run(break_off(call_store)) == 0
