"""Stand-in of the platform's list of live and leaving hosts.

`GET /hosts` answers the list as it was a while ago; `PUT /hosts/{name}` adds
or changes a host and `DELETE /hosts/{name}` removes one. Each change keeps a
copy of the list with its time, and a read takes the newest copy that is old
enough. Each list has an `ETag`; a read that names it in `If-None-Match` is
answered 304.
"""

import dataclasses
import hashlib
import time

import aiohttp.web
import msgspec

from rhubarbbank_standins import settings
from rhubarbbank_standins import web


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsFaults:
    """Faults of the host list.

    Attributes:
        down: Every call is answered 503.
        lag_s: How far the list lags behind; None for the settings' value.
        untagged: Lists have no `ETag`, and `If-None-Match` is ignored.
    """

    down: bool = False
    lag_s: float | None = None
    untagged: bool = False


@dataclasses.dataclass(slots=True)
class Counts:
    """Calls by sort.

    Attributes:
        reads: Of the list, the ones answered 304 included.
        unchanged: Reads answered 304.
        body_bytes: Sent in answers to reads.
        changes: Hosts put or deleted.
        unavailable: Calls answered 503.
    """

    reads: int = 0
    unchanged: int = 0
    body_bytes: int = 0
    changes: int = 0
    unavailable: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The list as it stood from a time on.

    Attributes:
        since_s: When it began to stand, on the monotonic clock.
        hosts: The hosts by name.
        body: The answer to a read, with the hosts sorted by name.
        tag: The answer's `ETag`, the same for the same bytes.
    """

    since_s: float
    hosts: dict[str, settings.Host]
    body: bytes
    tag: str


def make_snapshot(since_s: float, hosts: dict[str, settings.Host]) -> Snapshot:
    """Returns a list with its answer and its tag."""
    listed = [hosts[name] for name in sorted(hosts)]
    body = msgspec.json.encode({"hosts": listed})
    digest = hashlib.blake2b(body, digest_size=8).hexdigest()
    return Snapshot(since_s, hosts, body, f'"{digest}"')


class Hosts:
    """The host list.

    Args:
        configured: Its settings.
    """

    def __init__(self, *, configured: settings.HostsSettings) -> None:
        self.configured = configured
        self.faults = HostsFaults()
        self.counts = Counts()
        first = {host.name: host for host in configured.hosts}
        self.snapshots = [make_snapshot(float("-inf"), first)]

    def make_application(self) -> aiohttp.web.Application:
        """Returns the application to serve."""
        application = web.make_application(standin=self)
        application.router.add_get("/hosts", self.list_hosts)
        application.router.add_put("/hosts/{name}", self.put_host)
        application.router.add_delete("/hosts/{name}", self.delete_host)
        return application

    def make_counts(self) -> object:
        """Returns the counts."""
        return self.counts

    def set_faults(self, body: bytes) -> None:
        """Replaces the faults."""
        self.faults = settings.decode_strictly(body, HostsFaults)

    async def list_hosts(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Answers the list as it was `lag_s` ago, sorted by name."""
        if self.faults.down:
            self.counts.unavailable += 1
            return web.make_error(503, "unavailable")
        self.counts.reads += 1
        lag_s = self.faults.lag_s
        if lag_s is None:
            lag_s = self.configured.lag_s
        seen = self.find_snapshot(time.monotonic() - lag_s)
        headers = {} if self.faults.untagged else {"ETag": seen.tag}
        asked = request.headers.get("If-None-Match")
        if headers and asked == seen.tag:
            self.counts.unchanged += 1
            return aiohttp.web.Response(status=304, headers=headers)
        self.counts.body_bytes += len(seen.body)
        return aiohttp.web.Response(
            body=seen.body, content_type="application/json", headers=headers
        )

    async def put_host(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Adds or changes a host; the path gives its name."""
        if self.faults.down:
            self.counts.unavailable += 1
            return web.make_error(503, "unavailable")
        name = request.match_info["name"]
        try:
            given = msgspec.json.decode(
                await request.read(), type=dict[str, msgspec.Raw]
            )
            given["name"] = msgspec.Raw(msgspec.json.encode(name))
            host = settings.decode_strictly(
                msgspec.json.encode(given), settings.Host
            )
        except (msgspec.DecodeError, settings.SettingsError) as error:
            return web.make_error(400, str(error))
        self.change({**self.snapshots[-1].hosts, name: host})
        return web.make_json(host)

    async def delete_host(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        """Removes a host, or answers 404."""
        if self.faults.down:
            self.counts.unavailable += 1
            return web.make_error(503, "unavailable")
        hosts = dict(self.snapshots[-1].hosts)
        if hosts.pop(request.match_info["name"], None) is None:
            return web.make_error(404, "no such host")
        self.change(hosts)
        return aiohttp.web.Response(status=204)

    def change(self, hosts: dict[str, settings.Host]) -> None:
        """Makes a new list stand from now on."""
        self.counts.changes += 1
        self.snapshots.append(make_snapshot(time.monotonic(), hosts))

    def find_snapshot(self, at_s: float) -> Snapshot:
        """Returns the list as it stood at a time."""
        # The first one stands since ever.
        return next(x for x in reversed(self.snapshots) if x.since_s <= at_s)
