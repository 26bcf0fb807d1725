"""Steps for reading configurations from the platform's store."""

import asyncio

from behave import given
from behave import then
from behave import when
from support import configuration_store
from support import followed_store
from support import loop_blocks
from support import router_world

from rhubarbbank_platform import store_follower
from rhubarbbank_platform import wire
from rhubarbbank_standins import platform_store

MS_PER_S = 1000.0


def read_configuration(context):
    """Lets the entry read the configuration that the store holds."""
    follower = context.follower
    work = follower.read_configuration(context.world.now)
    with loop_blocks.freeze_old_objects():
        context.longest_s = asyncio.run(
            loop_blocks.measure_longest_block_s(work)
        )


@given("an entry that has read a configuration of {count:d} routes")
def read_first(context, count):
    context.world = router_world.World()
    context.objects = configuration_store.ConfigurationStore()
    context.follower = store_follower.StoreFollower(
        api=context.objects,
        apply=context.world.apply,
        clock=lambda: context.world.now,
        read_policy=context.world.router,
    )
    context.routes = [configuration_store.build_route(n) for n in range(count)]
    context.objects.put(context.routes)
    read_configuration(context)
    context.previous = context.world.state.active_configuration
    assert len(context.previous.routes) == count


@when("it reads a configuration of {count:d} routes and {keys:d} keys")
def read_large(context, count, keys):
    context.objects.put(
        [configuration_store.build_route(n) for n in range(count)], keys
    )
    context.count = count
    read_configuration(context)


@then(
    "it is active, and the event loop was never blocked for more than "
    "{most:g} ms of CPU time"
)
def check_longest(context, most):
    assert len(context.world.state.active_configuration.routes) == context.count
    assert 0.0 < context.longest_s * MS_PER_S <= most, context.longest_s


@when(
    "it reads a configuration with {new:d} new routes and {changed:d} "
    "changed one"
)
def read_changed(context, new, changed):
    count = len(context.routes)
    routes = [configuration_store.build_route(n) for n in range(count + new)]
    for route in routes[:changed]:
        route["max_attempts"] = 2
    context.expected_names = [x["name"] for x in routes]
    context.objects.put(routes)
    read_configuration(context)


@then("{count:d} of its routes are reused from the previous configuration")
def check_reused(context, count):
    previous = {id(x) for x in context.previous.routes}
    routes = context.world.state.active_configuration.routes
    assert sum(id(x) in previous for x in routes) == count


@then("its routes are in the operators' order")
def check_order(context):
    names = [x.name for x in context.world.state.active_configuration.routes]
    assert names == context.expected_names


@when("it reads a configuration with an invalid route")
def read_invalid(context):
    routes = [
        *context.routes,
        configuration_store.build_route(900) | {"kind": "unheard-of"},
    ]
    context.objects.put(routes)
    read_configuration(context)


@then("the previous configuration stays active")
def check_unchanged(context):
    assert context.world.state.active_configuration is context.previous


@given("the store's stand-in holds a configuration of {count:d} more routes")
def hold_configuration(context, count):
    context.followed = followed_store.PolledConfiguration()
    context.followed.routes = count
    context.changes = [lambda: context.followed.put(1)]


@when("an entry polls it {count:d} times")
def poll(context, count):
    context.changes += [do_nothing] * (count - 1)


def do_nothing():
    """Leaves the store as it is."""


@when("{change}, and version {version:d} is written")
def change_and_write(context, change, version):
    assert change == "an upstream registers"

    def write():
        register()
        context.followed.put(version)

    register = build_registration(context)
    context.changes.append(write)


@when("version {version:d} is written")
def write_version(context, version):
    context.changes.append(lambda: context.followed.put(version))


def build_registration(context):
    return lambda: context.followed.store.put(
        wire.UPSTREAM_KIND, "up-1", spec={}
    )


@when("an upstream registers")
def register(context):
    context.changes.append(build_registration(context))


@when("a copy is restored, and version 2 has its old revision")
def restore(context):
    store = context.followed.store
    register = build_registration(context)
    backups = []

    def register_after_backup():
        backups.append(store.take_backup())
        register()

    def restore_and_write():
        lost = store.revision
        store.restore(backups.pop())
        context.followed.put(2)
        assert store.revision == lost

    context.changes += [register_after_backup, restore_and_write]


@then("it was transferred {count:d} times, and each poll confirmed it")
def check_transfers(context, count):
    followed = context.followed
    asyncio.run(followed.run(context.changes))
    assert followed.transfers == count, followed.transfers
    assert followed.versions == [1] * len(context.changes)
    assert followed.world.state.proof.read_sent_at == followed.world.now


@then("the next poll shows version {version:d}")
def check_version(context, version):
    asyncio.run(context.followed.run(context.changes))
    assert context.followed.versions[-1] == version


@then("a poll of a store that answers 503 confirms nothing")
def check_failed_poll(context):
    followed = context.followed
    store = followed.store

    async def poll_and_fail():
        async with followed_store.follow(
            store,
            read_policy=followed.world.router,
            apply=followed.apply,
            clock=lambda: followed.world.now,
        ) as follower:
            for change in context.changes:
                change()
                followed.world.now += 1.0
                assert await follower.read_configuration(followed.world.now)
            proof = followed.world.state.proof.read_sent_at
            (port,) = store.calls
            store.faults[port] = platform_store.Fault.BUSY
            followed.world.now += 1.0
            assert not await follower.read_configuration(followed.world.now)
            assert followed.world.state.proof.read_sent_at == proof

    asyncio.run(poll_and_fail())
