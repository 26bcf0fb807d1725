"""Steps for responses that arrive slowly."""

import asyncio

import aiohttp
from behave import given
from behave import then
from behave import when
import msgspec
from support import configuration_store
from support import router_world
from support import slow_link

from rhubarbbank_core import store
from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower
from rhubarbbank_runtime import hosts_http
from rhubarbbank_runtime import http_once
from rhubarbbank_runtime import store_http

MIN_BODY_BYTES = 1_000
LISTED = {
    "metadata": {"name": "up-1", "revision": 3},
    "spec": {"service": "pool", "addr": "127.0.0.1:9001", "state": "ready"},
}


def build_follower(world, api):
    return store_follower.StoreFollower(
        api=api,
        apply=world.apply,
        clock=lambda: world.now,
        read_policy=world.router,
    )


def open_session():
    return aiohttp.ClientSession(middlewares=(http_once.send_once,))


async def read_configuration(world, link):
    async with link.serve(), open_session() as session:
        api = store_api.StoreApi(address=link.address, session=session)
        started_at = asyncio.get_running_loop().time()
        await build_follower(world, api).read_configuration(world.now)
        return asyncio.get_running_loop().time() - started_at


@given("a store that holds a configuration of {count:d} routes")
def put_configuration(context, count):
    objects = configuration_store.ConfigurationStore()
    objects.put([configuration_store.build_route(n) for n in range(count)])
    context.body = objects.body
    context.world = router_world.World()


@when("its response takes {duration:g} s to arrive")
def read_slowly(context, duration):
    context.link = slow_link.SlowLink(body=context.body, duration_s=duration)
    context.elapsed_s = asyncio.run(
        read_configuration(context.world, context.link)
    )


@when(
    "its response takes {duration:g} s and falls silent after {count:d} parts"
)
def read_cut_off(context, duration, count):
    context.link = slow_link.SlowLink(
        body=context.body, duration_s=duration, stops_after=count
    )
    context.elapsed_s = asyncio.run(
        read_configuration(context.world, context.link)
    )


@then("one read has made the configuration of {count:d} routes active")
def check_active(context, count):
    assert context.link.requests == 1, context.link.requests
    active = context.world.state.active_configuration
    assert active is not None and len(active.routes) == count


@then("no configuration is active, and the read ended within {most:g} s")
def check_given_up(context, most):
    assert context.world.state.active_configuration is None
    assert context.elapsed_s <= most, context.elapsed_s


@then("the log has the number of bytes that had arrived")
def check_logged_bytes(context):
    details = [
        dict(each.inputs)["detail"]
        for each in context.world.effects
        if getattr(each, "decision", "") == "store_lost"
    ]
    assert any(" after " in x and x.endswith(" bytes") for x in details), (
        details
    )


async def list_kind(address, session):
    api = store_api.StoreApi(address=address, session=session)
    result = await api.list_page("servers", after="")
    return result.outcome is store_api.CallOutcome.OK


async def watch_kind(address, session):
    api = store_api.StoreApi(address=address, session=session)
    result = await api.watch("servers", revision=1, wait_s=0.001)
    return result.outcome is store_api.CallOutcome.OK


async def list_objects(address, session):
    api = store_http.StoreHttp(
        url=f"http://{address}", session=session, client="test"
    )
    call = store.StoreCall(
        call_id=1, operation=store.StoreOperation.LIST, key="", timeout_s=0.5
    )
    return (await api.call(call)).outcome is store.StoreOutcome.OK


async def list_hosts(address, session):
    found = await hosts_http.read_hosts(session, f"http://{address}")
    return found is not None


CALLS = {
    "list of upstreams": (
        list_kind,
        {"items": [LISTED], "store_revision": 3},
    ),
    "watch of upstreams": (
        watch_kind,
        {"events": [{"object": LISTED}], "store_revision": 3},
    ),
    "list of objects": (list_objects, {"revision": 3, "objects": []}),
    "list of hosts": (list_hosts, {"hosts": []}),
}


async def call_slowly(call, link):
    async with link.serve(), open_session() as session:
        return await call(link.address, session)


@then("a {name} that takes {duration:g} s to arrive is read")
def check_slow_call(context, name, duration):
    call, content = CALLS[name]
    # Each part has bytes of its own.
    body = msgspec.json.encode(content).ljust(MIN_BODY_BYTES)
    link = slow_link.SlowLink(body=body, duration_s=duration)
    assert asyncio.run(call_slowly(call, link))
