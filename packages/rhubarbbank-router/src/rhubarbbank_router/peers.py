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
    """

    name: str
    address: str


@dataclasses.dataclass(slots=True)
class KnownPeer:
    """An entry from which a heartbeat has arrived.

    Attributes:
        news: Its latest heartbeat.
        heard_at: Time at which that was first received, in seconds.
    """

    news: messages.Heartbeat
    heard_at: float


class PeerTable:
    """All other entries.

    Attributes:
        name: Name of this entry.
        registered: Addresses in the store's list, by name.
        heard: Entries from which a heartbeat has arrived, by name.
        retired: Roll-out evidence of incarnations that have ended, by service
            and order key.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.registered: dict[str, str] = {}
        self.heard: dict[str, KnownPeer] = {}
        self.retired: dict[str, version_trial.TrialEvidence] = {}

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

    def take(self, news: messages.Heartbeat, *, now: float) -> bool:
        """Stores a heartbeat; returns whether its incarnation is new here."""
        if news.name == self.name:
            return False
        known = self.heard.get(news.name)
        is_new = known is None or known.news.incarnation != news.incarnation
        if known is not None and is_new:
            self.retire(known.news)
        self.heard[news.name] = KnownPeer(news, now)
        return is_new

    def is_overtaken(
        self, news: messages.Heartbeat, *, heard_at: float
    ) -> bool:
        """Returns whether a forwarded heartbeat is older than the known one.

        Args:
            news: The heartbeat.
            heard_at: Time at which the forwarder received it, in seconds.
        """
        known = self.heard.get(news.name)
        if known is None:
            return False
        if news.incarnation != known.news.incarnation:
            return news.incarnation < known.news.incarnation
        return heard_at <= known.heard_at

    def retire(self, news: messages.Heartbeat) -> None:
        """Adds the evidence of an incarnation that has ended to the totals."""
        for trial in news.trials:
            key = f"{trial.service}/{trial.key}"
            before = self.retired.get(key, version_trial.TrialEvidence())
            self.retired[key] = before.plus(read_evidence(trial))

    def forget_silent(self, *, now: float) -> list[str]:
        """Removes entries that were silent too long; returns their names."""
        silent = [
            name
            for name, known in self.heard.items()
            if now - known.heard_at > defaults.PEER_EXPIRY_S
        ]
        for name in silent:
            self.retire(self.heard.pop(name).news)
            self.registered.pop(name, None)
        return silent

    def list_live(self, *, now: float) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of live entries."""
        return [
            known.news
            for known in self.heard.values()
            if now - known.heard_at <= defaults.PEER_TIMEOUT_S
        ]

    def list_live_near(
        self, data_centre: str, *, now: float
    ) -> list[messages.Heartbeat]:
        """Returns the latest heartbeats of a data centre's live entries.

        Entries that are stopping are left out.
        """
        return [
            news
            for news in self.list_live(now=now)
            if news.data_centre == data_centre and not news.stopping
        ]

    def list_near(self, data_centre: str) -> list[str]:
        """Returns the addresses of a data centre's entries.

        Entries whose data centre is unknown are included.
        """
        addresses = {
            known.news.address
            for known in self.heard.values()
            if known.news.data_centre in (data_centre, "")
        }
        addresses.update(
            address
            for name, address in self.registered.items()
            if name not in self.heard
        )
        return sorted(addresses)

    def list_addresses(self) -> list[str]:
        """Returns the addresses of all entries, registered or heard from."""
        addresses = set(self.registered.values())
        addresses.update(known.news.address for known in self.heard.values())
        return sorted(addresses)

    def is_first(self, *, now: float) -> bool:
        """Returns whether this entry's name sorts first of all live entries."""
        names = [
            each.name for each in self.list_live(now=now) if not each.stopping
        ]
        return all(self.name < name for name in names)

    def sum_evidence(
        self, service: str, order_key: str
    ) -> version_trial.TrialEvidence:
        """Returns the total evidence of all other entries on a roll-out."""
        total = self.retired.get(
            f"{service}/{order_key}", version_trial.TrialEvidence()
        )
        for known in self.heard.values():
            for trial in known.news.trials:
                same = trial.key == order_key
                if trial.service == service and same:
                    total = total.plus(read_evidence(trial))
        return total


def read_evidence(trial: messages.TrialReport) -> version_trial.TrialEvidence:
    """Converts a roll-out's counts in a heartbeat to evidence."""
    return version_trial.TrialEvidence(
        {
            found.route: version_trial.Comparison(
                target=read_counts(found.target),
                incumbent=read_counts(found.incumbent),
            )
            for found in trial.routes
        }
    )


def read_counts(found: messages.CountReport) -> version_trial.AnswerCounts:
    """Converts counts in a heartbeat to `AnswerCounts`."""
    return version_trial.AnswerCounts(**msgspec.structs.asdict(found))
