"""Cuts a stream of server-sent events into whole events.

A stream that breaks off may end inside an event. Only whole events are
passed on, so that another upstream can go on after the last one.
"""

import dataclasses

ID_FIELD = b"id:"
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        event_id: Its id; empty if it has none.
        raw: Its bytes, with the blank line that ends it.
    """

    event_id: str
    raw: bytes


class EventSplitter:
    """Collects bytes until an event is whole.

    Attributes:
        partial: Bytes of an event that isn't whole yet.
    """

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are whole now."""
        self.partial += data
        found: list[StreamEvent] = []
        while True:
            end = find_event_end(self.partial)
            if end < 0:
                return found
            raw, self.partial = self.partial[:end], self.partial[end:]
            found.append(StreamEvent(parse_event_id(raw), raw))


def find_event_end(data: bytes) -> int:
    """Returns where the first event ends, or -1."""
    ends = [
        position + len(separator)
        for separator in EVENT_SEPARATORS
        if (position := data.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def parse_event_id(raw: bytes) -> str:
    """Returns the id of an event; empty if it has none."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
    return ""


def follows(event_id: str, last_id: str) -> bool:
    """Returns whether an event comes after the last one passed on.

    Ids that aren't numbers can't be compared; such an event follows.
    """
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return event_id != last_id or not event_id
    return int(event_id) > int(last_id)
