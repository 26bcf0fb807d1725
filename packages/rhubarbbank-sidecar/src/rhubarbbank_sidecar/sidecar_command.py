"""Runs the sidecar that the command line describes."""

import sys

import fire

from rhubarbbank_core import errors
from rhubarbbank_core import options
from rhubarbbank_runtime import event_loop
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import process_signals
from rhubarbbank_runtime import settings_file
from rhubarbbank_sidecar import sidecar_service


def run_command(signals: process_signals.ProcessSignals) -> int:
    """Runs the command; prints an error and returns the exit code.

    Args:
        signals: The signals that the process has caught since its start.
    """

    def run(settings: str) -> None:
        """Runs the sidecar of one upstream until it is asked to stop.

        Args:
            settings: Path of the JSON file.
        """
        checked = settings_file.read_settings(settings, options.SidecarSettings)
        logs.configure(checked.log_level, lossless=checked.record_events)
        service = sidecar_service.SidecarService(settings=checked)
        event_loop.run(service, signals=signals)

    try:
        fire.Fire(run, name="rhubarbbank-sidecar")
    except errors.RhubarbbankError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
