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
class Belief:
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
        whole_s: From sending to the end of a plain answer.
        first_event_s: From sending to a stream's first event.
        pace_s: Between two events of a stream, by model and load level.
        plain_s: From sending to the end of a plain answer, by route.
    """

    whole_s: float = defaults.FIRST_SERVICE_S
    first_event_s: float = defaults.FIRST_EVENT_WAIT_S
    pace_s: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    plain_s: dict[str, float] = dataclasses.field(default_factory=dict)

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
        beliefs: By upstream id.
        times: By service.
        notices: What upstreams said of themselves.
    """

    def __init__(self) -> None:
        self.notices = upstream_notices.UpstreamNotices()
        self.beliefs: dict[str, Belief] = {}
        self.times: dict[str, ServiceTimes] = {}

    def replace_list(
        self,
        listed: collections.abc.Iterable[Upstream],
        *,
        doubtful: bool,
    ) -> list[str]:
        """Takes a whole list; returns the ids that are no longer on it."""
        found = {each.upstream_id: each for each in listed}
        for each in found.values():
            self.put(each)
        gone = [
            upstream_id
            for upstream_id in self.beliefs
            if upstream_id not in found
        ]
        for upstream_id in gone:
            self.remove(upstream_id, doubtful=doubtful)
        return gone

    def put(self, listed: Upstream) -> None:
        """Takes one line of the list."""
        belief = self.beliefs.get(listed.upstream_id)
        if belief is None or belief.listed.started_ms != listed.started_ms:
            attempts = belief.attempts if belief else {}
            belief = Belief(listed=listed, attempts=attempts)
            self.beliefs[listed.upstream_id] = belief
        if belief.listed.address != listed.address:
            belief.misdirected = False
        belief.listed = listed
        belief.lapsed = False

    def remove(self, upstream_id: str, *, doubtful: bool) -> None:
        """Takes that the list dropped an upstream.

        Args:
            upstream_id: The upstream.
            doubtful: The store was in trouble lately: its entry may have
                lapsed though it lives, so that it stays for a grace time.
        """
        belief = self.beliefs.get(upstream_id)
        if belief is None:
            return
        if doubtful:
            belief.lapsed = True
            return
        del self.beliefs[upstream_id]

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
            for upstream_id, belief in self.beliefs.items()
            if belief.lapsed
        ]
        for upstream_id in dropped:
            del self.beliefs[upstream_id]
        return dropped

    def list_known(self, upstream_id: str) -> list[Belief]:
        """Returns what is believed of an upstream, if it is known."""
        belief = self.beliefs.get(upstream_id)
        return [] if belief is None else [belief]

    def is_leaving(self, listed: Upstream) -> bool:
        """Returns whether an upstream shuts down, by the list or its word."""
        notice = self.notices.find(listed.upstream_id, listed.started_ms)
        return listed.leaving or (notice is not None and notice.leaving)

    def list_service(self, service: str, *, now: float) -> list[Belief]:
        """Returns the service's upstreams that take new work."""
        return [
            belief
            for belief in self.beliefs.values()
            if belief.listed.service == service
            and not belief.listed.leaving
            and not belief.misdirected
            and not self.notices.is_closed(
                belief.listed.upstream_id, belief.listed.started_ms, now=now
            )
        ]

    def find_reopening(self, service: str, *, now: float) -> float | None:
        """Returns when the first closed upstream takes work again.

        Returns:
            The time in seconds; None if none of the service's upstreams has
            said that it wants nothing for a time.
        """
        times: list[float] = []
        for belief in self.beliefs.values():
            listed = belief.listed
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
    ) -> list[Belief]:
        """Returns upstreams for a new attempt, without those in trouble.

        Upstreams in trouble are returned when there are no others.
        """
        fitting = [
            belief
            for belief in self.list_service(service, now=now)
            if belief.listed.upstream_id not in excluded
        ]
        sound = [each for each in fitting if each.set_aside_until <= now]
        roomy = [each for each in sound if each.full_until <= now]
        return roomy or sound or fitting

    def start(self, request_id: str, attempt: attempt_states.Attempt) -> None:
        """Notes that an attempt begins."""
        belief = self.beliefs.get(attempt.upstream)
        if belief is not None:
            belief.attempts[request_id] = attempt

    def finish(self, request_id: str, upstream_id: str) -> None:
        """Notes that an attempt ended, however it did."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.attempts.pop(request_id, None)

    def note_load(
        self, upstream_id: str, load: LoadReport, *, now: float
    ) -> None:
        """Takes the load that came with an answer."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.load = load
            belief.load_at = now
            belief.own_at_report = belief.in_flight

    def note_heard(self, upstream_id: str, *, now: float) -> None:
        """Notes that bytes of an answer came."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.heard_at = now

    def note_good(self, upstream_id: str) -> None:
        """Notes that an upstream answered well."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.failures = 0
            belief.set_aside_s = 0.0

    def note_failure(
        self, upstream_id: str, *, now: float, weight: int = 1
    ) -> bool:
        """Notes a failed attempt; returns whether it is set aside now.

        Args:
            upstream_id: The upstream.
            now: In seconds.
            weight: How much the failure says, in plain failures.
        """
        belief = self.beliefs.get(upstream_id)
        if belief is None:
            return False
        belief.failures += weight
        if belief.failures < defaults.FAILURES_TO_SET_ASIDE:
            return False
        if belief.set_aside_until > now:
            return False
        belief.set_aside_s = min(
            defaults.MAX_SET_ASIDE_S,
            max(defaults.SET_ASIDE_S, 2.0 * belief.set_aside_s),
        )
        belief.set_aside_until = now + belief.set_aside_s
        return True

    def note_silence(self, upstream_id: str, *, now: float) -> bool:
        """Notes that an upstream was silent too long.

        Returns:
            Whether this is the first time within the episode.
        """
        belief = self.beliefs.get(upstream_id)
        if belief is None:
            return False
        last, belief.silent_at = belief.silent_at, now
        return last is None or now - last > defaults.SILENCE_EPISODE_S

    def note_full(self, upstream_id: str, *, now: float) -> None:
        """Notes that an upstream refused for want of room."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.full_until = now + defaults.FULL_S

    def note_closed(
        self, upstream_id: str, closed_s: float, *, now: float
    ) -> None:
        """Notes for how long an upstream wants nothing, in seconds."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            until = now + min(closed_s, defaults.MAX_CLOSED_S)
            self.notices.note_closed(
                upstream_id, belief.listed.started_ms, until=until
            )

    def note_leaving(self, upstream_id: str) -> bool:
        """Notes that an upstream shuts down; returns whether that is news."""
        belief = self.beliefs.get(upstream_id)
        if belief is None:
            return False
        return self.notices.note_leaving(upstream_id, belief.listed.started_ms)

    def list_told_leaving(self) -> tuple[tuple[str, int], ...]:
        """Returns id and start of listed upstreams that said they shut down."""
        return tuple(
            (upstream_id, started_ms)
            for upstream_id, started_ms in self.notices.list_leaving()
            if upstream_id in self.beliefs
        )

    def note_misdirected(self, upstream_id: str) -> None:
        """Notes that another process answered at an upstream's address."""
        belief = self.beliefs.get(upstream_id)
        if belief is not None:
            belief.misdirected = True

    def read_times(self, service: str) -> ServiceTimes:
        """Returns the service's smoothed times."""
        return self.times.setdefault(service, ServiceTimes())
