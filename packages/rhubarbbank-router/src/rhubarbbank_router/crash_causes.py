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


HARMLESS = Assessment()


def decide(probability: float) -> Verdict:
    """Returns the verdict on a request that crashes with a probability."""
    if probability >= defaults.REFUSE_CRASH_PROBABILITY:
        return Verdict.REFUSE
    if probability >= defaults.TRY_ALONE_CRASH_PROBABILITY:
        return Verdict.TRY_ALONE
    return Verdict.SEND


class Hypothesis:
    """Traits that have had the same crashes.

    Attributes:
        traits: The traits.
        crashes: Their crashes.
        weight: Its likelihood, relative to that of a chance coincidence.
        rival_weight: Sum of the weights of all hypotheses that explain any of
            these crashes, this one included; None until it is computed.
    """

    def __init__(self, crashes: frozenset[name_hashes.NameHash]) -> None:
        self.traits: set[str] = set()
        self.crashes = crashes
        self.weight = 1.0
        self.rival_weight: float | None = None


class CrashCauses:
    """The hypotheses on what causes the known crashes.

    They are derived from the suspects, anew after each change.

    Attributes:
        suspects: The suspects.
        revision: Their revision from which the hypotheses were derived.
        by_trait: The hypothesis that each suspect belongs to.
        by_crash: The hypotheses that explain each crash.
    """

    def __init__(self, suspects: crash_suspects.CrashSuspects) -> None:
        self.suspects = suspects
        self.revision = -1
        self.by_trait: dict[str, Hypothesis] = {}
        self.by_crash: dict[name_hashes.NameHash, list[Hypothesis]] = {}

    def assess(self, traits: Iterable[str]) -> Assessment:
        """Assesses a request by its traits."""
        held = frozenset(x for x in traits if self.suspects.count_crashes(x))
        max_weight = sum(
            compute_weight(self.suspects.suspects[x]) for x in held
        )
        max_probability = max_weight / (
            defaults.CHANCE_CRASH_WEIGHT + max_weight
        )
        if decide(max_probability) is Verdict.SEND:
            # However few rivals there are, the verdict is the same.
            return HARMLESS
        if self.revision != self.suspects.revision:
            self.derive()
        return max(
            (self.assess_hypothesis(self.by_trait[x], held) for x in held),
            key=lambda assessment: assessment.probability,
        )

    def assess_hypothesis(
        self, hypothesis: Hypothesis, held: frozenset[str]
    ) -> Assessment:
        """Assesses a request by the crashes that one hypothesis explains.

        Args:
            hypothesis: The hypothesis, of which the request holds a trait.
            held: All suspected traits of the request.
        """
        rivals = {
            id(rival): rival
            for rival in map(self.by_trait.__getitem__, held)
            if not rival.crashes.isdisjoint(hypothesis.crashes)
        }
        total = defaults.CHANCE_CRASH_WEIGHT + self.sum_rivals(hypothesis)
        probability = sum(
            each.weight / total * len(each.traits & held) / len(each.traits)
            for each in rivals.values()
        )
        blamed = frozenset(
            trait for each in rivals.values() for trait in each.traits & held
        )
        return Assessment(
            verdict=decide(probability), probability=probability, traits=blamed
        )

    def sum_rivals(self, hypothesis: Hypothesis) -> float:
        """Returns the weight of all that explains any of its crashes."""
        if hypothesis.rival_weight is None:
            rivals = {
                id(rival): rival.weight
                for crash in hypothesis.crashes
                for rival in self.by_crash[crash]
            }
            hypothesis.rival_weight = sum(rivals.values())
        return hypothesis.rival_weight

    def derive(self) -> None:
        """Derives the hypotheses from the suspects."""
        self.revision = self.suspects.revision
        self.by_trait.clear()
        self.by_crash.clear()
        by_crashes: dict[frozenset[name_hashes.NameHash], Hypothesis] = {}
        for trait, suspect in self.suspects.suspects.items():
            if not suspect.crashes:
                continue
            crashes = frozenset(suspect.crashes)
            hypothesis = by_crashes.get(crashes)
            if hypothesis is None:
                hypothesis = by_crashes[crashes] = Hypothesis(crashes)
                for crash in crashes:
                    self.by_crash.setdefault(crash, []).append(hypothesis)
            hypothesis.traits.add(trait)
            hypothesis.weight = max(hypothesis.weight, compute_weight(suspect))
            self.by_trait[trait] = hypothesis


def compute_weight(suspect: crash_suspects.Suspect) -> float:
    """Returns the weight of the hypothesis that a suspect is the cause.

    The crashes of a trait that was sound before count once if they came
    together: many upstreams may be lost at once under a popular trait.
    """
    counted = min(suspect.count_independent_crashes(), MAX_COUNTED_CRASHES)
    return defaults.CRASH_LIKELIHOOD_RATIO**counted
