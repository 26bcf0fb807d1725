"""Checks whether a table revision is in force on every live process.

`table_commands` polls this check while an operator waits for an edit. The
platform's host list names the live entries; each entry's status reports its
own revision and those of the sidecars that it receives heartbeats from.
"""

import asyncio

import aiohttp
import msgspec

STATUS_TIMEOUT_S = 2.0
ENTRY_ROLE = "entry"


class HostRecord(msgspec.Struct, frozen=True):
    """The fields of a host list entry that this check needs."""

    name: str
    role: str
    http_address: str = ""
    state: str = ""


class HostList(msgspec.Struct, frozen=True):
    """Response body of the platform's host list."""

    hosts: list[HostRecord]


class EntryStatus(msgspec.Struct, frozen=True):
    """The fields of an entry's `/status` that hold table revisions."""

    table_revision: int
    sidecars: dict[str, int] = {}


async def fetch(session: aiohttp.ClientSession, url: str) -> bytes | None:
    """Returns the body of a GET, or None when it fails."""
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as response:
            return await response.read() if response.ok else None
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None


async def find_unconfirmed(
    session: aiohttp.ClientSession,
    hosts_url: str,
    revision: int,
    confirmed: set[str],
) -> list[str]:
    """Returns the sorted names of processes that lack the revision.

    Entries that confirm it for themselves and all their sidecars are added to
    `confirmed` and not polled again, since revisions only grow.
    Returns `/hosts` when the host list can't be read or contains no entry,
    since the live processes are unknown then.
    """
    body = await fetch(session, f"{hosts_url}/hosts")
    try:
        host_list = msgspec.json.decode(body or b"", type=HostList)
    except msgspec.MsgspecError:
        return ["/hosts"]
    entries = [host for host in host_list.hosts if host.role == ENTRY_ROLE]
    if not entries:
        return ["/hosts"]
    pending = [host for host in entries if host.name not in confirmed]
    results = await asyncio.gather(
        *(check_entry(session, host, revision) for host in pending)
    )
    unconfirmed: set[str] = set()
    for host, names in zip(pending, results, strict=True):
        unconfirmed.update(names)
        if not names:
            confirmed.add(host.name)
    return sorted(unconfirmed)


async def check_entry(
    session: aiohttp.ClientSession, host: HostRecord, revision: int
) -> list[str]:
    """Returns which of an entry and its sidecars lack the revision.

    An entry whose status can't be read is taken to lack it.
    """
    body = await fetch(session, f"http://{host.http_address}/status")
    try:
        status = msgspec.json.decode(body or b"", type=EntryStatus)
    except msgspec.MsgspecError:
        return [host.name]
    unconfirmed = [
        name
        for name, sidecar_revision in status.sidecars.items()
        if sidecar_revision < revision
    ]
    if status.table_revision < revision:
        unconfirmed.append(host.name)
    return unconfirmed
