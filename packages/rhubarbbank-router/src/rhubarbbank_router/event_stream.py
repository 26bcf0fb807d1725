"""Splits a stream of server-sent events into complete events.

A stream that is interrupted may end in the middle of an event. Only complete
events are forwarded, so that another upstream can resume after the last one.
"""

import dataclasses

ID_FIELD = b"id:"
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    Attributes:
        event_id: Value of its `id` field; empty if it has none.
        raw: Its bytes, including the blank line that terminates it.
    """

    event_id: str
    raw: bytes


class EventSplitter:
    """Buffers bytes until an event is complete.

    Attributes:
        partial: Bytes of an event that isn't complete yet.
    """

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes to the buffer; returns the events that they complete."""
        self.partial += data
        events: list[StreamEvent] = []
        while True:
            end = find_event_end(self.partial)
            if end < 0:
                return events
            raw, self.partial = self.partial[:end], self.partial[end:]
            events.append(StreamEvent(parse_event_id(raw), raw))


def find_event_end(data: bytes) -> int:
    """Returns the offset just past the first event; -1 if it is incomplete."""
    ends = [
        position + len(separator)
        for separator in EVENT_SEPARATORS
        if (position := data.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def parse_event_id(raw: bytes) -> str:
    """Returns the value of an event's `id` field; empty if it has none."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("utf-8", "replace")
    return ""


def follows(event_id: str, last_id: str) -> bool:
    """Returns whether an event comes after the last one forwarded.

    Unless both ids are decimal numbers they have no order: an id that differs
    from the last one counts as following it, and so does an empty id.
    """
    if not (event_id.isdecimal() and last_id.isdecimal()):
        return event_id != last_id or not event_id
    return int(event_id) > int(last_id)
