"""Effects of the two programs, besides those that parts share.

Each is frozen data; a shell in `rhubarbbank_runtime` carries it out.
"""

import dataclasses

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import store


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeader:
    """One HTTP header of an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswer:
    """Begins a stream of server-sent events to the caller."""

    request_id: str
    headers: tuple[AnswerHeader, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEvents:
    """Writes server-sent events; the shell adds the framing."""

    request_id: str
    events: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class EndAnswer:
    """Ends the stream with its end marker."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Sends a complete answer."""

    request_id: str
    status: int
    content_type: str
    body: bytes
    headers: tuple[AnswerHeader, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Sends an error; inside a started stream, as its last event."""

    request_id: str
    problem: errors.Problem


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskRating:
    """Asks the rating service for a rating of one answer.

    Attributes:
        request_id: The request.
        attempt: The attempt that made the answer.
        model: Of the answer.
        version: Of the answer.
        request_class: Of the request.
        answer: The text to rate.
    """

    request_id: str
    attempt: int
    model: str
    version: str
    request_class: str
    answer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallUpstream:
    """Hands one attempt to the upstream. After this it may have run.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        method: HTTP method.
        path: Path at the upstream.
        body: What to send.
        streamed: Whether the answer is a stream of server-sent events.
        priority: 0 is served first.
        idempotency_key: Passed on, or empty.
        timeout_s: When to break off.
    """

    request_id: str
    attempt: int
    method: str
    path: str
    body: bytes
    streamed: bool
    priority: int
    idempotency_key: str
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelUpstream:
    """Breaks off a call to the upstream, so that it frees its place."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderUpstream:
    """Gives the engine an order.

    Attributes:
        order_id: The answer carries it.
        order: `load` or `unload`.
        model: Of the version.
        version: The version.
        fence: Fencing number of whoever decided it.
    """

    order_id: int
    order: str
    model: str
    version: str
    fence: int


LogInput = tuple[str, str | int | float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """One log line for a decision, or for a change of what is believed.

    Attributes:
        decision: What was decided, such as `placed` or `refused`.
        request_id: The request, or empty.
        organisation: The customer, or empty.
        model: Or empty.
        version: Or empty.
        upstream: Or empty.
        reason: Why, in a few words.
        attempt: Or 0.
        inputs: What decided it, by name, with ages and versions.
    """

    decision: str
    request_id: str = ""
    organisation: str = ""
    model: str = ""
    version: str = ""
    upstream: str = ""
    reason: str = ""
    attempt: int = 0
    inputs: tuple[LogInput, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Adds to a statsd counter."""

    metric: str
    amount: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """Sets a statsd gauge."""

    metric: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Records a statsd timing, in milliseconds."""

    metric: str
    value_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter:
    """Asks for an `events.RetryDue` sooner than the next tick would come.

    Attributes:
        request_id: The request that waits.
        delay_s: When, from now, in seconds.
    """

    request_id: str
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """The process has stopped gracefully and may end."""


Effect = (
    effects.Send
    | effects.AskListener
    | store.StoreCall
    | StartAnswer
    | WriteEvents
    | EndAnswer
    | WholeAnswer
    | RefuseCaller
    | AskRating
    | CallUpstream
    | CancelUpstream
    | OrderUpstream
    | LogDecision
    | Count
    | Gauge
    | Timing
    | RetryAfter
    | Exit
)
