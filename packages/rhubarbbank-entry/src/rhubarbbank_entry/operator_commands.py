"""Operator commands that query running entries: `status` and `explain`."""

import asyncio

import aiohttp
import msgspec

from rhubarbbank_core import errors
from rhubarbbank_core import wire
from rhubarbbank_entry import reports
from rhubarbbank_runtime import hosts_http

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=3.0)


class OperatorCommands:
    """Queries the entries of the host list.

    Attributes:
        hosts_url: Base URL of the host list.
    """

    def __init__(self, *, hosts_url: str) -> None:
        self.hosts_url = hosts_url

    def status(self) -> str:
        """Returns the status of all entries, a line each."""
        return asyncio.run(self.collect_status())

    def explain(self, request_id: str) -> str:
        """Returns the routing decisions on a request, oldest first."""
        return asyncio.run(self.find_explanation(request_id))

    async def collect_status(self) -> str:
        """Queries each entry for its status."""
        async with aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session:
            lines = [
                describe_status(
                    host, await fetch(session, f"{host.http_address}/status")
                )
                for host in await self.list_entries(session)
            ]
        return "\n".join(lines)

    async def find_explanation(self, request_id: str) -> str:
        """Queries entries until one has the decisions on a request.

        Raises:
            errors.RhubarbbankError: No entry has them, or the host list can't
                be read.
        """
        async with aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session:
            for host in await self.list_entries(session):
                path = f"{host.http_address}/explain/{request_id}"
                body = await fetch(session, path)
                if body is not None:
                    return describe_explanation(body)
        raise errors.RhubarbbankError(
            problem=errors.Problem(
                code=errors.ErrorCode.NOT_FOUND, detail=request_id
            ),
            remedy="Entries keep only recent requests; search the logs.",
        )

    async def list_entries(
        self, session: aiohttp.ClientSession
    ) -> list[wire.ListedHost]:
        """Returns the entries of the host list.

        Raises:
            errors.RhubarbbankError: The host list can't be read.
        """
        hosts = await hosts_http.read_hosts(session, self.hosts_url)
        if hosts is None:
            raise errors.RhubarbbankError(
                problem=errors.Problem(
                    code=errors.ErrorCode.STORE_UNAVAILABLE,
                    detail=self.hosts_url,
                ),
                remedy="Check the address of the host list.",
            )
        return [host for host in hosts if host.role == "entry"]


async def fetch(
    session: aiohttp.ClientSession, address_and_path: str
) -> bytes | None:
    """Returns the body of a GET, or None when it fails."""
    try:
        async with session.get(f"http://{address_and_path}") as response:
            response.raise_for_status()
            return await response.read()
    except (aiohttp.ClientError, TimeoutError):
        return None


def describe_status(host: wire.ListedHost, body: bytes | None) -> str:
    """Returns an entry's status line; `body` is None without a response."""
    if body is None:
        return f"{host.name}: no answer"
    report = msgspec.json.decode(body, type=reports.StatusReport)
    outdated = sorted(
        name
        for name, revision in report.sidecars.items()
        if revision < report.table_revision
    )
    parts = [
        f"{host.name}: revision {report.table_revision}",
        f"{len(report.sidecars)} sidecars",
        f"{report.open_requests} open requests",
        f"table {report.freshness}",
    ]
    if outdated:
        parts.append(f"behind: {', '.join(outdated)}")
    if report.stopping:
        parts.append("stopping")
    return ", ".join(parts)


def describe_explanation(body: bytes) -> str:
    """Returns the decisions on one request, a line each."""
    explanation = msgspec.json.decode(body, type=reports.Explanation)
    lines = []
    for decision in explanation.decisions:
        parts = [
            decision.decision,
            f"{decision.model}@{decision.version}" if decision.model else "",
            decision.upstream,
            decision.reason,
        ]
        lines.append("  ".join(part for part in parts if part))
    return "\n".join(lines)
