"""Messages and reports about which processes are alive.

Ages travel in whole milliseconds, since clocks of two hosts are never
compared; `UNKNOWN_AGE_MS` says that there is none. `sequence` numbers the
sender's messages, `echo` is the last sequence that the sender has received
from the receiver, 0 if none: it bounds how old the message can be (see
`gossip.py`).
"""

import dataclasses
import enum

import msgspec

from rhubarbbank_core import effects

UNKNOWN_AGE_MS = -1
MS_PER_S = 1000


class HostKind(enum.StrEnum):
    """What an upstream is."""

    ENGINE = "engine"
    SERVICE = "service"


class HostRole(enum.StrEnum):
    """What a host of the platform's list does for the system."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(enum.StrEnum):
    """What the platform's list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostSeen:
    """An event: one line of the platform's host list, a lagging hint.

    Attributes:
        name: The process on the host: the entry's or the sidecar's name.
        role: Entry or upstream.
        data_centre: Where it stands.
        region: The region of the data centre.
        peer_address: Where the system's process listens, as "ip:port".
        http_address: Where an entry takes requests, as "ip:port".
        upstream: For an upstream host the upstream's own "ip:port".
        kind: For an upstream host, engine or plain service.
        state: Live or leaving.
    """

    name: str
    role: HostRole
    data_centre: str
    region: str = ""
    peer_address: str = ""
    http_address: str = ""
    upstream: str = ""
    kind: HostKind = HostKind.ENGINE
    state: HostState = HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocalReport:
    """What a process says of its own table with each heartbeat.

    Attributes:
        revision: The table's revision; 0 without a table.
        digest: The table's 64-bit digest.
        confirmed_age_s: Seconds since the revision was confirmed; None if
            never.
        store_failed_age_s: Seconds since a store call of this process
            failed; None if the last call succeeded or there was none.
        outage_age_s: Seconds since the oldest piece of evidence that the
            store is down for everyone; None while that is not established.
    """

    revision: int = 0
    digest: int = 0
    confirmed_age_s: float | None = None
    store_failed_age_s: float | None = None
    outage_age_s: float | None = None


class Hello(effects.Message, frozen=True, array_like=True, tag="mh"):
    """Entry to sidecar: asks for a heartbeat and tells the table's state.

    `known_incarnation` and `known_generation` name the newest row of the
    sidecar that the entry has, 0 without one.
    """

    name: str
    incarnation: int
    address: str
    sequence: int
    echo: int
    revision: int
    digest: int
    known_incarnation: int = 0
    known_generation: int = 0
    confirmed_age_ms: int = UNKNOWN_AGE_MS
    outage_age_ms: int = UNKNOWN_AGE_MS


class SidecarRow(msgspec.Struct, frozen=True, array_like=True):
    """What changes seldom about a sidecar; spread between entries.

    A row with a higher (incarnation, generation) replaces the one before;
    the sidecar raises the generation with each change. `versions` are loaded
    ones, each as "model@version".
    """

    name: str
    incarnation: int
    generation: int
    address: str
    data_centre: str
    upstream: str
    kind: HostKind
    versions: tuple[str, ...] = ()
    leaving: bool = False


class EntryState(enum.IntEnum):
    """What is said of an entry; the higher wins at equal counters."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2


class EntryRow(msgspec.Struct, frozen=True, array_like=True):
    """What is said of an entry; spread between entries.

    The row with the higher (incarnation, refutation, state) holds. Only the
    entry itself raises `refutation`, when it hears that it is suspected or
    when `is_cut_off` changes: it can't reach the store, and others can.
    """

    name: str
    incarnation: int
    refutation: int
    address: str
    data_centre: str
    state: EntryState = EntryState.ALIVE
    is_cut_off: bool = False


class SidecarHeartbeat(effects.Message, frozen=True, array_like=True, tag="ms"):
    """Sidecar to entry: answers a Hello, or comes unasked on a change.

    `row` comes along only if it is newer than the one the entry knows.
    """

    name: str
    incarnation: int
    sequence: int
    echo: int
    revision: int
    digest: int
    healthy: bool = True
    running: int = 0
    waiting: int = 0
    max_batch: int = 0
    load_age_ms: int = UNKNOWN_AGE_MS
    row: SidecarRow | None = None


class EntryHeartbeat(effects.Message, frozen=True, array_like=True, tag="me"):
    """Entry to entry; `wants_reply` marks the probe, the reply has it off.

    `row` is left out while the receiver answers, since it knows it then.
    """

    name: str
    sequence: int
    echo: int
    revision: int
    digest: int
    directory_digest: int
    view_size: int
    confirmed_age_ms: int = UNKNOWN_AGE_MS
    store_failed_age_ms: int = UNKNOWN_AGE_MS
    wants_reply: bool = False
    row: EntryRow | None = None


class DirectoryUpdate(effects.Message, frozen=True, array_like=True, tag="mu"):
    """Entry to entry: rows that are new to the sender."""

    name: str
    sidecars: tuple[SidecarRow, ...] = ()
    entries: tuple[EntryRow, ...] = ()


class DirectoryPull(effects.Message, frozen=True, array_like=True, tag="mp"):
    """Entry to entry: asks for all rows, since the digests differ."""

    name: str
    address: str


def to_age_ms(age_s: float | None) -> int:
    """Returns an age for the wire, rounded up."""
    if age_s is None:
        return UNKNOWN_AGE_MS
    return max(0, int(age_s * MS_PER_S) + 1)


def from_age_ms(age_ms: int) -> float | None:
    """Returns an age in seconds; None if there is none."""
    return None if age_ms < 0 else age_ms / MS_PER_S
