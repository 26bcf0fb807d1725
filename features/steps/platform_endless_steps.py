"""Steps for upstreams that send bytes without end to the HTTP client."""

import asyncio
import contextlib

import aiohttp
from behave import then
from behave import when
from support import raw_servers
import uvloop

from rhubarbbank_platform import runners
from rhubarbbank_router import events
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import watched_socket

PIECE_BYTES = 4096
# The exchange has to end long before.
MOST_BYTES = 100_000_000
MOST_S = 10.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what then comes again and again.
ENDLESS = {
    "a status line": (b"", b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "headers": (OK, b"A: b\r\n"),
    "one header": (OK + b"A: ", b"x"),
    "a chunk's size": (CHUNKED, b"0"),
    "an extension of chunks": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"A: b\r\n"),
}


async def exchange(context, answer):
    """Sends an attempt to a server that answers so; keeps its events."""
    context.applied = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(OSError):
            await answer(writer)
        writer.close()

    server = await asyncio.start_server(serve, raw_servers.LOCAL, 0)
    port = server.sockets[0].getsockname()[1]
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, socket_factory=watched_socket.open_socket
        ),
        response_class=runners.WatchedResponse,
        max_line_size=runners.MAX_LINE_BYTES,
        max_field_size=runners.MAX_LINE_BYTES,
        middlewares=(http_once.send_once,),
    )
    async with server, session:
        sender = runners.Runners(
            session=session,
            apply=context.applied.append,
            spawn=lambda work: None,
        )
        async with asyncio.timeout(MOST_S):
            await sender.run(raw_servers.build_sending(port=port))


@when("an upstream sends {what} without end")
def send_endless(context, what):
    first, again = ENDLESS[what]
    piece = again * (PIECE_BYTES // len(again))
    context.sent_bytes = 0

    async def answer(writer):
        writer.write(first)
        while context.sent_bytes < MOST_BYTES:
            writer.write(piece)
            context.sent_bytes += len(piece)
            await writer.drain()

    uvloop.run(exchange(context, answer))


@then("the exchange breaks off by itself before {most:d} MB have come")
def check_broken_off(context, most):
    ended = context.applied[-1]
    assert ended.end is events.AttemptEnd.BROKEN, ended
    assert context.sent_bytes <= most * 1e6, context.sent_bytes


@when("an upstream sends {size:d} MB in chunks of 1 byte")
def send_small_chunks(context, size):
    context.sent_bytes = size * 1_000_000

    async def answer(writer):
        writer.write(CHUNKED)
        for _ in range(context.sent_bytes // PIECE_BYTES):
            writer.write(b"1\r\nx\r\n" * PIECE_BYTES)
            await writer.drain()
        writer.write(b"1\r\nx\r\n" * (context.sent_bytes % PIECE_BYTES))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    uvloop.run(exchange(context, answer))


@then("all of its body has come")
def check_body(context):
    assert context.applied[-1].end is events.AttemptEnd.COMPLETE
    got = sum(
        len(each.data)
        for each in context.applied
        if isinstance(each, events.UpstreamData)
    )
    assert got == context.sent_bytes, got
