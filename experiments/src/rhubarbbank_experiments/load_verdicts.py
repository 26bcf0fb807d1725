"""Holds the figures of a load run against their targets, met or missed."""

from collections.abc import Sequence
import dataclasses

from rhubarbbank_core import policies
from rhubarbbank_experiments import load_figures
from rhubarbbank_experiments import load_observe
from rhubarbbank_experiments import load_settings

COST_SHARE = 0.40
HALF_LOAD = 0.5
HIGH_LOAD = 0.9
# By how much the best baseline's p95 has to exceed ours at high load.
HIGH_LOAD_GAIN = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """One figure beside its target.

    Attributes:
        phase: Where it was seen.
        figure: What it is, with its unit.
        value: The figure.
        target: What it should be, in words.
        is_met: Whether it is.
    """

    phase: str
    figure: str
    value: float
    target: str
    is_met: bool


def at_most(
    phase: str, figure: str, value: float, limit: float, *, why: str = ""
) -> Verdict:
    """Returns the verdict on a figure with an upper limit."""
    return Verdict(
        phase=phase,
        figure=figure,
        value=value,
        target=f"at most {limit:.4g}{why}",
        is_met=value <= limit,
    )


def judge(
    settings: load_settings.LoadSettings,
    figures: Sequence[load_figures.Figures],
) -> list[Verdict]:
    """Returns the verdicts on the model-aware arm against its baselines.

    Args:
        settings: Which arms and phases there are.
        figures: Of all arms of one deployment.
    """
    by_key = {(x.phase, x.request_class, x.arm): x for x in figures}
    ours = [
        x.name
        for x in settings.arms
        if x.names == policies.DEFAULT_POLICY_NAMES
    ]
    if not ours:
        return []
    found = []
    for phase in settings.phases:
        found += judge_quality(phase.name, figures, arm=ours[0])
        mine = by_key[phase.name, load_figures.MODEL_CLASSES, ours[0]]
        theirs = {
            arm.name: by_key[phase.name, load_figures.MODEL_CLASSES, arm.name]
            for arm in settings.arms
        }
        for arm in settings.arms:
            if arm.cascade is policies.CascadeName.ALWAYS_STRONG:
                found += judge_cost(mine, theirs[arm.name])
        rivals = [theirs[x.name] for x in settings.arms if is_rival(x)]
        if rivals:
            found += judge_latency(phase.load, mine, rivals)
    return found


def is_rival(arm: load_settings.Arm) -> bool:
    """Returns whether an arm differs from ours by its placement alone."""
    return (
        arm.cascade is policies.CascadeName.MODEL_AWARE
        and arm.placement is not policies.PlacementName.MODEL_AWARE
    )


def judge_quality(
    phase: str, figures: Sequence[load_figures.Figures], *, arm: str
) -> list[Verdict]:
    """Returns the verdict on the quality of each class."""
    return [
        Verdict(
            phase=phase,
            figure=f"quality of {x.request_class}",
            value=x.quality,
            target=f"at least {x.quality_target:.4g}",
            is_met=x.quality >= x.quality_target,
        )
        for x in figures
        if x.phase == phase
        and x.arm == arm
        and x.answered
        and x.quality is not None
        and x.quality_target is not None
    ]


def judge_cost(
    mine: load_figures.Figures, strong: load_figures.Figures
) -> list[Verdict]:
    """Returns the verdict on the cost of a request that a model answers."""
    if not strong.cost_millicents:
        return []
    return [
        at_most(
            mine.phase,
            f"cost a model's answer, of {strong.arm}",
            mine.cost_millicents / strong.cost_millicents,
            COST_SHARE,
        )
    ]


def judge_latency(
    load: float,
    mine: load_figures.Figures,
    rivals: Sequence[load_figures.Figures],
) -> list[Verdict]:
    """Returns the verdicts on p95 against the best placement besides."""
    if load <= HALF_LOAD:
        gain = 1.0
    elif HIGH_LOAD <= load <= 1.0:
        gain = HIGH_LOAD_GAIN
    else:
        return []
    pairs = (
        ("first token", mine.first, [x.first for x in rivals]),
        ("whole answer", mine.whole, [x.whole for x in rivals]),
    )
    found = []
    for name, own, others in pairs:
        best = min(x.p95_ms for x in others)
        why = " (the best other placement's)"
        if gain > 1.0:
            why = f" ({best:.0f}, the best other placement's, over {gain:.0f})"
        found.append(
            at_most(
                mine.phase, f"{name} p95, ms", own.p95_ms, best / gain, why=why
            )
        )
    return found


def judge_allowances(
    uses: Sequence[load_observe.AllowanceUse], *, arm: str
) -> Verdict:
    """Returns the verdict on allowances exceeded in any minute."""
    exceeded = sum(x.busiest > x.limit for x in uses)
    return at_most("all", f"allowances exceeded, {arm}", exceeded, 0)
