"""Effects of the router, besides those that all programs share.

`Send`, `LogDecision`, `Count`, `Gauge`, `Timing` and `Exit` come from
`rhubarbbank_core`.
"""

import dataclasses

from rhubarbbank_core import effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import version_trial


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Sends a request to an upstream. After this it may have run.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        attempt_id: The caller's id of its attempt.
        upstream_id: Whom the upstream must be to run it.
        address: "ip:port".
        method: HTTP method.
        target: Path and query, byte for byte.
        host: The Host header.
        headers: To pass on.
        body: The whole body.
        time_left_s: When the upstream should give up.
        organisation: The customer; empty on a public route.
        model: The model that the router chose; empty where the request
            names its own.
        priority: 0 is served first, 9 last.
        resume_after: Id of the last event that was passed on; empty if the
            stream begins.
        streamed: Whether the answer is a stream.
        connect_timeout_s: When to give up connecting.
    """

    request_id: str
    attempt: int
    attempt_id: str
    upstream_id: str
    address: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    time_left_s: float
    organisation: str
    model: str
    priority: int
    resume_after: str
    streamed: bool
    connect_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Closes the connection to the upstream, which stops the work there."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Sends the head of an answer whose body follows in pieces."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Sends a piece of the body."""

    request_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Ends the body as complete."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BreakAnswer:
    """Closes the caller's connection, so that the answer looks cut off."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayAnswer:
    """Sends an upstream's whole answer."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefuseRequest:
    """Sends an answer of the router's own.

    Attributes:
        request_id: The request.
        status: HTTP status.
        code: What hinders the request, for people and logs.
        retry_after_s: When coming back helps, or None.
    """

    request_id: str
    status: int
    code: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRollout:
    """Writes a roll-out's state, if its record is still as last read."""

    order: version_trial.RolloutOrder
    state: version_trial.OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class UnlistEntry:
    """Removes an entry's registration from the store."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseIntake:
    """Tells the ingress to close each connection after its next answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseIntake:
    """Tells the ingress to take no more connections and close idle ones."""


Effect = (
    SendAttempt
    | CancelAttempt
    | BeginAnswer
    | WriteAnswer
    | FinishAnswer
    | BreakAnswer
    | RelayAnswer
    | RefuseRequest
    | RecordRollout
    | UnlistEntry
    | PauseIntake
    | CloseIntake
    | effects.Send
    | fx.LogDecision
    | fx.Count
    | fx.Gauge
    | fx.Timing
    | fx.Exit
)
