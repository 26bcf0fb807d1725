"""Receives a program's signals from its first line until the process ends.

A signal that has no handler ends the process. Programs therefore catch their
signals before they import anything else, and this module must stay quick to
import. It uses the built-in `_signal`, because `signal` imports `enum`, and
that takes more than half as long as the start of the interpreter itself.

Signals that arrive before the event loop runs are kept, and those that arrive
after it has ended are ignored.
"""

import _signal  # type: ignore[import-not-found]
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

SIGHUP: int = _signal.SIGHUP
STOP_SIGNALS: tuple[int, ...] = (_signal.SIGTERM, _signal.SIGINT)
PROGRAM_SIGNALS: tuple[int, ...] = (SIGHUP, *STOP_SIGNALS)


def read_clock() -> float:
    """Returns a clock in seconds that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def is_ignored(number: int) -> bool:
    """Returns whether a signal is ignored, for example because of `nohup`."""
    return bool(_signal.getsignal(number) == _signal.SIG_IGN)


class ProcessSignals:
    """Keeps signals until they can be delivered on an event loop.

    A signal that arrives again before it was delivered is delivered once.

    Attributes:
        caught: Numbers of the signals that this object receives.
        arrived_at: When each signal that wasn't delivered yet arrived first,
            by its number, in seconds of `read_clock`.
        loop: The event loop that the signals are delivered on; None before it
            runs and after it has ended.
        handlers: Called on delivery, by signal number, with the seconds since
            the signal arrived.
    """

    def __init__(self) -> None:
        self.caught: tuple[int, ...] = ()
        self.arrived_at: dict[int, float] = {}
        self.loop: asyncio.AbstractEventLoop | None = None
        self.handlers: Mapping[int, Callable[[float], None]] = {}

    def catch(self, numbers: "Iterable[int]") -> None:
        """Receives these signals from now on."""
        self.caught = tuple(numbers)
        for number in self.caught:
            _signal.signal(number, self.receive)

    def catch_stops(self) -> None:
        """Receives the signals that stop a program which reloads nothing.

        SIGHUP then means that the terminal was closed, unless it is ignored.
        """
        self.catch(
            number
            for number in PROGRAM_SIGNALS
            if number != SIGHUP or not is_ignored(number)
        )

    def receive(self, number: int, frame: object) -> None:
        """Keeps a signal, and schedules its delivery if a loop runs."""
        del frame
        if number in self.arrived_at:
            return
        self.arrived_at[number] = read_clock()
        if self.loop is not None:
            self.loop.call_soon_threadsafe(self.deliver, number)

    def deliver_to(
        self,
        loop: "asyncio.AbstractEventLoop",
        handlers: "Mapping[int, Callable[[float], None]]",
    ) -> None:
        """Delivers kept signals, and from now on each one that arrives."""
        self.handlers = handlers
        # Signals that arrive from here on schedule their own delivery.
        self.loop = loop
        for number in list(self.arrived_at):
            loop.call_soon(self.deliver, number)

    def deliver(self, number: int) -> None:
        """Calls the handler of a signal unless it was delivered already."""
        arrived_at = self.arrived_at.pop(number, None)
        if arrived_at is not None and number in self.handlers:
            self.handlers[number](max(0.0, read_clock() - arrived_at))

    def stop_delivery(self) -> None:
        """Stops using the event loop, which may be closed afterwards."""
        self.loop = None

    def ignore(self) -> None:
        """Ignores the signals until the process has ended.

        The interpreter resets signals with a handler to their default action
        while it shuts down, but not those that are ignored.
        """
        for number in self.caught:
            _signal.signal(number, _signal.SIG_IGN)
