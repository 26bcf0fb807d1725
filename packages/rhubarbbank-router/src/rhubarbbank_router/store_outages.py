"""Tells whether registrations may have lapsed in an outage of the store.

The store drops the registration of an upstream from which it has heard nothing
for a lease of several heartbeats. The registration of a live upstream can lapse
only in an outage that is long enough to swallow the heartbeats of a lease.
Calls that the store has answered before and after a failed one bound how long
it can have been away.
"""

import dataclasses

from rhubarbbank_router import defaults


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreOutages:
    """What answered and failed calls show about outages of the store.

    An outage lasts from the last answer before a failure to the first one
    after it. It goes on if the store fails again before each live upstream can
    have renewed its registration. A cut watch is an outage only if no other
    call was answered for as long. All times are in seconds.

    Attributes:
        answered_at: When the store last answered a call; None before that.
        was_cut: Whether a watch of the upstreams has been cut since then.
        is_away: Whether a read of the upstreams has failed since then.
        failed_at: When it first failed; None before that.
        began_at: When the current or last outage began; None before the first.
        regained_at: When the store answered again; None before that.
        lapses_until: The end of the last outage in which registrations may have
            lapsed; None before that.
        lapse_outage_s: How long that outage lasted.
        reported_at: When the list of upstreams was first read after it; None
            before that.
    """

    answered_at: float | None = None
    was_cut: bool = False
    is_away: bool = False
    failed_at: float | None = None
    began_at: float | None = None
    regained_at: float | None = None
    lapses_until: float | None = None
    lapse_outage_s: float = 0.0
    reported_at: float | None = None

    def record_cut(self) -> None:
        """Records that a watch of the upstreams was cut."""
        self.was_cut = True

    def record_failure(self, *, now: float) -> None:
        """Records that the upstreams couldn't be read."""
        if self.is_away:
            return
        self.is_away = True
        self.failed_at = now
        if not self.continues_outage():
            self.began_at = (
                now if self.answered_at is None else self.answered_at
            )

    def continues_outage(self) -> bool:
        """Returns whether the store has been back for less than a heartbeat."""
        if self.answered_at is None or self.regained_at is None:
            return False
        back_s = self.answered_at - self.regained_at
        return back_s < defaults.UPSTREAM_HEARTBEAT_S

    def record_answer(self, *, now: float, reads_upstreams: bool) -> None:
        """Records an answered call.

        Args:
            now: In seconds.
            reads_upstreams: Whether the answer shows the list of upstreams.
        """
        if self.is_away:
            self.regained_at = now
            self.record_outage(self.began_at, now=now)
        elif self.was_cut:
            self.record_outage(self.answered_at, now=now)
        self.is_away = False
        self.was_cut = False
        self.answered_at = now
        if reads_upstreams and self.reported_at is None:
            self.reported_at = now

    def record_outage(self, began_at: float | None, *, now: float) -> None:
        """Records the end of an outage, if registrations may have lapsed."""
        if began_at is None or now - began_at < defaults.LAPSE_MIN_OUTAGE_S:
            return
        self.lapses_until = now
        self.lapse_outage_s = now - began_at
        self.reported_at = None

    def record_relayed_answer(
        self, *, answered_at: float, now: float, regained_age_s: float | None
    ) -> None:
        """Records an answer that another entry has read.

        Args:
            answered_at: When the answered call was sent, at the earliest.
            now: In seconds.
            regained_age_s: For how long that entry has been able to read the
                list after an outage in which registrations may have lapsed;
                None if it knows of none.
        """
        known_at = self.failed_at if self.is_away else self.answered_at
        if known_at is None or known_at < answered_at:
            self.record_answer(now=answered_at, reads_upstreams=False)
        if self.reported_at is None:
            self.reported_at = now
        if regained_age_s is None:
            return
        regained_at = now - regained_age_s
        if self.lapses_until is None or self.lapses_until < regained_at:
            self.lapses_until = regained_at
            self.reported_at = regained_at

    def record_restore(self, *, now: float) -> None:
        """Records that the list was read from an older copy.

        Registrations that the copy lacks are repeated as after an outage.
        """
        self.lapses_until = now
        self.reported_at = now

    def may_report_lapses(self, *, now: float) -> bool:
        """Returns whether removals that are read now may be lapses."""
        if self.is_away:
            return True
        if self.lapses_until is None:
            return False
        if self.reported_at is None:
            return True
        return now - self.reported_at < defaults.LAPSE_REPORT_S

    def may_renew(self, *, now: float) -> bool:
        """Returns whether live upstreams may yet renew lapsed registrations."""
        if self.is_away:
            return True
        if self.lapses_until is None:
            return False
        return now - self.lapses_until < defaults.LAPSE_GRACE_S

    def compute_regained_age_s(self, *, now: float) -> float | None:
        """Returns for how long the list can be read again after an outage.

        Entries that ask this one pass it to `record_relayed_answer`.

        Returns:
            The time in seconds; None if there was no outage in which
            registrations may have lapsed.
        """
        if self.lapses_until is None:
            return None
        regained_at = self.lapses_until
        if self.reported_at is not None:
            regained_at = max(regained_at, self.reported_at)
        return now - regained_at
