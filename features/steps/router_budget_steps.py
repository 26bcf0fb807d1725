"""Generated histories of entries that come and go and share one budget."""

import dataclasses

from behave import then
from hypothesis import given as examples
from hypothesis import settings as trial_settings
from hypothesis import strategies

from rhubarbbank_router import window_budget

SERVICE = "pool"
LIMITS = window_budget.BudgetLimits(ratio=0.2, extra=560.0, window_s=10.0)
# Entries hear of another one's end this much later.
HEARD_AFTER_S = 3.0
MOST_ENTRIES = 12
# Callers' requests in one step.
REQUESTS = 10
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
        strategies.integers(0, MOST_ENTRIES - 1),
        strategies.sampled_from([0.1, 0.5, 2.0, 6.0]),
    ),
    max_size=40,
)


@dataclasses.dataclass
class Process:
    """One process of an entry.

    Attributes:
        budget: What it counts.
        started_at: In seconds.
    """

    budget: window_budget.WindowBudget
    started_at: float


class Fleet:
    """Entries in places; each process takes all that its budget allows.

    Attributes:
        now: The time in seconds.
        places: The process in each place, or None.
        replaced_at: When a place's process ended last, in seconds.
        asked: Times of callers' requests.
        sent: Times of additional sends.
        numbers: Times and numbers of the processes there were.
    """

    def __init__(self, count):
        self.now = 0.0
        self.places = {}
        self.replaced_at = {}
        self.asked = []
        self.sent = []
        self.numbers = []
        for place in range(count):
            self.start(place)
        self.pass_time(3 * LIMITS.window_s)

    def start(self, place):
        if self.places.get(place):
            return
        budget = window_budget.WindowBudget(limits=LIMITS)
        self.places[place] = Process(budget, self.now)
        self.tell()

    def end(self, place):
        """Ends a process, unless its place saw an end in this window."""
        since = self.now - self.replaced_at.get(place, -1_000.0)
        if self.places.get(place) and since > LIMITS.window_s:
            self.places[place] = None
            self.replaced_at[place] = self.now

    def tell(self):
        """Tells each process how many it hears of; ends are heard late."""
        running = sum(x is not None for x in self.places.values())
        gone = sum(
            process is None
            and self.now - self.replaced_at[place] < HEARD_AFTER_S
            for place, process in self.places.items()
        )
        for process in self.places.values():
            if process:
                process.budget.note_entries(running + gone, now=self.now)

    def pass_time(self, seconds):
        left = seconds
        while left > 0.0:
            self.now += min(0.5, left)
            left -= 0.5
            self.tell()

    def ask(self, place):
        process = self.places.get(place)
        for _ in range(REQUESTS if process else 0):
            process.budget.count_request(SERVICE, now=self.now)
            self.asked.append(self.now)

    def spend(self, place):
        process = self.places.get(place)
        while process and process.budget.take(SERVICE, now=self.now):
            self.sent.append(self.now)
        self.check()

    def check(self):
        """Checks the window that ends now."""
        begin = self.now - LIMITS.window_s
        sent = sum(begin < at for at in self.sent)
        asked = sum(begin < at for at in self.asked)
        assert sent <= LIMITS.ratio * asked + LIMITS.extra, (sent, asked)

    def play(self, step, place, seconds):
        """Plays one generated step; "..._all" plays it for each place."""
        if step == "time":
            self.pass_time(seconds)
            return
        act = {
            "ask": self.ask,
            "spend": self.spend,
            "end": self.end,
            "start": self.start,
        }[step.removesuffix("_all")]
        for each in list(self.places) if step.endswith("_all") else [place]:
            act(each)


@then("in {count:d} generated histories all entries together keep the budget")
def check_histories(context, count):
    spent = []

    @trial_settings(max_examples=count, deadline=None, derandomize=True)
    @examples(strategies.integers(1, MOST_ENTRIES), STEPS)
    def play(entries, steps):
        fleet = Fleet(entries)
        for step in steps:
            fleet.play(*step)
        spent.append(len(fleet.sent))

    play()
    assert max(spent) > LIMITS.extra, "the histories spend too little"


@then("{count:d} entries that are replaced at once keep the budget")
def check_replaced(context, count):
    fleet = Fleet(count)
    fleet.play("spend_all", 0, 0.0)
    assert len(fleet.sent) > LIMITS.extra / 2
    fleet.play("end_all", 0, 0.0)
    fleet.pass_time(1.0)
    fleet.play("start_all", 0, 0.0)
    fleet.play("spend_all", 0, 0.0)
    fleet.pass_time(LIMITS.window_s - 2.0)
    fleet.play("spend_all", 0, 0.0)


@then(
    "{count:d} entries of which half is away for {seconds:g} s keep the budget"
)
def check_half_away(context, count, seconds):
    fleet = Fleet(count)
    away = range(count // 2)
    for place in away:
        fleet.spend(place)
        fleet.end(place)
    fleet.pass_time(seconds + HEARD_AFTER_S)
    fleet.play("spend_all", 0, 0.0)
    for place in away:
        fleet.start(place)
    fleet.play("spend_all", 0, 0.0)
    fleet.pass_time(1.0)
    fleet.play("spend_all", 0, 0.0)


@then("an entry that spends all twice within {seconds:g} s keeps the budget")
def check_window_ends(context, seconds):
    for offset_s in (0.0, 0.1, 0.2, 0.3, 0.4):
        fleet = Fleet(1)
        fleet.pass_time(offset_s)
        fleet.spend(0)
        fleet.pass_time(seconds)
        fleet.spend(0)


@then(
    "a budget of {count:d} entries that hears of none for {seconds:g} s shares"
    " by {shared:d}"
)
def check_silence(context, count, seconds, shared):
    budget = window_budget.WindowBudget(limits=LIMITS)
    budget.count_sharers(now=0.0)
    budget.note_entries(count, now=0.0)
    assert budget.count_sharers(now=seconds) == shared
