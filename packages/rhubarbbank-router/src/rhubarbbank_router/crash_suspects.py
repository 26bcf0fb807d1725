"""Notices requests that crash the upstreams that run them.

A request that breaks off several upstreams, without an answer in between, is
refused before it reaches another one. Entries tell each other of their
counts, so that a caller that comes again elsewhere doesn't start anew.
"""

import collections

import xxhash

from rhubarbbank_core import program_effects as fx
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

    def note(self, mark: str, *, now: float) -> list[str]:
        """Notes a break-off; returns the requests forgotten to make room."""
        count, _ = self.own.get(mark, (0, now))
        self.own[mark] = (count + 1, now)
        self.own.move_to_end(mark)
        forgotten: list[str] = []
        while len(self.own) > defaults.MAX_SUSPECTS:
            oldest, _ = self.own.popitem(last=False)
            forgotten.append(oldest)
        return forgotten

    def clear(self, mark: str) -> bool:
        """Notes that the request was answered: it crashes nothing.

        Returns:
            Whether break-offs of it had been seen here.
        """
        return self.own.pop(mark, None) is not None

    def take(
        self, peer: str, told: tuple[messages.SuspectNews, ...]
    ) -> list[str]:
        """Takes a peer's counts, which replace its earlier ones.

        Returns:
            The requests of which the peer tells another count than before.
        """
        before: dict[str, int] = {}
        for mark, counts in self.told.items():
            if peer in counts:
                before[mark] = counts.pop(peer)
        after = {each.fingerprint: each.crashes for each in told}
        for mark, crashes in after.items():
            self.told.setdefault(mark, {})[peer] = crashes
        self.told = {mark: found for mark, found in self.told.items() if found}
        return sorted(
            mark
            for mark in before.keys() | after.keys()
            if before.get(mark) != after.get(mark)
        )

    def count(self, mark: str) -> int:
        """Returns how many break-offs are known of."""
        own, _ = self.own.get(mark, (0, 0.0))
        return own + sum(self.told.get(mark, {}).values())

    def describe(self, mark: str) -> tuple[fx.LogInput, ...]:
        """Returns what is known of a request, for the log."""
        own, _ = self.own.get(mark, (0, 0.0))
        return (
            ("fingerprint", mark),
            ("crashes", self.count(mark)),
            ("seen_here", own),
        )

    def is_suspect(self, mark: str) -> bool:
        """Returns whether the request must not reach another upstream."""
        return self.count(mark) > defaults.CRASHES_TO_SUSPECT

    def forget_old(self, *, now: float) -> list[str]:
        """Forgets requests whose last break-off is long ago; returns them."""
        old = [
            mark
            for mark, (_, seen_at) in self.own.items()
            if now - seen_at > defaults.SUSPECT_MEMORY_S
        ]
        for mark in old:
            del self.own[mark]
        return old

    def list_own(self) -> tuple[messages.SuspectNews, ...]:
        """Returns this entry's suspects, for peers."""
        return tuple(
            messages.SuspectNews(mark, count)
            for mark, (count, _) in self.own.items()
            if count > 1
        )
