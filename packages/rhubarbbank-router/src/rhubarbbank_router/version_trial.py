"""Gradual roll-out of a new service version (a canary release).

A roll-out order names the target version and how long the roll-out may take.
In the first half, a fixed share of affinity keys is routed to the target. Keys
are selected by hash, so that all entries agree and sessions keep their
version. In the second half the share grows in steps unless the evidence
indicates that the target is worse. The evidence counts failures and slow
answers of both versions, at this entry and at its peers; a `TrialJudge`
evaluates it each time the trial advances.
"""

import dataclasses
import enum
from typing import Protocol

from rhubarbbank_core import rendezvous
from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes
from rhubarbbank_router import store_position

HASH_RANGE = 2.0**64


class OrderState(enum.StrEnum):
    """State of a roll-out, as recorded in the store.

    ORDERED: no entry has started it yet. COMPLETED and ROLLED_BACK are final.
    """

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


FINAL_STATES = frozenset((OrderState.COMPLETED, OrderState.ROLLED_BACK))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: The service's name.
        target: The version to move to.
        duration_s: Time from the order until the roll-out should be complete.
        state: The state that was last recorded.
        revision: Revision of the record in the store, for conditional writes.
        created_revision: Revision at which the record was created. A later
            order for the same service may reuse the record.
        era: The store's era in which the record was read.
    """

    service: str
    target: str
    duration_s: float
    state: OrderState
    revision: int
    created_revision: int
    era: int = 0

    @property
    def key(self) -> str:
        """Identifies the order among those for the same service."""
        return f"{self.created_revision}/{self.target}"

    @property
    def position(self) -> store_position.StorePosition:
        """The store's position at which the record was last written."""
        return store_position.StorePosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCounts:
    """Cumulative counts of one version's answers.

    Attributes:
        answers: Attempts that ended with an answer or a failure.
        failures: Failed attempts.
        timed: Attempts whose latency is known. It is unknown for a stream
            that is dropped after its first event.
        slow: Timed attempts that were slow.
        paced: Streams whose event rate is known, and complete answers of
            plain services.
        dragging: Paced attempts that were clearly slower than usual. The
            threshold is lower than for `slow`, but load and pauses hardly
            affect the measure, so that a few of them are significant.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    paced: int = 0
    dragging: int = 0

    def add(
        self,
        *,
        failed: bool,
        slow: bool = False,
        timed: bool = True,
        dragging: bool | None = None,
    ) -> "AnswerCounts":
        """Returns the counts with one more attempt.

        Args:
            failed: Whether the attempt failed.
            slow: Whether it was slow.
            timed: Whether its latency is known.
            dragging: Whether it was clearly slower than usual; None if that
                is unknown.
        """
        counts_as_timed = slow or (timed and not failed)
        return AnswerCounts(
            answers=self.answers + 1,
            failures=self.failures + failed,
            timed=self.timed + counts_as_timed,
            slow=self.slow + slow,
            paced=self.paced + (dragging is not None),
            dragging=self.dragging + bool(dragging),
        )

    def plus(self, other: "AnswerCounts") -> "AnswerCounts":
        """Returns the sum of both."""
        return AnswerCounts(
            answers=self.answers + other.answers,
            failures=self.failures + other.failures,
            timed=self.timed + other.timed,
            slow=self.slow + other.slow,
            paced=self.paced + other.paced,
            dragging=self.dragging + other.dragging,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """Counts of the target and of the version that it replaces."""

    target: AnswerCounts = AnswerCounts()
    incumbent: AnswerCounts = AnswerCounts()

    def plus(self, other: "Comparison") -> "Comparison":
        """Returns the sum of both."""
        return Comparison(
            target=self.target.plus(other.target),
            incumbent=self.incumbent.plus(other.incumbent),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TrialEvidence:
    """Counts by route, since a version may be bad on a single route.

    Attributes:
        routes: Counts of both versions, by the route's name.
    """

    routes: dict[str, Comparison] = dataclasses.field(default_factory=dict)

    def plus(self, other: "TrialEvidence") -> "TrialEvidence":
        """Returns the sum of both."""
        total = dict(self.routes)
        for route, comparison in other.routes.items():
            total[route] = total.get(route, NO_COUNTS).plus(comparison)
        return TrialEvidence(total)

    @property
    def pooled(self) -> Comparison:
        """The sum over all routes."""
        total = NO_COUNTS
        for comparison in self.routes.values():
            total = total.plus(comparison)
        return total


NO_COUNTS = Comparison()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialPlan:
    """Parameters of a roll-out, which depend on the kind of service.

    Attributes:
        initial_share: Share of affinity keys in the first half.
        steps: Shares in the second half, in ascending order.
        step_duration_share: Minimum duration of a step, as a share of the
            roll-out's duration.
        drag_tolerance: Tolerated increase of the share of dragging answers.
        doubt_ratio: Likelihood ratio for "worse" above which the target is
            doubtful, unless its share is small.
    """

    initial_share: float
    steps: tuple[float, ...]
    step_duration_share: float
    drag_tolerance: float
    doubt_ratio: float


STREAM_PLAN = TrialPlan(
    initial_share=defaults.TRIAL_SHARE,
    steps=defaults.TRIAL_STEPS,
    step_duration_share=defaults.TRIAL_STEP_SHARE,
    drag_tolerance=defaults.TRIAL_DRAG_TOLERANCE,
    doubt_ratio=defaults.TRIAL_DOUBT_RATIO,
)
PLAIN_PLAN = TrialPlan(
    initial_share=defaults.PLAIN_TRIAL_SHARE,
    steps=defaults.PLAIN_TRIAL_STEPS,
    step_duration_share=defaults.PLAIN_TRIAL_STEP_SHARE,
    drag_tolerance=defaults.PLAIN_TRIAL_DRAG_TOLERANCE,
    doubt_ratio=defaults.PLAIN_TRIAL_DOUBT_RATIO,
)


class TrialJudge(Protocol):
    """Decides whether the target is worse than the incumbent version."""

    def is_worse(self, evidence: TrialEvidence, *, plan: TrialPlan) -> bool:
        """Returns whether the evidence shows that the target is worse."""

    def is_doubtful(
        self, evidence: TrialEvidence, *, plan: TrialPlan, share: float
    ) -> bool:
        """Returns whether the target's share should not grow."""


def hash_to_unit_interval(affinity_key: str, target: str) -> float:
    """Returns a number in [0, 1), the same one at all entries."""
    return rendezvous.compute_weight(affinity_key, target) / HASH_RANGE


class VersionTrial:
    """State of one service's roll-out at this entry.

    Attributes:
        order: The operator's order, as last read from the store.
        judge: Decides whether the target is worse.
        plan: Parameters of the roll-out.
        started_at: When the order was first seen, here or by a peer.
        own_evidence: Counts of the attempts of this entry.
        held: Whether the target was rejected. It gets no new requests; sessions
            stay on it until the outcome is recorded (see `keeps_sessions`).
        held_at: When that became known here; None if it isn't held.
        step: Index into the plan's steps; -1 during the first half.
        stepped_at: When the share last grew.
        target_answers: Answers of the target at all entries, as of the last
            call of `advance`.
        target_answers_at_step: The same when the share last grew.
        awaits_report: Whether the roll-out had begun when this entry started,
            and no other entry has reported on it yet.
        kept_sessions: Hashes of sessions that stay on the incumbent in the
            first half although the hash of their key selects the target.
    """

    def __init__(
        self,
        *,
        order: RolloutOrder,
        judge: TrialJudge,
        plan: TrialPlan = STREAM_PLAN,
        now: float,
    ) -> None:
        self.order = order
        self.plan = plan
        self.judge = judge
        self.started_at = now
        self.own_evidence = TrialEvidence()
        self.held = False
        self.held_at: float | None = None
        if order.state is OrderState.ROLLED_BACK:
            self.hold(now=now)
        self.step = -1
        self.stepped_at = now
        self.target_answers = 0
        self.target_answers_at_step = 0
        self.awaits_report = False
        self.kept_sessions: set[name_hashes.NameHash] = set()

    def add_counts(
        self, *, route: str, version: str, counts: AnswerCounts
    ) -> None:
        """Adds counts of attempts on one of the service's versions."""
        comparison = Comparison(incumbent=counts)
        if version == self.order.target:
            comparison = Comparison(target=counts)
        self.own_evidence = self.own_evidence.plus(
            TrialEvidence({route: comparison})
        )

    def hold(self, *, now: float) -> None:
        """Rejects the target."""
        if not self.held:
            self.held = True
            self.held_at = now

    def release(self) -> None:
        """Ends a hold."""
        self.held = False
        self.held_at = None

    def keeps_sessions(self, *, now: float) -> bool:
        """Returns whether sessions stay on a target that is held.

        The target may be good, as long as it isn't rolled back. If no entry
        can record that for some seconds, the target is more likely to be bad.
        """
        if not self.held or self.held_at is None or self.is_finished:
            return False
        return now - self.held_at < defaults.HELD_SESSIONS_S

    @property
    def share(self) -> float:
        """Share of affinity keys that are routed to the target, 0 to 1."""
        if self.order.state is OrderState.COMPLETED:
            return 1.0
        return 0.0 if self.held else self.session_share

    @property
    def session_share(self) -> float:
        """The share that sessions were routed by, also if it is held."""
        if self.order.state is OrderState.COMPLETED:
            return 1.0
        if self.step < 0:
            return self.plan.initial_share
        return max(self.plan.initial_share, self.plan.steps[self.step])

    @property
    def may_move_sessions(self) -> bool:
        """Whether a running session may be moved to the target."""
        return self.step >= 0 or self.order.state is OrderState.COMPLETED

    @property
    def is_finished(self) -> bool:
        """Whether a final state is recorded in the store."""
        return self.order.state in FINAL_STATES

    @property
    def has_all_traffic(self) -> bool:
        """Whether all new requests are routed to the target."""
        return self.share >= 1.0

    def advance(self, evidence: TrialEvidence, *, now: float) -> bool:
        """Updates the target's share; returns whether it changed.

        Args:
            evidence: Counts summed over all entries.
            now: Current time in seconds.
        """
        if self.held or self.is_finished:
            return False
        is_worse = self.judge.is_worse(evidence, plan=self.plan)
        if is_worse or self.should_stop_in_doubt(evidence, now=now):
            self.hold(now=now)
            return True
        self.target_answers = evidence.pooled.target.answers
        if self.step + 1 >= len(self.plan.steps):
            return False
        if not (self.is_step_due(now=now) and self.has_enough_answers):
            return False
        if self.is_doubtful(evidence, share=self.share):
            return False
        self.set_step(self.step + 1, now=now)
        return True

    def is_step_due(self, *, now: float) -> bool:
        """Returns whether the schedule allows the target's share to grow."""
        if self.step < 0:
            half_s = defaults.TRIAL_HALF * self.order.duration_s
            return now - self.started_at >= half_s
        step_s = self.order.duration_s * self.plan.step_duration_share
        return now - self.stepped_at >= step_s

    @property
    def has_enough_answers(self) -> bool:
        """Whether the target gave enough answers at its current share.

        Answers at a smaller share say little about a larger load.
        """
        required = defaults.TRIAL_STEP_ANSWERS
        if self.step < 0:
            required = defaults.TRIAL_MIN_ANSWERS
        return self.target_answers - self.target_answers_at_step >= required

    def keep_outcome(self, *, now: float) -> None:
        """Keeps the outcome if the store has lost the record of it."""
        if self.order.state is OrderState.ROLLED_BACK:
            self.hold(now=now)
        if self.order.state is OrderState.COMPLETED:
            self.step = len(self.plan.steps) - 1

    def set_step(self, step: int, *, now: float) -> None:
        """Sets the target's share to that of a step."""
        self.step = step
        self.stepped_at = now
        self.target_answers_at_step = self.target_answers

    def adopt_step(self, step: int, *, now: float) -> None:
        """Advances to a step that another entry has reached."""
        step = min(step, len(self.plan.steps) - 1)
        if step > self.step and not self.held and not self.is_finished:
            self.set_step(step, now=now)

    def should_stop_in_doubt(
        self, evidence: TrialEvidence, *, now: float
    ) -> bool:
        """Returns whether to give up a target that is still doubtful.

        This happens late in the roll-out, when even a good target would no
        longer complete in time, or after too many bad answers. Once the target
        gets all requests, doubt isn't enough: the incumbent's answers date
        from an earlier time with another load.
        """
        if self.has_all_traffic:
            return False
        target = evidence.pooled.target
        due_s = defaults.TRIAL_GIVE_UP_SHARE * self.order.duration_s
        is_late = now - self.started_at >= due_s
        too_many_bad = (
            target.failures + target.slow >= defaults.TRIAL_MAX_BAD_ANSWERS
        )
        if not (is_late or too_many_bad):
            return False
        return self.is_doubtful(evidence, share=1.0)

    def is_doubtful(self, evidence: TrialEvidence, *, share: float) -> bool:
        """Returns whether the target's share should not exceed `share`."""
        return self.judge.is_doubtful(evidence, plan=self.plan, share=share)

    def routes_to_target(self, affinity_key: str) -> bool:
        """Returns whether new requests with this key go to the target."""
        return self.is_selected(affinity_key, share=self.share)

    def routes_session_to_target(self, affinity_key: str) -> bool:
        """Returns whether sessions with this key run on the target."""
        return self.is_selected(affinity_key, share=self.session_share)

    def is_selected(self, affinity_key: str, *, share: float) -> bool:
        """Returns whether a key is among a share of all keys."""
        return hash_to_unit_interval(affinity_key, self.order.target) < share
