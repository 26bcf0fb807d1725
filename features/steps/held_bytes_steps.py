"""Steps for the account of what connections hold."""

import asyncio
from unittest import mock

from aiohttp import web
from behave import given
from behave import then
from behave import when

from rhubarbbank_runtime import caller_connection
from rhubarbbank_runtime import held_bytes
from rhubarbbank_runtime import host_limits

TIMEOUTS = caller_connection.ConnectionTimeouts(header_s=5.0, idle_s=5.0)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
MB = host_limits.BYTES_PER_MB
Stage = held_bytes.Stage
RESIDENT_BYTES = 55 * MB
BODY_BYTES = 4_194_304
ORDINARY_BYTES = 2_000
# An ordinary caller is there for as long as this many others take to come.
ORDINARY_COUNT = 20
CROWDS = {
    "unfinished uploads": (BODY_BYTES - 1, Stage.RECEIVING),
    "idle connections": (0, Stage.RECEIVING),
    "unread answers": (100_000, Stage.ANSWERING),
}


def build_account(context, policy=None):
    return held_bytes.HeldBytes(limits=context.limits, policy=policy)


def hold(account, size, stage, *, now):
    """Opens a connection; returns it, and those that have given way."""
    holder = account.open(now=now)
    leaving = reduce(account, now=now)
    account.resize(holder, size)
    account.move(holder, stage, now=now)
    return holder, leaving + reduce(account, now=now)


def reduce(account, *, now):
    leaving = account.choose_leaving(now=now)
    for each in leaving:
        account.close(each)
    assert account.held_bytes <= account.limits.max_bytes
    assert len(account.holders) <= account.limits.max_connections
    return leaving


def play(account, crowd, *, count, duration_s):
    """Returns the numbers of all, and of ordinary ones, that gave way."""
    size, stage = CROWDS[crowd]
    ordinary, gone = [], []
    for number in range(count):
        now = duration_s * number / count
        if number % 2:
            gone += hold(account, size, stage, now=now)[1]
            continue
        holder, leaving = hold(
            account, ORDINARY_BYTES, Stage.RECEIVING, now=now
        )
        gone += leaving
        ordinary.append(holder)
        if len(ordinary) >= ORDINARY_COUNT:
            account.close(ordinary[-ORDINARY_COUNT])
    return gone, [each for each in ordinary if each in gone]


@given("an entry on a host with {memory:d} MB and {count:d} descriptors")
def set_limits(context, memory, count):
    context.limits = host_limits.compute_limits(
        memory_bytes=memory * MB,
        max_descriptors=count,
        resident_bytes=RESIDENT_BYTES,
    )


@given("an entry without limits")
def set_no_limits(context):
    context.limits = caller_connection.UNLIMITED


@when(
    "{count:d} {crowd} come within {time:g} s, and ordinary callers beside them"
)
def play_crowd(context, count, crowd, time):
    context.play = {"crowd": crowd, "count": count * 2, "duration_s": time}
    context.gone, context.harmed = play(build_account(context), **context.play)


@then("what is held stays within the limits")
def check_within(context):
    # Each step of the load has checked it; some had to give way for that.
    assert context.gone


@then("no ordinary caller has given way")
def check_ordinary(context):
    assert not context.harmed, len(context.harmed)


@then("with the naive policy, ordinary callers give way")
def check_naive(context):
    account = build_account(context, held_bytes.Newest())
    assert play(account, **context.play)[1]


@then("nobody has given way")
def check_nobody(context):
    assert not context.gone


@when("requests of {size:d} bytes arrive until one may not run")
def fill_with_requests(context, size):
    context.account = build_account(context)
    context.running = []
    while True:
        holder, _ = hold(context.account, size, Stage.RECEIVING, now=0.0)
        if not context.account.may_run(holder):
            context.account.close(holder)
            return
        context.account.move(holder, Stage.RUNNING, now=0.0)
        context.running.append(holder)


@then(
    "at least {count:d} of them runs, and a small request may run beside them"
)
def check_small(context, count):
    assert len(context.running) >= count
    small, leaving = hold(
        context.account, ORDINARY_BYTES, Stage.RECEIVING, now=1.0
    )
    assert not leaving
    assert context.account.may_run(small)


@then("none of those that run gives way to {count:d} unfinished uploads")
def check_running(context, count):
    gone, _ = play(
        context.account, "unfinished uploads", count=count, duration_s=10.0
    )
    assert gone
    assert not set(gone) & set(context.running)


@then("connections and requests that run use at most {count:d} descriptors")
def check_descriptors(context, count):
    used = context.limits.max_connections + len(context.running)
    assert used <= count, used


@then("the entry can still take connections")
def check_can_take(context):
    assert context.account.can_take()


@when("as many requests run as connections are allowed")
def run_most(context):
    context.account = build_account(context)
    for _ in range(context.limits.max_connections):
        hold(context.account, 0, Stage.RUNNING, now=0.0)


@then("the entry can't take connections")
def check_full(context):
    assert not context.account.can_take()


async def receive(first, more, *, turns):
    """Returns whether a connection is closed that received two pieces."""

    async def read_body(request):
        with caller_connection.suspend_timeouts(request):
            await request.read()
            return web.Response()

    server = caller_connection.CallerServer(
        read_body, get_timeouts=lambda: TIMEOUTS
    )
    connection = server()
    transport = mock.Mock(asyncio.Transport)
    transport.get_write_buffer_size.return_value = 0
    connection.connection_made(transport)
    connection.data_received(first)
    for _ in range(turns):
        await asyncio.sleep(0)
    connection.data_received(more)
    is_closed = transport.close.called
    connection.connection_lost(None)
    return is_closed


@when("a caller sends {first}, and {size:d} bytes more after {turns:d} turns")
def send_pieces(context, first, size, turns):
    head = HEAD if first == "a head" else HEAD[:-4] + b"\r\nA: "
    field = b"x" * 4_000 + b"\r\nA: "
    more = field * (size // len(field))
    context.is_closed = asyncio.run(receive(head, more, turns=turns))


@then("the connection is {state}")
def check_connection(context, state):
    assert context.is_closed == (state == "closed")


async def serve_slowly(request):
    """Serves a request as the ingress does, with some work in between."""
    with caller_connection.suspend_timeouts(request):
        body = await request.read()
        connection = caller_connection.find_connection(request)
        assert connection.start_running()
        await asyncio.sleep(0.05)
        response = web.Response(text=str(len(body)))
        return await caller_connection.send_whole(request, response)


async def ask_ahead(size, early):
    """Returns what a caller gets whose second body comes in two parts."""
    server = caller_connection.CallerServer(
        serve_slowly, get_timeouts=lambda: TIMEOUTS
    )
    listening = await asyncio.get_running_loop().create_server(
        server, "127.0.0.1", 0
    )
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    await asyncio.sleep(0.01)
    writer.write(HEAD + b"x" * early)
    await asyncio.sleep(0.01)
    writer.write(b"x" * (size - early))
    received = b""
    while piece := await asyncio.wait_for(reader.read(65_536), 5.0):
        received += piece
        if received.count(b"HTTP/1.1") > 1 and received.endswith(b"000"):
            break
    writer.close()
    listening.close()
    await server.shutdown(0.1)
    return received


@when("a second request of {size:d} bytes begins while the first is served")
def send_ahead(context, size):
    context.received = [
        asyncio.run(ask_ahead(size, early)) for early in (0, 5_000, size)
    ]


@then("both are answered, whenever the rest of the body comes")
def check_both(context):
    for received in context.received:
        assert received.count(b"HTTP/1.1 200") == 2, received
        assert received.endswith(b"100000"), received
