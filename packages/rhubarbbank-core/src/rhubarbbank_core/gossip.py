"""Who heartbeats with whom, and how old a message can be.

Peers: the live entries of a data centre stand on a ring in hash order. Each
entry probes the ones 1, 8, 64, ... places ahead, a few of its data centre's
watchers, and one entry of each other data centre. Since probes are answered,
news passes along a link both ways and reaches all in O(log n) hops.

Age bound: a message that echoes a sequence was made after that sequence was
sent. `ProbeClock` remembers when each was sent; an age inside the message
counts from then, which is safe for any delay, loss, copy or reordering and
compares no two clocks.
"""

import collections
from collections.abc import Iterable
import math
import random

from rhubarbbank_core import membership_messages
from rhubarbbank_core import subset

LINK_BASE = 8
LEAST_WATCHERS = 3
WATCHERS_PROBED = 2
REMEMBERED_PROBES = 16
SEQUENCE_START_BITS = 30


class ProbeClock:
    """Remembers when this process sent what to whom.

    Attributes:
        sequence: The last sequence sent. The start is random, so that an
            echo of an earlier incarnation's message matches nothing.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.sequence = 1 + rng.getrandbits(SEQUENCE_START_BITS)
        self.sent: dict[str, collections.deque[tuple[int, float]]] = {}
        self.heard: dict[str, int] = {}

    def stamp(self, peer: str, *, now: float) -> int:
        """Returns the sequence for a message to `peer` sent now."""
        self.sequence += 1
        sent = self.sent.setdefault(
            peer, collections.deque(maxlen=REMEMBERED_PROBES)
        )
        sent.append((self.sequence, now))
        return self.sequence

    def note(self, peer: str, sequence: int) -> None:
        """Notes a sequence received from `peer`, to echo it."""
        self.heard[peer] = sequence

    def echo_for(self, peer: str) -> int:
        """Returns what to echo to `peer`, 0 if nothing was heard."""
        return self.heard.get(peer, 0)

    def sent_at(self, peer: str, echo: int) -> float | None:
        """Returns when the echoed sequence was sent; None if unknown."""
        for sequence, at in self.sent.get(peer, ()):
            if sequence == echo:
                return at
        return None

    def forget(self, peer: str) -> None:
        """Drops what is kept about a peer that is gone."""
        self.sent.pop(peer, None)
        self.heard.pop(peer, None)


def choose_watchers(
    names: Iterable[str], *, data_centre: str
) -> frozenset[str]:
    """Returns the entries of a data centre that watch the store.

    The square root of twice the number of entries, and at least three: with
    two watchers probed by each entry, a watcher then answers about as many
    entries as there are watchers.
    """
    present = sorted(names)
    count = max(
        LEAST_WATCHERS, math.ceil(math.sqrt(WATCHERS_PROBED * len(present)))
    )
    return frozenset(
        subset.choose_by_rendezvous(
            present, key=f"watch/{data_centre}", count=count
        )
    )


def choose_links(names: Iterable[str], *, own: str) -> tuple[str, ...]:
    """Returns the peers of `own` on the ring of its data centre."""
    ring = subset.choose_by_rendezvous(
        set(names) | {own}, key="ring", count=len(set(names)) + 1
    )
    place = ring.index(own)
    links: list[str] = []
    distance = 1
    while distance < len(ring):
        links.append(ring[(place + distance) % len(ring)])
        distance *= LINK_BASE
    return tuple(links)


def choose_peers(
    entries: Iterable[subset.Member], *, own: subset.Member
) -> frozenset[str]:
    """Returns the entries that `own` probes, without itself."""
    by_place: dict[str, set[str]] = {own.data_centre: {own.name}}
    for entry in entries:
        by_place.setdefault(entry.data_centre, set()).add(entry.name)
    peers: set[str] = set()
    for place, names in by_place.items():
        if place == own.data_centre:
            watchers = choose_watchers(names, data_centre=place)
            peers.update(choose_links(names, own=own.name))
            peers.update(
                subset.choose_by_rendezvous(
                    watchers - {own.name},
                    key=f"probe/{own.name}",
                    count=WATCHERS_PROBED,
                )
            )
            continue
        peers.update(
            subset.choose_by_rendezvous(
                names, key=f"delegate/{own.name}", count=1
            )
        )
    return frozenset(peers - {own.name})


def place_age(sent_at: float | None, age_ms: int) -> float | None:
    """Returns the earliest time that an age in a message can mean.

    Args:
        sent_at: When the message was made at the earliest, on this process's
            clock; None if unknown.
        age_ms: The age at the sender, or `UNKNOWN_AGE_MS`.
    """
    age_s = membership_messages.from_age_ms(age_ms)
    if sent_at is None or age_s is None:
        return None
    return sent_at - age_s


def is_watcher(entries: Iterable[subset.Member], *, own: subset.Member) -> bool:
    """Returns whether `own` watches the store for its data centre."""
    names = {e.name for e in entries if e.data_centre == own.data_centre}
    watchers = choose_watchers(names | {own.name}, data_centre=own.data_centre)
    return own.name in watchers
