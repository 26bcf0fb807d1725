"""Table of the other entries.

The platform's store lists the addresses of entries; only heartbeats show
whether an entry is alive.
"""

import collections.abc
import dataclasses

import msgspec

from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import version_trial


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerAddress:
    """Address of an entry that is registered in the store.

    Attributes:
        name: The entry's name.
        address: Address on which it listens for its peers, "ip:port".
        settled_era: The era of the store that it recorded as settled: one that
            had begun long enough before for all lost changes to be written
            again. None if it recorded none.
    """

    name: str
    address: str
    settled_era: int | None = None


@dataclasses.dataclass(slots=True)
class KnownPeer:
    """An entry from which a heartbeat has arrived.

    Attributes:
        heartbeat: Its latest heartbeat.
        received_at: Time at which that was first received, in seconds.
    """

    heartbeat: messages.Heartbeat
    received_at: float


class PeerTable:
    """All other entries.

    Attributes:
        name: Name of this entry.
        registered: Addresses in the store's list, by name.
        peers: Entries from which a heartbeat has arrived, by name.
        ended_evidence: Roll-out evidence of incarnations that have ended, by
            service and order key.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.registered: dict[str, str] = {}
        self.peers: dict[str, KnownPeer] = {}
        self.ended_evidence: dict[str, version_trial.TrialEvidence] = {}

    def replace_registered(
        self, listed: collections.abc.Iterable[PeerAddress]
    ) -> None:
        """Replaces the registered addresses with the store's list."""
        self.registered = {
            each.name: each.address for each in listed if each.name != self.name
        }

    def put_registered(self, peer: PeerAddress) -> None:
        """Adds or updates a registered address."""
        if peer.name != self.name:
            self.registered[peer.name] = peer.address

    def remove_registered(self, name: str) -> None:
        """Removes a registered address."""
        self.registered.pop(name, None)

    def update(self, heartbeat: messages.Heartbeat, *, now: float) -> bool:
        """Stores a heartbeat; returns whether its incarnation is new here."""
        if heartbeat.name == self.name:
            return False
        known = self.peers.get(heartbeat.name)
        is_new = (
            known is None
            or known.heartbeat.incarnation != heartbeat.incarnation
        )
        if known is not None and is_new:
            self.add_ended_evidence(known.heartbeat)
        self.peers[heartbeat.name] = KnownPeer(heartbeat, now)
        return is_new

    def is_outdated(
        self, heartbeat: messages.Heartbeat, *, received_at: float
    ) -> bool:
        """Returns whether a forwarded heartbeat is older than the known one.

        Args:
            heartbeat: The heartbeat.
            received_at: Time at which the forwarder received it, in seconds.
        """
        known = self.peers.get(heartbeat.name)
        if known is None:
            return False
        if heartbeat.incarnation != known.heartbeat.incarnation:
            return heartbeat.incarnation < known.heartbeat.incarnation
        return received_at <= known.received_at

    def add_ended_evidence(self, heartbeat: messages.Heartbeat) -> None:
        """Adds the evidence of an incarnation that has ended to the totals."""
        for trial in heartbeat.trials:
            key = f"{trial.service}/{trial.key}"
            known = self.ended_evidence.get(key, version_trial.TrialEvidence())
            self.ended_evidence[key] = known.plus(decode_evidence(trial))

    def rename_ended_evidence(
        self, service: str, old_key: str, new_key: str
    ) -> None:
        """Keeps the evidence on an order that was written again."""
        known = self.ended_evidence.pop(f"{service}/{old_key}", None)
        if known is not None:
            self.ended_evidence[f"{service}/{new_key}"] = known

    def remove_expired(self, *, now: float) -> list[str]:
        """Removes entries that were silent too long; returns their names."""
        expired = [
            name
            for name, known in self.peers.items()
            if now - known.received_at > defaults.PEER_EXPIRY_S
        ]
        for name in expired:
            self.add_ended_evidence(self.peers.pop(name).heartbeat)
            self.registered.pop(name, None)
        return expired

    def list_live(self, *, now: float) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of live entries."""
        return [
            known.heartbeat
            for known in self.peers.values()
            if now - known.received_at <= defaults.PEER_TIMEOUT_S
        ]

    def list_live_in(
        self, data_centre: str, *, now: float
    ) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of a data centre's live entries.

        Entries that are stopping are left out.
        """
        return [
            heartbeat
            for heartbeat in self.list_live(now=now)
            if heartbeat.data_centre == data_centre and not heartbeat.stopping
        ]

    def list_addresses_in(self, data_centre: str) -> list[str]:
        """Returns the addresses of a data centre's entries.

        Entries whose data centre is unknown are included.
        """
        addresses = {
            known.heartbeat.address
            for known in self.peers.values()
            if known.heartbeat.data_centre in (data_centre, "")
        }
        addresses.update(
            address
            for name, address in self.registered.items()
            if name not in self.peers
        )
        return sorted(addresses)

    def list_addresses(self) -> list[str]:
        """Returns the addresses of all entries, registered or heard from."""
        addresses = set(self.registered.values())
        addresses.update(
            known.heartbeat.address for known in self.peers.values()
        )
        return sorted(addresses)

    def count_names_before(self, *, now: float) -> int:
        """Returns how many live entries have names that sort before this one.

        Entries that are stopping don't count.
        """
        return sum(
            each.name < self.name
            for each in self.list_live(now=now)
            if not each.stopping
        )

    def sum_evidence(
        self, service: str, order_key: str
    ) -> version_trial.TrialEvidence:
        """Returns the total evidence of all other entries on a roll-out."""
        total = self.ended_evidence.get(
            f"{service}/{order_key}", version_trial.TrialEvidence()
        )
        for known in self.peers.values():
            for trial in known.heartbeat.trials:
                is_same_order = trial.key == order_key
                if trial.service == service and is_same_order:
                    total = total.plus(decode_evidence(trial))
        return total


def decode_evidence(trial: messages.TrialReport) -> version_trial.TrialEvidence:
    """Converts a roll-out's counts in a heartbeat to evidence."""
    return version_trial.TrialEvidence(
        {
            report.route: version_trial.Comparison(
                target=decode_counts(report.target),
                incumbent=decode_counts(report.incumbent),
            )
            for report in trial.routes
        }
    )


def decode_counts(report: messages.CountReport) -> version_trial.AnswerCounts:
    """Converts counts in a heartbeat to `AnswerCounts`."""
    return version_trial.AnswerCounts(**msgspec.structs.asdict(report))
