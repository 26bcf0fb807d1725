"""Events that drive the router, besides those that all programs share.

`Ticked`, `MessageReceived` and `StopRequested` come from
`rhubarbbank_core.events`. Times are of a clock that counts suspension.
"""

import dataclasses
import enum

from rhubarbbank_core import events
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import peers
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request has been read as a whole."""

    request: callers.IncomingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection, or reads too slowly."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamHead:
    """The head of an upstream's answer came.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        status: HTTP status.
        headers: To pass on to the caller.
        refused: The upstream states that the request did not run.
        misdirected: Another process than the one addressed answered.
        genuine: The head carries the upstream's signature, and the id of
            this attempt.
        confidence: The model's opinion of its answer, 0 to 100, or None.
        load: The upstream's load, or None if it didn't tell.
        leaving: The upstream says that it shuts down.
        closed_s: How long the upstream wants no more requests from this
            entry, in seconds; None if it didn't say.
    """

    request_id: str
    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    refused: bool = False
    misdirected: bool = False
    genuine: bool = True
    confidence: int | None = None
    load: upstreams.LoadReport | None = None
    leaving: bool = False
    closed_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamData:
    """Bytes of an upstream's answer came."""

    request_id: str
    attempt: int
    data: bytes


class AttemptEnd(enum.StrEnum):
    """How the exchange with an upstream ended.

    COMPLETE: the answer is whole. UNREACHED: no byte was sent. BROKEN: the
    connection broke off, or what came is no answer.
    """

    COMPLETE = "complete"
    UNREACHED = "unreached"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEnded:
    """The exchange with an upstream ended.

    Attributes:
        request_id: The request.
        attempt: The attempt's number.
        end: How.
        detail: Particulars for the log.
    """

    request_id: str
    attempt: int
    end: AttemptEnd
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRead:
    """A linearizable read of the configuration was answered.

    Attributes:
        asked_at: When it was sent.
        found: What it found; None where there is no configuration.
    """

    asked_at: float
    found: configuration.Configuration | None


class Subject(enum.StrEnum):
    """What the router follows in the store."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ROLLOUTS = "rollouts"
    ENTRIES = "entries"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A store call failed.

    Attributes:
        subject: What it was about.
        detail: Particulars for the log.
    """

    subject: Subject
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """A store call about this subject was answered."""

    subject: Subject


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The whole list of upstreams was read.

    Attributes:
        listed: All of them.
        position: The store's revision at that time.
        at: When the read was sent.
    """

    listed: tuple[upstreams.Upstream, ...]
    position: int = 0
    at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """One line of the list of upstreams is new or changed."""

    listed: upstreams.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnlisted:
    """An upstream left the list, or its line can't be read."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsConfirmed:
    """All changes of the list of upstreams so far have been told.

    Attributes:
        position: The store's revision up to which that is so.
        at: A time at which it was so.
    """

    position: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutsListed:
    """All roll-out orders were read."""

    orders: tuple[version_trial.RolloutOrder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutChanged:
    """One roll-out order is new or changed."""

    order: version_trial.RolloutOrder


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRemoved:
    """A roll-out order was taken back."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecorded:
    """A call to record a roll-out's state ended.

    Attributes:
        service: The service.
        done: Whether the store accepted it.
    """

    service: str
    done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed:
    """All registered entries were read."""

    listed: tuple[peers.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryListed:
    """One entry registered itself."""

    peer: peers.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class EntryUnlisted:
    """One entry's registration is gone."""

    name: str


AnyEvent = (
    RequestArrived
    | CallerLeft
    | UpstreamHead
    | UpstreamData
    | UpstreamEnded
    | ConfigurationRead
    | StoreFailed
    | StoreAnswered
    | UpstreamsListed
    | UpstreamChanged
    | UpstreamUnlisted
    | UpstreamsConfirmed
    | RolloutsListed
    | RolloutChanged
    | RolloutRemoved
    | RolloutRecorded
    | EntriesListed
    | EntryListed
    | EntryUnlisted
    | events.Ticked
    | events.MessageReceived
    | events.StopRequested
)
