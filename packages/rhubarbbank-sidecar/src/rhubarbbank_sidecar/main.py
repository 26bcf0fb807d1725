"""The `rhubarbbank-sidecar` command."""

import sys

import fire

from rhubarbbank_core import errors
from rhubarbbank_core import options
from rhubarbbank_runtime import event_loop
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import settings_file
from rhubarbbank_sidecar import sidecar_service


def run(settings: str) -> None:
    """Runs the sidecar of one upstream until it is asked to stop.

    Args:
        settings: Path of the JSON file.
    """
    checked = settings_file.read_settings(settings, options.SidecarSettings)
    logs.configure(checked.log_level, lossless=checked.record_events)
    event_loop.run(sidecar_service.SidecarService(settings=checked))


def main() -> None:
    """Runs the command; prints an error and exits with status 1."""
    try:
        fire.Fire(run, name="rhubarbbank-sidecar")
    except errors.RhubarbbankError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
