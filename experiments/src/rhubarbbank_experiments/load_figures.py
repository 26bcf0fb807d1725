"""Turns the runs of one arm into figures by phase and request class."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

from rhubarbbank_core import entry_billing
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import load_caller
from rhubarbbank_experiments import load_runs
from rhubarbbank_experiments import load_settings
from rhubarbbank_experiments import report_latency
from rhubarbbank_standins import rating
from rhubarbbank_standins import settings as standin_settings

# All classes that models serve, together.
MODEL_CLASSES = "models"
PER_MILLE = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """What the calls of one phase and class showed, over all seeds.

    Attributes:
        phase: The phase that the calls arrived in.
        request_class: Their class, or `models`.
        arm: The policies.
        offered: Calls.
        answered: Whole answers.
        goodput_per_s: Whole answers within the deadline, a second.
        first: To the first byte of an answer.
        whole: To the end of whole answers.
        failures: Calls that failed, by code.
        cost_millicents: Mean over the answered calls.
        quality: Mean of the answering versions' true quality; a choice by
            ratings isn't credited. None where there is no target.
        rated: Mean of what the rating service says of the same answers.
        quality_target: What both should be at least, or None.
    """

    phase: str
    request_class: str
    arm: str
    offered: int
    answered: int
    goodput_per_s: float
    first: report_latency.Percentiles
    whole: report_latency.Percentiles
    failures: dict[str, int]
    cost_millicents: float
    quality: float | None
    rated: float | None
    quality_target: float | None


def find_target(
    deployment: deployments.Deployment, request_class: str
) -> float | None:
    """Returns the quality target of a class, or None for a service's."""
    if request_class in (deployments.BOOKING_CLASS, MODEL_CLASSES):
        return None
    targets = [
        x.quality_target
        for x in deployment.models
        if not x.classes or request_class in x.classes
    ]
    return max(targets) / PER_MILLE if targets else None


def make_rater(deployment: deployments.Deployment) -> rating.Rating:
    """Returns the rating service as the fleet runs it."""
    qualities = {x.key: x.qualities for x in deployment.models}
    return rating.Rating(
        configured=standin_settings.RatingSettings(
            kind="rating", port=0, qualities=qualities
        )
    )


def rate(
    bill: entry_billing.Bill, ask: Callable[[rating.RateRequest], float]
) -> float:
    """Returns what the rating service says of a billed answer."""
    return ask(
        rating.RateRequest(
            request_id=bill.request_id,
            model=bill.model,
            version=bill.version,
            request_class=bill.request_class,
        )
    )


def average(values: Iterable[float]) -> float:
    """Returns the mean, or 0 without values."""
    found = list(values)
    return statistics.fmean(found) if found else 0.0


def summarise(
    pairs: Sequence[tuple[load_caller.Call, entry_billing.Bill | None]],
    *,
    deployment: deployments.Deployment,
    arm: str,
    phase: str,
    request_class: str,
    duration_s: float,
    deadline_s: float,
) -> Figures:
    """Returns the figures of calls, each with its billing record if any."""
    first = report_latency.Latencies()
    whole = report_latency.Latencies()
    good = 0
    for call, _ in pairs:
        if call.first_s is not None:
            first.record(call.first_s)
        if call.whole_s is not None:
            whole.record(call.whole_s)
            good += call.whole_s <= deadline_s
    answered = [x for x, _ in pairs if x.whole_s is not None]
    bills = [y for x, y in pairs if y is not None and x.whole_s is not None]
    target = find_target(deployment, request_class)
    rater = make_rater(deployment)
    return Figures(
        phase=phase,
        request_class=request_class,
        arm=arm,
        offered=len(pairs),
        answered=len(answered),
        goodput_per_s=good / duration_s,
        first=first.summarise(),
        whole=whole.summarise(),
        failures=dict(
            collections.Counter(x.failure for x, _ in pairs if x.failure)
        ),
        cost_millicents=average(x.cost for x in bills),
        quality=None
        if target is None
        else average(rate(x, rater.find_quality) for x in bills),
        rated=None
        if target is None
        else average(rate(x, rater.draw_rating) for x in bills),
        quality_target=target,
    )


def pair(
    runs: Sequence[load_runs.LoadRun],
) -> list[tuple[load_caller.Call, entry_billing.Bill | None]]:
    """Returns all calls, each with its billing record if there is one."""
    pairs = []
    for run in runs:
        bills = {x.request_id: x for x in run.bills}
        pairs += [(x, bills.get(x.request_id)) for x in run.calls]
    return pairs


def build_figures(
    settings: load_settings.LoadSettings, runs: Sequence[load_runs.LoadRun]
) -> list[Figures]:
    """Returns the figures of one arm's runs of one deployment."""
    deployment = runs[0].deployment
    pairs = pair(runs)
    names = [x.name for x in deployment.classes]
    found = []
    for number, phase in enumerate(settings.phases):
        for name in (*names, MODEL_CLASSES):
            chosen = [
                (call, bill)
                for call, bill in pairs
                if call.phase == number
                and is_in_class(call.request_class, name)
            ]
            found.append(
                summarise(
                    chosen,
                    deployment=deployment,
                    arm=runs[0].arm.name,
                    phase=phase.name,
                    request_class=name,
                    duration_s=phase.duration_s * len(runs),
                    deadline_s=settings.deadline_s,
                )
            )
    return found


def is_in_class(request_class: str, name: str) -> bool:
    """Returns whether a class is the named one, or among all of models."""
    if name == MODEL_CLASSES:
        return request_class != deployments.BOOKING_CLASS
    return request_class == name
