"""Reads what a run left behind: billing records and decision logs."""

from collections.abc import Sequence
import dataclasses
import datetime as dt
import json

import msgspec

from rhubarbbank_core import entry_billing
from rhubarbbank_core import ledger_log
from rhubarbbank_core import store
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet as fleets
from rhubarbbank_runtime import store_http

LEDGER_PREFIX = "ledger/"
MINUTE_S = 60.0

# Organisation, model and version.
AllowanceKey = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """One line of an entry's decision log.

    Attributes:
        decision: What was decided.
        request_id: The request, or empty.
        at_s: Seconds since the epoch.
        key: Whose allowance it concerns.
    """

    decision: str
    request_id: str
    at_s: float
    key: AllowanceKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AllowanceUse:
    """How much of one allowance was used.

    Attributes:
        key: Whose allowance.
        limit: Requests a minute.
        busiest: Most attempts in any window of a minute.
    """

    key: AllowanceKey
    limit: int
    busiest: int


def read_bills(fleet: fleets.Fleet) -> list[entry_billing.Bill]:
    """Returns the billing records in the store."""
    listing = store_http.read_listing(
        store.StoreCall(
            call_id=1, operation=store.StoreOperation.LIST, key=LEDGER_PREFIX
        ),
        store.StoreOutcome.OK,
        fleets.fetch(f"{fleet.store_url}/objects?prefix={LEDGER_PREFIX}"),
    )
    return [
        msgspec.json.decode(x.value, type=entry_billing.Bill)
        for x in ledger_log.read_bills(listing.objects)
    ]


def read_decisions(fleet: fleets.Fleet) -> list[Decision]:
    """Returns what the entries have logged of their decisions."""
    decisions = []
    for place in fleet.find_places("entry"):
        for line in fleet.read_log(place.name).splitlines():
            if '"decision":"' not in line:
                continue
            found = json.loads(line)
            moment = dt.datetime.fromisoformat(found["time"])
            decisions.append(
                Decision(
                    decision=found["decision"],
                    request_id=found.get("request_id", ""),
                    at_s=moment.timestamp(),
                    key=(
                        found.get("organisation", ""),
                        found.get("model", ""),
                        found.get("version", ""),
                    ),
                )
            )
    return decisions


def count(decisions: Sequence[Decision], name: str) -> int:
    """Returns how often something was decided."""
    return sum(x.decision == name for x in decisions)


def count_retries(decisions: Sequence[Decision]) -> int:
    """Returns how many attempts repeated a lost one.

    An escalated request is placed again, too, but for a better answer.
    """
    placed = [x.request_id for x in decisions if x.decision == "placed"]
    return len(placed) - len(set(placed)) - count(decisions, "escalated")


def find_busiest(times: Sequence[float], *, window_s: float = MINUTE_S) -> int:
    """Returns the most times that lie within any window of that length."""
    ordered = sorted(times)
    busiest = first = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] >= window_s:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest


def measure_uses(
    deployment: deployments.Deployment, decisions: Sequence[Decision]
) -> list[AllowanceUse]:
    """Returns the use of each allowance, by the attempts that were placed."""
    times: dict[AllowanceKey, list[float]] = {}
    for found in decisions:
        if found.decision == "placed":
            times.setdefault(found.key, []).append(found.at_s)
    uses = []
    for row in deployments.build_rows(deployment):
        key = (row.organisation, row.model, row.version)
        uses.append(
            AllowanceUse(
                key=key,
                limit=row.requests_per_minute,
                busiest=find_busiest(times.get(key, [])),
            )
        )
    return uses
