"""Generated histories of the router: attempts, and a roll-out's record."""

import random

from behave import then
from hypothesis import given as examples
from hypothesis import settings as trial_settings
from hypothesis import strategies
from support import rollout_fleet
from support import router_world

from rhubarbbank_router import attempt_states
from rhubarbbank_router import effects
from rhubarbbank_router import events

NOT_REPEATABLE = ("book", "note")
FINAL_EFFECTS = (
    effects.FinishAnswer,
    effects.AbortAnswer,
    effects.RelayAnswer,
    effects.RefuseRequest,
)
HEADS = {
    "head": {"confidence": 90},
    "unsure": {"confidence": 5},
    "fail": {"status": 500},
    "refuse": {"status": 503, "refused": True},
    "foreign": {"genuine": False},
}
# One request mostly, so that a history goes deep.
ROUTES = strategies.lists(strategies.integers(0, 5), min_size=1, max_size=2)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "head",
                "head",
                "data",
                "data",
                "data",
                "broken",
                "unsure",
                "fail",
                "refuse",
                "foreign",
                "data",
                "half",
                "complete",
                "broken",
                "unreached",
                "leave",
                "time",
                "unlist",
                "list",
            ]
        ),
        strategies.integers(0, 5),
        strategies.integers(0, 3),
    ),
    max_size=60,
)


class History:
    """Plays steps against a router, and checks it after each."""

    def __init__(self):
        self.world = router_world.World()
        self.world.start(3)
        self.routes = {}
        self.events = {}

    def play(self, step, choice, back):
        world = self.world
        if step == "ask":
            route = ("look", "book", "chat", "note", "chat", "look")[choice]
            self.routes[world.ask(route)] = route
        elif step == "time":
            world.configure(world.state.active_configuration)
            world.run(0.05 * (1 + choice * choice))
        elif step == "unlist":
            world.apply(events.UpstreamUnlisted(f"up-{choice % 3}"))
        elif step == "list":
            listed = router_world.build_upstream(choice % 3)
            world.apply(events.UpstreamChanged(listed))
        elif self.routes:
            self.play_upstream(step, choice, back)

    def play_upstream(self, step, choice, back):
        """An event of one of a request's attempts, also of an ended one."""
        request = list(self.routes)[choice % len(self.routes)]
        sent = self.world.sent(request)
        if step == "leave":
            self.world.apply(events.CallerLeft(request))
            return
        if not sent:
            return
        attempt = sent[max(0, len(sent) - 1 - back)].attempt
        key = (request, attempt)
        if step in HEADS and key not in self.events:
            self.send_head(key, step, choice)
        elif step in ("data", "half") and self.events.get(key):
            self.send_data(key, step)
        elif step in ("complete", "broken", "unreached"):
            self.world.apply(
                events.UpstreamEnded(
                    request_id=request,
                    attempt=attempt,
                    end=events.AttemptEnd(step),
                )
            )

    def send_head(self, key, step, choice):
        """An upstream's head; some begin with an event that is known."""
        first = max(1, self.find_start(*key) - choice % 2)
        self.events[key] = first if step in ("head", "unsure") else 0
        found = {"request_id": key[0], "attempt": key[1], "status": 200}
        self.world.apply(events.UpstreamHead(**found | HEADS[step]))

    def send_data(self, key, step):
        """The next event, or half of it and then no more."""
        number = self.events[key]
        data = router_world.build_event(number)
        self.events[key] = number + 1
        if step == "half":
            self.events[key] = 0
            data = data[:9]
        self.world.apply(events.UpstreamData(*key, data))

    def find_start(self, request, attempt):
        """An upstream goes on after the event that it was told."""
        (sending,) = (
            x for x in self.world.sent(request) if x.attempt == attempt
        )
        return int(sending.resume_after or 0) + 1

    def check(self):
        world = self.world
        for request, route in self.routes.items():
            self.check_request(request, route)
        open_attempts = sum(
            opened.current_attempt is not None
            for opened in world.state.open_requests.values()
        )
        in_flight = sum(x.in_flight for x in world.state.view.tracked.values())
        assert in_flight <= open_attempts, (in_flight, open_attempts)

    def check_request(self, request, route):
        answers = self.world.answers(request)
        final = [x for x in answers if isinstance(x, FINAL_EFFECTS)]
        assert len(final) <= 1, final
        assert not final or answers[-1] is final[0], answers
        numbers = self.world.written_event_ids(request)
        assert numbers == list(range(1, len(numbers) + 1)), numbers
        opened = self.world.state.open_requests.get(request)
        if opened is None:
            return
        assert not final, final
        runs = attempt_states.count_possible_runs(opened.attempts)
        if route in NOT_REPEATABLE:
            assert runs <= 1, opened.attempts
        assert runs <= opened.route.max_attempts, opened.attempts
        assert sum(x.open for x in opened.attempts) <= 1, opened.attempts


class RefusalWatch:
    """Remembers what is known of each request when it is refused."""

    def __init__(self, history):
        self.history = history
        self.states = {}

    def remember(self):
        for request, opened in self.history.world.state.open_requests.items():
            self.states[request] = [x.state for x in opened.attempts]

    def check(self):
        proofs = attempt_states.NOT_RUN_STATES
        for request in self.history.routes:
            for answer in self.history.world.answers(request):
                refused = isinstance(answer, effects.RefuseRequest)
                if not refused or answer.status != 503:
                    continue
                # All but the attempt that this very step ended.
                earlier = self.states.get(request, [])[:-1]
                assert all(x in proofs for x in earlier), (request, earlier)


@then("in {count:d} generated histories every request keeps its promises")
def check_attempts(context, count):
    @trial_settings(max_examples=count, deadline=None, derandomize=True)
    @examples(ROUTES, STEPS)
    def check(routes, steps):
        history = History()
        watch = RefusalWatch(history)
        asked = [("ask", route, 0) for route in routes]
        for step, choice, back in [*asked, *steps]:
            watch.remember()
            history.play(step, choice, back)
            history.check()
            watch.check()
        history.world.run(10.5)
        assert not history.world.state.open_requests

    check()


@then("in {count:d} generated histories a roll-out's record never goes back")
def check_records(context, count):
    for seed in range(count):
        fleet = rollout_fleet.RolloutFleet(rng=random.Random(seed))
        fleet.run(30.0)
        fleet.check()
    states = rollout_fleet.RolloutFleet.outcomes
    print(f"outcomes: {states}")
    assert states["completed"] > count / 10, states
    assert states["rolled_back"] > count / 10, states
