"""Periodic timers on the event loop."""

import asyncio
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(slots=True)
class Subscription:
    """A callback that is called periodically.

    Attributes:
        period_s: Seconds between two calls.
        callback: The function to call.
        handle: The event loop's timer for the next call.
    """

    period_s: float
    callback: Callable[[], None]
    handle: asyncio.TimerHandle


class TimerService:
    """Calls its subscribers periodically, on one event loop.

    Attributes:
        loop: The event loop.
        subscriptions: All subscriptions, in the order in which they were made.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.subscriptions: list[Subscription] = []

    def subscribe(
        self, *, period_s: float, callback: Callable[[], None]
    ) -> None:
        """Calls `callback` every `period_s` seconds, starting immediately."""
        handle = self.loop.call_later(0, self.fire, len(self.subscriptions))
        self.subscriptions.append(Subscription(period_s, callback, handle))

    def fire(self, index: int) -> None:
        """Schedules the next call of a subscriber and calls it."""
        subscription = self.subscriptions[index]
        subscription.handle = self.loop.call_later(
            subscription.period_s, self.fire, index
        )
        subscription.callback()

    def close(self) -> None:
        """Cancels all subscriptions."""
        for subscription in self.subscriptions:
            subscription.handle.cancel()
        self.subscriptions.clear()
