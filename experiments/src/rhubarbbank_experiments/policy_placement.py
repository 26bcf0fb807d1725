"""Measures placement against its baselines, and what a choice costs.

Run as `python -m rhubarbbank_experiments.policy_placement`. Several entries
send one stream of requests to the same upstreams and decide independently.
Each upstream runs a fixed number of requests side by side, queues the rest
first come, first served, and reports its load every half second; reports
arrive late. Every policy gets the same arrivals and service times.
"""

import collections
import collections.abc
import dataclasses
import heapq
import random
import sys
import time

from rhubarbbank_core import placement
from rhubarbbank_core import placement_baselines
from rhubarbbank_experiments import policy_report

ENTRIES = 5
UPSTREAMS = 10
SLOTS = 8
MEAN_SERVICE_S = 1.0
SERVICE_SIGMA = 0.8
DURATION_S = 300.0
WARM_UP_S = 30.0
REPORT_INTERVAL_S = 0.5
REPORT_DELAY_S = 0.5
PREFILL_S_PER_BLOCK = 0.002
PROMPT_BLOCKS = 100
FOLLOW_UP_SHARE = 0.6
HALF_LOAD = 0.5
HIGH_LOAD = 0.9
SPEED_UP_TARGET = 2.0
TIMED_CHOICES = 3_000
MICROSECONDS = 1e6
CHOICE_LIMIT_US = 200.0
LEAVING_SHARE = 0.02
EQUAL_SPEEDS = (1.0,) * UPSTREAMS
MIXED_SPEEDS = (1.0,) * 8 + (0.6,) * 2


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request; `follows` is the number of its session's last turn."""

    at: float
    entry: int
    service_s: float
    follows: int | None


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream's true state."""

    running: int = 0
    queue: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )


Policies = list[placement.Placement]


def draw_arrivals(
    load: float,
    rng: random.Random,
    *,
    sessions: bool,
    speeds: tuple[float, ...],
) -> list[Arrival]:
    """Returns arrivals at a share of the capacity."""
    rate = load * sum(speeds) * SLOTS / MEAN_SERVICE_S
    location = -(SERVICE_SIGMA**2) / 2.0
    arrivals: list[Arrival] = []
    at = 0.0
    while at < DURATION_S:
        at += rng.expovariate(rate)
        service_s = MEAN_SERVICE_S * rng.lognormvariate(location, SERVICE_SIGMA)
        follows = None
        recent = int(10.0 * rate)
        has_past = sessions and len(arrivals) > 2 * recent
        if has_past and rng.random() < FOLLOW_UP_SHARE:
            follows = len(arrivals) - rng.randint(recent, 2 * recent)
        arrivals.append(Arrival(at, rng.randrange(ENTRIES), service_s, follows))
    return arrivals


class Simulation:
    """One policy on one stream, as an event loop over queues."""

    def __init__(
        self,
        *,
        arrivals: list[Arrival],
        policies: Policies,
        sessions: bool,
        speeds: tuple[float, ...],
    ) -> None:
        self.arrivals = arrivals
        self.policies = policies
        self.sessions = sessions
        self.speeds = speeds
        self.upstreams = [Upstream() for _ in range(UPSTREAMS)]
        self.own = [[0] * UPSTREAMS for _ in range(ENTRIES)]
        self.views = [
            [
                placement.Candidate(
                    name=str(number),
                    max_batch=SLOTS,
                    service_s=MEAN_SERVICE_S / speeds[number],
                )
                for number in range(UPSTREAMS)
            ]
            for _ in range(ENTRIES)
        ]
        self.reported_at = [0.0] * UPSTREAMS
        self.placed: dict[int, int] = {}
        self.latencies: list[float] = []
        self.ends: list[tuple[float, int, int]] = []
        self.reports: list[tuple[float, int, int, int, tuple[int, ...]]] = []
        self.next_report = [
            REPORT_INTERVAL_S * number / UPSTREAMS
            for number in range(UPSTREAMS)
        ]

    def run(self) -> list[float]:
        """Returns the latencies of all requests after the warm-up."""
        for number, arrival in enumerate(self.arrivals):
            self.advance(arrival.at)
            self.place(number, arrival)
        self.advance(float("inf"))
        return self.latencies

    def advance(self, now: float) -> None:
        """Carries out ends and reports up to `now`."""
        while self.ends and self.ends[0][0] <= now:
            at, number, upstream = heapq.heappop(self.ends)
            self.send_reports(at)
            self.end(at, number, upstream)
        if now <= DURATION_S:
            self.send_reports(now)

    def send_reports(self, now: float) -> None:
        """Takes the reports that fall due and delivers older ones."""
        for number in range(UPSTREAMS):
            if self.next_report[number] <= now:
                self.take_report(number, self.next_report[number])
                self.next_report[number] += REPORT_INTERVAL_S
        while self.reports and self.reports[0][0] <= now:
            at, number, running, waiting, own = heapq.heappop(self.reports)
            self.reported_at[number] = at - REPORT_DELAY_S
            for entry in range(ENTRIES):
                self.views[entry][number] = dataclasses.replace(
                    self.views[entry][number],
                    running=running,
                    waiting=waiting,
                    own_at_report=own[entry],
                )

    def take_report(self, number: int, at: float) -> None:
        """Puts one report on its way."""
        upstream = self.upstreams[number]
        own = tuple(self.own[entry][number] for entry in range(ENTRIES))
        report = (
            at + REPORT_DELAY_S,
            number,
            upstream.running,
            len(upstream.queue),
            own,
        )
        heapq.heappush(self.reports, report)

    def place(self, number: int, arrival: Arrival) -> None:
        """Sends one request where its entry's policy says."""
        last = None
        if arrival.follows is not None:
            last = self.placed[arrival.follows]
        candidates = [
            dataclasses.replace(
                view,
                own_in_flight=self.own[arrival.entry][index],
                report_age_s=arrival.at - self.reported_at[index],
                cached_blocks=PROMPT_BLOCKS if index == last else 0,
            )
            for index, view in enumerate(self.views[arrival.entry])
        ]
        decision = self.policies[arrival.entry].choose(
            candidates=candidates,
            request=placement.PlacementRequest(
                session_upstream="" if last is None else str(last),
                prompt_blocks=PROMPT_BLOCKS if self.sessions else 0,
                prefill_s_per_block=PREFILL_S_PER_BLOCK,
            ),
        )
        if decision is None:
            raise RuntimeError("No upstream was chosen.")
        chosen = int(decision.upstream)
        self.placed[number] = chosen
        self.own[arrival.entry][chosen] += 1
        upstream = self.upstreams[chosen]
        if upstream.running < SLOTS:
            self.start(arrival.at, number, chosen)
        else:
            upstream.queue.append(number)

    def start(self, now: float, number: int, upstream: int) -> None:
        """Runs one request."""
        arrival = self.arrivals[number]
        service_s = arrival.service_s / self.speeds[upstream]
        if self.sessions:
            hit = (
                arrival.follows is not None
                and self.placed[arrival.follows] == upstream
            )
            service_s += 0.0 if hit else PROMPT_BLOCKS * PREFILL_S_PER_BLOCK
        self.upstreams[upstream].running += 1
        heapq.heappush(self.ends, (now + service_s, number, upstream))

    def end(self, now: float, number: int, chosen: int) -> None:
        """Ends one request and starts the next one queued."""
        arrival = self.arrivals[number]
        self.own[arrival.entry][chosen] -= 1
        upstream = self.upstreams[chosen]
        upstream.running -= 1
        if upstream.queue:
            self.start(now, upstream.queue.popleft(), chosen)
        if arrival.at >= WARM_UP_S:
            self.latencies.append(now - arrival.at)


def list_policies(
    seed: int,
) -> dict[str, collections.abc.Callable[[int], placement.Placement]]:
    """Returns, by name, what makes one entry's policy."""

    def draw(entry: int) -> random.Random:
        return random.Random(seed * ENTRIES + entry)

    def make_round_robin(entry: int) -> placement.Placement:
        policy = placement_baselines.RoundRobinPlacement()
        policy.turn = entry
        return policy

    return {
        "expected wait": lambda entry: placement.ExpectedWaitPlacement(
            rng=draw(entry)
        ),
        "round robin": make_round_robin,
        "random": lambda entry: placement_baselines.RandomPlacement(
            rng=draw(entry)
        ),
        "least own in-flight": lambda entry: (
            placement_baselines.LeastOwnInFlightPlacement(rng=draw(entry))
        ),
        "least reported load": lambda entry: (
            placement_baselines.LeastReportedLoadPlacement(rng=draw(entry))
        ),
    }


def measure(
    load: float, seed: int, *, sessions: bool, speeds: tuple[float, ...]
) -> None:
    """Prints every policy's p95 latency at one load."""
    arrivals = draw_arrivals(
        load, random.Random(seed), sessions=sessions, speeds=speeds
    )
    kind = "sessions" if sessions else "single requests"
    kind += ", equal hosts" if speeds == EQUAL_SPEEDS else ", 2 of 10 slower"
    print(f"load {load:.0%}, {kind}, seed {seed}, {len(arrivals)} requests")
    found: dict[str, float] = {}
    for name, make in list_policies(seed).items():
        simulation = Simulation(
            arrivals=arrivals,
            policies=[make(entry) for entry in range(ENTRIES)],
            sessions=sessions,
            speeds=speeds,
        )
        latencies = simulation.run()
        found[name] = policy_report.find_percentile(latencies, 95.0)
        mean_s = sum(latencies) / len(latencies)
        print(f"  {name}: p95 {found[name]:.3f} s, mean {mean_s:.3f} s")
    own = found.pop("expected wait")
    if load < HIGH_LOAD:
        policy_report.print_figure(
            "p95, of the best baseline's", own / min(found.values()), target=1.0
        )
        return
    for name, value in found.items():
        policy_report.print_figure(
            f"p95 of {name}, of ours",
            value / own,
            target=SPEED_UP_TARGET,
            least=True,
        )


def measure_choice(count: int) -> None:
    """Prints what one choice costs among this many candidates."""
    rng = random.Random(count)
    candidates = [
        placement.Candidate(
            name=str(number),
            own_in_flight=rng.randrange(4),
            running=rng.randrange(8),
            waiting=rng.randrange(3),
            max_batch=8,
            report_age_s=rng.random(),
            cached_blocks=rng.choice((0, 0, 0, 20)),
            leaving=rng.random() < LEAVING_SHARE,
        )
        for number in range(count)
    ]
    request = placement.PlacementRequest(
        session_upstream=str(count - 1), prompt_blocks=PROMPT_BLOCKS
    )
    policy = placement.ExpectedWaitPlacement(rng=rng)
    took_us: list[float] = []
    for _ in range(TIMED_CHOICES):
        started = time.perf_counter()
        policy.choose(candidates=candidates, request=request)
        took_us.append((time.perf_counter() - started) * MICROSECONDS)
    for q in (50.0, 99.0):
        policy_report.print_figure(
            f"{count} candidates: p{q:.0f} of a choice, microseconds",
            policy_report.find_percentile(took_us, q),
            target=CHOICE_LIMIT_US,
        )


def main(seeds: collections.abc.Sequence[int]) -> None:
    """Measures every load with every seed, then the cost of a choice."""
    for seed in seeds:
        for load in (HALF_LOAD, HIGH_LOAD):
            for speeds in (EQUAL_SPEEDS, MIXED_SPEEDS):
                measure(load, seed, sessions=False, speeds=speeds)
            measure(load, seed, sessions=True, speeds=EQUAL_SPEEDS)
    for count in (10, 100, 600):
        measure_choice(count)


if __name__ == "__main__":
    main([int(each) for each in sys.argv[1:]] or [1])
