"""Steps for restores of the platform's store from an older copy."""

import asyncio
import contextlib
import dataclasses
import http
import random

import aiohttp
from behave import given
from behave import then
from behave import when
from support import relay_fleet
from support import router_world

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_experiments import platform_fleet
from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower
from rhubarbbank_platform import wire
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import peers
from rhubarbbank_router import store_position
from rhubarbbank_router import version_trial
from rhubarbbank_standins import platform_store

LOSS_RATE = 0.03
HISTORY_DURATION_S = 60.0
ENTRIES = 6
READ_PERIOD_S = 0.2
POLL_S = 0.02


def read_version(context, version, revision, era):
    """Lets the router read a configuration that the store holds."""
    world = context.world
    world.apply(events.StoreEraRead(era))
    world.configure(
        router_world.build_configuration(revision, version=version, era=era)
    )
    context.active_versions.append(world.state.active_configuration.version)


@given(
    "a router that knows version {version:d}, at revision {revision:d} of era "
    "{era:d}"
)
def start_router(context, version, revision, era):
    context.world = router_world.World()
    context.active_versions = []
    context.world.apply(events.StoreEraRead(era))
    context.world.start()
    context.world.state.active_configuration = None
    read_version(context, version, revision, era)


@when("version {version:d}, at revision {revision:d} of era {era:d}, is read")
def read_once(context, version, revision, era):
    context.world.run(READ_PERIOD_S)
    read_version(context, version, revision, era)


@when(
    "version {version:d}, at revision {revision:d} of era {era:d}, is read for "
    "{duration:g} s"
)
def read_repeatedly(context, version, revision, era, duration):
    end = context.world.now + duration
    while context.world.now < end:
        read_version(context, version, revision, era)
        context.world.run(READ_PERIOD_S / 2)


@when("the store is away for {duration:g} s, and comes back in era {era:d}")
def restore_store(context, duration, era):
    world = context.world
    for subject in events.Subject:
        world.apply(events.StoreFailed(subject, "test"))
    world.run(duration)
    world.apply(events.StoreEraRead(era))
    for subject in events.Subject:
        world.apply(events.StoreAnswered(subject))


@then("version {version:d} is active")
def check_active(context, version):
    assert context.active_versions[-1] == version, context.active_versions


@then("version {version:d} has never been active since")
def check_never_active(context, version):
    assert version not in context.active_versions, context.active_versions


def compute_proof_age_s(context):
    return context.world.state.proof.age(now=context.world.now)


@then("the proof of freshness is at least {least:g} s old")
def check_old_proof(context, least):
    assert compute_proof_age_s(context) >= least, compute_proof_age_s(context)


@then("the proof of freshness is at most {most:g} s old")
def check_new_proof(context, most):
    assert compute_proof_age_s(context) <= most, compute_proof_age_s(context)


@when(
    "a peer that has known version {version:d} for {age:g} s sends a heartbeat"
)
def send_heartbeat(context, version, age):
    peer = start_peer(context, age)
    peer.configure(router_world.build_configuration(90, version=version, era=1))
    deliver_heartbeat(context, peer)


@when("a peer that noticed era {era:d} {age:g} s ago sends a heartbeat")
def send_restore(context, era, age):
    peer = start_peer(context, age)
    peer.apply(events.StoreEraRead(era - 1))
    peer.apply(events.StoreEraRead(era))
    deliver_heartbeat(context, peer)


def start_peer(context, age):
    """Starts another entry, some seconds ago."""
    peer = router_world.World(name="entry-1")
    peer.start()
    context.world.run(READ_PERIOD_S)
    peer.now = context.world.now - age
    return peer


def deliver_heartbeat(context, peer):
    """Delivers the peer's heartbeat to the router."""
    address = context.world.state.settings.peer_address
    listed = peers.PeerAddress(name="entry-0", address=address)
    peer.apply(events.EntriesListed((listed,)))
    peer.effects.clear()
    peer.now = context.world.now
    peer.state.next_heartbeat_at = 0.0
    peer.apply(core_events.Ticked())
    heartbeats = [
        effect.message
        for effect in peer.effects
        if isinstance(effect, core_effects.Send)
        and isinstance(effect.message, messages.Heartbeat)
    ]
    assert heartbeats
    context.world.apply(core_events.MessageReceived(heartbeats[-1]))


class FollowedStore:
    """A store's stand-in, and a follower that reads its configuration.

    Attributes:
        store: The stand-in.
        world: The router that the follower reports to.
        versions: The versions that the follower passed on.
    """

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.world = router_world.World()
        self.versions = []

    async def run(self, changes):
        """Reads the configuration after each of some changes of the store."""
        async with contextlib.AsyncExitStack() as stack:
            runner, ports = await platform_store.serve(self.store, 1)
            stack.push_async_callback(runner.cleanup)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            follower = store_follower.StoreFollower(
                api=store_api.StoreApi(
                    address=f"{platform_store.LOCAL}:{ports[0]}",
                    session=session,
                ),
                apply=self.apply,
                clock=lambda: self.world.now,
                read_policy=self.world.router,
            )
            for change in changes:
                change()
                self.world.now += 1.0
                assert await follower.read_configuration(self.world.now)

    def apply(self, event):
        self.world.apply(event)
        if isinstance(event, events.ConfigurationRead):
            self.versions.append(event.found.version)

    def put(self, version):
        self.store.put(
            "config",
            "main",
            spec=platform_fleet.build_configuration(version),
        )


@given("an entry that follows a store with version 4 at revision 2")
def prepare_follower(context):
    context.followed = FollowedStore()
    context.changes = [lambda: context.followed.put(4)]


@when("the store is restored from a copy with version 3")
def restore_followed(context):
    def restore():
        store = context.followed.store
        spec = platform_fleet.build_configuration(3)
        stored = platform_store.StoredObject("main", 1, 1, spec)
        store.restore(
            platform_store.Backup({"config": {"main": stored}}, revision=1)
        )

    context.changes.append(restore)


@when("the operators write version {version:d}")
def write_version(context, version):
    # The first change after the restore gets the revision of the lost one.
    context.changes[-1] = combine(
        context.changes[-1], lambda: context.followed.put(version)
    )


def combine(first, second):
    def carry_out():
        first()
        second()

    return carry_out


@then("the follower passes on version {version:d}")
def check_passed_on(context, version):
    followed = context.followed
    asyncio.run(followed.run(context.changes))
    assert followed.versions == [4, version], followed.versions
    active = followed.world.state.active_configuration
    assert active.version == version, active.version
    assert active.era == followed.store.era, active.era


@then(
    "in {count:d} histories with restores all data stays within its age limits"
)
def check_histories(context, count):
    for seed in range(count):
        fleet = relay_fleet.RelayFleet(
            rng=random.Random(seed),
            entries=ENTRIES,
            loss_rate=LOSS_RATE,
            restores=True,
        )
        fleet.run(HISTORY_DURATION_S)
        assert not fleet.violations, (seed, fleet.violations[:5])


@when(
    "the configuration is written {count:d} times and the store goes back by "
    "{lost:d}"
)
def lose_versions(context, count, lost):
    fleet = context.platform
    backups = []
    for version in range(2, 2 + count):
        fleet.configure(version)
        backups.append(fleet.call(fleet.store.take_backup))
    context.last_version = 1 + count
    fleet.wait_until(
        lambda: all(
            context.last_version in list_adopted_versions(entry)
            for entry in fleet.entries
        ),
        "the last version is active",
    )
    fleet.call(lambda: fleet.store.restore(backups[-1 - lost]))


def list_adopted_versions(entry):
    """Returns the versions that an entry has activated, oldest first."""
    return [
        int(line["reason"].removeprefix("version "))
        for line in entry.read_log()
        if line.get("decision") == "configuration_adopted"
    ]


@when("the operators write the lost version and add a route")
def write_lost_version(context):
    added = platform_fleet.build_route(
        "added", "idempotent", platform_fleet.BOOKINGS
    )
    context.platform.configure(context.last_version)
    context.platform.configure(context.last_version + 1, extra=(added,))


@then("each entry serves the new route within {bound:g} s")
def check_new_route(context, bound):
    fleet = context.platform
    fleet.wait_until(
        lambda: all(
            fleet.ask("/added/x", entry=entry.number).status
            == http.HTTPStatus.OK
            for entry in fleet.entries
        ),
        "the new route",
        wait_s=bound,
    )


@then("no entry has activated an older version")
def check_versions(context):
    for entry in context.platform.entries:
        versions = list_adopted_versions(entry)
        assert versions == sorted(versions), versions


class WatchedStore:
    """A store's stand-in, and an entry that follows its upstreams."""

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.world = router_world.World()
        for number in range(3):
            self.register(number)

    def register(self, number):
        spec = {
            "service": "pool",
            "addr": f"127.0.0.1:{9000 + number}",
            "state": "ready",
        }
        self.store.put(wire.UPSTREAM_KIND, f"up-{number}", spec=spec)

    @property
    def is_known(self):
        """Whether the entry knows exactly the store's upstreams."""
        tracked = self.world.state.view.tracked
        known = {name for name, x in tracked.items() if not x.lapsed}
        return known == self.store.kinds[wire.UPSTREAM_KIND].keys()

    async def wait_until_known(self, timeout_s):
        async with asyncio.timeout(timeout_s):
            while not self.is_known:
                await asyncio.sleep(POLL_S)

    async def run(self, change, timeout_s):
        """Applies a change while the follower watches, and waits for it."""
        async with contextlib.AsyncExitStack() as stack:
            runner, ports = await platform_store.serve(self.store, 1)
            stack.push_async_callback(runner.cleanup)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            follower = store_follower.StoreFollower(
                api=store_api.StoreApi(
                    address=f"{platform_store.LOCAL}:{ports[0]}",
                    session=session,
                ),
                apply=self.world.apply,
                clock=asyncio.get_running_loop().time,
                read_policy=self.world.router,
            )
            work = follower.follow_kind(store_follower.FOLLOWED_KINDS[0])
            task = asyncio.ensure_future(work)
            stack.callback(task.cancel)
            await self.wait_until_known(timeout_s)
            # The watch begins.
            await asyncio.sleep(POLL_S * 4)
            change()
            await self.wait_until_known(timeout_s)


@given("an entry that watches a store with 3 upstreams")
def prepare_watch(context):
    context.watched = WatchedStore()


@when("the store is restored from a copy without upstream 2")
def restore_without_upstream(context):
    store = context.watched.store
    backup = store.take_backup()
    del backup.kinds[wire.UPSTREAM_KIND]["up-2"]
    context.backup = dataclasses.replace(backup, revision=store.revision - 1)


@when("upstreams 3, 4 and 5 register")
def register_upstreams(context):
    def change():
        context.watched.store.restore(context.backup)
        for number in (3, 4, 5):
            context.watched.register(number)

    context.change = change


@then("the entry knows the store's upstreams within {bound:g} s")
def check_upstreams(context, bound):
    asyncio.run(context.watched.run(context.change, bound))


def list_upstreams(context, first, last, era):
    listed = tuple(
        router_world.build_upstream(number) for number in range(first, last + 1)
    )
    context.world.apply(events.StoreEraRead(era))
    context.world.apply(
        events.UpstreamsListed(
            listed,
            position=store_position.StorePosition(era, 100 // era),
            asked_at=context.world.now,
        )
    )


@given(
    "a router that has listed upstreams {first:d} to {last:d} in era {era:d}"
)
def start_with_list(context, first, last, era):
    context.world = router_world.World()
    context.world.apply(events.RolloutsListed(()))
    list_upstreams(context, first, last, era)
    context.world.configure()


@when("the list of era {era:d} has upstreams {first:d} to {last:d}")
def list_again(context, era, first, last):
    list_upstreams(context, first, last, era)


@when("the list of era {era:d} is still complete")
def confirm_list(context, era):
    context.world.apply(
        events.UpstreamsConfirmed(
            position=store_position.StorePosition(era, 100 // era),
            current_at=context.world.now,
        )
    )


@when("upstream {number:d} is registered")
def register_upstream(context, number):
    register_with_slots(context, number, 64)


@when("upstream {number:d} is registered with {slots:d} slots")
def register_with_slots(context, number, slots):
    listed = router_world.build_upstream(number, slots=slots)
    context.world.apply(events.UpstreamChanged(listed))


def list_accepting(context):
    accepting = context.world.state.view.list_accepting(
        "pool", now=context.world.now
    )
    return {each.listed.upstream_id for each in accepting}


@then("upstream {number:d} accepts requests")
def check_accepting(context, number):
    assert f"up-{number}" in list_accepting(context)


@then("upstream {number:d} accepts no requests")
def check_not_accepting(context, number):
    assert f"up-{number}" not in list_accepting(context)


@then("upstream {number:d} is unknown")
def check_unknown(context, number):
    assert f"up-{number}" not in context.world.state.view.tracked


def build_order(revision, era, state="running", **changes):
    fields = {
        "revision": revision,
        "created_revision": revision,
        "era": era,
        "state": version_trial.OrderState(state),
    }
    return router_world.build_order(**fields | changes)


def list_orders(context, era, *orders):
    context.world.apply(events.StoreEraRead(era))
    context.world.apply(events.RolloutsListed(orders))


@given("a router with a roll-out whose order has revision 90 of era 1")
def start_trial(context):
    context.world = router_world.World()
    context.world.start()
    list_orders(context, 1, build_order(90, 1))
    for number in (10, 11):
        listed = router_world.build_upstream(number, "v2")
        context.world.apply(events.UpstreamChanged(listed))
    context.world.run(READ_PERIOD_S)


@given("a router with a rejected target whose order has revision 90 of era 1")
def start_rejected(context):
    start_trial(context)
    reject_target(context)
    context.world.effects.clear()


@when("the target is rejected")
def reject_target(context):
    context.world.state.trials["pool"].held = True


@given("a router with a completed roll-out at revision 90 of era 1")
def start_completed(context):
    start_trial(context)
    order = build_order(91, 1, "completed", created_revision=90)
    context.world.apply(events.RolloutChanged(order))
    context.world.effects.clear()


@when(
    "the list of era 2 has the order at revision {revision:d}, as "
    '"{order_state}"'
)
def list_order(context, revision, order_state):
    created = {"created_revision": 40}
    list_orders(context, 2, build_order(revision, 2, order_state, **created))


@when("the list of era 2 has no order")
def list_no_order(context):
    list_orders(context, 2)


@when('the list of era 2 has an earlier order for version "{version}"')
def list_earlier_order(context, version):
    list_orders(context, 2, build_order(40, 2, "completed", target=version))


@when(
    "the order is written at revision {revision:d} of era {era:d}, as "
    '"{order_state}"'
)
def write_order(context, revision, era, order_state):
    order = build_order(revision, era, order_state)
    context.world.apply(events.RolloutChanged(order))


@when("the store names era {era:d}")
def name_era(context, era):
    context.world.apply(events.StoreEraRead(era))


def list_recorded(context):
    return [
        (effect.state.value, effect.order.revision)
        for effect in context.world.effects
        if isinstance(effect, effects.RecordRollout)
    ]


@then('the outcome "{outcome}" is recorded at revision {revision:d}')
def check_recorded(context, outcome, revision):
    assert (outcome, revision) in list_recorded(context), list_recorded(context)


@then("no outcome is recorded")
def check_none_recorded(context):
    assert not list_recorded(context), list_recorded(context)


@then("the target is rejected")
def check_rejected(context):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == "v2", trial.order
    assert trial.held


@then("the target is on trial")
def check_on_trial(context):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == "v2", trial.order
    assert not trial.held


@then("all requests go to the target")
def check_all_to_target(context):
    assert context.world.state.trials["pool"].share == 1.0


@when("the store is restored from a copy without the entries")
def lose_registrations(context):
    fleet = context.platform

    def restore():
        backup = fleet.store.take_backup()
        del backup.kinds[wire.ENTRY_KIND]
        fleet.store.restore(backup)

    fleet.call(restore)


@then("both entries are registered within {bound:g} s")
def check_registered(context, bound):
    fleet = context.platform
    names = {entry.name for entry in fleet.entries}
    fleet.wait_until(
        lambda: fleet.store.kinds.get(wire.ENTRY_KIND, {}).keys() == names,
        "the registrations",
        wait_s=bound,
    )


@when("a reader that knows no era sends an update")
def send_update(context):
    context.world.apply(
        core_events.MessageReceived(
            messages.StoreUpdate(
                name="entry-1",
                asked_at=context.world.now,
                revision=1,
                proof_age_s=0.0,
                position=1,
                list_age_s=0.0,
            )
        )
    )


@then("no restore of the store is noticed")
def check_no_restore(context):
    assert context.world.state.restored_at is None
