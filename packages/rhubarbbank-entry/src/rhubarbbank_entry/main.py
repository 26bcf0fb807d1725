"""The `rhubarbbank` command."""

from collections.abc import Callable
import sys

import fire

from rhubarbbank_core import errors
from rhubarbbank_core import options
from rhubarbbank_entry import entry_service
from rhubarbbank_entry import operator_commands
from rhubarbbank_entry import table_commands
from rhubarbbank_runtime import event_loop
from rhubarbbank_runtime import logs
from rhubarbbank_runtime import settings_file


class SettingsCommands:
    """Checks settings files."""

    def check(self, settings: str, kind: str = "entry") -> str:
        """Checks a settings file and names every fault at once.

        Args:
            settings: Path of the JSON file.
            kind: `entry` or `sidecar`.
        """
        if kind == "sidecar":
            settings_file.read_settings(settings, options.SidecarSettings)
        else:
            settings_file.read_settings(settings, options.EntrySettings)
        return f"{settings}: no faults"


class Commands:
    """Routes requests to model versions and plain services."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()

    def table(
        self,
        *,
        settings: str = "",
        store_url: str = "",
        hosts_url: str = "",
        language: str = "en",
        author: str = "operator",
    ) -> dict[str, Callable[..., None]]:
        """Shows and edits the operators' table.

        Args:
            settings: Path of an entry's settings, for the two addresses.
            store_url: Base URL of the object API, instead of the settings'.
            hosts_url: Base URL of the host list, instead of the settings'.
            language: `en`, `de` or `ja`.
            author: The name that the history shows.
        """
        if settings:
            found = settings_file.read_settings(settings, options.EntrySettings)
            store_url = store_url or found.store_url
            hosts_url = hosts_url or found.hosts_url
        return table_commands.TableCommands(
            store_url=store_url,
            hosts_url=hosts_url,
            language=language,
            author=author,
        ).commands()

    def status(self, hosts_url: str) -> str:
        """Shows what every entry says of itself.

        Args:
            hosts_url: Base URL of the host list.
        """
        return operator_commands.OperatorCommands(hosts_url=hosts_url).status()

    def explain(self, request_id: str, hosts_url: str) -> str:
        """Shows why a request went to its model, version and upstream.

        Args:
            request_id: As in the answer's X-Request-Id header.
            hosts_url: Base URL of the host list.
        """
        asked = operator_commands.OperatorCommands(hosts_url=hosts_url)
        return asked.explain(request_id)

    def entry(self, settings: str) -> None:
        """Runs an entry host until it is asked to stop.

        Args:
            settings: Path of the JSON file.
        """
        checked = settings_file.read_settings(settings, options.EntrySettings)
        logs.configure(checked.log_level, lossless=checked.record_events)
        event_loop.run(entry_service.EntryService(settings=checked))


def main() -> None:
    """Runs the command line."""
    try:
        fire.Fire(Commands, name="rhubarbbank")
    except errors.RhubarbbankError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
