"""Lets one entry of a data centre read the store, and tell the others.

Each call to the store is paid for, and its rates grow more slowly than the
fleet. So a few entries read and the others ask them: which revision of the
configuration the store has confirmed, and which changes of the list of
upstreams. What an entry is told proves as much as a read of its own, only
older: the asker's own time stamp comes back with the answer, and the reader's
proof counts from there, so that no clock is compared and no delay on the way
makes a proof look younger than it is.

    asker                      reader
      | StoreAsk (asked_at, position) |
      |------------------------------>|
      | StoreTold (asked_at, ages)    |
      |<------------------------------|

An entry whose knowledge grows older than its bounds allow reads for itself,
and goes on until another reader nearby, whose name comes before its own,
keeps it informed again. So the loss of a reader needs no agreement.
"""

import collections
import dataclasses

from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import upstreams

UpstreamChange = upstreams.Upstream | str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgeLimits:
    """How old knowledge may be before an entry reads for itself.

    Attributes:
        configuration_s: Of the proof of the configuration.
        upstreams_s: Of the list of upstreams.
    """

    configuration_s: float
    upstreams_s: float

    @property
    def allow_relays(self) -> bool:
        """Whether the bounds leave time for the way over a reader."""
        least_s = min(self.configuration_s, self.upstreams_s)
        return least_s >= defaults.RELAY_MIN_MARGIN_S


def get_upstream_id(change: UpstreamChange) -> str:
    """Returns the id of the upstream that a change is about."""
    return change if isinstance(change, str) else change.upstream_id


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedChanges:
    """What changed up to a revision of the store.

    Attributes:
        position: The revision.
        changes: Upstreams that are new or changed, ids of those gone.
    """

    position: int
    changes: tuple[UpstreamChange, ...]


class ChangeLog:
    """The last changes of the list of upstreams, for entries that ask.

    Attributes:
        floor: The revision after which all changes are in the log.
        position: The revision up to which all changes are known.
        logged: Oldest first.
    """

    def __init__(self) -> None:
        self.oldest_position = 0
        self.position = 0
        self.logged: collections.deque[LoggedChanges] = collections.deque()

    def reset(self, position: int) -> None:
        """Begins anew after a whole list."""
        if position == self.position and self.logged:
            return
        self.logged.clear()
        self.oldest_position = position
        self.position = position

    def append(
        self, position: int, changes: tuple[UpstreamChange, ...]
    ) -> None:
        """Takes the changes up to a revision."""
        if changes:
            self.logged.append(LoggedChanges(position, changes))
        self.position = max(self.position, position)
        while len(self.logged) > defaults.MAX_LOGGED_CHANGES:
            self.oldest_position = self.logged.popleft().position

    def changes_since(self, position: int) -> tuple[UpstreamChange, ...] | None:
        """Returns each upstream's last change after a revision.

        Returns:
            None if the log doesn't reach back so far.
        """
        if position < self.oldest_position:
            return None
        last: dict[str, UpstreamChange] = {}
        for logged in self.logged:
            if logged.position > position:
                last.update({get_upstream_id(x): x for x in logged.changes})
        return tuple(last.values())


class StoreRelay:
    """One entry's part in reading the store for its data centre.

    Attributes:
        limits: How old knowledge may be.
        reading: Whether this entry reads the store itself.
        log: The list's last changes.
        pending: Changes that no revision has been told for yet.
        listed_at: Up to when the list is known to be complete, in seconds.
        informed_at: When another reader last told is_fresh; None before.
        informed_since: Since when a reader has done so without a gap; None
            while none does.
        asked_at: When one was last asked.
        last_asks: What each address asked last, and when.
        newest: The newest revision of the configuration that was told of.
    """

    def __init__(self, *, limits: AgeLimits) -> None:
        self.limits = limits
        self.is_reader = True
        self.change_log = ChangeLog()
        self.pending: list[UpstreamChange] = []
        self.list_confirmed_at: float | None = None
        self.informed_at: float | None = None
        self.informed_since: float | None = None
        self.asked_at = 0.0
        self.last_asks: dict[str, tuple[messages.StoreAsk, float]] = {}
        self.newest_revision = 0

    def record_change(self, change: UpstreamChange) -> None:
        """Notes a change that the store told this entry."""
        self.pending.append(change)

    def record_list(self, position: int, *, at: float) -> None:
        """Notes that the whole list was read from the store."""
        self.pending.clear()
        self.change_log.reset(position)
        self.confirm(at=at)

    def record_watch(self, position: int, *, at: float) -> bool:
        """Notes the end of a watch; returns whether it told changes."""
        changes = tuple(self.pending)
        self.pending.clear()
        self.change_log.append(position, changes)
        self.confirm(at=at)
        return bool(changes)

    def confirm(self, *, at: float) -> None:
        """Notes that the list is complete up to a time, in seconds."""
        if self.list_confirmed_at is None or at > self.list_confirmed_at:
            self.list_confirmed_at = at

    def list_age(self, *, now: float) -> float | None:
        """Returns the age of the list in seconds; None without one."""
        return (
            None
            if self.list_confirmed_at is None
            else now - self.list_confirmed_at
        )

    def record_ask(self, ask: messages.StoreAsk, *, now: float) -> None:
        """Notes that an entry wants to be kept informed."""
        self.last_asks[ask.address] = (ask, now)

    def recent_asks(self, *, now: float) -> list[messages.StoreAsk]:
        """Returns the last ask of each entry that this one informs."""
        self.last_asks = {
            address: (ask, at)
            for address, (ask, at) in self.last_asks.items()
            if now - at <= defaults.ASKER_EXPIRY_S
        }
        return [ask for ask, _ in self.last_asks.values()]

    def is_ask_due(self, *, now: float) -> bool:
        """Returns whether it is time to ask a reader."""
        return now - self.asked_at >= defaults.ASK_PERIOD_S

    def build_reply(
        self, ask: messages.StoreAsk, facts: "ReaderFacts", *, now: float
    ) -> messages.StoreTold | None:
        """Returns the answer to an ask; None while too little is known.

        Args:
            ask: What was asked.
            facts: What this entry knows besides.
            now: In seconds.
        """
        age_s = self.list_age(now=now)
        if facts.proof_age_s is None or age_s is None:
            return None
        changes = self.change_log.changes_since(ask.position)
        whole: tuple[upstreams.Upstream, ...] | None = None
        if changes is None:
            whole = facts.listed
        return messages.StoreTold(
            name=facts.name,
            asked_at=ask.asked_at,
            revision=facts.revision,
            proof_age_s=facts.proof_age_s,
            position=self.change_log.position,
            list_age_s=age_s,
            regained_age_s=facts.regained_age_s,
            changed=tuple(
                x for x in changes or () if isinstance(x, upstreams.Upstream)
            ),
            gone=tuple(x for x in changes or () if isinstance(x, str)),
            whole=whole,
        )

    def record_reply(self, *, now: float, is_fresh: bool) -> None:
        """Notes whether a reader keeps this entry informed."""
        if not is_fresh:
            self.informed_since = None
            return
        self.informed_at = now
        if self.informed_since is None:
            self.informed_since = now

    def is_informed_by_reader(self, *, now: float) -> bool:
        """Returns whether a reader has informed this entry for a while."""
        if self.informed_at is None or self.informed_since is None:
            return False
        if now - self.informed_at > defaults.ASKER_EXPIRY_S:
            self.informed_since = None
            return False
        return now - self.informed_since >= defaults.RELAY_PROVEN_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReaderFacts:
    """What a reader tells besides the list's changes.

    Attributes:
        name: The reader.
        revision: Of the configuration in force there.
        proof_age_s: Of its proof; None without one.
        regained_age_s: How long ago the store came back; None if it wasn't
            away lately.
        listed: All upstreams as they are listed.
    """

    name: str
    revision: int
    proof_age_s: float | None
    regained_age_s: float | None
    listed: tuple[upstreams.Upstream, ...]
