"""An in-memory store in which upstreams register one after another."""

import asyncio

import msgspec

from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower
from rhubarbbank_router import events
from rhubarbbank_router import store_position


class GrowingStore:
    """Replaces `StoreApi` and records what the follower reports.

    Attributes:
        count: The number of upstreams that register.
        period_s: The time over which they register, in seconds.
        relays_enabled: Whether the bounds let entries read for one another.
        registered: The number of upstreams registered so far.
        watches: The number of watches answered.
        known_ids: The IDs of the upstreams that the follower has reported.
    """

    list_position = store_position.START
    store_era = 0

    def __init__(self, *, count, period_s, relays_enabled):
        self.count = count
        self.period_s = period_s
        self.relays_enabled = relays_enabled
        self.registered = 0
        self.watches = 0
        self.known_ids = set()

    def should_read(self, subject):
        return True

    async def follow(self, extra_s):
        """Runs a follower while they register, and `extra_s` longer."""
        follower = store_follower.StoreFollower(
            api=self, apply=self.apply, clock=self.clock, read_policy=self
        )
        kind = store_follower.FOLLOWED_KINDS[0]
        task = asyncio.ensure_future(follower.follow_kind(kind))
        for _ in range(self.count):
            self.registered += 1
            await asyncio.sleep(self.period_s / self.count)
        await asyncio.sleep(extra_s)
        task.cancel()

    def clock(self):
        return asyncio.get_running_loop().time()

    def apply(self, event):
        if isinstance(event, events.UpstreamsListed):
            self.known_ids.update(x.upstream_id for x in event.listed)
        if isinstance(event, events.UpstreamChanged):
            self.known_ids.add(event.listed.upstream_id)

    # The methods of `store_api.StoreApi` that the follower calls.

    async def list_page(self, kind, *, after):
        items = [build_object(x) for x in range(1, self.registered + 1)]
        body = {"items": items, "store_revision": self.registered}
        return build_result(body)

    async def watch(self, kind, *, revision, wait_s, allow_stale=False):
        deadline = self.clock() + wait_s
        while self.registered <= revision and self.clock() < deadline:
            await asyncio.sleep(0.005)
        self.watches += 1
        changes = [
            {"object": build_object(x)}
            for x in range(revision + 1, self.registered + 1)
        ]
        return build_result(
            {"events": changes, "store_revision": self.registered}
        )


def build_result(body):
    return store_api.CallResult(
        outcome=store_api.CallOutcome.OK, body=msgspec.json.encode(body)
    )


def build_object(revision):
    name = f"up-{revision}"
    return {
        "metadata": {"name": name, "revision": revision},
        "spec": {
            "service": "pool",
            "addr": f"127.0.0.1:{9000 + revision}",
            "state": "ready",
        },
    }
