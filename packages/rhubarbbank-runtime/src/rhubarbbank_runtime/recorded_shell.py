"""Shell components shared by the programs that can record their events.

These are `rhubarbbank_entry` and `rhubarbbank_sidecar`: their events can be
recorded to the log and replayed, their metrics go to statsd, and their
messages are those of `rhubarbbank_core.wire`.
"""

import base64
import logging
from typing import Any
from typing import Protocol

from rhubarbbank_core import event_log
from rhubarbbank_core import program_start
from rhubarbbank_core import wire
from rhubarbbank_runtime import metrics
from rhubarbbank_runtime import shell

EVENT_LOG = logging.getLogger("rhubarbbank.events")


class RecordedSettings(Protocol):
    """The settings that choose the metrics server and the recording."""

    @property
    def statsd_address(self) -> str:
        """Address of the statsd server; empty to send no metrics."""

    @property
    def record_events(self) -> bool:
        """Whether every event is recorded to the log."""


class LogRecorder:
    """Writes every event and a digest of its effects to the log.

    Attributes:
        start: What the reducer was built from.
    """

    def __init__(self, *, start: program_start.AnyStart) -> None:
        self.start = start

    def record_start(self) -> None:
        """Records what the reducer was built from."""
        write_record(self.start)

    def record_event(self, now: float, event: Any) -> None:
        """Records an event, before the reducer applies it."""
        write_record(event_log.RecordedEvent(now, event))

    def record_effects(self, produced: list[Any]) -> None:
        """Records a digest of the effects of a step."""
        write_record(event_log.digest(produced))


def build_parts(
    settings: RecordedSettings, start: program_start.AnyStart
) -> shell.ShellParts:
    """Returns the shell components that the settings ask for."""
    recorder = LogRecorder(start=start) if settings.record_events else None
    return shell.ShellParts(
        metrics=metrics.Metrics(address=settings.statsd_address),
        decode=wire.decode_frame,
        recorder=recorder,
    )


def write_record(record: event_log.AnyRecord) -> None:
    """Logs a record in the encoding that a replay reads."""
    text = base64.b64encode(event_log.encode(record)).decode()
    EVENT_LOG.info("%s", text)
