"""The sidecar's attempts, and the answers retained for retransmission.

The sidecar keeps an attempt's answer until the entry confirms that it has
received all of it, so that lost messages can be sent again. It keeps the
attempt's id longer, so that a late duplicate of the submit isn't run again.
Finished attempts expire after FINISHED_ATTEMPT_RETENTION_S; when there are
more than MAX_RETAINED_ATTEMPTS, the oldest are removed first. An entry that
asks for a removed attempt receives AttemptUnknown.
"""

import collections
import dataclasses

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import path_messages
from rhubarbbank_core import table


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Identifies one attempt at one request."""

    request_id: str
    attempt: int

    def __str__(self) -> str:
        return f"{self.request_id}/{self.attempt}"

    @property
    def as_tuple(self) -> tuple[str, int]:
        """The request id and the attempt number."""
        return self.request_id, self.attempt


def parse_attempt_id(text: str) -> AttemptId:
    """Parses an attempt id such as "a1-7/2"."""
    request_id, _, attempt = text.rpartition("/")
    return AttemptId(request_id, int(attempt))


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt, updated while its answer arrives.

    Attributes:
        submit: The entry's submit message.
        arrived_at: When the submit arrived, in seconds.
        waited_s: Time from then until it was sent to the upstream.
        events: All answer events so far, from `submit.first_event` on.
        end: The message that ended it, or None while it runs.
        ended_at: When it ended, in seconds.
        confirmed: Whether the entry has the whole answer.
        prompt_tokens: Prompt tokens reported by the upstream.
        completion_tokens: Completion tokens reported by the upstream.
    """

    submit: path_messages.Submit
    arrived_at: float
    waited_s: float = 0.0
    events: list[bytes] = dataclasses.field(default_factory=list)
    end: effects.Message | None = None
    ended_at: float = 0.0
    confirmed: bool = False
    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def id(self) -> AttemptId:
        """The attempt's id."""
        return AttemptId(self.submit.request_id, self.submit.attempt)

    @property
    def end_event(self) -> int:
        """The number that the next answer event will have."""
        return self.submit.first_event + len(self.events)


class AttemptStore:
    """All attempts of one sidecar, bounded in number.

    Attributes:
        waiting: Admitted attempts that haven't been sent to the upstream.
        running: Attempts in progress at the upstream.
        finished: Ended attempts that haven't expired, oldest first.
    """

    def __init__(self) -> None:
        self.waiting: dict[AttemptId, Attempt] = {}
        self.running: dict[AttemptId, Attempt] = {}
        self.finished: collections.OrderedDict[AttemptId, Attempt] = (
            collections.OrderedDict()
        )

    def find(self, attempt_id: AttemptId) -> Attempt | None:
        """Returns the attempt in any state, or None if it is unknown."""
        return (
            self.running.get(attempt_id)
            or self.waiting.get(attempt_id)
            or self.finished.get(attempt_id)
        )

    def list_active_versions(self) -> frozenset[table.VersionKey]:
        """Returns the versions with waiting or running attempts."""
        return frozenset(
            table.VersionKey(each.submit.model, each.submit.version)
            for group in (self.waiting, self.running)
            for each in group.values()
        )

    def add_waiting(self, attempt: Attempt) -> None:
        """Adds an admitted attempt to the waiting ones."""
        self.waiting[attempt.id] = attempt

    def mark_running(self, attempt: Attempt) -> None:
        """Moves an attempt from the waiting to the running ones."""
        self.waiting.pop(attempt.id, None)
        self.running[attempt.id] = attempt

    def mark_finished(
        self, attempt: Attempt, *, message: effects.Message, now: float
    ) -> None:
        """Moves an attempt to the finished ones, within their limit."""
        self.running.pop(attempt.id, None)
        self.waiting.pop(attempt.id, None)
        attempt.end = message
        attempt.ended_at = now
        self.finished[attempt.id] = attempt
        while len(self.finished) > defaults.MAX_RETAINED_ATTEMPTS:
            self.finished.popitem(last=False)

    def confirm(self, attempt_id: AttemptId) -> None:
        """Discards a finished attempt's events once its entry has them.

        The attempt itself is kept until it expires, so that a late
        duplicate of its submit isn't run again.
        """
        attempt = self.finished.get(attempt_id)
        if attempt is not None:
            attempt.confirmed = True
            attempt.events = []

    def count_unconfirmed(self) -> int:
        """Counts the finished attempts whose answer isn't confirmed."""
        return sum(not each.confirmed for each in self.finished.values())

    def expire(self, *, now: float) -> None:
        """Removes finished attempts whose retention time is over."""
        expired_before = now - defaults.FINISHED_ATTEMPT_RETENTION_S
        while self.finished:
            attempt_id, attempt = next(iter(self.finished.items()))
            if attempt.ended_at > expired_before:
                return
            del self.finished[attempt_id]
