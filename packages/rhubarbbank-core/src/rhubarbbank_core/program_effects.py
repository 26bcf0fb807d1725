"""Effects of the entry and the sidecar, besides those in `effects`.

Each effect is immutable data; a shell in `rhubarbbank_runtime` executes it.
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
    """Ends the event stream with its end marker."""

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
    """Sends an error; if the stream has started, as its last event."""

    request_id: str
    problem: errors.Problem


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskRating:
    """Requests a rating of one answer from the rating service.

    Attributes:
        request_id: The request.
        attempt: The attempt that produced the answer.
        model: The model that answered.
        version: The model's version.
        request_class: The class of the request.
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
    """Sends one attempt to the upstream; from then on it may have run.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        method: HTTP method.
        path: Path at the upstream.
        body: The body of the request.
        streamed: Whether the answer is a stream of server-sent events.
        priority: The priority; 0 is the highest.
        idempotency_key: The key to forward, or empty.
        timeout_s: The time after which the call is cancelled.
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
    """Cancels a call to the upstream, so that the upstream frees its slot."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderUpstream:
    """Orders the engine to load or unload a version.

    Attributes:
        order_id: The id that `events.OrderEnded` repeats.
        order: `load` or `unload`.
        model: The model of the version.
        version: The version.
        fence: Fencing number of the entry that decided the order.
    """

    order_id: int
    order: str
    model: str
    version: str
    fence: int


LogInput = tuple[str, str | int | float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogDecision:
    """Logs a decision, or a change in the known state of other hosts.

    Attributes:
        decision: The decision, such as `placed` or `refused`.
        request_id: The request, or empty.
        organisation: The customer, or empty.
        model: The model, or empty.
        version: The model's version, or empty.
        upstream: The upstream, or empty.
        reason: The reason, in a few words.
        attempt: The attempt, or 0.
        inputs: The values that the decision was based on, as pairs of name
            and value, with their ages and versions.
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
    """Requests an `events.RetryDue` before the next tick.

    Attributes:
        request_id: The request that waits.
        delay_s: The delay from now, in seconds.
    """

    request_id: str
    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """Ends the process after a graceful stop."""


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
