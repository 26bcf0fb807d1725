"""Admission control, queueing and load shedding at the sidecar.

The sidecar passes each request to `admit`, sends the requests that `start`
returns to its upstream, and reports each end to `finish`. The queue is
ordered by priority (0 first) and, within a priority, by start-time fair
queueing over organisations, so that a burst of one organisation delays mainly
its own requests.

A request is admitted only if it is expected to meet its deadline. The
estimate is the work ahead of it, divided by the upstream's service rate, plus
its own service time and a margin for the variation of service times. `shed`
refuses queued requests as soon as they can no longer meet their deadlines, for
example because requests of a higher priority arrived later. Since no request
is started that is expected to miss its deadline, capacity is not spent on late
answers, and goodput stays high however many callers retry. `retry_after_s` has
jitter, so that refused callers do not retry simultaneously.
"""

import collections.abc
import dataclasses
import random
from typing import Protocol

from rhubarbbank_core import errors

PRIORITY_COUNT = 10
SERVICE_SMOOTHING_FACTOR = 0.05
SERVICE_MARGIN_DEVIATIONS = 2.0
MINIMUM_RETRY_JITTER = 0.5
MAXIMUM_RETRY_JITTER = 1.5
MINIMUM_RETRY_AFTER_S = 0.5
MAXIMUM_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The properties of a request that admission control uses.

    Attributes:
        request_id: Unique among queued and running requests.
        organisation: The customer that sent the request.
        priority: 0 is served first, 9 last.
        deadline: When the answer must be complete, in the time of `now`.
        work: Size relative to a mean request; 1 is the mean.
        weight: The organisation's share relative to others.
    """

    request_id: str
    organisation: str
    priority: int
    deadline: float
    work: float = 1.0
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request was queued, with an estimate of its queueing time."""

    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """The request was refused and has not run.

    Attributes:
        request_id: The ID of the request.
        code: OVERLOADED or DEADLINE_UNREACHABLE.
        retry_after_s: The delay before the caller should retry, with jitter.
    """

    request_id: str
    code: errors.ErrorCode
    retry_after_s: float


AdmissionDecision = Admitted | Shed


class Admission(Protocol):
    """Decides which requests a sidecar's upstream runs, in which order."""

    def admit(self, ticket: Ticket, *, now: float) -> AdmissionDecision:
        """Queues one request or refuses it."""

    def start(self, *, now: float) -> list[Ticket]:
        """Returns the requests to send to the upstream now, in order."""

    def shed(self, *, now: float) -> list[Shed]:
        """Removes queued requests to shed and returns their refusals."""

    def finish(self, request_id: str, *, now: float) -> None:
        """Removes a queued or running request that ended or was cancelled."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Queued:
    """A ticket in the queue; `tag` is its virtual start time."""

    ticket: Ticket
    tag: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Running:
    """A ticket that was sent to the upstream at `started_at`."""

    ticket: Ticket
    started_at: float


class PriorityQueue:
    """The queue of one priority, with fair queueing over organisations.

    Attributes:
        waiting: Each organisation's tickets, oldest first.
        virtual_time: The highest tag of the tickets taken so far.
        finish_tags: Each organisation's last virtual finish time.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, list[Queued]] = {}
        self.virtual_time = 0.0
        self.finish_tags: dict[str, float] = {}

    def put(self, ticket: Ticket) -> None:
        """Appends a ticket to its organisation's queue."""
        tag = self.next_tag(ticket.organisation)
        self.finish_tags[ticket.organisation] = tag + (
            ticket.work / ticket.weight
        )
        self.waiting.setdefault(ticket.organisation, []).append(
            Queued(ticket=ticket, tag=tag)
        )

    def next_tag(self, organisation: str) -> float:
        """Returns the virtual start time that a new ticket would get."""
        last = self.finish_tags.get(organisation, 0.0)
        return max(last, self.virtual_time)

    def take(self) -> Ticket | None:
        """Removes and returns the ticket with the lowest tag, if any."""
        heads = [queue[0] for queue in self.waiting.values()]
        if not heads:
            return None
        first = min(heads, key=lambda each: each.tag)
        self.virtual_time = max(self.virtual_time, first.tag)
        self.remove(first.ticket)
        return first.ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket."""
        organisation = ticket.organisation
        queue = self.waiting[organisation]
        index = next(
            position
            for position, each in enumerate(queue)
            if each.ticket.request_id == ticket.request_id
        )
        del queue[index]
        if not queue:
            del self.waiting[organisation]
        if len(self.finish_tags) > len(self.waiting):
            self.drop_stale_tags()

    def drop_stale_tags(self) -> None:
        """Drops finish tags that no longer affect the tag of a new ticket."""
        self.finish_tags = {
            organisation: tag
            for organisation, tag in self.finish_tags.items()
            if organisation in self.waiting or tag > self.virtual_time
        }

    def sorted_items(self) -> list[Queued]:
        """Returns all queued tickets in the order of service."""
        items = [each for queue in self.waiting.values() for each in queue]
        return sorted(items, key=lambda each: each.tag)

    def sum_work_until(self, tag: float) -> float:
        """Returns the queued work with a tag of at most `tag`."""
        return sum(
            each.ticket.work
            for queue in self.waiting.values()
            for each in queue
            if each.tag <= tag
        )


class DeadlineAdmission:
    """Sheds requests that are predicted to miss their deadlines.

    Attributes:
        slots: The number of requests that the upstream runs concurrently.
        service_s: The estimated service time of a request of mean size.
        deviation_s: The mean absolute deviation from `service_s`.
        safety_factor: A factor on the estimated wait, against its error.
        limit: The maximum number of queued requests.
    """

    def __init__(
        self,
        *,
        slots: int,
        rng: random.Random,
        service_s: float = 1.0,
        safety_factor: float = 1.1,
        limit: int = 1000,
    ) -> None:
        self.slots = slots
        self.rng = rng
        self.service_s = service_s
        self.deviation_s = 0.0
        self.safety_factor = safety_factor
        self.limit = limit
        self.queues = [PriorityQueue() for _ in range(PRIORITY_COUNT)]
        self.queued: dict[str, Ticket] = {}
        self.running: dict[str, Running] = {}
        self.pending_refusals: list[Shed] = []

    def admit(self, ticket: Ticket, *, now: float) -> AdmissionDecision:
        """Queues a request unless it would be late or the queue is full."""
        wait_s = self.predict_wait_s(ticket, now=now)
        late_s = now + wait_s + self.predict_service_s(ticket) - ticket.deadline
        if late_s > 0.0:
            return self.refuse(
                ticket, errors.ErrorCode.DEADLINE_UNREACHABLE, late_s
            )
        if len(self.queued) >= self.limit and not self.evict_lower_priority(
            ticket
        ):
            return self.refuse(ticket, errors.ErrorCode.OVERLOADED, wait_s)
        self.queues[ticket.priority].put(ticket)
        self.queued[ticket.request_id] = ticket
        return Admitted(expected_wait_s=wait_s)

    def predict_wait_s(self, ticket: Ticket, *, now: float) -> float:
        """Returns the estimated time until a new ticket would start."""
        work_ahead = sum(
            queue.sum_work_until(float("inf"))
            for queue in self.queues[: ticket.priority]
        )
        own_queue = self.queues[ticket.priority]
        work_ahead += own_queue.sum_work_until(
            own_queue.next_tag(ticket.organisation)
        )
        free_slots = self.slots - len(self.running)
        if work_ahead < free_slots:
            return 0.0
        # Work ahead takes the free slots and the next `work_ahead - free_slots`
        # slots that become free; the ticket takes the one after these.
        return self.estimate_drain_s(work_ahead - free_slots + 1.0)

    def estimate_drain_s(self, work: float) -> float:
        """Returns the estimated time for all slots to finish `work`."""
        return self.safety_factor * work * self.service_s / self.slots

    def predict_service_s(self, ticket: Ticket) -> float:
        """Returns a service time that few requests of this size exceed."""
        longest_s = (
            self.service_s + SERVICE_MARGIN_DEVIATIONS * self.deviation_s
        )
        return ticket.work * longest_s

    def evict_lower_priority(self, ticket: Ticket) -> bool:
        """Evicts the last ticket of the lowest priority below `ticket`'s.

        Returns False if no lower priority has a queued ticket.
        """
        for priority in range(PRIORITY_COUNT - 1, ticket.priority, -1):
            items = self.queues[priority].sorted_items()
            if items:
                last = items[-1].ticket
                self.drop(last)
                self.pending_refusals.append(
                    self.refuse(
                        last, errors.ErrorCode.OVERLOADED, self.service_s
                    )
                )
                return True
        return False

    def refuse(
        self, ticket: Ticket, code: errors.ErrorCode, wait_s: float
    ) -> Shed:
        """Returns a refusal whose `retry_after_s` has jitter."""
        base_s = min(MAXIMUM_RETRY_AFTER_S, max(MINIMUM_RETRY_AFTER_S, wait_s))
        jitter = self.rng.uniform(MINIMUM_RETRY_JITTER, MAXIMUM_RETRY_JITTER)
        return Shed(
            request_id=ticket.request_id,
            code=code,
            retry_after_s=base_s * jitter,
        )

    def drop(self, ticket: Ticket) -> None:
        """Removes a queued ticket."""
        self.queues[ticket.priority].remove(ticket)
        del self.queued[ticket.request_id]

    def start(self, *, now: float) -> list[Ticket]:
        """Starts requests in free slots, after dropping late ones."""
        self.pending_refusals.extend(self.drop_late(now=now))
        started: list[Ticket] = []
        while len(self.running) < self.slots:
            ticket = self.take()
            if ticket is None:
                break
            self.running[ticket.request_id] = Running(
                ticket=ticket, started_at=now
            )
            started.append(ticket)
        return started

    def take(self) -> Ticket | None:
        """Removes and returns the next ticket in the order of service."""
        for queue in self.queues:
            ticket = queue.take()
            if ticket is not None:
                del self.queued[ticket.request_id]
                return ticket
        return None

    def shed(self, *, now: float) -> list[Shed]:
        """Drops late requests; returns all drops since the last call."""
        late = self.pending_refusals + self.drop_late(now=now)
        self.pending_refusals = []
        return late

    def drop_late(self, *, now: float) -> list[Shed]:
        """Removes and refuses tickets that would miss their deadlines."""
        late: list[Shed] = []
        work_ahead = 0.0
        free_slots = self.slots - len(self.running)
        for ticket in self.iterate_in_order():
            wait_s = 0.0
            if work_ahead >= free_slots:
                wait_s = self.estimate_drain_s(work_ahead - max(0, free_slots))
            end = now + wait_s + self.predict_service_s(ticket)
            if end > ticket.deadline:
                self.drop(ticket)
                late.append(
                    self.refuse(
                        ticket,
                        errors.ErrorCode.DEADLINE_UNREACHABLE,
                        end - ticket.deadline,
                    )
                )
                continue
            work_ahead += ticket.work
        return late

    def iterate_in_order(self) -> collections.abc.Iterator[Ticket]:
        """Yields queued tickets in the order of service."""
        for queue in self.queues:
            for each in queue.sorted_items():
                yield each.ticket

    def finish(self, request_id: str, *, now: float) -> None:
        """Removes a request and updates the service time if it was running."""
        queued = self.queued.get(request_id)
        if queued is not None:
            self.drop(queued)
            return
        ended = self.running.pop(request_id, None)
        if ended is None:
            return
        measured_s = (now - ended.started_at) / ended.ticket.work
        error_s = measured_s - self.service_s
        self.service_s += SERVICE_SMOOTHING_FACTOR * error_s
        self.deviation_s += SERVICE_SMOOTHING_FACTOR * (
            abs(error_s) - self.deviation_s
        )
