"""Table of the versions that this entry's sessions run on, by service.

A session is alive while one of its requests is open and for some time after
the last one ended. Roll-outs use the table to find the live sessions on the
version that is being replaced.
"""

import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(slots=True)
class SessionPin:
    """The version of a session's last request.

    Attributes:
        version: Version that the last request ran on.
        affinity_key: Affinity key of the last request.
        seen_at: When a request of the session last began or ended.
        open_requests: Number of the session's requests that are running.
    """

    version: str
    affinity_key: str
    seen_at: float
    open_requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SessionKey:
    """A session's requests for one service, each of which has its versions.

    Attributes:
        service: The service's name.
        session: The session's name; empty for requests without one.
    """

    service: str
    session: str


class SessionPins:
    """The sessions seen at this entry, the least recently seen first."""

    def __init__(self) -> None:
        self.pins: collections.OrderedDict[SessionKey, SessionPin] = (
            collections.OrderedDict()
        )

    def begin_request(
        self, key: SessionKey, *, version: str, affinity_key: str, now: float
    ) -> None:
        """Records that a request of the session begins on a version."""
        if not key.session:
            return
        pin = self.pins.get(key)
        if pin is None:
            pin = SessionPin(version, affinity_key, now)
            self.pins[key] = pin
        pin.version = version
        pin.affinity_key = affinity_key
        pin.open_requests += 1
        self.touch(key, pin, now=now)

    def end_request(self, key: SessionKey, *, now: float) -> None:
        """Records that a request of the session has ended."""
        pin = self.pins.get(key)
        if pin is not None:
            pin.open_requests = max(0, pin.open_requests - 1)
            self.touch(key, pin, now=now)

    def touch(self, key: SessionKey, pin: SessionPin, *, now: float) -> None:
        """Marks a session as the most recently seen."""
        pin.seen_at = now
        self.pins.move_to_end(key)

    def find_version(
        self, key: SessionKey, *, now: float, alive_s: float
    ) -> str:
        """Returns the version of a live session, or an empty string.

        Args:
            key: The session.
            now: Current time in seconds.
            alive_s: How long a session lives after its last request.
        """
        pin = self.pins.get(key)
        if pin is None or not is_alive(pin, now=now, alive_s=alive_s):
            return ""
        return pin.version

    def remove_expired(self, *, now: float, alive_s: float) -> None:
        """Removes sessions that are no longer alive."""
        for key, pin in list(self.pins.items()):
            if not pin.open_requests and is_alive(
                pin, now=now, alive_s=alive_s
            ):
                return
            if not pin.open_requests:
                del self.pins[key]

    def list_alive(
        self, service: str, *, now: float, alive_s: float
    ) -> collections.abc.Iterator[tuple[str, SessionPin]]:
        """Yields the names of a service's live sessions, and their pins."""
        for key, pin in self.pins.items():
            if key.service == service and is_alive(
                pin, now=now, alive_s=alive_s
            ):
                yield key.session, pin


def is_alive(pin: SessionPin, *, now: float, alive_s: float) -> bool:
    """Returns whether a session is alive."""
    return pin.open_requests > 0 or now - pin.seen_at <= alive_s
