"""Builds the placement and cascade policies that the settings name.

Deployments use the model-aware policies. The others are baselines, which
experiments run in the same processes for comparison.
"""

import dataclasses
import enum
import random

from rhubarbbank_core import cascade
from rhubarbbank_core import cascade_baselines
from rhubarbbank_core import placement
from rhubarbbank_core import placement_baselines


class PlacementName(enum.StrEnum):
    """Names of the policies that choose among upstreams."""

    MODEL_AWARE = "model_aware"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"
    LEAST_OWN_IN_FLIGHT = "least_own_in_flight"
    LEAST_REPORTED_LOAD = "least_reported_load"


class CascadeName(enum.StrEnum):
    """Names of the policies that choose among models."""

    MODEL_AWARE = "model_aware"
    ALWAYS_STRONG = "always_strong"
    ALWAYS_CHEAP = "always_cheap"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicyNames:
    """Names of the policies of one entry.

    Attributes:
        placement: Policy that chooses among upstreams.
        cascade: Policy that chooses among models.
    """

    placement: PlacementName = PlacementName.MODEL_AWARE
    cascade: CascadeName = CascadeName.MODEL_AWARE


DEFAULT_POLICY_NAMES = PolicyNames()


def build_placement(
    name: PlacementName, *, rng: random.Random
) -> placement.Placement:
    """Returns a new instance of the named placement policy."""
    match name:
        case PlacementName.MODEL_AWARE:
            return placement.ExpectedWaitPlacement(rng=rng)
        case PlacementName.ROUND_ROBIN:
            return placement_baselines.RoundRobinPlacement()
        case PlacementName.RANDOM:
            return placement_baselines.RandomPlacement(rng=rng)
        case PlacementName.LEAST_OWN_IN_FLIGHT:
            return placement_baselines.LeastOwnInFlightPlacement(rng=rng)
        case PlacementName.LEAST_REPORTED_LOAD:
            return placement_baselines.LeastReportedLoadPlacement(rng=rng)


def build_cascade(name: CascadeName, *, rng: random.Random) -> cascade.Cascade:
    """Returns a new instance of the named cascade policy."""
    match name:
        case CascadeName.MODEL_AWARE:
            return cascade.LearningCascade(rng=rng)
        case CascadeName.ALWAYS_STRONG:
            return cascade_baselines.AlwaysStrong()
        case CascadeName.ALWAYS_CHEAP:
            return cascade_baselines.AlwaysCheap()
