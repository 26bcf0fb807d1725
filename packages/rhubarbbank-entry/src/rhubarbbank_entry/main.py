"""The `rhubarbbank` command."""

import sys

from rhubarbbank_runtime import process_signals

# The other commands end at once on a signal.
SERVING_COMMAND = "entry"


def main() -> None:
    """Catches signals for an entry, then loads and runs the command."""
    signals = process_signals.ProcessSignals()
    if sys.argv[1:2] == [SERVING_COMMAND]:
        signals.catch_stops()
    # Loading takes long enough for signals to arrive meanwhile.
    from rhubarbbank_entry import commands  # noqa: PLC0415

    sys.exit(commands.run_command(signals))


if __name__ == "__main__":
    main()
