"""Messages between entry and sidecar that carry requests and answers.

An attempt is one try of one request at one upstream. Every message names the
request and the attempt, so that whatever comes late from an earlier attempt
is dropped. Answer events are numbered from 0 over the whole request: an
attempt that resumes starts at the number it was asked for.
"""

from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import ledger_records
from rhubarbbank_core import requests


class Load(effects.Message, frozen=True, tag="load"):
    """How busy an upstream says it is.

    Attributes:
        running: Requests it runs.
        waiting: Requests in its queue.
        max_batch: Requests it can run at a time.
        age_s: How old its report is.
    """

    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    age_s: float = 0.0


class Submit(effects.Message, frozen=True, kw_only=True, tag="submit"):
    """Asks a sidecar to run one attempt. Repeats of it are harmless.

    Attributes:
        request_id: The request.
        attempt: From 1.
        reply_to: Peer address of the entry.
        incarnation: Of the sidecar that it is meant for; a later one
            refuses it, since the earlier one may have run it.
        kind: Model engine or plain service.
        organisation: For the second gate.
        model: For the second gate.
        version: For the second gate.
        pinned: Whether the request belongs to a session of this version,
            which a draining row still serves.
        request_class: For the fair shares.
        priority: 0 is served first.
        deadline_s: Seconds left when sent.
        table_revision: The revision that the entry decided by.
        first_event: Number of the first event wanted.
        method: HTTP method, for services.
        path: Path, for services.
        idempotency_key: Passed to services.
        body: What the upstream is sent.
        alone: Whether nothing else may run beside it, for a crash suspect.
        fingerprint: Of the caller's body.
    """

    request_id: str
    attempt: int
    reply_to: str
    incarnation: int
    kind: requests.WorkKind
    organisation: str
    model: str
    version: str
    pinned: bool
    request_class: str
    priority: int
    deadline_s: float
    table_revision: int
    first_event: int
    method: str
    path: str
    idempotency_key: str
    body: bytes
    alone: bool
    fingerprint: int


class Accepted(effects.Message, frozen=True, tag="accepted"):
    """The attempt passed the sidecar's gate."""

    request_id: str
    attempt: int


class Chunk(effects.Message, frozen=True, tag="chunk"):
    """Consecutive answer events.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        first_event: Number of the first of them.
        events: Their payloads, without the framing of the event stream.
    """

    request_id: str
    attempt: int
    first_event: int
    events: list[bytes]


class Done(effects.Message, frozen=True, kw_only=True, tag="done"):
    """The upstream's answer is complete.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        end_event: Number after the last event.
        status: The upstream's HTTP status.
        content_type: Of a service's answer.
        prompt_tokens: As the upstream counts them.
        completion_tokens: As the upstream counts them.
        load: The upstream's load.
        waited_s: How long the attempt waited for a place at the upstream.
    """

    request_id: str
    attempt: int
    end_event: int
    status: int
    content_type: str
    prompt_tokens: int
    completion_tokens: int
    load: Load
    waited_s: float = 0.0


class Failed(effects.Message, frozen=True, kw_only=True, tag="failed"):
    """The attempt ended without a whole answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        code: Why.
        run_state: `not_run` only if nothing was handed to the upstream.
        retry_after_s: When coming back helps, or 0.
        crashed: Whether the upstream broke off, not answered an error.
        incident: Names the crash; the same for all that it broke off.
        running: Fingerprints that ran there when it broke off.
        load: The upstream's load.
    """

    request_id: str
    attempt: int
    code: errors.ErrorCode
    run_state: errors.RunState
    retry_after_s: float
    crashed: bool
    incident: str
    running: list[int]
    load: Load


class Cancel(effects.Message, frozen=True, tag="cancel"):
    """Nobody wants this attempt any more."""

    request_id: str
    attempt: int


class Resend(effects.Message, frozen=True, tag="resend"):
    """Asks for all events from a number on, and for the end if it came.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        reply_to: Peer address of the entry.
        first_event: Number of the first event that is missing.
    """

    request_id: str
    attempt: int
    reply_to: str
    first_event: int


class AttemptUnknown(effects.Message, frozen=True, tag="attempt_unknown"):
    """The sidecar has no such attempt: it restarted, or never got it."""

    request_id: str
    attempt: int


class Finish(effects.Message, frozen=True, tag="finish"):
    """The entry has the whole answer; the sidecar may forget it."""

    request_id: str
    attempt: int


class HoldRecord(effects.Message, frozen=True, tag="hold_record"):
    """Asks the sidecar to keep a ledger record until it is durable.

    Attributes:
        key: The record's key in the ledger.
        kind: The record's kind: a bill or a pin.
        value: The record.
        request_id: The request.
        reply_to: Peer address of the entry.
    """

    key: str
    kind: ledger_records.RecordKind
    value: bytes
    request_id: str
    reply_to: str


class RecordHeld(effects.Message, frozen=True, tag="record_held"):
    """The sidecar keeps this record of this request."""

    request_id: str
    key: str


class HandInRecord(effects.Message, frozen=True, tag="hand_in_record"):
    """Asks any entry to make a held record durable."""

    key: str
    kind: ledger_records.RecordKind
    value: bytes
    reply_to: str


class ReleaseRecord(effects.Message, frozen=True, tag="release_record"):
    """The record is durable; the sidecar may forget it."""

    key: str
