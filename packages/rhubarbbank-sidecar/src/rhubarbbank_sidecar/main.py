"""The `rhubarbbank-sidecar` command."""

import sys

from rhubarbbank_runtime import process_signals


def main() -> None:
    """Catches signals, then loads and runs the command."""
    signals = process_signals.ProcessSignals()
    signals.catch_stops()
    # Loading takes long enough for signals to arrive meanwhile.
    from rhubarbbank_sidecar import sidecar_command  # noqa: PLC0415

    sys.exit(sidecar_command.run_command(signals))


if __name__ == "__main__":
    main()
