"""The commands of `rhubarbbank`."""

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
from rhubarbbank_runtime import process_signals
from rhubarbbank_runtime import settings_file


class SettingsCommands:
    """Validates settings files."""

    def check(self, settings: str, kind: str = "entry") -> str:
        """Validates a settings file and reports all errors in it.

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

    # Without underscores, Fire would offer the signals as a command.
    def __init__(self, signals: process_signals.ProcessSignals) -> None:
        self.settings = SettingsCommands()
        self._signals = signals

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
            settings: Path of an entry's settings file, which provides defaults
                for `store_url` and `hosts_url`.
            store_url: Base URL of the object API; overrides the settings.
            hosts_url: Base URL of the host list; overrides the settings.
            language: Language of messages: `en`, `de` or `ja`.
            author: Name recorded in the edit history.
        """
        if settings:
            entry_settings = settings_file.read_settings(
                settings, options.EntrySettings
            )
            store_url = store_url or entry_settings.store_url
            hosts_url = hosts_url or entry_settings.hosts_url
        return table_commands.TableCommands(
            store_url=store_url,
            hosts_url=hosts_url,
            language=language,
            author=author,
        ).commands()

    def status(self, hosts_url: str) -> str:
        """Shows the status of every entry.

        Args:
            hosts_url: Base URL of the host list.
        """
        return operator_commands.OperatorCommands(hosts_url=hosts_url).status()

    def explain(self, request_id: str, hosts_url: str) -> str:
        """Shows why a request was routed to its model, version and upstream.

        Args:
            request_id: Value of the response's X-Request-Id header.
            hosts_url: Base URL of the host list.
        """
        commands = operator_commands.OperatorCommands(hosts_url=hosts_url)
        return commands.explain(request_id)

    def entry(self, settings: str) -> None:
        """Runs an entry host until it receives a stop signal.

        Args:
            settings: Path of the JSON file.
        """
        entry_settings = settings_file.read_settings(
            settings, options.EntrySettings
        )
        logs.configure(
            entry_settings.log_level, lossless=entry_settings.record_events
        )
        service = entry_service.EntryService(settings=entry_settings)
        event_loop.run(service, signals=self._signals)


def run_command(signals: process_signals.ProcessSignals) -> int:
    """Runs the command line; prints an error and returns the exit code.

    Args:
        signals: The signals that the process has caught since its start.
    """
    try:
        fire.Fire(Commands(signals), name="rhubarbbank")
    except errors.RhubarbbankError as error:
        print(error, file=sys.stderr)
        return 1
    return 0
