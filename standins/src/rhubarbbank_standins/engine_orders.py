"""The orders that a model engine takes: load, unload, change role.

An order carries a fencing number. With `check_fence` an order whose number
is lower than the highest seen is refused with 409; without, it is obeyed and
counted as stale, which is how a test sees a missing check elsewhere. Loading
asks the weight store first, if there is one, and goes on when the caller
leaves.
"""

import asyncio
import collections
import dataclasses

import aiohttp
import aiohttp.web
import msgspec

from rhubarbbank_standins import settings
from rhubarbbank_standins import web

DEFAULT_RETRY_AFTER_S = "1"
HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order.

    Attributes:
        order: "load", "unload" or "role".
        model: The model, for load and unload.
        version: Its version, for load and unload.
        role: The new role, for role.
        fence: The fencing number of whoever gives the order.
    """

    order: str
    model: str = ""
    version: str = ""
    role: str = ""
    fence: int = 0


class Orders:
    """What is loaded, in which role, and under which fence.

    Args:
        configured: The engine's settings.
    """

    def __init__(self, *, configured: settings.EngineSettings) -> None:
        self.configured = configured
        self.loaded = set(configured.versions)
        self.role = configured.role
        self.last_fence = 0
        self.loads: dict[str, asyncio.Task[tuple[int, dict[str, str]]]] = {}
        self.orders_by_fence: collections.Counter[int] = collections.Counter()
        self.orders_by_kind: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.stale_obeyed = 0

    def make_counts(self) -> dict[str, object]:
        """Returns the counts of orders."""
        return {
            "orders_by_fence": self.orders_by_fence,
            "orders_by_kind": self.orders_by_kind,
            "orders_refused": self.refused,
            "stale_orders_obeyed": self.stale_obeyed,
        }

    def describe(self) -> dict[str, object]:
        """Returns what is loaded, the role and the last fence."""
        return {
            "name": self.configured.name,
            "loaded": sorted(self.loaded),
            "loading": sorted(self.loads),
            "role": self.role,
            "last_fence": self.last_fence,
        }

    def reset(self) -> None:
        """Goes back to the start and ends loads under way."""
        for load in self.loads.values():
            load.cancel()
        self.loads.clear()
        self.loaded = set(self.configured.versions)
        self.role = self.configured.role
        self.last_fence = 0

    async def handle(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Carries one order out, or refuses it."""
        try:
            order = msgspec.json.decode(await request.read(), type=Order)
        except msgspec.DecodeError as error:
            return web.make_error(400, str(error))
        self.orders_by_fence[order.fence] += 1
        self.orders_by_kind[order.order] += 1
        if order.fence < self.last_fence:
            if self.configured.check_fence:
                self.refused += 1
                return web.make_error(409, f"fence below {self.last_fence}")
            self.stale_obeyed += 1
        self.last_fence = max(self.last_fence, order.fence)
        return await self.carry_out(order)

    async def carry_out(self, order: Order) -> aiohttp.web.Response:
        """Carries out an order whose fence was good."""
        name = f"{order.model}@{order.version}"
        if order.order == "load":
            return await self.load(order, name)
        if order.order == "unload":
            self.loaded.discard(name)
            return web.make_json({})
        if order.order == "role":
            self.role = order.role
            return web.make_json({})
        return web.make_error(400, f"unknown order {order.order!r}")

    async def load(self, order: Order, name: str) -> aiohttp.web.Response:
        """Loads a version; orders for the same version share one load."""
        if name in self.loaded:
            return web.make_json({})
        if name not in self.loads:
            task = asyncio.create_task(self.fetch_and_load(order, name))
            self.loads[name] = task
            task.add_done_callback(lambda _: self.loads.pop(name, None))
        status, headers = await asyncio.shield(self.loads[name])
        if status != HTTP_OK:
            return web.make_error(status, "weights", headers=headers)
        return web.make_json({})

    async def fetch_and_load(
        self, order: Order, name: str
    ) -> tuple[int, dict[str, str]]:
        """Fetches the weights and takes the loading time.

        Returns:
            The status and headers to answer with.
        """
        retry_after_s = await self.fetch_weights(order)
        if retry_after_s:
            return 503, {"Retry-After": retry_after_s}
        await asyncio.sleep(self.configured.load_seconds)
        self.loaded.add(name)
        return HTTP_OK, {}

    async def fetch_weights(self, order: Order) -> str:
        """Asks the weight store.

        Returns:
            When to come back, as a Retry-After value; empty on success.
        """
        if not self.configured.weights_url:
            return ""
        asked = {"model": order.model, "version": order.version}
        url = f"{self.configured.weights_url}/fetch"
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, json=asked) as response,
            ):
                if response.status == HTTP_OK:
                    return ""
                return response.headers.get(
                    "Retry-After", DEFAULT_RETRY_AFTER_S
                )
        except aiohttp.ClientError:
            return DEFAULT_RETRY_AFTER_S
