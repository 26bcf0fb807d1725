"""Steps for upstreams that send endless answers to the HTTP client."""

import asyncio

import aiohttp
from behave import then
from behave import when
from support import endless_answers
from support import raw_servers
import uvloop

from rhubarbbank_platform import runners
from rhubarbbank_router import events
from rhubarbbank_runtime import close_delimited
from rhubarbbank_runtime import exchange_socket
from rhubarbbank_runtime import http_once

TIMEOUT_S = 10.0


async def exchange(context, answer):
    """Sends an attempt to a server that runs `answer`; records the events."""
    context.applied = []
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=exchange_socket.open_socket
        ),
        response_class=close_delimited.CloseTrackingResponse,
        max_line_size=runners.MAX_LINE_BYTES,
        max_field_size=runners.MAX_LINE_BYTES,
        middlewares=(http_once.send_once,),
    )
    async with endless_answers.serve(answer) as port, session:
        client = runners.UpstreamClient(
            session=session,
            apply=context.applied.append,
            spawn=lambda work: None,
        )
        async with asyncio.timeout(TIMEOUT_S):
            await client.run(raw_servers.build_send_attempt(port=port))


@when("an upstream sends {what} without end")
def send_endless(context, what):
    context.server = endless_answers.EndlessServer(what)
    uvloop.run(exchange(context, context.server.answer))


@then("the client aborts the exchange before it gets {most:d} MB")
def check_aborted(context, most):
    ended = context.applied[-1]
    assert ended.end is events.AttemptEnd.BROKEN, ended
    sent_bytes = context.server.sent_bytes
    assert sent_bytes <= most * 1e6, sent_bytes


@when("an upstream sends {size:d} MB in chunks of 1 byte")
def send_small_chunks(context, size):
    context.sent_bytes = size * 1_000_000

    async def answer(writer):
        writer.write(endless_answers.CHUNKED)
        for _ in range(context.sent_bytes // endless_answers.CHUNK_BYTES):
            writer.write(b"1\r\nx\r\n" * endless_answers.CHUNK_BYTES)
            await writer.drain()
        remaining = context.sent_bytes % endless_answers.CHUNK_BYTES
        writer.write(b"1\r\nx\r\n" * remaining)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    uvloop.run(exchange(context, answer))


@then("the client has received the whole body")
def check_body(context):
    assert context.applied[-1].end is events.AttemptEnd.COMPLETE
    received_bytes = sum(
        len(each.data)
        for each in context.applied
        if isinstance(each, events.UpstreamData)
    )
    assert received_bytes == context.sent_bytes, received_bytes
