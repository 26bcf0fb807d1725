"""Steps for a roll-out's plan of loads and unloads."""

import dataclasses

from behave import given
from behave import runner
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import rollout
from rhubarbbank_core import table

NEW = table.VersionKey("m", "2")
OLD = table.VersionKey("m", "1")


def parse_key(name: str) -> table.VersionKey:
    model, version = name.split("@")
    return table.VersionKey(model, version)


def replace_one(
    fleet: dict[str, rollout.ObservedUpstream], order: rollout.Order
) -> None:
    """Carries one order out at once."""
    upstream = fleet[order.upstream]
    ready = set(upstream.ready)
    if order.action is rollout.Action.LOAD:
        ready.add(order.key)
    else:
        ready.discard(order.key)
    fleet[order.upstream] = dataclasses.replace(
        upstream, ready=frozenset(ready), loading=frozenset()
    )


@given(
    "a roll-out fleet of {count:d} upstreams with {places:d} places that"
    ' serve "{name}"'
)
def step_fleet(
    context: runner.Context, count: int, places: int, name: str
) -> None:
    context.fleet = {
        f"u{number}": rollout.ObservedUpstream(
            name=f"u{number}",
            places=places,
            fence=1,
            ready=frozenset({parse_key(name)}),
        )
        for number in range(count)
    }


@given('the roll-out fleet has sessions on "{name}"')
def step_sessions(context: runner.Context, name: str) -> None:
    context.fleet = {
        each.name: dataclasses.replace(each, sessions={parse_key(name): 3})
        for each in context.fleet.values()
    }


def plan_round(context: runner.Context, fence: int) -> rollout.Reconciliation:
    return rollout.reconcile(
        desired=context.desired,
        observed=list(context.fleet.values()),
        fence=fence,
        loads_at_once=2,
    )


@when('the roll-out wants {count:d} holders of "{new}" and none of "{old}"')
def step_wants(context: runner.Context, count: int, new: str, old: str) -> None:
    context.desired = rollout.DesiredState(
        versions=(rollout.DesiredVersion(key=parse_key(new), holders=count),),
        model_floor={parse_key(new).model: count},
    )
    context.round = plan_round(context, fence=1)


@when('the roll-out wants none of "{old}" and a floor of {floor:d}')
def step_wants_none(context: runner.Context, old: str, floor: int) -> None:
    context.desired = rollout.DesiredState(
        versions=(), model_floor={parse_key(old).model: floor}
    )
    context.round = plan_round(context, fence=1)


@then("the roll-out gives no more unloads when sessions move before a report")
def step_pending(context: runner.Context) -> None:
    ordered = {each.upstream for each in context.round.orders}
    observed = [
        dataclasses.replace(
            each, sessions={parse_key("x@1"): 9 * (each.name in ordered)}
        )
        for each in context.fleet.values()
    ]
    found = rollout.reconcile(
        desired=context.desired,
        observed=observed,
        fence=1,
        loads_at_once=2,
        pending=context.round.orders,
    )
    assert not found.orders, found.orders


@when("the roll-out owner is replaced before its fence is confirmed")
def step_new_owner(context: runner.Context) -> None:
    context.desired = rollout.DesiredState(versions=(), model_floor={})
    assert plan_round(context, fence=1).orders
    context.round = plan_round(context, fence=2)


@then(
    "the roll-out announces its fence to {count:d} upstreams and unloads"
    " nothing"
)
def step_announces(context: runner.Context, count: int) -> None:
    assert len(context.round.announce) == count
    assert not context.round.orders


@then("the roll-out orders {loads:d} loads and {unloads:d} unloads at first")
def step_first_orders(
    context: runner.Context, loads: int, unloads: int
) -> None:
    actions = [each.action for each in context.round.orders]
    assert actions.count(rollout.Action.LOAD) == loads, actions
    assert actions.count(rollout.Action.UNLOAD) == unloads, actions


@then(
    'the roll-out ends with {many:d} holders of "{new}" and {few:d} of "{old}"'
)
def step_ends(
    context: runner.Context, many: int, new: str, few: int, old: str
) -> None:
    while orders := plan_round(context, fence=1).orders:
        for order in orders:
            replace_one(context.fleet, order)
            model = [
                each
                for each in context.fleet.values()
                if any(key.model == "m" for key in each.ready)
            ]
            assert len(model) >= context.desired.model_floor["m"]
    for name, count in ((new, many), (old, few)):
        held = [
            each
            for each in context.fleet.values()
            if parse_key(name) in each.ready
        ]
        assert len(held) == count, (name, held)


@then('the roll-out reports "{name}" as blocked')
def step_blocked(context: runner.Context, name: str) -> None:
    assert context.round.blocked == (parse_key(name),), context.round


@then("the roll-out of a model on {count:d} upstreams wants these holders")
def step_holders(context: runner.Context, count: int) -> None:
    rows = list(context.table)
    found = rollout.plan_holders(
        shares_per_cent={
            parse_key(row["version"]): float(row["share"])
            for row in rows
            if row["share"] != "draining"
        },
        draining=[
            parse_key(row["version"])
            for row in rows
            if row["share"] == "draining"
        ],
        model_holders={"m": count},
    )
    wanted = {str(each.key): each.holders for each in found.versions}
    assert wanted == {row["version"]: int(row["holders"]) for row in rows}
    assert found.model_floor == {"m": count}


class RolloutFleet:
    """Upstreams that get orders late or never, from owners that change."""

    def __init__(self, desired: rollout.DesiredState) -> None:
        self.desired = desired
        self.fence = 1
        self.crashes = 0
        self.sent: list[tuple[rollout.Order, int]] = []
        self.fleet = {
            f"u{number}": rollout.ObservedUpstream(
                name=f"u{number}", places=2, fence=1, ready=frozenset({OLD})
            )
            for number in range(4)
        }

    def reconcile(self) -> bool:
        """Gives one round's orders; returns whether there were any."""
        found = rollout.reconcile(
            desired=self.desired,
            observed=list(self.fleet.values()),
            fence=self.fence,
            loads_at_once=2,
            pending=[
                order for order, _ in self.sent if order.fence == self.fence
            ],
        )
        self.sent.extend((order, self.crashes) for order in found.orders)
        return bool(found.orders)

    def deliver(self, index: int) -> None:
        """An order arrives; an old one is refused once the fence is known."""
        if not self.sent:
            return
        order, crashes = self.sent.pop(index % len(self.sent))
        upstream = self.fleet[order.upstream]
        if order.fence < upstream.fence:
            return
        is_unload = order.action is rollout.Action.UNLOAD
        before = self.count_model()
        if is_unload or len(upstream.ready) < upstream.places:
            replace_one(self.fleet, order)
        if is_unload and crashes == self.crashes:
            floor = self.desired.model_floor["m"]
            assert self.count_model() >= min(before, floor), "capacity lost"

    def confirm(self, index: int) -> None:
        """One sidecar learns the owner's fence."""
        name = f"u{index % len(self.fleet)}"
        self.fleet[name] = dataclasses.replace(
            self.fleet[name], fence=self.fence
        )

    def crash(self, index: int) -> None:
        """One upstream loses all that it holds."""
        name = f"u{index % len(self.fleet)}"
        self.crashes += 1
        self.fleet[name] = dataclasses.replace(
            self.fleet[name], ready=frozenset()
        )

    def carry_out(self, kind: str, index: int) -> None:
        """One thing happens."""
        if kind == "reconcile":
            self.reconcile()
        elif kind == "deliver":
            self.deliver(index)
        elif kind == "lose" and self.sent:
            self.sent.pop(index % len(self.sent))
        elif kind == "owner":
            self.fence += 1
        elif kind == "confirm":
            self.confirm(index)
        elif kind == "crash":
            self.crash(index)
        elif kind == "sessions":
            self.move_sessions(index)

    def move_sessions(self, index: int) -> None:
        """One upstream's count of sessions changes."""
        name = f"u{index % len(self.fleet)}"
        self.fleet[name] = dataclasses.replace(
            self.fleet[name], sessions={OLD: index}
        )

    def count_model(self) -> int:
        return sum(bool(each.ready) for each in self.fleet.values())

    def count(self, key: table.VersionKey) -> int:
        return sum(key in each.ready for each in self.fleet.values())


@then(
    "roll-out orders keep capacity in {count:d} random runs and reach the goal"
)
def step_random_rollout(context: runner.Context, count: int) -> None:
    event = strategies.tuples(
        strategies.sampled_from(
            (
                "reconcile",
                "reconcile",
                "deliver",
                "deliver",
                "lose",
                "owner",
                "confirm",
                "crash",
                "sessions",
            )
        ),
        strategies.integers(0, 9),
    )
    desired = rollout.DesiredState(
        versions=(rollout.DesiredVersion(key=NEW, holders=3),),
        model_floor={"m": 3},
    )

    @trials.repeat(count)
    @hypothesis.given(strategies.lists(event, min_size=20, max_size=60))
    def check(events: list[tuple[str, int]]) -> None:
        fleet = RolloutFleet(desired)
        for kind, index in events:
            fleet.carry_out(kind, index)
        for number in range(4):
            fleet.confirm(number)
        while fleet.reconcile() or fleet.sent:
            fleet.deliver(0)
        assert fleet.count(NEW) >= 3
        assert fleet.count(OLD) <= 1

    check()
