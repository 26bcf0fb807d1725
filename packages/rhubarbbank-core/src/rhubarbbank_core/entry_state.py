"""What all passes of the entry's reducer share.

The reducer in `entry.py` hands each event to one of the passes, which are
plain functions over this state: `entry_intake`, `entry_pins`,
`entry_allowances`, `entry_claims`, `entry_dispatch`, `entry_answers`,
`entry_ratings`, `entry_billing`, `entry_suspects`, `entry_exposure`.
"""

import collections
import dataclasses
import enum
import random
from typing import TypeVar

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_control
from rhubarbbank_core import errors
from rhubarbbank_core import evidence
from rhubarbbank_core import exposure_duty
from rhubarbbank_core import ledger_records
from rhubarbbank_core import open_requests
from rhubarbbank_core import policies
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import retry_budget
from rhubarbbank_core import rollout_duty
from rhubarbbank_core import suspects
from rhubarbbank_core import table
from rhubarbbank_core import table_editor

Key = TypeVar("Key")
Value = TypeVar("Value")


class PutPurpose(enum.StrEnum):
    """Why a record was put."""

    PIN = "pin"
    CLAIM = "claim"
    BILL = "bill"
    OUTCOME = "outcome"
    ISOLATION = "isolation"


# What may run only once it can't be lost any more.
DURABLE_PURPOSES = frozenset({PutPurpose.CLAIM, PutPurpose.ISOLATION})


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPut:
    """A put that the ledger hasn't settled yet."""

    purpose: PutPurpose
    request_id: str
    record: ledger_records.Record


@dataclasses.dataclass(slots=True, kw_only=True)
class SessionPin:
    """The version of a session.

    Attributes:
        key: The version.
        upstream: The sidecar that served the last turn, or empty.
    """

    key: table.VersionKey
    upstream: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingRating:
    """An answer whose rating was asked for.

    Attributes:
        organisation: Of the request.
        request_class: Of the request.
        key: The version that answered.
        after: The version whose answer was rated too low before, or None.
    """

    organisation: str
    request_class: str
    key: table.VersionKey
    after: table.VersionKey | None


@dataclasses.dataclass(frozen=True, slots=True)
class UnsettledRecord:
    """A bill or a pin that isn't durable yet.

    Attributes:
        value: The record.
        holder: Peer address of the sidecar that keeps a copy, or empty.
    """

    value: bytes
    holder: str


class EntryState:
    """The entry's state.

    Attributes:
        identity: Who this process is.
        control: Membership, table, ledger and allowances.
        rng: Seeded randomness.
        rows: The table in force here.
        open: Requests that are not answered yet, by request id.
        in_flight: Open attempts for each sidecar.
        at_report: Open attempts when a sidecar's load was last reported.
        service_s: Mean time that a request runs, by version.
        placement: Chooses among upstreams.
        cascade: Chooses among models.
        retries: How many retries this entry can afford.
        suspects: Requests that crashed an upstream.
        pins: Sessions' versions, least recently used first.
        puts: Records on their way to the ledger, by put id.
        gets: Claimed requests that look for an outcome, by get id.
        ratings: Answers being rated, by request id.
        unsettled: Bills and pins that are not durable yet, by key.
        evidence: What this entry has seen of each version.
        duty: Judges of the versions of this entry's models.
        editor: Writes status cells.
        held: Versions that a judge holds, and until when to believe it.
        judge_at: When versions are judged next, in seconds.
        edits_made: Batches of status edits so far.
        rollout: The roll-out duty, in use while this entry has it.
        rollout_at: When the next round of roll-outs is due, in seconds.
        rollout_since: Since when this entry has the duty; None without it.
        explanations: Decisions of recent requests, by request id.
        stopping: Whether the process takes no new requests.
        stop_at: When a graceful stop ends regardless, in seconds.
    """

    def __init__(
        self,
        *,
        control: entry_control.EntryControl,
        call_ids: effects.CallIds,
        rng: random.Random,
        policy_names: policies.PolicyNames = policies.DEFAULT_POLICY_NAMES,
    ) -> None:
        self.identity = control.identity
        self.control = control
        self.rng = rng
        self.rows = table.EMPTY_TABLE
        self.open: dict[str, open_requests.OpenRequest] = {}
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.at_report: dict[str, int] = {}
        self.service_s: dict[table.VersionKey, float] = {}
        self.placement = policies.build_placement(
            policy_names.placement, rng=rng
        )
        self.cascade = policies.build_cascade(policy_names.cascade, rng=rng)
        self.retries: retry_budget.RetryBudget = (
            retry_budget.SuccessRetryBudget()
        )
        self.suspects = suspects.Suspects()
        self.pins: collections.OrderedDict[str, SessionPin] = (
            collections.OrderedDict()
        )
        self.puts: dict[int, PendingPut] = {}
        self.gets: dict[int, str] = {}
        self.ratings: collections.OrderedDict[str, PendingRating] = (
            collections.OrderedDict()
        )
        self.unsettled: dict[str, UnsettledRecord] = {}
        self.evidence = evidence.Evidence()
        self.duty = exposure_duty.ExposureDuty()
        self.editor = table_editor.TableEditor(calls=call_ids, randomness=rng)
        self.held: dict[table.VersionKey, float] = {}
        self.judge_at = 0.0
        self.edits_made = 0
        self.rollout = rollout_duty.RolloutDuty()
        self.rollout_at = 0.0
        self.rollout_since: float | None = None
        self.explanations: collections.OrderedDict[
            str, list[fx.LogDecision]
        ] = collections.OrderedDict()
        self.stopping = False
        self.stop_at = 0.0


def trim(kept: collections.OrderedDict[Key, Value], bound: int) -> None:
    """Drops the oldest items beyond the bound."""
    while len(kept) > bound:
        kept.popitem(last=False)


def log_decision(
    state: EntryState,
    opened: open_requests.OpenRequest,
    *,
    decision: str,
    reason: str = "",
) -> fx.LogDecision:
    """Returns the log line of a decision and keeps it for `explain`."""
    line = fx.LogDecision(
        decision=decision,
        request_id=opened.request.request_id,
        organisation=opened.request.organisation,
        model=opened.row.model,
        version=opened.row.version,
        upstream=opened.last_sidecar,
        reason=reason,
        attempt=opened.attempts,
    )
    keep_explanation(state, line)
    return line


def keep_explanation(state: EntryState, line: fx.LogDecision) -> None:
    """Keeps a decision; the oldest requests go first at the bound."""
    state.explanations.setdefault(line.request_id, []).append(line)
    trim(state.explanations, defaults.MAX_EXPLANATIONS)


def put_record(
    state: EntryState,
    opened: open_requests.OpenRequest,
    *,
    now: float,
    purpose: PutPurpose,
    record: ledger_records.Record,
) -> list[fx.Effect]:
    """Hands a record to the ledger and notes what it is for.

    The answer comes back as a `PutSettled` or `PutFailed`; at the client's
    bounds it may come at once, so that the note is made first.
    """
    pending = PendingPut(purpose, opened.request.request_id, record)
    put_id, step = state.control.put(
        now=now, record=record, wait_durable=purpose in DURABLE_PURPOSES
    )
    state.puts[put_id] = pending
    state.control.late_events += step.events
    return [*step.effects]


def release_try(
    state: EntryState, opened: open_requests.OpenRequest
) -> open_requests.Try | None:
    """Ends the bookkeeping of the current attempt and returns it."""
    current = opened.current
    if current is not None:
        state.in_flight[current.sidecar] -= 1
        if state.in_flight[current.sidecar] <= 0:
            del state.in_flight[current.sidecar]
    opened.current = None
    return current


def give_up(
    state: EntryState,
    opened: open_requests.OpenRequest,
    problem: errors.Problem,
) -> list[fx.Effect]:
    """Answers the caller at once with an error and forgets the request."""
    line = log_decision(state, opened, decision="refused", reason=problem.code)
    release_try(state, opened)
    state.open.pop(opened.request.request_id, None)
    return [
        fx.RefuseCaller(opened.request.request_id, problem),
        line,
        fx.Count(f"entry.refused.{problem.code}"),
    ]
