"""Records which traits of requests upstreams have crashed under.

The crashes of a trait needn't happen at the same entry: for each one an entry
keeps the set of upstreams that crashed while they ran a request with it, and
sends it to the other entries with its heartbeats. A received set is merged by
union, so that messages may be lost, repeated or reordered, and what an entry
has sent survives its process. A good answer to a request clears its traits of
all earlier crashes. A crash is withdrawn once its observations are refuted
(see `crash_review`).

    caller --> entry 1 --> upstream a crashes    {a}
           --> entry 2 --> upstream b crashes    {a, b}
           --> entry 3 --> upstream c crashes    {a, b, c}, refused everywhere

`crash_causes` estimates from these sets which trait is the cause.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

import msgspec

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import crash_observations
from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes
from rhubarbbank_router import request_traits

MS_PER_S = 1000.0


def hash_incarnation(upstream_id: str, started_ms: int) -> name_hashes.NameHash:
    """Returns the hash by which a crash of an upstream's process is known."""
    return name_hashes.hash_name(f"{upstream_id}/{started_ms}")


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes that one trait is suspected of.

    Attributes:
        seen_at: When a request with it last crashed an upstream or was
            refused, in seconds.
        crashes: The crashes, by hash of the upstream's incarnation, or of that
            and a number if the same incarnation seems to have crashed before.
        seen_locally: Those of them that this entry observed itself.
        cleared_at: When a request with it last had a good answer; None if
            none had.
        tried_at: When this entry last sent a request with it nevertheless, in
            seconds.
        probes: How often it sent one that would otherwise have been refused.
        share_until: Until then heartbeats carry it even if it has fewer
            crashes than CRASHES_TO_SHARE.
    """

    seen_at: float
    cleared_at: float | None = None
    share_until: float = 0.0
    tried_at: float = -math.inf
    probes: int = 0
    crashes: dict[name_hashes.NameHash, crash_observations.Crash] = (
        dataclasses.field(default_factory=dict)
    )
    seen_locally: set[name_hashes.NameHash] = dataclasses.field(
        default_factory=set
    )

    def add_crash(
        self, key: name_hashes.NameHash, crash: crash_observations.Crash
    ) -> None:
        """Adds a crash, unless a later good answer has cleared it."""
        if self.cleared_at is not None and crash.at <= self.cleared_at:
            return
        known = self.crashes.get(key)
        self.crashes[key] = crash if known is None else known.join(crash)
        self.seen_at = max(self.seen_at, crash.at)

    def withdraw_refuted(self, log: crash_observations.ObservationLog) -> bool:
        """Withdraws crashes that were no crashes; returns whether any were."""
        left: dict[name_hashes.NameHash, crash_observations.Crash] = {}
        for key, crash in self.crashes.items():
            unrefuted = log.find_unrefuted(crash, key=key)
            if unrefuted is not None:
                left[key] = unrefuted
        before, self.crashes = self.crashes, left
        if len(left) == len(before):
            return False
        self.seen_locally &= left.keys()
        if not left:
            self.probes = 0
            self.tried_at = -math.inf
        return True

    def clear(self, *, at: float) -> None:
        """Clears the trait of all crashes up to a time."""
        self.cleared_at = max(at, self.cleared_at or at)
        self.crashes = {
            key: crash
            for key, crash in self.crashes.items()
            if crash.at > self.cleared_at
        }
        self.seen_locally &= self.crashes.keys()

    def count_independent_crashes(self) -> int:
        """Returns the number of crashes that had separate causes.

        If requests with the trait have had good answers before, crashes within
        MIN_RESTART_S of each other count as one.
        """
        if self.cleared_at is None:
            return len(self.crashes)
        count, last_at = 0, -math.inf
        for at in sorted(crash.at for crash in self.crashes.values()):
            if at - last_at > defaults.MIN_RESTART_S:
                count, last_at = count + 1, at
        return count


class CrashSuspects:
    """Traits that may crash upstreams, as far as all entries know.

    Attributes:
        suspects: By trait, the most recently changed last.
        good_at: When a request with a part last had a good answer, in
            seconds, by trait; the most recent last.
        observer: Name of this entry's process, which makes the ids of its
            observations unique.
        log: The observations of crashes, and which were mistaken.
        revision: Rises with each change of known crashes.
    """

    def __init__(self, *, observer: str) -> None:
        self.suspects: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )
        self.good_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.observer = observer
        self.log = crash_observations.ObservationLog()
        self.revision = 0

    def record_crashes(
        self,
        found: list[tuple[str, ...]],
        incarnation: name_hashes.NameHash,
        *,
        now: float,
        is_late: bool = False,
    ) -> list[str]:
        """Records a crash that this entry observed.

        Args:
            found: Traits of each request that the upstream was running.
            incarnation: Hash of the upstream's incarnation.
            now: In seconds.
            is_late: Whether it may have happened long before.

        Returns:
            The traits of all of them.
        """
        observation = crash_observations.Observation(
            name_hashes.hash_name(f"{self.observer}/{incarnation}/{now}"),
            at=now,
            earliest_at=-math.inf if is_late else now,
        )
        crash = crash_observations.Crash(
            incarnation=incarnation, first=observation, last=observation
        )
        traits = list(dict.fromkeys(x for each in found for x in each))
        for trait in traits:
            self.record_crash(trait, crash)
        if traits:
            self.log.add(crash)
        return traits

    def record_crash(self, trait: str, crash: crash_observations.Crash) -> None:
        """Records a crash that this entry observed for one trait."""
        now = crash.at
        suspect = self.find_or_create(trait, now=now)
        key = crash.incarnation
        known = suspect.crashes.get(key)
        if (
            key in suspect.seen_locally
            and known is not None
            and now - known.at > defaults.MIN_RESTART_S
        ):
            # The upstream may have restarted, and crashed again before its
            # restart was listed, so that the hash is that of the first crash.
            key = name_hashes.hash_name(f"{key}/{len(suspect.seen_locally)}")
        suspect.add_crash(key, crash)
        suspect.seen_locally = {
            *suspect.seen_locally,
            key,
        } & suspect.crashes.keys()
        suspect.share_until = now + defaults.SUSPECT_REPORT_S
        self.revision += 1

    def withdraw_refuted(self) -> list[str]:
        """Withdraws crashes that were no crashes; returns the traits."""
        changed = [
            trait
            for trait, suspect in self.suspects.items()
            if suspect.withdraw_refuted(self.log)
        ]
        self.revision += bool(changed)
        return changed

    def record_refusal(self, traits: Iterable[str], *, now: float) -> None:
        """Records that suspects were refused, which postpones their expiry."""
        for trait in traits:
            self.find_or_create(trait, now=now).seen_at = now

    def find_or_create(self, trait: str, *, now: float) -> Suspect:
        """Returns a trait's record, and makes it the most recent one."""
        suspect = self.suspects.get(trait)
        if suspect is None:
            suspect = Suspect(seen_at=now, cleared_at=self.good_at.get(trait))
            self.suspects[trait] = suspect
        self.suspects.move_to_end(trait)
        return suspect

    def evict_excess(self) -> list[str]:
        """Removes those with the fewest crashes if there are too many suspects.

        Called with each heartbeat; few are added between two of them.

        A crash interrupts every request that the upstream ran, so that most
        suspects have a single crash. Among those, the ones observed here are
        kept first: each crash is kept by the entry that observed it, and is
        sent when that entry hears of a second one.

        Returns:
            The traits that were removed.
        """
        if len(self.suspects) <= defaults.MAX_SUSPECTS:
            return []
        by_evidence = sorted(
            self.suspects,
            key=lambda trait: (
                len(self.suspects[trait].crashes),
                len(self.suspects[trait].seen_locally),
            ),
        )
        forgotten = by_evidence[: -defaults.SUSPECTS_KEPT]
        for trait in forgotten:
            del self.suspects[trait]
        self.revision += 1
        return forgotten

    def record_good_answer(
        self, traits: tuple[str, ...], *, now: float
    ) -> list[str]:
        """Records a good answer, which shows that a request is harmless.

        Args:
            traits: Its traits, the fingerprint first.
            now: In seconds.

        Returns:
            Those of its traits for which crashes were known.
        """
        _, *parts = traits
        for trait in parts:
            self.good_at[trait] = now
            self.good_at.move_to_end(trait)
        while len(self.good_at) > defaults.MAX_SUSPECTS:
            self.good_at.popitem(last=False)
        return [x for x in traits if self.clear(x, now=now)]

    def clear(self, trait: str, *, now: float) -> bool:
        """Clears a trait of its crashes; returns whether there were any."""
        suspect = self.suspects.get(trait)
        if suspect is None:
            return False
        had_crashes = bool(suspect.crashes)
        suspect.clear(at=now)
        if had_crashes:
            self.suspects.move_to_end(trait)
            suspect.share_until = now + defaults.SUSPECT_REPORT_S
            self.revision += 1
        return had_crashes

    def merge(
        self, received: tuple[messages.SuspectReport, ...], *, now: float
    ) -> list[str]:
        """Merges the suspects of another entry.

        Args:
            received: The suspects in its message.
            now: When they were received, in seconds.

        Returns:
            The traits whose known crashes have changed.
        """
        changed = [
            each.trait for each in received if self.merge_suspect(each, now=now)
        ]
        if changed:
            self.revision += 1
        return changed

    def merge_suspect(
        self, received: messages.SuspectReport, *, now: float
    ) -> bool:
        """Merges one suspect; returns whether its known crashes have changed.

        Entries of earlier releases send no `ends`; those are ignored. So are
        crashes that have been withdrawn, which the sender then hears of.
        """
        crashes = self.read_crashes(received, now=now)
        if not crashes and received.cleared_ms is None:
            return False
        seen_at = now - convert_to_s(received.age_ms)
        suspect = self.find_or_create(received.trait, now=seen_at)
        before = set(suspect.crashes)
        if received.cleared_ms is not None:
            suspect.clear(at=now - convert_to_s(received.cleared_ms))
        for key, crash in crashes.items():
            suspect.add_crash(key, crash)
            self.log.add(crash)
        if received.cleared_ms is None and suspect.cleared_at is not None:
            # The sender hasn't heard of the good answer.
            suspect.share_until = now + defaults.SUSPECT_REPORT_S
        suspect.seen_at = max(suspect.seen_at, seen_at)
        return before != suspect.crashes.keys()

    def read_crashes(
        self, received: messages.SuspectReport, *, now: float
    ) -> dict[name_hashes.NameHash, crash_observations.Crash]:
        """Returns the crashes in a report that haven't been withdrawn."""
        crashes: dict[name_hashes.NameHash, crash_observations.Crash] = {}
        for each in received.ends:
            key, crash = each.upstream, read_crash(each, now=now)
            unrefuted = self.log.find_unrefuted(crash, key=key)
            if unrefuted is not None:
                crashes[key] = unrefuted
            for observation in (crash.first, crash.last):
                if self.log.is_refuted(observation, key=key):
                    self.log.share(observation.observation_id, now=now)
        return crashes

    def count_crashes(self, trait: str) -> int:
        """Returns how many crashes of upstreams a trait is known for."""
        suspect = self.suspects.get(trait)
        return len(suspect.crashes) if suspect else 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request with this fingerprint must be refused."""
        return self.count_crashes(fingerprint) >= defaults.CRASHES_TO_REFUSE

    def record_trial(
        self, traits: Iterable[str], *, is_probe: bool, now: float
    ) -> None:
        """Records that a request with suspected traits is sent.

        Args:
            traits: The traits.
            is_probe: Whether it would otherwise have been refused.
            now: In seconds.
        """
        for trait in traits:
            self.suspects[trait].tried_at = now
            self.suspects[trait].probes += is_probe

    def get_probe_time(self, trait: str) -> float:
        """Returns from when on a suspect may be probed, in seconds."""
        suspect = self.suspects[trait]
        period_s = defaults.SUSPECT_PROBE_PERIOD_S
        if suspect.cleared_at is not None:
            period_s = defaults.SOUND_SUSPECT_PROBE_PERIOD_S
        last_at = max(
            suspect.tried_at, *(each.at for each in suspect.crashes.values())
        )
        return last_at + period_s * 2.0**suspect.probes

    def build_log_inputs(self, trait: str) -> tuple[fx.LogInput, ...]:
        """Returns the log inputs that describe a trait's crashes."""
        suspect = self.suspects.get(trait)
        is_part = trait.startswith(request_traits.PART_PREFIX)
        return (
            ("part" if is_part else "fingerprint", trait),
            ("crashes", self.count_crashes(trait)),
            ("seen_here", len(suspect.seen_locally) if suspect else 0),
        )

    def remove_expired(self, *, now: float) -> list[str]:
        """Removes suspects not seen recently; returns their traits."""
        old = [
            trait
            for trait, suspect in self.suspects.items()
            if now - suspect.seen_at > defaults.SUSPECT_EXPIRY_S
        ]
        for trait in old:
            del self.suspects[trait]
        if old:
            self.revision += 1
        self.log.remove_expired(now=now)
        return old

    def build_reports(
        self, *, now: float
    ) -> tuple[messages.SuspectReport, ...]:
        """Returns the suspects for a heartbeat, those with most crashes first.

        A crash observed here is sent until every live entry should have
        received it. A trait with several crashes is sent by all entries for
        as long as they keep it, so that entries that were disconnected learn
        of it. The number of crashes in all reports is bounded.
        """
        shared = [
            (trait, suspect)
            for trait, suspect in self.suspects.items()
            if len(suspect.crashes) >= defaults.CRASHES_TO_SHARE
            or now < suspect.share_until
        ]
        shared.sort(key=lambda each: (-len(each[1].crashes), -each[1].seen_at))
        reports: list[messages.SuspectReport] = []
        crashes = 0
        for trait, suspect in shared[: defaults.MAX_REPORTED_SUSPECTS]:
            report = build_report(trait, suspect, now=now)
            if crashes + len(report.ends) <= defaults.MAX_REPORTED_CRASHES:
                crashes += len(report.ends)
                reports.append(report)
        return tuple(reports)


def build_report(
    trait: str, suspect: Suspect, *, now: float
) -> messages.SuspectReport:
    """Returns the report of one suspect in a heartbeat, with newest crashes."""
    newest = sorted(suspect.crashes.items(), key=lambda each: -each[1].at)
    cleared_ms = None
    if suspect.cleared_at is not None:
        cleared_ms = compute_age_ms(suspect.cleared_at, now=now)
    return messages.SuspectReport(
        trait=trait,
        crashes=len(suspect.seen_locally),
        age_ms=compute_age_ms(suspect.seen_at, now=now),
        ends=tuple(
            build_crash_report(key, crash, now=now)
            for key, crash in newest[: defaults.MAX_REPORTED_CRASHES_EACH]
        ),
        cleared_ms=cleared_ms,
    )


def build_crash_report(
    key: name_hashes.NameHash, crash: crash_observations.Crash, *, now: float
) -> messages.CrashReport:
    """Returns the report of one crash."""
    report = messages.CrashReport(
        upstream=key,
        age_ms=compute_age_ms(crash.at, now=now),
        incarnation=0 if key == crash.incarnation else crash.incarnation,
        observation=crash.first.observation_id,
        is_late=crash.first.is_late or crash.last.is_late,
    )
    if crash.last == crash.first:
        return report
    return msgspec.structs.replace(
        report,
        last_age_ms=compute_age_ms(crash.last.at, now=now),
        last_observation=crash.last.observation_id,
    )


def read_crash(
    report: messages.CrashReport, *, now: float
) -> crash_observations.Crash:
    """Returns the crash that another entry reports.

    Reports of earlier releases have no ids; the crash's key stands for them.
    """
    at = now - convert_to_s(report.age_ms)
    first = crash_observations.Observation(
        report.observation or report.upstream,
        at=at,
        earliest_at=-math.inf if report.is_late else at,
    )
    last = first
    if report.last_age_ms is not None:
        at = now - convert_to_s(report.last_age_ms)
        last = crash_observations.Observation(
            report.last_observation,
            at=at,
            earliest_at=-math.inf if report.is_late else at,
        )
    return crash_observations.Crash(
        incarnation=report.incarnation or report.upstream,
        first=first,
        last=last,
    )


def compute_age_ms(at: float, *, now: float) -> int:
    """Returns the time since then, in milliseconds."""
    return int((now - at) * MS_PER_S)


def convert_to_s(age_ms: int) -> float:
    """Converts an age from milliseconds to seconds."""
    return age_ms / MS_PER_S
