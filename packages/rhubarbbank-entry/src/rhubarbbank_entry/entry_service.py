"""Entry process: connects the reducer to HTTP callers and the platform."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import time

from aiohttp import web

from rhubarbbank_core import defaults
from rhubarbbank_core import errors
from rhubarbbank_core import freshness
from rhubarbbank_core import options
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import program_start
from rhubarbbank_core import random_seed
from rhubarbbank_core import texts
from rhubarbbank_entry import reports
from rhubarbbank_runtime import caller_http
from rhubarbbank_runtime import event_loop
from rhubarbbank_runtime import platform_shell
from rhubarbbank_runtime import process_signals
from rhubarbbank_runtime import recorded_shell
from rhubarbbank_runtime import shell


def describe_problem(problem: errors.Problem, accept: str) -> tuple[str, str]:
    """Returns a problem's message and remedy in the caller's language.

    Only the first language of the header counts; the default is English.

    Args:
        problem: The problem to describe.
        accept: The caller's Accept-Language header.
    """
    language = texts.Language.EN
    if accept[:2] in set(texts.Language):
        language = texts.Language(accept[:2])
    text = texts.PROBLEMS[problem.code]
    return text.message.pick(language), text.remedy.pick(language)


def format_freshness(verdict: freshness.FreshnessVerdict) -> str:
    """Returns the label under which `/status` reports a verdict."""
    if verdict.problem is not None:
        return "stale"
    if verdict.in_outage:
        return "outage"
    return "unconfirmed" if verdict.is_unconfirmed else "fresh"


class EntryService(event_loop.ProgramService):
    """Runs one entry as an aiomisc service.

    Attributes:
        settings: The entry's settings.
    """

    def __init__(self, *, settings: options.EntrySettings) -> None:
        super().__init__()
        self.settings = settings

    async def start(self) -> None:
        """Starts the shell, the platform connection and the HTTP server."""
        settings = self.settings
        start = program_start.EntryStart(
            settings=settings,
            incarnation=time.time_ns(),
            seed=random_seed.draw_seed(settings.seed),
            clock_offset_s=time.time() - asyncio.get_running_loop().time(),
        )
        self.reducer = start.build_reducer()
        self.shell = shell.Shell(
            settings=settings,
            reducer=self.reducer,
            parts=recorded_shell.build_parts(settings, start),
        )
        self.callers = caller_http.CallerHttp(
            apply=self.shell.apply, describe=describe_problem
        )
        self.shell.handlers |= {
            fx.StartAnswer: self.callers.start_answer,
            fx.WriteEvents: self.callers.write_events,
            fx.EndAnswer: self.callers.end_answer,
            fx.WholeAnswer: self.callers.write_whole_answer,
            fx.RefuseCaller: self.callers.refuse_caller,
        }
        await self.shell.open()
        platform_shell.PlatformShell(settings=settings, shell=self.shell).open()
        await self.open_http()

    async def open_http(self) -> None:
        """Starts the HTTP server for callers, operators and the balancer."""
        app = web.Application(client_max_size=defaults.MAX_BODY_BYTES)
        self.callers.add_routes(app)
        app.router.add_get("/health", self.serve_health)
        app.router.add_get("/ready", self.serve_ready)
        app.router.add_get("/status", self.serve_status)
        app.router.add_get("/explain/{request_id}", self.serve_explanation)
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=defaults.TICK_S * 10,
            max_field_size=caller_http.MAX_HEADER_BYTES,
        )
        await runner.setup()
        self.shell.stack.push_async_callback(runner.cleanup)
        ip, _, port = self.settings.http_address.rpartition(":")
        await web.TCPSite(runner, ip, int(port)).start()

    def get_signal_handlers(self) -> Mapping[int, Callable[[float], None]]:
        """Returns a graceful stop as the handler of each signal."""
        return dict.fromkeys(
            process_signals.PROGRAM_SIGNALS, self.shell.request_stop
        )

    async def wait_stopped(self) -> None:
        """Waits until the graceful stop is complete."""
        await self.shell.stopped.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the shell and all that it opened."""
        await self.shell.close()

    async def serve_health(self, request: web.Request) -> web.Response:
        """Responds to a liveness check."""
        return web.Response(text="ok\n")

    async def serve_ready(self, request: web.Request) -> web.Response:
        """Responds whether the balancer should send callers to this entry."""
        state = self.reducer.state
        now = self.shell.loop.time()
        verdict = state.control.fleet.freshness.verdict(now=now)
        ready = not state.stopping and verdict.problem is None
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not\n"
        )

    async def serve_status(self, request: web.Request) -> web.Response:
        """Responds with the entry's status report."""
        state = self.reducer.state
        membership = state.control.fleet.membership
        return caller_http.build_json_response(
            reports.StatusReport(
                name=self.settings.name,
                table_revision=state.rows.revision,
                sidecars={
                    name: sidecar.heartbeat.revision
                    for name, sidecar in membership.sidecars.items()
                },
                open_requests=len(state.open),
                unsettled_records=len(state.unsettled),
                shards=len(state.control.owner.owned),
                freshness=format_freshness(
                    state.control.fleet.freshness.verdict(
                        now=self.shell.loop.time()
                    )
                ),
                stopping=state.stopping,
            )
        )

    async def serve_explanation(self, request: web.Request) -> web.Response:
        """Responds with the decisions on a recent request, or 404."""
        request_id = request.match_info["request_id"]
        decisions = self.reducer.explain(request_id)
        return caller_http.build_json_response(
            reports.Explanation(request_id, decisions),
            status=200 if decisions else 404,
        )
