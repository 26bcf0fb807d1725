"""The timer service: parts of a shell subscribe to a regular beat."""

import asyncio
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(slots=True)
class Subscription:
    """One subscriber.

    Attributes:
        period_s: Seconds between two calls.
        callback: What to call.
        handle: The loop's pending timer.
    """

    period_s: float
    callback: Callable[[], None]
    handle: asyncio.TimerHandle


class TimerService:
    """Calls its subscribers regularly, on one event loop.

    Attributes:
        loop: The loop.
        subscriptions: All subscribers.
    """

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.subscriptions: list[Subscription] = []

    def subscribe(
        self, *, period_s: float, callback: Callable[[], None]
    ) -> None:
        """Calls `callback` every `period_s` seconds, the first time at once."""
        handle = self.loop.call_later(0, self.fire, len(self.subscriptions))
        self.subscriptions.append(Subscription(period_s, callback, handle))

    def fire(self, index: int) -> None:
        """Calls one subscriber and sets its next time."""
        subscription = self.subscriptions[index]
        subscription.handle = self.loop.call_later(
            subscription.period_s, self.fire, index
        )
        subscription.callback()

    def close(self) -> None:
        """Ends all subscriptions."""
        for subscription in self.subscriptions:
            subscription.handle.cancel()
        self.subscriptions.clear()
