"""Events that the router handles.

Those shared by all programs, `Ticked`, `MessageReceived` and `StopRequested`,
are defined in `rhubarbbank_core.events`. Times are in seconds, of a clock that
goes on while the machine is suspended.
"""

import dataclasses
import enum

from rhubarbbank_core import events
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import evacuations
from rhubarbbank_router import peers
from rhubarbbank_router import store_position
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request was received, including its body."""

    request: callers.IncomingRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallersCounted:
    """While the entry is stopping, callers' connections were counted.

    Attributes:
        busy: Connections on which a head or a body is being received, or a
            request is being served.
    """

    busy: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection, or reads too slowly."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamHead:
    """The head of an upstream's answer arrived.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        status: HTTP status.
        headers: Headers to forward to the caller.
        refused: Whether the upstream states that the request didn't run.
        misdirected: Whether a process other than the addressed upstream may
            have answered (status 421).
        genuine: Whether the head has the upstream's signature and the id of
            this attempt.
        confidence: The model's confidence in its answer, 0 to 100; None if
            not reported.
        load: Load report of the upstream; None if the head has none that can
            be read.
        has_invalid_load: Whether the head has a load report, or a part of one,
            that can't be read.
        leaving: Whether the upstream announces its shutdown.
        limit_per_s: How many requests a second the upstream accepts from all
            entries together; None if it names no limit.
        closed_for_s: For how long the upstream accepts no more requests from
            this entry, in seconds; None if not stated.
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
    has_invalid_load: bool = False
    leaving: bool = False
    limit_per_s: float | None = None
    closed_for_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamData:
    """A part of the body of an upstream's answer arrived."""

    request_id: str
    attempt: int
    data: bytes


class AttemptEnd(enum.StrEnum):
    """How the exchange with an upstream ended.

    Attributes:
        COMPLETE: The answer was received in full.
        UNREACHED: No byte of the request was sent.
        BROKEN: The connection was lost, or the answer was invalid.
    """

    COMPLETE = "complete"
    UNREACHED = "unreached"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamEnded:
    """The exchange with an upstream ended.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        end: How it ended.
        detail: Details for the log.
        ended_by_close: Whether the answer named no length, so that only the
            close of its connection ended it.
    """

    request_id: str
    attempt: int
    end: AttemptEnd
    detail: str = ""
    ended_by_close: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRead:
    """A linearizable read of the configuration succeeded.

    Attributes:
        asked_at: When the read was sent.
        found: The configuration; None if the store has none.
        source: Name of the entry that read it; empty for this one.
    """

    asked_at: float
    found: configuration.Configuration | None
    source: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CopyRejected:
    """A copy of the configuration couldn't be decoded.

    Attributes:
        source: Name of the entry that sent it.
        detail: The error, for the log.
    """

    source: str
    detail: str


class Subject(enum.StrEnum):
    """What the router reads and watches in the store."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ROLLOUTS = "rollouts"
    ENTRIES = "entries"
    EVACUATIONS = "evacuations"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A store call failed.

    Attributes:
        subject: What it was to read.
        detail: Details for the log.
    """

    subject: Subject
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCut:
    """A watch that waited for changes ended without an answer.

    The store may do that at any time; the next call shows whether it is away.
    """

    subject: Subject


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The store answered a call about a subject."""

    subject: Subject


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEraRead:
    """A response of the store named its era.

    Each time that the store is restored from an older copy, a new era begins.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """The complete list of upstreams was read.

    Attributes:
        listed: The upstreams.
        position: Position of the store at which the list was read.
        asked_at: When the read was sent.
    """

    listed: tuple[upstreams.Upstream, ...]
    position: store_position.StorePosition = store_position.START
    asked_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """An upstream was added to the list, or its record changed."""

    listed: upstreams.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUnlisted:
    """An upstream was removed from the list, or its record is invalid."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsConfirmed:
    """All changes to the list of upstreams up to a position were delivered.

    Attributes:
        position: That position of the store.
        current_at: A time at which the delivered list was current.
    """

    position: store_position.StorePosition
    current_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutsListed:
    """The complete list of roll-out orders was read."""

    orders: tuple[version_trial.RolloutOrder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutChanged:
    """A roll-out order was added or changed."""

    order: version_trial.RolloutOrder


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRemoved:
    """The roll-out order of a service was deleted."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRecorded:
    """A write of a roll-out's state to the store ended.

    Attributes:
        service: The service that is rolled out.
        accepted: Whether the store accepted the write.
    """

    service: str
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesListed:
    """The complete list of registered entries was read."""

    listed: tuple[peers.PeerAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryListed:
    """An entry was registered."""

    peer: peers.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class EntryUnlisted:
    """The registration of an entry was removed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsListed:
    """The complete list of evacuated data centres was read.

    Attributes:
        listed: The evacuations.
        position: Position of the store at which the list was read.
        asked_at: When the read was sent.
    """

    listed: tuple[evacuations.Evacuation, ...]
    position: store_position.StorePosition = store_position.START
    asked_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """An evacuation was requested, or its record changed."""

    evacuation: evacuations.Evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRemoved:
    """The evacuation of a data centre was taken back."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsConfirmed:
    """All changes to the evacuations up to a position were delivered.

    Attributes:
        position: That position of the store.
        current_at: A time at which the delivered set was current.
    """

    position: store_position.StorePosition
    current_at: float


AnyEvent = (
    RequestArrived
    | CallersCounted
    | CallerLeft
    | UpstreamHead
    | UpstreamData
    | UpstreamEnded
    | ConfigurationRead
    | CopyRejected
    | StoreFailed
    | WatchCut
    | StoreAnswered
    | StoreEraRead
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
    | EvacuationsListed
    | EvacuationChanged
    | EvacuationRemoved
    | EvacuationsConfirmed
    | events.Ticked
    | events.MessageReceived
    | events.StopRequested
)
