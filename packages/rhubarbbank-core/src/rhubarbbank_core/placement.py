"""Chooses the upstream that a request goes to.

The request path calls `choose` once for each attempt, with what this entry
knows of the upstreams that offer the version. The order of preference is:
the upstream that served the session's last turn, then the one with most of
the prompt's prefix cached, otherwise the least expected wait among a few
random candidates (power of k choices). The cached prefix shortens the expected
wait, and is preferred only if the wait is then no longer than that of the best
candidate; the upstream of the session may exceed it by `session_credit_s`, the
time that its cache is assumed to save. An entry with few requests in flight
compares only two candidates: it relies on old reports, and with more
candidates all such entries would pick the same upstream.

The expected wait is estimated from this entry's own requests in flight,
which are known exactly, and from the requests of other entries in the
upstream's last report. The older the report, the more the mean of the
compared candidates replaces it.
"""

import collections.abc
import dataclasses
import enum
import math
import random
from typing import Protocol

# Time constant with which the weight of a load report decays.
REPORT_DECAY_S = 0.3
SECONDS_PER_MS = 0.001
# Wait that a full batch adds, as a fraction of the mean service time.
FULL_BATCH_DELAY_RATIO = 0.5
DEFAULT_CHOICES = 5
LOW_TRAFFIC_CHOICES = 2


class PlacementReason(enum.StrEnum):
    """Why an upstream was chosen, as written to the decision log."""

    SESSION = "session"
    PREFIX = "prefix"
    LEAST_WAIT = "least_wait"
    ONLY_CANDIDATE = "only_candidate"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """What this entry knows of one upstream.

    Attributes:
        name: Name of the upstream.
        own_in_flight: This entry's requests in flight there now.
        own_at_report: How many of this entry's requests were in flight
            there when the report was made.
        peer_in_flight: Other entries' requests in flight there, as those
            entries report them.
        running: Requests in the batch, as last reported.
        waiting: Requests queued, as last reported.
        max_batch: The most requests that run concurrently.
        report_age_s: Age of the load report; infinite when there is none.
        latency_ms: One-way network latency to it.
        cached_blocks: Blocks of this prompt's prefix that are probably
            cached there.
        service_s: Mean service time of a request there.
        leaving: Whether it accepts no new requests.
        backlog_s: Remaining work of this entry's attempts there, in
            seconds.
        slowdown: By which factor work is expected to take longer there than
            usual.
    """

    name: str
    own_in_flight: int = 0
    own_at_report: int = 0
    peer_in_flight: int = 0
    running: int = 0
    waiting: int = 0
    max_batch: int = 1
    report_age_s: float = math.inf
    latency_ms: float = 0.0
    cached_blocks: int = 0
    service_s: float = 1.0
    leaving: bool = False
    backlog_s: float = 0.0
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """The properties of a request that placement depends on.

    Attributes:
        session_upstream: The upstream that served the session's last turn;
            empty when there is none.
        session_credit_s: How much longer the expected wait at that upstream
            may be before another one is chosen; None for the default of the
            placement policy.
        prompt_blocks: Length of the prompt in cache blocks.
        prefill_s_per_block: Prefill time of one uncached block, in seconds.
        answer_s: Usual time of the whole answer, in seconds, if it is part of
            what the caller waits for; 0 for streams.
        excluded: Upstreams at which an earlier attempt failed.
    """

    session_upstream: str = ""
    session_credit_s: float | None = None
    prompt_blocks: int = 0
    prefill_s_per_block: float = 0.002
    answer_s: float = 0.0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementDecision:
    """The upstream chosen, and why.

    Attributes:
        upstream: Name of the upstream.
        reason: Which rule chose it.
        expected_wait_s: Estimated time before the first token, in seconds.
    """

    upstream: str
    reason: PlacementReason
    expected_wait_s: float


class Placement(Protocol):
    """A policy that chooses one of several upstreams."""

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[Candidate],
        request: PlacementRequest,
    ) -> PlacementDecision | None:
        """Returns the decision, or None when no candidate is usable."""


def count_peer_requests(candidate: Candidate) -> int:
    """Returns the number of reported requests from other entries."""
    reported = candidate.running + candidate.waiting
    return max(0, reported - candidate.own_at_report)


def estimate_wait_s(
    candidate: Candidate, request: PlacementRequest, mean_peer_load: float
) -> float:
    """Returns the expected time to the first token, in seconds."""
    weight = math.exp(-candidate.report_age_s / REPORT_DECAY_S)
    peer_load = (
        weight * count_peer_requests(candidate)
        + (1.0 - weight) * mean_peer_load
    )
    load = candidate.own_in_flight + peer_load
    queued = max(0.0, load + 1.0 - candidate.max_batch)
    batch_share = min(1.0, load / candidate.max_batch)
    busy = queued / candidate.max_batch + FULL_BATCH_DELAY_RATIO * batch_share
    cached = min(candidate.cached_blocks, request.prompt_blocks)
    prefill_s = (request.prompt_blocks - cached) * request.prefill_s_per_block
    return (
        candidate.service_s * busy
        + prefill_s
        + candidate.latency_ms * SECONDS_PER_MS
    )


class ExpectedWaitPlacement:
    """Prefers session and prefix affinity, else uses power of k choices.

    Attributes:
        choices: Maximum number of random candidates to compare.
        session_credit_s: How much longer the expected wait at a session's
            upstream may be before the session moves to another one.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        choices: int = DEFAULT_CHOICES,
        session_credit_s: float = 0.2,
    ) -> None:
        self.rng = rng
        self.choices = choices
        self.session_credit_s = session_credit_s

    def choose(
        self,
        *,
        candidates: collections.abc.Sequence[Candidate],
        request: PlacementRequest,
    ) -> PlacementDecision | None:
        """Returns the decision, or None when no candidate is usable."""
        usable = list_usable(candidates, request)
        if not usable:
            return None
        sample = self.draw_sample(usable)
        mean_peer_load = sum(map(count_peer_requests, sample)) / len(sample)
        best, wait_s = find_least_wait(sample, request, mean_peer_load)
        reason = PlacementReason.LEAST_WAIT
        if len(usable) == 1:
            reason = PlacementReason.ONLY_CANDIDATE
        cached = find_most_cached(usable) if request.prompt_blocks else None
        if cached is not None:
            cached_wait_s = estimate_wait_s(cached, request, mean_peer_load)
            if cached_wait_s <= wait_s:
                best, wait_s = cached, cached_wait_s
                reason = PlacementReason.PREFIX
        session_candidate = find_by_name(usable, request.session_upstream)
        if session_candidate is not None:
            session_wait_s = estimate_wait_s(
                session_candidate, request, mean_peer_load
            )
            if session_wait_s <= wait_s + self.session_credit_s:
                best, wait_s = session_candidate, session_wait_s
                reason = PlacementReason.SESSION
        return PlacementDecision(
            upstream=best.name, reason=reason, expected_wait_s=wait_s
        )

    def draw_sample(self, usable: list[Candidate]) -> list[Candidate]:
        """Returns a few distinct candidates, chosen at random."""
        count = min(self.choices, len(usable))
        sample = self.rng.sample(usable, count)
        own = sum(each.own_in_flight for each in sample)
        return sample if own >= count else sample[:LOW_TRAFFIC_CHOICES]


def list_usable(
    candidates: collections.abc.Sequence[Candidate], request: PlacementRequest
) -> list[Candidate]:
    """Returns the candidates that are neither leaving nor excluded."""
    usable = [each for each in candidates if not each.leaving]
    if request.excluded:
        usable = [each for each in usable if each.name not in request.excluded]
    return usable


def find_most_cached(usable: list[Candidate]) -> Candidate | None:
    """Returns the candidate with the most cached blocks, or None."""
    with_cache = [each for each in usable if each.cached_blocks]
    if not with_cache:
        return None
    return max(with_cache, key=lambda each: each.cached_blocks)


def find_by_name(usable: list[Candidate], name: str) -> Candidate | None:
    """Returns the candidate with this name, or None."""
    if not name:
        return None
    found = [each for each in usable if each.name == name]
    return found[0] if found else None


def find_least_wait(
    sample: list[Candidate], request: PlacementRequest, mean_peer_load: float
) -> tuple[Candidate, float]:
    """Returns the candidate with the least expected wait, and that wait."""
    waits = [estimate_wait_s(each, request, mean_peer_load) for each in sample]
    index = min(range(len(sample)), key=waits.__getitem__)
    return sample[index], waits[index]
