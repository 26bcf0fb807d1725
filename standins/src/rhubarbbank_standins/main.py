"""Command line of the stand-ins.

`python -m rhubarbbank_standins bundle --settings FILE` serves the listed
stand-ins in one process; `one --kind KIND --settings FILE` serves a single
one. Both print `ready` once every port listens and end cleanly on SIGTERM.
"""

import os
import pathlib
import sys

# libuv opens an io_uring unless this is set before the first loop is made.
os.environ["UV_USE_IO_URING"] = "0"

import fire
import uvloop

from rhubarbbank_standins import bundle
from rhubarbbank_standins import settings


class Commands:
    """The commands of the stand-ins."""

    # Fire makes commands of the methods; the class has no state.

    def bundle(self, settings: str) -> None:
        """Serves all stand-ins of a settings file.

        Args:
            settings: Path of the JSON file.
        """
        run_bundle(pathlib.Path(settings))

    def one(self, kind: str, settings: str) -> None:
        """Serves one stand-in.

        Args:
            kind: What it stands for, such as "engine".
            settings: Path of its JSON file.
        """
        run_one(kind, pathlib.Path(settings))


def run_bundle(path: pathlib.Path) -> None:
    """Serves all stand-ins of a settings file."""
    uvloop.run(bundle.serve(settings.read_bundle(path)))


def run_one(kind: str, path: pathlib.Path) -> None:
    """Serves the stand-in of a settings file."""
    uvloop.run(bundle.serve([settings.read_one(path, kind)]))


def main() -> int:
    """Runs the command line and returns the exit code."""
    try:
        fire.Fire(Commands, name="rhubarbbank_standins")
    except (settings.SettingsError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0
