"""Simulated time: what happens when, in a fixed order."""

from collections.abc import Callable
import heapq
import itertools


class Clock:
    """Lets things happen at their times; those of one time in turn.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Lets something happen at a time."""
        heapq.heappush(self.queue, (time, next(self.order), act))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Lets something happen after a while."""
        self.at(self.now + delay_s, act)

    def run(self, until: float) -> None:
        """Lets everything happen that is due until a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
