"""Remembers what upstreams announce in the headers of their answers.

An upstream announces its shutdown before the platform's list shows it, and an
overloaded one says for how long it wants no requests. Both apply to one
incarnation, whatever the list says, and are kept while the upstream is
temporarily missing from the list.
"""

import collections
import dataclasses

from rhubarbbank_router import defaults


@dataclasses.dataclass(slots=True, kw_only=True)
class Notice:
    """What one incarnation of an upstream has announced.

    Attributes:
        started_ms: Unix time of the incarnation's start; 0 if unknown.
        leaving: Whether it is shutting down.
        closed_until: When this entry may send it requests again, in seconds.
    """

    started_ms: int
    leaving: bool = False
    closed_until: float = 0.0


class UpstreamNotices:
    """Notices by upstream id, the most recently changed last."""

    def __init__(self) -> None:
        self.notices: collections.OrderedDict[str, Notice] = (
            collections.OrderedDict()
        )

    def find(self, upstream_id: str, started_ms: int) -> Notice | None:
        """Returns the incarnation's notice, or None."""
        notice = self.notices.get(upstream_id)
        if notice is None or notice.started_ms != started_ms:
            return None
        return notice

    def is_closed(
        self, upstream_id: str, started_ms: int, *, now: float
    ) -> bool:
        """Returns whether an upstream must get no new requests."""
        notice = self.find(upstream_id, started_ms)
        if notice is None:
            return False
        return notice.leaving or now < notice.closed_until

    def record_leaving(self, upstream_id: str, started_ms: int) -> bool:
        """Records that an upstream shuts down; returns whether that is new."""
        notice = self.find_or_create(upstream_id, started_ms)
        is_new = not notice.leaving
        notice.leaving = True
        return is_new

    def record_closed(
        self, upstream_id: str, started_ms: int, *, until: float
    ) -> None:
        """Records until when an upstream wants no requests, in seconds."""
        notice = self.find_or_create(upstream_id, started_ms)
        notice.closed_until = max(notice.closed_until, until)

    def find_or_create(self, upstream_id: str, started_ms: int) -> Notice:
        """Returns the incarnation's notice, a new one if there is none."""
        notice = self.find(upstream_id, started_ms)
        if notice is None:
            notice = Notice(started_ms=started_ms)
            self.notices[upstream_id] = notice
        self.notices.move_to_end(upstream_id)
        while len(self.notices) > defaults.MAX_NOTICES:
            self.notices.popitem(last=False)
        return notice

    def list_leaving(self) -> tuple[tuple[str, int], ...]:
        """Returns id and start time of upstreams that announced shutdown."""
        return tuple(
            (upstream_id, notice.started_ms)
            for upstream_id, notice in self.notices.items()
            if notice.leaving
        )
