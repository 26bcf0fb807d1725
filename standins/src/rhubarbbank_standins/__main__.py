"""Entry point of `python -m rhubarbbank_standins`."""

import signal
import sys


def run() -> int:
    """Runs the command line and returns the exit code."""
    # Signals wait until `bundle` handles them; importing takes a while.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
    from rhubarbbank_standins import main  # noqa: PLC0415

    return main.main()


if __name__ == "__main__":
    sys.exit(run())
