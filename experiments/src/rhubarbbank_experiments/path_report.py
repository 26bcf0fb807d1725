"""Prints what the path measurement found, each target beside its figure."""

import dataclasses

from rhubarbbank_experiments import path_runs
from rhubarbbank_experiments import path_settings

JUDGED_OPEN_STREAMS = 50


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One figure and its target.

    Attributes:
        name: What was measured.
        value: The figure.
        unit: Its unit.
        target: The most (or least) that it may be; None without a target.
        at_least: Whether the target is a lower bound.
    """

    name: str
    value: float
    unit: str
    target: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """`met`, `missed` or empty."""
        if self.target is None:
            return ""
        met = self.value <= self.target
        if self.at_least:
            met = self.value >= self.target
        return "met" if met else "missed"

    def __str__(self) -> str:
        text = f"{self.name:<46} {self.value:>9.2f} {self.unit:<9}"
        if self.target is None:
            return text.rstrip()
        sign = ">=" if self.at_least else "<="
        return f"{text} target {sign} {self.target:g}: {self.verdict}"


def judge_outcome(outcome: path_runs.Outcome) -> list[Line]:
    """Returns the lines of one scenario."""
    scenario = outcome.scenario
    judged = (
        scenario.open_streams == JUDGED_OPEN_STREAMS
        and scenario.mode is path_settings.Mode.SPREAD
    )
    direct, routed = outcome.direct, outcome.routed
    name = scenario.name

    def add(what: str, value: float, target: float) -> Line:
        return Line(
            name=f"{name}: {what}",
            value=value,
            unit="ms",
            target=target if judged else None,
        )

    return [
        add(
            "first token, added, p50",
            routed.first_token.p50_ms - direct.first_token.p50_ms,
            path_settings.FIRST_TOKEN_P50_TARGET_MS,
        ),
        add(
            "first token, added, p95",
            routed.first_token.p95_ms - direct.first_token.p95_ms,
            path_settings.FIRST_TOKEN_P95_TARGET_MS,
        ),
        add(
            "gap, added, p50",
            routed.gap.p50_ms - direct.gap.p50_ms,
            path_settings.GAP_P50_TARGET_MS,
        ),
        Line(
            name=f"{name}: gap, added, p95",
            value=routed.gap.p95_ms - direct.gap.p95_ms,
            unit="ms",
        ),
        Line(
            name=f"{name}: carried", value=outcome.tokens_per_s, unit="token/s"
        ),
        Line(
            name=f"{name}: carried",
            value=outcome.requests_per_s,
            unit="request/s",
        ),
        Line(
            name=f"{name}: entry's processor",
            value=outcome.entry.core_share,
            unit="core",
        ),
        Line(
            name=f"{name}: sidecar's processor",
            value=outcome.sidecar.core_share,
            unit="core",
        ),
        Line(
            name=f"{name}: caller's processor",
            value=outcome.caller_core_share,
            unit="core",
        ),
        Line(
            name=f"{name}: failed calls",
            value=sum(routed.failures.values()),
            unit="",
        ),
    ]


def judge_process(
    name: str,
    *,
    idle: path_runs.ProcessUse,
    uses: list[path_runs.ProcessUse],
    rates: list[float],
    target_per_s: float,
) -> list[Line]:
    """Returns the lines of one process over all scenarios."""
    peak_mb = max(use.resident_mb for use in uses)
    # The scenario whose rate lies nearest to the target speaks for it.
    nearest = min(range(len(rates)), key=lambda i: abs(rates[i] - target_per_s))
    per_token_s = (uses[nearest].core_share - idle.core_share) / rates[nearest]
    return [
        Line(
            name=f"{name}: processor when idle",
            value=idle.core_share,
            unit="core",
            target=path_settings.IDLE_CORE_SHARE_TARGET,
        ),
        Line(
            name=f"{name}: processor a token, requests included",
            value=per_token_s * 1e6,
            unit="us",
        ),
        Line(
            name=f"{name}: tokens on half a core",
            value=(path_settings.CORE_SHARE_TARGET - idle.core_share)
            / per_token_s,
            unit="token/s",
            target=target_per_s,
            at_least=True,
        ),
        Line(
            name=f"{name}: resident when idle",
            value=idle.resident_mb,
            unit="MB",
            target=path_settings.RESIDENT_TARGET_MB,
        ),
        Line(
            name=f"{name}: resident when loaded",
            value=peak_mb,
            unit="MB",
            target=path_settings.RESIDENT_TARGET_MB,
        ),
    ]


def judge(
    idle: path_runs.Idle, outcomes: list[path_runs.Outcome]
) -> list[Line]:
    """Returns all lines."""
    lines = [line for x in outcomes for line in judge_outcome(x)]
    rates = [x.tokens_per_s for x in outcomes]
    lines += judge_process(
        "entry",
        idle=idle.entry,
        uses=[x.entry for x in outcomes],
        rates=rates,
        target_per_s=path_settings.ENTRY_TOKENS_TARGET_PER_S,
    )
    lines += judge_process(
        "sidecar",
        idle=idle.sidecar,
        uses=[x.sidecar for x in outcomes],
        rates=rates,
        target_per_s=path_settings.SIDECAR_TOKENS_TARGET_PER_S,
    )
    return lines
