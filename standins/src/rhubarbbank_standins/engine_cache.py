"""The model engine's prefix cache and the events it publishes.

Blocks are kept in order of use and the least recently used one is evicted
when room is wanted. Each stored or evicted block is an event with a sequence
number; events become visible late, and some never do, which leaves gaps in
the sequence.
"""

import collections
from collections.abc import Sequence
import dataclasses
import random
import time

KEPT_EVENTS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache.

    Attributes:
        sequence: Its number, from 1.
        block: The block's hash.
        action: "stored" or "evicted".
    """

    sequence: int
    block: str
    action: str


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """A page of events; `next` goes into the next call's `after`."""

    next: int
    events: list[CacheEvent]


class PrefixCache:
    """A bounded cache of prompt blocks.

    Args:
        capacity: How many blocks it holds.
        event_lag_s: How late events become visible.
        event_drop: Share of events that never do.
        seed: Seed of the dropping.
    """

    def __init__(
        self, *, capacity: int, event_lag_s: float, event_drop: float, seed: int
    ) -> None:
        self.capacity = capacity
        self.event_lag_s = event_lag_s
        self.event_drop = event_drop
        self.random = random.Random(seed)
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )

    @property
    def used_fraction(self) -> float:
        """How full the cache is, 0 to 1."""
        return len(self.blocks) / self.capacity if self.capacity else 1.0

    def count_cached(self, blocks: Sequence[str]) -> int:
        """Returns how many leading blocks are here."""
        count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            count += 1
        return count

    def store(self, blocks: Sequence[str]) -> None:
        """Makes the blocks the most recently used ones, the first last.

        A prefix is useless without its head, so the head is evicted last.
        """
        for block in reversed(blocks[: self.capacity]):
            if block not in self.blocks:
                self.blocks[block] = None
                self.publish(block, "stored")
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self.publish(evicted, "evicted")

    def clear(self) -> None:
        """Forgets all blocks without a word, as a crash does.

        The sequence skips a number, so that a reader sees a gap.
        """
        self.blocks.clear()
        self.sequence += 1

    def publish(self, block: str, action: str) -> None:
        """Records one event, or only its gap."""
        self.sequence += 1
        if self.random.random() < self.event_drop:
            return
        event = CacheEvent(self.sequence, block, action)
        self.events.append((time.monotonic(), event))

    def read_events(self, after: int) -> CacheEvents:
        """Returns the visible events after a sequence number."""
        latest = time.monotonic() - self.event_lag_s
        page = [
            event
            for at_s, event in self.events
            if at_s <= latest and event.sequence > after
        ]
        return CacheEvents(page[-1].sequence if page else after, page)
