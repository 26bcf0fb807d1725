"""Baseline policies to compare `admission.DeadlineAdmission` with.

Used by experiments and tests only.
"""

import collections

from rhubarbbank_core import admission
from rhubarbbank_core import errors

FIXED_RETRY_AFTER_S = 1.0


class UnlimitedFifo:
    """Admits everything and serves it first come, first served."""

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.queue: collections.deque[admission.Ticket] = collections.deque()
        self.running: set[str] = set()

    def admit(
        self, ticket: admission.Ticket, *, now: float
    ) -> admission.AdmissionDecision:
        """Queues the request."""
        del now
        self.queue.append(ticket)
        return admission.Admitted(expected_wait_s=0.0)

    def start(self, *, now: float) -> list[admission.Ticket]:
        """Returns the oldest requests, one for each free slot."""
        del now
        started: list[admission.Ticket] = []
        while self.queue and len(self.running) < self.slots:
            ticket = self.queue.popleft()
            self.running.add(ticket.request_id)
            started.append(ticket)
        return started

    def shed(self, *, now: float) -> list[admission.Shed]:
        """Returns an empty list: admitted requests are never shed."""
        del now
        return []

    def finish(self, request_id: str, *, now: float) -> None:
        """Frees the slot of a running request; does not dequeue requests."""
        del now
        self.running.discard(request_id)


class FixedConcurrency(UnlimitedFifo):
    """Limits the number of running and queued requests."""

    def __init__(self, *, slots: int, limit: int) -> None:
        super().__init__(slots=slots)
        self.limit = limit

    def admit(
        self, ticket: admission.Ticket, *, now: float
    ) -> admission.AdmissionDecision:
        """Queues the request, or refuses it at the limit."""
        if len(self.queue) + len(self.running) >= self.limit:
            return admission.Shed(
                request_id=ticket.request_id,
                code=errors.ErrorCode.OVERLOADED,
                retry_after_s=FIXED_RETRY_AFTER_S,
            )
        return super().admit(ticket, now=now)
