"""Settings of the path measurement, and its targets."""

import enum
import pathlib

import msgspec

MS_PER_S = 1000.0

# Targets of the path: added time at 50 open streams with spread arrivals,
# and half a core at each role's share of the target size.
FIRST_TOKEN_P50_TARGET_MS = 5.0
FIRST_TOKEN_P95_TARGET_MS = 20.0
GAP_P50_TARGET_MS = 1.0
ENTRY_TOKENS_TARGET_PER_S = 2300.0
SIDECAR_TOKENS_TARGET_PER_S = 1420.0
CORE_SHARE_TARGET = 0.5
RESIDENT_TARGET_MB = 128.0
IDLE_CORE_SHARE_TARGET = 0.029


class Mode(enum.StrEnum):
    """How calls arrive.

    SPREAD: open loop with random gaps. TOGETHER: all of a round at the same
    moment, and the next round a little after the longest answer.
    """

    SPREAD = "spread"
    TOGETHER = "together"


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One load.

    Attributes:
        name: For the report.
        open_streams: Streams that are open on the average at each target.
        duration_s: For how long calls arrive.
        mode: How they arrive.
    """

    name: str
    open_streams: int
    duration_s: float
    mode: Mode


class PathSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What to measure.

    Attributes:
        deployment: The deployment file that it starts from.
        seed: Of all arrivals.
        model: The model whose first version serves.
        max_tokens: Length of each answer; the engine's answers are longer.
        step_ms: The engine's time between two tokens.
        idle_s: For how long the idle fleet is observed.
        scenarios: In this order, on one fleet.
    """

    deployment: str
    seed: int
    model: str
    max_tokens: int
    step_ms: float
    idle_s: float
    scenarios: list[Scenario]

    @property
    def answer_s(self) -> float:
        """How long the engine takes over one answer."""
        return self.max_tokens * self.step_ms / MS_PER_S


def read_settings(path: pathlib.Path) -> PathSettings:
    """Returns the settings in a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=PathSettings)
