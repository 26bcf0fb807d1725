"""Steps for unexpected failures."""

import asyncio
import builtins
import contextlib
import logging
import time

import aiohttp
from behave import given
from behave import then
from behave import when
from support import raw_servers
import uvloop

from rhubarbbank_core import store
from rhubarbbank_platform import runners
from rhubarbbank_platform import store_api
from rhubarbbank_router import events
from rhubarbbank_runtime import peer_link
from rhubarbbank_runtime import shell
from rhubarbbank_runtime import store_http

TIMEOUT_S = 5.0


class FailingWork:
    """Work that fails a number of times, then returns."""

    def __init__(self, failures):
        self.failures = failures
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.starts <= self.failures:
            raise RuntimeError("unexpected")


class CancellationIgnoringWork:
    """Endless work that ignores its first cancellation.

    Attributes:
        error: The exception raised instead; None if it continues.
        cancelled: How often it was cancelled.
    """

    def __init__(self, error):
        self.error = error
        self.cancelled = 0

    async def run(self):
        while True:
            try:
                await asyncio.sleep(TIMEOUT_S)
            except asyncio.CancelledError:
                self.cancelled += 1
                if self.cancelled > 1:
                    raise
                if self.error is not None:
                    raise self.error from None


class FailingSession:
    """An HTTP client whose requests all fail."""

    def __init__(self, error):
        self.error = error

    def request(self, *args, **options):
        raise self.error


class RecordingHandler(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def record_log(name):
    """Yields the list of records that a logger receives in the block."""
    handler = RecordingHandler()
    logger = logging.getLogger(name)
    logger.addHandler(handler)
    logger.propagate = False
    try:
        yield handler.records
    finally:
        logger.propagate = True
        logger.removeHandler(handler)


@given("work that fails {failures:d} times and then returns")
def make_work(context, failures):
    context.work = FailingWork(failures)


@given("work that reacts to its first cancellation with {what}")
def make_cancellation_ignoring_work(context, what):
    error = None if what == "nothing" else RuntimeError(what)
    context.work = CancellationIgnoringWork(error)


@when("a shell that restarts it cancels it")
def cancel_work(context):
    async def stop():
        task = asyncio.create_task(shell.restart_on_failure(context.work.run))
        await asyncio.sleep(0)
        cancelled_at = time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                await shell.cancel_all([task])
        context.duration_s = time.monotonic() - cancelled_at

    with record_log(shell.LOG.name) as context.records:
        uvloop.run(stop())


@then("it has ended within {limit:g} s, and the log names it")
def check_ended(context, limit):
    assert context.duration_s < limit, context.duration_s
    lines = [record.getMessage() for record in context.records]
    assert any("restart_on_failure" in x for x in lines), lines


@when("a shell restarts it after failures")
def restart_work(context):
    with record_log(shell.LOG.name) as context.records:
        uvloop.run(shell.restart_on_failure(context.work.run))


@then("it has been started {times:d} times")
def check_starts(context, times):
    assert context.work.starts == times, context.work.starts


@then("each failure is logged")
def check_log(context):
    found = [str(record.exc_info[1]) for record in context.records]
    assert found == ["unexpected"] * context.work.failures, found


@when("an attempt fails in the HTTP client with {error}")
def fail_attempt(context, error):
    context.applied = []
    context.error = error
    exchange = runners.UpstreamClient(
        session=FailingSession(getattr(builtins, error)("unexpected")),
        apply=context.applied.append,
        spawn=lambda work: None,
    )
    with record_log(runners.LOG.name):
        uvloop.run(exchange.run(raw_servers.build_send_attempt(port=1)))


@then("the router is told that the attempt broke off, and why")
def check_broken_off(context):
    (ended,) = context.applied
    assert ended.end is events.AttemptEnd.BROKEN, ended
    assert ended.detail == f"{context.error}: unexpected", ended


@given("a store that answers every call with status {status:d}")
def set_status(context, status):
    context.status = status


async def call_stub_server(status, call):
    """Returns the result of a call to a server that sends a fixed status."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n".encode()
        )
        writer.close()

    server = await asyncio.start_server(answer, raw_servers.LOCALHOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server, aiohttp.ClientSession() as session:
        return await call(f"{raw_servers.LOCALHOST}:{port}", session)


async def read_configuration(address, session):
    api = store_api.StoreApi(address=address, session=session)
    return (await api.get("config", "main")).outcome


async def read_object(address, session):
    api = store_http.StoreHttp(
        url=f"http://{address}", session=session, client="test"
    )
    call = store.StoreCall(
        call_id=1, operation=store.StoreOperation.GET, key="k", timeout_s=1.0
    )
    return (await api.call(call)).outcome


@then('a read of the configuration ends with "{outcome}"')
def check_configuration(context, outcome):
    found = uvloop.run(call_stub_server(context.status, read_configuration))
    assert found == outcome, found


@then('a read of an object ends with "{outcome}"')
def check_object(context, outcome):
    found = uvloop.run(call_stub_server(context.status, read_object))
    assert found == outcome, found


@when("a frame carries three messages and the first one's handler fails")
def fail_message(context):
    context.handled = []

    def deliver(message):
        if message == 1:
            raise KeyError(message)
        context.handled.append(message)

    loop = asyncio.new_event_loop()
    link = peer_link.PeerLink(
        address="127.0.0.1:1",
        loop=loop,
        deliver=deliver,
        decode=list,
    )
    with record_log(peer_link.LOG.name) as context.logged:
        link.handle_frame(bytes((1, 2, 3)))
    link.stack.close()
    loop.close()


@then("the other two are handled, and the failure is logged")
def check_handled(context):
    assert context.handled == [2, 3], context.handled
    assert len(context.logged) == 1, context.logged
