"""Figures of one run of a mix, and of several runs together."""

from collections.abc import Sequence
import statistics

import msgspec

from rhubarbbank_experiments import mix_callers
from rhubarbbank_experiments import mix_settings
from rhubarbbank_experiments import mix_world
from rhubarbbank_experiments import policy_report

MS_PER_S = 1000.0
TOKENS_PER_PRICE = 1000.0
READ_SHARE = 0.25


class ClassFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What the callers of one class got.

    Attributes:
        name: The class.
        asked: Requests.
        in_time: Whole answers within the objective, poor ones included.
        late: Whole answers after it, or with too long a pause.
        failed: Requests without a whole answer.
        poor: Whole answers whose request was too hard for the model.
        first_p50_ms: Time to the first event or the whole answer.
        first_p95_ms: Likewise.
        credit: Worth of the answers over the worth owed.
    """

    name: str
    asked: int
    in_time: int
    late: int
    failed: int
    poor: int
    first_p50_ms: float
    first_p95_ms: float
    credit: float


class MixFigures(msgspec.Struct, frozen=True, kw_only=True):
    """One arm, one load, one seed.

    Attributes:
        mix: The site.
        arm: How routers decide.
        trouble: What goes wrong.
        load: Times the usual requests.
        seed: Of all that chance decides.
        credit: Worth of the answers over the worth owed.
        worst_class: The least credit of a class.
        model_cost: Price of the models' use over the worth owed.
        worth: Credit less that price.
        again: Additional sends for each request.
        far: Share of prompt tokens sent to another data centre.
        kept: Share of prompt tokens that engines kept.
        classes: By class.
    """

    mix: str
    arm: str
    trouble: str
    load: float
    seed: int
    credit: float
    worst_class: float
    model_cost: float
    worth: float
    again: float
    far: float
    kept: float
    classes: tuple[ClassFigures, ...]


def build_figures(
    world: mix_world.MixWorld,
    *,
    arm: str,
    trouble: str,
    load: float,
    seed: int,
) -> MixFigures:
    """Returns the figures of a run that is over."""
    callers = list(world.callers.values())
    owed = sum(mix_callers.rate_owed(x.arrival) for x in callers)
    earned = sum(mix_callers.rate_earned(x, world.mix) for x in callers)
    classes = tuple(
        build_class(world.mix, wanted, callers) for wanted in world.mix.classes
    )
    cost = sum_cost(world)
    engines = [
        x.engine for x in world.upstreams.hosts.values() if x.engine is not None
    ]
    read = sum(sum(x.read.values()) for x in engines)
    return MixFigures(
        mix=world.mix.name,
        arm=arm,
        trouble=trouble,
        load=load,
        seed=seed,
        credit=earned / owed,
        worst_class=min(x.credit for x in classes if x.asked),
        model_cost=cost / owed,
        worth=(earned - cost) / owed,
        again=world.upstreams.sends / max(1, len(callers)) - 1.0,
        far=world.upstreams.far_tokens / max(1, read),
        kept=sum(x.found for x in engines) / max(1, read),
        classes=classes,
    )


def build_class(
    mix: mix_settings.Mix,
    wanted: mix_settings.MixClass,
    callers: Sequence[mix_callers.Caller],
) -> ClassFigures:
    """Returns the figures of one class."""
    own = [x for x in callers if x.arrival.wanted is wanted]
    whole = [x for x in own if x.is_whole]
    in_time = sum(x.is_in_time() for x in whole)
    firsts_ms = [x.first_s * MS_PER_S for x in whole if x.first_s is not None]
    owed = sum(mix_callers.rate_owed(x.arrival) for x in own)
    earned = sum(mix_callers.rate_earned(x, mix) for x in own)
    return ClassFigures(
        name=wanted.name,
        asked=len(own),
        in_time=in_time,
        late=len(whole) - in_time,
        failed=len(own) - len(whole),
        poor=sum(x.is_poor(mix) for x in whole),
        first_p50_ms=policy_report.find_percentile(firsts_ms, 50.0),
        first_p95_ms=policy_report.find_percentile(firsts_ms, 95.0),
        credit=earned / owed if owed else 1.0,
    )


def sum_cost(world: mix_world.MixWorld) -> float:
    """Returns the price of the models' use, of dropped answers too."""
    return sum(
        model.cost
        * (engine.generated[model.name] + READ_SHARE * engine.read[model.name])
        / TOKENS_PER_PRICE
        for engine in (x.engine for x in world.upstreams.hosts.values())
        if engine is not None
        for model in world.mix.models
    )


def average(figures: Sequence[MixFigures], name: str) -> float:
    """Returns the mean of one figure over runs."""
    return statistics.fmean(getattr(x, name) for x in figures)
