"""Measures the cascade against its baselines on one stream of requests.

Run as `python -m rhubarbbank_experiments.policy_cascade`. Every policy
answers the same requests, with the same true qualities and rating errors.
The rating that a cascade acts on comes at once; ratings of final answers come
late, and some never. The truth about quality is known to the stream and the
oracle only.
"""

import collections.abc
import dataclasses
import heapq
import random
import sys

from rhubarbbank_core import cascade
from rhubarbbank_core import cascade_baselines
from rhubarbbank_core import table
from rhubarbbank_experiments import policy_report

CHEAP = table.VersionKey("cheap", "1")
STRONG = table.VersionKey("strong", "1")
CANDIDATES = (
    cascade.PricedVersion(key=CHEAP, price=1.0),
    cascade.PricedVersion(key=STRONG, price=12.0),
)
PRICES = {each.key: each.price for each in CANDIDATES}
REQUESTS = 40_000
REQUESTS_PER_S = 20.0
RATING_DELAY_S = 60.0
MISSING_SHARE = 0.3
CONCENTRATION = 8.0
# A standard deviation of 0.1 about a true quality of 0.8.
RATER_CONCENTRATION = 15.0
HARDNESS = 0.04
ORACLE_SAMPLES = 2_000
LARGE_ORGANISATIONS = 2
ORGANISATIONS = 10
LARGE_WEIGHT = 10
# Organisations' true means differ by these, in turn.
ORGANISATION_SHIFTS = (0.0, -0.02, 0.02)
COST_TARGET = 0.4
ORACLE_TARGET = 1.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """One class: its share of requests, and what is true of it."""

    name: str
    share: float
    target: float
    cheap: float
    strong: float
    cheap_later: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """A named mix of classes."""

    name: str
    classes: tuple[RequestClass, ...]


def list_workloads() -> tuple[Workload, ...]:
    """Returns the mixes that are measured."""
    tag = RequestClass(
        name="tag", share=0.5, target=0.9, cheap=0.95, strong=0.97
    )
    chat = RequestClass(
        name="chat", share=0.45, target=0.85, cheap=0.8, strong=0.93
    )
    plan = RequestClass(
        name="plan", share=0.05, target=0.85, cheap=0.45, strong=0.92
    )
    return (
        Workload(name="bookings", classes=(tag, chat, plan)),
        Workload(
            name="clearance",
            classes=(
                dataclasses.replace(tag, share=0.55),
                dataclasses.replace(chat, name="field", share=0.35),
                dataclasses.replace(plan, share=0.1),
            ),
        ),
        Workload(
            name="bookings, cheap tag falls to .70 halfway",
            classes=(dataclasses.replace(tag, cheap_later=0.7), chat, plan),
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request and what each version would truly give."""

    at: float
    organisation: str
    request_class: RequestClass
    quality: dict[table.VersionKey, float]
    rating: dict[table.VersionKey, float]
    delay_s: float
    is_rated: bool


def draw_qualities(
    request_class: RequestClass,
    *,
    organisation: int,
    later: bool,
    rng: random.Random,
) -> dict[table.VersionKey, float]:
    """Returns the true quality of both versions' answers to one request."""
    shift = ORGANISATION_SHIFTS[organisation % len(ORGANISATION_SHIFTS)]
    shift += rng.choice((-HARDNESS, HARDNESS))
    cheap = request_class.cheap
    if later and request_class.cheap_later is not None:
        cheap = request_class.cheap_later
    return {
        key: draw_beta(mean + shift, CONCENTRATION, rng)
        for key, mean in ((CHEAP, cheap), (STRONG, request_class.strong))
    }


def draw_beta(mean: float, concentration: float, rng: random.Random) -> float:
    """Returns a number in [0, 1] with this mean."""
    bounded = min(0.995, max(0.005, mean))
    return rng.betavariate(
        bounded * concentration, (1.0 - bounded) * concentration
    )


def draw_rating(quality: float, rng: random.Random) -> float:
    """Returns a noisy rating of an answer, right on average."""
    return draw_beta(quality, RATER_CONCENTRATION, rng)


def draw_requests(workload: Workload, rng: random.Random) -> list[Request]:
    """Returns the stream of requests."""
    organisations = range(ORGANISATIONS)
    weights = [
        LARGE_WEIGHT if number < LARGE_ORGANISATIONS else 1
        for number in range(ORGANISATIONS)
    ]
    shares = [each.share for each in workload.classes]
    requests = []
    for number in range(REQUESTS):
        request_class = rng.choices(workload.classes, shares)[0]
        organisation = rng.choices(organisations, weights)[0]
        quality = draw_qualities(
            request_class,
            organisation=organisation,
            later=number >= REQUESTS // 2,
            rng=rng,
        )
        requests.append(
            Request(
                number / REQUESTS_PER_S,
                str(organisation),
                request_class,
                quality,
                {key: draw_rating(each, rng) for key, each in quality.items()},
                rng.expovariate(1.0 / RATING_DELAY_S),
                rng.random() >= MISSING_SHARE,
            )
        )
    return requests


class SampledTruth:
    """Knows plans' true worth by sampling, for the oracle."""

    def __init__(self, *, workload: Workload, later: bool) -> None:
        rng = random.Random(7)
        self.samples = {
            (str(organisation), each.name): [
                (quality, draw_rating(quality[CHEAP], rng))
                for quality in (
                    draw_qualities(
                        each, organisation=organisation, later=later, rng=rng
                    )
                    for _ in range(ORACLE_SAMPLES)
                )
            ]
            for each in workload.classes
            for organisation in range(ORGANISATIONS)
        }

    def measure(
        self, *, organisation: str, request_class: str, plan: cascade.Plan
    ) -> tuple[float, float]:
        """Returns the plan's true mean quality and price."""
        quality = price = 0.0
        for each, rating in self.samples[organisation, request_class]:
            final = plan.first
            price += PRICES[plan.first]
            if plan.then is not None and rating < plan.threshold:
                final = plan.then
                price += PRICES[plan.then]
            quality += each[final]
        return quality / ORACLE_SAMPLES, price / ORACLE_SAMPLES


@dataclasses.dataclass(slots=True)
class Account:
    """Sums over the requests of one class."""

    requests: int = 0
    price: float = 0.0
    quality: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What one policy did, by half of the stream and class name."""

    accounts: dict[tuple[int, str], Account]

    def sum_price(self, half: int) -> float:
        """Returns the price of one half of the stream."""
        return sum(
            each.price for key, each in self.accounts.items() if key[0] == half
        )


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LateRating:
    """A rating on its way."""

    at: float
    number: int
    request: Request = dataclasses.field(compare=False)
    key: table.VersionKey = dataclasses.field(compare=False)
    after: table.VersionKey | None = dataclasses.field(compare=False)


def run(
    policies: collections.abc.Sequence[cascade.Cascade],
    requests: list[Request],
) -> Outcome:
    """Answers the stream; `policies` holds one for each half."""
    accounts: dict[tuple[int, str], Account] = {}
    late: list[LateRating] = []
    for number, request in enumerate(requests):
        half = 2 * number // len(requests)
        policy = policies[half]
        while late and late[0].at <= request.at:
            observe(policy, heapq.heappop(late), request.at)
        plan = policy.choose(
            organisation=request.organisation,
            request_class=request.request_class.name,
            candidates=CANDIDATES,
            target=request.request_class.target,
            now=request.at,
        )
        final, after = answer(policy, plan, request, number)
        price = PRICES[final] + (PRICES[after] if after else 0.0)
        account = accounts.setdefault(
            (half, request.request_class.name), Account()
        )
        account.requests += 1
        account.price += price
        account.quality += request.quality[final]
        # A first answer that was kept has been rated already.
        first_was_rated = plan.then is not None and after is None
        if plan.wants_rating and request.is_rated and not first_was_rated:
            at = request.at + request.delay_s
            heapq.heappush(late, LateRating(at, number, request, final, after))
    return Outcome(accounts=accounts)


def answer(
    policy: cascade.Cascade, plan: cascade.Plan, request: Request, number: int
) -> tuple[table.VersionKey, table.VersionKey | None]:
    """Carries a plan out; returns the final version and the one before."""
    if plan.then is None:
        return plan.first, None
    first = LateRating(request.at, number, request, plan.first, None)
    observe(policy, first, request.at)
    if request.rating[plan.first] >= plan.threshold:
        return plan.first, None
    return plan.then, plan.first


def observe(policy: cascade.Cascade, late: LateRating, now: float) -> None:
    """Hands a rating to the policy."""
    policy.observe(
        organisation=late.request.organisation,
        request_class=late.request.request_class.name,
        key=late.key,
        rating=late.request.rating[late.key],
        now=now,
        after=late.after,
    )


def measure(workload: Workload, seed: int) -> None:
    """Prints the figures of one workload."""
    requests = draw_requests(workload, random.Random(seed))
    learning = cascade.LearningCascade(rng=random.Random(seed))
    oracles = [
        cascade_baselines.OracleCascade(
            truth=SampledTruth(workload=workload, later=later)
        )
        for later in (False, True)
    ]
    strong = cascade_baselines.AlwaysStrong()
    cheap = cascade_baselines.AlwaysCheap()
    outcomes = {
        "learning": run([learning, learning], requests),
        "oracle": run(oracles, requests),
        "always strong": run([strong, strong], requests),
        "always cheap": run([cheap, cheap], requests),
    }
    print(f"{workload.name}, seed {seed}")
    for half, label in enumerate(("first half", "second half")):
        print_half(workload, outcomes, half, label)


def print_half(
    workload: Workload, outcomes: dict[str, Outcome], half: int, label: str
) -> None:
    """Prints cost and quality of one half of the stream."""
    learnt = outcomes["learning"].sum_price(half)
    strong = outcomes["always strong"].sum_price(half)
    oracle = outcomes["oracle"].sum_price(half)
    cheap = outcomes["always cheap"].sum_price(half)
    policy_report.print_figure(
        f"{label}: cost, of always strong", learnt / strong, target=COST_TARGET
    )
    policy_report.print_figure(
        f"{label}: cost, of the oracle", learnt / oracle, target=ORACLE_TARGET
    )
    policy_report.print_figure(
        f"{label}: always cheap's cost, of always strong", cheap / strong
    )
    for each in workload.classes:
        for name, outcome in outcomes.items():
            account = outcome.accounts[half, each.name]
            policy_report.print_figure(
                f"{label}: {each.name} quality, {name}, price"
                f" {account.price / account.requests:.2f}",
                account.quality / account.requests,
                target=each.target,
                least=True,
            )


def main(seeds: collections.abc.Sequence[int]) -> None:
    """Measures every workload with every seed."""
    for seed in seeds:
        for workload in list_workloads():
            measure(workload, seed)


if __name__ == "__main__":
    main([int(each) for each in sys.argv[1:]] or [1])
