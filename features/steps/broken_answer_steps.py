"""Steps for answers that upstreams break off or garble."""

import asyncio
import dataclasses

import aiohttp
from behave import then
from behave import when
from support import broken_answers
from support import raw_servers
import uvloop

from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_platform import runners
from rhubarbbank_router import events
from rhubarbbank_runtime import close_delimited
from rhubarbbank_runtime import exchange_socket
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import http_session
from rhubarbbank_runtime import upstream_http

KB = 1_000
UPLOAD_KB = 4_000
MS_PER_S = 1000.0


async def send_attempt(server, body):
    """Returns the events of an entry's attempt at a server."""
    found = []
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=exchange_socket.open_socket
        ),
        response_class=close_delimited.CloseTrackingResponse,
        middlewares=(http_once.send_once,),
    )
    async with server.serve() as port, session:
        client = runners.UpstreamClient(
            session=session, apply=found.append, spawn=asyncio.ensure_future
        )
        attempt = raw_servers.build_send_attempt(port=port)
        await client.run(dataclasses.replace(attempt, method="POST", body=body))
    return found


async def call_service(server, body):
    """Returns the events of a sidecar's call of a server."""
    found = []
    async with server.serve() as port, http_session.open_session() as session:
        upstream = upstream_http.UpstreamHttp(
            url=f"http://{raw_servers.LOCALHOST}:{port}",
            session=session,
            apply=found.append,
        )
        await upstream.run(
            fx.CallUpstream(
                request_id="a1",
                attempt=1,
                method="POST",
                path="/",
                body=body,
                streamed=False,
                priority=0,
                idempotency_key="",
                timeout_s=5.0,
            )
        )
    return found


@when(
    "an entry uploads 4 MB to an upstream that answers after {read:d} KB, "
    "without a length, and resets the connection after {wait:d} ms"
)
def upload_from_entry(context, read, wait):
    server = broken_answers.BrokenServer(
        read_bytes=read * KB, wait_s=wait / MS_PER_S
    )
    context.found = uvloop.run(send_attempt(server, bytes(UPLOAD_KB * KB)))


@then("the exchange is broken")
def check_exchange(context):
    assert context.found[-1].end is events.AttemptEnd.BROKEN, context.found


@when(
    "a sidecar uploads {size:d} KB to a service that answers after {read:d} "
    "KB, without a length, and {ends} the connection after {wait:d} ms"
)
def upload_from_sidecar(context, size, read, ends, wait):
    server = broken_answers.BrokenServer(
        read_bytes=read * KB, wait_s=wait / MS_PER_S, resets=ends == "resets"
    )
    context.found = uvloop.run(call_service(server, bytes(size * KB)))


@then("the call is {outcome}")
def check_call(context, outcome):
    ended = context.found[-1]
    assert ended.end is core_events.UpstreamEnd[outcome.upper()], ended


@when("an upstream answers an entry with status {status}")
def answer_entry(context, status):
    server = broken_answers.BrokenServer(
        status=f"{status} Odd", resets=False, has_length=True
    )
    context.found = uvloop.run(send_attempt(server, b"{}"))


@then("the answer isn't genuine")
def check_not_genuine(context):
    heads = [x for x in context.found if isinstance(x, events.UpstreamHead)]
    assert not any(x.genuine for x in heads), context.found


@when("a service answers its sidecar with status {status}")
def answer_sidecar(context, status):
    server = broken_answers.BrokenServer(
        status=f"{status} Odd", resets=False, has_length=True
    )
    context.found = uvloop.run(call_service(server, b"{}"))


@when('an upstream turns an entry away with 421, as "{name}"')
@when('an upstream turns an entry away with 421, as ""')
def turn_away(context, name=""):
    server = broken_answers.BrokenServer(
        status="421 Odd",
        resets=False,
        has_length=True,
        fields=f"X-Instance-Id: {name}\r\n" if name else "",
    )
    context.found = uvloop.run(send_attempt(server, b"{}"))


@then("the answer is a refusal of {whom}")
def check_refusal(context, whom):
    (head,) = [x for x in context.found if isinstance(x, events.UpstreamHead)]
    assert head.refused, head
    assert head.misdirected == (whom == "another process"), head
