"""Messages that the slices of an allowance cost, over the entries.

Real holders, one for each entry, share a few allowances that one real owner
leases out. Requests arrive at random entries, in all as many as one of 250
organisations sends at the target size. Messages arrive at once.
"""

import collections
import dataclasses
import random

from rhubarbbank_core import allowance_holder
from rhubarbbank_core import allowance_owner
from rhubarbbank_core import allowances
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_control
from rhubarbbank_core import ledger_takeover
from rhubarbbank_core import wire
from rhubarbbank_experiments import load_schedule
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_experiments import slopes_series

OWNER = "127.0.0.1:2"
SHARDS = 8
ALLOWANCES = 4
REQUESTS_PER_S = 3100.0 / 250.0
# An allowance of twice what is asked for.
REQUESTS_PER_MINUTE = 1500.0
OBSERVED_S = 40.0
ENTRY_COUNTS = (3, 10, 40, 120, 370)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that found too little in its slice."""

    entry: int
    key: str
    since: float


class AllowanceBench:
    """Holders and their owner.

    Attributes:
        traffic: What they sent.
        arrived: Requests that arrived.
        admitted: Those that went on, at once or after a wait.
        delayed: Those of them that waited.
    """

    def __init__(self, *, entries: int) -> None:
        terms = entry_control.SLICE_TERMS
        self.keys = [
            allowances.allowance_key(f"organisation-{x:04d}", "model-0", "v1")
            for x in range(ALLOWANCES)
        ]
        self.holders = [
            allowance_holder.AllowanceHolder(
                address=str(x), shards=SHARDS, rng=random.Random(x), terms=terms
            )
            for x in range(entries)
        ]
        for holder in self.holders:
            holder.set_live(names=[OWNER])
        self.owner = allowance_owner.AllowanceOwner(
            name=OWNER, shards=SHARDS, terms=terms
        )
        self.owner.set_allowances(
            requests_per_minute=dict.fromkeys(self.keys, REQUESTS_PER_MINUTE)
        )
        for shard in range(SHARDS):
            self.owner.take_shard(
                now=0.0, shard=shard, origin=ledger_takeover.ShardOrigin.NEW
            )
        self.traffic = slopes_entry.Traffic()
        self.arrived = 0
        self.admitted = 0
        self.delayed = 0
        self.waiting: collections.deque[Waiting] = collections.deque()

    def carry(self, sends: list[effects.Send], *, now: float) -> None:
        """Carries messages until none is left."""
        queue = collections.deque(sends)
        while queue:
            send = queue.popleft()
            message = send.message
            size = len(wire.ENCODER.encode([message]))
            self.traffic.add(message, size)
            match message:
                case allowances.SliceRequest():
                    found = self.owner.request(
                        now=now, request=message, is_confirmed=True
                    )
                case allowances.SliceApplied():
                    found = self.owner.applied(now=now, applied=message)
                case allowances.SliceGrant():
                    holder = self.holders[int(send.address)]
                    queue.extend(holder.grant(now=now, grant=message))
                    continue
                case _:
                    continue
            queue.extend(x for x in found if isinstance(x, effects.Send))

    def arrive(self, entry: int, key: str, *, now: float) -> None:
        """Lets one request arrive, and try again after the answer."""
        self.arrived += 1
        if self.take(entry, key, now=now, is_retry=False):
            return
        if self.take(entry, key, now=now, is_retry=True):
            return
        self.waiting.append(Waiting(entry, key, now))

    def take(self, entry: int, key: str, *, now: float, is_retry: bool) -> bool:
        """Returns whether the request may run now."""
        found = self.holders[entry].try_take(
            now=now, key=key, is_retry=is_retry
        )
        self.carry(found.sends, now=now)
        self.admitted += found.admitted
        return found.admitted

    def tick(self, *, now: float) -> None:
        """Ticks all holders and lets waiting requests try again."""
        for holder in self.holders:
            self.carry(holder.tick(now=now), now=now)
        for _ in range(len(self.waiting)):
            each = self.waiting.popleft()
            if now - each.since > defaults.SLICE_WAIT_S:
                continue
            if self.take(each.entry, each.key, now=now, is_retry=True):
                self.delayed += 1
            else:
                self.waiting.append(each)

    def run(self) -> None:
        """Lets requests arrive at random times and entries."""
        phase = load_schedule.Phase(
            duration_s=OBSERVED_S, rate_per_s=REQUESTS_PER_S * ALLOWANCES
        )
        rng = random.Random(2)
        moments = [
            (at, rng.randrange(len(self.holders)), rng.choice(self.keys))
            for at in load_schedule.draw_arrivals([phase], seed=3)
        ]
        ticks = round(OBSERVED_S / defaults.TICK_S)
        moments += [(x * defaults.TICK_S, 0, "") for x in range(ticks)]
        for now, entry, key in sorted(moments):
            if key:
                self.arrive(entry, key, now=now)
            else:
                self.tick(now=now)


def measure_all() -> list[slopes_series.Series]:
    """Measures messages and waits over the number of entries."""
    benches = []
    for count in ENTRY_COUNTS:
        bench = AllowanceBench(entries=count)
        bench.run()
        benches.append(bench)
    columns = [
        slopes_series.Column(
            "messages a request",
            "messages",
            [x.traffic.count() / x.arrived for x in benches],
        ),
        slopes_series.Column(
            "bytes a request",
            "B",
            [x.traffic.size() / x.arrived for x in benches],
        ),
        slopes_series.Column(
            "requests that wait",
            "%",
            [100.0 * x.delayed / x.arrived for x in benches],
        ),
        slopes_series.Column(
            "requests not admitted",
            "%",
            [100.0 * (1.0 - x.admitted / x.arrived) for x in benches],
        ),
    ]
    return slopes_series.build_all(
        subject="slices",
        over="entries (12.4 requests/s an allowance)",
        sizes=ENTRY_COUNTS,
        columns=columns,
    )
