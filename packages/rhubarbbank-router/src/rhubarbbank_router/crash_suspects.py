"""Notices requests that crash the upstreams that run them.

A request that breaks off several upstreams, without an answer in between, is
refused before it reaches another one. Entries tell each other of their
counts, so that a caller that comes again elsewhere doesn't start anew.
"""

import collections

import xxhash

from rhubarbbank_router import callers
from rhubarbbank_router import defaults
from rhubarbbank_router import messages


def fingerprint(request: callers.IncomingRequest) -> str:
    """Returns what all sendings of one request have in common."""
    digest = xxhash.xxh64()
    for part in (request.key, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


class CrashSuspects:
    """Counts break-offs by fingerprint.

    Attributes:
        own: Break-offs seen here, with the time of the last one.
        told: Break-offs that peers have seen, by fingerprint and peer.
    """

    def __init__(self) -> None:
        self.own: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self.told: dict[str, dict[str, int]] = {}

    def note(self, mark: str, *, now: float) -> int:
        """Notes a break-off; returns how many are known of."""
        count, _ = self.own.get(mark, (0, now))
        self.own[mark] = (count + 1, now)
        self.own.move_to_end(mark)
        while len(self.own) > defaults.MAX_SUSPECTS:
            self.own.popitem(last=False)
        return self.count(mark)

    def clear(self, mark: str) -> None:
        """Notes that the request was answered: it crashes nothing."""
        self.own.pop(mark, None)

    def take(self, peer: str, told: tuple[messages.SuspectNews, ...]) -> None:
        """Takes a peer's counts, which replace its earlier ones."""
        for counts in self.told.values():
            counts.pop(peer, None)
        for each in told:
            self.told.setdefault(each.fingerprint, {})[peer] = each.crashes
        self.told = {mark: found for mark, found in self.told.items() if found}

    def count(self, mark: str) -> int:
        """Returns how many break-offs are known of."""
        own, _ = self.own.get(mark, (0, 0.0))
        return own + sum(self.told.get(mark, {}).values())

    def is_suspect(self, mark: str) -> bool:
        """Returns whether the request must not reach another upstream."""
        return self.count(mark) > defaults.CRASHES_TO_SUSPECT

    def list_own(self, *, now: float) -> tuple[messages.SuspectNews, ...]:
        """Returns this entry's suspects, for peers; forgets old ones."""
        for mark, (_, seen_at) in list(self.own.items()):
            if now - seen_at > defaults.SUSPECT_MEMORY_S:
                del self.own[mark]
        return tuple(
            messages.SuspectNews(mark, count)
            for mark, (count, _) in self.own.items()
            if count > 1
        )
