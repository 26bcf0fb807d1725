"""A store that holds one configuration, without I/O."""

import msgspec

from rhubarbbank_platform import store_api


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
    """A store that holds one configuration."""

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

    async def list_page(self, kind, *, after):
        body = {"items": [], "store_revision": self.revision}
        return store_api.CallResult(
            outcome=store_api.CallOutcome.OK, body=msgspec.json.encode(body)
        )

    async def get(self, kind, name):
        return store_api.CallResult(
            outcome=store_api.CallOutcome.OK, body=self.body
        )
