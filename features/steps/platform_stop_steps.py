"""Steps for callers' connections at the end of a graceful stop."""

import asyncio
import contextlib
import types

from aiohttp import web
from behave import given
from behave import then
from behave import when
from support import raw_servers
import uvloop

from rhubarbbank_platform import entry_service
from rhubarbbank_router import effects
from rhubarbbank_runtime import caller_connection

TIMEOUTS = caller_connection.ConnectionTimeouts(header_s=5.0, idle_s=5.0)
BODY = b"x" * 1000
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(BODY)
RESPONSE_START = b"HTTP/1.1 200"


class Caller:
    """A caller's connection.

    Attributes:
        name: The state of the connection at the stop.
        started: Whether a head could be sent after the stop.
        response: The bytes received after that.
    """

    def __init__(self, name):
        self.name = name
        self.started = False
        self.response = b""

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(
            raw_servers.LOCALHOST, port
        )

    async def complete_request(self):
        """Makes a complete request, after which the connection is idle."""
        self.writer.write(HEAD + BODY)
        await self.reader.readuntil(b"\r\n\r\n")

    async def send_request(self, *, head_after_s, body_after_s):
        """Sends a head and later a body, unless the connection is closed."""
        await asyncio.sleep(head_after_s)
        if self.reader.at_eof():
            return
        self.started = True
        with contextlib.suppress(OSError):
            self.writer.write(HEAD)
            await asyncio.sleep(body_after_s)
            await self.send_body()

    async def send_body(self):
        """Sends the body and reads the response until the connection ends."""
        self.writer.write(BODY)
        self.response = await self.reader.read()


async def answer(request):
    """Reads a request as an entry does, and answers it."""
    with caller_connection.suspend_timeouts(request):
        await request.read()
        response = web.Response()
        await response.prepare(request)
        await response.write_eof()
        return response


class FakeService:
    """The attributes of `EntryService` that `stop_accepting` uses.

    Attributes:
        tasks: The tasks that were spawned.
    """

    def __init__(self, *, server, site):
        self.tasks = []
        self.caller_server = server
        self.caller_site = site
        self.shell = types.SimpleNamespace(spawn=self.spawn)

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))


@given(
    "callers with an idle connection, a new connection and an unfinished "
    "request body"
)
def create_callers(context):
    context.idle = Caller("idle")
    context.new = Caller("new")
    context.sending = Caller("sending")


@when("the entry stops accepting requests and exits {delay:g} s later")
def set_exit_delay(context, delay):
    context.exit_delay_s = delay


@when(
    "each caller sends a request's head after {head:g} s, and its body after "
    "{body:g} s more"
)
def stop_entry(context, head, body):
    async def run_stop():
        server = caller_connection.CallerServer(
            answer, get_timeouts=lambda: TIMEOUTS
        )
        runner = web.ServerRunner(server, shutdown_timeout=context.exit_delay_s)
        await runner.setup()
        site = web.TCPSite(runner, raw_servers.LOCALHOST, 0)
        await site.start()
        port = runner.addresses[0][1]
        for caller in (context.idle, context.new, context.sending):
            await caller.connect(port)
        await context.idle.complete_request()
        context.sending.writer.write(HEAD)
        await asyncio.sleep(head)
        service = FakeService(server=server, site=site)
        entry_service.EntryService.stop_accepting(
            service, effects.StopAccepting()
        )
        requests = [
            asyncio.create_task(
                x.send_request(head_after_s=head, body_after_s=body)
            )
            for x in (context.idle, context.new)
        ]
        await asyncio.sleep(context.exit_delay_s / 2)
        unfinished = asyncio.create_task(context.sending.send_body())
        await asyncio.sleep(context.exit_delay_s / 2)
        await runner.cleanup()
        await asyncio.gather(*requests, unfinished, *service.tasks)

    uvloop.run(run_stop())


@then("{count:d} connection counts as busy")
def check_busy(context, count):
    async def count_busy():
        server = caller_connection.CallerServer(
            answer, get_timeouts=lambda: TIMEOUTS
        )
        async with contextlib.AsyncExitStack() as stack:
            runner = web.ServerRunner(server, shutdown_timeout=0.1)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, raw_servers.LOCALHOST, 0).start()
            for caller in (context.idle, context.new, context.sending):
                await caller.connect(runner.addresses[0][1])
            await context.idle.complete_request()
            context.sending.writer.write(HEAD)
            await asyncio.sleep(0.1)
            return server.count_busy()

    found = uvloop.run(count_busy())
    assert found == count, found


@then("no request that started is aborted")
def check_none_aborted(context):
    for caller in (context.idle, context.new):
        answered = caller.response.startswith(RESPONSE_START)
        assert answered or not caller.started, caller.name


@then("the request with the unfinished body is answered")
def check_answered(context):
    found = context.sending.response
    assert found.startswith(RESPONSE_START), found
