"""Calls the upstream beside a sidecar: a model engine or a plain service."""

import asyncio
from collections.abc import Callable
import contextlib
import logging

import aiohttp
import msgspec

from rhubarbbank_core import answer_bounds
from rhubarbbank_core import defaults
from rhubarbbank_core import events
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx

LOG = logging.getLogger(__name__)
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_MARK = b"[DONE]"
OBSERVE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
ORDER_TIMEOUT = aiohttp.ClientTimeout(total=600.0)
FIRST_ERROR_STATUS = 400
UNREACHED_STATUS = 0


class LoadReport(msgspec.Struct, frozen=True):
    """An upstream's load report."""

    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    age_s: float = 0.0


class VersionList(msgspec.Struct, frozen=True):
    """What an engine says it has loaded.

    Attributes:
        loaded: As `model@version`.
        loading: As `model@version`.
        last_fence: The highest fencing number that it has seen.
    """

    loaded: list[str]
    loading: list[str] = []
    last_fence: int = 0


class OrderBody(msgspec.Struct, frozen=True):
    """An order to an engine."""

    order: str
    model: str
    version: str
    fence: int


class EndlessAnswerError(aiohttp.ClientError):
    """An answer went on past what is taken of one.

    Args:
        most: How much is taken.
        unit: What that counts, in the plural.
    """

    def __init__(self, most: int, unit: str) -> None:
        super().__init__(
            f"an answer went on past {most} {unit}; look at the upstream"
        )


class EventParser:
    """Cuts a byte stream into server-sent events.

    Attributes:
        rest: Bytes of an event that isn't whole yet.
        idle_bytes: Bytes since the last event with a payload.
        count: Such events so far.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.idle_bytes = 0
        self.count = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the payloads of the events that are now whole.

        Raises:
            EndlessAnswerError: The stream is taken to have no end.
        """
        pieces = (self.rest + data).split(EVENT_END)
        self.rest = pieces.pop()
        found = [
            piece.removeprefix(DATA_PREFIX)
            for piece in pieces
            if piece.startswith(DATA_PREFIX)
        ]
        self.idle_bytes += len(data)
        if found:
            self.idle_bytes = len(self.rest)
            self.count += len(found)
        if self.idle_bytes > answer_bounds.MAX_IDLE_BYTES:
            raise EndlessAnswerError(
                answer_bounds.MAX_IDLE_BYTES, "bytes without an event"
            )
        if self.count > answer_bounds.MAX_ANSWER_EVENTS:
            raise EndlessAnswerError(answer_bounds.MAX_ANSWER_EVENTS, "events")
        return found


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns an answer's body.

    Raises:
        EndlessAnswerError: It is longer than `MAX_ANSWER_BYTES`.
        aiohttp.ClientError: The connection broke off.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > answer_bounds.MAX_ANSWER_BYTES:
            raise EndlessAnswerError(answer_bounds.MAX_ANSWER_BYTES, "bytes")
    return bytes(body)


class UpstreamHttp:
    """The upstream as its sidecar sees it.

    Attributes:
        url: Base URL of the upstream.
        session: The HTTP session; the owner closes it.
        apply: Takes the events that come of a call.
        calls: Running calls, by request id and attempt.
    """

    def __init__(
        self,
        *,
        url: str,
        session: aiohttp.ClientSession,
        apply: Callable[[events.AnyEvent], None],
    ) -> None:
        self.url = url
        self.session = session
        self.apply = apply
        self.calls: dict[tuple[str, int], asyncio.Task[None]] = {}

    def start(self, call: fx.CallUpstream) -> None:
        """Begins a call; its events go to `apply`."""
        name = (call.request_id, call.attempt)
        task = asyncio.get_running_loop().create_task(self.run(call))
        self.calls[name] = task
        task.add_done_callback(lambda _: self.calls.pop(name, None))

    def cancel(self, effect: fx.CancelUpstream) -> None:
        """Breaks off a call."""
        task = self.calls.get((effect.request_id, effect.attempt))
        if task is not None:
            task.cancel()

    async def run(self, call: fx.CallUpstream) -> None:
        """Carries out a call and reports how it ended."""
        try:
            async with asyncio.timeout(call.timeout_s):
                ended = await self.send(call)
        except aiohttp.ClientConnectorError:
            ended = end_call(call, events.UpstreamEnd.UNREACHED)
        except TimeoutError:
            ended = end_call(call, events.UpstreamEnd.TIMED_OUT)
        except (aiohttp.ClientError, OSError) as error:
            LOG.info("call %s broke off: %s", call.request_id, error)
            ended = end_call(call, events.UpstreamEnd.BROKEN)
        self.apply(ended)

    async def send(self, call: fx.CallUpstream) -> events.UpstreamEnded:
        """Sends a call and takes its answer in."""
        async with self.session.request(
            call.method,
            f"{self.url}{call.path}",
            data=call.body or None,
            headers=build_headers(call),
            timeout=aiohttp.ClientTimeout(total=None),
        ) as response:
            if not call.streamed:
                return await self.take_whole(call, response)
            if response.status >= FIRST_ERROR_STATUS:
                return end_call(
                    call,
                    events.UpstreamEnd.REFUSED,
                    status=response.status,
                    retry_after_s=read_retry_after(response),
                )
            return await self.take_stream(call, response)

    async def take_whole(
        self, call: fx.CallUpstream, response: aiohttp.ClientResponse
    ) -> events.UpstreamEnded:
        """Takes in a plain service's answer."""
        body = await read_body(response)
        self.apply(events.UpstreamData(call.request_id, call.attempt, [body]))
        return end_call(
            call,
            events.UpstreamEnd.COMPLETE,
            status=response.status,
            content_type=response.content_type,
        )

    async def take_stream(
        self, call: fx.CallUpstream, response: aiohttp.ClientResponse
    ) -> events.UpstreamEnded:
        """Takes in an engine's stream, up to its end marker."""
        parser = EventParser()
        while data := await response.content.readany():
            found = parser.feed(data)
            if not found:
                continue
            self.apply(
                events.UpstreamData(call.request_id, call.attempt, found)
            )
            if found[-1] == DONE_MARK:
                return end_call(
                    call, events.UpstreamEnd.COMPLETE, status=response.status
                )
        return end_call(call, events.UpstreamEnd.BROKEN)

    async def observe(self, fixed_version: str) -> events.UpstreamObserved:
        """Asks the upstream for its load and its loaded versions.

        Args:
            fixed_version: A plain service's version; empty for an engine.
        """
        try:
            load = msgspec.json.decode(await self.get("/load"), type=LoadReport)
            held = VersionList([fixed_version])
            if not fixed_version:
                held = msgspec.json.decode(
                    await self.get("/versions"), type=VersionList
                )
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return events.UpstreamObserved(False, path_messages.Load(), [])
        return events.UpstreamObserved(
            True,
            path_messages.Load(
                load.running, load.waiting, load.max_batch, load.age_s
            ),
            held.loaded,
            held.loading,
            held.last_fence,
        )

    async def get(self, path: str) -> bytes:
        """Returns the body of a read."""
        async with self.session.get(
            f"{self.url}{path}", timeout=OBSERVE_TIMEOUT
        ) as response:
            response.raise_for_status()
            return await read_body(response)

    async def order(self, order: fx.OrderUpstream) -> None:
        """Gives the engine an order and reports its answer."""
        body = OrderBody(order.order, order.model, order.version, order.fence)
        status = UNREACHED_STATUS
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.session.post(
                f"{self.url}/orders",
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=ORDER_TIMEOUT,
            ) as response:
                status = response.status
        self.apply(events.OrderEnded(order.order_id, status))

    async def close(self) -> None:
        """Breaks off all calls."""
        tasks = list(self.calls.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def build_headers(call: fx.CallUpstream) -> dict[str, str]:
    """Returns the headers of a call."""
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Priority": str(call.priority),
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def read_retry_after(response: aiohttp.ClientResponse) -> float:
    """Returns the answer's Retry-After in seconds, or 0."""
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdigit() else 0.0


def end_call(
    call: fx.CallUpstream,
    end: events.UpstreamEnd,
    *,
    status: int = UNREACHED_STATUS,
    content_type: str = "",
    retry_after_s: float = 0.0,
) -> events.UpstreamEnded:
    """Returns the event that ends a call."""
    return events.UpstreamEnded(
        request_id=call.request_id,
        attempt=call.attempt,
        end=end,
        status=status,
        content_type=content_type,
        retry_after_s=min(retry_after_s, defaults.MAX_DEADLINE_S),
    )
