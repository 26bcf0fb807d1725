"""Tracks the upstreams: the platform's list, their load and their failures.

The list comes from the platform, with a delay; the load from the headers of
answers; failures from this entry's own attempts. Dispatch calls `list_untried`.
"""

import collections.abc
import dataclasses

from rhubarbbank_router import attempt_states
from rhubarbbank_router import cold_upstreams
from rhubarbbank_router import defaults
from rhubarbbank_router import evacuations
from rhubarbbank_router import upstream_limits
from rhubarbbank_router import upstream_notices

ALL_VERSIONS: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One entry of the platform's list.

    Attributes:
        upstream_id: Usually unique to one start of the upstream.
        service: The service that it runs.
        address: "ip:port".
        data_centre: The data centre of its host.
        version: Its software version.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it accepts no new requests.
        started_ms: Unix time of its start; 0 if unknown.
        cold_left_s: How much longer it was cold when it wrote that, in
            seconds; it doesn't tell when.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    cold_left_s: float = 0.0

    def is_same(self, other: "Upstream") -> bool:
        """Returns whether all but the coldness is equal."""
        return self == dataclasses.replace(other, cold_left_s=self.cold_left_s)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """An upstream's load as reported in the headers of an answer.

    Attributes:
        running: Number of requests in its slots.
        waiting: Number of requests in its queue.
        slots: Number of requests that it runs concurrently.
        slowdown: By which factor work takes longer on its host than usual.
        states_slowdown: Whether the report has that figure.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    states_slowdown: bool = False

    @property
    def level(self) -> int:
        """The load level: 0 for up to 3 requests, then doubling ranges."""
        requests = self.running + self.waiting
        return (requests // defaults.LOAD_LEVEL_REQUESTS).bit_length()


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedUpstream:
    """State of one upstream as this entry sees it; times are in seconds.

    Attributes:
        listed: Its newest entry in the list.
        attempts: This entry's open attempts there, by request id.
        load: The last load report; None before the first.
        load_at: Time of the last load report.
        own_at_report: Number of this entry's open attempts at that time.
        heard_at: When bytes of any of its answers were last received.
        failures: Weighted number of failures since the last success.
        set_aside_until: Until then it is used only if there is no other.
        set_aside_s: Length of the last such period.
        timed_out_at: When an attempt there last timed out.
        full_until: It refused a request for lack of capacity; until then it
            is used only if there is no other.
        lapsed: Whether the list dropped it while the store was unreliable.
        misdirected_until: Another process answered at its address; until then
            it isn't used.
        doubtful_until: It isn't used until a list of this time or later has
            it, or its entry changes, as only a restored copy has it now; None
            if it isn't in doubt.
    """

    listed: Upstream
    attempts: dict[str, attempt_states.Attempt] = dataclasses.field(
        default_factory=dict
    )
    load: LoadReport | None = None
    load_at: float = 0.0
    own_at_report: int = 0
    heard_at: float = 0.0
    failures: int = 0
    set_aside_until: float = 0.0
    set_aside_s: float = 0.0
    timed_out_at: float | None = None
    full_until: float = 0.0
    lapsed: bool = False
    misdirected_until: float = 0.0
    doubtful_until: float | None = None

    @property
    def in_flight(self) -> int:
        """Number of this entry's open attempts there."""
        return len(self.attempts)

    @property
    def held_bytes(self) -> int:
        """Size of the requests of these attempts, in bytes."""
        return sum(each.request_bytes for each in self.attempts.values())

    @property
    def slowdown(self) -> float:
        """The slowdown in the last load report; 1 without one."""
        return self.load.slowdown if self.load else 1.0


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Moving averages of the times of a service's answers, in seconds.

    Attributes:
        answer_s: From sending to the end of an answer without a stream.
        first_event_s: From sending to a stream's first event.
        pace_s: Between two events of a stream, by model and load level.
        answer_s_by_route: Like `answer_s`, by route.
        slowdown: Of the hosts, in load reports; not in seconds.
    """

    answer_s: float = defaults.INITIAL_ANSWER_S
    first_event_s: float = defaults.INITIAL_FIRST_EVENT_S
    pace_s: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    answer_s_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    slowdown: float = 1.0

    def find_pace_s(self, model: str, level: int) -> float | None:
        """Returns the usual time between events at a load level.

        If there are no samples at that level, returns the time of the next
        higher level that has some, since less load doesn't make a stream
        slower. Returns None if there is no such level.
        """
        paces = self.pace_s.get(model, {})
        known = min((x for x in paces if x >= level), default=None)
        return None if known is None else paces[known]

    def learn_pace(self, model: str, level: int, pace_s: float) -> None:
        """Adds a stream's mean time between events to the average."""
        paces = self.pace_s.setdefault(model, {})
        usual_s = paces.get(level, pace_s)
        # Limits the influence of a single stalled stream.
        pace_s = min(pace_s, defaults.SLOW_PACE_FACTOR * usual_s)
        paces[level] = smooth(usual_s, pace_s)


def smooth(mean: float, value: float) -> float:
    """Returns an exponential moving average after one more value."""
    return mean + defaults.SERVICE_SMOOTHING * (value - mean)


def prefer_healthy(
    accepting: list[TrackedUpstream], *, now: float
) -> list[TrackedUpstream]:
    """Returns the upstreams that aren't set aside and have capacity.

    Those that are set aside or lack capacity are returned only if there are
    no others.
    """
    healthy = [each for each in accepting if each.set_aside_until <= now]
    available = [each for each in healthy if each.full_until <= now]
    return available or healthy or accepting


class UpstreamView:
    """All upstreams that this entry knows.

    Attributes:
        tracked: State of each upstream, by its id.
        times: Moving averages of answer times, by service.
        notices: What upstreams announced in their answers.
        limits: The rate limits that they named.
        cold: Which of them are cold, and the limits for these.
        removed_at: When the list dropped an upstream, by id and start time;
            oldest first.
        evacuations: Which data centres get no new requests.
    """

    def __init__(self) -> None:
        self.removed_at: dict[tuple[str, int], float] = {}
        self.evacuations = evacuations.Evacuations()
        self.limits = upstream_limits.UpstreamLimits()
        self.cold = cold_upstreams.ColdUpstreams()
        self.notices = upstream_notices.UpstreamNotices()
        self.tracked: dict[str, TrackedUpstream] = {}
        self.times: dict[str, ServiceTimes] = {}

    def replace_list(
        self,
        listed: collections.abc.Iterable[Upstream],
        *,
        may_have_lapsed: bool,
        now: float,
    ) -> list[str]:
        """Applies a complete list; returns the ids that it no longer has."""
        by_id = {each.upstream_id: each for each in listed}
        for each in by_id.values():
            self.put(each)
        gone = [
            upstream_id
            for upstream_id in self.tracked
            if upstream_id not in by_id
        ]
        for upstream_id in gone:
            self.remove(upstream_id, may_have_lapsed=may_have_lapsed, now=now)
        return gone

    def put(self, listed: Upstream) -> Upstream:
        """Adds or updates one upstream of the list; returns its new entry.

        An upstream that is shutting down stays so, whatever an older copy of
        the list says.
        """
        tracked = self.tracked.get(listed.upstream_id)
        if tracked is None or tracked.listed.started_ms != listed.started_ms:
            attempts = tracked.attempts if tracked else {}
            tracked = TrackedUpstream(listed=listed, attempts=attempts)
            self.tracked[listed.upstream_id] = tracked
        if tracked.listed.leaving and not listed.leaving:
            listed = dataclasses.replace(listed, leaving=True)
        if tracked.listed.address != listed.address:
            tracked.misdirected_until = 0.0
        if not tracked.listed.is_same(listed):
            tracked.doubtful_until = None
        tracked.listed = listed
        tracked.lapsed = False
        self.removed_at.pop((listed.upstream_id, listed.started_ms), None)
        return listed

    def list_removed(
        self, listed: collections.abc.Iterable[Upstream]
    ) -> list[str]:
        """Returns the ids of those that the list had dropped before."""
        return [
            each.upstream_id
            for each in listed
            if (each.upstream_id, each.started_ms) in self.removed_at
        ]

    def doubt(self, upstream_ids: list[str], *, now: float) -> None:
        """Doubts upstreams that are back only because of a restored copy.

        They have probably ended; if so, the store drops their registration
        once they have been silent for the length of a lease.
        """
        for upstream_id in upstream_ids:
            until = now + defaults.RESTORED_LEASE_S
            self.tracked[upstream_id].doubtful_until = until

    def end_doubts(self, *, current_at: float) -> None:
        """Ends doubts about upstreams that a list of a time still has."""
        for tracked in self.tracked.values():
            until = tracked.doubtful_until
            if until is not None and until <= current_at:
                tracked.doubtful_until = None

    def drop(self, upstream_id: str, *, now: float) -> None:
        """Drops an upstream, and records that the list has dropped it."""
        listed = self.tracked.pop(upstream_id).listed
        if listed.leaving:
            # It may still be running requests.
            self.notices.record_leaving(upstream_id, listed.started_ms)
        self.removed_at[upstream_id, listed.started_ms] = now
        for oldest, removed_at in list(self.removed_at.items()):
            if now - removed_at <= defaults.MAX_COPY_AGE_S:
                break
            del self.removed_at[oldest]

    def remove(
        self, upstream_id: str, *, may_have_lapsed: bool, now: float
    ) -> None:
        """Removes an upstream that the list no longer has.

        Args:
            upstream_id: The upstream.
            may_have_lapsed: Whether the upstream may be running although its
                list entry expired, in an outage of the store; it is then kept
                for a grace time.
            now: In seconds.
        """
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return
        if may_have_lapsed:
            tracked.lapsed = True
            return
        self.drop(upstream_id, now=now)

    def drop_lapsed(self, *, keep: bool, now: float) -> list[str]:
        """Drops upstreams whose list entry lapsed; returns their ids.

        Args:
            keep: Whether the store is unreachable, or has returned so recently
                that entries may still be renewed; nothing is dropped then.
            now: In seconds.
        """
        if keep:
            return []
        dropped = [
            upstream_id
            for upstream_id, tracked in self.tracked.items()
            if tracked.lapsed
        ]
        for upstream_id in dropped:
            self.drop(upstream_id, now=now)
        return dropped

    def list_known(self, upstream_id: str) -> list[TrackedUpstream]:
        """Returns the upstream as a list; empty if it isn't known."""
        tracked = self.tracked.get(upstream_id)
        return [] if tracked is None else [tracked]

    def is_leaving(self, listed: Upstream) -> bool:
        """Returns whether the list or an answer says that it shuts down."""
        notice = self.notices.find(listed.upstream_id, listed.started_ms)
        return listed.leaving or (notice is not None and notice.leaving)

    def leaves_as_planned(self, upstream_id: str, started_ms: int) -> bool:
        """Returns whether an incarnation shuts down, or has done so."""
        notice = self.notices.find(upstream_id, started_ms)
        if notice is not None and notice.leaving:
            return True
        return any(
            each.listed.leaving and each.listed.started_ms == started_ms
            for each in self.list_known(upstream_id)
        )

    def list_accepting(
        self, service: str, *, now: float
    ) -> list[TrackedUpstream]:
        """Returns the service's upstreams that accept new requests."""
        evacuated = self.evacuations.active
        may_be_cold = service in self.cold.terms
        return [
            tracked
            for tracked in self.tracked.values()
            if tracked.listed.service == service
            and not tracked.listed.leaving
            and tracked.misdirected_until <= now
            and tracked.doubtful_until is None
            and tracked.listed.data_centre not in evacuated
            and not self.limits.is_exhausted(
                tracked.listed.upstream_id, tracked.listed.started_ms, now=now
            )
            and not (
                may_be_cold
                and self.cold.is_exhausted(
                    service,
                    tracked.listed.upstream_id,
                    tracked.listed.started_ms,
                    now=now,
                )
            )
            and not self.notices.is_closed(
                tracked.listed.upstream_id, tracked.listed.started_ms, now=now
            )
        ]

    def is_evacuated(self, service: str, version: str) -> bool:
        """Returns whether a version runs only in evacuated data centres."""
        data_centres = {
            tracked.listed.data_centre
            for tracked in self.tracked.values()
            if tracked.listed.service == service
            and tracked.listed.version == version
            and not tracked.listed.leaving
        }
        return bool(data_centres) and all(
            self.evacuations.is_evacuated(each) for each in data_centres
        )

    def find_reopening_time(
        self,
        service: str,
        *,
        now: float,
        versions: collections.abc.Set[str] = ALL_VERSIONS,
    ) -> float | None:
        """Returns when the first closed upstream accepts requests again.

        Args:
            service: The service.
            now: In seconds.
            versions: The versions that count; empty for all.

        Returns:
            The time in seconds; None if none of these upstreams has asked to
            be sent no requests for a time.
        """
        times: list[float] = []
        for tracked in self.tracked.values():
            listed = tracked.listed
            notice = self.notices.find(listed.upstream_id, listed.started_ms)
            if listed.service != service or listed.leaving or notice is None:
                continue
            if versions and listed.version not in versions:
                continue
            if self.evacuations.is_evacuated(listed.data_centre):
                continue
            if notice.closed_until > now and not notice.leaving:
                times.append(notice.closed_until)
        return min(times, default=None)

    def sum_limits_per_s(
        self,
        service: str,
        *,
        now: float,
        versions: collections.abc.Set[str] = ALL_VERSIONS,
    ) -> float:
        """Returns what a service's limited upstreams accept, in requests/s.

        Cold ones are limited, too. Only upstreams of the given versions count;
        all if there are none.
        """
        total = 0.0
        for tracked in self.tracked.values():
            listed = tracked.listed
            limit = self.limits.find(listed.upstream_id, listed.started_ms)
            cold = self.cold.find_terms(
                service, listed.upstream_id, listed.started_ms, now=now
            )
            if (
                listed.service != service
                or (versions and listed.version not in versions)
                or listed.leaving
                or (limit is None and cold is None)
                or self.evacuations.is_evacuated(listed.data_centre)
                or self.notices.is_closed(
                    listed.upstream_id, listed.started_ms, now=now
                )
            ):
                continue
            rates = [
                *([limit.rate_per_s or 0.0] if limit else []),
                *([cold.rate_per_s] if cold else []),
            ]
            total += min(rates)
        return total

    def list_untried(
        self,
        service: str,
        *,
        now: float,
        excluded: collections.abc.Set[str],
    ) -> list[TrackedUpstream]:
        """Returns the accepting upstreams that a request may be sent to."""
        return [
            tracked
            for tracked in self.list_accepting(service, now=now)
            if tracked.listed.upstream_id not in excluded
        ]

    def list_remaining(self, service: str) -> list[TrackedUpstream]:
        """Returns the upstreams that accept requests now or soon again.

        Those that shut down, are in doubt, or whose data centre is evacuated
        may never do so.
        """
        return [
            tracked
            for tracked in self.tracked.values()
            if tracked.listed.service == service
            and not self.is_leaving(tracked.listed)
            and tracked.doubtful_until is None
            and not self.evacuations.is_evacuated(tracked.listed.data_centre)
        ]

    def start_attempt(
        self, request_id: str, attempt: attempt_states.Attempt
    ) -> None:
        """Records that an attempt begins."""
        tracked = self.tracked.get(attempt.upstream)
        if tracked is not None:
            tracked.attempts[request_id] = attempt

    def finish_attempt(self, request_id: str, upstream_id: str) -> None:
        """Records that an attempt ended, whether it failed or not."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.attempts.pop(request_id, None)

    def record_load(
        self, upstream_id: str, load: LoadReport, *, now: float
    ) -> None:
        """Records the load that an answer reports."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.load = load
            tracked.load_at = now
            tracked.own_at_report = tracked.in_flight
            times = self.get_service_times(tracked.listed.service)
            times.slowdown = smooth(times.slowdown, load.slowdown)

    def record_bytes_received(self, upstream_id: str, *, now: float) -> None:
        """Records that bytes of an answer were received."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.heard_at = now

    def record_success(self, upstream_id: str) -> None:
        """Records a successful attempt."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.failures = 0
            tracked.set_aside_s = 0.0

    def record_failure(
        self, upstream_id: str, *, now: float, weight: int = 1
    ) -> bool:
        """Records a failed attempt.

        Args:
            upstream_id: The upstream.
            now: In seconds.
            weight: How many failures this one counts as.

        Returns:
            Whether the upstream is set aside because of it.
        """
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return False
        tracked.failures += weight
        if tracked.failures < defaults.FAILURES_TO_SET_ASIDE:
            return False
        if tracked.set_aside_until > now:
            return False
        tracked.set_aside_s = min(
            defaults.MAX_SET_ASIDE_S,
            max(defaults.SET_ASIDE_S, 2.0 * tracked.set_aside_s),
        )
        tracked.set_aside_until = now + tracked.set_aside_s
        return True

    def record_timeout(self, upstream_id: str, *, now: float) -> bool:
        """Records that an attempt timed out.

        Returns:
            Whether it is the first of a series of time-outs, each within
            SILENCE_EPISODE_S of the one before.
        """
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return False
        last, tracked.timed_out_at = tracked.timed_out_at, now
        return last is None or now - last > defaults.SILENCE_EPISODE_S

    def record_full(self, upstream_id: str, *, now: float) -> None:
        """Records that an upstream refused a request for lack of capacity."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.full_until = now + defaults.FULL_BACKOFF_S

    def record_closed(
        self, upstream_id: str, closed_for_s: float, *, now: float
    ) -> None:
        """Records for how many seconds an upstream wants no requests."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            until = now + min(closed_for_s, defaults.MAX_CLOSED_S)
            self.notices.record_closed(
                upstream_id, tracked.listed.started_ms, until=until
            )

    def record_leaving(self, upstream_id: str) -> bool:
        """Records that an upstream shuts down; returns whether that is new."""
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return False
        return self.notices.record_leaving(
            upstream_id, tracked.listed.started_ms
        )

    def list_announced_leaving(self) -> tuple[tuple[str, int], ...]:
        """Returns id and start time of listed upstreams that are leaving."""
        return tuple(
            (upstream_id, started_ms)
            for upstream_id, started_ms in self.notices.list_leaving()
            if upstream_id in self.tracked
        )

    def record_misdirected(self, upstream_id: str, *, now: float) -> None:
        """Records that another process answered at an upstream's address."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.misdirected_until = now + defaults.MISDIRECTED_S

    def clear_misdirected(self, upstream_ids: set[str]) -> None:
        """Withdraws that other processes answered at upstreams' addresses."""
        for upstream_id in upstream_ids:
            tracked = self.tracked.get(upstream_id)
            if tracked is not None:
                tracked.misdirected_until = 0.0

    def get_service_times(self, service: str) -> ServiceTimes:
        """Returns the service's moving averages; creates them if need be."""
        return self.times.setdefault(service, ServiceTimes())
