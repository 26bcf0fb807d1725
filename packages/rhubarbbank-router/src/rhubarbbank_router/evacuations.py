"""Tracks which data centres the operators have evacuated.

The load: requests go on at full rate while a data centre is evacuated and
taken back, and the store meanwhile cuts watches, fails, or is restored from a
copy that lacks the latest changes. No request may go to an evacuated data
centre, and no other one may be left out.

All times are in seconds.
"""

import collections.abc
import dataclasses
from typing import Protocol

from rhubarbbank_router import defaults
from rhubarbbank_router import store_position


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """The operators' request that a data centre gets no new requests.

    Attributes:
        data_centre: The data centre.
        position: The store's position of its last change.
        age_s: For how long it has been in force at the entry that told it.
    """

    data_centre: str
    position: store_position.StorePosition = store_position.START
    age_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedEvacuation:
    """An evacuation that is in force at this entry.

    Attributes:
        evacuation: The operators' request.
        begun_at: When it came into force, here or at the entry that told it.
        seen_era: The newest era in which the store had it.
        is_missing: Whether a restored store's list lacks it, so that it may
            have been lost.
    """

    evacuation: Evacuation
    begun_at: float
    seen_era: int
    is_missing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationChanges:
    """What a list, or its confirmation, has changed.

    Attributes:
        begun: Evacuations that came into force.
        ended: Evacuations that ended.
        missing: Evacuations that stay in force although the list lacks them.
    """

    begun: tuple[TrackedEvacuation, ...] = ()
    ended: tuple[TrackedEvacuation, ...] = ()
    missing: tuple[TrackedEvacuation, ...] = ()


NO_CHANGES = EvacuationChanges()


class EvacuationPolicy(Protocol):
    """Decides which data centres get no new requests."""

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether a data centre gets no new requests."""

    def put(
        self, evacuation: Evacuation, *, now: float
    ) -> TrackedEvacuation | None:
        """Adds or updates an evacuation; returns it if it is new."""

    def remove(
        self, data_centre: str, *, now: float
    ) -> TrackedEvacuation | None:
        """Ends an evacuation; returns it if it was in force."""

    def replace(
        self,
        listed: collections.abc.Collection[Evacuation],
        *,
        position: store_position.StorePosition,
        at: float,
        now: float,
    ) -> EvacuationChanges:
        """Applies a list that was complete at a position and a time."""

    def confirm(
        self, position: store_position.StorePosition, *, at: float, now: float
    ) -> EvacuationChanges:
        """Records that all changes up to a position were applied."""


class LatestListEvacuations:
    """A baseline that takes each list at its word.

    Attributes:
        active: The evacuations in force, by data centre.
    """

    def __init__(self) -> None:
        self.active: dict[str, TrackedEvacuation] = {}

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether the latest list has the data centre."""
        return data_centre in self.active

    def put(
        self, evacuation: Evacuation, *, now: float
    ) -> TrackedEvacuation | None:
        """Adds or updates an evacuation; returns it if it is new."""
        known = self.active.get(evacuation.data_centre)
        if known is not None:
            known.evacuation = evacuation
            return None
        begun = TrackedEvacuation(
            evacuation=evacuation,
            begun_at=now - evacuation.age_s,
            seen_era=evacuation.position.era,
        )
        self.active[evacuation.data_centre] = begun
        return begun

    def remove(
        self, data_centre: str, *, now: float
    ) -> TrackedEvacuation | None:
        """Ends an evacuation; returns it if it was in force."""
        del now
        return self.active.pop(data_centre, None)

    def replace(
        self,
        listed: collections.abc.Collection[Evacuation],
        *,
        position: store_position.StorePosition,
        at: float,
        now: float,
    ) -> EvacuationChanges:
        """Adopts the list, whatever its position."""
        del position, at
        self.active.clear()
        for each in listed:
            self.put(each, now=now)
        return NO_CHANGES

    def confirm(
        self, position: store_position.StorePosition, *, at: float, now: float
    ) -> EvacuationChanges:
        """Does nothing."""
        del position, at, now
        return NO_CHANGES


class Evacuations:
    """Keeps an evacuation in force until its removal is known.

    Attributes:
        is_followed: Whether the deployment asks for evacuations.
        active: The evacuations in force, by data centre.
        ended_at: When a data centre's last evacuation ended, for those that
            ended within `defaults.ENDED_EVACUATION_S`.
        position: The position up to which the set is complete.
        confirmed_at: When the set was last known to be complete; None before
            the first list.
        restored_at: When the first list of the newest era was applied; None
            if no era but the first is known.
        is_changed: Whether changes since the last confirmation are still to
            be sent to other entries.
    """

    def __init__(self, *, is_followed: bool = False) -> None:
        self.is_followed = is_followed
        self.active: dict[str, TrackedEvacuation] = {}
        self.ended_at: dict[str, float] = {}
        self.position = store_position.START
        self.confirmed_at: float | None = None
        self.restored_at: float | None = None
        self.is_changed = False

    def is_evacuated(self, data_centre: str) -> bool:
        """Returns whether a data centre gets no new requests."""
        return data_centre in self.active

    def age(self, *, now: float) -> float | None:
        """Returns the age of the set; None before the first list."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def put(
        self, evacuation: Evacuation, *, now: float
    ) -> TrackedEvacuation | None:
        """Adds or updates an evacuation; returns it if it is new."""
        known = self.active.get(evacuation.data_centre)
        if known is not None:
            known.evacuation = evacuation
            known.seen_era = evacuation.position.era
            known.is_missing = False
            return None
        begun = TrackedEvacuation(
            evacuation=evacuation,
            begun_at=now - evacuation.age_s,
            seen_era=evacuation.position.era,
        )
        self.active[evacuation.data_centre] = begun
        self.is_changed = True
        return begun

    def remove(
        self, data_centre: str, *, now: float
    ) -> TrackedEvacuation | None:
        """Ends an evacuation; returns it if it was in force."""
        ended = self.active.pop(data_centre, None)
        if ended is not None:
            self.record_end(data_centre, now=now)
        return ended

    def record_end(self, data_centre: str, *, now: float) -> None:
        """Records when an evacuation ended, and forgets old ends."""
        self.is_changed = True
        self.ended_at = {
            name: at
            for name, at in self.ended_at.items()
            if now - at <= defaults.ENDED_EVACUATION_S
        }
        self.ended_at[data_centre] = now

    def replace(
        self,
        listed: collections.abc.Collection[Evacuation],
        *,
        position: store_position.StorePosition,
        at: float,
        now: float,
    ) -> EvacuationChanges:
        """Applies a list that was complete at a position and a time.

        A list that newer news has overtaken is ignored. What the first lists
        of a new era lack may have been lost, so it stays in force until the
        operators have had time to repeat it.
        """
        if self.confirmed_at is not None:
            if (position, at) < (self.position, self.confirmed_at):
                return NO_CHANGES
            if position.era > self.position.era:
                self.restored_at = now
        self.position = position
        self.confirmed_at = max(at, self.confirmed_at or at)
        names = {each.data_centre for each in listed}
        begun = [self.put(each, now=now) for each in listed]
        newly_missing: list[TrackedEvacuation] = []
        ended: list[TrackedEvacuation] = []
        for name, known in list(self.active.items()):
            if name in names:
                known.seen_era = position.era
            elif known.seen_era == position.era:
                # This era's store had it, so it was taken back.
                del self.active[name]
                self.record_end(name, now=now)
                ended.append(known)
            elif not known.is_missing:
                known.is_missing = True
                newly_missing.append(known)
        ended += self.end_missing(at=at, now=now)
        return EvacuationChanges(
            begun=tuple(each for each in begun if each is not None),
            ended=tuple(ended),
            missing=tuple(x for x in newly_missing if x not in ended),
        )

    def confirm(
        self, position: store_position.StorePosition, *, at: float, now: float
    ) -> EvacuationChanges:
        """Records that all changes up to a position were applied.

        Args:
            position: The position.
            at: A time at which the set was complete.
            now: The current time.
        """
        self.position = max(self.position, position)
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
        return EvacuationChanges(ended=self.end_missing(at=at, now=now))

    def end_missing(
        self, *, at: float, now: float
    ) -> tuple[TrackedEvacuation, ...]:
        """Ends what a list of a time lacks, if nothing can be lost any more."""
        if (
            self.restored_at is not None
            and at - self.restored_at < defaults.RESTORE_SETTLE_S
        ):
            return ()
        missing = [x for x, known in self.active.items() if known.is_missing]
        ended = [self.remove(name, now=now) for name in missing]
        return tuple(each for each in ended if each is not None)

    def take_changed(self) -> bool:
        """Returns whether changes are still to be sent; they count as sent."""
        is_changed, self.is_changed = self.is_changed, False
        return is_changed
