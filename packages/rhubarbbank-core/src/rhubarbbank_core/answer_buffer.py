"""Puts answer events in order: each once, whatever comes late or twice.

The entry keeps one buffer a request. Events carry numbers over the whole
request, so that a resumed attempt goes on where the lost one stopped.
"""


class AnswerBuffer:
    """Hands out consecutive events, each exactly once.

    Attributes:
        next_event: Number of the next event to hand out.
        early: Events that came before an earlier one, by number.
    """

    def __init__(self) -> None:
        self.next_event = 0
        self.early: dict[int, bytes] = {}

    def accept(self, *, first_event: int, events: list[bytes]) -> list[bytes]:
        """Takes events in and returns those that are now next in line."""
        end = first_event + len(events)
        if end <= self.next_event:
            return []
        if not self.early and first_event <= self.next_event:
            ready = events[self.next_event - first_event :]
            self.next_event = end
            return ready
        for number, event in enumerate(events, first_event):
            if number >= self.next_event:
                self.early[number] = event
        return self.take_ready()

    def take_ready(self) -> list[bytes]:
        """Returns the early events that have become next in line."""
        ready = []
        while self.next_event in self.early:
            ready.append(self.early.pop(self.next_event))
            self.next_event += 1
        return ready

    def drop_early(self) -> None:
        """Forgets early events of an attempt that is given up."""
        self.early.clear()
