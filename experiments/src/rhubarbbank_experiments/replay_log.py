"""Replays what a process with `record_events` has logged.

The log may be of a process that runs on another Python with other hash seeds;
the effects must be the same all the same.
"""

import base64
from collections.abc import Iterator
import pathlib

import msgspec

from rhubarbbank_core import errors
from rhubarbbank_core import event_log
from rhubarbbank_core import program_start

EVENT_LOGGER = "rhubarbbank.events"


class LoggedLine(msgspec.Struct, frozen=True):
    """What matters here of one line of a log."""

    logger: str = ""
    message: str = ""


LINE_DECODER = msgspec.json.Decoder(LoggedLine)


def read_records(log: str) -> Iterator[event_log.AnyRecord]:
    """Yields the records that a process's log holds, in order."""
    for line in log.splitlines():
        if f'"{EVENT_LOGGER}"' not in line:
            continue
        found = LINE_DECODER.decode(line)
        if found.logger == EVENT_LOGGER:
            yield event_log.decode(base64.b64decode(found.message))


def replay(path: str) -> str:
    """Replays a log and returns how many events gave the same effects.

    Raises:
        errors.RhubarbbankError: The log has no start, or an event's effects
            differ.
    """
    log = pathlib.Path(path).read_text(encoding="utf-8")
    records = list(read_records(log))
    first = records[0] if records else None
    if not isinstance(first, program_start.AnyStart):
        raise errors.RhubarbbankError(
            problem=errors.Problem(
                code=errors.ErrorCode.BAD_REQUEST,
                detail=f"{path} does not begin with a start.",
            ),
            remedy="Record with record_events from the process's start.",
        )
    found = event_log.find_difference(first.build_reducer(), records)
    if found is not None:
        raise errors.RhubarbbankError(
            problem=errors.Problem(
                code=errors.ErrorCode.BAD_REQUEST, detail=f"{path}: {found}"
            ),
            remedy="Look for what the reducer reads besides its events.",
        )
    count = sum(isinstance(x, event_log.RecordedEffects) for x in records)
    return f"{path}: {count} events, the same effects"
