"""Attempts of a request, and whether each may have run.

    not sent --> sent, unknown --> answered
                    |
                    +--> refused (the upstream states that it didn't run)

The caller may be told that its request didn't run only if the state of every
attempt proves it.
"""

import dataclasses
import enum

from rhubarbbank_router import event_stream


class AttemptState(enum.StrEnum):
    """Whether an attempt may have run on its upstream.

    Attributes:
        NOT_SENT: No byte has left this host.
        SENT: It may have run, or may run later.
        REFUSED: The upstream stated that it didn't run.
        ANSWERED: It ran.
    """

    NOT_SENT = "not_sent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERED = "answered"


NOT_RUN_STATES = frozenset((AttemptState.NOT_SENT, AttemptState.REFUSED))


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run a request on one upstream.

    Attributes:
        number: Number within the request, from 1.
        upstream: Id of the upstream.
        upstream_started_ms: Unix time of the upstream's start; 0 if unknown.
        service: The upstream's service.
        version: The upstream's software version.
        model: The model that the router chose; empty if the request names
            its own.
        sent_at: When it was sent, in seconds.
        state: Whether it may have run.
        open: Whether more of the answer may arrive.
        status: HTTP status of the answer; 0 before its head arrives.
        headers: Headers of the answer to forward to the caller.
        body: Body received so far, unless it is forwarded event by event.
        splitter: Splits the bytes of a stream into events.
        last_progress_at: When it last made progress, in seconds: a head, an
            event of a stream, or bytes of another answer. Starts as `sent_at`.
        first_event_at: When the first event of a stream arrived; None before.
        events: Number of events received.
        last_event_id: Id of the last event that advanced the stream.
        idle_bytes: Bytes received after that event.
        stream_bytes: Bytes of the stream received so far.
        load_level: Load level of the upstream when it began to answer.
        evidence_counted: Whether its outcome has been counted in the trial of
            its version.
        uncached_tokens: Prompt tokens that the upstream wasn't expected to have
            cached.
        prefill_s: Expected prefill time of those tokens, in seconds. For that
            time it delays the other requests of the same upstream.
        is_sound: Whether it has lasted long enough to show that it doesn't
            crash its upstream.
        tried_traits: Traits that it was sent with although they are suspected
            of crashing upstreams.
        backlog_s: Expected work queued at the upstream before it, as far as
            this entry knows, in seconds.
        slowdown: By which factor work took longer on the upstream's host than
            usual, as reported with the answer.
        request_bytes: Size of the request's target, headers and body.
        is_hedge: Whether it was sent because another attempt was slow.
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
    splitter: event_stream.EventSplitter = dataclasses.field(
        default_factory=event_stream.EventSplitter
    )
    upstream_started_ms: int = 0
    last_progress_at: float = 0.0
    first_event_at: float | None = None
    events: int = 0
    last_event_id: str = ""
    idle_bytes: int = 0
    stream_bytes: int = 0
    load_level: int = 0
    evidence_counted: bool = False
    uncached_tokens: int = 0
    prefill_s: float = 0.0
    backlog_s: float = 0.0
    is_sound: bool = False
    tried_traits: frozenset[str] = frozenset()
    slowdown: float = 1.0
    request_bytes: int = 0
    is_hedge: bool = False


def has_not_run(attempts: list[Attempt]) -> bool:
    """Returns whether provably no attempt has run or will run."""
    return all(each.state in NOT_RUN_STATES for each in attempts)


def count_possible_runs(attempts: list[Attempt]) -> int:
    """Returns the number of attempts that may have run."""
    return sum(each.state not in NOT_RUN_STATES for each in attempts)
