"""HTTP client of the platform's object API."""

import base64
import http

import aiohttp
import msgspec

from rhubarbbank_core import store
from rhubarbbank_runtime import progress_timeout

IF_ABSENT_HEADERS = {"If-None-Match": "*"}
WATCH_TIMEOUT_MARGIN_S = 2.0
# How much longer a list may take whose bytes keep arriving. Other responses are
# small, and a write's outcome has to be known by the call's timeout.
TRANSFER_TIMEOUT_S = 5.0


class ListedObject(msgspec.Struct, frozen=True):
    """One object in the response to a list or a watch."""

    key: str
    version: int
    value: str = ""
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """The response to a list or a watch."""

    revision: int
    objects: list[ListedObject]


STATUS_OUTCOMES: dict[int, store.StoreOutcome] = {
    http.HTTPStatus.OK: store.StoreOutcome.OK,
    http.HTTPStatus.NO_CONTENT: store.StoreOutcome.OK,
    http.HTTPStatus.NOT_FOUND: store.StoreOutcome.NOT_FOUND,
    http.HTTPStatus.PRECONDITION_FAILED: store.StoreOutcome.CONFLICT,
    http.HTTPStatus.TOO_MANY_REQUESTS: store.StoreOutcome.THROTTLED,
}


class StoreHttp:
    """Calls the object API on behalf of one process.

    Attributes:
        url: Base URL of the object API.
        session: The HTTP session; its owner closes it.
        client: This process's name, sent in the `X-Client` header for the
            platform's accounting.
    """

    def __init__(
        self, *, url: str, session: aiohttp.ClientSession, client: str
    ) -> None:
        self.url = url
        self.session = session
        self.client = client

    async def call(self, call: store.StoreCall) -> store.StoreReply:
        """Makes a call; reports failures as outcomes, not as exceptions."""
        try:
            return await self.send(call)
        except aiohttp.ClientConnectorError:
            outcome = store.StoreOutcome.UNAVAILABLE
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.MsgspecError,
        ):
            outcome = store.StoreOutcome.UNKNOWN
        return store.StoreReply(call_id=call.call_id, outcome=outcome)

    async def send(self, call: store.StoreCall) -> store.StoreReply:
        """Sends a call and reads its response."""
        headers = {"X-Client": self.client}
        if call.operation is store.StoreOperation.PUT:
            headers |= build_condition(call.expected_version)
        method, path = build_target(call)
        async with self.session.request(
            method,
            f"{self.url}{path}",
            params=build_params(call),
            data=call.value or None,
            headers=headers,
            timeout=build_timeout(call),
        ) as response:
            body = await response.read()
            return read_reply(call, response, body)


def build_timeout(call: store.StoreCall) -> aiohttp.ClientTimeout:
    """Returns the time limits of a call."""
    silence_s, transfer_s = call.timeout_s, 0.0
    match call.operation:
        case store.StoreOperation.WATCH:
            silence_s += WATCH_TIMEOUT_MARGIN_S
        case store.StoreOperation.LIST:
            transfer_s = TRANSFER_TIMEOUT_S
    return progress_timeout.build_timeout(
        silence_s=silence_s, transfer_s=transfer_s
    )


def build_target(call: store.StoreCall) -> tuple[str, str]:
    """Returns the HTTP method and path of a call."""
    match call.operation:
        case store.StoreOperation.LIST:
            return "GET", "/objects"
        case store.StoreOperation.WATCH:
            return "GET", "/watch"
        case _:
            return call.operation.value.upper(), f"/objects/{call.key}"


def build_params(call: store.StoreCall) -> dict[str, str]:
    """Returns the query parameters of a call."""
    match call.operation:
        case store.StoreOperation.LIST:
            return {"prefix": call.key}
        case store.StoreOperation.WATCH:
            return {
                "prefix": call.key,
                "after": str(call.expected_version),
                "timeout_s": str(call.timeout_s),
            }
        case _:
            return {}


def build_condition(expected_version: int) -> dict[str, str]:
    """Returns the header that makes a write conditional."""
    if expected_version == store.ABSENT_VERSION:
        return IF_ABSENT_HEADERS
    return {"If-Match": f'"{expected_version}"'}


def read_reply(
    call: store.StoreCall, response: aiohttp.ClientResponse, body: bytes
) -> store.StoreReply:
    """Returns the reply that an HTTP response stands for."""
    outcome = get_outcome(call, response.status)
    version = int(response.headers.get("ETag", "0").strip('"'))
    if call.operation in (
        store.StoreOperation.LIST,
        store.StoreOperation.WATCH,
    ):
        return read_listing(call, outcome, body)
    objects: tuple[store.StoredObject, ...] = ()
    if version:
        is_stored = (
            call.operation is store.StoreOperation.PUT
            and outcome is store.StoreOutcome.OK
        )
        value = call.value if is_stored else body
        objects = (store.StoredObject(call.key, version, value),)
    return store.StoreReply(
        call_id=call.call_id, outcome=outcome, objects=objects
    )


def get_outcome(call: store.StoreCall, status: int) -> store.StoreOutcome:
    """Returns the outcome that an HTTP status stands for.

    A write that ends with an unexpected status may still have taken effect
    behind the server that answered, so the object has to be read back.
    """
    outcome = STATUS_OUTCOMES.get(status)
    if outcome is not None:
        return outcome
    write_operations = (store.StoreOperation.PUT, store.StoreOperation.DELETE)
    if call.operation in write_operations:
        return store.StoreOutcome.UNKNOWN
    return store.StoreOutcome.UNAVAILABLE


def read_listing(
    call: store.StoreCall, outcome: store.StoreOutcome, body: bytes
) -> store.StoreReply:
    """Returns the reply to a list or a watch."""
    if outcome is not store.StoreOutcome.OK:
        return store.StoreReply(call_id=call.call_id, outcome=outcome)
    listing = msgspec.json.decode(body, type=Listing)
    objects = tuple(
        store.StoredObject(x.key, x.version, base64.b64decode(x.value))
        for x in listing.objects
        if not x.deleted
    )
    return store.StoreReply(
        call_id=call.call_id,
        outcome=outcome,
        objects=objects,
        revision=listing.revision,
    )
