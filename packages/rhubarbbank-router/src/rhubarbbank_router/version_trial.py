"""Tries a new version of a service on a few requests, then on all.

A roll-out order names the target version and how long the move may take. In
the first half a fixed share of affinity keys goes to the target, by hash, so
that all entries agree and sessions stay where they are. After that the share
grows in steps while nothing speaks against the target. Evidence is the
failures and slow answers of both versions, this entry's own and what peers
tell; a `TrialJudge` weighs it after each answer.
"""

import dataclasses
import enum
from typing import Protocol

from rhubarbbank_core import rendezvous
from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes

HASH_RANGE = 2.0**64


class OrderState(enum.StrEnum):
    """What the store says of a roll-out.

    ORDERED: no entry has taken it up. COMPLETED and ROLLED_BACK are final.
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
        service: The service.
        target: The version.
        duration_s: When the move should be over, after the order.
        state: As last recorded.
        revision: Of the record in the store, for conditional changes.
        created_revision: Of the order's record, which a later order for the
            same service may reuse.
    """

    service: str
    target: str
    duration_s: float
    state: OrderState
    revision: int
    created_revision: int

    @property
    def key(self) -> str:
        """Tells orders for one service apart."""
        return f"{self.created_revision}/{self.target}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCounts:
    """Answers of one version: counts that only grow.

    Attributes:
        answers: Attempts that ended with an answer or a failure.
        failures: How many of them failed.
        timed: Attempts whose speed could be told; a stream that is dropped
            after its first event tells nothing of it.
        slow: How many of those were slow.
        paced: Streams whose pace could be told, and whole plain answers.
        dragging: How many of those came clearly slower than usual. Less than
            slow, but load and silence hardly touch it, so that few of them
            tell much.
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
            failed: Whether it failed.
            slow: Whether it was slow.
            timed: Whether its speed could be told.
            dragging: Whether it came clearly slower than usual; None if that
                couldn't be told.
        """
        told = slow or (timed and not failed)
        return AnswerCounts(
            answers=self.answers + 1,
            failures=self.failures + failed,
            timed=self.timed + told,
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
    """Counts of the target and of the version before it."""

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
    """Counts by route: a version may be bad on one route alone.

    Attributes:
        routes: By the route's name.
    """

    routes: dict[str, Comparison] = dataclasses.field(default_factory=dict)

    def plus(self, other: "TrialEvidence") -> "TrialEvidence":
        """Returns the sum of both."""
        total = dict(self.routes)
        for route, found in other.routes.items():
            total[route] = total.get(route, NO_COUNTS).plus(found)
        return TrialEvidence(total)

    @property
    def pooled(self) -> Comparison:
        """The sum over all routes."""
        total = NO_COUNTS
        for found in self.routes.values():
            total = total.plus(found)
        return total


NO_COUNTS = Comparison()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialPlan:
    """How a kind of service moves to a new version.

    Attributes:
        initial_share: Share of affinity keys in the first half.
        steps: The shares after that.
        step_duration_share: How long a step takes, as a share of the roll-out's time.
        drag_tolerance: Rise of the share of dragging answers that is let
            pass.
        doubt_ratio: Likelihood ratio for "worse" from which there is doubt, unless
            the share is small.
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
    doubt_ratio=defaults.TRIAL_HOLD_RATIO,
)
PLAIN_PLAN = TrialPlan(
    initial_share=defaults.PLAIN_TRIAL_SHARE,
    steps=defaults.PLAIN_TRIAL_STEPS,
    step_duration_share=defaults.PLAIN_TRIAL_STEP_SHARE,
    drag_tolerance=defaults.PLAIN_TRIAL_DRAG_TOLERANCE,
    doubt_ratio=defaults.PLAIN_TRIAL_HOLD_RATIO,
)


class TrialJudge(Protocol):
    """Decides whether a target is worse than the version before it."""

    def is_worse(self, evidence: TrialEvidence, *, plan: TrialPlan) -> bool:
        """Returns whether the evidence speaks against the target."""

    def is_doubtful(
        self, evidence: TrialEvidence, *, plan: TrialPlan, share: float
    ) -> bool:
        """Returns whether the target should get no more than its share."""


def hash_to_unit_interval(affinity_key: str, target: str) -> float:
    """Returns a number in [0, 1) that all entries draw alike."""
    return rendezvous.weight(affinity_key, target) / HASH_RANGE


class VersionTrial:
    """One service's roll-out as this entry sees it.

    Attributes:
        order: The operators' order, as last read.
        judge: Decides whether the target is worse.
        plan: How the target's share grows.
        started_at: When the order was first seen, here or by a peer.
        own_evidence: This entry's evidence.
        held: Whether the target gets no new work, for good.
        step: Index into the growing shares; -1 during the first part.
        stepped_at: When the share last grew.
        target_answers: The target's answers that had been seen at the last look.
        target_answers_at_step: How many there were when the share last grew.
        kept_sessions: Marks of sessions that stay on the version before the
            target in the first half, though they would be drawn.
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
        self.held = order.state is OrderState.ROLLED_BACK
        self.step = -1
        self.stepped_at = now
        self.target_answers = 0
        self.target_answers_at_step = 0
        self.kept_sessions: set[name_hashes.NameHash] = set()

    def add_counts(
        self, *, route: str, version: str, counts: AnswerCounts
    ) -> None:
        """Takes an attempt on one of the service's versions."""
        found = Comparison(incumbent=counts)
        if version == self.order.target:
            found = Comparison(target=counts)
        self.own_evidence = self.own_evidence.plus(
            TrialEvidence({route: found})
        )

    @property
    def share(self) -> float:
        """Share of affinity keys that go to the target, 0 to 1."""
        if self.order.state is OrderState.COMPLETED:
            return 1.0
        if self.held:
            return 0.0
        if self.step < 0:
            return self.plan.initial_share
        return max(self.plan.initial_share, self.plan.steps[self.step])

    @property
    def may_move_sessions(self) -> bool:
        """Whether a session may leave its version for the target."""
        return self.step >= 0 or self.order.state is OrderState.COMPLETED

    @property
    def is_finished(self) -> bool:
        """Whether the store holds what the roll-out came to."""
        return self.order.state in FINAL_STATES

    @property
    def has_all_traffic(self) -> bool:
        """Whether all new work goes to the target."""
        return self.share >= 1.0

    def advance(self, evidence: TrialEvidence, *, now: float) -> bool:
        """Moves on by time and evidence; returns whether anything changed.

        Args:
            evidence: Summed over all entries.
            now: In seconds.
        """
        if self.held or self.is_finished:
            return False
        worse = self.judge.is_worse(evidence, plan=self.plan)
        if worse or self.should_stop_in_doubt(evidence, now=now):
            self.held = True
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
        """Returns whether the target's share may grow by the order's time."""
        if self.step < 0:
            half_s = defaults.TRIAL_HALF * self.order.duration_s
            return now - self.started_at >= half_s
        step_s = self.order.duration_s * self.plan.step_duration_share
        return now - self.stepped_at >= step_s

    @property
    def has_enough_answers(self) -> bool:
        """Whether the target has answered at the share that it has.

        What it answered with a smaller one says little of a larger load.
        """
        least = defaults.TRIAL_STEP_ANSWERS
        if self.step < 0:
            least = defaults.TRIAL_MIN_ANSWERS
        return self.target_answers - self.target_answers_at_step >= least

    def set_step(self, step: int, *, now: float) -> None:
        """Lets the target's share grow."""
        self.step = step
        self.stepped_at = now
        self.target_answers_at_step = self.target_answers

    def adopt_step(self, step: int, *, now: float) -> None:
        """Takes over a step that another entry has reached."""
        step = min(step, len(self.plan.steps) - 1)
        if step > self.step and not self.held and not self.is_finished:
            self.set_step(step, now=now)

    def should_stop_in_doubt(
        self, evidence: TrialEvidence, *, now: float
    ) -> bool:
        """Returns whether a doubtful target has had its time or its chances.

        One that is good would be late by then in any case. Once the target
        gets everything, the incumbent's answers are of another time, with
        another load, and doubt isn't enough any more.
        """
        if self.has_all_traffic:
            return False
        target = evidence.pooled.target
        due_s = defaults.TRIAL_GIVE_UP_SHARE * self.order.duration_s
        late = now - self.started_at >= due_s
        many = target.failures + target.slow >= defaults.TRIAL_MAX_BAD_ANSWERS
        if not (late or many):
            return False
        return self.is_doubtful(evidence, share=1.0)

    def is_doubtful(self, evidence: TrialEvidence, *, share: float) -> bool:
        """Returns whether the target should get no more than a share."""
        return self.judge.is_doubtful(evidence, plan=self.plan, share=share)

    def routes_to_target(self, affinity_key: str) -> bool:
        """Returns whether new work with this key goes to the target."""
        return (
            hash_to_unit_interval(affinity_key, self.order.target) < self.share
        )
