"""Processor time of one placement decision, over known upstreams."""

from collections.abc import Callable
import json
import random
import time

from rhubarbbank_core import entry_dispatch
from rhubarbbank_core import entry_state
from rhubarbbank_core import open_requests
from rhubarbbank_core import placement
from rhubarbbank_core import requests
from rhubarbbank_core import table
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series

COUNTS = (10, 50, 100, 300, 600)
SETTLE_S = 35.0
DECISIONS = 300
ROUNDS = 5
US_PER_S = 1e6


def time_call(call: Callable[[], object]) -> float:
    """Returns the processor time of one call in microseconds."""
    rounds = []
    for _ in range(ROUNDS):
        begin = time.process_time()
        for _ in range(DECISIONS):
            call()
        rounds.append(time.process_time() - begin)
    return min(rounds) / DECISIONS * US_PER_S


def make_candidates(count: int) -> list[placement.Candidate]:
    """Returns upstreams with reports of random loads."""
    rng = random.Random(count)
    return [
        placement.Candidate(
            name=f"engine-{x}",
            own_in_flight=rng.randrange(3),
            running=rng.randrange(32),
            waiting=rng.randrange(3),
            max_batch=32,
            report_age_s=rng.random(),
        )
        for x in range(count)
    ]


def measure_choice(count: int) -> float:
    """Returns the time of the choice alone."""
    candidates = make_candidates(count)
    policy = placement.ExpectedWaitPlacement(rng=random.Random(1))
    request = placement.PlacementRequest(prompt_blocks=8)
    return time_call(
        lambda: policy.choose(candidates=candidates, request=request)
    )


def open_request(state: entry_state.EntryState) -> open_requests.OpenRequest:
    """Returns a request of the first organisation for the first version."""
    body = {
        "model": "model-0",
        "messages": [{"role": "user", "content": "Plan the season."}],
    }
    parsed = requests.parse_request(
        request_id="bench-1",
        kind=requests.WorkKind.CHAT,
        headers=requests.CallerHeaders(organisation="organisation-0000"),
        body=json.dumps(body).encode(),
    )
    if not isinstance(parsed, requests.CallerRequest):
        raise TypeError(f"The bench's own request is refused: {parsed}")
    row = state.rows.find(
        "organisation-0000", table.VersionKey("model-0", "v1")
    )
    if row is None:
        raise LookupError("The bench's table lacks the first row.")
    return open_requests.OpenRequest(
        request=parsed,
        row=row,
        arrived=0.0,
        deadline=1e9,
        phase=open_requests.Phase.RUNNING,
    )


def measure_decision(count: int) -> float:
    """Returns the time with the candidates' state looked up and weighed."""
    shape = slopes_entry.FleetShape(
        entries=2, sidecars=count, subset_size=count, data_centres=1
    )
    bench = slopes_entry.EntryBench(shape=shape)
    bench.run(SETTLE_S)
    state = bench.reducer.state
    opened = open_request(state)
    found = entry_dispatch.find_candidates(state, opened, now=bench.now)
    if len(found) != count:
        raise LookupError(f"{len(found)} of {count} upstreams are candidates.")
    request = placement.PlacementRequest(prompt_blocks=8)

    def decide() -> None:
        candidates = entry_dispatch.find_candidates(
            state, opened, now=bench.now
        )
        state.placement.choose(
            candidates=[
                entry_dispatch.weigh(state, opened, x) for x in candidates
            ],
            request=request,
        )

    return time_call(decide)


def measure_all() -> list[slopes_series.Series]:
    """Measures the choice alone and the whole decision."""
    return [
        slopes_series.measure(
            name="placement: choice alone",
            over="candidates",
            unit="us",
            sizes=COUNTS,
            take=measure_choice,
        ),
        slopes_series.measure(
            name="placement: candidates found, weighed and chosen",
            over="upstreams in the subset",
            unit="us",
            sizes=COUNTS,
            take=measure_decision,
        ),
    ]
