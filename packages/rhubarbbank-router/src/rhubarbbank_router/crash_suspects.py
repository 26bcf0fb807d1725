"""Detects requests that crash the upstreams that run them.

A request that crashes several upstreams, without a good answer in between, is
refused before it reaches another one. The crashes needn't happen at the same
entry: for each request an entry keeps the set of upstreams that crashed while
running it, and sends it to the other entries with its heartbeats. A received
set is merged by union, so that messages may be lost, repeated or reordered,
and what an entry has sent survives its process. A good answer clears the
request of all earlier crashes.

    caller --> entry 1 --> upstream a crashes    {a}
           --> entry 2 --> upstream b crashes    {a, b}
           --> entry 3 --> upstream c crashes    {a, b, c}, refused everywhere
"""

import collections
import dataclasses

import xxhash

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import callers
from rhubarbbank_router import defaults
from rhubarbbank_router import messages
from rhubarbbank_router import name_hashes

MS_PER_S = 1000.0


def compute_fingerprint(
    request: callers.IncomingRequest, *, organisation: str
) -> str:
    """Returns a hash that is the same each time a caller sends a request.

    Args:
        request: The request.
        organisation: Its organisation, which may have several API keys.
    """
    digest = xxhash.xxh64()
    for part in (organisation, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def hash_incarnation(upstream_id: str, started_ms: int) -> name_hashes.NameHash:
    """Returns the hash by which a crash of an upstream's process is known."""
    return name_hashes.hash_name(f"{upstream_id}/{started_ms}")


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt that was cancelled before its upstream answered.

    Attributes:
        fingerprint: Fingerprint of the request.
        cancelled_at: When it was cancelled, in seconds.
    """

    fingerprint: str
    cancelled_at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes that one request is suspected of.

    Attributes:
        seen_at: When it last crashed an upstream or was refused, in seconds.
        crashes: Time of each crash, by hash of the upstream's incarnation.
        seen_locally: Those of them that this entry observed itself.
        cleared_at: When it last had a good answer; None if it had none.
        share_until: Until then heartbeats carry it even if it has fewer
            crashes than CRASHES_TO_SHARE.
    """

    seen_at: float
    cleared_at: float | None = None
    share_until: float = 0.0
    crashes: dict[name_hashes.NameHash, float] = dataclasses.field(
        default_factory=dict
    )
    seen_locally: set[name_hashes.NameHash] = dataclasses.field(
        default_factory=set
    )

    def add_crash(self, crash: name_hashes.NameHash, *, at: float) -> None:
        """Adds a crash, unless a later good answer has cleared it.

        If it is already known, the earlier time is kept.
        """
        if self.cleared_at is not None and at <= self.cleared_at:
            return
        self.crashes[crash] = min(at, self.crashes.get(crash, at))
        self.seen_at = max(self.seen_at, at)

    def clear(self, *, at: float) -> None:
        """Clears the request of all crashes up to a time."""
        self.cleared_at = max(at, self.cleared_at or at)
        self.crashes = {
            crash: crashed_at
            for crash, crashed_at in self.crashes.items()
            if crashed_at > self.cleared_at
        }
        self.seen_locally &= self.crashes.keys()


class CrashSuspects:
    """Requests that may crash upstreams, as far as all entries know.

    Attributes:
        suspects: By fingerprint, the most recently changed last.
        unanswered: Attempts without an answer, by the hash of the incarnation
            of the upstream that may have crashed.
    """

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )
        self.unanswered: dict[
            name_hashes.NameHash, list[UnansweredAttempt]
        ] = {}

    def record_no_answer(
        self, fingerprint: str, crash: name_hashes.NameHash, *, now: float
    ) -> None:
        """Records an attempt without an answer; its upstream may have crashed.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Hash of the upstream's incarnation.
            now: In seconds.
        """
        attempts = self.unanswered.setdefault(crash, [])
        attempts.append(UnansweredAttempt(fingerprint, now))

    def confirm_crash(
        self, crash: name_hashes.NameHash, *, now: float
    ) -> list[str]:
        """Attributes a crash to the requests that had no answer there.

        Called when the list of upstreams no longer has this incarnation.

        Returns:
            Fingerprints of the requests whose attempts there were cancelled
            less than UNANSWERED_CRASH_WINDOW_S ago.
        """
        found = [
            each.fingerprint
            for each in self.unanswered.pop(crash, [])
            if now - each.cancelled_at <= defaults.UNANSWERED_CRASH_WINDOW_S
        ]
        for fingerprint in found:
            self.record_crash(fingerprint, crash, now=now)
        return found

    def record_crash(
        self, fingerprint: str, crash: name_hashes.NameHash, *, now: float
    ) -> None:
        """Records a crash that this entry observed.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Hash of the incarnation of the upstream that ran it.
            now: In seconds.
        """
        suspect = self.find_or_create(fingerprint, now=now)
        already_seen = crash in suspect.seen_locally
        if (
            already_seen
            and now - suspect.crashes[crash] > defaults.MIN_RESTART_S
        ):
            # The upstream has restarted and crashed again before its restart
            # was listed, so that the hash is still that of the first crash.
            crash = name_hashes.hash_name(
                f"{crash}/{len(suspect.seen_locally)}"
            )
        suspect.add_crash(crash, at=now)
        suspect.seen_locally = {
            *suspect.seen_locally,
            crash,
        } & suspect.crashes.keys()
        suspect.share_until = now + defaults.SUSPECT_REPORT_S

    def record_refusal(self, fingerprint: str, *, now: float) -> None:
        """Records that a suspect was refused, which postpones its expiry."""
        self.find_or_create(fingerprint, now=now).seen_at = now

    def find_or_create(self, fingerprint: str, *, now: float) -> Suspect:
        """Returns a request's record, and makes it the most recent one."""
        suspect = self.suspects.setdefault(fingerprint, Suspect(seen_at=now))
        self.suspects.move_to_end(fingerprint)
        return suspect

    def evict_excess(self) -> list[str]:
        """Removes those with the fewest crashes if there are too many suspects.

        Called with each heartbeat; few are added between two of them.

        A crash interrupts every request that the upstream ran, so that most
        suspects have a single crash. Among those, the ones observed here are
        kept first: each crash is kept by the entry that observed it, and is
        sent when that entry hears of a second one.

        Returns:
            The fingerprints that were removed.
        """
        if len(self.suspects) <= defaults.MAX_SUSPECTS:
            return []
        by_evidence = sorted(
            self.suspects,
            key=lambda fingerprint: (
                len(self.suspects[fingerprint].crashes),
                len(self.suspects[fingerprint].seen_locally),
            ),
        )
        forgotten = by_evidence[: -defaults.SUSPECTS_KEPT]
        for fingerprint in forgotten:
            del self.suspects[fingerprint]
        return forgotten

    def clear(self, fingerprint: str, *, now: float) -> bool:
        """Records a good answer, which shows that the request is harmless.

        Returns:
            Whether any crashes were known.
        """
        if not self.count_crashes(fingerprint):
            return False
        suspect = self.find_or_create(fingerprint, now=now)
        suspect.clear(at=now)
        suspect.share_until = now + defaults.SUSPECT_REPORT_S
        return True

    def merge(
        self, received: tuple[messages.SuspectReport, ...], *, now: float
    ) -> list[str]:
        """Merges the suspects of another entry.

        Args:
            received: The suspects in its message.
            now: When they were received, in seconds.

        Returns:
            Fingerprints of the requests whose known crashes have changed.
        """
        changed: list[str] = []
        for each in received:
            if self.merge_suspect(each, now=now):
                changed.append(each.fingerprint)
        return changed

    def merge_suspect(
        self, received: messages.SuspectReport, *, now: float
    ) -> bool:
        """Merges one suspect; returns whether its known crashes have changed.

        Entries of earlier releases send no `ends`; those are ignored.
        """
        if not received.ends and received.cleared_ms is None:
            return False
        seen_at = now - convert_to_s(received.age_ms)
        suspect = self.find_or_create(received.fingerprint, now=seen_at)
        before = set(suspect.crashes)
        if received.cleared_ms is not None:
            suspect.clear(at=now - convert_to_s(received.cleared_ms))
        for each in received.ends:
            suspect.add_crash(each.upstream, at=now - convert_to_s(each.age_ms))
        if received.cleared_ms is None and suspect.cleared_at is not None:
            # The sender hasn't heard of the good answer.
            suspect.share_until = now + defaults.SUSPECT_REPORT_S
        suspect.seen_at = max(suspect.seen_at, seen_at)
        return before != suspect.crashes.keys()

    def count_crashes(self, fingerprint: str) -> int:
        """Returns how many crashes of upstreams the request is known for."""
        suspect = self.suspects.get(fingerprint)
        return len(suspect.crashes) if suspect else 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether the request must be refused."""
        return self.count_crashes(fingerprint) >= defaults.CRASHES_TO_REFUSE

    def build_log_inputs(self, fingerprint: str) -> tuple[fx.LogInput, ...]:
        """Returns the log inputs that describe a request's crashes."""
        suspect = self.suspects.get(fingerprint)
        return (
            ("fingerprint", fingerprint),
            ("crashes", self.count_crashes(fingerprint)),
            ("seen_here", len(suspect.seen_locally) if suspect else 0),
        )

    def remove_expired(self, *, now: float) -> list[str]:
        """Removes suspects not seen recently; returns their fingerprints."""
        old = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if now - suspect.seen_at > defaults.SUSPECT_EXPIRY_S
        ]
        for fingerprint in old:
            del self.suspects[fingerprint]
        self.unanswered = {
            crash: attempts
            for crash, attempts in self.unanswered.items()
            if now - attempts[-1].cancelled_at
            <= defaults.UNANSWERED_CRASH_WINDOW_S
        }
        return old

    def build_reports(
        self, *, now: float
    ) -> tuple[messages.SuspectReport, ...]:
        """Returns the suspects for a heartbeat, those with most crashes first.

        A crash observed here is sent until every live entry should have
        received it. A request with several crashes is sent by all entries for
        as long as they keep it, so that entries that were disconnected learn
        of it.
        """
        shared = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.suspects.items()
            if len(suspect.crashes) >= defaults.CRASHES_TO_SHARE
            or now < suspect.share_until
        ]
        shared.sort(key=lambda each: (-len(each[1].crashes), -each[1].seen_at))
        return tuple(
            build_report(fingerprint, suspect, now=now)
            for fingerprint, suspect in shared[: defaults.MAX_REPORTED_SUSPECTS]
        )


def build_report(
    fingerprint: str, suspect: Suspect, *, now: float
) -> messages.SuspectReport:
    """Returns the report of one suspect in a heartbeat."""
    cleared_ms = None
    if suspect.cleared_at is not None:
        cleared_ms = compute_age_ms(suspect.cleared_at, now=now)
    return messages.SuspectReport(
        fingerprint=fingerprint,
        crashes=len(suspect.seen_locally),
        age_ms=compute_age_ms(suspect.seen_at, now=now),
        ends=tuple(
            messages.CrashReport(crash, compute_age_ms(at, now=now))
            for crash, at in suspect.crashes.items()
        ),
        cleared_ms=cleared_ms,
    )


def compute_age_ms(at: float, *, now: float) -> int:
    """Returns the time since then, in milliseconds."""
    return int((now - at) * MS_PER_S)


def convert_to_s(age_ms: int) -> float:
    """Converts an age from milliseconds to seconds."""
    return age_ms / MS_PER_S
