"""Turns lines of the platform's host list into what membership takes."""

from rhubarbbank_core import membership_messages
from rhubarbbank_core import wire


class HostLines:
    """Converts a list, but for one that came unchanged.

    Attributes:
        listed: The last list.
        seen: Its hosts as membership takes them.
    """

    def __init__(self) -> None:
        self.listed: list[wire.ListedHost] = []
        self.seen: list[membership_messages.HostSeen] = []

    def convert(
        self, listed: list[wire.ListedHost]
    ) -> list[membership_messages.HostSeen]:
        """Returns the hosts of a list."""
        # Nearly every read finds the list unchanged, often the very same
        # lines, which compare in no time.
        if listed != self.listed:
            self.seen = [convert_host(host) for host in listed]
            self.listed = listed
        return self.seen


def convert_host(host: wire.ListedHost) -> membership_messages.HostSeen:
    """Returns a line of the host list as membership takes it."""
    role = membership_messages.HostRole.UPSTREAM
    if host.role == "entry":
        role = membership_messages.HostRole.ENTRY
    kind = membership_messages.HostKind.ENGINE
    if host.kind == "service":
        kind = membership_messages.HostKind.SERVICE
    state = membership_messages.HostState.LIVE
    if host.state == "leaving":
        state = membership_messages.HostState.LEAVING
    return membership_messages.HostSeen(
        name=host.name,
        role=role,
        data_centre=host.data_centre,
        region=host.region,
        peer_address=host.peer_address,
        http_address=host.http_address,
        upstream=host.upstream,
        kind=kind,
        state=state,
    )
