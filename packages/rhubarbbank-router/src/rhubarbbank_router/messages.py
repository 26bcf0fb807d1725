"""Messages between entries, and their codec.

An entry sends `EntryNews` to its peers as a heartbeat; all that entries
learn from one another is in it, so that a lost one is made good by the next.
"""

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_router import upstreams


class CountNews(msgspec.Struct, frozen=True, array_like=True):
    """Counts of attempts, as `version_trial.AnswerCounts` has them.

    New counts are added at the end, so that entries of two releases read one
    another's.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    paced: int = 0
    dragging: int = 0


class RouteNews(msgspec.Struct, frozen=True, array_like=True):
    """Counts on one route.

    Attributes:
        route: The route's name.
        target: Of the target.
        incumbent: Of other versions.
    """

    route: str
    target: CountNews
    incumbent: CountNews


class TrialNews(msgspec.Struct, frozen=True, array_like=True):
    """What an entry knows of one roll-out.

    Attributes:
        service: The service.
        key: Of the order.
        age_s: Since the order was first seen by anyone.
        held: Whether the target gets no new work.
        whole: Whether all new work goes to the target here.
        old_in_flight: Open attempts here on other versions.
        routes: Answers by route.
        step: How many times the target's share has grown, less one.
        kept_sessions: Marks of sessions that stay on their version.
    """

    service: str
    key: str
    age_s: float
    held: bool
    whole: bool
    old_in_flight: int
    routes: tuple[RouteNews, ...]
    step: int = -1
    kept_sessions: tuple[int, ...] = ()


class EndNews(msgspec.Struct, frozen=True, array_like=True):
    """The end of an upstream that ran a request.

    Attributes:
        upstream: The mark of the upstream's incarnation.
        age_ms: How long ago it ended.
    """

    upstream: int
    age_ms: int


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """What an entry knows of a request that ended its upstreams.

    Attributes:
        fingerprint: Of the request.
        crashes: How many of the ends the entry has seen itself.
        age_ms: How long ago the request was last seen anywhere.
        ends: The upstreams that ended under it, as far as anyone has seen.
        cleared_ms: How long ago it last had a good answer, which clears it of
            all ends before; None if it had none.
    """

    fingerprint: str
    crashes: int
    age_ms: int = 0
    ends: tuple[EndNews, ...] = ()
    cleared_ms: int | None = None


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """What an entry has under way at one upstream.

    Attributes:
        upstream: The upstream's mark.
        work_ms: How long it is expected to hold others up.
        in_flight: Attempts.
        heard_ms: How long ago the entry last heard from it.
    """

    upstream: int
    work_ms: int
    in_flight: int
    heard_ms: int


class EntryLoads(effects.Message, frozen=True, tag="loads"):
    """What an entry has under way, told between heartbeats.

    Attributes:
        name: The entry.
        loads: By upstream.
    """

    name: str
    loads: tuple[LoadNews, ...]


class EntryNews(effects.Message, frozen=True, tag="news"):
    """An entry's heartbeat.

    Attributes:
        name: The entry.
        incarnation: Unix time of its start, in nanoseconds.
        address: Where its peers reach it, "ip:port".
        stopping: Whether it is about to leave.
        trials: Its roll-outs.
        suspects: Requests that it suspects.
        leaving: Id and start of upstreams that said they shut down.
        loads: What it has under way, by upstream.
        data_centre: Where it stands.
        reads: Whether it reads the store itself.
    """

    name: str
    incarnation: int
    address: str
    stopping: bool
    trials: tuple[TrialNews, ...] = ()
    suspects: tuple[SuspectNews, ...] = ()
    leaving: tuple[tuple[str, int], ...] = ()
    loads: tuple[LoadNews, ...] = ()
    data_centre: str = ""
    reads: bool = True


class AgedNews(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that somebody else passes on.

    Attributes:
        age_ms: How long ago it was heard.
        news: The heartbeat.
    """

    age_ms: int
    news: EntryNews


class NewsBundle(effects.Message, frozen=True, tag="bundle"):
    """What the entries of a data centre told last.

    Attributes:
        told: Their heartbeats.
        onward: Whether the receiver hands it on to the entries nearby.
    """

    told: tuple[AgedNews, ...]
    onward: bool


class StoreAsk(effects.Message, frozen=True, tag="ask"):
    """Asks a reader of the store for what has changed.

    Attributes:
        name: Who asks.
        address: Where to answer, "ip:port".
        asked_at: When, by the asker's clock, which the answer repeats.
        position: The store's revision up to which the asker knows all
            changes of the list of upstreams.
    """

    name: str
    address: str
    asked_at: float
    position: int


class StoreTold(effects.Message, frozen=True, tag="told"):
    """What a reader of the store knows.

    Attributes:
        name: The reader.
        asked_at: When it was asked, by the asker's clock.
        revision: Of the configuration that the store has confirmed.
        proof_age_s: How long ago the read was sent that confirmed it.
        position: The store's revision up to which the list is complete.
        list_age_s: How long ago it was so for certain.
        regained_age_s: How long ago the store came back; None if it wasn't
            away lately.
        changed: Upstreams that are new or changed since the asker's position.
        gone: Ids of those that left the list since.
        whole: All upstreams, where the changes aren't known; else None.
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


AnyNews = EntryNews | EntryLoads | NewsBundle | StoreAsk | StoreTold
DECODER = msgspec.msgpack.Decoder(list[AnyNews])


def decode_frame(frame: bytes) -> list[AnyNews]:
    """Returns the messages of a frame.

    Raises:
        msgspec.MsgspecError: The frame is not one of ours.
    """
    return DECODER.decode(frame)
