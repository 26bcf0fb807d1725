"""Steps that cancel exchanges while they connect.

They guard against this failure: if an exchange is cancelled just when its
connection is made, the event loop closes the socket's descriptor, and the
socket object closes the same number again when it is garbage collected. By
then, the number may belong to another connection.
"""

import asyncio
import os

import aiohttp
from behave import then
from behave import when
from support import raw_servers
import uvloop

from rhubarbbank_core import store
from rhubarbbank_platform import runners
from rhubarbbank_platform import store_api
from rhubarbbank_router import effects
from rhubarbbank_runtime import close_delimited
from rhubarbbank_runtime import exchange_socket
from rhubarbbank_runtime import http_session
from rhubarbbank_runtime import store_http

MAX_ITERATIONS = 12
ROUNDS = 10


async def handle_silently(reader, writer):
    """Reads a request and never answers."""
    await reader.read()
    writer.close()


async def cancel_exchanges(start, middlewares=()):
    """Cancels exchanges after 0 to 11 iterations of the event loop.

    Returns:
        The number of unrelated file descriptors that this closed.
    """
    server = await asyncio.start_server(
        handle_silently, raw_servers.LOCALHOST, 0
    )
    port = server.sockets[0].getsockname()[1]
    closed = 0
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=exchange_socket.open_socket
        ),
        response_class=close_delimited.CloseTrackingResponse,
        middlewares=middlewares,
    ) as session:
        for iterations in list(range(MAX_ITERATIONS)) * ROUNDS:
            task = asyncio.ensure_future(start(session, port))
            for _ in range(iterations):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            # The pipe reuses the descriptor numbers that are free now.
            unrelated = os.pipe()
            del task
            await asyncio.sleep(0)
            for descriptor in unrelated:
                try:
                    os.fstat(descriptor)
                    os.close(descriptor)
                except OSError:
                    closed += 1
    server.close()
    return closed


async def call_upstream(session, port):
    client = runners.UpstreamClient(
        session=session, apply=lambda _: None, spawn=lambda _: None
    )
    await client.exchange(raw_servers.build_send_attempt(port=port))


async def call_store(session, port):
    api = store_api.StoreApi(
        address=f"{raw_servers.LOCALHOST}:{port}", session=session
    )
    await api.get("config", "main")


@then("cancelling an attempt while it connects closes no other socket")
def check_attempts(context):
    assert uvloop.run(cancel_exchanges(call_upstream)) == 0


async def cancel_before_start(context):
    """Sends and cancels an attempt without a turn of the loop in between."""
    context.connections = 0

    def count(_reader, writer):
        context.connections += 1
        writer.close()

    server = await asyncio.start_server(count, raw_servers.LOCALHOST, 0)
    tasks = []
    async with aiohttp.ClientSession() as session:
        client = runners.UpstreamClient(
            session=session,
            apply=lambda _: None,
            spawn=lambda x: tasks.append(asyncio.ensure_future(x)),
        )
        port = server.sockets[0].getsockname()[1]
        client.send(raw_servers.build_send_attempt(port=port))
        client.cancel(effects.CancelAttempt("a1", 1))
        await asyncio.wait(tasks)
        assert not client.attempts
    server.close()


@when("an attempt is cancelled in the turn in which it is sent")
def cancel_at_once(context):
    uvloop.run(cancel_before_start(context))


@then("its upstream gets no connection")
def check_no_connection(context):
    assert context.connections == 0


@then("cancelling a store call while it connects closes no other socket")
def check_store_calls(context):
    assert uvloop.run(cancel_exchanges(call_store)) == 0


async def call_object_api(session, port):
    api = store_http.StoreHttp(
        url=f"http://{raw_servers.LOCALHOST}:{port}",
        session=session,
        client="t",
    )
    await api.call(
        store.StoreCall(
            call_id=1,
            operation=store.StoreOperation.GET,
            key="k",
            timeout_s=1.0,
        )
    )


@then("cancelling an object call while it connects closes no other socket")
def check_object_calls(context):
    count = cancel_exchanges(
        call_object_api, middlewares=http_session.MIDDLEWARES
    )
    assert uvloop.run(count) == 0
