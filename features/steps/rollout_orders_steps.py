"""Steps for roll-out orders: the duty, sidecars' orders and plain engines."""

import collections
import dataclasses
import random
import types

from behave import given
from behave import register_type
from behave import then
from behave import when
import msgspec

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_control
from rhubarbbank_core import entry_rollout
from rhubarbbank_core import errors
from rhubarbbank_core import events
from rhubarbbank_core import ledger_records
from rhubarbbank_core import membership_messages
from rhubarbbank_core import order_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import rollout
from rhubarbbank_core import rollout_duty
from rhubarbbank_core import sidecar
from rhubarbbank_core import sidecar_control
from rhubarbbank_core import sidecar_orders
from rhubarbbank_core import table

LOAD_S = 3.0
ROUNDS = 200
QUIET_ROUNDS = 12
OK = 200
CONFLICT = 409
OWNER = "127.0.0.1:1"


def parse_key(text):
    return table.VersionKey(*text.split("@"))


class Engine:
    """An engine that obeys whatever it is asked, and its sidecar's orders."""

    def __init__(self, name, places, held):
        self.name = name
        self.places = places
        self.loaded = set(held)
        self.loads = {}
        self.busy = set()
        self.asked = collections.Counter()
        self.refusals = 0
        self.restart()

    def restart(self):
        self.orders = sidecar_orders.SidecarOrders(upstream=self.name)

    def row(self):
        found = self.orders.report()
        return membership_messages.SidecarRow(
            name=self.name,
            incarnation=1,
            generation=1,
            address=self.name,
            data_centre="d",
            upstream=self.name,
            kind=membership_messages.HostKind.ENGINE,
            places=self.places,
            fence=found.fence,
            versions=found.versions,
            loading=found.loading,
            unloading=found.unloading,
        )


class World:
    """Engines, the duty's owner and the table; a round a second."""

    def __init__(self, engines):
        self.engines = {each.name: each for each in engines}
        self.now = 0.0
        self.fence = 1
        self.duty = rollout_duty.RolloutDuty()
        self.rows = {}
        self.services = frozenset()
        self.refused = 0
        self.most_loads = 0
        self.capacity = collections.Counter()
        self.lag = 0
        self.seen = []
        for engine in engines:
            self.observe(engine)

    def table(self):
        rows = (self.rows[key] for key in sorted(self.rows))
        return table.Table(revision=1, rows=tuple(rows))

    def plan(self):
        """Plans from the rows as the owner sees them."""
        self.seen.append([each.row() for each in self.engines.values()])
        return self.duty.plan(
            now=self.now,
            rows=self.table(),
            engines=self.look(),
            services=self.services,
            fence=self.fence,
        )

    def look(self):
        """Returns the rows, those of some engines from earlier rounds."""
        last = len(self.seen) - 1
        return [
            self.seen[max(0, last - number % (self.lag + 1))][number]
            for number in range(len(self.engines))
        ]

    def round(self):
        """Plans, delivers, lets the engines work; returns what changed."""
        found = self.plan()
        for name in found.announce:
            self.engines[name].orders.raise_fence(self.fence)
        self.deliver(found.orders)
        self.now += 1.0
        for engine in self.engines.values():
            self.work(engine)
        self.check()
        return bool(found.orders or any(x.loads for x in self.engines.values()))

    def deliver(self, orders):
        for order in orders:
            message = order_messages.RolloutOrder(
                order.fence, order.action, *dataclasses.astuple(order.key), ""
            )
            engine = self.engines[order.upstream]
            self.carry_out(
                engine,
                engine.orders.handle_order(
                    message, active_versions=engine.busy
                ),
            )

    def carry_out(self, engine, found):
        for effect in found:
            if isinstance(effect, fx.LogDecision):
                self.refused += effect.decision == "order_refused"
                continue
            key = table.VersionKey(effect.model, effect.version)
            engine.asked[effect.order, key] += 1
            status = OK
            if engine.refusals:
                engine.refusals -= 1
                status = CONFLICT
            elif effect.order == rollout.Action.LOAD:
                engine.loads[key] = (self.now + LOAD_S, effect.order_id)
                continue
            else:
                assert key not in engine.busy, f"{engine.name} dropped {key}"
                engine.loaded.discard(key)
            engine.orders.finish(
                now=self.now, order_id=effect.order_id, status=status
            )

    def work(self, engine):
        for key, (end, order_id) in list(engine.loads.items()):
            if self.now >= end:
                del engine.loads[key]
                engine.loaded.add(key)
                engine.orders.finish(now=self.now, order_id=order_id, status=OK)
        self.observe(engine)
        self.carry_out(
            engine, engine.orders.send_ready(active_versions=engine.busy)
        )

    def observe(self, engine):
        engine.orders.observe(
            now=self.now,
            loaded=map(str, engine.loaded),
            loading=map(str, engine.loads),
            last_fence=0,
        )

    def check(self):
        """Checks what must hold after every round."""
        loads = sum(len(each.loads) for each in self.engines.values())
        self.most_loads = max(self.most_loads, loads)
        assert loads <= defaults.MAX_CONCURRENT_LOADS, loads
        for engine in self.engines.values():
            held = engine.loaded | engine.loads.keys()
            assert len(held) <= engine.places, (engine.name, held)
        withdrawn = {
            row.key
            for row in self.rows.values()
            if row.state is table.VersionState.WITHDRAWN
        }
        for model in {row.model for row in self.rows.values()}:
            count = sum(
                any(x.model == model and x not in withdrawn for x in ready)
                for ready in map(self.find_ready, self.engines.values())
            )
            offered = any(
                row.model == model and row.key not in withdrawn
                for row in self.rows.values()
            )
            if offered:
                assert count >= self.capacity[model], (model, count)
                self.capacity[model] = count

    def find_ready(self, engine):
        return map(parse_key, engine.orders.report().versions)

    def settle(self):
        quiet = 0
        for _ in range(ROUNDS):
            quiet = 0 if self.round() else quiet + 1
            if quiet >= QUIET_ROUNDS:
                return
        raise AssertionError("the rounds don't settle")

    def count(self, text):
        key = parse_key(text)
        return sum(key in each.loaded for each in self.engines.values())


def parse_held(text):
    return [] if text == "nothing" else [parse_key(text.strip('"'))]


register_type(HeldVersion=parse_held)


@given(
    "{count:d} order engines with {places:d} places that hold "
    "{held:HeldVersion}"
)
@given(
    "{count:d} order engine with {places:d} places that hold {held:HeldVersion}"
)
def make_engines(context, count, places, held):
    context.world = World(
        [Engine(f"e{number}", places, held) for number in range(count)]
    )


def change_row(context, version, **fields):
    key = parse_key(version)
    row = context.world.rows.get(key)
    if row is None:
        row = table.Row(
            organisation="tc-hall", model=key.model, version=key.version
        )
    context.world.rows[key] = dataclasses.replace(row, **fields)


@given('an order table with "{version}" as "{status}"')
@when('the order table offers "{version}" as "{status}"')
def offer(context, version, status):
    change_row(context, version, status=status)


@when('the order table makes "{version}" {state}')
def set_state(context, version, state):
    change_row(context, version, state=table.VersionState(state))


@given('"{model}" is a plain service to the order owner')
def set_service(context, model):
    context.world.services = frozenset({model})


@given("the order owner sees some rows up to {count:d} rounds late")
def set_lag(context, count):
    context.world.lag = count


@when("the order rounds settle")
def settle(context):
    context.world.settle()


@when("{count:d} order round passes")
@when("{count:d} order rounds pass")
def pass_rounds(context, count):
    for _ in range(count):
        context.world.round()


@when("the order owner dies and the next has a higher fence")
def replace_owner(context):
    context.world.fence += 1
    context.world.duty = rollout_duty.RolloutDuty()


@when("the order owner is paused with its orders on the way")
def pause_owner(context):
    """Its table differed: it wanted v9 in the place of v1."""
    world = context.world
    context.late = [
        rollout.Order(
            fence=world.fence, upstream=name, action=action, key=parse_key(key)
        )
        for name in world.engines
        for action, key in (
            (rollout.Action.UNLOAD, "kurz@v1"),
            (rollout.Action.LOAD, "kurz@v9"),
        )
    ]
    replace_owner(context)


@when("the paused owner's orders arrive")
def deliver_late(context):
    context.world.deliver(context.late)


@when('order engine "{name}" has work on "{version}"')
def set_busy(context, name, version):
    context.world.engines[name].busy.add(parse_key(version))


@when('order engine "{name}" has no more work')
def set_idle(context, name):
    context.world.engines[name].busy.clear()


@when('order engine "{name}" refuses its first {count:d} orders')
def set_refusals(context, name, count):
    context.world.engines[name].refusals = count


@when('order sidecar "{name}" restarts and hears an order with fence {fence:d}')
def restart(context, name, fence):
    engine = context.world.engines[name]
    engine.restart()
    context.world.observe(engine)
    hear_order(context, name, fence)


@when('order sidecar "{name}" hears an order with fence {fence:d}')
def hear_order(context, name, fence):
    order = rollout.Order(
        fence=fence,
        upstream=name,
        action=rollout.Action.LOAD,
        key=parse_key("kurz@v9"),
    )
    context.world.deliver([order])


@when('order sidecar "{name}" hears fence {fence:d} from its engine')
def hear_engine(context, name, fence):
    engine = context.world.engines[name]
    engine.orders.observe(
        now=0.0, loaded=["kurz@v1"], loading=[], last_fence=fence
    )


@when('order sidecar "{name}" hears fence {fence:d} announced')
def hear_announce(context, name, fence):
    context.world.engines[name].orders.raise_fence(fence)


@then('order engine "{name}" is asked to load "{version}"')
def check_asked(context, name, version):
    asked = context.world.engines[name].asked
    assert asked == {(rollout.Action.LOAD, parse_key(version)): 1}, asked


@then("the order sidecars refused {count:d} orders as stale")
@then("the order sidecars refused {count:d} order as stale")
def check_refused(context, count):
    assert context.world.refused == count, context.world.refused


@then('{one:d} order engine holds "{a}" and {two:d} hold "{b}"')
@then('{one:d} order engine holds "{a}" and {two:d} holds "{b}"')
@then('{one:d} order engines hold "{a}" and {two:d} hold "{b}"')
@then('{one:d} order engines hold "{a}" and {two:d} holds "{b}"')
def check_holders(context, one, a, two, b):
    found = context.world.count(a), context.world.count(b)
    assert found == (one, two), found


@then("at most {count:d} order loads ran at once")
def check_loads(context, count):
    assert context.world.most_loads == count, context.world.most_loads


@then("no order engine was asked twice for the same")
def check_once(context):
    for engine in context.world.engines.values():
        assert all(x == 1 for x in engine.asked.values()), engine.asked


# The sidecar's reducer.


def submit(context, number):
    message = path_messages.Submit(
        request_id=f"r{number}",
        attempt=1,
        reply_to=OWNER,
        incarnation=1,
        organisation="tc-hall",
        model="kurz",
        version="v1",
        deadline_s=60.0,
        kind=requests.WorkKind.CHAT,
        pinned=False,
        request_class="chat",
        priority=5,
        table_revision=1,
        first_event=0,
        method="",
        path="",
        idempotency_key="",
        body=b"{}",
        alone=False,
        fingerprint=1,
    )
    return context.reducer.step(now=1.0, event=events.MessageReceived(message))


@given('an order sidecar with a running request on "{version}"')
def make_sidecar(context, version):
    context.reducer = sidecar.SidecarReducer(
        identity=sidecar_control.SidecarIdentity(
            name="s",
            incarnation=1,
            peer_address="127.0.0.1:2",
            data_centre="d",
            upstream="u",
            kind=requests.WorkKind.CHAT,
        ),
        call_ids=effects.CallIds(),
        rng=random.Random(1),
    )
    context.reducer.control.check_freshness = lambda now: None
    key = parse_key(version)
    row = table.Row(
        organisation="tc-hall", model=key.model, version=key.version
    )
    context.reducer.rows = table.Table(revision=1, rows=(row,))
    context.reducer.step(
        now=0.0,
        event=events.UpstreamObserved(
            True, path_messages.Load(0, 0, 4, 0.0), [version]
        ),
    )
    found = submit(context, 1)
    assert any(isinstance(x, fx.CallUpstream) for x in found), found


@when('the order sidecar is told to unload "{version}"')
def tell_unload(context, version):
    key = parse_key(version)
    context.effects = []
    for message in (
        order_messages.FenceAnnounce(3, OWNER),
        order_messages.RolloutOrder(
            3, rollout.Action.UNLOAD, key.model, key.version, OWNER
        ),
    ):
        context.effects += context.reducer.step(
            now=1.0, event=events.MessageReceived(message)
        )
    told = [
        row
        for effect in context.effects
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, membership_messages.DirectoryUpdate)
        for row in effect.message.sidecars
    ]
    assert told[-1].fence == 3
    assert told[-1].unloading == (version,) and not told[-1].versions
    assert told[-1].generation > told[0].generation


@when('the order sidecar gets another request on "{version}"')
def submit_another(context, version):
    context.effects += submit(context, 2)
    context.effects += context.reducer.step(now=1.1, event=events.Ticked())


@then("the order sidecar refuses it as not run and asks its engine nothing")
def check_refusal(context):
    failed = [
        x.message
        for x in context.effects
        if isinstance(x, effects.Send)
        and isinstance(x.message, path_messages.Failed)
    ]
    assert [x.run_state for x in failed] == [errors.RunState.NOT_RUN], failed
    assert not find_orders(context.effects)


@when("the running request of the order sidecar ends")
def end_request(context):
    ended = events.UpstreamEnded(
        request_id="r1", attempt=1, end=events.UpstreamEnd.COMPLETE, status=OK
    )
    context.effects = context.reducer.step(now=2.0, event=ended)
    context.effects += context.reducer.step(now=2.1, event=events.Ticked())


@then('the order sidecar asks its engine to unload "{version}"')
def check_order(context, version):
    found = find_orders(context.effects)
    assert [(x.order, f"{x.model}@{x.version}", x.fence) for x in found] == [
        ("unload", version, 3)
    ], found


def find_orders(found):
    return [x for x in found if isinstance(x, fx.OrderUpstream)]


# The entry's part.

ENTRY_PERIOD_S = 0.5


def make_sidecar_row(name, kind, versions=()):
    return membership_messages.SidecarRow(
        name=name,
        incarnation=1,
        generation=1,
        address=name,
        data_centre="d",
        upstream=name,
        kind=kind,
        places=4,
        versions=versions,
    )


@given("an order entry that owns the duty with fence {fence:d}")
def make_entry(context, fence):
    reducer = entry.EntryReducer(
        identity=entry_control.EntryIdentity(
            name="e",
            incarnation=1,
            peer_address=OWNER,
            data_centre="d",
            region="r",
        ),
        settings=entry_control.ControlSettings(),
        call_ids=effects.CallIds(),
        rng=random.Random(1),
    )
    context.entry = reducer.state
    owner = context.entry.control.owner
    context.shard = ledger_records.shard_of(rollout_duty.DUTY_KEY, owner.shards)
    owner.owned[context.shard] = types.SimpleNamespace(
        fence=fence, is_closing=False, confirmed_at=0.0
    )
    rows = tuple(
        table.Row(organisation="tc-hall", model=model, version="v1")
        for model in ("booking", "kurz")
    )
    context.entry.rows = table.Table(revision=1, rows=rows)
    context.outage = False
    context.fresh = types.SimpleNamespace(problem=None)
    context.entry.control.is_outage = lambda now: context.outage
    context.entry.control.fleet.freshness.verdict = lambda now: context.fresh


@given("two order engines and a listed service that it has heard of")
def fill_directory(context):
    view = context.entry.control.fleet.membership
    kinds = membership_messages.HostKind
    for name, kind, versions in (
        ("a", kinds.ENGINE, ()),
        ("b", kinds.ENGINE, ()),
        ("s", kinds.SERVICE, ("booking@v1",)),
    ):
        view.directory.merge_sidecar(make_sidecar_row(name, kind, versions))
    listed = membership_messages.HostSeen(
        name="s",
        role=membership_messages.HostRole.UPSTREAM,
        data_centre="d",
        kind=kinds.SERVICE,
    )
    view.hosts.replace([listed], incarnations={}, now=0.0)


def break_entry(context, fault):
    state = context.entry
    directory = state.control.fleet.membership.directory
    owned = state.control.owner.owned
    match fault:
        case "the ownership is not confirmed":
            owned[context.shard].confirmed_at = -100.0
            context.confirms = False
        case "another entry owns the duty's shard":
            owned[context.shard + 1] = owned.pop(context.shard)
        case "the store is out for everyone":
            context.outage = True
        case "the table is not fresh":
            context.fresh = types.SimpleNamespace(
                problem=errors.Problem(
                    code=errors.ErrorCode.TABLE_NOT_CONFIRMED
                )
            )
        case "a graceful stop begins":
            state.stopping = True
        case "one engine leaves":
            directory.sidecars["a"] = msgspec.structs.replace(
                directory.sidecars["a"], leaving=True
            )
        case "the listed service is unheard of":
            del directory.sidecars["s"]
        case _:
            assert fault == "nothing happens", fault


@when("{fault} at the order entry")
def run_entry(context, fault):
    context.confirms = True
    break_entry(context, fault)
    context.sent = []
    owned = context.entry.control.owner.owned
    for step in range(int(10 / ENTRY_PERIOD_S)):
        now = step * ENTRY_PERIOD_S
        for each in owned.values():
            each.confirmed_at = now if context.confirms else each.confirmed_at
        context.sent += [
            (now, found.address, found.message)
            for found in entry_rollout.tick(context.entry, now=now)
            if isinstance(found, effects.Send)
        ]


ORDERED_AT = {
    "nothing": set(),
    "loads at both engines": {"a", "b"},
    "a load at the other one": {"b"},
}


@then("the order entry orders {orders} within 10 s")
def check_entry_orders(context, orders):
    found = {
        (address, message.action, message.model, message.fence)
        for _, address, message in context.sent
        if isinstance(message, order_messages.RolloutOrder)
    }
    wanted = {(name, "load", "kurz", 7) for name in ORDERED_AT[orders]}
    assert found == wanted, found


@then("every order of the order entry comes after its first {wait:d} s")
def check_first_wait(context, wait):
    assert all(now >= wait for now, _, _ in context.sent), context.sent
