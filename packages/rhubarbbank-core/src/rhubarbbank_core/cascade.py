"""Chooses the cheapest plan that meets a quality target.

For each request the entry asks for a plan: run one version, or run a cheap
version first and a stronger one if the cheap answer's rating is low. `observe`
receives the ratings, which may be late, noisy or missing.

For each request class and version there is an exponentially decayed histogram
of ratings for every organisation, and one pooled over all organisations. An
organisation's estimate combines its own histogram with the pooled one as a
prior. The prior weighs more the more similar organisations are, so that an
organisation with few ratings benefits from those of others.

A plan is used only if the lower confidence bound of its quality reaches the
target. Until one does, the strongest (most expensive) version answers all
requests but a bounded share of trials, which run a cheaper version first.
Trials are rated, and the strongest version answers if the rating is low, so a
trial costs money but not quality. When the latest ratings of a version shift
abruptly, the older ones are discarded, for all organisations if the pooled
ratings shift.
"""

import collections.abc
import dataclasses
import math
import random
from typing import Protocol

from rhubarbbank_core import cascade_ratings
from rhubarbbank_core import table


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PricedVersion:
    """A candidate version and the estimated price of one request."""

    key: table.VersionKey
    price: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """How to answer one request.

    Attributes:
        first: The version that answers first.
        then: The stronger version that answers when `first` is rated below
            `threshold`; None when the first answer is final.
        threshold: Lowest rating, in [0, 1], at which the answer of `first`
            is kept.
        wants_rating: Whether the final answer should be rated as well.
        is_trial: Whether the plan tries a cheaper version to learn about it.
        expected_price: Estimated price of the request.
    """

    first: table.VersionKey
    then: table.VersionKey | None = None
    threshold: float = 0.0
    wants_rating: bool = False
    is_trial: bool = False
    expected_price: float = 0.0


class Cascade(Protocol):
    """A policy that chooses plans and may learn from ratings."""

    def choose(
        self,
        *,
        organisation: str,
        request_class: str,
        candidates: collections.abc.Sequence[PricedVersion],
        target: float,
        now: float,
    ) -> Plan:
        """Returns the plan for one request; `candidates` must not be empty."""

    def observe(
        self,
        *,
        organisation: str,
        request_class: str,
        key: table.VersionKey,
        rating: float,
        now: float,
        after: table.VersionKey | None = None,
    ) -> None:
        """Records the rating of one answer, in [0, 1].

        For the second answer of a cascade, `after` is the version whose answer
        was rejected. Such requests are harder than average, so their ratings
        are kept apart.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeSettings:
    """Parameters of `LearningCascade`.

    Attributes:
        confidence_errors: Standard errors between an estimate and its lower
            confidence bound.
        trial_share: Share of requests that run a trial while some version has
            too few ratings.
        steady_trial_share: Share of requests that run a trial once all versions
            have enough ratings.
        min_ratings: Effective number of ratings at which a version has enough.
        rated_share: Share of final answers that should be rated.
        rating_noise: Standard deviation of ratings about the true quality.
            Answers selected for a high rating are discounted by it.
        refresh_s: Time in seconds after which a cached plan is recomputed.
        refresh_ratings: Number of ratings after which it is recomputed.
        max_histograms: Maximum number of histograms, pooled ones included.
    """

    confidence_errors: float = 1.3
    trial_share: float = 0.1
    steady_trial_share: float = 0.01
    min_ratings: float = 300.0
    rated_share: float = 0.2
    rating_noise: float = 0.1
    refresh_s: float = 5.0
    refresh_ratings: int = 20
    max_histograms: int = 20_000


DEFAULT_SETTINGS = CascadeSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class HistogramKey:
    """Identifies a histogram; `organisation` is empty for a pooled one."""

    organisation: str
    request_class: str
    key: table.VersionKey
    after: table.VersionKey | None


@dataclasses.dataclass(slots=True, kw_only=True)
class CachedPlan:
    """The plan last computed for an organisation and request class.

    Attributes:
        plan: The plan for all requests but trials.
        trials: The plans from which trials are chosen.
        has_enough_ratings: Whether all candidates have enough ratings.
        candidates: The candidates for which the plan was computed.
        target: The quality target for which the plan was computed.
        expires_at: Time at which the plan is recomputed.
        ratings_left: Number of ratings until the plan is recomputed.
    """

    plan: Plan
    trials: tuple[Plan, ...]
    has_enough_ratings: bool
    candidates: tuple[PricedVersion, ...]
    target: float
    expires_at: float
    ratings_left: int


class LearningCascade:
    """Chooses plans by rating estimates; see the module docstring."""

    def __init__(
        self,
        *,
        rng: random.Random,
        settings: CascadeSettings = DEFAULT_SETTINGS,
    ) -> None:
        self.rng = rng
        self.settings = settings
        self.histograms: dict[
            HistogramKey, cascade_ratings.RatingHistogram
        ] = {}
        self.organisation_histograms: dict[
            HistogramKey, dict[str, cascade_ratings.RatingHistogram]
        ] = {}
        self.plans: dict[tuple[str, str], CachedPlan] = {}

    def observe(
        self,
        *,
        organisation: str,
        request_class: str,
        key: table.VersionKey,
        rating: float,
        now: float,
        after: table.VersionKey | None = None,
    ) -> None:
        """Records the rating of one answer; see `Cascade.observe`."""
        del now
        clamped = min(1.0, max(0.0, rating))
        own = HistogramKey(organisation, request_class, key, after)
        self.get_or_create_histogram(own).add(clamped)
        pooled_key = dataclasses.replace(own, organisation="")
        if self.get_or_create_histogram(pooled_key).add(clamped):
            for histogram in self.organisation_histograms.get(
                pooled_key, {}
            ).values():
                histogram.clear()
        cached = self.plans.get((organisation, request_class))
        if cached is not None:
            cached.ratings_left -= 1

    def get_or_create_histogram(
        self, histogram_key: HistogramKey
    ) -> cascade_ratings.RatingHistogram:
        """Returns a histogram, creating it if it doesn't exist."""
        histogram = self.histograms.get(histogram_key)
        if histogram is not None:
            return histogram
        if len(self.histograms) >= self.settings.max_histograms:
            # Evicts the oldest; the pooled histogram still has its ratings.
            self.remove_histogram(next(iter(self.histograms)))
        histogram = cascade_ratings.RatingHistogram()
        self.histograms[histogram_key] = histogram
        if histogram_key.organisation:
            pooled_key = dataclasses.replace(histogram_key, organisation="")
            self.organisation_histograms.setdefault(pooled_key, {})[
                histogram_key.organisation
            ] = histogram
        return histogram

    def remove_histogram(self, histogram_key: HistogramKey) -> None:
        """Removes a histogram."""
        del self.histograms[histogram_key]
        pooled_key = dataclasses.replace(histogram_key, organisation="")
        self.organisation_histograms.get(pooled_key, {}).pop(
            histogram_key.organisation, None
        )

    def choose(
        self,
        *,
        organisation: str,
        request_class: str,
        candidates: collections.abc.Sequence[PricedVersion],
        target: float,
        now: float,
    ) -> Plan:
        """Returns the plan for one request; see `Cascade.choose`."""
        key = (organisation, request_class)
        cached = self.plans.get(key)
        offered = tuple(candidates)
        if (
            cached is None
            or cached.ratings_left <= 0
            or now >= cached.expires_at
            or cached.target != target
            or cached.candidates != offered
        ):
            cached = self.compute_plan(
                organisation, request_class, offered, target, now
            )
            self.plans[key] = cached
        share = self.settings.trial_share
        if cached.has_enough_ratings:
            share = self.settings.steady_trial_share
        if cached.trials and self.rng.random() < share:
            return self.rng.choice(cached.trials)
        wants_rating = (
            cached.plan.wants_rating
            or self.rng.random() < self.settings.rated_share
        )
        return dataclasses.replace(cached.plan, wants_rating=wants_rating)

    def compute_plan(
        self,
        organisation: str,
        request_class: str,
        candidates: tuple[PricedVersion, ...],
        target: float,
        now: float,
    ) -> CachedPlan:
        """Returns the plan to use and the trials, to be cached."""
        planner = Planner(
            cascade=self,
            organisation=organisation,
            request_class=request_class,
            target=target,
        )
        ranked = sorted(candidates, key=lambda each: each.price)
        strongest = ranked[-1]
        plan = planner.find_plan(ranked)
        return CachedPlan(
            plan=plan,
            trials=planner.build_trials(ranked[:-1], strongest, plan),
            has_enough_ratings=all(map(planner.has_enough_ratings, ranked)),
            candidates=candidates,
            target=target,
            expires_at=now + self.settings.refresh_s,
            ratings_left=self.settings.refresh_ratings,
        )


class Planner:
    """Finds the plan for an organisation and request class from estimates."""

    def __init__(
        self,
        *,
        cascade: LearningCascade,
        organisation: str,
        request_class: str,
        target: float,
    ) -> None:
        self.histograms = cascade.histograms
        self.organisation_histograms = cascade.organisation_histograms
        self.settings = cascade.settings
        self.organisation = organisation
        self.request_class = request_class
        self.target = target
        self.estimates: dict[table.VersionKey, cascade_ratings.Estimate] = {}

    def find_plan(self, ranked: list[PricedVersion]) -> Plan:
        """Returns the cheapest plan whose lower bound meets the target.

        If there is none, returns the strongest version, or the version with
        the highest lower bound once the strongest has enough ratings.

        Args:
            ranked: The candidates, cheapest first.
        """
        eligible = [
            plan_direct(each)
            for each in ranked
            if self.compute_lower_bound(each.key) >= self.target
        ]
        for index, stronger in enumerate(ranked):
            for cheap in ranked[:index]:
                eligible.extend(self.list_cascades(cheap, stronger))
        if eligible:
            return min(eligible, key=lambda plan: plan.expected_price)
        fallback = ranked[-1]
        if self.has_enough_ratings(fallback):
            fallback = max(
                ranked, key=lambda each: self.compute_lower_bound(each.key)
            )
        return dataclasses.replace(plan_direct(fallback), wants_rating=True)

    def list_cascades(
        self, cheap: PricedVersion, stronger: PricedVersion
    ) -> list[Plan]:
        """Returns the cascade with the lowest threshold that meets the target.

        The list is empty if no threshold does.
        """
        first = self.estimate(cheap.key)
        if first.effective_size <= 1.0:
            return []
        second, second_error = self.estimate_second(
            stronger.key, after=cheap.key
        )
        for option in cascade_ratings.scan_thresholds(
            first, second, self.settings.rating_noise
        ):
            error = math.hypot(
                option.error, option.rejected_share * second_error
            )
            if (
                option.mean - self.settings.confidence_errors * error
                < self.target
            ):
                continue
            price = cheap.price + option.rejected_share * stronger.price
            return [plan_cascade(cheap, stronger, option.threshold, price)]
        return []

    def build_trials(
        self,
        cheaper: list[PricedVersion],
        strongest: PricedVersion,
        plan: Plan,
    ) -> tuple[Plan, ...]:
        """Returns a trial for each cheaper version that needs ratings.

        These are the versions with too few ratings, or else all versions that
        the plan doesn't run first.
        """
        undersampled = [
            each for each in cheaper if not self.has_enough_ratings(each)
        ]
        not_first = [each for each in cheaper if each.key != plan.first]
        return tuple(
            dataclasses.replace(
                plan_cascade(
                    each,
                    strongest,
                    self.target,
                    each.price + strongest.price,
                ),
                wants_rating=True,
                is_trial=True,
            )
            for each in undersampled or not_first
        )

    def has_enough_ratings(self, version: PricedVersion) -> bool:
        """Returns whether a version has enough ratings."""
        return (
            self.estimate(version.key).effective_size
            >= self.settings.min_ratings
        )

    def compute_lower_bound(self, key: table.VersionKey) -> float:
        """Returns the lower confidence bound of a version's mean rating."""
        estimate = self.estimate(key)
        error = cascade_ratings.compute_standard_error(
            estimate.variance, estimate.effective_size
        )
        return estimate.mean - self.settings.confidence_errors * error

    def estimate_second(
        self, key: table.VersionKey, *, after: table.VersionKey
    ) -> tuple[float, float]:
        """Returns the mean and standard error of `key` as second version.

        It answers requests for which the answer of `after` was rejected. While
        few such answers are rated, the mean stays close to the version's mean
        on all requests.
        """
        direct = self.estimate(key)
        after_estimate = self.combine_ratings(key, after)
        size = after_estimate.effective_size + min(
            direct.effective_size, cascade_ratings.RECENT_RATINGS
        )
        mean = direct.mean
        if size > 0.0:
            mean += (
                after_estimate.effective_size
                / size
                * (after_estimate.mean - direct.mean)
            )
        size = max(size, direct.effective_size)
        return mean, cascade_ratings.compute_standard_error(
            direct.variance, size
        )

    def estimate(self, key: table.VersionKey) -> cascade_ratings.Estimate:
        """Returns the cached estimate for a version on all requests."""
        found = self.estimates.get(key)
        if found is None:
            found = self.combine_ratings(key, None)
            self.estimates[key] = found
        return found

    def combine_ratings(
        self, key: table.VersionKey, after: table.VersionKey | None
    ) -> cascade_ratings.Estimate:
        """Returns the estimate with the pooled ratings as a prior.

        An organisation that differs significantly from the pool uses only its
        own ratings.
        """
        pooled_key = HistogramKey("", self.request_class, key, after)
        own_key = dataclasses.replace(
            pooled_key, organisation=self.organisation
        )
        own = self.histograms.get(own_key, cascade_ratings.EMPTY_HISTOGRAM)
        pooled = self.histograms.get(
            pooled_key, cascade_ratings.EMPTY_HISTOGRAM
        )
        prior_weight = min(
            cascade_ratings.compute_prior_weight(
                self.organisation_histograms.get(pooled_key, {}).values()
            ),
            max(0.0, pooled.effective_size - own.effective_size),
        )
        if cascade_ratings.differs_significantly(own, pooled):
            prior_weight = 0.0
        return cascade_ratings.build_estimate(own, pooled, prior_weight)


def plan_direct(version: PricedVersion) -> Plan:
    """Returns the plan that runs a single version."""
    return Plan(first=version.key, expected_price=version.price)


def plan_cascade(
    cheap: PricedVersion,
    stronger: PricedVersion,
    threshold: float,
    expected_price: float,
) -> Plan:
    """Returns the plan that runs a cheap version before a stronger one."""
    return Plan(
        first=cheap.key,
        then=stronger.key,
        threshold=threshold,
        expected_price=expected_price,
    )
