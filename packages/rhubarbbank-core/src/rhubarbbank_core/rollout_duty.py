"""Plans roll-out orders from the table and the sidecars' rows.

The entry that owns the duty's ledger shard calls `RolloutDuty.plan` once a
second. Nothing is kept but the orders given lately, so that the next owner
goes on from what is. The table says which versions are wanted and with which
share of their model's work; the engines' places say how many holders a model
can have. `rollout.reconcile` does the rest.

Each model gets an equal part of the places, with one place of each engine
left free where it has several: a version in roll-out then finds room beside
the one that it replaces. What an engine holds for other users of the
platform, that is, versions that the table doesn't name, stays and counts as
a place taken. Versions that are withdrawn everywhere serve nobody and are no
capacity, so that they go as soon as the fence is confirmed.
"""

import collections
import collections.abc
import dataclasses
import math

from rhubarbbank_core import defaults
from rhubarbbank_core import gate
from rhubarbbank_core import membership_messages
from rhubarbbank_core import rollout
from rhubarbbank_core import table
from rhubarbbank_core import version_choice

DUTY_KEY = "duty/rollout"
PERIOD_S = 1.0
# How long an order counts as under way before its sidecar has shown it.
PENDING_S = 3.0
PER_CENT = 100.0

SidecarRow = membership_messages.SidecarRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """What the table says of the engines' versions.

    Attributes:
        shares_per_cent: Share of its model's new work, by offered version.
        draining: Versions that only keep their sessions, held ones included.
        withdrawn: Versions that all of their rows withdraw.
    """

    shares_per_cent: dict[table.VersionKey, float]
    draining: frozenset[table.VersionKey]
    withdrawn: frozenset[table.VersionKey]

    @property
    def models(self) -> frozenset[str]:
        """The models that need holders."""
        return frozenset(
            key.model for key in self.shares_per_cent.keys() | self.draining
        )


class RolloutDuty:
    """The roll-out duty of one entry.

    Attributes:
        fence: The fencing number at the last round.
        pending: When each order was given that hasn't shown effect yet.
    """

    def __init__(self) -> None:
        self.fence = 0
        self.pending: dict[rollout.Order, float] = {}

    def plan(
        self,
        *,
        now: float,
        rows: table.Table,
        engines: collections.abc.Sequence[SidecarRow],
        services: collections.abc.Collection[str],
        fence: int,
    ) -> rollout.Reconciliation:
        """Returns the orders of one round.

        Args:
            now: Seconds.
            rows: The table in force.
            engines: The rows of all live engines that don't leave.
            services: Plain services among the table's models.
            fence: The fencing number of the duty.
        """
        if fence != self.fence:
            self.fence = fence
            self.pending.clear()
        wanted = read_wanted(rows, services)
        observed = [observe(row, wanted) for row in engines]
        self.drop_settled(now, observed)
        found = rollout.reconcile(
            desired=plan_desired(wanted, observed),
            observed=observed,
            fence=fence,
            loads_at_once=defaults.MAX_CONCURRENT_LOADS,
            pending=tuple(self.pending),
        )
        orders = (*found.orders, *self.withdraw(engines, wanted))
        self.pending |= dict.fromkeys(orders, now)
        return dataclasses.replace(found, orders=orders)

    def drop_settled(
        self, now: float, observed: list[rollout.ObservedUpstream]
    ) -> None:
        """Forgets orders that took effect or were lost."""
        by_name = {each.name: each for each in observed}
        for order, at in list(self.pending.items()):
            upstream = by_name.get(order.upstream)
            if upstream is None or now - at >= PENDING_S:
                del self.pending[order]
                continue
            holds = order.key in upstream.ready
            loads = order.action is rollout.Action.LOAD
            if holds and loads:
                del self.pending[order]

    def withdraw(
        self,
        engines: collections.abc.Sequence[SidecarRow],
        wanted: Wanted,
    ) -> list[rollout.Order]:
        """Returns the unloads of versions that serve nobody."""
        orders = [
            rollout.Order(
                fence=self.fence,
                upstream=row.name,
                action=rollout.Action.UNLOAD,
                key=key,
            )
            for row in engines
            if row.fence == self.fence
            for key in sorted(read_keys(row.versions) & wanted.withdrawn)
        ]
        return [order for order in orders if order not in self.pending]


def read_keys(
    names: collections.abc.Iterable[str],
) -> frozenset[table.VersionKey]:
    """Returns versions that are written as `model@version`."""
    return frozenset(
        table.VersionKey(model, version)
        for model, _, version in (name.partition("@") for name in names)
    )


def read_wanted(
    rows: table.Table, services: collections.abc.Collection[str]
) -> Wanted:
    """Returns what the table says of the engines' versions."""
    named = [row for row in rows.rows if row.model not in services]
    shares = measure_shares(named)
    draining = {
        row.key
        for row in named
        if row.state is not table.VersionState.WITHDRAWN
        and row.key not in shares
    }
    withdrawn = {row.key for row in named} - shares.keys() - draining
    return Wanted(
        shares_per_cent=shares,
        draining=frozenset(draining),
        withdrawn=frozenset(withdrawn),
    )


def measure_shares(
    named: list[table.Row],
) -> dict[table.VersionKey, float]:
    """Returns each offered version's share of its model, in per cent.

    An organisation counts by its largest allowance on the model.
    """
    groups: dict[tuple[str, str], list[table.Row]] = {}
    for row in named:
        offered = row.state is table.VersionState.OFFERED
        if offered and row.status != gate.HELD and row.weight > 0:
            groups.setdefault((row.organisation, row.model), []).append(row)
    parts: collections.defaultdict[table.VersionKey, float] = (
        collections.defaultdict(float)
    )
    wholes: collections.defaultdict[str, float] = collections.defaultdict(float)
    for (_, model), found in groups.items():
        volume = max(1, *(row.requests_per_minute for row in found))
        shares = version_choice.share_out(found)
        total = sum(share.amount for share in shares)
        wholes[model] += volume
        for share in shares:
            part = share.amount / total if total else 0.0
            parts[share.row.key] += volume * part
    return {
        key: PER_CENT * part / wholes[key.model] for key, part in parts.items()
    }


def observe(row: SidecarRow, wanted: Wanted) -> rollout.ObservedUpstream:
    """Returns a sidecar's row as the planner sees it."""
    ready = read_keys(row.versions)
    ours = ready & (wanted.shares_per_cent.keys() | wanted.draining)
    leaving = (ready & wanted.withdrawn) | read_keys(row.unloading)
    others = ready - ours - leaving
    return rollout.ObservedUpstream(
        name=row.name,
        places=max(row.places, len(ready)) - len(others),
        fence=row.fence,
        ready=ours - leaving,
        loading=read_keys(row.loading) - ready,
        unloading=leaving,
    )


def plan_desired(
    wanted: Wanted, observed: list[rollout.ObservedUpstream]
) -> rollout.DesiredState:
    """Returns what is wanted of all versions, by the engines' places."""
    usable = sum(max(1, each.places - 1) for each in observed)
    models = wanted.models
    part = math.ceil(usable / max(1, len(models)))
    holders = max(1, min(len(observed), part))
    return rollout.plan_holders(
        shares_per_cent=wanted.shares_per_cent,
        draining=wanted.draining,
        model_holders=dict.fromkeys(models, holders),
    )
