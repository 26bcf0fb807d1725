"""Limits on requests to upstreams that are cold, divided among the entries.

Load: upstreams start again during traffic, at worst all of a data centre at
the same moment and under a burst. For some seconds each tolerates few requests
a second from all entries together, and crashes beyond. It looks idle, so that
without a limit every entry would choose it first; callers would lose what it
runs. With a division that ignores where the callers are, much of what it
accepts would be unused while callers are refused elsewhere.

Each entry may send a cold upstream a number of requests in any window, its
permits. They are divided in advance by the entries' demands, so that nothing
needs to be agreed on when an upstream turns cold. Permits that an entry gains
count only after a time in which all others must have heard of the change, and
permits that it loses count as lost at once.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

from rhubarbbank_core import rendezvous
from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import upstream_limits


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdTerms:
    """What the cold upstreams of a service tolerate.

    Attributes:
        rate_per_s: Requests a second from all entries.
        cold_duration_s: For how long an upstream that starts during traffic is
            cold.
        permits: Requests that all entries together may send it in a window.
        window_s: Length of the window, at least a second.
    """

    rate_per_s: float
    cold_duration_s: float
    permits: int
    window_s: float


def build_terms(
    service: configuration.Service,
    *,
    overshoot: float | None,
    slack: float | None,
) -> ColdTerms | None:
    """Returns a service's terms; None if its upstreams are never cold.

    Entries of few requests leave some of their permits unused. So there are
    more permits than the rate, by half of what the bound allows beyond it. The
    other half is kept for requests that leave late, and for entries that
    disagree for a moment.

    Args:
        service: The service.
        overshoot: Factor by which the rate may be exceeded in one second.
        slack: Requests allowed beyond that.
    """
    if overshoot is None or slack is None:
        return None
    if service.cold_rate_per_s <= 0.0 or service.cold_duration_s <= 0.0:
        return None
    rate_per_s = service.cold_rate_per_s
    allowed = rate_per_s * overshoot + slack
    permits_per_s = min(
        rate_per_s * max(1.0, overshoot),
        max(rate_per_s, (rate_per_s + allowed) / 2.0),
    )
    permits = min(int(allowed), max(1, int(permits_per_s)))
    return ColdTerms(
        rate_per_s=rate_per_s,
        cold_duration_s=service.cold_duration_s,
        permits=permits,
        window_s=max(1.0, permits / permits_per_s),
    )


class PermitDivision(typing.Protocol):
    """Divides an upstream's permits among the entries."""

    def count(
        self,
        *,
        subject: str,
        name: str,
        demands: collections.abc.Mapping[str, float],
        permits: int,
    ) -> int:
        """Returns an entry's number of permits.

        The counts of all entries add up to `permits` if they know the same
        demands.

        Args:
            subject: Identifies the upstream.
            name: The entry's name.
            demands: Requests a second of each entry, above 0, by name.
            permits: The number of permits to divide.
        """


class EqualDivision:
    """Gives all entries the same, whatever their demands; the baseline."""

    def count(
        self,
        *,
        subject: str,
        name: str,
        demands: collections.abc.Mapping[str, float],
        permits: int,
    ) -> int:
        """Returns an entry's number of permits."""
        if name not in demands:
            return 0
        each, rest = divmod(permits, len(demands))
        return each + (name in rendezvous.rank(subject, demands)[:rest])


class DemandDivision:
    """Gives each permit to an entry with a probability by its demand.

    An entry of few requests leaves most of its permits unused. So its demand
    counts less, by the share of a second in which it would use a permit.

    This is weighted rendezvous hashing: if the demand of one entry changes,
    only permits move that this entry gains or loses.
    """

    def count(
        self,
        *,
        subject: str,
        name: str,
        demands: collections.abc.Mapping[str, float],
        permits: int,
    ) -> int:
        """Returns an entry's number of permits."""
        if name not in demands:
            return 0
        weights = {x: y * y / (1.0 + y) for x, y in demands.items()}
        return sum(
            choose_weighted(f"{subject}/{number}", weights) == name
            for number in range(permits)
        )


def choose_weighted(
    subject: str, weights: collections.abc.Mapping[str, float]
) -> str:
    """Returns a name chosen for a subject, with a probability by weight."""

    def compute_rank(name: str) -> tuple[float, str]:
        drawn = (rendezvous.compute_weight(subject, name) + 1) / 2.0**64
        return math.log(drawn) / weights[name], name

    return max(weights, key=compute_rank)


@dataclasses.dataclass(slots=True)
class Demand:
    """An entry's demand for a service.

    Attributes:
        rate_per_s: Moving average of requests a second.
        counted_at: When that was last brought up to date, in seconds.
        reported_per_s: What the other entries are told; it follows only
            changes by a factor, so that permits seldom move.
    """

    rate_per_s: float = 0.0
    counted_at: float = 0.0
    reported_per_s: float = defaults.MIN_COLD_DEMAND_PER_S

    def add(self, requests: int, *, now: float) -> None:
        """Adds requests that arrive at time `now`, in seconds."""
        elapsed_s = max(0.0, now - self.counted_at)
        self.rate_per_s *= math.exp(-elapsed_s / defaults.COLD_DEMAND_S)
        self.rate_per_s += requests / defaults.COLD_DEMAND_S
        self.counted_at = now

    def update_report(self, *, now: float) -> None:
        """Updates the reported demand if the demand has changed much."""
        self.add(0, now=now)
        rate_per_s = max(defaults.MIN_COLD_DEMAND_PER_S, self.rate_per_s)
        change = rate_per_s / self.reported_per_s
        if max(change, 1.0 / change) >= defaults.COLD_DEMAND_FACTOR:
            self.reported_per_s = round(rate_per_s, 4)


@dataclasses.dataclass(frozen=True, slots=True)
class DemandView:
    """The entries' demands as they were known from a time on.

    Attributes:
        since: The time, in seconds.
        demands: Requests a second of each entry, by name; empty if this entry
            may be cut off from most of the others.
        counts: This entry's permits by upstream, once computed.
    """

    since: float
    demands: collections.abc.Mapping[str, float]
    counts: dict[upstream_limits.LimitKey, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class ColdBelief:
    """What is known of one incarnation of an upstream; times in seconds.

    Attributes:
        seen_until: Until when it is cold by what this entry has seen itself.
        told_until: Until when it is cold by what other entries have told.
        known_at: When the latest news came.
        reason: What it was.
        unanswered_at: When a connection to it last failed, if nothing has been
            heard from it since; it may start at any later time.
        unanswered_until: Until when it is cold because of that.
        is_logged: Whether a log line has reported that it is cold.
    """

    seen_until: float = -math.inf
    told_until: float = -math.inf
    known_at: float = 0.0
    reason: str = ""
    unanswered_at: float | None = None
    unanswered_until: float = -math.inf
    is_logged: bool = False

    @property
    def own_until(self) -> float:
        """Until when it counts as cold without what others have told."""
        return max(self.seen_until, self.unanswered_until)

    @property
    def until(self) -> float:
        """Until when it counts as cold."""
        return max(self.own_until, self.told_until)


@dataclasses.dataclass(frozen=True, slots=True)
class ColdChange:
    """An upstream that has turned cold or warm.

    Attributes:
        key: The upstream.
        belief: What is known of it.
        is_cold: Whether it is cold now.
    """

    key: upstream_limits.LimitKey
    belief: ColdBelief
    is_cold: bool


class ColdUpstreams:
    """Which upstreams are cold, and what this entry may send them.

    Attributes:
        name: This entry's name.
        division: Divides the permits.
        terms: The terms of services whose upstreams may be cold, by name.
        beliefs: What is known, by upstream, the oldest first.
        sent: When this entry last sent upstreams requests, in seconds.
        demands: This entry's demands by service.
        views: The entries' demands by service, the oldest first.
        members: Names of the entries that may send requests, also of silent
            ones; removed only on fresh news from the store.
        heard_most_at: When this entry last heard most of them; None before.
        is_unknown: Whether it hears neither them nor the store; then every
            upstream counts as cold.
    """

    def __init__(
        self, *, name: str = "", division: PermitDivision | None = None
    ) -> None:
        self.name = name
        self.division = division or DemandDivision()
        self.terms: dict[str, ColdTerms] = {}
        self.beliefs: collections.OrderedDict[
            upstream_limits.LimitKey, ColdBelief
        ] = collections.OrderedDict()
        self.sent: dict[upstream_limits.LimitKey, collections.deque[float]] = {}
        self.demands: dict[str, Demand] = {}
        self.views: dict[str, collections.deque[DemandView]] = {}
        self.members: set[str] = set()
        self.heard_most_at: float | None = None
        self.is_unknown = False

    def set_terms(self, terms: dict[str, ColdTerms]) -> None:
        """Replaces the terms of all services."""
        if terms == self.terms:
            return
        self.terms = terms
        self.demands = {x: self.demands.get(x, Demand()) for x in terms}
        self.views = {
            x: collections.deque(
                DemandView(each.since, each.demands)
                for each in self.views.get(x, ())
            )
            for x in terms
        }

    def get_belief(
        self, key: upstream_limits.LimitKey, *, reason: str, now: float
    ) -> ColdBelief:
        """Returns what is known of an upstream, for news of time `now`."""
        belief = self.beliefs.setdefault(key, ColdBelief())
        belief.reason = reason
        belief.known_at = now
        while len(self.beliefs) > defaults.MAX_NOTICES:
            self.beliefs.popitem(last=False)
        return belief

    @property
    def longest_s(self) -> float:
        """The longest time that news may claim an upstream to be cold."""
        durations = [each.cold_duration_s for each in self.terms.values()]
        return max([defaults.MAX_COLD_S, *durations])

    def record_cold(
        self,
        key: upstream_limits.LimitKey,
        *,
        left_s: float,
        reason: str,
        now: float,
    ) -> None:
        """Records that this entry has seen that an upstream may be cold."""
        belief = self.get_belief(key, reason=reason, now=now)
        left_s = min(left_s, self.longest_s)
        belief.seen_until = max(belief.seen_until, now + left_s)

    def record_told(
        self,
        key: upstream_limits.LimitKey,
        *,
        left_s: float,
        peer: str,
        now: float,
    ) -> None:
        """Records what another entry has seen."""
        belief = self.get_belief(key, reason=peer, now=now)
        left_s = min(left_s, self.longest_s)
        belief.told_until = max(belief.told_until, now + left_s)

    def record_unanswered(
        self, key: upstream_limits.LimitKey, service: str, *, now: float
    ) -> None:
        """Records that an upstream didn't answer; it may have ended."""
        terms = self.terms.get(service)
        if terms is None:
            return
        belief = self.get_belief(key, reason="no answer", now=now)
        belief.unanswered_at = now
        left_s = defaults.REGISTRATION_RENEWAL_S + terms.cold_duration_s
        belief.unanswered_until = now + left_s

    def record_answer(
        self,
        key: upstream_limits.LimitKey,
        service: str,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Records an answer; its upstream has started before it came.

        Args:
            key: The upstream.
            service: Its service.
            sent_at: When the request was sent, in seconds.
            now: When the answer began, in seconds.
        """
        terms = self.terms.get(service)
        belief = self.beliefs.get(key)
        if terms is None or belief is None or belief.unanswered_at is None:
            return
        if sent_at > belief.unanswered_at:
            belief.unanswered_at = None
            belief.unanswered_until = -math.inf
            self.record_cold(
                key,
                left_s=terms.cold_duration_s,
                reason="answers again",
                now=now,
            )

    def is_cold(self, key: upstream_limits.LimitKey, *, now: float) -> bool:
        """Returns whether an upstream counts as cold."""
        if self.is_unknown:
            return True
        belief = self.beliefs.get(key)
        return belief is not None and now < belief.until

    def find_terms(
        self, service: str, upstream_id: str, started_ms: int, *, now: float
    ) -> ColdTerms | None:
        """Returns the terms that hold for an upstream; None if it is warm."""
        terms = self.terms.get(service)
        if terms is None or not (self.beliefs or self.is_unknown):
            return None
        key = upstream_limits.build_key(upstream_id, started_ms)
        return terms if self.is_cold(key, now=now) else None

    def is_exhausted(
        self, service: str, upstream_id: str, started_ms: int, *, now: float
    ) -> bool:
        """Returns whether this entry may send a cold upstream nothing now."""
        terms = self.find_terms(service, upstream_id, started_ms, now=now)
        if terms is None:
            return False
        key = upstream_limits.build_key(upstream_id, started_ms)
        since = now - terms.window_s
        used = sum(at > since for at in self.sent.get(key, ()))
        return used >= self.count_permits(service, key, now=now)

    def count_permits(
        self, service: str, key: upstream_limits.LimitKey, *, now: float
    ) -> int:
        """Returns this entry's permits for a window: the least of the views.

        Views of the last COLD_HOLD_S count. With less than that known, the
        others may not know this entry yet.
        """
        views = self.views[service]
        since = now - defaults.COLD_HOLD_S
        while len(views) > 1 and views[1].since <= since:
            views.popleft()
        if not views or views[0].since > since:
            return 0
        return min(self.count_in_view(service, key, view) for view in views)

    def count_in_view(
        self, service: str, key: upstream_limits.LimitKey, view: DemandView
    ) -> int:
        """Returns this entry's permits as a view divides them."""
        if key not in view.counts:
            view.counts[key] = self.division.count(
                subject=f"{key[0]}/{key[1]}",
                name=self.name,
                demands=view.demands,
                permits=self.terms[service].permits,
            )
        return view.counts[key]

    def record_send(
        self, service: str, upstream_id: str, started_ms: int, *, now: float
    ) -> None:
        """Records that an attempt is sent to an upstream, cold or not.

        One that turns cold has got what was sent before, too.
        """
        terms = self.terms.get(service)
        if terms is None:
            return
        key = upstream_limits.build_key(upstream_id, started_ms)
        sent = self.sent.setdefault(key, collections.deque())
        sent.append(now)
        while len(sent) > terms.permits:
            sent.popleft()

    def record_demand(self, service: str, *, now: float) -> None:
        """Records that a request for a service needs an upstream."""
        demand = self.demands.get(service)
        if demand is not None:
            demand.add(1, now=now)

    def add_view(
        self, service: str, demands: dict[str, float], *, now: float
    ) -> None:
        """Adds what is known of the entries' demands from now on."""
        views = self.views[service]
        if not views or views[-1].demands != demands:
            views.append(DemandView(now, demands))
            while len(views) > defaults.MAX_COLD_VIEWS:
                views.popleft()

    def list_changes(self, *, now: float) -> list[ColdChange]:
        """Returns the upstreams that turned cold or warm since the last call.

        Forgets those that are warm.
        """
        changes: list[ColdChange] = []
        for key, belief in list(self.beliefs.items()):
            is_cold = now < belief.until
            if is_cold != belief.is_logged:
                belief.is_logged = is_cold
                changes.append(ColdChange(key, belief, is_cold))
            if not is_cold:
                del self.beliefs[key]
        return changes

    def remove_old_sends(self, *, now: float) -> None:
        """Forgets sends that no window holds any more."""
        longest_s = max((x.window_s for x in self.terms.values()), default=0.0)
        self.sent = {
            key: sent
            for key, sent in self.sent.items()
            if sent[-1] > now - longest_s
        }
