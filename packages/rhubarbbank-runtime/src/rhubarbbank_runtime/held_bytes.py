"""Decides which connections give way when callers hold too much.

The load: crowds of callers that upload many bodies at once and stop just
short of their end, send or read very slowly, or connect and do nothing, beside
ordinary callers, whose requests are small or complete within moments.
"""

from collections.abc import Iterable
import dataclasses
import enum
import heapq
import sys
from typing import Protocol

# What a connection without a request costs: parser, task and buffers.
CONNECTION_BYTES = 12_288
# Large requests that run leave this share of the memory to others.
RESERVED_SHARE = 0.25
# Small requests that run leave this share to new connections.
SMALL_RESERVED_SHARE = 0.05
SMALL_BODY_BYTES = 65_536
# How far usage is reduced at once, so that candidates are seldom compared.
REDUCED_SHARE = 0.875
REDUCED_CONNECTIONS = 8
# Makes connections that are new at the same time differ by size.
MIN_AGE_S = 0.05
# A caller loses more with an answer than with a request that hasn't run.
ANSWER_WEIGHT = 0.25


class Stage(enum.IntEnum):
    """What a connection waits for.

    RECEIVING: the caller's next bytes; its request hasn't run.
    ANSWERING: the caller, which hasn't read its answer yet.
    RUNNING: the router or an upstream; it doesn't give way.
    """

    RECEIVING = 0
    ANSWERING = 1
    RUNNING = 2


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class Holder:
    """What one connection holds.

    Attributes:
        number: Its number among all connections.
        since: When its stage began, in seconds.
        stage: What it waits for.
        held_bytes: The memory that it holds.
    """

    number: int
    since: float
    stage: Stage = Stage.RECEIVING
    held_bytes: int = CONNECTION_BYTES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HoldingLimits:
    """The limits on all connections of a server together.

    Attributes:
        max_bytes: Memory held for callers.
        max_connections: Open connections.
        max_running: Requests that run, each with a connection of its own.
    """

    max_bytes: int
    max_connections: int
    max_running: int = sys.maxsize


class GiveWayPolicy(Protocol):
    """Chooses who gives way."""

    def rank(self, holder: Holder, *, now: float) -> float:
        """Returns the rank of a holder; the highest gives way first."""


class LargestAndSlowest:
    """Ranks by bytes times seconds; unread answers count only a part.

    A strict order of the stages would let unread answers displace all new
    callers.
    """

    def rank(self, holder: Holder, *, now: float) -> float:
        """Returns the rank of a holder; the highest gives way first."""
        age_s = max(0.0, now - holder.since) + MIN_AGE_S
        weight = 1.0
        if holder.stage is Stage.ANSWERING:
            weight = ANSWER_WEIGHT
        return holder.held_bytes * age_s * weight


class Newest:
    """The baseline: who comes last gives way, as with a plain limit."""

    def rank(self, holder: Holder, *, now: float) -> float:
        """Returns the rank of a holder; the highest gives way first."""
        del now
        return holder.number


class HeldBytes:
    """The account of what connections hold.

    Attributes:
        limits: The limits on all connections together.
        policy: Chooses who gives way.
        holders: All holders, by number.
        held_bytes: Sum over all holders.
        running_bytes: Sum over the holders whose request runs.
        running_count: Number of these holders.
    """

    def __init__(
        self, *, limits: HoldingLimits, policy: GiveWayPolicy | None = None
    ) -> None:
        self.limits = limits
        self.policy = policy or LargestAndSlowest()
        self.holders: dict[int, Holder] = {}
        self.held_bytes = 0
        self.running_bytes = 0
        self.running_count = 0
        self.last_number = 0

    def open(self, *, now: float) -> Holder:
        """Adds a connection and returns its holder."""
        self.last_number += 1
        holder = Holder(number=self.last_number, since=now)
        self.holders[holder.number] = holder
        self.held_bytes += holder.held_bytes
        return holder

    def close(self, holder: Holder) -> None:
        """Removes a connection, which may have been removed before."""
        if self.holders.pop(holder.number, None) is not None:
            self.held_bytes -= holder.held_bytes
            if holder.stage is Stage.RUNNING:
                self.running_bytes -= holder.held_bytes
                self.running_count -= 1

    def resize(self, holder: Holder, held_bytes: int) -> None:
        """Records what a connection holds now, besides its fixed cost."""
        if holder.number not in self.holders:
            return
        grown_bytes = held_bytes + CONNECTION_BYTES - holder.held_bytes
        holder.held_bytes += grown_bytes
        self.held_bytes += grown_bytes
        if holder.stage is Stage.RUNNING:
            self.running_bytes += grown_bytes

    def move(self, holder: Holder, stage: Stage, *, now: float) -> None:
        """Records that a connection has another stage now."""
        if holder.number not in self.holders or holder.stage is stage:
            return
        if holder.stage is Stage.RUNNING:
            self.running_bytes -= holder.held_bytes
            self.running_count -= 1
        if stage is Stage.RUNNING:
            self.running_bytes += holder.held_bytes
            self.running_count += 1
        holder.stage = stage
        holder.since = now

    def may_run(self, holder: Holder) -> bool:
        """Returns whether a received request leaves enough to others."""
        if self.running_count >= self.limits.max_running:
            return False
        is_small = holder.held_bytes <= SMALL_BODY_BYTES + CONNECTION_BYTES
        reserved_share = SMALL_RESERVED_SHARE if is_small else RESERVED_SHARE
        allowed_bytes = self.limits.max_bytes * (1.0 - reserved_share)
        return self.running_bytes + holder.held_bytes <= allowed_bytes

    def can_take(self) -> bool:
        """Returns whether a new connection would be accepted."""
        if self.running_bytes + CONNECTION_BYTES > self.limits.max_bytes:
            return False
        return len(self.holders) < self.limits.max_connections or any(
            each.stage is not Stage.RUNNING for each in self.holders.values()
        )

    def choose_leaving(self, *, now: float) -> list[Holder]:
        """Returns the connections that have to give way now.

        More than necessary leave at once, but no unread answers for that.
        """
        limits = self.limits
        surplus_bytes = self.held_bytes - limits.max_bytes
        surplus_connections = len(self.holders) - limits.max_connections
        if surplus_bytes <= 0 and surplus_connections <= 0:
            return []
        spare_bytes = spare_connections = 0
        if surplus_bytes > 0:
            spare_bytes = int(limits.max_bytes * (1.0 - REDUCED_SHARE))
        if surplus_connections > 0:
            spare_connections = REDUCED_CONNECTIONS - 1
        leaving = []
        for holder in self.order(now=now):
            if (
                surplus_bytes <= -spare_bytes
                and surplus_connections <= -spare_connections
            ):
                break
            is_needed = surplus_bytes > 0 or surplus_connections > 0
            if holder.stage is Stage.ANSWERING and not is_needed:
                break
            leaving.append(holder)
            surplus_bytes -= holder.held_bytes
            surplus_connections -= 1
        return leaving

    def order(self, *, now: float) -> Iterable[Holder]:
        """Yields who may give way, the first one first."""
        heap = [
            (-self.policy.rank(each, now=now), number)
            for number, each in self.holders.items()
            if each.stage is not Stage.RUNNING
        ]
        heapq.heapify(heap)
        while heap:
            yield self.holders[heapq.heappop(heap)[1]]
