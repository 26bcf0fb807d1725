"""State that the stages of request processing share.

    intake --> dispatch <--> answers
                  ^              |
                  +-- timeouts --+

`intake` validates a request, `dispatch` sends it to an upstream, `answer_heads`
and `answers` process the response, and `timeouts` enforces the time-outs.
"""

import dataclasses
import random

from rhubarbbank_core import placement
from rhubarbbank_router import attempt_states
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import crash_causes
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import engine_work
from rhubarbbank_router import evacuations
from rhubarbbank_router import events
from rhubarbbank_router import freshness_proof
from rhubarbbank_router import hedge_budget
from rhubarbbank_router import hedge_delays
from rhubarbbank_router import hedge_policy
from rhubarbbank_router import host_speed
from rhubarbbank_router import options
from rhubarbbank_router import peer_work
from rhubarbbank_router import peers
from rhubarbbank_router import prefix_memory
from rhubarbbank_router import route_match
from rhubarbbank_router import session_pins
from rhubarbbank_router import size_policy
from rhubarbbank_router import store_outages
from rhubarbbank_router import store_relay
from rhubarbbank_router import unanswered_attempts
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial
from rhubarbbank_router import window_budget

REQUIRED_LISTS = frozenset((events.Subject.UPSTREAMS, events.Subject.ROLLOUTS))


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenRequest:
    """A request whose response isn't complete yet.

    All times are in seconds on the clock of the events.

    Attributes:
        request: The request as received.
        route: The route that it matched on arrival.
        service: The service of the route that was selected for it.
        organisation: The tenant that sent it; empty on a public route.
        priority: 0 is the most urgent.
        traits: What a crash of its upstream can be attributed to; its
            fingerprint first.
        arrived_at: When the request was received.
        deadline: When the response must be complete.
        attempts: All attempts, oldest first.
        model: The model that the router chose; empty if the request names
            its model.
        answer_started: Whether a part of the response was sent to the caller.
        version: Version of the upstream that started the response.
        last_event_id: Id of the last event sent to the caller.
        first_event_at: When the first event was sent to the caller.
        last_event_at: When the last event was sent to the caller.
        longest_pause_s: The longest gap between two of these events.
        excluded: Upstreams on which an attempt failed.
        misdirected: Those at whose addresses another process seemed to answer.
        hedge_check_at: Until then it isn't checked whether to hedge it.
        hedge_declined: Why it wasn't hedged when that was last checked.
    """

    request: callers.IncomingRequest
    route: configuration.Route
    service: str
    organisation: str
    priority: int
    traits: tuple[str, ...]
    arrived_at: float
    deadline: float
    attempts: list[attempt_states.Attempt] = dataclasses.field(
        default_factory=list
    )
    model: str = ""
    answer_started: bool = False
    version: str = ""
    last_event_id: str = ""
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    excluded: set[str] = dataclasses.field(default_factory=set)
    misdirected: set[str] = dataclasses.field(default_factory=set)
    hedge_check_at: float = 0.0
    hedge_declined: str = ""

    @property
    def fingerprint(self) -> str:
        """Hash that is equal each time the same request is sent."""
        return self.traits[0]

    @property
    def session_key(self) -> session_pins.SessionKey:
        """The request's session on its service."""
        return session_pins.SessionKey(self.service, self.request.session)

    @property
    def open_attempts(self) -> list[attempt_states.Attempt]:
        """The attempts in progress, oldest first; two if one is a hedge."""
        return [each for each in self.attempts if each.open]

    @property
    def current_attempt(self) -> attempt_states.Attempt | None:
        """The newest attempt in progress, or None."""
        for attempt in reversed(self.attempts):
            if attempt.open:
                return attempt
        return None

    def record_event(self, *, now: float) -> None:
        """Records that an event is sent to the caller."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is configuration.RouteKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that waits until the entry has read its initial data."""

    request: callers.IncomingRequest
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedVersion:
    """A version of the configuration that another entry has.

    Attributes:
        version: The version.
        at: A time, in seconds, at which it was active there.
    """

    version: int
    at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAvailability:
    """Availability of the store for calls about one subject.

    Attributes:
        answered_at: When a call last succeeded.
        failed_at: When a call last failed.
    """

    answered_at: float | None = None
    failed_at: float | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the last call failed."""
        if self.failed_at is None:
            return False
        return self.answered_at is None or self.answered_at < self.failed_at


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterState:
    """The complete state of the router.

    All times are in seconds on the clock of the events.

    Attributes:
        settings: Settings of this entry.
        incarnation: Unix time of the process's start, in nanoseconds.
        rng: Source of randomness.
        placer: Selects an upstream for an attempt.
        sizing_policy: Selects the model for a request.
        judge: Evaluates new versions during a roll-out.
        budget: Limits how many requests are sent more than once.
        proof: Bounds the age of the active configuration.
        active_configuration: The configuration that is applied to requests;
            None until one has been read.
        configuration_active_from: When its version became active.
        peer_configuration: The newest version of the configuration that
            another entry has reported.
        routes: Index over its routes.
        view: What is known about the upstreams.
        prefixes: Which upstream caches which prompt prefix.
        prefill_speeds: Estimates of how fast models process prompts.
        slowdowns: Predicts the speed of the upstreams' hosts.
        open_requests: Open requests, by id.
        sessions: The versions that served the sessions' last requests.
        trials: Roll-outs by service.
        doubtful_orders: Orders that contradict a trial and may come from a
            restored store's older copy, by service; None for a missing one.
        settled_versions: Versions of each service that need no trial.
        rollout_recorded_at: When a call to record a service's roll-out was
            last begun, by service.
        entries: The other entries.
        suspects: Traits of requests that may crash upstreams.
        unanswered: Attempts whose upstreams may have crashed.
        causes: Estimates which of them are the causes of crashes.
        relay: Shares reads of the store within the data centre.
        peer_workload: Open work of the other entries at each upstream.
        store_availability: Availability of the store, by subject.
        outages: Outages of the store in which registrations may have lapsed.
        store_era: The store's newest known era; None before the first response
            that names one.
        restored_at: When a restore of the store was last noticed; None if it
            never was.
        era_seen_at: The earliest known time at which the store was in its
            newest known era; None if it has named none.
        settled_era: The era that this entry has recorded as settled in its
            registration.
        unproven_read_at: When the last read that confirmed the active
            configuration was sent, if it proves no freshness until the era is
            known to have settled.
        ignored_configuration: Era and revision of the last configuration that
            was read and not activated.
        started_at: When the first event was processed; None before.
        held_requests: Requests received before the initial data was read, by
            id.
        listed_subjects: Subjects whose complete list has been read.
        stop_at: When the process was asked to stop; None if it wasn't.
        stop_served_until: When a stop may end the process if it is idle.
        is_exiting: Whether the effect that ends the process has been returned.
        busy_callers: Number of callers' connections, when last counted, on
            which a request is being received or served; 0 before a stop.
        next_heartbeat_at: When the next heartbeat is due.
        next_remote_heartbeat_at: When the next heartbeat to other data
            centres is due.
        may_forward_from: When this entry may again forward heartbeats of other
            entries.
        forwarder_rank: Rank among the data centre's forwarders, from 0; None
            if this entry isn't a forwarder.
        is_heartbeat_urgent: Whether the next heartbeat is sent directly to
            all entries.
        next_load_update_at: When the next load update is sent to the entries
            of the data centre; None if none is due.
        hedger: Decides which slow requests are hedged.
        usual_times: The usual times of routes.
        hedge_counts: Keeps hedges within the operators' share.
    """

    settings: options.RouterSettings
    incarnation: int
    rng: random.Random
    placer: placement.Placement
    sizing_policy: size_policy.SizePolicy
    judge: version_trial.TrialJudge
    budget: window_budget.WindowBudget
    proof: freshness_proof.FreshnessProof
    entries: peers.PeerTable
    relay: store_relay.StoreRelay
    suspects: crash_suspects.CrashSuspects
    causes: crash_causes.CrashCauses
    unanswered: unanswered_attempts.UnansweredAttempts = dataclasses.field(
        default_factory=unanswered_attempts.UnansweredAttempts
    )
    active_configuration: configuration.Configuration | None = None
    configuration_active_from: float = 0.0
    peer_configuration: ReportedVersion | None = None
    routes: route_match.RouteIndex = dataclasses.field(
        default_factory=lambda: route_match.RouteIndex(routes=())
    )
    peer_workload: peer_work.PeerWork = dataclasses.field(
        default_factory=peer_work.PeerWork
    )
    view: upstreams.UpstreamView = dataclasses.field(
        default_factory=upstreams.UpstreamView
    )
    prefixes: prefix_memory.PrefixMemory = dataclasses.field(
        default_factory=prefix_memory.PrefixMemory
    )
    prefill_speeds: engine_work.PrefillSpeeds = dataclasses.field(
        default_factory=engine_work.PrefillSpeeds
    )
    slowdowns: host_speed.SlowdownEstimate = dataclasses.field(
        default_factory=host_speed.DecayingSlowdown
    )
    open_requests: dict[str, OpenRequest] = dataclasses.field(
        default_factory=dict
    )
    sessions: session_pins.SessionPins = dataclasses.field(
        default_factory=session_pins.SessionPins
    )
    trials: dict[str, version_trial.VersionTrial] = dataclasses.field(
        default_factory=dict
    )
    doubtful_orders: dict[str, version_trial.RolloutOrder | None] = (
        dataclasses.field(default_factory=dict)
    )
    settled_versions: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )
    rollout_recorded_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    store_availability: dict[str, StoreAvailability] = dataclasses.field(
        default_factory=dict
    )
    outages: store_outages.StoreOutages = dataclasses.field(
        default_factory=store_outages.StoreOutages
    )
    store_era: int | None = None
    restored_at: float | None = None
    era_seen_at: float | None = None
    settled_era: int | None = None
    unproven_read_at: float | None = None
    ignored_configuration: tuple[int, int] | None = None
    started_at: float | None = None
    held_requests: dict[str, HeldRequest] = dataclasses.field(
        default_factory=dict
    )
    listed_subjects: set[str] = dataclasses.field(default_factory=set)
    stop_at: float | None = None
    stop_served_until: float = 0.0
    is_exiting: bool = False
    busy_callers: int = 0
    next_heartbeat_at: float = 0.0
    next_remote_heartbeat_at: float = 0.0
    may_forward_from: float = 0.0
    forwarder_rank: int | None = None
    is_heartbeat_urgent: bool = False
    next_load_update_at: float | None = None
    hedger: hedge_policy.HedgePolicy = dataclasses.field(
        default_factory=hedge_policy.HedgeWhenSlow
    )
    usual_times: hedge_delays.RouteDelays = dataclasses.field(
        default_factory=hedge_delays.RouteDelays
    )
    hedge_counts: hedge_budget.HedgeBudget = dataclasses.field(
        default_factory=hedge_budget.HedgeBudget
    )

    @property
    def is_initialised(self) -> bool:
        """Whether the data required to serve requests has been read."""
        return (
            self.active_configuration is not None
            and self.listed_subjects >= REQUIRED_LISTS
            and (
                not self.evacuations.is_followed
                or events.Subject.EVACUATIONS in self.listed_subjects
            )
        )

    @property
    def evacuations(self) -> evacuations.Evacuations:
        """Which data centres are evacuated."""
        return self.view.evacuations

    def get_store_availability(self, subject: str) -> StoreAvailability:
        """Returns the store's availability for a subject."""
        return self.store_availability.setdefault(subject, StoreAvailability())

    @property
    def stopping(self) -> bool:
        """Whether a graceful stop is in progress."""
        return self.stop_at is not None

    def expedite_heartbeat(self, *, now: float) -> None:
        """Brings the next heartbeat forward and sends it to all entries."""
        self.next_heartbeat_at = min(
            self.next_heartbeat_at, now + defaults.URGENT_HEARTBEAT_DELAY_S
        )
        self.is_heartbeat_urgent = True

    def find_open_attempt(
        self, request_id: str, number: int
    ) -> tuple[OpenRequest, attempt_states.Attempt] | None:
        """Returns a request and its attempt if that attempt is in progress."""
        opened = self.open_requests.get(request_id)
        if opened is None:
            return None
        for attempt in opened.open_attempts:
            if attempt.number == number:
                return opened, attempt
        return None
