"""Signals that end a program by an exception, so that it ends its processes.

An exception that comes while a process is being started, after the fork and
before the caller has noted it, leaves a process that nobody ends. A start is
therefore held: a signal that comes meanwhile takes effect right after it.
"""

from collections.abc import Iterator
import contextlib
import signal
import sys
import threading

NUMBERS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
# What a shell reports for a process that a signal has ended.
EXIT_BASE = 128


class StopSignals:
    """Handles the signals that end a program.

    Attributes:
        lock: Guards `holds`, as threads start processes, too.
        holds: How many starts of processes are under way.
        pending: A signal that came during one of them, or None.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.holds = 0
        self.pending: int | None = None

    def install(self) -> None:
        """Handles each signal that wasn't ignored when the program began."""
        for number in NUMBERS:
            if signal.getsignal(number) is not signal.SIG_IGN:
                signal.signal(number, self.handle)

    def handle(self, number: int, frame: object) -> None:
        """Ends the program by an exception, or notes the signal in a hold.

        Raises:
            SystemExit: Outside a hold.
        """
        del frame
        if self.holds:
            self.pending = number
            return
        # Nothing may interrupt the end of the processes.
        for other in NUMBERS:
            signal.signal(other, signal.SIG_IGN)
        sys.exit(EXIT_BASE + number)

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Puts signals off until a process has been started and noted."""
        with self.lock:
            self.holds += 1
        try:
            yield
        finally:
            with self.lock:
                self.holds -= 1
                number = None if self.holds else self.pending
            if number is not None:
                signal.raise_signal(number)


STOP_SIGNALS = StopSignals()
