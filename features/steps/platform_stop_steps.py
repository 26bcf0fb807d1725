"""Steps on callers' connections at the end of a graceful stop."""

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
ANSWER_START = b"HTTP/1.1 200"


class Caller:
    """A caller's connection.

    Attributes:
        name: What it stands for.
        begun: Whether it could send a head after the stop.
        answer: What came after that.
    """

    def __init__(self, name):
        self.name = name
        self.begun = False
        self.answer = b""

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection(
            raw_servers.LOCALHOST, port
        )

    async def exchange(self):
        """A whole request and its answer, after which it rests."""
        self.writer.write(HEAD + BODY)
        await self.reader.readuntil(b"\r\n\r\n")

    async def ask(self, *, head_after_s, body_after_s):
        """Sends a request in two parts, unless the connection is closed."""
        await asyncio.sleep(head_after_s)
        if self.reader.at_eof():
            return
        self.begun = True
        with contextlib.suppress(OSError):
            self.writer.write(HEAD)
            await asyncio.sleep(body_after_s)
            await self.end()

    async def end(self):
        """Sends the body, and takes what comes until the end."""
        self.writer.write(BODY)
        self.answer = await self.reader.read()


async def answer(request):
    """Reads a request, as an entry does, and answers it."""
    with caller_connection.suspend_timeouts(request):
        await request.read()
        response = web.Response()
        await response.prepare(request)
        await response.write_eof()
        return response


class Stand:
    """What an entry's service needs to close its intake.

    Attributes:
        tasks: What it spawned.
    """

    def __init__(self, *, server, site):
        self.tasks = []
        self.caller_server = server
        self.caller_site = site
        self.shell = types.SimpleNamespace(spawn=self.spawn)

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))


@given(
    "callers with a kept connection and a new one, and one whose body is on "
    "its way"
)
def build_callers(context):
    context.kept = Caller("kept")
    context.new = Caller("new")
    context.sending = Caller("sending")


@when("the entry takes no more requests and ends {end:g} s later")
def set_end(context, end):
    context.end_s = end


@when(
    "each caller sends a request's head after {head:g} s, and its body after "
    "{body:g} s more"
)
def play_stop(context, head, body):
    async def play():
        server = caller_connection.CallerServer(
            answer, get_timeouts=lambda: TIMEOUTS
        )
        runner = web.ServerRunner(server, shutdown_timeout=context.end_s)
        await runner.setup()
        site = web.TCPSite(runner, raw_servers.LOCALHOST, 0)
        await site.start()
        port = runner.addresses[0][1]
        for caller in (context.kept, context.new, context.sending):
            await caller.connect(port)
        await context.kept.exchange()
        context.sending.writer.write(HEAD)
        await asyncio.sleep(head)
        stand = Stand(server=server, site=site)
        entry_service.EntryService.stop_accepting(
            stand, effects.StopAccepting()
        )
        asks = [
            asyncio.create_task(x.ask(head_after_s=head, body_after_s=body))
            for x in (context.kept, context.new)
        ]
        await asyncio.sleep(context.end_s / 2)
        last = asyncio.create_task(context.sending.end())
        await asyncio.sleep(context.end_s / 2)
        await runner.cleanup()
        await asyncio.gather(*asks, last, *stand.tasks)

    uvloop.run(play())


@then("no caller's request is cut off after it began")
def check_none_cut(context):
    for caller in (context.kept, context.new):
        answered = caller.answer.startswith(ANSWER_START)
        assert answered or not caller.begun, caller.name


@then("the request whose body was on its way is answered")
def check_answered(context):
    found = context.sending.answer
    assert found.startswith(ANSWER_START), found
