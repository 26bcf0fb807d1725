"""Steps for upstreams that send bytes without end to their sidecar."""

import asyncio

from behave import then
from behave import when
from support import endless_answers
from support import raw_servers
import uvloop

from rhubarbbank_core import events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_runtime import http_session
from rhubarbbank_runtime import upstream_http

CALL_S = 8.0


async def use(context, answer, work):
    """Lets the sidecar's client work on a server that answers so."""
    context.applied = []
    session = http_session.open_session()
    async with endless_answers.serve(answer) as port, session:
        await work(
            upstream_http.UpstreamHttp(
                url=f"http://{raw_servers.LOCALHOST}:{port}",
                session=session,
                apply=context.applied.append,
            )
        )


def build_call(attempt, *, streamed):
    return fx.CallUpstream(
        request_id="a",
        attempt=attempt,
        method="POST",
        path="/",
        body=b"",
        streamed=streamed,
        priority=0,
        idempotency_key="",
        timeout_s=CALL_S,
    )


def call_endless(context, what, *, streamed):
    context.server = endless_answers.EndlessServer(what)
    uvloop.run(
        use(
            context,
            context.server.answer,
            lambda upstream: upstream.run(build_call(1, streamed=streamed)),
        )
    )


@when("the sidecar calls a plain service that sends {what} without end")
def call_plain(context, what):
    call_endless(context, what, streamed=False)


@when("the sidecar calls an engine that sends {what} without end")
def call_engine(context, what):
    call_endless(context, what, streamed=True)


@then("the call breaks off by itself before {most:d} MB have come")
def check_broken_off(context, most):
    assert context.applied[-1].end is events.UpstreamEnd.BROKEN
    check_sent(context, most)


def check_sent(context, most):
    sent_bytes = context.server.sent_bytes
    assert sent_bytes <= most * 1e6, sent_bytes


@when("the sidecar asks an upstream for its load that sends {what} without end")
def observe_endless(context, what):
    async def observe(upstream):
        context.observed = await upstream.observe("")

    context.server = endless_answers.EndlessServer(what)
    uvloop.run(use(context, context.server.answer, observe))


@then("the upstream is taken to be out of reach before {most:d} MB have come")
def check_out_of_reach(context, most):
    assert not context.observed.healthy
    check_sent(context, most)


@when(
    "the sidecar makes {count:d} calls to an upstream that answers {size:d} KB "
    "each"
)
def call_often(context, count, size):
    context.connections = 0
    body = b"x" * (size * 1000)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def take(reader, writer):
        context.connections += 1
        for _ in range(count):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
        await writer.drain()

    async def make_calls():
        session = http_session.open_session()
        server = await asyncio.start_server(take, raw_servers.LOCALHOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, session:
            upstream = upstream_http.UpstreamHttp(
                url=f"http://{raw_servers.LOCALHOST}:{port}",
                session=session,
                apply=context.applied.append,
            )
            for attempt in range(count):
                await upstream.run(build_call(attempt, streamed=False))

    context.applied = []
    context.size = len(body)
    uvloop.run(make_calls())


@then("each of them is complete")
def check_complete(context):
    ends = [x for x in context.applied if isinstance(x, events.UpstreamEnded)]
    assert ends
    assert all(x.end is events.UpstreamEnd.COMPLETE for x in ends), ends
    bodies = [x for x in context.applied if isinstance(x, events.UpstreamData)]
    assert [len(x.events[0]) for x in bodies] == [context.size] * len(ends)
    assert context.connections == 1
