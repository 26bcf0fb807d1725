"""The HTTP server for callers.

Each request has an `Exchange`, to which the reducer's effects add the answer.
The request's handler writes everything added since its last write at once,
and waits while the connection's send buffer is full. If a caller reads too
slowly or closes its connection, the reducer gets a `CallerGone` event.
"""

import asyncio
from collections.abc import Callable
import logging
import os

from aiohttp import web
import msgspec

from rhubarbbank_core import defaults
from rhubarbbank_core import errors
from rhubarbbank_core import events
from rhubarbbank_core import problem_status
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests

LOG = logging.getLogger(__name__)
MAX_UNSENT_BYTES = 4_000_000
EVENT_START = b"data: "
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
}
JSON_TYPE = "application/json"
MAX_HEADER_BYTES = 8_190


class Exchange:
    """One open request and the state of its answer.

    Attributes:
        request_id: Id of the request.
        ready: Set when the handler has something to write or to end.
        stream_start: The effect that started a streamed answer, or None.
        unsent: Bytes of the stream that are still to be written.
        whole_answer: The answer if it isn't streamed, or None.
        problem: The error to answer with, or None.
        is_complete: Whether the answer is complete.
    """

    def __init__(self, *, request_id: str) -> None:
        self.request_id = request_id
        self.ready = asyncio.Event()
        self.stream_start: fx.StartAnswer | None = None
        self.unsent = bytearray()
        self.whole_answer: fx.WholeAnswer | None = None
        self.problem: errors.Problem | None = None
        self.is_complete = False

    def complete(self) -> None:
        """Marks the answer as complete."""
        self.is_complete = True
        self.ready.set()


class CallerHttp:
    """Serves callers' requests.

    Attributes:
        apply: Passes an event to the reducer.
        describe: Returns a problem's message and remedy in the language of
            an Accept-Language header.
        exchanges: Open requests, by request id.
        id_prefix: Random prefix that makes request ids unique across processes.
        last_number: Number of the last request.
    """

    def __init__(
        self,
        *,
        apply: Callable[[events.AnyEvent], None],
        describe: Callable[[errors.Problem, str], tuple[str, str]],
    ) -> None:
        self.apply = apply
        self.describe = describe
        self.exchanges: dict[str, Exchange] = {}
        self.id_prefix = os.urandom(6).hex()
        self.last_number = 0

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for callers' requests."""
        app.router.add_post("/v1/chat/completions", self.serve_chat)
        app.router.add_route(
            "*", "/services/{service}/{path:.*}", self.serve_service
        )

    async def serve_chat(self, request: web.Request) -> web.StreamResponse:
        """Serves a chat completion request."""
        return await self.serve(request, kind=requests.WorkKind.CHAT)

    async def serve_service(self, request: web.Request) -> web.StreamResponse:
        """Serves a request to a plain service."""
        return await self.serve(request, kind=requests.WorkKind.SERVICE)

    async def serve(
        self, request: web.Request, *, kind: requests.WorkKind
    ) -> web.StreamResponse:
        """Reads and checks a request, and writes its answer."""
        self.last_number += 1
        request_id = f"{self.id_prefix}-{self.last_number:x}"
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return self.build_error_response(
                request,
                request_id,
                errors.Problem(
                    code=errors.ErrorCode.BODY_TOO_LARGE,
                    detail=f"at most {defaults.MAX_BODY_BYTES} bytes",
                ),
            )
        service = request.match_info.get("service", "")
        parsed = requests.parse_request(
            request_id=request_id,
            kind=kind,
            headers=parse_headers(request),
            service=service,
            method=request.method,
            path=request.raw_path.removeprefix("/services"),
            body=body,
        )
        if isinstance(parsed, errors.Problem):
            return self.build_error_response(request, request_id, parsed)
        exchange = Exchange(request_id=request_id)
        self.exchanges[request_id] = exchange
        try:
            self.apply(events.RequestReceived(parsed))
            return await self.write_answer(request, exchange)
        except (asyncio.CancelledError, ConnectionError):
            if not exchange.is_complete:
                self.apply(events.CallerGone(request_id))
            raise
        finally:
            del self.exchanges[request_id]

    async def write_answer(
        self, request: web.Request, exchange: Exchange
    ) -> web.StreamResponse:
        """Writes the answer as the reducer's effects add to it."""
        await exchange.ready.wait()
        if exchange.stream_start is None:
            return self.build_response(request, exchange)
        response = web.StreamResponse(headers=STREAM_HEADERS)
        for header in exchange.stream_start.headers:
            response.headers[header.name] = header.value
        await response.prepare(request)
        while True:
            exchange.ready.clear()
            data = bytes(exchange.unsent)
            exchange.unsent.clear()
            if data:
                await response.write(data)
            if exchange.is_complete and not exchange.unsent:
                return response
            await exchange.ready.wait()

    def build_response(
        self, request: web.Request, exchange: Exchange
    ) -> web.Response:
        """Returns an answer that isn't streamed."""
        if exchange.problem is not None:
            return self.build_error_response(
                request, exchange.request_id, exchange.problem
            )
        whole = exchange.whole_answer
        if whole is None:
            raise RuntimeError(
                "the exchange ended without an answer or an error"
            )
        response = web.Response(
            status=whole.status,
            body=whole.body,
            content_type=whole.content_type,
        )
        for header in whole.headers:
            response.headers[header.name] = header.value
        return response

    def build_error_response(
        self, request: web.Request, request_id: str, problem: errors.Problem
    ) -> web.Response:
        """Returns the error response for a problem."""
        headers = {"X-Request-Id": request_id}
        retry_after = problem_status.format_retry_after(problem)
        if retry_after is not None:
            headers["Retry-After"] = retry_after
        language = request.headers.get("Accept-Language", "")
        message, remedy = self.describe(problem, language)
        return web.Response(
            status=problem_status.get_status(problem),
            body=problem_status.build_body(
                problem, message=message, remedy=remedy
            ),
            content_type=JSON_TYPE,
            headers=headers,
        )

    def start_answer(self, effect: fx.StartAnswer) -> None:
        """Starts a streamed answer."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.stream_start = effect
            exchange.ready.set()

    def write_events(self, effect: fx.WriteEvents) -> None:
        """Adds events to a streamed answer."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            return
        for event in effect.events:
            exchange.unsent += EVENT_START + event + EVENT_END
        exchange.ready.set()
        if len(exchange.unsent) > MAX_UNSENT_BYTES and not exchange.is_complete:
            LOG.warning(
                "request %s: caller reads too slowly", effect.request_id
            )
            exchange.unsent.clear()
            exchange.complete()
            self.apply(events.CallerGone(effect.request_id))

    def end_answer(self, effect: fx.EndAnswer) -> None:
        """Ends a streamed answer with the `[DONE]` event."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.unsent += DONE_EVENT
            exchange.complete()

    def write_whole_answer(self, effect: fx.WholeAnswer) -> None:
        """Answers a request with an answer that isn't streamed."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.whole_answer = effect
            exchange.complete()

    def refuse_caller(self, effect: fx.RefuseCaller) -> None:
        """Ends a request with an error; in a started stream, as an event."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            return
        exchange.problem = effect.problem
        if exchange.stream_start is not None:
            message, remedy = self.describe(effect.problem, "")
            body = problem_status.build_body(
                effect.problem, message=message, remedy=remedy
            )
            exchange.unsent += EVENT_START + body + EVENT_END
        exchange.complete()


def parse_headers(request: web.Request) -> requests.CallerHeaders:
    """Returns the headers that control how a request is handled.

    Common client libraries send an API key as the bearer token, so the
    organisation is taken from there if there is no `X-Organisation` header.
    """
    headers = request.headers
    bearer = headers.get("Authorization", "").removeprefix("Bearer ")
    return requests.CallerHeaders(
        organisation=headers.get("X-Organisation", bearer),
        session=headers.get("X-Session", ""),
        request_class=headers.get("X-Request-Class", ""),
        priority=headers.get("X-Priority", ""),
        deadline_ms=headers.get("X-Deadline-Ms", ""),
        idempotency_key=headers.get("Idempotency-Key", ""),
    )


def build_json_response(
    value: msgspec.Struct, *, status: int = 200
) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        status=status, body=msgspec.json.encode(value), content_type=JSON_TYPE
    )
