"""One sending of a request to one upstream, and what it proves.

    not sent --> sent, unknown --> answered
                    |
                    +--> refused (the upstream says that it hasn't run)

A request may be refused to its caller as not run only while every attempt is
in a state that proves so.
"""

import dataclasses
import enum

from rhubarbbank_router import event_stream


class AttemptState(enum.StrEnum):
    """What is known of an attempt.

    NOT_SENT: no byte left this host. SENT: it may run, now or later.
    REFUSED: the upstream said that it did not run. ANSWERED: it ran.
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERED = "answered"


PROOFS_OF_NOT_RUN = frozenset((AttemptState.NOT_SENT, AttemptState.REFUSED))


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt.

    Attributes:
        number: From 1 within the request.
        upstream: Id of the upstream.
        upstream_started_ms: Unix time of the upstream's start; 0 if unknown.
        service: The upstream's service.
        version: The upstream's software version.
        model: The model asked for; empty where the request names it.
        sent_at: When it was handed over, in seconds.
        state: What is known of it.
        open: Whether more may come from the upstream.
        status: HTTP status; 0 before the head.
        headers: To pass on to the caller.
        body: Collected so far, where the answer is not passed on by event.
        cutter: Cuts a stream's bytes into events.
        heard_at: When it last made progress: a head, an event of a stream, or
            bytes of another answer; `sent_at` before.
        first_event_at: When a stream's first event came; None before.
        events: Events that came.
        last_event_id: Id of the last one that brought the stream further.
        idle_bytes: Bytes since that one.
        stream_bytes: Bytes of the stream so far.
        load_level: How loaded the upstream was when it began to answer.
        judged: Whether it has been taken as evidence on its version.
        unread_tokens: Tokens of the prompt that the upstream had to read.
        work_s: How long it was expected to hold others up.
        backlog_s: Work that this entry had there before it.
    """

    number: int
    upstream: str
    service: str
    version: str
    model: str
    sent_at: float
    state: AttemptState = AttemptState.SENT
    open: bool = True
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytearray = dataclasses.field(default_factory=bytearray)
    cutter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter
    )
    upstream_started_ms: int = 0
    heard_at: float = 0.0
    first_event_at: float | None = None
    events: int = 0
    last_event_id: str = ""
    idle_bytes: int = 0
    stream_bytes: int = 0
    load_level: int = 0
    judged: bool = False
    unread_tokens: int = 0
    work_s: float = 0.0
    backlog_s: float = 0.0


def has_not_run(attempts: list[Attempt]) -> bool:
    """Returns whether it is proved that no attempt has run or will run."""
    return all(each.state in PROOFS_OF_NOT_RUN for each in attempts)


def count_runs(attempts: list[Attempt]) -> int:
    """Returns on how many attempts the request may have run."""
    return sum(each.state not in PROOFS_OF_NOT_RUN for each in attempts)
