"""Decides whether this process's table is fresh enough for new work.

A confirmation is a time up to which the table is known to include every
accepted edit. It comes from a store read, timed at the sending of the read,
or from a peer with the same or a lower revision, timed by `gossip.place_age`.
Message delay can only make the recorded time earlier than the actual one.
Because revisions only grow, a table of a higher revision includes every edit
of a lower one.

New work is refused once the confirmation is older than a bound, so that an
isolated process does not run withdrawn versions. The default exception is an
outage of the store for all processes (`outage.py`): no edit can be accepted
during the outage, so serving continues. `FreshnessSettings.serve_unconfirmed`
lifts the bound altogether.
"""

import dataclasses

from rhubarbbank_core import errors

ENTRY_BOUND_S = 5.0
SIDECAR_BOUND_S = 6.0
RETRY_AFTER_S = 1.0
MAX_CLAIMS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessSettings:
    """How old a confirmation may be.

    Attributes:
        bound_s: The maximum age of a confirmation for new work.
        serve_unconfirmed: Whether to accept new work beyond the bound. Edits
            are then not guaranteed to take effect within seconds, and the
            status reports "unconfirmed".
    """

    bound_s: float = ENTRY_BOUND_S
    serve_unconfirmed: bool = False


class Confirmation:
    """Tracks the time up to which the table includes every accepted edit.

    Attributes:
        revision: The table's revision; 0 without a table.
        digest: The table's digest.
        confirmed_at: The time in seconds; None before any confirmation.
        claims: Times of confirmation by revision, for revisions that are
            higher than the table's.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.confirmed_at: float | None = None
        self.claims: dict[int, float] = {}

    def set_table(self, *, revision: int, digest: int) -> None:
        """Records the current table and applies the claims that it covers."""
        self.revision = revision
        self.digest = digest
        for covered in [c for c in self.claims if c <= revision]:
            self.advance_to(self.claims.pop(covered))

    def add_claim(self, *, revision: int, at: float) -> None:
        """Records that `revision` included every edit up to `at`.

        The same holds for every higher revision.
        """
        if revision <= self.revision:
            self.advance_to(at)
            return
        self.claims[revision] = max(at, self.claims.get(revision, at))
        while len(self.claims) > MAX_CLAIMS:
            del self.claims[min(self.claims)]

    def advance_to(self, at: float) -> None:
        """Sets the confirmation to `at` if that is later."""
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    def get_latest(self) -> float | None:
        """Returns the latest confirmation of any revision, or None."""
        times = list(self.claims.values())
        if self.confirmed_at is not None:
            times.append(self.confirmed_at)
        return max(times, default=None)

    def age_s(self, *, now: float) -> float | None:
        """Returns the age of the confirmation, or None without one."""
        return None if self.confirmed_at is None else now - self.confirmed_at


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreshnessVerdict:
    """Whether new work may run, and why.

    Attributes:
        problem: The reason for a refusal; None if new work may run.
        in_outage: Whether work is allowed because the store is down for all
            processes.
        is_unconfirmed: Whether work is allowed only by `serve_unconfirmed`.
    """

    problem: errors.Problem | None = None
    in_outage: bool = False
    is_unconfirmed: bool = False


def check_freshness(
    *,
    confirmation: Confirmation,
    in_outage: bool,
    settings: FreshnessSettings,
    now: float,
) -> FreshnessVerdict:
    """Returns whether new work may run.

    Args:
        confirmation: The confirmation of the current table.
        in_outage: Whether the store is down for all processes.
        settings: The bound, and whether to serve beyond it.
        now: The current time in seconds.
    """
    age_s = confirmation.age_s(now=now)
    if age_s is not None and age_s <= settings.bound_s:
        return FreshnessVerdict()
    if confirmation.revision > 0 and in_outage:
        return FreshnessVerdict(in_outage=True)
    if confirmation.revision > 0 and settings.serve_unconfirmed:
        return FreshnessVerdict(is_unconfirmed=True)
    age = "never confirmed" if age_s is None else f"age {age_s:.1f} s"
    return FreshnessVerdict(
        problem=errors.Problem(
            code=errors.ErrorCode.TABLE_NOT_CONFIRMED,
            run_state=errors.RunState.NOT_RUN,
            detail=f"revision {confirmation.revision}, {age}",
            retry_after_s=RETRY_AFTER_S,
        )
    )
