"""Messages between entries, and their codec.

A `Heartbeat` holds all that its sender reports to its peers, so that the next
one makes up for one that was lost.
"""

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_router import store_position
from rhubarbbank_router import upstreams


class CountReport(msgspec.Struct, frozen=True, array_like=True):
    """Counts of attempts; the fields are those of `AnswerCounts`.

    New fields must be added at the end, so that entries of different releases
    can decode each other's messages.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    paced: int = 0
    dragging: int = 0


class RouteReport(msgspec.Struct, frozen=True, array_like=True):
    """Counts of a roll-out on one route.

    Attributes:
        route: The route's name.
        target: Counts of the target version.
        incumbent: Counts of all other versions.
    """

    route: str
    target: CountReport
    incumbent: CountReport


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's state of one roll-out.

    Attributes:
        service: The service's name.
        key: The roll-out order's key.
        age_s: Time since any entry first saw the order, in seconds.
        held: Whether the target version gets no new work.
        whole: Whether this entry sends all new work to the target version.
        old_in_flight: This entry's open attempts on other versions.
        routes: Counts of answers by route.
        step: Number of increases of the target's share, less one.
        kept_sessions: Name hashes of sessions that keep their version.
    """

    service: str
    key: str
    age_s: float
    held: bool
    whole: bool
    old_in_flight: int
    routes: tuple[RouteReport, ...]
    step: int = -1
    kept_sessions: tuple[int, ...] = ()


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream that was running a request.

    Attributes:
        upstream: Hash of the upstream's incarnation, or of that and a number if
            it may have crashed before.
        age_ms: Time since the crash was first observed, in milliseconds.
        incarnation: Hash of the upstream's incarnation if `upstream` is
            another; else 0.
        observation: Id of the first observation; 0 from earlier releases.
        last_age_ms: Time since it was last observed, in milliseconds; None if
            that was the only time.
        last_observation: Id of the last observation.
        is_late: Whether it may have happened long before it was observed.
    """

    upstream: int
    age_ms: int
    incarnation: int = 0
    observation: int = 0
    last_age_ms: int | None = None
    last_observation: int = 0
    is_late: bool = False


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """A trait of requests that is suspected of crashing upstreams.

    Attributes:
        trait: The trait (see `request_traits`).
        crashes: Number of the crashes that the sender observed itself.
        age_ms: Time since any entry last saw a request with it, in
            milliseconds.
        ends: Known crashes of upstreams that were running such a request, as
            observed by any entry.
        cleared_ms: Time since the last good answer to such a request, which
            clears the trait of all earlier crashes, in milliseconds; None if
            there was none.
    """

    trait: str
    crashes: int
    age_ms: int = 0
    ends: tuple[CrashReport, ...] = ()
    cleared_ms: int | None = None


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that an upstream has named.

    Attributes:
        upstream: Hash of the upstream's id.
        started_ms: Unix time of its start, in milliseconds.
        rate_per_s: Requests a second from all entries; None if its latest
            answer named no limit.
        age_ms: Time since that answer, in milliseconds.
    """

    upstream: int
    started_ms: int
    rate_per_s: float | None
    age_ms: int


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that the sender has seen to be cold.

    Attributes:
        upstream: Hash of the upstream's id.
        started_ms: Unix time of its start, in milliseconds.
        left_ms: How much longer it may be cold, in milliseconds.
    """

    upstream: int
    started_ms: int
    left_ms: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's demand for a service whose upstreams may be cold.

    Attributes:
        service: Hash of the service's name.
        rate_per_s: Requests a second.
    """

    service: int
    rate_per_s: float


class WorkReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's open work on one upstream.

    Attributes:
        upstream: Hash of the upstream's id.
        work_ms: Time by which the work is expected to delay other requests, in
            milliseconds.
        in_flight: Number of open attempts.
        heard_ms: Time since the entry last received bytes from the upstream,
            in milliseconds.
    """

    upstream: int
    work_ms: int
    in_flight: int
    heard_ms: int


class LoadUpdate(effects.Message, frozen=True, tag="loads"):
    """An entry's open work, sent between heartbeats.

    Attributes:
        name: The entry's name.
        loads: Open work by upstream.
    """

    name: str
    loads: tuple[WorkReport, ...]


class Heartbeat(effects.Message, frozen=True, tag="news"):
    """An entry's heartbeat.

    Attributes:
        name: The entry's name.
        incarnation: Unix time of its start, in nanoseconds.
        address: Address on which it listens for its peers, "ip:port".
        stopping: Whether it is shutting down.
        trials: State of its roll-outs.
        suspects: Traits that it suspects of crashing upstreams.
        leaving: Id and start time of upstreams that announced a shutdown.
        loads: Its open work by upstream.
        data_centre: Its data centre; empty if unknown.
        reads: Whether it reads the store itself.
        configuration_version: Version of its active configuration; 0 if it
            has none.
        configuration_age_ms: Time since that version became active there, in
            milliseconds.
        store_era: The store's newest era that it knows; None if it knows none.
        restored_age_ms: Time since it noticed that the store was restored, in
            milliseconds; None if it hasn't.
        limits: Rate limits that upstreams have named.
        era_age_ms: Time since any entry is known to have seen the store in
            that era, in milliseconds; None if it knows none.
        cold: Upstreams that it has seen to be cold.
        demands: Its demands for services whose upstreams may be cold.
        refuted: Ids of observations of crashes that were mistaken.
        link_mbps: Bandwidth of its host's link, in Mbit/s; 0 if unknown.
    """

    name: str
    incarnation: int
    address: str
    stopping: bool
    trials: tuple[TrialReport, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    leaving: tuple[tuple[str, int], ...] = ()
    loads: tuple[WorkReport, ...] = ()
    data_centre: str = ""
    reads: bool = True
    configuration_version: int = 0
    configuration_age_ms: int = 0
    store_era: int | None = None
    restored_age_ms: int | None = None
    limits: tuple[LimitReport, ...] = ()
    era_age_ms: int | None = None
    cold: tuple[ColdReport, ...] = ()
    demands: tuple[DemandReport, ...] = ()
    refuted: tuple[int, ...] = ()
    link_mbps: float = 0.0


class ForwardedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that another entry forwards.

    Attributes:
        age_ms: Time since the forwarder received it, in milliseconds.
        news: The heartbeat.
    """

    age_ms: int
    news: Heartbeat


class HeartbeatBundle(effects.Message, frozen=True, tag="bundle"):
    """The latest heartbeats of a data centre's entries.

    Attributes:
        told: The heartbeats.
        onward: Whether the receiver forwards the bundle to the entries of its
            data centre.
    """

    told: tuple[ForwardedHeartbeat, ...]
    onward: bool


class StoreUpdateRequest(effects.Message, frozen=True, tag="ask"):
    """Requests the changes in the store from an entry that reads it.

    Attributes:
        name: The sender's name.
        address: Address for the reply, "ip:port".
        asked_at: Time of sending by the sender's clock; the reply repeats it.
        position: Store revision up to which the sender knows all changes of
            the list of upstreams.
        list_era: The store's era in which that revision was given out.
        configuration: Version, era and revision of the sender's active
            configuration; None from releases that can't decode a copy.
    """

    name: str
    address: str
    asked_at: float
    position: int
    list_era: int = 0
    configuration: tuple[int, int, int] | None = None

    @property
    def list_position(self) -> store_position.StorePosition:
        """Position up to which the sender knows the list of upstreams."""
        return store_position.StorePosition(self.list_era, self.position)


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """An evacuation of a data centre that is in force at the sender.

    Attributes:
        data_centre: The data centre.
        age_ms: For how long it has been in force there, in milliseconds.
        position: Store revision of its last change.
        era: The store's era in which that revision was given out.
    """

    data_centre: str
    age_ms: int
    position: int = 0
    era: int = 0


class StoreUpdate(effects.Message, frozen=True, tag="told"):
    """Changes in the store, from an entry that reads it.

    Attributes:
        name: The sender's name.
        asked_at: Time of the request, by the requester's clock.
        revision: Configuration revision that the store has confirmed.
        proof_age_s: Time since the confirming read was sent, in seconds.
        position: Store revision up to which the list of upstreams is complete.
        list_age_s: Time since the list was last known to be complete, in
            seconds.
        regained_age_s: Time since the list could be read again after an outage
            in which registrations may have lapsed, in seconds; None if there
            was none.
        changed: Upstreams added or changed since the requester's position.
        gone: Ids of upstreams removed since then.
        whole: All upstreams if the changes since then aren't known, else None.
        version: The operators' version of the confirmed configuration.
        era: The store's era in which it was read.
        list_era: The store's era in which `position` was given out.
        evacuated: All evacuated data centres; None if the sender doesn't know
            them.
        evacuations_position: Store revision up to which these are complete.
        evacuations_era: The store's era in which that revision was given out.
        evacuations_age_s: Time since these were last known to be complete, in
            seconds.
        encoded: A copy of the confirmed configuration, if the requester's is
            older.
    """

    name: str
    asked_at: float
    revision: int
    proof_age_s: float
    position: int
    list_age_s: float
    regained_age_s: float | None = None
    changed: tuple[upstreams.Upstream, ...] = ()
    gone: tuple[str, ...] = ()
    whole: tuple[upstreams.Upstream, ...] | None = None
    version: int = 0
    era: int = 0
    list_era: int = 0
    evacuated: tuple[EvacuationReport, ...] | None = None
    evacuations_position: int = 0
    evacuations_era: int = 0
    evacuations_age_s: float = 0.0
    encoded: bytes = b""

    @property
    def list_position(self) -> store_position.StorePosition:
        """Position up to which the list of upstreams is complete."""
        return store_position.StorePosition(self.list_era, self.position)


PeerMessage = (
    Heartbeat | LoadUpdate | HeartbeatBundle | StoreUpdateRequest | StoreUpdate
)
DECODER = msgspec.msgpack.Decoder(list[PeerMessage])


def decode_frame(frame: bytes) -> list[PeerMessage]:
    """Decodes the messages in a frame.

    Raises:
        msgspec.MsgspecError: The frame is malformed.
    """
    return DECODER.decode(frame)
