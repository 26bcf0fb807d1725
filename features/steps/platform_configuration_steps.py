"""Steps for reading configurations from the platform's store."""

import asyncio

from behave import given
from behave import then
from behave import when
from support import configuration_store
from support import loop_blocks
from support import router_world

from rhubarbbank_platform import store_follower

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
