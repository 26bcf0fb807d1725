"""Estimates how likely a request is to crash the upstream that runs it.

A crash has one cause, but interrupts every request that the upstream was
running, so that most traits it is attributed to are innocent. Traits with the
same crashes form one hypothesis, because the crashes can't tell them apart. A
hypothesis is the more likely, the more crashes its traits have had since their
last good answer, compared with the other hypotheses for the same crashes.

A request that holds all traits of a likely hypothesis is refused. One that
holds some of them is an experiment, which tells them apart:

    crashes     requests                   hypotheses        a request with
    a, b, c     {all, rare, bad}, ...      {rare, bad}: 3    rare, bad: refused
                                                             rare: tried alone
"""

from collections.abc import Iterable
import dataclasses
import enum

from rhubarbbank_router import crash_suspects
from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes

# Bounds the weights, which grow with the power of the number of crashes.
MAX_COUNTED_CRASHES = 32


class Verdict(enum.Enum):
    """What may be done with a request.

    Attributes:
        SEND: It may be sent.
        TRY_ALONE: It may be sent while no other request is tried that holds
            one of the same traits.
        REFUSE: It must not be sent.
    """

    SEND = "send"
    TRY_ALONE = "try alone"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assessment:
    """The assessment of one request.

    Attributes:
        verdict: What may be done with it.
        probability: Estimated probability that it crashes its upstream.
        traits: Its traits that the probability is due to.
    """

    verdict: Verdict = Verdict.SEND
    probability: float = 0.0
    traits: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Hypothesis:
    """Traits that have had the same crashes.

    Attributes:
        traits: The traits.
        weight: Its likelihood, relative to that of a chance coincidence.
    """

    traits: frozenset[str]
    weight: float


HARMLESS = Assessment()


def assess(
    suspects: crash_suspects.CrashSuspects, traits: Iterable[str]
) -> Assessment:
    """Assesses a request by its traits."""
    held = frozenset(x for x in traits if suspects.count_crashes(x))
    worst = HARMLESS
    for trait in held:
        assessment = assess_trait(suspects, trait, held)
        if assessment.probability > worst.probability:
            worst = assessment
    return worst


def assess_trait(
    suspects: crash_suspects.CrashSuspects, trait: str, held: frozenset[str]
) -> Assessment:
    """Assesses a request by the crashes that one of its traits has had.

    Args:
        suspects: What is known of crashes.
        trait: The trait.
        held: All traits of the request that have had crashes.
    """
    hypotheses = list_hypotheses(suspects, trait)
    total = defaults.CHANCE_CRASH_WEIGHT + sum(x.weight for x in hypotheses)
    probability = 0.0
    blamed: set[str] = set()
    for each in hypotheses:
        shared = each.traits & held
        if shared:
            probability += each.weight / total * len(shared) / len(each.traits)
            blamed |= shared
    return Assessment(
        verdict=decide(probability),
        probability=probability,
        traits=frozenset(blamed),
    )


def decide(probability: float) -> Verdict:
    """Returns the verdict on a request that crashes with a probability."""
    if probability >= defaults.REFUSE_CRASH_PROBABILITY:
        return Verdict.REFUSE
    if probability >= defaults.TRY_ALONE_CRASH_PROBABILITY:
        return Verdict.TRY_ALONE
    return Verdict.SEND


def list_hypotheses(
    suspects: crash_suspects.CrashSuspects, trait: str
) -> list[Hypothesis]:
    """Returns the hypotheses that explain any of a trait's crashes."""
    groups: dict[frozenset[name_hashes.NameHash], set[str]] = {}
    for crash in suspects.suspects[trait].crashes:
        for other in suspects.list_traits_of(crash):
            crashes = frozenset(suspects.suspects[other].crashes)
            groups.setdefault(crashes, set()).add(other)
    return [
        Hypothesis(frozenset(traits), compute_weight(suspects, traits))
        for traits in groups.values()
    ]


def compute_weight(
    suspects: crash_suspects.CrashSuspects, traits: set[str]
) -> float:
    """Returns the weight of the hypothesis that consists of these traits.

    The crashes of a trait that was sound before count once if they came
    together: many upstreams may be lost at once under a popular trait.
    """
    counted = max(suspects.count_independent_crashes(x) for x in traits)
    return defaults.CRASH_LIKELIHOOD_RATIO ** min(counted, MAX_COUNTED_CRASHES)
