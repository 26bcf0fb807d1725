"""Steps for upstreams that send endless responses to their sidecar."""

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

CALL_TIMEOUT_S = 8.0


async def run_client(context, answer, make_calls):
    """Makes calls with the sidecar's client to a server with this answer."""
    context.events = []
    session = http_session.open_session()
    async with endless_answers.serve(answer) as port, session:
        await make_calls(
            upstream_http.UpstreamHttp(
                url=f"http://{raw_servers.LOCALHOST}:{port}",
                session=session,
                apply=context.events.append,
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
        timeout_s=CALL_TIMEOUT_S,
    )


def call_endless(context, response_part, *, streamed):
    context.server = endless_answers.EndlessServer(response_part)
    uvloop.run(
        run_client(
            context,
            context.server.answer,
            lambda upstream: upstream.run(build_call(1, streamed=streamed)),
        )
    )


@when("the sidecar calls a plain service that sends {response_part} endlessly")
def call_service(context, response_part):
    call_endless(context, response_part, streamed=False)


@when("the sidecar calls an engine that sends {response_part} endlessly")
def call_engine(context, response_part):
    call_endless(context, response_part, streamed=True)


@then("the sidecar aborts the call within {max_mb:d} MB")
def check_aborted(context, max_mb):
    assert context.events[-1].end is events.UpstreamEnd.BROKEN
    check_sent_bytes(context, max_mb)


def check_sent_bytes(context, max_mb):
    sent_bytes = context.server.sent_bytes
    assert sent_bytes <= max_mb * 1e6, sent_bytes


@when(
    "the sidecar requests the load of an upstream that sends {response_part} "
    "endlessly"
)
def observe_endless(context, response_part):
    async def observe(upstream):
        context.observed = await upstream.observe("")

    context.server = endless_answers.EndlessServer(response_part)
    uvloop.run(run_client(context, context.server.answer, observe))


@then("the upstream is reported as unhealthy within {max_mb:d} MB")
def check_unhealthy(context, max_mb):
    assert not context.observed.healthy
    check_sent_bytes(context, max_mb)


@when(
    "the sidecar makes {count:d} calls to an upstream, each answered with "
    "{size_kb:d} KB"
)
def make_sequential_calls(context, count, size_kb):
    context.connection_count = 0
    body = b"x" * (size_kb * 1000)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def answer_calls(reader, writer):
        context.connection_count += 1
        for _ in range(count):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
        await writer.drain()

    async def make_calls():
        session = http_session.open_session()
        server = await asyncio.start_server(
            answer_calls, raw_servers.LOCALHOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        async with server, session:
            upstream = upstream_http.UpstreamHttp(
                url=f"http://{raw_servers.LOCALHOST}:{port}",
                session=session,
                apply=context.events.append,
            )
            for attempt in range(count):
                await upstream.run(build_call(attempt, streamed=False))

    context.events = []
    context.body_bytes = len(body)
    uvloop.run(make_calls())


@then("all calls complete on one connection")
def check_complete(context):
    ends = [x for x in context.events if isinstance(x, events.UpstreamEnded)]
    assert ends
    assert all(x.end is events.UpstreamEnd.COMPLETE for x in ends), ends
    bodies = [x for x in context.events if isinstance(x, events.UpstreamData)]
    assert [len(x.events[0]) for x in bodies] == [context.body_bytes] * len(
        ends
    )
    assert context.connection_count == 1
