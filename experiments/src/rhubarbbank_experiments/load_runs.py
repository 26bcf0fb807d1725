"""Runs a load against one deployment of real processes."""

import asyncio
import contextlib
import dataclasses
import json

import aiohttp

from rhubarbbank_core import entry_billing
from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet as fleets
from rhubarbbank_experiments import load_caller
from rhubarbbank_experiments import load_observe
from rhubarbbank_experiments import load_offer
from rhubarbbank_experiments import load_schedule
from rhubarbbank_experiments import load_settings

WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadRun:
    """What one run of one arm left behind.

    Attributes:
        deployment: What ran.
        arm: The policies.
        seed: Of the arrivals.
        calls: All calls, with their ends.
        bills: Billing records in the store.
        retries: Attempts that repeated a lost one.
        escalations: Answers that a stronger model gave again.
        uses: Of the allowances.
        store_calls: What the object API counted.
    """

    deployment: deployments.Deployment
    arm: load_settings.Arm
    seed: int
    calls: list[load_caller.Call]
    bills: list[entry_billing.Bill]
    retries: int
    escalations: int
    uses: list[load_observe.AllowanceUse]
    store_calls: dict[str, int]


def draw_phases(
    settings: load_settings.LoadSettings, *, seed: int
) -> list[list[float]]:
    """Returns the arrival times of each phase."""
    begin_s = 0.0
    found = []
    for number, phase in enumerate(settings.phases):
        wanted = load_schedule.Phase(
            duration_s=phase.duration_s,
            rate_per_s=phase.load * settings.full_load_per_s,
        )
        times = load_schedule.draw_arrivals([wanted], seed=seed * 100 + number)
        found.append([begin_s + at for at in times])
        begin_s += phase.duration_s
    return found


async def offer(
    settings: load_settings.LoadSettings, fleet: fleets.Fleet, *, seed: int
) -> list[load_caller.Call]:
    """Offers the load and returns all calls with their ends."""
    calls = load_caller.plan_calls(
        settings,
        fleet.deployment,
        draw_phases(settings, seed=seed),
        seed=seed,
    )
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=0)
    ) as session:
        caller = load_caller.LoadCaller(
            settings=settings,
            deployment=fleet.deployment,
            addresses=[x.http_address for x in fleet.find_places("entry")],
            session=session,
        )

        async def make(number: int) -> None:
            await caller.make(number, calls[number])

        await load_offer.offer(make, [x.at_s + WARM_UP_S for x in calls])
    return calls


def read_store_calls(fleet: fleets.Fleet) -> dict[str, int]:
    """Returns the object API's counts, without those of each client."""
    counts = json.loads(fleets.fetch(f"{fleet.store_url}/counts"))
    return {k: v for k, v in counts.items() if isinstance(v, int)}


def run(
    settings: load_settings.LoadSettings,
    deployment: deployments.Deployment,
    *,
    arm: load_settings.Arm,
    seed: int,
) -> LoadRun:
    """Runs the load against fresh processes of one deployment."""
    fleet = fleets.Fleet(
        deployment=deployment,
        engine_settings=dict(settings.engine),
        entry_settings={
            "placement": arm.placement.value,
            "cascade": arm.cascade.value,
        },
    )
    with contextlib.closing(fleet):
        fleet.start()
        calls = asyncio.run(offer(settings, fleet, seed=seed))
        bills = load_observe.read_bills(fleet)
        store_calls = read_store_calls(fleet)
        decisions = load_observe.read_decisions(fleet)
    return LoadRun(
        deployment=deployment,
        arm=arm,
        seed=seed,
        calls=calls,
        bills=bills,
        retries=load_observe.count_retries(decisions),
        escalations=load_observe.count(decisions, "escalated"),
        uses=load_observe.measure_uses(deployment, decisions),
        store_calls=store_calls,
    )
