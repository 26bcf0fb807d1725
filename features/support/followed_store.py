"""A store's stand-in, and a follower that reads it over HTTP."""

import asyncio
import contextlib

import aiohttp

from rhubarbbank_experiments import platform_fleet
from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower
from rhubarbbank_platform import wire
from rhubarbbank_router import events
from rhubarbbank_runtime import http_once
from rhubarbbank_standins import platform_store
from support import configuration_store
from support import router_world

POLL_S = 0.02
# A follower has begun its watch this long after it has read the list.
WATCH_BEGUN_S = 0.08


@contextlib.asynccontextmanager
async def follow(store, *, read_policy, apply, clock):
    """Serves the stand-in, and yields a follower of it."""
    async with contextlib.AsyncExitStack() as stack:
        runner, ports = await platform_store.serve(store, 1)
        stack.push_async_callback(runner.cleanup)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(middlewares=(http_once.send_once,))
        )
        address = f"{platform_store.LOCAL}:{ports[0]}"
        yield store_follower.StoreFollower(
            api=store_api.StoreApi(address=address, session=session),
            apply=apply,
            clock=clock,
            read_policy=read_policy,
        )


class PolledConfiguration:
    """An entry that reads the stand-in's configuration.

    Attributes:
        store: The stand-in.
        world: The router that the follower reports to.
        versions: The versions that the follower passed on.
        routes: The number of routes beside the usual ones.
        transfers: How often the store has sent the configuration.
    """

    def __init__(self):
        self.store = platform_store.PlatformStore()
        self.world = router_world.World()
        self.versions = []
        self.routes = 0
        self.transfers = 0
        self.get_object = self.store.get
        self.store.get = self.count_transfer

    async def count_transfer(self, request):
        self.transfers += 1
        return await self.get_object(request)

    async def run(self, changes):
        """Reads the configuration after each of some changes of the store."""
        async with follow(
            self.store,
            read_policy=self.world.router,
            apply=self.apply,
            clock=lambda: self.world.now,
        ) as follower:
            for change in changes:
                change()
                self.world.now += 1.0
                assert await follower.read_configuration(self.world.now)

    def apply(self, event):
        self.world.apply(event)
        if isinstance(event, events.ConfigurationRead):
            self.versions.append(event.found.version)

    def put(self, version):
        extra = tuple(
            configuration_store.build_route(n) for n in range(self.routes)
        )
        spec = platform_fleet.build_configuration(version, extra=extra)
        self.store.put(
            wire.CONFIGURATION_KIND, wire.CONFIGURATION_NAME, spec=spec
        )


class WatchedUpstreams:
    """An entry that watches the stand-in's upstreams.

    Attributes:
        store: The stand-in.
        world: The router that the follower reports to.
        port: The port at which it reaches the stand-in.
    """

    def __init__(self, count):
        self.store = platform_store.PlatformStore()
        self.world = router_world.World()
        for number in range(count):
            self.register(number)

    def register(self, number):
        spec = {
            "service": "pool",
            "addr": f"127.0.0.1:{9000 + number}",
            "state": "ready",
        }
        self.store.put(wire.UPSTREAM_KIND, f"up-{number}", spec=spec)

    @property
    def are_known(self):
        """Whether the entry knows exactly the store's upstreams."""
        tracked = self.world.state.view.tracked
        known = {name for name, x in tracked.items() if not x.lapsed}
        return known == self.store.kinds[wire.UPSTREAM_KIND].keys()

    def apply(self, event):
        self.world.now = asyncio.get_running_loop().time()
        self.world.apply(event)

    async def wait_until_known(self, timeout_s):
        async with asyncio.timeout(timeout_s):
            while not self.are_known:
                await asyncio.sleep(POLL_S)

    async def run(self, change, timeout_s):
        """Makes a change while the follower watches, and waits for it."""
        async with follow(
            self.store,
            read_policy=self.world.router,
            apply=self.apply,
            clock=asyncio.get_running_loop().time,
        ) as follower:
            self.port = int(follower.api.url.split(":")[2].split("/")[0])
            work = follower.follow_kind(store_follower.FOLLOWED_KINDS[0])
            task = asyncio.ensure_future(work)
            try:
                await self.wait_until_known(timeout_s)
                await asyncio.sleep(WATCH_BEGUN_S)
                await change()
                await self.wait_until_known(timeout_s)
            finally:
                task.cancel()
