"""Generated histories of entries that start, end and share a retry budget."""

import dataclasses

from behave import then
from hypothesis import given as examples
from hypothesis import settings as trial_settings
from hypothesis import strategies

from rhubarbbank_router import window_budget

SERVICE = "pool"
LIMITS = window_budget.BudgetLimits(ratio=0.2, extra=560.0, window_s=10.0)
# The other entries notice the end of an entry after this time.
DETECTION_S = 3.0
MAX_ENTRIES = 12
# Callers' requests in one step.
REQUESTS_PER_STEP = 10
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "ask",
                "spend",
                "spend_all",
                "time",
                "end",
                "start",
                "end_all",
                "start_all",
            ]
        ),
        strategies.integers(0, MAX_ENTRIES - 1),
        strategies.sampled_from([0.1, 0.5, 2.0, 6.0]),
    ),
    max_size=40,
)


@dataclasses.dataclass
class Process:
    """One process of an entry.

    Attributes:
        budget: Its retry budget.
        started_at: Time of its start, in seconds.
    """

    budget: window_budget.WindowBudget
    started_at: float


class Fleet:
    """Entries in numbered slots, each of which runs at most one process.

    `spend` makes a process send as many retries as its budget allows.

    Attributes:
        now: The time in seconds.
        slots: The process in each slot, or None.
        ended_at: When a slot's last process ended, in seconds.
        requests: Times of callers' requests.
        retries: Times of retries.
        numbers: Unused.
    """

    def __init__(self, count):
        self.now = 0.0
        self.slots = {}
        self.ended_at = {}
        self.requests = []
        self.retries = []
        self.numbers = []
        for slot in range(count):
            self.start(slot)
        self.pass_time(3 * LIMITS.window_s)

    def start(self, slot):
        if self.slots.get(slot):
            return
        budget = window_budget.WindowBudget(limits=LIMITS)
        self.slots[slot] = Process(budget, self.now)
        self.update_counts()

    def end(self, slot):
        """Ends a process, unless the slot had an end in this window."""
        since = self.now - self.ended_at.get(slot, -1_000.0)
        if self.slots.get(slot) and since > LIMITS.window_s:
            self.slots[slot] = None
            self.ended_at[slot] = self.now

    def update_counts(self):
        """Updates each process's number of entries; ends are noticed late."""
        running = sum(x is not None for x in self.slots.values())
        gone = sum(
            process is None and self.now - self.ended_at[slot] < DETECTION_S
            for slot, process in self.slots.items()
        )
        for process in self.slots.values():
            if process:
                process.budget.record_entry_count(running + gone, now=self.now)

    def pass_time(self, seconds):
        left = seconds
        while left > 0.0:
            self.now += min(0.5, left)
            left -= 0.5
            self.update_counts()

    def ask(self, slot):
        process = self.slots.get(slot)
        for _ in range(REQUESTS_PER_STEP if process else 0):
            process.budget.count_request(SERVICE, now=self.now)
            self.requests.append(self.now)

    def spend(self, slot):
        process = self.slots.get(slot)
        while process and process.budget.take(SERVICE, now=self.now):
            self.retries.append(self.now)
        self.check()

    def check(self):
        """Checks the limit in the window that ends now."""
        begin = self.now - LIMITS.window_s
        retries = sum(begin < at for at in self.retries)
        requests = sum(begin < at for at in self.requests)
        assert retries <= LIMITS.ratio * requests + LIMITS.extra, (
            retries,
            requests,
        )

    def play(self, step, slot, seconds):
        """Runs one generated step; "..._all" runs it for each slot."""
        if step == "time":
            self.pass_time(seconds)
            return
        act = {
            "ask": self.ask,
            "spend": self.spend,
            "end": self.end,
            "start": self.start,
        }[step.removesuffix("_all")]
        for each in list(self.slots) if step.endswith("_all") else [slot]:
            act(each)


@then(
    "in {count:d} generated histories all entries together stay within the "
    "budget"
)
def check_histories(context, count):
    spent = []

    @trial_settings(max_examples=count, deadline=None, derandomize=True)
    @examples(strategies.integers(1, MAX_ENTRIES), STEPS)
    def play(entries, steps):
        fleet = Fleet(entries)
        for step in steps:
            fleet.play(*step)
        spent.append(len(fleet.retries))

    play()
    assert max(spent) > LIMITS.extra, "the histories use too few retries"


@then("{count:d} entries that are replaced at once stay within the budget")
def check_replaced(context, count):
    fleet = Fleet(count)
    fleet.play("spend_all", 0, 0.0)
    assert len(fleet.retries) > LIMITS.extra / 2
    fleet.play("end_all", 0, 0.0)
    fleet.pass_time(1.0)
    fleet.play("start_all", 0, 0.0)
    fleet.play("spend_all", 0, 0.0)
    fleet.pass_time(LIMITS.window_s - 2.0)
    fleet.play("spend_all", 0, 0.0)


@then(
    "{count:d} entries of which half is down for {seconds:g} s stay within the "
    "budget"
)
def check_half_down(context, count, seconds):
    fleet = Fleet(count)
    stopped = range(count // 2)
    for slot in stopped:
        fleet.spend(slot)
        fleet.end(slot)
    fleet.pass_time(seconds + DETECTION_S)
    fleet.play("spend_all", 0, 0.0)
    for slot in stopped:
        fleet.start(slot)
    fleet.play("spend_all", 0, 0.0)
    fleet.pass_time(1.0)
    fleet.play("spend_all", 0, 0.0)


@then(
    "an entry that uses up its budget twice within {seconds:g} s stays within "
    "the budget"
)
def check_window_ends(context, seconds):
    for offset_s in (0.0, 0.1, 0.2, 0.3, 0.4):
        fleet = Fleet(1)
        fleet.pass_time(offset_s)
        fleet.spend(0)
        fleet.pass_time(seconds)
        fleet.spend(0)


@then(
    "each of {count:d} entries still has 1/{shared:d} of the budget after "
    "{seconds:g} s without heartbeats"
)
def check_silence(context, count, seconds, shared):
    budget = window_budget.WindowBudget(limits=LIMITS)
    budget.count_sharers(now=0.0)
    budget.record_entry_count(count, now=0.0)
    assert budget.count_sharers(now=seconds) == shared
