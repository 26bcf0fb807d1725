"""The entry's requests that are not answered yet."""

import dataclasses
import enum

from rhubarbbank_core import allowances
from rhubarbbank_core import answer_buffer
from rhubarbbank_core import defaults
from rhubarbbank_core import path_messages
from rhubarbbank_core import requests
from rhubarbbank_core import table


class Phase(enum.StrEnum):
    """What a request waits for."""

    PINNING = "pinning"
    SLICING = "slicing"
    CLAIMING = "claiming"
    ISOLATING = "isolating"
    RUNNING = "running"
    RATING = "rating"
    STEPPING = "stepping"
    BILLING = "billing"


@dataclasses.dataclass(slots=True, kw_only=True)
class Try:
    """The current attempt at an upstream.

    Attributes:
        number: From 1.
        sidecar: The sidecar's name.
        address: Its peer address.
        submit: What was sent.
        placed_at: When it was first sent, in seconds.
        sent_at: When it was sent last, in seconds.
        heard_at: When the sidecar was last heard of it, in seconds.
        probed_at: When the sidecar was last asked for it, in seconds.
        first_event_at: When its first event came, in seconds; 0 before.
        accepted: Whether the sidecar has confirmed it.
        end: The message that ended it, kept until all events are there.
    """

    number: int
    sidecar: str
    address: str
    submit: path_messages.Submit
    placed_at: float
    sent_at: float
    heard_at: float
    probed_at: float
    first_event_at: float = 0.0
    accepted: bool = False
    end: path_messages.Done | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenRequest:
    """One request on its way.

    Attributes:
        request: What the caller asked.
        arrived: In seconds.
        deadline: In seconds.
        phase: What it waits for.
        row: The row that it runs on.
        pinned: Whether its session had this version before.
        steps: Rows still to be tried when an answer is rated low.
        threshold: Least rating that ends a cascade, 0 to 1.
        rated: Whether the answer is rated before it is shown.
        wants_rating: Whether the final answer should be rated, too.
        is_whole: Whether the caller may get `answer` as it is.
        rating_until: How long to wait for a rating, in seconds.
        step_reason: Why the stronger version is tried.
        after: The version whose answer was rated too low, or None.
        current: The attempt under way.
        attempts: Attempts made so far.
        run_failures: Attempts that failed after the hand-over.
        crash_failures: Those of them that may have crashed their upstream.
        excluded: Sidecars that failed for this request.
        buffer: Puts the answer's events in order.
        answer: Events kept because the answer isn't streamed through.
        started: Whether the caller's stream has begun.
        cost: What the attempts cost so far, in the table's unit.
        prompt_tokens: Summed over the attempts that were answered.
        completion_tokens: Summed over the attempts that were answered.
        pin_to_hold: The session's pin, while it isn't durable; or empty.
        bill_key: The billing record's key.
        bill_value: The billing record.
        hold_at: When the sidecar is next asked to keep a copy, in seconds.
        last_address: Peer address of the sidecar that answered.
        last_sidecar: Name of the sidecar that was tried last.
        slice_until: How long to wait for a slice, in seconds.
        claim_round: How often the key was claimed, this time included.
        claimed: Whether this round's claim is known to be this request's.
        suspect_epoch: The epoch in which it is a suspect.
        retry_after_s: The longest wait that a refusal named.
        service_status: HTTP status of a service's answer.
        content_type: Of a service's answer.
        alone: Whether it must run alone, as a crash suspect.
    """

    request: requests.CallerRequest
    arrived: float
    deadline: float
    phase: Phase
    row: table.Row
    pinned: bool = False
    steps: list[table.Row] = dataclasses.field(default_factory=list)
    threshold: float = 0.0
    rated: bool = False
    wants_rating: bool = False
    is_whole: bool = False
    rating_until: float = 0.0
    step_reason: str = ""
    after: table.VersionKey | None = None
    current: Try | None = None
    attempts: int = 0
    run_failures: int = 0
    crash_failures: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    buffer: answer_buffer.AnswerBuffer = dataclasses.field(
        default_factory=answer_buffer.AnswerBuffer
    )
    answer: list[bytes] = dataclasses.field(default_factory=list)
    started: bool = False
    cost: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    pin_to_hold: bytes = b""
    bill_key: str = ""
    bill_value: bytes = b""
    hold_at: float = 0.0
    last_address: str = ""
    last_sidecar: str = ""
    slice_until: float = 0.0
    claim_round: int = 0
    claimed: bool = False
    suspect_epoch: int = 0
    retry_after_s: float = 0.0
    service_status: int = 200
    content_type: str = "application/json"
    alone: bool = False

    def await_step(self, *, now: float) -> None:
        """Begins to wait for the stronger version's allowance."""
        self.phase = Phase.STEPPING
        self.slice_until = now + defaults.STEP_UP_WAIT_S

    def take_step(self) -> None:
        """Goes on with the stronger version; the caller has nothing yet."""
        if self.is_whole:
            self.after = self.row.key
        self.row = self.steps.pop(0)
        self.is_whole = False
        self.rated = bool(self.steps)
        self.answer = []
        self.buffer = answer_buffer.AnswerBuffer()

    @property
    def is_answered(self) -> bool:
        """Whether no deadline takes the answer that is there away."""
        return self.is_whole or self.phase is Phase.BILLING

    @property
    def slice_key(self) -> str:
        """The allowance that it waits for a slice of, or empty."""
        if self.phase is Phase.SLICING:
            row = self.row
        elif self.phase is Phase.STEPPING:
            row = self.steps[0]
        else:
            return ""
        return allowances.allowance_key(
            self.request.organisation, row.model, row.version
        )

    @property
    def has_answer(self) -> bool:
        """Whether an upstream has answered it, though not to the caller yet.

        So it is while the answer is rated and while a stronger version is
        tried after that.
        """
        return self.after is not None or self.is_whole

    @property
    def streams_through(self) -> bool:
        """Whether events go to the caller as they come."""
        return self.request.stream and not self.rated
