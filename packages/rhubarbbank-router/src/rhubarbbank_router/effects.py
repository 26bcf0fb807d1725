"""Effects that the router returns, to be carried out by its caller.

Those shared by all programs, `Send`, `LogDecision`, `Count`, `Gauge`, `Timing`
and `Exit`, are defined in `rhubarbbank_core`.
"""

import dataclasses

from rhubarbbank_core import effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import version_trial


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendAttempt:
    """Sends a request to an upstream, after which it may have run.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        attempt_id: The caller's id of its own attempt.
        upstream_id: Id of the addressed upstream; a process with another id
            must not run the request.
        address: Address of the upstream, as "ip:port".
        method: HTTP method.
        target: Request target (path and query), exactly as received.
        host: Value of the Host header.
        headers: Headers to forward.
        body: The complete body.
        time_left_s: Time left until the request's deadline, in seconds.
        organisation: Name of the organisation; empty on a public route.
        model: The model that the router chose; empty if the request names
            its own.
        priority: 0 is served first, 9 last.
        resume_after: Id of the last event that the caller received; empty to
            start the stream at the beginning.
        streamed: Whether the answer is a stream.
        connect_timeout_s: Connect timeout, in seconds.
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
    """Closes the connection of an attempt; the upstream then stops its work."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Sends the head of a streamed answer to the caller."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Sends a part of a streamed answer's body to the caller."""

    request_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FinishAnswer:
    """Ends a streamed answer as complete."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAnswer:
    """Aborts the caller's connection, so that the answer is seen as cut off."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayAnswer:
    """Sends an upstream's complete answer to the caller."""

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefuseRequest:
    """Sends an error response of the router to the caller.

    Attributes:
        request_id: Id of the request.
        status: HTTP status.
        code: Error code of the response.
        retry_after_s: Value of Retry-After, in seconds; None for none.
    """

    request_id: str
    status: int
    code: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRollout:
    """Writes a roll-out's state if its record is unchanged since last read."""

    order: version_trial.RolloutOrder
    state: version_trial.OrderState


@dataclasses.dataclass(frozen=True, slots=True)
class RegisterEntry:
    """Publishes this entry in the store, if it isn't registered there.

    Attributes:
        settled_era: An era of the store that is known to have settled; None
            to leave what is registered.
    """

    settled_era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeregisterEntry:
    """Removes an entry's registration from the store."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecodeConfiguration:
    """Decodes a copy of the configuration that another entry has sent.

    Ends with a `ConfigurationRead`, or with a `CopyRejected`.

    Attributes:
        source: Name of the entry that sent it.
        encoded: The copy.
        version: The operators' version.
        era: The store's era in which it was read.
        revision: The store's revision.
        confirmed_at: When the read was sent that last confirmed it, in seconds.
    """

    source: str
    encoded: bytes
    version: int
    era: int
    revision: int
    confirmed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class DisableKeepAlive:
    """Makes the ingress close each connection after its next answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAccepting:
    """Makes the ingress accept no more connections and close idle ones."""


Effect = (
    SendAttempt
    | CancelAttempt
    | BeginAnswer
    | WriteAnswer
    | FinishAnswer
    | AbortAnswer
    | RelayAnswer
    | RefuseRequest
    | RecordRollout
    | RegisterEntry
    | DeregisterEntry
    | DecodeConfiguration
    | DisableKeepAlive
    | StopAccepting
    | effects.Send
    | fx.LogDecision
    | fx.Count
    | fx.Gauge
    | fx.Timing
    | fx.Exit
)
