"""Plans the next load and unload orders from what is wanted and what is.

The owner of the roll-out duty calls `reconcile` whenever the table or the
upstreams' reports change. It is a stateless function of the desired and the
observed state, so a half-done roll-out goes on from what is after its owner
died, and orders that were lost are simply given again. Every order carries
the owner's fencing number. An order of a former owner may still be on its way
to an upstream that has not yet confirmed the new number, so what such an
upstream serves counts for nothing when an unload is weighed.

Each round works level by level: first versions short of holders are loaded
where a place is free, as the weight store's rate allows; then what stands in
the way or is no longer wanted is unloaded, and only while enough ready
holders remain of the version (while sessions or new work need it) and of its
model as a whole. So capacity holds up while versions swap; what cannot go on
without losing it is reported as blocked.
"""

import collections.abc
import dataclasses
import enum
import math
from typing import Protocol

from rhubarbbank_core import table


class Action(enum.StrEnum):
    """What an order asks an upstream to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to one upstream.

    Attributes:
        fence: The fencing number of the roll-out duty's lease.
        upstream: The upstream.
        action: What to do.
        key: With which version.
    """

    fence: int
    upstream: str
    action: Action
    key: table.VersionKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DesiredVersion:
    """What is wanted of one version.

    Attributes:
        key: The version.
        holders: How many upstreams should hold it.
        keep: Ready holders that must remain while it has sessions or takes
            new work.
        role: Role that an upstream must have; empty means any.
    """

    key: table.VersionKey
    holders: int
    keep: int = 1
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """What is wanted of all versions.

    Attributes:
        versions: Those that should be held; any other may go.
        model_floor: Ready holders that each model must keep over all of
            its versions.
    """

    versions: tuple[DesiredVersion, ...]
    model_floor: collections.abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObservedUpstream:
    """What one upstream reports.

    Attributes:
        name: The upstream.
        places: How many versions it can hold, loading ones included.
        ready: Versions that it serves.
        loading: Versions that it is loading.
        unloading: Versions that it is giving up; their places count.
        sessions: Live sessions on each version.
        role: Its role, such as `prefill`; may be empty.
        fence: The fencing number that its sidecar had confirmed; it
            refuses orders with a lower one.
        leaving: Whether it takes no new work.
    """

    name: str
    places: int
    fence: int
    ready: frozenset[table.VersionKey] = frozenset()
    loading: frozenset[table.VersionKey] = frozenset()
    unloading: frozenset[table.VersionKey] = frozenset()
    sessions: collections.abc.Mapping[table.VersionKey, int] = (
        dataclasses.field(default_factory=dict)
    )
    role: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reconciliation:
    """The outcome of one round.

    Attributes:
        orders: What to order now.
        announce: Upstreams that have yet to confirm the fencing number.
        blocked: Versions short of holders that no free place and no safe
            unload can help at present.
    """

    orders: tuple[Order, ...]
    announce: tuple[str, ...]
    blocked: tuple[table.VersionKey, ...]


class Rollout(Protocol):
    """Plans orders."""

    def __call__(
        self,
        *,
        desired: DesiredState,
        observed: collections.abc.Sequence[ObservedUpstream],
        fence: int,
        loads_at_once: int,
        pending: collections.abc.Sequence[Order] = (),
    ) -> Reconciliation:
        """Returns the next orders; see `reconcile`."""


def reconcile(
    *,
    desired: DesiredState,
    observed: collections.abc.Sequence[ObservedUpstream],
    fence: int,
    loads_at_once: int,
    pending: collections.abc.Sequence[Order] = (),
) -> Reconciliation:
    """Returns the next orders towards the desired state.

    Args:
        desired: What is wanted.
        observed: What every live upstream reports.
        fence: The fencing number of the caller's lease.
        loads_at_once: Loads that the weight store can serve side by side.
        pending: The caller's own orders to upstreams that have not reported
            since; a new owner has none and relies on the fence.
    """
    planner = Planner(
        desired=desired,
        observed=[apply_pending(each, pending) for each in observed],
        fence=fence,
        loads_at_once=loads_at_once,
    )
    planner.load_missing()
    planner.unload_surplus()
    return Reconciliation(
        orders=tuple(planner.orders),
        announce=tuple(
            each.name for each in planner.upstreams if each.fence != fence
        ),
        blocked=tuple(planner.find_blocked()),
    )


def apply_pending(
    upstream: ObservedUpstream, pending: collections.abc.Sequence[Order]
) -> ObservedUpstream:
    """Returns the upstream as if it had begun its pending orders."""
    loads: set[table.VersionKey] = set()
    unloads: set[table.VersionKey] = set()
    for order in pending:
        if order.upstream == upstream.name:
            group = loads if order.action is Action.LOAD else unloads
            group.add(order.key)
    unloading = upstream.unloading | unloads
    return dataclasses.replace(
        upstream,
        ready=upstream.ready - unloading,
        loading=upstream.loading | (loads - upstream.ready),
        unloading=unloading,
    )


class Planner:
    """One round's working state: what is, plus the orders given so far."""

    def __init__(
        self,
        *,
        desired: DesiredState,
        observed: collections.abc.Sequence[ObservedUpstream],
        fence: int,
        loads_at_once: int,
    ) -> None:
        self.desired = desired
        self.wanted = {each.key: each for each in desired.versions}
        self.upstreams = sorted(
            (each for each in observed if not each.leaving),
            key=lambda each: each.name,
        )
        self.fence = fence
        self.ready = {each.name: set(each.ready) for each in self.upstreams}
        self.sure = {
            each.name for each in self.upstreams if each.fence == fence
        }
        self.loading = {each.name: set(each.loading) for each in self.upstreams}
        self.loads_left = loads_at_once - sum(
            len(each.loading) for each in observed
        )
        self.orders: list[Order] = []
        self.short: list[table.VersionKey] = []

    def load_missing(self) -> None:
        """Orders loads for versions short of holders, the shortest first."""
        while True:
            missing = [
                each for each in self.desired.versions if self.lacks(each) > 0
            ]
            missing.sort(key=lambda each: (self.rank(each), each.key))
            if not any(self.load_one(each) for each in missing):
                break
        self.short = [each.key for each in missing]

    def rank(self, version: DesiredVersion) -> float:
        """Returns the held share of what is wanted: the least goes first."""
        return 1.0 - self.lacks(version) / version.holders

    def lacks(self, version: DesiredVersion) -> int:
        """Returns how many more holders a version needs."""
        held = sum(
            version.key in self.ready[each.name]
            or version.key in self.loading[each.name]
            for each in self.upstreams
        )
        return version.holders - held

    def load_one(self, version: DesiredVersion) -> bool:
        """Orders one load where there is most room; False if impossible."""
        if self.loads_left <= 0:
            return False
        fitting = [
            each
            for each in self.upstreams
            if self.count_free(each) > 0
            and version.role in {"", each.role}
            and version.key not in self.ready[each.name]
            and version.key not in self.loading[each.name]
            and version.key not in each.unloading
        ]
        if not fitting:
            return False
        chosen = max(fitting, key=self.count_free)
        self.loading[chosen.name].add(version.key)
        self.loads_left -= 1
        self.give(chosen.name, Action.LOAD, version.key)
        return True

    def count_free(self, upstream: ObservedUpstream) -> int:
        """Returns how many places are free at an upstream."""
        used = self.ready[upstream.name] | self.loading[upstream.name]
        return upstream.places - len(used | upstream.unloading)

    def give(
        self, upstream: str, action: Action, key: table.VersionKey
    ) -> None:
        """Adds one order."""
        self.orders.append(
            Order(fence=self.fence, upstream=upstream, action=action, key=key)
        )

    def unload_surplus(self) -> None:
        """Orders unloads of what is not wanted or held too often."""
        for upstream in sorted(self.upstreams, key=count_sessions):
            if upstream.name not in self.sure:
                continue
            for key in sorted(self.ready[upstream.name]):
                if self.is_surplus(key) and self.may_unload(key, upstream.name):
                    self.ready[upstream.name].discard(key)
                    self.give(upstream.name, Action.UNLOAD, key)

    def is_surplus(self, key: table.VersionKey) -> bool:
        """Returns whether fewer ready holders would do for the table."""
        version = self.wanted.get(key)
        wanted = version.holders if version else 0
        return self.count_ready(key) > wanted

    def may_unload(self, key: table.VersionKey, upstream: str) -> bool:
        """Returns whether this holder can let a version go without harm."""
        version = self.wanted.get(key)
        keep = version.keep if version else 0
        if self.count_all_sessions(key):
            keep = max(1, keep)
        if self.count_ready(key) - 1 < keep:
            return False
        serves_on = any(
            each.model == key.model and each != key
            for each in self.ready[upstream]
        )
        floor = self.desired.model_floor.get(key.model, 0)
        return serves_on or self.count_model_ready(key.model) - 1 >= floor

    def count_ready(self, key: table.VersionKey) -> int:
        """Returns how many upstreams surely go on serving a version."""
        return sum(key in self.ready[name] for name in self.sure)

    def count_model_ready(self, model: str) -> int:
        """Returns how many upstreams surely serve any version of a model.

        An upstream that serves two versions is one upstream's capacity.
        """
        return sum(
            any(key.model == model for key in self.ready[name])
            for name in self.sure
        )

    def count_all_sessions(self, key: table.VersionKey) -> int:
        """Returns the live sessions on a version."""
        return sum(each.sessions.get(key, 0) for each in self.upstreams)

    def find_blocked(self) -> list[table.VersionKey]:
        """Returns versions short of holders that nothing on its way helps."""
        moving = self.orders or any(
            each.loading or each.unloading for each in self.upstreams
        )
        return [] if moving else self.short


def count_sessions(upstream: ObservedUpstream) -> int:
    """Returns all live sessions of an upstream."""
    return sum(upstream.sessions.values())


def plan_holders(
    *,
    shares_per_cent: collections.abc.Mapping[table.VersionKey, float],
    draining: collections.abc.Collection[table.VersionKey],
    model_holders: collections.abc.Mapping[str, int],
) -> DesiredState:
    """Returns the desired state for the table's offered versions.

    Args:
        shares_per_cent: Share of its model's new work that each offered
            version gets, 0 to 100.
        draining: Versions that keep their sessions and take no new work.
        model_holders: Upstreams that each model needs for its whole work.
    """
    versions = [
        DesiredVersion(
            key=key,
            holders=max(1, math.ceil(model_holders[key.model] * share / 100)),
        )
        for key, share in sorted(shares_per_cent.items())
    ]
    versions.extend(
        DesiredVersion(key=key, holders=1, keep=1)
        for key in sorted(draining)
        if key not in shares_per_cent
    )
    return DesiredState(
        versions=tuple(versions), model_floor=dict(model_holders)
    )
