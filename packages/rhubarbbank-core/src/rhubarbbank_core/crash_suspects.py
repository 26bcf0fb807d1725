"""Keeps a request that crashes its upstream from crashing the fleet.

A request is known by the fingerprint of its organisation and body, so that a
caller's repeats count as the same. The tracker folds records of starts, ends
and crashes. All entries that fold the same records in the same order, as
they come out of a ledger, agree on every answer; what `fold` denies must not
be started.

* Copies of one fingerprint that run at the same time share one upstream, so
  that one crash ends them all.
* What was in flight at a crash becomes suspect. A suspect may run once more,
  alone on an idle upstream. If that upstream crashes too, the fingerprint is
  convicted and refused for good; if the request ends, it is cleared.

A request that always crashes its upstream therefore takes down two: one in
company and one alone. Innocent company is cleared by its own lone run.
Memory is bounded: past a limit the oldest suspects are forgotten first.
"""

import dataclasses
import enum
from typing import Protocol

import msgspec
import xxhash

# Top-level fields of a body that do not change what the engine computes.
VOLATILE_FIELDS = frozenset(
    {"stream", "stream_options", "user", "metadata", "store"}
)
SEPARATOR = b"\x00"


def fingerprint(*, organisation: str, body: bytes) -> str:
    """Returns the fingerprint of a request as 32 hexadecimal digits.

    JSON bodies are normalised: fields sorted, white space and fields that do
    not change the computation dropped. Other bodies count byte for byte.
    """
    digest = xxhash.xxh3_128(organisation.encode() + SEPARATOR)
    digest.update(normalise(body))
    return str(digest.hexdigest())


def normalise(body: bytes) -> bytes:
    """Returns the body in the form that repeats have in common."""
    try:
        parsed = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return body.strip()
    if isinstance(parsed, dict):
        parsed = {
            name: value
            for name, value in parsed.items()
            if name not in VOLATILE_FIELDS
        }
    return msgspec.json.encode(parsed, order="sorted")


class Suspicion(enum.StrEnum):
    """What is known of a fingerprint.

    CLEAR may run. SUSPECT may run once more, alone. ALONE is running that
    time, or was when its entry was lost; refuse it for now. CONVICTED is
    refused for good.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    ALONE = "alone"
    CONVICTED = "convicted"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Started:
    """A request goes to an upstream, in company."""

    request_id: str
    fingerprint: str
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartedAlone:
    """A suspect goes to an idle upstream that takes nothing else."""

    request_id: str
    fingerprint: str
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """A request ended without a crash.

    Attributes:
        request_id: The request.
        ran: False if it provably did not run at the upstream.
    """

    request_id: str
    ran: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crashed:
    """An upstream crashed; a planned stop or a lost host is none.

    Attributes:
        upstream: The upstream.
        incident: Unique for each crash, so that a repeat changes nothing.
        fingerprints: What the sidecar had in flight there, for requests
            whose start was not recorded.
    """

    upstream: str
    incident: str
    fingerprints: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGone:
    """An upstream left, without a crash; nothing runs there any more."""

    upstream: str


Record = Started | StartedAlone | Ended | Crashed | UpstreamGone


class CrashTracker(Protocol):
    """Agrees on which requests may run."""

    def check(self, fingerprint: str) -> Suspicion:
        """Returns what is known of a fingerprint."""

    def fold(self, record: Record) -> bool:
        """Takes in one record; False denies a start."""


@dataclasses.dataclass(frozen=True, slots=True)
class InFlight:
    """One request that is running."""

    fingerprint: str
    upstream: str
    alone: bool


class CrashSuspects:
    """Tracks suspects by records; see the module's docstring.

    Attributes:
        suspects_kept: Most fingerprints remembered as suspect or convicted.
        incidents_kept: Most crashes remembered against repeats.
        in_flight: What runs, by request id.
        at_upstream: Ids of the requests that run at each upstream.
        copies: Ids of the requests that run with each fingerprint.
        suspicions: What is not clear, oldest first.
        incidents: Crashes already folded, oldest first.
    """

    def __init__(
        self, *, suspects_kept: int = 10_000, incidents_kept: int = 1_000
    ) -> None:
        self.suspects_kept = suspects_kept
        self.incidents_kept = incidents_kept
        self.in_flight: dict[str, InFlight] = {}
        self.at_upstream: dict[str, set[str]] = {}
        self.copies: dict[str, set[str]] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.incidents: dict[str, None] = {}

    def check(self, fingerprint: str) -> Suspicion:
        """Returns what is known of a fingerprint."""
        return self.suspicions.get(fingerprint, Suspicion.CLEAR)

    def fold(self, record: Record) -> bool:
        """Takes in one record; False denies a start."""
        match record:
            case Started():
                return self.start(record)
            case StartedAlone():
                return self.start_alone(record)
            case Ended():
                self.end(record)
            case Crashed():
                self.crash(record)
            case UpstreamGone():
                for request_id in self.list_at(record.upstream):
                    self.forget(request_id)
        return True

    def list_at(self, upstream: str) -> list[str]:
        """Returns the ids of the requests that run at an upstream, sorted."""
        return sorted(self.at_upstream.get(upstream, ()))

    def find_copy(self, fingerprint: str) -> str | None:
        """Returns the upstream where a copy runs, which others must join."""
        copies = self.copies.get(fingerprint)
        if not copies:
            return None
        # All copies share one upstream, so any of them tells it.
        return self.in_flight[next(iter(copies))].upstream

    def start(self, record: Started) -> bool:
        """Admits a clear request, beside its running copies if any."""
        if self.check(record.fingerprint) is not Suspicion.CLEAR:
            return False
        if record.request_id in self.in_flight:
            return False
        if self.find_copy(record.fingerprint) not in {None, record.upstream}:
            return False
        if any(
            self.in_flight[each].alone for each in self.list_at(record.upstream)
        ):
            return False
        self.remember(
            record.request_id,
            InFlight(record.fingerprint, record.upstream, alone=False),
        )
        return True

    def start_alone(self, record: StartedAlone) -> bool:
        """Admits a suspect's only further run, on an idle upstream."""
        if self.check(record.fingerprint) is not Suspicion.SUSPECT:
            return False
        if record.request_id in self.in_flight:
            return False
        if self.list_at(record.upstream):
            return False
        self.suspicions[record.fingerprint] = Suspicion.ALONE
        self.remember(
            record.request_id,
            InFlight(record.fingerprint, record.upstream, alone=True),
        )
        return True

    def end(self, record: Ended) -> None:
        """Clears a suspect that ran to its end alone."""
        ended = self.forget(record.request_id)
        if ended is None or not ended.alone:
            return
        if record.ran:
            self.suspicions.pop(ended.fingerprint, None)
        else:
            self.suspicions[ended.fingerprint] = Suspicion.SUSPECT

    def crash(self, record: Crashed) -> None:
        """Suspects or convicts what was in flight at a crash."""
        if record.incident in self.incidents:
            return
        self.incidents[record.incident] = None
        if len(self.incidents) > self.incidents_kept:
            del self.incidents[next(iter(self.incidents))]
        fingerprints = set(record.fingerprints)
        for request_id in self.list_at(record.upstream):
            ended = self.forget(request_id)
            if ended is not None:
                fingerprints.add(ended.fingerprint)
        for each in sorted(fingerprints):
            self.accuse(each)

    def accuse(self, fingerprint: str) -> None:
        """Makes a clear fingerprint suspect and any other convicted."""
        known = self.check(fingerprint)
        if known is Suspicion.CLEAR:
            self.make_room()
            self.suspicions[fingerprint] = Suspicion.SUSPECT
            return
        self.suspicions[fingerprint] = Suspicion.CONVICTED

    def make_room(self) -> None:
        """Forgets the oldest suspect, or else the oldest convicted."""
        if len(self.suspicions) < self.suspects_kept:
            return
        oldest = next(iter(self.suspicions))
        for each, suspicion in self.suspicions.items():
            if suspicion is Suspicion.SUSPECT:
                oldest = each
                break
        del self.suspicions[oldest]

    def remember(self, request_id: str, running: InFlight) -> None:
        """Notes that a request is running."""
        self.in_flight[request_id] = running
        self.at_upstream.setdefault(running.upstream, set()).add(request_id)
        self.copies.setdefault(running.fingerprint, set()).add(request_id)

    def forget(self, request_id: str) -> InFlight | None:
        """Notes that a request no longer runs; returns what it was."""
        running = self.in_flight.pop(request_id, None)
        if running is None:
            return None
        discard(self.at_upstream, running.upstream, request_id)
        discard(self.copies, running.fingerprint, request_id)
        return running


def discard(groups: dict[str, set[str]], name: str, member: str) -> None:
    """Takes a member out of its group, and drops the group when empty."""
    group = groups[name]
    group.discard(member)
    if not group:
        del groups[name]
