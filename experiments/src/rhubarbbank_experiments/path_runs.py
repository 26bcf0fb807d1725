"""Runs the path's scenarios on a fleet of one entry, sidecar and engine.

Two independent streams of arrivals with one mean rate run at the same time,
one through entry and sidecar and one straight to the engine, from the same
caller. Both meet the same engine, batch and machine, so that what differs
between them is what entry and sidecar add.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import functools
import time

import aiohttp
import msgspec

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import fleet as fleets
from rhubarbbank_experiments import load_offer
from rhubarbbank_experiments import load_schedule
from rhubarbbank_experiments import path_client
from rhubarbbank_experiments import path_settings
from rhubarbbank_experiments import report_latency
from rhubarbbank_experiments import report_process

CHAT_PATH = "/v1/chat/completions"
ENTRY = "entry-0"
SIDECAR = "engine-0"
# The engine's batch must never be what a stream waits for.
MAX_BATCH = 4096
PREFILL_TOKENS_PER_S = 1_000_000.0
ALLOWANCE_PER_MINUTE = 600_000
WARM_UP_CALLS = 20
WARM_UP_TOKENS = 3
DRAIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Side:
    """What one target's callers saw.

    Attributes:
        first_token: From the call to the first token.
        gap: Between two tokens.
        answers: Whole answers.
        tokens: Tokens that came.
        failures: Calls that failed, by what came instead.
    """

    first_token: report_latency.Percentiles
    gap: report_latency.Percentiles
    answers: int
    tokens: int
    failures: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUse:
    """What one process used during a scenario.

    Attributes:
        core_share: Processor time over wall time.
        cpu_us_per_token: Processor time over tokens.
        resident_mb: Resident memory at the end.
    """

    core_share: float
    cpu_us_per_token: float
    resident_mb: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What one scenario showed.

    Attributes:
        scenario: What was run.
        wall_s: From the first call to the end of the last answer.
        requests_per_s: Whole answers through the entry over wall time.
        tokens_per_s: Tokens through the entry over wall time.
        direct: Straight to the engine.
        routed: Through entry and sidecar.
        entry: The entry process.
        sidecar: The sidecar process.
        caller_core_share: Of this process; a full core disturbs figures.
    """

    scenario: path_settings.Scenario
    wall_s: float
    requests_per_s: float
    tokens_per_s: float
    direct: Side
    routed: Side
    entry: ProcessUse
    sidecar: ProcessUse
    caller_core_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Idle:
    """What the processes use when nobody calls."""

    entry: ProcessUse
    sidecar: ProcessUse


def shrink(
    deployment: deployments.Deployment, settings: path_settings.PathSettings
) -> deployments.Deployment:
    """Returns the deployment with one entry and one engine."""
    # Answers have at least half the mean length.
    models = [
        msgspec.structs.replace(x, mean_tokens=settings.max_tokens * 4)
        for x in deployment.models
    ]
    organisations = [
        deployments.OrganisationSpec(x.name, ALLOWANCE_PER_MINUTE)
        for x in deployment.organisations
    ]
    return msgspec.structs.replace(
        deployment,
        entries=1,
        engines=1,
        services=0,
        models=models,
        organisations=organisations,
    )


class PathRun:
    """Runs scenarios against one fleet.

    Attributes:
        settings: What to measure.
        fleet: The running fleet.
        pids: Process ids of entry and sidecar, by name.
    """

    def __init__(
        self, *, settings: path_settings.PathSettings, fleet: fleets.Fleet
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.pids = {name: fleet.members[name].pid for name in (ENTRY, SIDECAR)}

    def read_usages(self) -> dict[str, report_process.Usage]:
        """Returns what both processes have used."""
        return {
            name: report_process.read_usage(pid)
            for name, pid in self.pids.items()
        }

    def compare(
        self,
        before: dict[str, report_process.Usage],
        *,
        wall_s: float,
        tokens: int,
    ) -> dict[str, ProcessUse]:
        """Returns what both processes have used since `before`."""
        found = {}
        for name, usage in self.read_usages().items():
            cpu_s = usage.cpu_s - before[name].cpu_s
            found[name] = ProcessUse(
                core_share=cpu_s / wall_s,
                cpu_us_per_token=cpu_s * 1e6 / tokens if tokens else 0.0,
                resident_mb=usage.resident_mb,
            )
        return found

    def build_targets(self) -> tuple[path_client.Target, path_client.Target]:
        """Returns the engine itself and the entry, as call targets."""
        names = [x.name for x in self.fleet.deployment.organisations]
        model = next(
            x
            for x in self.fleet.deployment.models
            if x.model == self.settings.model
        )
        engine_url = self.fleet.places[SIDECAR].upstream_url
        entry_address = self.fleet.places[ENTRY].http_address
        direct = path_client.Target(
            url=f"{engine_url}{CHAT_PATH}", model=model.key, organisations=names
        )
        routed = path_client.Target(
            url=f"http://{entry_address}{CHAT_PATH}",
            model=model.model,
            organisations=names,
        )
        return direct, routed

    def measure_idle(self) -> Idle:
        """Observes the processes while nobody calls."""
        before = self.read_usages()
        time.sleep(self.settings.idle_s)
        used = self.compare(before, wall_s=self.settings.idle_s, tokens=0)
        return Idle(entry=used[ENTRY], sidecar=used[SIDECAR])

    async def run_all(self) -> list[Outcome]:
        """Runs all scenarios, one after the other."""
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0, limit_per_host=0)
                )
            )
            await self.warm_up(session)
            found = []
            for number, scenario in enumerate(self.settings.scenarios):
                found.append(await self.run(session, scenario, number))
                await asyncio.sleep(DRAIN_S)
            return found

    async def warm_up(self, session: aiohttp.ClientSession) -> None:
        """Lets connections, allowances and caches come about."""
        for target in self.build_targets():
            caller = path_client.StreamCaller(target=target, session=session)
            for number in range(WARM_UP_CALLS):
                await caller.call(number, max_tokens=WARM_UP_TOKENS)

    async def run(
        self,
        session: aiohttp.ClientSession,
        scenario: path_settings.Scenario,
        number: int,
    ) -> Outcome:
        """Runs one scenario."""
        callers = [
            path_client.StreamCaller(target=target, session=session)
            for target in self.build_targets()
        ]
        before = self.read_usages()
        caller_before_s = time.process_time()
        begin = time.monotonic()
        await asyncio.gather(
            *(
                load_offer.offer(
                    functools.partial(
                        caller.call, max_tokens=self.settings.max_tokens
                    ),
                    self.plan(scenario, 2 * number + side),
                )
                for side, caller in enumerate(callers)
            )
        )
        wall_s = time.monotonic() - begin
        direct, routed = (caller.observations for caller in callers)
        used = self.compare(before, wall_s=wall_s, tokens=routed.tokens)
        return Outcome(
            scenario=scenario,
            wall_s=wall_s,
            requests_per_s=count_answers(routed) / wall_s,
            tokens_per_s=routed.tokens / wall_s,
            direct=summarise(direct),
            routed=summarise(routed),
            entry=used[ENTRY],
            sidecar=used[SIDECAR],
            caller_core_share=(time.process_time() - caller_before_s) / wall_s,
        )

    def plan(
        self, scenario: path_settings.Scenario, number: int
    ) -> Sequence[float]:
        """Returns when the calls of one target start, in seconds."""
        answer_s = self.settings.answer_s
        if scenario.mode is path_settings.Mode.TOGETHER:
            rounds = max(1, int(scenario.duration_s / (answer_s + DRAIN_S)))
            return [
                turn * (answer_s + DRAIN_S)
                for turn in range(rounds)
                for _ in range(scenario.open_streams)
            ]
        phase = load_schedule.Phase(
            duration_s=scenario.duration_s,
            rate_per_s=scenario.open_streams / answer_s,
        )
        return load_schedule.draw_arrivals(
            [phase], seed=self.settings.seed * 1000 + number
        )


def count_answers(seen: path_client.Observations) -> int:
    """Returns the number of whole answers."""
    return seen.whole.summarise().count


def summarise(seen: path_client.Observations) -> Side:
    """Returns what one target's callers saw."""
    return Side(
        first_token=seen.first_token.summarise(),
        gap=seen.gap.summarise(),
        answers=count_answers(seen),
        tokens=seen.tokens,
        failures=seen.failures,
    )
