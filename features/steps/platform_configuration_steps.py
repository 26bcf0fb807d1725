"""Steps for configurations that an entry reads from the platform's store."""

import asyncio
import contextlib
import gc
import time

from behave import given
from behave import then
from behave import when
import msgspec
from support import router_world

from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower

MS_PER_S = 1000.0


def build_route(number):
    return {
        "name": f"route-{number}",
        "host": f"club-{number % 40}.example",
        "path_prefix": f"/part{number}/",
        "kind": "stream",
        "service": "pool",
        "max_attempts": 3,
        "timeout_ms": 20_000,
        "target_latency_ms": 2_000,
        "gap_aim_ms": 1_500,
        "priority": 1,
        "sizes": ["small", "large"],
        "resumable": True,
    }


def build_tenants(keys):
    return [
        {"name": f"club-{n}", "api_keys": [f"key-{n}-{k}" for k in range(10)]}
        for n in range(keys // 10)
    ]


class ConfigurationStore:
    """Holds one configuration."""

    def __init__(self):
        self.revision = 0
        self.body = b""

    def put(self, routes, keys=10):
        self.revision += 1
        spec = {
            "version": self.revision,
            "routes": routes,
            "services": [{"name": "pool"}],
            "tenants": build_tenants(keys),
        }
        metadata = {"name": "main", "revision": self.revision}
        self.body = msgspec.json.encode({"metadata": metadata, "spec": spec})

    async def get(self, kind, name):
        return store_api.CallResult(
            outcome=store_api.CallOutcome.OK, body=self.body
        )


@contextlib.contextmanager
def set_aside_objects():
    """Keeps the collector from what earlier scenarios have left."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


async def measure_longest_s(work):
    """Returns the most that other tasks waited for, in seconds of a core."""
    longest = 0.0
    task = asyncio.ensure_future(work)
    while not task.done():
        begun = time.thread_time()
        await asyncio.sleep(0)
        longest = max(longest, time.thread_time() - begun)
    await task
    return longest


def read(context):
    """The entry reads what the store has."""
    follower = context.follower
    work = follower.read_configuration(context.world.now)
    with set_aside_objects():
        context.longest_s = asyncio.run(measure_longest_s(work))


@given("an entry that has read a configuration of {count:d} routes")
def read_first(context, count):
    context.world = router_world.World()
    context.objects = ConfigurationStore()
    context.follower = store_follower.StoreFollower(
        api=context.objects,
        apply=context.world.apply,
        clock=lambda: context.world.now,
        read_policy=context.world.router,
    )
    context.routes = [build_route(n) for n in range(count)]
    context.objects.put(context.routes)
    read(context)
    context.before = context.world.state.active_configuration
    assert len(context.before.routes) == count


@when("it reads one of {count:d} routes and {keys:d} keys")
def read_large(context, count, keys):
    context.objects.put([build_route(n) for n in range(count)], keys)
    context.count = count
    read(context)


@then(
    "it is in force, and the loop was never held for more than {most:g} ms of "
    "a core"
)
def check_longest(context, most):
    assert len(context.world.state.active_configuration.routes) == context.count
    assert 0.0 < context.longest_s * MS_PER_S <= most, context.longest_s


@when("it reads one in which {new:d} routes are new and {changed:d} is changed")
def read_changed(context, new, changed):
    count = len(context.routes)
    routes = [build_route(n) for n in range(count + new)]
    for route in routes[:changed]:
        route["max_attempts"] = 2
    context.wanted = [x["name"] for x in routes]
    context.objects.put(routes)
    read(context)


@then("{count:d} of its routes are those of the configuration before")
def check_taken_over(context, count):
    before = {id(x) for x in context.before.routes}
    routes = context.world.state.active_configuration.routes
    assert sum(id(x) in before for x in routes) == count


@then("its routes stand in the operators' order")
def check_order(context):
    names = [x.name for x in context.world.state.active_configuration.routes]
    assert names == context.wanted


@when("it reads one with an unreadable route")
def read_unreadable(context):
    routes = [*context.routes, build_route(900) | {"kind": "unheard-of"}]
    context.objects.put(routes)
    read(context)


@then("the configuration before stays in force")
def check_stays(context):
    assert context.world.state.active_configuration is context.before
