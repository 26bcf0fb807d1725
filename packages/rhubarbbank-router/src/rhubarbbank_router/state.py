"""What the router's passes over a request share.

    intake --> dispatch <--> answers
                  ^             |
                  +--- watch ---+

`intake` checks a request, `dispatch` sends it to an upstream, `answer_heads`
and `answers` take what comes back, and `watch` ends what takes too long.
"""

import dataclasses
import random

from rhubarbbank_core import placement
from rhubarbbank_router import attempt_states
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import engine_work
from rhubarbbank_router import events
from rhubarbbank_router import freshness_proof
from rhubarbbank_router import options
from rhubarbbank_router import peer_work
from rhubarbbank_router import peers
from rhubarbbank_router import prefix_memory
from rhubarbbank_router import route_match
from rhubarbbank_router import session_pins
from rhubarbbank_router import size_plan
from rhubarbbank_router import store_relay
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial
from rhubarbbank_router import window_budget

LISTS_NEEDED = frozenset((events.Subject.UPSTREAMS, events.Subject.ROLLOUTS))


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenRequest:
    """A request that has no final answer yet.

    Attributes:
        request: As it came.
        route: Its route when it came.
        service: The route's service that it was given to.
        organisation: The customer; empty on a public route.
        priority: 0 is the most urgent.
        fingerprint: The same for each sending of the same request.
        arrived_at: When it came, in seconds.
        ends_at: When it must have its final answer.
        attempts: All sendings, oldest first.
        model: The model that the router chose; empty where the request
            names its own.
        begun: Whether the caller has received a part of the answer.
        version: Version of the upstream whose answer has begun.
        last_event_id: Id of the last event passed on.
        first_event_at: When the caller's first event was passed on.
        last_event_at: When the last one was.
        longest_pause_s: Longest time between two of them.
        excluded: Upstreams that an attempt failed on.
    """

    request: callers.IncomingRequest
    route: configuration.Route
    service: str
    organisation: str
    priority: int
    fingerprint: str
    arrived_at: float
    ends_at: float
    attempts: list[attempt_states.Attempt] = dataclasses.field(
        default_factory=list
    )
    model: str = ""
    begun: bool = False
    version: str = ""
    last_event_id: str = ""
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def current(self) -> attempt_states.Attempt | None:
        """The attempt that is under way, or None."""
        if self.attempts and self.attempts[-1].open:
            return self.attempts[-1]
        return None

    def note_event(self, *, now: float) -> None:
        """Notes that an event is passed on."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.route.kind is configuration.RouteKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that waits until the entry knows enough to serve it."""

    request: callers.IncomingRequest
    arrived_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreContact:
    """When the store was last heard of, for one subject.

    Attributes:
        answered_at: When it last answered.
        failed_at: When a call last failed.
        regained_at: When it last answered after a failure.
    """

    answered_at: float | None = None
    failed_at: float | None = None
    regained_at: float | None = None

    @property
    def is_away(self) -> bool:
        """Whether the last call failed."""
        if self.failed_at is None:
            return False
        return self.answered_at is None or self.answered_at < self.failed_at

    def was_regained_within(self, period_s: float, *, now: float) -> bool:
        """Returns whether it is away, or was so until lately."""
        if self.is_away:
            return True
        return (
            self.regained_at is not None and now - self.regained_at < period_s
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class RouterState:
    """Everything that the router knows.

    Attributes:
        settings: Of this entry.
        incarnation: Unix time of the start, in nanoseconds.
        rng: Its randomness.
        placer: Chooses among upstreams.
        sizes: Chooses among models.
        judge: Judges new versions.
        budget: For sending requests more than once.
        proof: Proves how old the configuration can be.
        in_force: The configuration; None before the first.
        routes: Its routes, for look-up.
        view: What is believed of upstreams.
        prefixes: Which upstream keeps which part of a prompt.
        speeds: How fast models read prompts.
        open: Open requests by id.
        sessions: The version of each session's last request.
        trials: Roll-outs by service.
        settled: Versions of each service that need no trial.
        recording: Services whose roll-out is being recorded, with the time.
        entries: The other entries.
        suspects: Requests that may crash upstreams.
        relay: This entry's part in reading the store.
        others: What the other entries have at upstreams.
        contacts: When the store was last heard of, by subject.
        started_at: When the first event came; None before.
        held: Requests that came while the entry knew too little, with the
            time at which they came.
        listed: Subjects of which a whole list has been read.
        stop_at: When the process was asked to stop; None while it isn't.
        exiting: Whether the process has been told that it may end.
        news_at: When the next heartbeat is due.
        far_news_at: When the next one to other data centres is.
        carries_from: From when on it may carry heartbeats for others.
        carrier_rank: Its place among its data centre's carriers, from 0; None
            while it is none.
        is_news_pressing: Whether the next one goes to all entries directly.
        loads_at: When peers nearby are told of new work; None while they
            know of all that matters.
    """

    settings: options.RouterSettings
    incarnation: int
    rng: random.Random
    placer: placement.Placement
    sizes: size_plan.SizePlan
    judge: version_trial.TrialJudge
    budget: window_budget.WindowBudget
    proof: freshness_proof.FreshnessProof
    entries: peers.PeerTable
    relay: store_relay.StoreRelay
    suspects: crash_suspects.CrashSuspects
    in_force: configuration.Configuration | None = None
    routes: route_match.RouteIndex = dataclasses.field(
        default_factory=lambda: route_match.RouteIndex(routes=())
    )
    others: peer_work.PeerWork = dataclasses.field(
        default_factory=peer_work.PeerWork
    )
    view: upstreams.UpstreamView = dataclasses.field(
        default_factory=upstreams.UpstreamView
    )
    prefixes: prefix_memory.PrefixMemory = dataclasses.field(
        default_factory=prefix_memory.PrefixMemory
    )
    speeds: engine_work.PrefillSpeeds = dataclasses.field(
        default_factory=engine_work.PrefillSpeeds
    )
    open: dict[str, OpenRequest] = dataclasses.field(default_factory=dict)
    sessions: session_pins.SessionPins = dataclasses.field(
        default_factory=session_pins.SessionPins
    )
    trials: dict[str, version_trial.VersionTrial] = dataclasses.field(
        default_factory=dict
    )
    settled: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    recording: dict[str, float] = dataclasses.field(default_factory=dict)
    contacts: dict[str, StoreContact] = dataclasses.field(default_factory=dict)
    started_at: float | None = None
    held: dict[str, HeldRequest] = dataclasses.field(default_factory=dict)
    listed: set[str] = dataclasses.field(default_factory=set)
    stop_at: float | None = None
    exiting: bool = False
    news_at: float = 0.0
    far_news_at: float = 0.0
    carries_from: float = 0.0
    carrier_rank: int | None = None
    is_news_pressing: bool = False
    loads_at: float | None = None

    @property
    def is_informed(self) -> bool:
        """Whether enough has been read to serve requests."""
        return self.in_force is not None and self.listed >= LISTS_NEEDED

    def contact(self, subject: str) -> StoreContact:
        """Returns when the store was last heard of for a subject."""
        return self.contacts.setdefault(subject, StoreContact())

    @property
    def stopping(self) -> bool:
        """Whether the process was asked to stop."""
        return self.stop_at is not None

    def press_news(self, *, now: float) -> None:
        """Has all entries told very soon, also in other data centres."""
        self.news_at = min(self.news_at, now + defaults.URGENT_NEWS_DELAY_S)
        self.is_news_pressing = True

    def find_open(
        self, request_id: str, number: int
    ) -> tuple[OpenRequest, attempt_states.Attempt] | None:
        """Returns the request and its attempt if that one is under way."""
        opened = self.open.get(request_id)
        if opened is None:
            return None
        attempt = opened.current
        if attempt is None or attempt.number != number:
            return None
        return opened, attempt
