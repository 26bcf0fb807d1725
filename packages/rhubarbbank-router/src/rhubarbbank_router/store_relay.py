"""Lets one entry per data centre read the store on behalf of the others.

Calls to the store are billed, and its rate limits grow more slowly than the
fleet. Therefore a few entries (readers) read the store, and the others poll
a reader for the confirmed revision of the configuration and for changes to
the list of upstreams. A reader's reply is as conclusive as a read of the
store, only older: it echoes the time stamp of the request, and the ages in it
are counted back from that time. So no clocks of two machines are compared, and
network delay can't make a proof look younger than it is.

    requester                                 reader
      | StoreUpdateRequest (asked_at, position) |
      |---------------------------------------->|
      | StoreUpdate (asked_at, ages)            |
      |<----------------------------------------|

An entry whose data gets older than its limits becomes a reader itself. It
stops once another reader in its data centre, whose name sorts before its own,
has kept it up to date for a while. So the failure of a reader is handled
without an election.
"""

import collections
import dataclasses
import math

import msgspec

from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import store_position
from rhubarbbank_router import upstreams

UpstreamChange = upstreams.Upstream | str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgeLimits:
    """Maximum ages of an entry's data before it reads the store itself.

    Attributes:
        configuration_s: Maximum age of the configuration's freshness proof.
        upstreams_s: Maximum age of the list of upstreams.
        evacuations_s: Maximum age of the evacuated data centres.
    """

    configuration_s: float
    upstreams_s: float
    evacuations_s: float = math.inf

    @property
    def allow_relays(self) -> bool:
        """Whether the limits leave enough time for the relay by a reader."""
        least_s = min(
            self.configuration_s, self.upstreams_s, self.evacuations_s
        )
        return least_s >= defaults.RELAY_MIN_MARGIN_S


def get_upstream_id(change: UpstreamChange) -> str:
    """Returns the id of the changed upstream."""
    return change if isinstance(change, str) else change.upstream_id


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedChanges:
    """Changes to the list of upstreams up to a position of the store.

    Attributes:
        position: The position.
        changes: Upstreams that were added or changed, and ids of those that
            were removed.
    """

    position: store_position.StorePosition
    changes: tuple[UpstreamChange, ...]


class ChangeLog:
    """The latest changes to the list of upstreams.

    Attributes:
        oldest_position: The position after which the log is complete.
        position: The position up to which the log is complete.
        logged: The changes, oldest first.
    """

    def __init__(self) -> None:
        self.oldest_position = store_position.START
        self.position = store_position.START
        self.logged: collections.deque[LoggedChanges] = collections.deque()

    def reset(self, position: store_position.StorePosition) -> None:
        """Restarts the log after the complete list was read."""
        if position == self.position and self.logged:
            return
        self.logged.clear()
        self.oldest_position = position
        self.position = position

    def append(
        self,
        position: store_position.StorePosition,
        changes: tuple[UpstreamChange, ...],
    ) -> None:
        """Appends the changes up to a position."""
        if changes:
            self.logged.append(LoggedChanges(position, changes))
        self.position = max(self.position, position)
        while len(self.logged) > defaults.MAX_LOGGED_CHANGES:
            self.oldest_position = self.logged.popleft().position

    def list_changes_since(
        self, position: store_position.StorePosition
    ) -> tuple[UpstreamChange, ...] | None:
        """Returns each upstream's latest change after a position.

        Returns:
            The changes, or None if the log doesn't reach back that far.
        """
        if position < self.oldest_position:
            return None
        last: dict[str, UpstreamChange] = {}
        for logged in self.logged:
            if logged.position > position:
                last.update({get_upstream_id(x): x for x in logged.changes})
        return tuple(last.values())


class StoreRelay:
    """One entry's state in the sharing of store reads.

    All times are in seconds.

    Attributes:
        limits: Maximum ages of the entry's data.
        is_reader: Whether this entry reads the store itself.
        change_log: The latest changes to the list of upstreams.
        pending: Changes whose position isn't known yet.
        list_confirmed_at: Time up to which the list is known to be complete;
            None before the first list.
        informed_at: When a reader last sent sufficiently fresh data; None
            if none has.
        informed_since: Since when readers have done so without interruption;
            None while they don't.
        requested_at: When an update was last requested from a reader.
        requested_from: Name of that reader.
        unanswered_since: When the oldest request to it was sent that it hasn't
            replied to; None if it has replied to all.
        deferred: Readers that come last when one is chosen, and until when.
        last_requests: The last request from each address, and when it was
            received.
        newest_configuration: Precedence of the newest configuration that a
            reader has reported.
        copy_in_progress: Precedence of the newest configuration whose copy
            is being decoded.
        outdated_since: Since when readers have reported a newer configuration
            than the active one; None while they don't.
        outdated_reported_at: When a reader last did so.
    """

    def __init__(self, *, limits: AgeLimits) -> None:
        self.limits = limits
        self.is_reader = True
        self.change_log = ChangeLog()
        self.pending: list[UpstreamChange] = []
        self.list_confirmed_at: float | None = None
        self.informed_at: float | None = None
        self.informed_since: float | None = None
        self.requested_at = 0.0
        self.requested_from = ""
        self.unanswered_since: float | None = None
        self.deferred: dict[str, float] = {}
        self.last_requests: dict[
            str, tuple[messages.StoreUpdateRequest, float]
        ] = {}
        self.newest_configuration = configuration.NO_CONFIGURATION
        self.copy_in_progress = configuration.NO_CONFIGURATION
        self.outdated_since: float | None = None
        self.outdated_reported_at = 0.0

    def record_copy_sent(
        self, address: str, precedence: configuration.Precedence
    ) -> None:
        """Records that an entry has been sent a configuration.

        Until its next request, it isn't sent again with other changes.
        """
        request, at = self.last_requests.get(address, (None, 0.0))
        if request is not None:
            sent = msgspec.structs.replace(request, configuration=precedence)
            self.last_requests[address] = (sent, at)

    def record_change(self, change: UpstreamChange) -> None:
        """Records a change that was read from the store."""
        self.pending.append(change)

    def record_list(
        self, position: store_position.StorePosition, *, at: float
    ) -> None:
        """Records that the complete list was read from the store."""
        self.pending.clear()
        self.change_log.reset(position)
        self.confirm(at=at)

    def record_watch(
        self, position: store_position.StorePosition, *, at: float
    ) -> bool:
        """Records the end of a watch; returns whether it reported changes."""
        changes = tuple(self.pending)
        self.pending.clear()
        self.change_log.append(position, changes)
        self.confirm(at=at)
        return bool(changes)

    def confirm(self, *, at: float) -> None:
        """Records that the list is complete up to a time, in seconds."""
        if self.list_confirmed_at is None or at > self.list_confirmed_at:
            self.list_confirmed_at = at

    def list_age(self, *, now: float) -> float | None:
        """Returns the age of the list in seconds; None without a list."""
        return (
            None
            if self.list_confirmed_at is None
            else now - self.list_confirmed_at
        )

    def record_update_request(
        self, request: messages.StoreUpdateRequest, *, now: float
    ) -> None:
        """Records a request, so that later changes are sent to its sender."""
        self.last_requests[request.address] = (request, now)

    def list_recent_requests(
        self, *, now: float
    ) -> list[messages.StoreUpdateRequest]:
        """Returns the last request of each entry that sent one recently."""
        self.last_requests = {
            address: (request, at)
            for address, (request, at) in self.last_requests.items()
            if now - at <= defaults.UPDATE_REQUEST_EXPIRY_S
        }
        return [request for request, _ in self.last_requests.values()]

    def is_request_due(self, *, now: float) -> bool:
        """Returns whether the next request to a reader is due."""
        return now - self.requested_at >= defaults.UPDATE_REQUEST_PERIOD_S

    def record_request_sent(self, name: str, *, now: float) -> None:
        """Records a request to a reader, and defers one that doesn't reply."""
        self.requested_at = now
        if name != self.requested_from:
            self.requested_from = name
            self.unanswered_since = None
        if self.unanswered_since is None:
            self.unanswered_since = now
        elif now - self.unanswered_since > defaults.UPDATE_REQUEST_EXPIRY_S:
            self.defer(name, now=now)

    def record_reader_reply(
        self, name: str, *, is_fresh: bool, now: float
    ) -> None:
        """Records a reader's reply, and defers one whose data is outdated."""
        if name == self.requested_from:
            self.unanswered_since = None
        if is_fresh:
            self.deferred.pop(name, None)
        else:
            self.defer(name, now=now)

    def defer(self, name: str, *, now: float) -> None:
        """Lets a reader come last for a while when one is chosen."""
        self.deferred[name] = now + defaults.READER_DEFERRAL_S

    def get_deferral(self, name: str, *, now: float) -> float:
        """Returns until when a reader comes last; 0 if it doesn't."""
        until = self.deferred.get(name, 0.0)
        return until if until > now else 0.0

    def build_reply(
        self,
        request: messages.StoreUpdateRequest,
        facts: "ReaderFacts",
        *,
        now: float,
    ) -> messages.StoreUpdate | None:
        """Returns the reply to a request; None without a proof or a list.

        Args:
            request: The request to reply to.
            facts: Data of this entry that isn't kept by the relay.
            now: The current time in seconds.
        """
        age_s = self.list_age(now=now)
        if facts.proof_age_s is None or age_s is None:
            return None
        version, era, revision = facts.configuration
        changes = self.change_log.list_changes_since(request.list_position)
        whole: tuple[upstreams.Upstream, ...] | None = None
        if changes is None:
            whole = facts.listed
        return messages.StoreUpdate(
            name=facts.name,
            asked_at=request.asked_at,
            revision=revision,
            proof_age_s=facts.proof_age_s,
            position=self.change_log.position.revision,
            list_age_s=age_s,
            regained_age_s=facts.regained_age_s,
            changed=tuple(
                x for x in changes or () if isinstance(x, upstreams.Upstream)
            ),
            gone=tuple(x for x in changes or () if isinstance(x, str)),
            whole=whole,
            version=version,
            era=era,
            list_era=self.change_log.position.era,
        )

    def record_reply(self, *, now: float, is_fresh: bool) -> None:
        """Records whether a reader's reply was fresh enough."""
        if not is_fresh:
            self.informed_since = None
            return
        self.informed_at = now
        if self.informed_since is None:
            self.informed_since = now

    def is_informed_by_reader(self, *, now: float) -> bool:
        """Returns whether readers have sent fresh data for long enough."""
        if self.informed_at is None or self.informed_since is None:
            return False
        if now - self.informed_at > defaults.UPDATE_REQUEST_EXPIRY_S:
            self.informed_since = None
            return False
        return now - self.informed_since >= defaults.RELAY_PROVEN_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReaderFacts:
    """Data that a reader sends in addition to changes of the list.

    Attributes:
        name: The reader's name.
        configuration: Precedence of its active configuration.
        proof_age_s: Age of its freshness proof; None without a proof.
        regained_age_s: Time since the list could be read again after an outage
            in which registrations may have lapsed; None if there was none.
        listed: The complete list of upstreams.
    """

    name: str
    configuration: configuration.Precedence
    proof_age_s: float | None
    regained_age_s: float | None
    listed: tuple[upstreams.Upstream, ...]
