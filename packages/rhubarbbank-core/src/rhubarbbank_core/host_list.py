"""The platform's list of hosts: a hint that lags by tens of seconds."""

from collections.abc import Iterable

from rhubarbbank_core import membership_messages

FORGET_AFTER_S = 600.0

HostSeen = membership_messages.HostSeen


class HostList:
    """The last list, and what was on it before.

    Attributes:
        listed: Hosts of the last list by name.
        gone_at: When each host that was listed once was first missing.
        leaving_incarnation: For each host listed as leaving, the highest
            incarnation known at that time: the line speaks of no later one.
        changes: Grows whenever any of the others changes.
    """

    def __init__(self) -> None:
        self.listed: dict[str, HostSeen] = {}
        self.gone_at: dict[str, float] = {}
        self.leaving_incarnation: dict[str, int] = {}
        self.changes = 0

    def replace(
        self,
        hosts: Iterable[HostSeen],
        *,
        incarnations: dict[str, int],
        now: float,
    ) -> None:
        """Takes a new list.

        Args:
            hosts: All hosts on it.
            incarnations: The known incarnation of each process.
            now: Seconds.
        """
        fresh = {host.name: host for host in hosts}
        if fresh == self.listed:
            return
        self.changes += 1
        for name in self.listed.keys() - fresh.keys():
            self.gone_at.setdefault(name, now)
        for name in fresh:
            self.gone_at.pop(name, None)
        self.listed = fresh
        leaving = {
            name: incarnations.get(name, 0)
            for name, host in fresh.items()
            if host.state is membership_messages.HostState.LEAVING
        }
        self.leaving_incarnation = {
            name: self.leaving_incarnation.get(name, known)
            for name, known in leaving.items()
        }

    def entries(self) -> list[HostSeen]:
        """Returns the entries on the list."""
        return self.of_role(membership_messages.HostRole.ENTRY)

    def upstreams(self) -> list[HostSeen]:
        """Returns the upstream hosts on the list."""
        return self.of_role(membership_messages.HostRole.UPSTREAM)

    def of_role(self, role: membership_messages.HostRole) -> list[HostSeen]:
        """Returns the hosts with one role."""
        return [host for host in self.listed.values() if host.role is role]

    def is_leaving(self, name: str, incarnation: int) -> bool:
        """Returns whether the list says that this incarnation leaves."""
        known = self.leaving_incarnation.get(name)
        return known is not None and incarnation <= known

    def is_gone(self, name: str) -> bool:
        """Returns whether the host was listed once and no longer is."""
        return name in self.gone_at

    def address_of(self, name: str) -> str | None:
        """Returns the peer address on the list, or None."""
        host = self.listed.get(name)
        return host.peer_address if host is not None else None

    def take_forgotten(self, *, now: float) -> list[str]:
        """Returns and forgets the hosts that were missing for long."""
        names = [
            name
            for name, at in self.gone_at.items()
            if now - at >= FORGET_AFTER_S
        ]
        for name in names:
            del self.gone_at[name]
            self.changes += 1
        return names
