"""HTTP client for the platform's list of live and leaving hosts.

The list is read each second and changes a few hundred times a day, so reads
are conditional: if the platform sends an `ETag`, it may answer a later read
with 304, and the read then returns the cached list. A platform without `ETag`
sends the full list each time.
"""

import dataclasses

import aiohttp
import msgspec

from rhubarbbank_core import wire
from rhubarbbank_runtime import progress_timeout

TIMEOUT = progress_timeout.build_timeout(silence_s=2.0, transfer_s=5.0)
NOT_MODIFIED = 304


class HostListing(msgspec.Struct, frozen=True):
    """The response to `GET /hosts`."""

    hosts: list[wire.ListedHost]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CachedListing:
    """The last full list with an `ETag`.

    Attributes:
        etag: The value of the `ETag` header.
        hosts: The listed hosts.
    """

    etag: str
    hosts: list[wire.ListedHost]


class HostListReader:
    """Reads a host list repeatedly, with conditional requests.

    Attributes:
        cached: The list for conditional requests; None if the last full
            response had no `ETag`.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url
        self.cached: CachedListing | None = None

    async def read(self) -> list[wire.ListedHost] | None:
        """Returns the listed hosts, or None if the list can't be read."""
        # Reads may overlap, and another one may replace the cached list before
        # this one ends. A 304 refers to the list whose `ETag` this read sent.
        cached = self.cached
        headers = {"If-None-Match": cached.etag} if cached is not None else {}
        try:
            async with self.session.get(
                f"{self.url}/hosts", headers=headers, timeout=TIMEOUT
            ) as response:
                if response.status == NOT_MODIFIED:
                    return cached.hosts if cached is not None else None
                response.raise_for_status()
                body = await response.read()
                etag = response.headers.get("ETag")
            hosts = msgspec.json.decode(body, type=HostListing).hosts
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
        self.cached = CachedListing(etag=etag, hosts=hosts) if etag else None
        return hosts


async def read_hosts(
    session: aiohttp.ClientSession, url: str
) -> list[wire.ListedHost] | None:
    """Reads a host list once; returns None if it can't be read."""
    return await HostListReader(session=session, url=url).read()
