"""Measures admission against its baselines through a surge.

Run as `python -m rhubarbbank_experiments.policy_admission`. One sidecar with
eight slots gets 80% of its capacity, then 200% for a minute, then 80% again.
Callers whose request is refused or late try again a few times, as a retry
storm would. Goodput counts answers that were complete by their deadline.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import sys

from rhubarbbank_core import admission
from rhubarbbank_core import admission_baselines
from rhubarbbank_core import retry_budget
from rhubarbbank_experiments import policy_report

SLOTS = 8
MEAN_SERVICE_S = 1.0
SERVICE_SIGMA = 0.5
CAPACITY_PER_S = SLOTS / MEAN_SERVICE_S
CALM_LOAD = 0.8
SURGE_LOAD = 2.0
SURGE_START_S = 60.0
SURGE_END_S = 120.0
END_S = 240.0
DEADLINE_S = 5.0
ATTEMPTS = 4
CALLER_BACK_OFF_S = 0.2
ORGANISATIONS = ("flood", "calm-a", "calm-b")
FLOOD_SHARE = 0.8
PRIORITY_SHARE = 0.2
WINDOW_S = 5.0
GOODPUT_TARGET = 0.9
RECOVERY_TARGET_S = 10.0
RECOVERED_SHARE = 0.95
CALM_TARGET = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One caller's wish for one answer."""

    at: float
    organisation: str
    priority: int
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Event:
    """Something that happens at `at`; `order` breaks ties."""

    at: float
    order: int
    kind: str = dataclasses.field(compare=False)
    call: Call = dataclasses.field(compare=False)
    attempt: int = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class Tries:
    """One attempt's state at the caller and at the sidecar."""

    call: Call
    attempt: int
    deadline: float
    is_open: bool = True


def draw_calls(rng: random.Random) -> list[Call]:
    """Returns the callers' wishes over the whole run."""
    calls: list[Call] = []
    at = 0.0
    location = -(SERVICE_SIGMA**2) / 2.0
    while at < END_S:
        in_surge = SURGE_START_S <= at < SURGE_END_S
        load = SURGE_LOAD if in_surge else CALM_LOAD
        at += rng.expovariate(load * CAPACITY_PER_S)
        flood = rng.random() < (FLOOD_SHARE if in_surge else 1 / 3)
        organisation = ORGANISATIONS[0 if flood else rng.choice((1, 2))]
        priority = 2 if rng.random() < PRIORITY_SHARE else 5
        service_s = rng.lognormvariate(location, SERVICE_SIGMA)
        calls.append(Call(at, organisation, priority, service_s))
    return calls


class Simulation:
    """One admission on one stream of calls."""

    def __init__(
        self,
        *,
        calls: list[Call],
        policy: admission.Admission,
        budget: retry_budget.RetryBudget,
        seed: int,
    ) -> None:
        self.policy = policy
        self.budget = budget
        self.rng = random.Random(seed)
        self.order = itertools.count()
        self.events: list[Event] = []
        self.tries: dict[str, Tries] = {}
        self.good: list[tuple[float, Call]] = []
        self.attempts = 0
        self.wasted = 0
        for call in calls:
            self.push(call.at, "arrive", call, 0)

    def push(self, at: float, kind: str, call: Call, attempt: int) -> int:
        """Plans an event; returns its order number."""
        order = next(self.order)
        heapq.heappush(self.events, Event(at, order, kind, call, attempt))
        return order

    def run(self) -> None:
        """Carries out all events."""
        while self.events:
            event = heapq.heappop(self.events)
            if event.kind == "arrive":
                self.arrive(event)
            elif event.kind == "expire":
                self.expire(event)
            else:
                self.complete(event)
            self.pump(event.at)

    def arrive(self, event: Event) -> None:
        """A caller sends one attempt."""
        self.attempts += 1
        request_id = f"{event.order}"
        deadline = event.at + DEADLINE_S
        self.tries[request_id] = Tries(event.call, event.attempt, deadline)
        decision = self.policy.admit(
            admission.Ticket(
                request_id=request_id,
                organisation=event.call.organisation,
                priority=event.call.priority,
                deadline=deadline,
            ),
            now=event.at,
        )
        if isinstance(decision, admission.Shed):
            self.refuse(decision, event.at)
            return
        call = dataclasses.replace(event.call)
        self.push(deadline, "expire", call, int(request_id))

    def expire(self, event: Event) -> None:
        """A caller's patience ends; the upstream goes on regardless."""
        tries = self.tries.get(str(event.attempt))
        if tries is not None and tries.is_open:
            tries.is_open = False
            self.try_again(tries, event.at, CALLER_BACK_OFF_S)

    def refuse(self, shed: admission.Shed, now: float) -> None:
        """A caller is told to come back later."""
        tries = self.tries.pop(shed.request_id)
        if tries.is_open:
            self.try_again(tries, now, shed.retry_after_s)

    def try_again(self, tries: Tries, now: float, delay_s: float) -> None:
        """A caller sends the next attempt, if it has one left."""
        if tries.attempt + 1 < ATTEMPTS and self.budget.try_acquire(now=now):
            jitter = self.rng.uniform(1.0, 1.2)
            at = now + delay_s * jitter
            self.push(at, "arrive", tries.call, tries.attempt + 1)

    def complete(self, event: Event) -> None:
        """The upstream finishes one request."""
        request_id = str(event.attempt)
        self.policy.finish(request_id, now=event.at)
        tries = self.tries.pop(request_id)
        if tries.is_open and event.at <= tries.deadline:
            self.good.append((event.at, tries.call))
            self.budget.record_success()
        else:
            self.wasted += 1

    def pump(self, now: float) -> None:
        """Hands over what the policy starts and refuses what it sheds."""
        for shed in self.policy.shed(now=now):
            self.refuse(shed, now)
        for ticket in self.policy.start(now=now):
            call = self.tries[ticket.request_id].call
            at = now + call.service_s
            self.push(at, "complete", call, int(ticket.request_id))

    def measure_goodput(self, start: float, end: float) -> float:
        """Returns good answers a second."""
        count = sum(start <= at < end for at, _ in self.good)
        return count / (end - start)

    def find_recovery_s(self, calls: list[Call]) -> float:
        """Returns how long after the surge goodput matched the demand."""
        start = SURGE_END_S
        while start + WINDOW_S <= END_S - WINDOW_S:
            demand = sum(start <= each.at < start + WINDOW_S for each in calls)
            good = self.measure_goodput(start, start + WINDOW_S) * WINDOW_S
            if good >= RECOVERED_SHARE * demand:
                return start - SURGE_END_S
            start += 1.0
        return float("inf")

    def measure_share(self, calls: list[Call], organisation: str) -> float:
        """Returns the answered share of one organisation in the surge."""
        wished = [
            each
            for each in calls
            if each.organisation == organisation
            and SURGE_START_S <= each.at < SURGE_END_S
        ]
        answered = {
            id_of(call)
            for _, call in self.good
            if call.organisation == organisation
        }
        return sum(id_of(each) in answered for each in wished) / len(wished)


def id_of(call: Call) -> float:
    """Returns what tells calls apart: their time of arrival."""
    return call.at


def measure(
    name: str,
    calls: list[Call],
    policy: admission.Admission,
    budget: retry_budget.RetryBudget,
    seed: int,
) -> None:
    """Prints one policy's figures."""
    simulation = Simulation(
        calls=calls, policy=policy, budget=budget, seed=seed
    )
    simulation.run()
    print(
        f"{name}, seed {seed}: {simulation.attempts / len(calls):.2f} attempts"
        f" a call, {simulation.wasted} answers too late"
    )
    surge = simulation.measure_goodput(SURGE_START_S + WINDOW_S, SURGE_END_S)
    policy_report.print_figure(
        "goodput in the surge, of capacity",
        surge / CAPACITY_PER_S,
        target=GOODPUT_TARGET,
        least=True,
    )
    policy_report.print_figure(
        "recovery after the surge, s",
        simulation.find_recovery_s(calls),
        target=RECOVERY_TARGET_S,
    )
    for organisation in ORGANISATIONS:
        target = CALM_TARGET if organisation != ORGANISATIONS[0] else None
        policy_report.print_figure(
            f"answered in the surge, {organisation}",
            simulation.measure_share(calls, organisation),
            target=target,
            least=True,
        )


def main(seeds: collections.abc.Sequence[int]) -> None:
    """Measures every policy with every seed."""
    for seed in seeds:
        calls = draw_calls(random.Random(seed))
        unlimited = retry_budget.UnlimitedRetryBudget()
        policies: dict[str, admission.Admission] = {
            "deadline admission": admission.DeadlineAdmission(
                slots=SLOTS, rng=random.Random(seed)
            ),
            "unlimited FIFO": admission_baselines.UnlimitedFifo(slots=SLOTS),
            "fixed concurrency 16": admission_baselines.FixedConcurrency(
                slots=SLOTS, limit=2 * SLOTS
            ),
            "fixed concurrency 64": admission_baselines.FixedConcurrency(
                slots=SLOTS, limit=8 * SLOTS
            ),
        }
        for name, policy in policies.items():
            measure(name, calls, policy, unlimited, seed)
        measure(
            "unlimited FIFO with a retry budget",
            calls,
            admission_baselines.UnlimitedFifo(slots=SLOTS),
            retry_budget.SuccessRetryBudget(),
            seed,
        )


if __name__ == "__main__":
    main([int(each) for each in sys.argv[1:]] or [1])
