"""Callers that read their answers while a test does harm to the fleet.

A `Caller` sends one request from a thread of its own and keeps what it got:
the pieces of a stream as they come, the error, or how its connection broke.
"""

from collections.abc import Sequence
import dataclasses
import http.client
import json
import threading
import time
from typing import Any

from support import fleets

DATA = b"data: "
DONE = b"[DONE]"
CALLER_TIMEOUT_S = 40.0
HANG_UP_AFTER_S = 0.3
CHAT_PATH = "/v1/chat/completions"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """One request.

    Attributes:
        address: Of the entry.
        path: The path.
        headers: The headers.
        body: The body.
    """

    address: str
    path: str
    headers: dict[str, str]
    body: bytes


class Caller:
    """One request on its way.

    Attributes:
        sent: What it asked.
        status: HTTP status, or 0 while there is none.
        headers: The answer's headers.
        texts: The stream's pieces of text, in the order of their arrival.
        body: The whole body of an answer that isn't streamed.
        error: The error object, of a whole answer or inside a stream.
        is_answered: Whether the end mark or the whole body came.
        broken: How the connection broke, or empty.
        took_s: How long it took in all.
    """

    def __init__(self, sent: Sent) -> None:
        self.sent = sent
        self.status = 0
        self.headers: dict[str, str] = {}
        self.texts: list[str] = []
        self.finishes = 0
        self.body = b""
        self.error: Any = None
        self.is_answered = False
        self.broken = ""
        self.took_s = 0.0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    @property
    def text(self) -> str:
        """The streamed text so far."""
        return "".join(self.texts)

    @property
    def request_id(self) -> str:
        """The request's id, as the entry named it."""
        return self.headers.get("X-Request-Id", "")

    def run(self) -> None:
        """Sends the request and reads the answer."""
        began = time.monotonic()
        connection = http.client.HTTPConnection(
            self.sent.address, timeout=CALLER_TIMEOUT_S
        )
        try:
            self.exchange(connection)
        except (OSError, http.client.HTTPException) as error:
            self.broken = repr(error)
        finally:
            connection.close()
            self.took_s = time.monotonic() - began

    def exchange(self, connection: http.client.HTTPConnection) -> None:
        """Sends the request and reads the answer, piece by piece."""
        encoded = {k: v.encode() for k, v in self.sent.headers.items()}
        connection.request(
            "POST", self.sent.path, body=self.sent.body, headers=encoded
        )
        response = connection.getresponse()
        self.headers = dict(response.getheaders())
        self.status = response.status
        if "event-stream" in self.headers.get("Content-Type", ""):
            while line := response.readline():
                self.take_line(line.strip())
            return
        self.body = response.read()
        if "X-Model-Version" in self.headers or self.status < 400:
            self.is_answered = True
        else:
            self.error = json.loads(self.body)["error"]

    def take_line(self, line: bytes) -> None:
        """Takes one line of a stream."""
        if not line.startswith(DATA):
            return
        payload = line.removeprefix(DATA)
        if payload == DONE:
            self.is_answered = True
            return
        event = json.loads(payload)
        if "error" in event:
            self.error = event["error"]
            return
        for choice in event["choices"]:
            if choice["delta"].get("content"):
                self.texts.append(choice["delta"]["content"])
            self.finishes += choice.get("finish_reason") is not None

    def join(self) -> "Caller":
        """Waits until the request is over."""
        self.thread.join(CALLER_TIMEOUT_S + 5)
        assert not self.thread.is_alive(), f"no end: {self.sent}"
        return self

    def is_over(self) -> bool:
        """Returns whether the request is over."""
        return not self.thread.is_alive()

    def describe(self) -> str:
        """Returns what became of the request, for failures."""
        return (
            f"{self.request_id} {self.status} {len(self.texts)} pieces, "
            f"answered {self.is_answered}, error {self.error}, "
            f"broken {self.broken}"
        )


def stream(
    address: str,
    text: str,
    *,
    organisation: str = "tc-innsbruck",
    model: str = "lang",
    key: str = "",
    headers: dict[str, str] | None = None,
    streamed: bool = True,
) -> Caller:
    """Starts one streamed chat completion."""
    body = {
        "model": model,
        "stream": streamed,
        "messages": [{"role": "user", "content": text}],
    }
    sent = {"X-Organisation": organisation, "X-Request-Class": "chat"}
    if key:
        sent["Idempotency-Key"] = key
    return Caller(
        Sent(
            address=address,
            path=CHAT_PATH,
            headers=sent | (headers or {}),
            body=json.dumps(body).encode(),
        )
    )


def book(
    address: str,
    key: str,
    *,
    organisation: str = "tc-innsbruck",
    path: str = "/services/booking/courts",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Caller:
    """Starts one booking; without a body it gets one of its own."""
    own_body = json.dumps({"court": 2, "member": key}).encode()
    sent = {
        "X-Organisation": organisation,
        "X-Request-Class": "booking",
        "Idempotency-Key": key,
    }
    return Caller(
        Sent(
            address=address,
            path=path,
            headers=sent | (headers or {}),
            body=body or own_body,
        )
    )


def wait_for_pieces(callers: Sequence[Caller], count: int) -> None:
    """Waits until each stream has so many pieces, or is over."""
    fleets.wait_until(
        lambda: all(len(x.texts) >= count or x.is_over() for x in callers),
        f"{count} pieces each",
    )


def join_all(callers: Sequence[Caller]) -> None:
    """Waits until all requests are over."""
    for caller in callers:
        caller.join()


def hang_up(sent: Sent) -> None:
    """Sends one request and closes the connection once it is sent."""
    connection = http.client.HTTPConnection(sent.address)
    encoded = {k: v.encode() for k, v in sent.headers.items()}
    connection.request("POST", sent.path, body=sent.body, headers=encoded)
    time.sleep(HANG_UP_AFTER_S)
    connection.close()
