"""Steps for the evidence of a new version and its staged share."""

import math
import random

from behave import given
from behave import runner
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import exposure
from rhubarbbank_core import sequential_test
from rhubarbbank_core import table

NEW = table.VersionKey("m", "2")
OLD = table.VersionKey("m", "1")


def add_values(
    tally: sequential_test.Tally, values: list[float]
) -> sequential_test.Tally:
    return tally.add(
        count=len(values),
        total=sum(values),
        square_total=sum(each * each for each in values),
    )


def feed_detector(
    detector: sequential_test.ChangeDetector, values: list[float]
) -> sequential_test.ChangeDetector:
    return detector.add(
        count=len(values),
        total=sum(values),
        square_total=sum(each * each for each in values),
    )


def naive_log_e(batches: list[list[float]], level: float) -> float:
    """Multiplies every value's factor by hand."""
    total = 0.0
    for bet in sequential_test.BETS:
        cost = -math.log(1 - bet) - bet
        chord = bernstein = 1.0
        seen: list[float] = []
        for batch in batches:
            mean = sum(seen) / len(seen) if seen else 0.5
            for x in batch:
                low, high = 1 + bet * level, 1 + bet * (level - 1)
                chord *= low ** (1 - x) * high**x
                assert low ** (1 - x) * high**x <= 1 + bet * (level - x) + 1e-12
                bernstein *= math.exp(
                    bet * (level - x) - cost * (x - mean) ** 2
                )
            seen.extend(batch)
        total += chord + bernstein
    return math.log(total / (2 * len(sequential_test.BETS)))


@then("the sequential test matches the naive test on {count:d} random streams")
def step_naive_test(context: runner.Context, count: int) -> None:
    batch = strategies.lists(strategies.floats(0, 1), max_size=6)

    @trials.repeat(count)
    @hypothesis.given(
        strategies.lists(batch, max_size=6), strategies.floats(0, 1)
    )
    def check(batches: list[list[float]], level: float) -> None:
        tally = sequential_test.EMPTY_TALLY
        for each in batches:
            tally = add_values(tally, each)
        found = sequential_test.log_e_below(tally, level)
        assert math.isclose(
            found, naive_log_e(batches, level), rel_tol=1e-6, abs_tol=1e-6
        )

    check()


@then(
    "the sequential test accuses at most {most:d} of {count:d} equal versions"
)
def step_false_alarms(context: runner.Context, most: int, count: int) -> None:
    rng = random.Random(5)
    accused = 0
    for _ in range(count):
        new = old = sequential_test.EMPTY_TALLY
        for _ in range(60):
            new = add_values(new, [float(rng.random() < 0.8) for _ in range(5)])
            old = add_values(old, [float(rng.random() < 0.8) for _ in range(9)])
            log_e = sequential_test.log_e_worse(
                new=new, incumbent=old, tolerance=0.0
            )
            if log_e >= math.log(100):
                accused += 1
                break
    assert accused <= most, accused


@given("a sequential test with {count:d} incumbent values of mean {mean:f}")
def step_history(context: runner.Context, count: int, mean: float) -> None:
    ones = round(count * mean)
    context.incumbent = sequential_test.EMPTY_TALLY.add(
        count=count, total=ones, square_total=ones
    )


@then(
    "the sequential test rules out a margin of {margin:f} after {count:d}"
    " new values"
)
def step_margin(context: runner.Context, margin: float, count: int) -> None:
    new = add_values(sequential_test.EMPTY_TALLY, [0.9] * count)
    log_e = sequential_test.log_e_not_worse(
        new=new, incumbent=context.incumbent, margin=margin
    )
    assert log_e >= math.log(20), log_e


@then("the change detector stays calm for {count:d} batches and sees a fall")
def step_detector(context: runner.Context, count: int) -> None:
    rng = random.Random(6)
    detector = sequential_test.ChangeDetector(
        level=0.85, log_threshold=math.log(1e6)
    )
    for _ in range(count):
        values = [rng.betavariate(9, 1) for _ in range(5)]
        detector = feed_detector(detector, values)
        assert not detector.alarmed
    batches = 0
    while not detector.alarmed:
        values = [rng.betavariate(6, 4) for _ in range(5)]
        detector = feed_detector(detector, values)
        batches += 1
    assert batches <= 40, batches


def draw_evidence(
    context: runner.Context,
    key: table.VersionKey,
    mean: float,
    errors_share: float = 0.0,
    slow_share: float = 0.0,
) -> exposure.EvidenceBatch:
    rng: random.Random = context.evidence_rng
    values = [rng.betavariate(mean * 10, 10 - mean * 10) for _ in range(10)]
    return exposure.EvidenceBatch(
        key=key,
        rated=10,
        rating_sum=sum(values),
        rating_square_sum=sum(each * each for each in values),
        requests=20,
        errors=sum(rng.random() < errors_share for _ in range(20)),
        slow=sum(rng.random() < slow_share for _ in range(20)),
    )


def feed_judge(
    context: runner.Context,
    count: int,
    mean: float,
    errors_share: float = 0.0,
    slow_share: float = 0.0,
) -> None:
    for _ in range(count):
        context.judge.fold(draw_evidence(context, OLD, 0.9))
        context.judge.fold(
            draw_evidence(context, NEW, mean, errors_share, slow_share)
        )


@given("an exposure judge")
def step_judge(context: runner.Context) -> None:
    context.judge = exposure.ExposureJudge(key=NEW, incumbent=OLD)
    context.evidence_rng = random.Random(7)


@when("the exposure judge sees {count:d} batches of ratings about {mean:f}")
def step_judge_ratings(
    context: runner.Context, count: int, mean: float
) -> None:
    feed_judge(context, count, mean)


@when(
    "the exposure judge sees {count:d} batches with {share:d} per cent errors"
)
def step_judge_errors(context: runner.Context, count: int, share: int) -> None:
    feed_judge(context, count, 0.9, errors_share=share / 100)


@when(
    "the exposure judge sees {count:d} batches with {share:d} per cent slow"
    " answers"
)
def step_judge_slow(context: runner.Context, count: int, share: int) -> None:
    feed_judge(context, count, 0.9, slow_share=share / 100)


@then("the exposure share is {share:d} per cent")
def step_share(context: runner.Context, share: int) -> None:
    verdict = context.judge.verdict()
    assert verdict == exposure.Stage(share_per_cent=share), verdict


@then('the exposure is held for "{reason}"')
def step_held(context: runner.Context, reason: str) -> None:
    verdict = context.judge.verdict()
    assert isinstance(verdict, exposure.Hold), verdict
    assert verdict.reason == reason, verdict


@then("the exposure judge resumed at any of {count:d} batches ends the same")
def step_resume(context: runner.Context, count: int) -> None:
    step_judge(context)
    batches = [
        draw_evidence(context, (OLD, NEW)[number % 2], 0.9)
        for number in range(count)
    ]
    states = [context.judge.state]
    for batch in batches:
        context.judge.fold(batch)
        states.append(context.judge.state)
    for number in range(0, count, 7):
        resumed = exposure.ExposureJudge(
            key=NEW, incumbent=OLD, state=states[number]
        )
        for batch in batches[number:]:
            resumed.fold(batch)
        assert resumed.state == context.judge.state


@then("exposure assigns {count:d} hashes alike, near each share and never back")
def step_assign(context: runner.Context, count: int) -> None:
    kept: set[int] = set()
    for share in (0, 1, 5, 20, 50, 100):
        assigned = {
            number
            for number in range(count)
            if exposure.assign(request_hash=number, share_per_cent=share)
        }
        assert kept <= assigned
        assert abs(len(assigned) / count - share / 100) < 0.01
        kept = assigned
