import random

import behave
import fleet as fleets
import hypothesis
from hypothesis import strategies as st

from rhubarbbank_core import gossip

ENTRIES = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3"]
SIDECARS = ["a-s1", "b-s1"]
SMALL_ENTRIES = ["a-1", "b-1", "c-1"]
DEATH_RUNS = 160
DEATH_FAULTS = ["dead", "parted", "machine is gone", "back but parted"]

settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@behave.given("a fleet of two data centres with a working store")
def given_fleet(context):
    context.fleet = fleets.Fleet(entries=ENTRIES, sidecars=SIDECARS)
    context.fleet.list_hosts()
    context.fleet.run(5)


@behave.given("a fleet of one entry in each of three data centres")
def given_small_fleet(context):
    context.fleet = make_small_fleet(seed=1)


def make_small_fleet(*, seed):
    fleet = fleets.Fleet(entries=SMALL_ENTRIES, sidecars=SIDECARS, seed=seed)
    fleet.list_hosts()
    fleet.run(5)
    return fleet


@behave.given("a fleet that serves unconfirmed")
def given_unconfirmed(context):
    context.fleet = fleets.Fleet(
        entries=ENTRIES, sidecars=SIDECARS, serve_unconfirmed=True
    )
    context.fleet.list_hosts()
    context.fleet.run(5)


@behave.when("the fleet runs for {seconds:d} s")
def when_runs(context, seconds):
    context.fleet.run(seconds)


@behave.when("the store goes down for everyone")
def when_store_down(context):
    context.fleet.store_up = False


@behave.when(
    "the store answers another call of every entry than a read of the table"
)
def when_answered(context):
    fleet = context.fleet
    for name in ENTRIES:
        fleet.node(name).freshness.note_store_answer(now=fleet.now)


@behave.when("the store comes back")
def when_store_back(context):
    context.fleet.store_up = True


@behave.when("data centre {centre} loses the store and every link")
def when_cut_off(context, centre):
    context.fleet.no_store.add(centre)
    context.fleet.group[centre] = 1


@behave.when("data centre {centre} loses only the store")
def when_store_cut(context, centre):
    context.fleet.no_store.add(centre)


@behave.when("only host {name} still reaches the store")
def when_only_one(context, name):
    context.fleet.no_store.update(set(ENTRIES + SIDECARS) - {name})


@behave.then("the outage is unconfirmed for every entry")
def then_no_outage(context):
    fleet = context.fleet
    for name in ENTRIES:
        found = fleet.node(name).freshness.outage_confirmed(now=fleet.now)
        assert not found, name


@behave.when("the table is edited in the fleet's store")
def when_edit(context):
    context.fleet.edit()


@behave.when("host {name} stops in the fleet")
def when_stop(context, name):
    context.fleet.stop(name)


@behave.when("host {name} falls silent with its machine")
def when_silent(context, name):
    context.fleet.stop(name)
    context.fleet.hosts_down.add(name)


@behave.when("host {name} starts in the fleet")
def when_start(context, name):
    context.fleet.start(name)
    context.fleet.list_hosts()


@behave.then("these hosts serve new work: {names}")
def then_serve(context, names):
    for name in names.split(", "):
        assert context.fleet.serves(name), name


@behave.then("these hosts refuse new work: {names}")
def then_refuse(context, names):
    for name in names.split(", "):
        verdict = context.fleet.node(name).freshness.verdict(
            now=context.fleet.now
        )
        assert verdict.problem is not None, name
        assert verdict.problem.code == "table_not_confirmed"
        assert verdict.problem.run_state == "not_run"
        assert verdict.problem.retry_after_s is not None


@behave.then("host {name} says that its promise rests")
def then_rests(context, name):
    verdict = context.fleet.node(name).freshness.verdict(now=context.fleet.now)
    assert verdict.is_unconfirmed


@behave.then("the outage is {word} for {name}")
def then_outage(context, word, name):
    found = context.fleet.node(name).freshness.outage_confirmed(
        now=context.fleet.now
    )
    assert found == (word == "confirmed")


@behave.then("host {name} {word} take over what others hold")
def then_settled(context, name, word):
    found = context.fleet.node(name).freshness.has_settled(
        now=context.fleet.now
    )
    assert found == (word == "may")


@behave.given("probes to a peer went out at 1 s and at 9 s")
def given_probes(context):
    context.clock = gossip.ProbeClock(rng=random.Random(1))
    context.first = context.clock.stamp("a-2", now=1.0)
    context.clock.stamp("a-2", now=9.0)


@behave.then("an age of 0.5 s that echoes the first probe means 0.5 s")
def then_echo(context):
    sent_at = context.clock.sent_at("a-2", context.first)
    assert gossip.place_age(sent_at, 500) == 0.5


@behave.then("an age that echoes no known probe means nothing")
def then_no_echo(context):
    assert context.clock.sent_at("a-2", context.first - 1) is None
    assert gossip.place_age(None, 500) is None


class Story:
    """One random run of a fleet."""

    def __init__(self, seed):
        self.fleet = fleets.Fleet(entries=ENTRIES, sidecars=SIDECARS, seed=seed)
        self.fleet.list_hosts()
        self.fleet.run(3)

    def act(self, action, centre, host):
        fleet = self.fleet
        if action == "edit" and fleet.store_up:
            fleet.edit()
        elif action == "store":
            fleet.store_up = not fleet.store_up
        elif action == "cut store":
            fleet.no_store ^= {centre}
        elif action == "cut links":
            fleet.group[centre] = 1 - fleet.group.get(centre, 0)
        elif action == "bad network":
            fleet.loss, fleet.late = 0.3, 0.3
        elif action == "good network":
            fleet.loss, fleet.late = 0.0, 0.0
        elif action == "restart":
            fleet.start(host)
            fleet.list_hosts()
        elif action == "stop":
            fleet.stop(host)

    def heal(self):
        fleet = self.fleet
        fleet.store_up = True
        fleet.no_store.clear()
        fleet.group.clear()
        fleet.loss = fleet.late = 0.0
        for name in ENTRIES + SIDECARS:
            if fleet.place(name).node is None:
                fleet.start(name)
        fleet.list_hosts()
        fleet.run(8)
        assert fleet.converged()
        for name in ENTRIES + SIDECARS:
            assert fleet.serves(name), name
        fleet.run(fleets.SETTLE_S)
        for name in ENTRIES:
            node = fleet.node(name)
            assert not node.freshness.outage_confirmed(now=fleet.now)
            assert node.freshness.has_settled(now=fleet.now)


actions = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "edit",
                "store",
                "cut store",
                "cut links",
                "bad network",
                "good network",
                "restart",
                "stop",
            ]
        ),
        st.sampled_from(["a", "b"]),
        st.sampled_from(ENTRIES + SIDECARS),
        st.integers(0, 24),
    ),
    max_size=14,
)


class Death:
    """One random run: someone falls silent in an outage, then an edit."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = make_small_fleet(seed=seed)
        self.victim = self.rng.choice(SMALL_ENTRIES)
        self.centre = self.victim.split("-")[0]
        self.others = [x for x in SMALL_ENTRIES if x != self.victim]

    def run(self, most_s):
        self.fleet.run(self.rng.uniform(0.0, most_s))

    def play(self, fault):
        fleet = self.fleet
        fleet.store_up = False
        fleet.run(6.0)
        self.run(8.0)
        if fault == "parted":
            fleet.group[self.centre] = 1
        else:
            fleet.stop(self.victim)
        if fault == "machine is gone":
            fleet.hosts_down.add(self.victim)
        fleet.run(8.0)
        if fault == "dead":
            for name in self.others:
                assert fleet.serves(name), (name, fault)
        self.run(8.0)
        if fault == "back but parted":
            fleet.group[self.centre] = 1
            self.run(1.0)
            fleet.start(self.victim)
            fleet.list_hosts()
        # If nobody who runs reaches the store, only its host could know.
        most = 1 if fault == "dead" else 2
        cut = self.rng.sample(self.others, self.rng.randint(0, most))
        fleet.no_store.update(x.split("-")[0] for x in cut)
        fleet.store_up = True
        self.run(2.0)
        fleet.edit()
        fleet.run(15.0)


@behave.then("no random run of deaths and cuts breaks a promise of the fleet")
def then_random_deaths(context):
    for seed in range(DEATH_RUNS):
        Death(seed).play(DEATH_FAULTS[seed % len(DEATH_FAULTS)])


@behave.then("no random run of faults breaks a promise of the fleet")
def then_random(context):
    @settings
    @hypothesis.given(seed=st.integers(0, 2**20), story=actions)
    def run(seed, story):
        played = Story(seed)
        for action, centre, host, ticks in story:
            played.act(action, centre, host)
            for _ in range(ticks):
                played.fleet.tick()
        played.heal()

    run()
