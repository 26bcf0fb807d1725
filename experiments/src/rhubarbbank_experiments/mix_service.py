"""A runner of the plain service in simulated time: slots and a queue."""

import dataclasses

from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_engine
from rhubarbbank_experiments import mix_settings
from rhubarbbank_router import upstreams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One attempt at a service.

    Attributes:
        key: Its entry, request and attempt.
        arrival: What chance decided of the request.
        number: Of the attempt, from 1.
    """

    key: mix_engine.RunKey
    arrival: mix_arrivals.Arrival
    number: int

    @property
    def work_s(self) -> float:
        """How long it takes."""
        return self.arrival.work_s[self.number - 1]

    @property
    def fails(self) -> bool:
        """Whether it is answered with a failure."""
        return self.arrival.fails[self.number - 1]


class Service:
    """One runner.

    Attributes:
        settings: Its size.
        running: In its slots.
        waiting: Before them, in the order of their arrival.
    """

    def __init__(self, settings: mix_settings.ServiceSettings) -> None:
        self.settings = settings
        self.running: list[Call] = []
        self.waiting: list[Call] = []

    @property
    def load(self) -> upstreams.LoadReport:
        """What the heads of its answers tell."""
        return upstreams.LoadReport(
            running=len(self.running),
            waiting=len(self.waiting),
            slots=self.settings.slots,
        )

    @property
    def is_full(self) -> bool:
        """Whether it refuses what comes."""
        return len(self.waiting) >= self.settings.queue

    def submit(self, call: Call) -> list[Call]:
        """Queues a call; returns those that begin now."""
        self.waiting.append(call)
        return self.fill()

    def fill(self) -> list[Call]:
        """Fills free slots; returns the calls that begin now."""
        free = self.settings.slots - len(self.running)
        begun = self.waiting[:free]
        del self.waiting[:free]
        self.running += begun
        return begun

    def remove(self, key: mix_engine.RunKey) -> list[Call]:
        """Ends a call, however; returns those that begin now."""
        self.running = [x for x in self.running if x.key != key]
        self.waiting = [x for x in self.waiting if x.key != key]
        return self.fill()

    def has(self, key: mix_engine.RunKey) -> bool:
        """Returns whether a call is still running."""
        return any(x.key == key for x in self.running)
