"""Settings of the load runs."""

from collections.abc import Sequence
import pathlib

import msgspec

from rhubarbbank_core import policies


class LoadPhase(msgspec.Struct, frozen=True, kw_only=True):
    """A stretch of time at one load.

    Attributes:
        name: For the report.
        duration_s: How long it lasts.
        load: Mean arrivals as a multiple of the full load.
    """

    name: str
    duration_s: float
    load: float


class Arm(msgspec.Struct, frozen=True, kw_only=True):
    """Policies that run against the same arrivals as the other arms'.

    Attributes:
        name: For the report.
        placement: How entries choose among upstreams.
        cascade: How entries choose among models.
    """

    name: str
    placement: policies.PlacementName = policies.PlacementName.MODEL_AWARE
    cascade: policies.CascadeName = policies.CascadeName.MODEL_AWARE

    @property
    def names(self) -> policies.PolicyNames:
        """The policies, without the arm's name."""
        return policies.PolicyNames(
            placement=self.placement, cascade=self.cascade
        )


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What to offer.

    Attributes:
        deployments: The deployment files, run one after the other.
        seeds: Of arrivals, classes and sessions; each arm meets each seed.
        arms: The policies to compare, each with fresh processes.
        full_load_per_s: Arrivals a second that count as full load.
        deadline_s: Of each request; later answers are not goodput.
        session_share: Share of the chat calls that belong to a session.
        sessions: Sessions that these are drawn from.
        engine: Extra settings of each engine.
        phases: One after the other, without a pause.
    """

    deployments: list[str]
    seeds: list[int]
    arms: list[Arm]
    full_load_per_s: float
    deadline_s: float
    session_share: float
    sessions: int
    engine: dict[str, int | float]
    phases: list[LoadPhase]


def read_settings(path: pathlib.Path) -> LoadSettings:
    """Returns the settings in a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=LoadSettings)


def narrow(
    settings: LoadSettings,
    *,
    deployments: Sequence[str] = (),
    arms: Sequence[str] = (),
    seeds: Sequence[int] = (),
) -> LoadSettings:
    """Returns settings with only what is named; nothing named keeps all.

    Raises:
        ValueError: An arm isn't in the settings.
    """
    known = {x.name: x for x in settings.arms}
    unknown = [x for x in arms if x not in known]
    if unknown:
        raise ValueError(f"unknown arms {unknown}; there are {list(known)}")
    return msgspec.structs.replace(
        settings,
        deployments=list(deployments) or settings.deployments,
        arms=[known[x] for x in arms] or settings.arms,
        seeds=list(seeds) or settings.seeds,
    )
