"""Measures the exposure judge against a z-test that is peeked at.

Run as `python -m rhubarbbank_experiments.policy_exposure`. Batches come as
from a fleet: each step brings what both versions answered since the last one,
split by the share that the verdict gives. False holds are counted over
roll-outs of a version that equals its incumbent; the delay of a hold in rated
answers of a version that lost 20 points. Judges of both kinds see the same
kind of traffic, drawn from the same seeds.
"""

import collections.abc
import dataclasses
import sys

import numpy as np

from rhubarbbank_core import exposure
from rhubarbbank_core import exposure_baselines
from rhubarbbank_core import table
from rhubarbbank_experiments import policy_report

NEW = table.VersionKey("model", "2")
OLD = table.VersionKey("model", "1")
PER_CENT = 100
STEP_REQUESTS = 2000
RATED_SHARE = 0.4
CONCENTRATION = 8.0
ERROR_RATE = 0.01
SLOW_RATE = 0.05
QUALITY = 0.9
LOSS = 0.2
FALSE_HOLD_RUNS = 2_000
FALSE_HOLD_STEPS = 40
LOSS_RUNS = 100
LOSS_STEPS = 400
LATE_RUNS = 50
LATE_STEP_REQUESTS = 40
LATE_CALM_STEPS = 100
FALSE_HOLD_TARGET = 0.01
DELAY_TARGET = 150.0
MEDIAN = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """What is true of the two versions.

    Attributes:
        new: Mean rating of the new version.
        is_binary: Whether ratings are 0 or 1 only.
    """

    new: float
    is_binary: bool = False


def draw_batch(
    key: table.VersionKey,
    mean: float,
    requests: int,
    *,
    traffic: Traffic,
    rng: np.random.Generator,
) -> exposure.EvidenceBatch:
    """Returns one batch of evidence for this many requests."""
    rated = int(rng.binomial(requests, RATED_SHARE))
    if traffic.is_binary:
        total = squares = float(rng.binomial(rated, mean))
    else:
        ratings = rng.beta(
            mean * CONCENTRATION, (1.0 - mean) * CONCENTRATION, rated
        )
        total = float(ratings.sum())
        squares = float((ratings * ratings).sum())
    return exposure.EvidenceBatch(
        key=key,
        rated=rated,
        rating_sum=total,
        rating_square_sum=squares,
        requests=requests,
        errors=int(rng.binomial(requests, ERROR_RATE)),
        slow=int(rng.binomial(requests, SLOW_RATE)),
    )


def step(
    judge: exposure.Exposure,
    traffic: Traffic,
    requests: int,
    rng: np.random.Generator,
) -> int:
    """Feeds one step's batches; returns the new version's rated answers."""
    verdict = judge.verdict()
    if isinstance(verdict, exposure.Hold):
        return 0
    new = int(rng.binomial(requests, verdict.share_per_cent / PER_CENT))
    batch = draw_batch(NEW, traffic.new, new, traffic=traffic, rng=rng)
    old = draw_batch(OLD, QUALITY, requests - new, traffic=traffic, rng=rng)
    judge.fold(old)
    judge.fold(batch)
    return batch.rated


def is_held(judge: exposure.Exposure) -> bool:
    """Returns whether the version is held."""
    return isinstance(judge.verdict(), exposure.Hold)


def make_judge() -> exposure.Exposure:
    """Returns the staged judge."""
    return exposure.ExposureJudge(key=NEW, incumbent=OLD)


def make_baseline() -> exposure.Exposure:
    """Returns the z-test that is peeked at."""
    return exposure_baselines.RepeatedZTestExposure(key=NEW, incumbent=OLD)


Maker = collections.abc.Callable[[], exposure.Exposure]


def measure_false_holds(make: Maker, traffic: Traffic, seed: int) -> None:
    """Prints the share of good versions held, and the steps to 100%."""
    held = 0
    finished: list[float] = []
    for run in range(FALSE_HOLD_RUNS):
        rng = np.random.default_rng((seed, run))
        judge = make()
        for number in range(FALSE_HOLD_STEPS):
            step(judge, traffic, STEP_REQUESTS, rng)
            if judge.verdict() == exposure.Stage(share_per_cent=PER_CENT):
                finished.append(number + 1.0)
                break
            if is_held(judge):
                held += 1
                break
    policy_report.print_figure(
        f"false holds, share of {FALSE_HOLD_RUNS} roll-outs",
        held / FALSE_HOLD_RUNS,
        target=FALSE_HOLD_TARGET,
    )
    policy_report.print_figure(
        "reached 100%, share", len(finished) / FALSE_HOLD_RUNS
    )
    policy_report.print_figure(
        f"median steps of {STEP_REQUESTS} requests to 100%",
        policy_report.find_percentile(finished, MEDIAN),
    )


def measure_delay(make: Maker, traffic: Traffic, seed: int) -> None:
    """Prints after how many rated answers a bad version is held."""
    delays: list[float] = []
    missed = 0
    for run in range(LOSS_RUNS):
        rng = np.random.default_rng((seed, run))
        judge = make()
        rated = 0
        for _ in range(LOSS_STEPS):
            rated += step(judge, traffic, STEP_REQUESTS, rng)
            if is_held(judge):
                break
        delays.append(float(rated))
        missed += not is_held(judge)
    policy_report.print_figure(
        "rated answers until the hold, median",
        policy_report.find_percentile(delays, MEDIAN),
        target=DELAY_TARGET,
    )
    policy_report.print_figure(
        "the same, p95", policy_report.find_percentile(delays, 95.0)
    )
    policy_report.print_figure(f"never held, of {LOSS_RUNS}", missed)


def measure_late(traffic: Traffic, seed: int) -> None:
    """Prints the hold's delay for a version that turns bad much later."""
    delays: list[float] = []
    false = unfinished = 0
    bad = dataclasses.replace(traffic, new=QUALITY - LOSS)
    for run in range(LATE_RUNS):
        rng = np.random.default_rng((seed, run))
        judge = make_judge()
        for _ in range(FALSE_HOLD_STEPS):
            step(judge, traffic, STEP_REQUESTS, rng)
        if judge.verdict() != exposure.Stage(share_per_cent=PER_CENT):
            unfinished += 1
            continue
        for _ in range(LATE_CALM_STEPS):
            step(judge, traffic, LATE_STEP_REQUESTS, rng)
        if is_held(judge):
            false += 1
            continue
        rated = 0
        for _ in range(LOSS_STEPS):
            rated += step(judge, bad, LATE_STEP_REQUESTS, rng)
            if is_held(judge):
                break
        delays.append(float(rated))
    print(f"  {unfinished} of {LATE_RUNS} had not reached 100% and don't count")
    policy_report.print_figure("held while still good", false)
    policy_report.print_figure(
        "rated answers from the turn to the hold, median",
        policy_report.find_percentile(delays, MEDIAN),
        target=DELAY_TARGET,
    )


def main(seeds: collections.abc.Sequence[int]) -> None:
    """Measures both judges with every seed."""
    makers = {"staged judge": make_judge, "peeked z-test": make_baseline}
    for seed in seeds:
        for name, make in makers.items():
            for is_binary in (False, True):
                kind = "ratings 0 or 1" if is_binary else "graded ratings"
                print(f"{name}, {kind}, seed {seed}")
                same = Traffic(new=QUALITY, is_binary=is_binary)
                worse = Traffic(new=QUALITY - LOSS, is_binary=is_binary)
                measure_delay(make, worse, seed)
                if not is_binary:
                    measure_false_holds(make, same, seed)
        print(f"staged judge, turns bad after the roll-out, seed {seed}")
        measure_late(Traffic(new=QUALITY), seed)


if __name__ == "__main__":
    main([int(each) for each in sys.argv[1:]] or [1])
