"""The arms of the mix experiment: the product's decisions, and baselines.

An arm says how routers are built. The first one is the product as it stands;
each other differs by one decision.
"""

import collections.abc
import dataclasses
import enum
import math
import random

from rhubarbbank_core import placement
from rhubarbbank_core import placement_baselines
from rhubarbbank_router import defaults
from rhubarbbank_router import options
from rhubarbbank_router import router
from rhubarbbank_router import size_policy
from rhubarbbank_router import work_placement

# Work that a reported request of another entry is taken to have: a third of
# the usual time to read a prompt.
OTHER_WORK_S = 0.06

PlacementMaker = collections.abc.Callable[[random.Random], placement.Placement]


def place_by_work(rng: random.Random) -> placement.Placement:
    """Returns the product's placement."""
    return work_placement.WorkPlacement(rng=rng)


def place_without_home(rng: random.Random) -> placement.Placement:
    """Returns the product's placement without a preferred upstream."""
    return work_placement.WorkPlacement(rng=rng, affinity_credit_s=0.0)


def place_in_turn(rng: random.Random) -> placement.Placement:
    """Returns round robin, begun anywhere."""
    placer = placement_baselines.RoundRobinPlacement()
    placer.turn = rng.randrange(1000)
    return placer


def place_by_count(rng: random.Random) -> placement.Placement:
    """Returns placement by the entry's own open requests."""
    return placement_baselines.LeastOwnInFlightPlacement(rng=rng)


def place_by_report(rng: random.Random) -> placement.Placement:
    """Returns placement by the upstreams' last reports alone."""
    return placement_baselines.LeastReportedLoadPlacement(rng=rng)


class AdjustedPlacement:
    """The product's placement, with other beliefs of each upstream.

    Attributes:
        placer: The product's.
        adjust: Returns what to believe in place of what the entry does.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        adjust: collections.abc.Callable[
            [placement.Candidate], placement.Candidate
        ],
    ) -> None:
        self.placer = work_placement.WorkPlacement(rng=rng)
        self.adjust = adjust

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[placement.Candidate],
        request: placement.PlacementRequest,
    ) -> placement.PlacementDecision | None:
        """Returns the choice, or None when no candidate may be used."""
        return self.placer.choose(
            candidates=[self.adjust(each) for each in candidates],
            request=request,
        )


def forget_distance(candidate: placement.Candidate) -> placement.Candidate:
    """Returns an upstream as if it stood in the entry's data centre."""
    return dataclasses.replace(candidate, latency_ms=0.0)


def add_reported_work(candidate: placement.Candidate) -> placement.Candidate:
    """Returns an upstream with the work that its report shows of others.

    Reports count for less with their age, so that an upstream which hasn't
    answered lately looks empty.
    """
    weight = math.exp(-candidate.report_age_s / defaults.REPORT_DECAY_S)
    others = placement.count_peer_requests(candidate)
    return dataclasses.replace(
        candidate,
        backlog_s=candidate.backlog_s + others * OTHER_WORK_S * weight,
    )


def place_with_reports(rng: random.Random) -> placement.Placement:
    """Returns the product's placement that believes in others' work."""
    return AdjustedPlacement(rng=rng, adjust=add_reported_work)


def place_anywhere(rng: random.Random) -> placement.Placement:
    """Returns the product's placement, with all data centres alike."""
    return AdjustedPlacement(rng=rng, adjust=forget_distance)


class SmallestOnly:
    """Asks the smallest model and keeps its answer, however unsure."""

    def choose_first(self, context: size_policy.SizeContext) -> str:
        """Returns the smallest model."""
        return context.sizes[0]

    def step_up(
        self, context: size_policy.SizeContext, *, model: str, confidence: int
    ) -> str | None:
        """Returns None: the answer is kept."""
        del context, model, confidence
        return None


class Telling(enum.StrEnum):
    """What entries tell one another of their work.

    NOTHING. HEARTBEATS: with each heartbeat. AT_ONCE: long work besides, as
    soon as it is placed.
    """

    NOTHING = "nothing"
    HEARTBEATS = "heartbeats"
    AT_ONCE = "at_once"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arm:
    """How the routers of one arm decide.

    Attributes:
        name: The arm.
        sizes: The plan of sizes.
        place: Makes an entry's placement.
        telling: What the entries hear of one another's work.
    """

    name: str
    sizes: size_policy.SizePolicy = dataclasses.field(
        default_factory=size_policy.SmallestThenLargest
    )
    place: PlacementMaker = place_by_work
    telling: Telling = Telling.AT_ONCE

    def build(
        self, *, settings: options.RouterSettings, number: int, seed: int
    ) -> router.Router:
        """Returns the router of one entry."""
        rng = random.Random(f"{seed}/{number}")
        return router.Router(
            settings=settings,
            incarnation=number + 1,
            rng=rng,
            sizing_policy=self.sizes,
            placer=self.place(rng),
        )


PRODUCT = Arm(name="product")
ARMS = (
    PRODUCT,
    Arm(name="largest_only", sizes=size_policy.LargestOnly()),
    Arm(name="smallest_only", sizes=SmallestOnly()),
    Arm(name="in_turn", place=place_in_turn),
    Arm(name="by_count", place=place_by_count),
    Arm(name="by_report", place=place_by_report),
    Arm(name="no_home", place=place_without_home),
    Arm(name="anywhere", place=place_anywhere),
    Arm(
        name="with_reports",
        place=place_with_reports,
        telling=Telling.NOTHING,
    ),
    Arm(name="untold", telling=Telling.NOTHING),
    Arm(name="heartbeats", telling=Telling.HEARTBEATS),
)


def find_arm(name: str) -> Arm:
    """Returns an arm by its name.

    Raises:
        ValueError: There is none; the message names those that there are.
    """
    for arm in ARMS:
        if arm.name == name:
            return arm
    known = ", ".join(each.name for each in ARMS)
    message = f"there is no arm {name}; take one of {known}"
    raise ValueError(message)
