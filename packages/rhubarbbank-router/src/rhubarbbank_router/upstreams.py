"""What the router believes of the upstreams: list, load, trouble.

The list comes from the platform, late; the load from the answers' heads; the
trouble from this entry's own attempts. Dispatch asks `list_usable`.
"""

import collections.abc
import dataclasses

from rhubarbbank_router import attempt_states
from rhubarbbank_router import defaults
from rhubarbbank_router import upstream_notices


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One line of the platform's list.

    Attributes:
        upstream_id: Unique to this start of the upstream, mostly.
        service: The service that it runs.
        address: "ip:port".
        data_centre: Where it stands.
        version: Of its software.
        slots: Requests that it runs side by side.
        leaving: Whether it takes no new work.
        started_ms: Unix time of its start; 0 if unknown.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    leaving: bool = False
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """An upstream's load as one of its answers told it.

    Attributes:
        running: Requests in its slots.
        waiting: Requests queued.
        slots: Requests that it runs side by side.
    """

    running: int
    waiting: int
    slots: int

    @property
    def level(self) -> int:
        """How loaded it is, in steps that double: 0 for up to 3 requests."""
        requests = self.running + self.waiting
        return (requests // defaults.LOAD_LEVEL_REQUESTS).bit_length()


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedUpstream:
    """What this entry believes of one upstream.

    Attributes:
        listed: The newest line of the list.
        attempts: This entry's open attempts there, by request id.
        load: The last report; None before the first.
        load_at: When it came.
        own_at_report: This entry's open attempts when it came.
        heard_at: When bytes of any of its answers came last.
        failures: Attempts that failed since the last good one.
        set_aside_until: No new work before then, if others will do.
        set_aside_s: How long it was set aside the last time.
        silent_at: When an attempt was last given up for its silence.
        full_until: It refused for want of room; not preferred before then.
        lapsed: Whether the list dropped it while the store was in trouble.
        misdirected: Another process answered at its address.
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
    silent_at: float | None = None
    full_until: float = 0.0
    lapsed: bool = False
    misdirected: bool = False

    @property
    def in_flight(self) -> int:
        """How many attempts of this entry are open there."""
        return len(self.attempts)


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Smoothed times of a service's answers, in seconds.

    Attributes:
        answer_s: From sending to the end of a plain answer.
        first_event_s: From sending to a stream's first event.
        pace_s: Between two events of a stream, by model and load level.
        answer_s_by_route: From sending to the end of a plain answer, by route.
    """

    answer_s: float = defaults.INITIAL_ANSWER_S
    first_event_s: float = defaults.INITIAL_FIRST_EVENT_S
    pace_s: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    answer_s_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def find_pace_s(self, model: str, level: int) -> float | None:
        """Returns the usual time between events at a load level.

        Where none has been seen at that level, one of a higher level will do:
        with less load a stream isn't slower. None if neither is known.
        """
        paces = self.pace_s.get(model, {})
        known = min((x for x in paces if x >= level), default=None)
        return None if known is None else paces[known]

    def learn_pace(self, model: str, level: int, pace_s: float) -> None:
        """Learns from the time between a stream's events."""
        paces = self.pace_s.setdefault(model, {})
        usual_s = paces.get(level, pace_s)
        # One stream that hangs says little of the usual pace.
        pace_s = min(pace_s, defaults.SLOW_PACE_TIMES * usual_s)
        paces[level] = smooth(usual_s, pace_s)


def smooth(mean: float, value: float) -> float:
    """Returns the smoothed mean after one more value."""
    return mean + defaults.SERVICE_SMOOTHING * (value - mean)


class UpstreamView:
    """All upstreams that this entry knows.

    Attributes:
        tracked: By upstream id.
        times: By service.
        notices: What upstreams said of themselves.
    """

    def __init__(self) -> None:
        self.notices = upstream_notices.UpstreamNotices()
        self.tracked: dict[str, TrackedUpstream] = {}
        self.times: dict[str, ServiceTimes] = {}

    def replace_list(
        self,
        listed: collections.abc.Iterable[Upstream],
        *,
        store_unstable: bool,
    ) -> list[str]:
        """Takes a whole list; returns the ids that are no longer on it."""
        found = {each.upstream_id: each for each in listed}
        for each in found.values():
            self.put(each)
        gone = [
            upstream_id
            for upstream_id in self.tracked
            if upstream_id not in found
        ]
        for upstream_id in gone:
            self.remove(upstream_id, store_unstable=store_unstable)
        return gone

    def put(self, listed: Upstream) -> None:
        """Takes one line of the list."""
        tracked = self.tracked.get(listed.upstream_id)
        if tracked is None or tracked.listed.started_ms != listed.started_ms:
            attempts = tracked.attempts if tracked else {}
            tracked = TrackedUpstream(listed=listed, attempts=attempts)
            self.tracked[listed.upstream_id] = tracked
        if tracked.listed.address != listed.address:
            tracked.misdirected = False
        tracked.listed = listed
        tracked.lapsed = False

    def remove(self, upstream_id: str, *, store_unstable: bool) -> None:
        """Takes that the list dropped an upstream.

        Args:
            upstream_id: The upstream.
            store_unstable: The store was in trouble lately: its entry may have
                lapsed though it lives, so that it stays for a grace time.
        """
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return
        if store_unstable:
            tracked.lapsed = True
            return
        del self.tracked[upstream_id]

    def drop_lapsed(self, *, keep: bool) -> list[str]:
        """Drops upstreams that lapsed; returns their ids.

        Args:
            keep: The store is away, or has returned so lately that entries
                may still come back.
        """
        if keep:
            return []
        dropped = [
            upstream_id
            for upstream_id, tracked in self.tracked.items()
            if tracked.lapsed
        ]
        for upstream_id in dropped:
            del self.tracked[upstream_id]
        return dropped

    def list_known(self, upstream_id: str) -> list[TrackedUpstream]:
        """Returns what is believed of an upstream, if it is known."""
        tracked = self.tracked.get(upstream_id)
        return [] if tracked is None else [tracked]

    def is_leaving(self, listed: Upstream) -> bool:
        """Returns whether an upstream shuts down, by the list or its word."""
        notice = self.notices.find(listed.upstream_id, listed.started_ms)
        return listed.leaving or (notice is not None and notice.leaving)

    def list_accepting(
        self, service: str, *, now: float
    ) -> list[TrackedUpstream]:
        """Returns the service's upstreams that take new work."""
        return [
            tracked
            for tracked in self.tracked.values()
            if tracked.listed.service == service
            and not tracked.listed.leaving
            and not tracked.misdirected
            and not self.notices.is_closed(
                tracked.listed.upstream_id, tracked.listed.started_ms, now=now
            )
        ]

    def find_reopening_time(self, service: str, *, now: float) -> float | None:
        """Returns when the first closed upstream takes work again.

        Returns:
            The time in seconds; None if none of the service's upstreams has
            said that it wants nothing for a time.
        """
        times: list[float] = []
        for tracked in self.tracked.values():
            listed = tracked.listed
            notice = self.notices.find(listed.upstream_id, listed.started_ms)
            if listed.service != service or listed.leaving or notice is None:
                continue
            if notice.closed_until > now and not notice.leaving:
                times.append(notice.closed_until)
        return min(times, default=None)

    def list_usable(
        self,
        service: str,
        *,
        now: float,
        excluded: collections.abc.Set[str],
    ) -> list[TrackedUpstream]:
        """Returns upstreams for a new attempt, without those in trouble.

        Upstreams in trouble are returned when there are no others.
        """
        fitting = [
            tracked
            for tracked in self.list_accepting(service, now=now)
            if tracked.listed.upstream_id not in excluded
        ]
        sound = [each for each in fitting if each.set_aside_until <= now]
        roomy = [each for each in sound if each.full_until <= now]
        return roomy or sound or fitting

    def start(self, request_id: str, attempt: attempt_states.Attempt) -> None:
        """Notes that an attempt begins."""
        tracked = self.tracked.get(attempt.upstream)
        if tracked is not None:
            tracked.attempts[request_id] = attempt

    def finish(self, request_id: str, upstream_id: str) -> None:
        """Notes that an attempt ended, however it did."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.attempts.pop(request_id, None)

    def note_load(
        self, upstream_id: str, load: LoadReport, *, now: float
    ) -> None:
        """Takes the load that came with an answer."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.load = load
            tracked.load_at = now
            tracked.own_at_report = tracked.in_flight

    def note_bytes_received(self, upstream_id: str, *, now: float) -> None:
        """Notes that bytes of an answer came."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.heard_at = now

    def note_success(self, upstream_id: str) -> None:
        """Notes that an upstream answered well."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.failures = 0
            tracked.set_aside_s = 0.0

    def note_failure(
        self, upstream_id: str, *, now: float, weight: int = 1
    ) -> bool:
        """Notes a failed attempt; returns whether it is set aside now.

        Args:
            upstream_id: The upstream.
            now: In seconds.
            weight: How much the failure says, in plain failures.
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

    def note_silence(self, upstream_id: str, *, now: float) -> bool:
        """Notes that an upstream was silent too long.

        Returns:
            Whether this is the first time within the episode.
        """
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return False
        last, tracked.silent_at = tracked.silent_at, now
        return last is None or now - last > defaults.SILENCE_EPISODE_S

    def note_full(self, upstream_id: str, *, now: float) -> None:
        """Notes that an upstream refused for want of room."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.full_until = now + defaults.FULL_BACKOFF_S

    def note_closed(
        self, upstream_id: str, closed_s: float, *, now: float
    ) -> None:
        """Notes for how long an upstream wants nothing, in seconds."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            until = now + min(closed_s, defaults.MAX_CLOSED_S)
            self.notices.note_closed(
                upstream_id, tracked.listed.started_ms, until=until
            )

    def note_leaving(self, upstream_id: str) -> bool:
        """Notes that an upstream shuts down; returns whether that is news."""
        tracked = self.tracked.get(upstream_id)
        if tracked is None:
            return False
        return self.notices.note_leaving(upstream_id, tracked.listed.started_ms)

    def list_announced_leaving(self) -> tuple[tuple[str, int], ...]:
        """Returns id and start of listed upstreams that said they shut down."""
        return tuple(
            (upstream_id, started_ms)
            for upstream_id, started_ms in self.notices.list_leaving()
            if upstream_id in self.tracked
        )

    def note_misdirected(self, upstream_id: str) -> None:
        """Notes that another process answered at an upstream's address."""
        tracked = self.tracked.get(upstream_id)
        if tracked is not None:
            tracked.misdirected = True

    def get_service_times(self, service: str) -> ServiceTimes:
        """Returns the service's smoothed times."""
        return self.times.setdefault(service, ServiceTimes())
