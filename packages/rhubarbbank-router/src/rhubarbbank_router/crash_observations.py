"""Observations of crashes of upstreams, and which of them were mistaken.

An entry that sees a connection end without an answer can't tell whether the
upstream has crashed, or has lost one answer and runs on. It records an
observation. Whoever knows that the upstream's process ran before and after
refutes it, and tells the others. They identify an observation by its id, not by
its time, because messages may be late.
"""

from collections.abc import Iterable
import dataclasses
import math

from rhubarbbank_router import defaults
from rhubarbbank_router import name_hashes

ObservationId = int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Period:
    """A period in which one process of an upstream ran without a restart.

    Attributes:
        since: Its begin, in seconds; infinite if the process is known to have
            run since its start.
        until: Its end, in seconds.
    """

    since: float = -math.inf
    until: float

    def covers(self, *times: float) -> bool:
        """Returns whether all of these times are in the period."""
        return all(self.since <= at <= self.until for at in times)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """An entry's observation that an upstream seems to have crashed.

    Attributes:
        observation_id: Its id, the same at every entry.
        at: When it was made, in seconds on this entry's clock; later if news
            of it came late.
        earliest_at: From when on the crash may have happened; infinite if the
            entry was suspended before.
    """

    observation_id: ObservationId
    at: float
    earliest_at: float

    @property
    def is_late(self) -> bool:
        """Whether the crash may have happened long before."""
        return math.isinf(self.earliest_at)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A suspected crash of one process of an upstream.

    Attributes:
        incarnation: Hash of the upstream's incarnation as it was listed.
        first: The first observation.
        last: The last one, which may be the same.
    """

    incarnation: name_hashes.NameHash
    first: Observation
    last: Observation

    @property
    def at(self) -> float:
        """When it was first observed, in seconds."""
        return self.first.at

    def join(self, other: "Crash") -> "Crash":
        """Returns the crash that all of these observations are of."""
        return Crash(
            incarnation=self.incarnation,
            first=min(self.first, other.first, key=lambda each: each.at),
            last=max(self.last, other.last, key=lambda each: each.at),
        )


@dataclasses.dataclass(slots=True)
class Refutation:
    """An observation that was mistaken.

    Attributes:
        at: When the observation was made, as far as this entry knows.
        used_at: When the refutation was last needed, in seconds.
        share_until: Until then heartbeats carry it.
    """

    at: float
    used_at: float
    share_until: float = -math.inf


class ObservationLog:
    """The recent observations.

    Attributes:
        open: Observations that haven't been refuted, by the hash of the
            upstream's incarnation and by id.
        refuted: Those that have been, by id.
    """

    def __init__(self) -> None:
        self.open: dict[
            name_hashes.NameHash, dict[ObservationId, Observation]
        ] = {}
        self.refuted: dict[ObservationId, Refutation] = {}

    def add(self, crash: Crash) -> None:
        """Adds the observations of a crash."""
        found = self.open.setdefault(crash.incarnation, {})
        for each in (crash.first, crash.last):
            known = found.get(each.observation_id, each)
            found[each.observation_id] = min(
                known, each, key=lambda observation: observation.at
            )

    def find_within(
        self, incarnation: name_hashes.NameHash, period: Period
    ) -> list[Observation]:
        """Returns the observations of an upstream in a period."""
        found = self.open.get(incarnation, {})
        return [
            each
            for each in found.values()
            if period.covers(each.earliest_at, each.at)
        ]

    def refute(self, found: Iterable[Observation], *, now: float) -> None:
        """Records that observations were mistaken."""
        for each in found:
            self.refuted[each.observation_id] = Refutation(each.at, now)
        self.drop_refuted()

    def merge(
        self, found: Iterable[ObservationId], *, now: float
    ) -> list[ObservationId]:
        """Merges what another entry has refuted; returns what is new here."""
        new: list[ObservationId] = []
        for observation_id in found:
            known = self.refuted.get(observation_id)
            if known is None:
                self.refuted[observation_id] = Refutation(now, now)
                new.append(observation_id)
            else:
                known.used_at = now
        if new:
            self.drop_refuted()
        return new

    def drop_refuted(self) -> None:
        """Removes refuted observations from the open ones."""
        self.open = {
            incarnation: left
            for incarnation, found in self.open.items()
            if (
                left := {
                    observation_id: each
                    for observation_id, each in found.items()
                    if observation_id not in self.refuted
                }
            )
        }

    def is_refuted(
        self, observation: Observation, *, key: name_hashes.NameHash
    ) -> bool:
        """Returns whether an observation was mistaken.

        Args:
            observation: The observation.
            key: The crash's key. Entries of earlier releases send no ids, so
                that it stands for the id. It is the same for a later crash of
                the same process.
        """
        refutation = self.refuted.get(observation.observation_id)
        if refutation is None:
            return False
        if observation.observation_id != key:
            return True
        return observation.at <= refutation.at + defaults.MIN_RESTART_S

    def find_unrefuted(
        self, crash: Crash, *, key: name_hashes.NameHash
    ) -> Crash | None:
        """Returns what is left of a crash; None if no observation is."""
        left = [
            each
            for each in (crash.first, crash.last)
            if not self.is_refuted(each, key=key)
        ]
        if not left:
            return None
        return dataclasses.replace(crash, first=left[0], last=left[-1])

    def share(self, observation_id: ObservationId, *, now: float) -> None:
        """Has the next heartbeats carry a refutation."""
        known = self.refuted[observation_id]
        known.used_at = now
        known.share_until = now + defaults.SUSPECT_REPORT_S

    def list_shared(self, *, now: float) -> tuple[ObservationId, ...]:
        """Returns the refuted observations for a heartbeat, newest first."""
        shared = [
            observation_id
            for observation_id, known in self.refuted.items()
            if now < known.share_until
        ]
        return tuple(shared[: -defaults.MAX_REPORTED_REFUTATIONS - 1 : -1])

    def remove_expired(self, *, now: float) -> None:
        """Removes old observations, and refutations of what isn't reported."""
        since = now - defaults.SUSPECT_EXPIRY_S
        self.open = {
            incarnation: left
            for incarnation, found in self.open.items()
            if (
                left := {
                    observation_id: each
                    for observation_id, each in found.items()
                    if each.at >= since
                }
            )
        }
        self.refuted = {
            observation_id: known
            for observation_id, known in self.refuted.items()
            if known.used_at >= since
        }
