"""Notices requests that crash the upstreams that run them.

A request that ends several upstreams, without an answer in between, is
refused before it reaches another one. No entry needs to see that alone: what
is known of a request is the set of upstreams that have ended under it, and
each entry tells what it knows with its heartbeats. Sets only grow together,
so that the order of messages, lost ones and repeated ones don't matter, and
what an entry has told outlives its process. A good answer clears the request
of all that happened before.

    caller --> entry 1 --> upstream a ends    {a}
           --> entry 2 --> upstream b ends    {a, b}
           --> entry 3 --> upstream c ends    {a, b, c}, refused everywhere
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
    """Returns what all sendings of one request have in common.

    Args:
        request: The request.
        organisation: Whose it is, under whatever key.
    """
    digest = xxhash.xxh64()
    for part in (organisation, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def hash_incarnation(upstream_id: str, started_ms: int) -> name_hashes.NameHash:
    """Returns what stands for the end of one incarnation of an upstream."""
    return name_hashes.hash_name(f"{upstream_id}/{started_ms}")


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt that was given up while its upstream was silent.

    Attributes:
        fingerprint: Of the request.
        given_up_at: When, in seconds.
    """

    fingerprint: str
    given_up_at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of one request.

    Attributes:
        seen_at: When it last ended an upstream or was refused, in seconds.
        crashes: The upstreams that ended under it, with the time.
        seen_locally: Those of them whose end was seen here.
        cleared_at: When it last had a good answer; None if it had none.
        share_until: It is told until then, with all that is known.
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
        """Notes the end of an upstream, once, unless it is cleared of it."""
        if self.cleared_at is not None and at <= self.cleared_at:
            return
        self.crashes[crash] = min(at, self.crashes.get(crash, at))
        self.seen_at = max(self.seen_at, at)

    def clear(self, *, at: float) -> None:
        """Clears the request of what happened before a time."""
        self.cleared_at = max(at, self.cleared_at or at)
        self.crashes = {
            crash: crashed_at
            for crash, crashed_at in self.crashes.items()
            if crashed_at > self.cleared_at
        }
        self.seen_locally &= self.crashes.keys()


class CrashSuspects:
    """What all entries together know of requests that end upstreams.

    Attributes:
        suspects: By fingerprint, the most recently changed last.
        unanswered: Silent attempts, by the end that they would be explained by.
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
        """Notes an attempt without an answer, whose upstream may have ended."""
        attempts = self.unanswered.setdefault(crash, [])
        attempts.append(UnansweredAttempt(fingerprint, now))

    def confirm_crash(
        self, crash: name_hashes.NameHash, *, now: float
    ) -> list[str]:
        """Takes that an upstream has ended, as the list tells.

        Returns:
            The requests that were given up there shortly before.
        """
        found = [
            each.fingerprint
            for each in self.unanswered.pop(crash, [])
            if now - each.given_up_at <= defaults.SILENT_END_S
        ]
        for fingerprint in found:
            self.record_crash(fingerprint, crash, now=now)
        return found

    def record_crash(
        self, fingerprint: str, crash: name_hashes.NameHash, *, now: float
    ) -> None:
        """Notes an end that was seen here.

        Args:
            fingerprint: Of the request.
            crash: Of the upstream that ran it.
            now: In seconds.
        """
        suspect = self.find_or_create(fingerprint, now=now)
        seen = crash in suspect.seen_locally
        if seen and now - suspect.crashes[crash] > defaults.MIN_RESTART_S:
            # It has been back, and its new start wasn't listed yet.
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
        """Notes that a suspect has come again, so that it is remembered."""
        self.find_or_create(fingerprint, now=now).seen_at = now

    def find_or_create(self, fingerprint: str, *, now: float) -> Suspect:
        """Returns what is known of a request that is of interest now."""
        suspect = self.suspects.setdefault(fingerprint, Suspect(seen_at=now))
        self.suspects.move_to_end(fingerprint)
        return suspect

    def evict_excess(self) -> list[str]:
        """Forgets what tells least if there is too much; returns what.

        Called with each heartbeat, between which little comes.

        An upstream that ends breaks off all that it ran, so that most
        requests here have one end. What was seen here is kept first: each end
        is remembered by whoever saw it, and told when a second one is heard.
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
        """Notes that the request had a good answer: it ends nothing.

        Returns:
            Whether ends of upstreams under it were known.
        """
        if not self.count_crashes(fingerprint):
            return False
        suspect = self.find_or_create(fingerprint, now=now)
        suspect.clear(at=now)
        suspect.share_until = now + defaults.SUSPECT_REPORT_S
        return True

    def merge(
        self, received: tuple[messages.SuspectNews, ...], *, now: float
    ) -> list[str]:
        """Takes what a peer knows.

        Args:
            received: By the peer.
            now: When it was received, in seconds.

        Returns:
            The requests of which something else is known than before.
        """
        changed: list[str] = []
        for each in received:
            if self.merge_suspect(each, now=now):
                changed.append(each.fingerprint)
        return changed

    def merge_suspect(
        self, received: messages.SuspectNews, *, now: float
    ) -> bool:
        """Takes what a peer knows of one request; returns whether it is news.

        Entries of earlier releases name no ends.
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
            # The peer has missed the answer.
            suspect.share_until = now + defaults.SUSPECT_REPORT_S
        suspect.seen_at = max(suspect.seen_at, seen_at)
        return before != suspect.crashes.keys()

    def count_crashes(self, fingerprint: str) -> int:
        """Returns how many upstreams are known to have ended under it."""
        suspect = self.suspects.get(fingerprint)
        return len(suspect.crashes) if suspect else 0

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether the request must not reach another upstream."""
        return self.count_crashes(fingerprint) >= defaults.ENDS_TO_SUSPECT

    def build_log_inputs(self, fingerprint: str) -> tuple[fx.LogInput, ...]:
        """Returns what is known of a request, for the log."""
        suspect = self.suspects.get(fingerprint)
        return (
            ("fingerprint", fingerprint),
            ("crashes", self.count_crashes(fingerprint)),
            ("seen_here", len(suspect.seen_locally) if suspect else 0),
        )

    def remove_expired(self, *, now: float) -> list[str]:
        """Forgets requests not seen for long; returns their fingerprints."""
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
            if now - attempts[-1].given_up_at <= defaults.SILENT_END_S
        }
        return old

    def build_news(self, *, now: float) -> tuple[messages.SuspectNews, ...]:
        """Returns what peers are received, the most telling first.

        Ends seen here are told until all peers have heard of them. Requests
        with several are told by everyone who knows of them, for as long as
        they are remembered, so that entries that have been away learn of them.
        """
        shared = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.suspects.items()
            if len(suspect.crashes) >= defaults.ENDS_TO_REPEAT
            or now < suspect.share_until
        ]
        shared.sort(key=lambda each: (-len(each[1].crashes), -each[1].seen_at))
        return tuple(
            build_suspect_news(fingerprint, suspect, now=now)
            for fingerprint, suspect in shared[: defaults.MAX_REPORTED_SUSPECTS]
        )


def build_suspect_news(
    fingerprint: str, suspect: Suspect, *, now: float
) -> messages.SuspectNews:
    """Returns what is known of a request as a heartbeat carries it."""
    cleared_ms = None
    if suspect.cleared_at is not None:
        cleared_ms = compute_age_ms(suspect.cleared_at, now=now)
    return messages.SuspectNews(
        fingerprint=fingerprint,
        crashes=len(suspect.seen_locally),
        age_ms=compute_age_ms(suspect.seen_at, now=now),
        ends=tuple(
            messages.EndNews(crash, compute_age_ms(at, now=now))
            for crash, at in suspect.crashes.items()
        ),
        cleared_ms=cleared_ms,
    )


def compute_age_ms(at: float, *, now: float) -> int:
    """Returns how long ago a time was, in milliseconds."""
    return int((now - at) * MS_PER_S)


def convert_to_s(age_ms: int) -> float:
    """Returns an age in seconds."""
    return age_ms / MS_PER_S
