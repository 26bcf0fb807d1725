"""Decides how much new work a new version of a model gets.

Each new version has one judge, which compares it with its incumbent in
batches of evidence aggregated over all entries. `exposure_duty` passes it the
batches and writes the verdict to the status of the version's row. Entries
assign sessions by hash, so that all of them make the same choice.

The share increases in stages. Leaving a stage requires evidence that the
version is not worse than the incumbent by more than the stage's margin.
Evidence of worse ratings, more errors or more slow answers holds the version
immediately and permanently; an operator restarts it with a new judge. From
the last stage on, change detectors look for a later regression. All tests are
anytime-valid (see `sequential_test`), so testing after every batch does not
increase the error probability. The judge uses neither a clock nor random
numbers: the same batches in the same order produce the same state.
"""

import dataclasses
import enum
import math
from typing import Protocol

from rhubarbbank_core import sequential_test
from rhubarbbank_core import table

PER_CENT = 100
HASH_BUCKETS = 10_000
# Fibonacci hashing: an odd multiplier of 2**64 divided by the golden ratio
# mixes the hash before its upper bits select the bucket.
HASH_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1
HASH_SHIFT = 32


class HoldReason(enum.StrEnum):
    """Why a version is held."""

    RATING = "rating"
    ERRORS = "errors"
    SLOW = "slow"
    RATING_CHANGED = "rating_changed"
    ERRORS_CHANGED = "errors_changed"
    SLOW_CHANGED = "slow_changed"


CHANGE_REASONS = {
    HoldReason.RATING: HoldReason.RATING_CHANGED,
    HoldReason.ERRORS: HoldReason.ERRORS_CHANGED,
    HoldReason.SLOW: HoldReason.SLOW_CHANGED,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceBatch:
    """Sums over the requests of one version since the previous batch.

    Attributes:
        key: The version.
        rated: Answers that were rated.
        rating_sum: Sum of their ratings, each in [0, 1].
        rating_square_sum: Sum of the squares of their ratings.
        requests: Requests that ended.
        errors: Requests that failed.
        slow: Requests that exceeded the latency limit.
    """

    key: table.VersionKey
    rated: int = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    requests: int = 0
    errors: int = 0
    slow: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """The version gets `share_per_cent` of new work."""

    share_per_cent: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """The version gets no new work."""

    reason: HoldReason


Verdict = Stage | Hold


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExposureSettings:
    """Tolerances and error probabilities of the judge's tests.

    Attributes:
        shares_per_cent: Share of new work in each stage; the last is 100.
        margins: Decrease in the mean rating that must be ruled out before
            leaving each stage but the last.
        rating_tolerance: Decrease in the mean rating that does not cause a
            hold.
        error_tolerance: Increase in the error rate that does not cause a
            hold.
        slow_tolerance: Increase in the share of slow answers that does not
            cause a hold.
        false_hold_probability: Maximum probability of a false hold in a whole
            rollout.
        false_advance_probability: Maximum probability of leaving a stage
            although the version is worse by the stage's margin.
        change_tolerance: Decrease below the established mean that the change
            detectors tolerate.
        change_log_threshold: Natural logarithm of the alarm threshold, which
            bounds the mean number of batches between false alarms from below.
    """

    shares_per_cent: tuple[int, ...] = (1, 5, 20, 50, 100)
    margins: tuple[float, ...] = (0.2, 0.15, 0.1, 0.07)
    rating_tolerance: float = 0.02
    error_tolerance: float = 0.01
    slow_tolerance: float = 0.03
    false_hold_probability: float = 0.01
    false_advance_probability: float = 0.05
    change_tolerance: float = 0.02
    change_log_threshold: float = math.log(1e6)


DEFAULT_SETTINGS = ExposureSettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """Tallies of one version; a success or a timely answer counts as 1.

    Attributes:
        ratings: Tally of the ratings.
        successes: Tally of requests, 1 for each without an error.
        timely: Tally of requests, 1 for each within the latency limit.
    """

    ratings: sequential_test.Tally = sequential_test.EMPTY_TALLY
    successes: sequential_test.Tally = sequential_test.EMPTY_TALLY
    timely: sequential_test.Tally = sequential_test.EMPTY_TALLY

    def add(self, batch: EvidenceBatch) -> "Measures":
        """Returns the measures including one more batch."""
        successes = batch.requests - batch.errors
        timely = batch.requests - batch.slow
        return Measures(
            ratings=self.ratings.add(
                count=batch.rated,
                total=batch.rating_sum,
                square_total=batch.rating_square_sum,
            ),
            successes=self.successes.add(
                count=batch.requests, total=successes, square_total=successes
            ),
            timely=self.timely.add(
                count=batch.requests, total=timely, square_total=timely
            ),
        )


EMPTY_MEASURES = Measures()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeDetectors:
    """The change detectors of a version in the last stage.

    Attributes:
        rated: Number of rated answers when the levels were last set.
        ratings: Detects a decrease in the mean rating.
        successes: Detects a decrease in the share of successful requests.
        timely: Detects a decrease in the share of requests within the
            latency limit.
    """

    rated: int
    ratings: sequential_test.ChangeDetector
    successes: sequential_test.ChangeDetector
    timely: sequential_test.ChangeDetector

    def add(self, batch: EvidenceBatch) -> "ChangeDetectors":
        """Returns the detectors including one more batch."""
        successes = batch.requests - batch.errors
        timely = batch.requests - batch.slow
        return ChangeDetectors(
            rated=self.rated,
            ratings=self.ratings.add(
                count=batch.rated,
                total=batch.rating_sum,
                square_total=batch.rating_square_sum,
            ),
            successes=self.successes.add(
                count=batch.requests, total=successes, square_total=successes
            ),
            timely=self.timely.add(
                count=batch.requests, total=timely, square_total=timely
            ),
        )

    def raise_levels(self, other: "ChangeDetectors") -> "ChangeDetectors":
        """Returns these detectors, each with the higher of the two levels.

        Sums accumulated against a lower level remain valid evidence against
        a higher one.
        """
        return ChangeDetectors(
            rated=other.rated,
            ratings=self.ratings.raise_level(other.ratings.level),
            successes=self.successes.raise_level(other.successes.level),
            timely=self.timely.raise_level(other.timely.level),
        )

    def find_change(self) -> HoldReason | None:
        """Returns the measure that has become worse, or None."""
        if self.ratings.alarmed:
            return HoldReason.RATING_CHANGED
        if self.successes.alarmed:
            return HoldReason.ERRORS_CHANGED
        if self.timely.alarmed:
            return HoldReason.SLOW_CHANGED
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExposureState:
    """The state of a judge, from which a new judge can continue.

    Attributes:
        stage: Index of the stage.
        held: Why the version is held, or None if it is not.
        new: Measures of the new version.
        incumbent: Measures of the incumbent.
        detectors: Change detectors; None until they are started.
    """

    stage: int = 0
    held: HoldReason | None = None
    new: Measures = EMPTY_MEASURES
    incumbent: Measures = EMPTY_MEASURES
    detectors: ChangeDetectors | None = None


EMPTY_STATE = ExposureState()


class Exposure(Protocol):
    """Judges one new version."""

    def fold(self, batch: EvidenceBatch) -> None:
        """Adds one batch of the new version or the incumbent."""

    def verdict(self) -> Verdict:
        """Returns the version's current stage, or its hold."""


class ExposureJudge:
    """Advances or holds a version by anytime-valid tests.

    Attributes:
        key: The new version.
        incumbent: The version that it replaces.
        settings: Stages, tolerances and error probabilities.
        state: The result of all batches so far.
    """

    def __init__(
        self,
        *,
        key: table.VersionKey,
        incumbent: table.VersionKey,
        settings: ExposureSettings = DEFAULT_SETTINGS,
        state: ExposureState = EMPTY_STATE,
    ) -> None:
        self.key = key
        self.incumbent = incumbent
        self.settings = settings
        self.state = state

    def fold(self, batch: EvidenceBatch) -> None:
        """Adds one batch; a batch of any other version is ignored."""
        if batch.key == self.incumbent:
            # It takes effect with the next batch of the new version.
            self.state = dataclasses.replace(
                self.state, incumbent=self.state.incumbent.add(batch)
            )
        elif batch.key == self.key:
            self.add_new_batch(batch)
            self.evaluate()

    def verdict(self) -> Verdict:
        """Returns the version's current stage, or its hold."""
        if self.state.held is not None:
            return Hold(reason=self.state.held)
        shares = self.settings.shares_per_cent
        return Stage(share_per_cent=shares[self.state.stage])

    def add_new_batch(self, batch: EvidenceBatch) -> None:
        """Adds one batch of the new version."""
        state = self.state
        detectors = state.detectors.add(batch) if state.detectors else None
        self.state = dataclasses.replace(
            state, new=state.new.add(batch), detectors=detectors
        )
        # The levels are recomputed each time the number of ratings doubles.
        if detectors and self.state.new.ratings.count >= 2 * detectors.rated:
            self.state = dataclasses.replace(
                self.state,
                detectors=detectors.raise_levels(self.start_detectors()),
            )

    def evaluate(self) -> None:
        """Holds the version or advances its stage, if a test allows it."""
        if self.state.held is not None:
            return
        reason = self.find_regression()
        if reason is None and self.state.detectors is not None:
            reason = self.state.detectors.find_change()
        if reason is not None:
            self.state = dataclasses.replace(self.state, held=reason)
            return
        if self.is_margin_ruled_out():
            self.advance_stage()

    def find_regression(self) -> HoldReason | None:
        """Returns the measure in which the new version is worse, or None."""
        settings = self.settings
        new, old = self.state.new, self.state.incumbent
        comparisons = (
            (
                HoldReason.RATING,
                new.ratings,
                old.ratings,
                settings.rating_tolerance,
            ),
            (
                HoldReason.ERRORS,
                new.successes,
                old.successes,
                settings.error_tolerance,
            ),
            (HoldReason.SLOW, new.timely, old.timely, settings.slow_tolerance),
        )
        limit = math.log(len(comparisons) / settings.false_hold_probability)
        for reason, new_tally, incumbent_tally, tolerance in comparisons:
            log_e = sequential_test.log_e_worse(
                new=new_tally, incumbent=incumbent_tally, tolerance=tolerance
            )
            if log_e >= limit:
                return reason
        return None

    def is_margin_ruled_out(self) -> bool:
        """Returns whether a loss of this stage's margin is ruled out."""
        stage = self.state.stage
        if stage >= len(self.settings.margins):
            return False
        log_e = sequential_test.log_e_not_worse(
            new=self.state.new.ratings,
            incumbent=self.state.incumbent.ratings,
            margin=self.settings.margins[stage],
        )
        return log_e >= -math.log(self.settings.false_advance_probability)

    def advance_stage(self) -> None:
        """Advances to the next stage; the last one starts the detectors."""
        stage = self.state.stage + 1
        detectors = self.state.detectors
        if stage == len(self.settings.shares_per_cent) - 1:
            detectors = self.start_detectors()
        self.state = dataclasses.replace(
            self.state, stage=stage, detectors=detectors
        )

    def start_detectors(self) -> ChangeDetectors:
        """Returns new detectors with levels from the current tallies."""
        new = self.state.new
        return ChangeDetectors(
            rated=new.ratings.count,
            ratings=self.start_detector(new.ratings),
            successes=self.start_detector(new.successes),
            timely=self.start_detector(new.timely),
        )

    def start_detector(
        self, tally: sequential_test.Tally
    ) -> sequential_test.ChangeDetector:
        """Returns a detector set below the mean's lower confidence bound.

        The difference is `change_tolerance`.
        """
        bound = sequential_test.lower_bound(
            tally, alpha=self.settings.false_hold_probability
        )
        return sequential_test.ChangeDetector(
            level=max(0.0, bound - self.settings.change_tolerance),
            log_threshold=self.settings.change_log_threshold,
        )


def assign(*, request_hash: int, share_per_cent: float) -> bool:
    """Returns whether a session or request goes to the new version.

    The result is the same on every entry. A session that is assigned at one
    share stays assigned at every larger share.

    Args:
        request_hash: A 64-bit hash of the session or the request.
        share_per_cent: The share from the verdict, 0 to 100.
    """
    mixed_hash = (request_hash * HASH_MULTIPLIER) & HASH_MASK
    bucket = ((mixed_hash >> HASH_SHIFT) * HASH_BUCKETS) >> HASH_SHIFT
    return bucket < share_per_cent * (HASH_BUCKETS / PER_CENT)
