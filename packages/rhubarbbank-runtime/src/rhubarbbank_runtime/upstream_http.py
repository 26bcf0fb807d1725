"""HTTP client for a sidecar's upstream: a model engine or a plain service."""

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
from rhubarbbank_runtime import bounded_answer
from rhubarbbank_runtime import close_delimited
from rhubarbbank_runtime import exchange_socket

LOG = logging.getLogger(__name__)
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_PAYLOAD = b"[DONE]"
OBSERVE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
ORDER_TIMEOUT = aiohttp.ClientTimeout(total=600.0)
MIN_ERROR_STATUS = 400
NO_STATUS = 0


class LoadReport(msgspec.Struct, frozen=True):
    """The response of an upstream to `GET /load`."""

    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    age_s: float = 0.0


class VersionList(msgspec.Struct, frozen=True):
    """The response of an engine to `GET /versions`.

    Attributes:
        loaded: Loaded versions, each as `model@version`.
        loading: Versions being loaded, each as `model@version`.
        last_fence: The highest fencing token that the engine has seen.
    """

    loaded: list[str]
    loading: list[str] = []
    last_fence: int = 0


class OrderBody(msgspec.Struct, frozen=True):
    """The body of `POST /orders`: an order to load or unload a version."""

    order: str
    model: str
    version: str
    fence: int


class EndlessAnswerError(aiohttp.ClientError):
    """An answer exceeded a size limit.

    Args:
        limit: The largest size that is accepted.
        unit: The unit of that size, in the plural.
    """

    def __init__(self, limit: int, unit: str) -> None:
        super().__init__(
            f"the answer exceeds {limit} {unit}; check the upstream"
        )


class InvalidStatusError(aiohttp.ClientError):
    """An answer has a status that doesn't exist.

    Args:
        status: The status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(
            f"the answer has the status {status:03d}; check the upstream"
        )


class EventParser:
    """Splits a byte stream into server-sent events.

    Attributes:
        partial: Bytes of an event that isn't complete yet.
        idle_bytes: Bytes since the last event with a payload.
        event_count: Number of events with a payload so far.
    """

    def __init__(self) -> None:
        self.partial = b""
        self.idle_bytes = 0
        self.event_count = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the payloads of the events that `data` completes.

        Raises:
            EndlessAnswerError: The stream exceeds a size limit.
        """
        blocks = (self.partial + data).split(EVENT_END)
        self.partial = blocks.pop()
        payloads = [
            block.removeprefix(DATA_PREFIX)
            for block in blocks
            if block.startswith(DATA_PREFIX)
        ]
        self.idle_bytes += len(data)
        if payloads:
            self.idle_bytes = len(self.partial)
            self.event_count += len(payloads)
        if self.idle_bytes > answer_bounds.MAX_IDLE_BYTES:
            raise EndlessAnswerError(
                answer_bounds.MAX_IDLE_BYTES, "bytes without an event"
            )
        if self.event_count > answer_bounds.MAX_ANSWER_EVENTS:
            raise EndlessAnswerError(answer_bounds.MAX_ANSWER_EVENTS, "events")
        return payloads


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the body of a response.

    Raises:
        EndlessAnswerError: It is longer than `MAX_ANSWER_BYTES`.
        aiohttp.ClientError: The connection was lost.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > answer_bounds.MAX_ANSWER_BYTES:
            raise EndlessAnswerError(answer_bounds.MAX_ANSWER_BYTES, "bytes")
    return bytes(body)


class UpstreamHttp:
    """Calls, observes and orders one upstream.

    Attributes:
        url: Base URL of the upstream.
        session: The HTTP session; its owner closes it.
        apply: Passes an event to the reducer.
        calls: Tasks of the running calls, by request id and attempt.
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
        """Starts a call, which passes its events to `apply`."""
        key = (call.request_id, call.attempt)
        task = asyncio.get_running_loop().create_task(self.run(call))
        self.calls[key] = task
        task.add_done_callback(lambda _: self.calls.pop(key, None))

    def cancel(self, effect: fx.CancelUpstream) -> None:
        """Cancels a call."""
        task = self.calls.get((effect.request_id, effect.attempt))
        if task is not None:
            task.cancel()

    async def run(self, call: fx.CallUpstream) -> None:
        """Makes a call, and reports its end as an event."""
        try:
            async with asyncio.timeout(call.timeout_s):
                end_event = await self.send(call)
        except aiohttp.ClientConnectorError:
            end_event = build_end_event(call, events.UpstreamEnd.UNREACHED)
        except TimeoutError:
            end_event = build_end_event(call, events.UpstreamEnd.TIMED_OUT)
        except (aiohttp.ClientError, OSError) as error:
            LOG.info("call for request %s failed: %s", call.request_id, error)
            end_event = build_end_event(call, events.UpstreamEnd.BROKEN)
        self.apply(end_event)

    async def send(self, call: fx.CallUpstream) -> events.UpstreamEnded:
        """Sends a call, and receives its response."""
        async with (
            exchange_socket.track_socket() as tracked_socket,
            self.session.request(
                call.method,
                f"{self.url}{call.path}",
                data=call.body or None,
                headers=build_headers(call),
                timeout=aiohttp.ClientTimeout(total=None),
            ) as response,
        ):
            if response.status not in bounded_answer.FINAL_STATUSES:
                raise InvalidStatusError(response.status)
            if not call.streamed:
                return await self.receive_whole(call, response, tracked_socket)
            if response.status >= MIN_ERROR_STATUS:
                return build_end_event(
                    call,
                    events.UpstreamEnd.REFUSED,
                    status=response.status,
                    retry_after_s=parse_retry_after_s(response),
                )
            return await self.receive_stream(call, response)

    async def receive_whole(
        self,
        call: fx.CallUpstream,
        response: aiohttp.ClientResponse,
        tracked_socket: exchange_socket.ExchangeSocket,
    ) -> events.UpstreamEnded:
        """Receives a response that isn't streamed."""
        body = await read_body(response)
        if close_delimited.is_ended_by_close(response):
            await close_delimited.check_clean_close(response, tracked_socket)
        self.apply(events.UpstreamData(call.request_id, call.attempt, [body]))
        return build_end_event(
            call,
            events.UpstreamEnd.COMPLETE,
            status=response.status,
            content_type=response.content_type,
        )

    async def receive_stream(
        self, call: fx.CallUpstream, response: aiohttp.ClientResponse
    ) -> events.UpstreamEnded:
        """Receives a streamed response up to its `[DONE]` event."""
        parser = EventParser()
        while data := await response.content.readany():
            payloads = parser.feed(data)
            if not payloads:
                continue
            self.apply(
                events.UpstreamData(call.request_id, call.attempt, payloads)
            )
            if payloads[-1] == DONE_PAYLOAD:
                return build_end_event(
                    call, events.UpstreamEnd.COMPLETE, status=response.status
                )
        return build_end_event(call, events.UpstreamEnd.BROKEN)

    async def observe(self, fixed_version: str) -> events.UpstreamObserved:
        """Requests the upstream's load and its loaded versions.

        Args:
            fixed_version: A plain service's version; empty for an engine.
        """
        try:
            load = msgspec.json.decode(await self.get("/load"), type=LoadReport)
            versions = VersionList([fixed_version])
            if not fixed_version:
                versions = msgspec.json.decode(
                    await self.get("/versions"), type=VersionList
                )
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return events.UpstreamObserved(False, path_messages.Load(), [])
        return events.UpstreamObserved(
            True,
            path_messages.Load(
                load.running, load.waiting, load.max_batch, load.age_s
            ),
            versions.loaded,
            versions.loading,
            versions.last_fence,
        )

    async def get(self, path: str) -> bytes:
        """Returns the body of a GET response.

        Raises:
            aiohttp.ClientError: The request failed, or its status is an error.
        """
        async with self.session.get(
            f"{self.url}{path}", timeout=OBSERVE_TIMEOUT
        ) as response:
            response.raise_for_status()
            return await read_body(response)

    async def send_order(self, order: fx.OrderUpstream) -> None:
        """Sends the engine an order, and reports the status as an event."""
        body = OrderBody(order.order, order.model, order.version, order.fence)
        status = NO_STATUS
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
        """Cancels all calls, and waits until they have ended."""
        tasks = list(self.calls.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def build_headers(call: fx.CallUpstream) -> dict[str, str]:
    """Returns the request headers of a call."""
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": call.request_id,
        "X-Priority": str(call.priority),
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return headers


def parse_retry_after_s(response: aiohttp.ClientResponse) -> float:
    """Returns a response's `Retry-After` in seconds; 0 if absent or a date."""
    text = response.headers.get("Retry-After", "")
    return float(text) if text.isdigit() else 0.0


def build_end_event(
    call: fx.CallUpstream,
    end: events.UpstreamEnd,
    *,
    status: int = NO_STATUS,
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
