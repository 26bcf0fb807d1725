"""Generated histories of the router: attempts, and records of roll-outs."""

import random

from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from support import hedge_fleet
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
    "confident_head": {"confidence": 90},
    "unsure_head": {"confidence": 5},
    "server_error": {"status": 500},
    "refuse": {"status": 503, "refused": True},
    "not_genuine": {"genuine": False},
}
# One or two requests in a history, so that each of them gets many steps.
ROUTES = strategies.lists(strategies.integers(0, 5), min_size=1, max_size=2)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "confident_head",
                "confident_head",
                "data",
                "data",
                "data",
                "broken",
                "unsure_head",
                "server_error",
                "refuse",
                "not_genuine",
                "data",
                "partial_event",
                "complete",
                "broken",
                "unreached",
                "caller_left",
                "advance_clock",
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
    """Applies generated steps to a router, and checks its invariants.

    Attributes:
        world: The router and its environment.
        routes: Route of each request, by request id.
        next_events: Number of the next event of each attempt's stream, by
            request id and attempt number; 0 if none follows.
        hedges: Whether slow requests get a second attempt.
        hedged: Number of steps after which a request had two.
    """

    def __init__(self, *, hedges=False):
        self.world = router_world.World()
        if hedges:
            self.world = hedge_fleet.build_world(0, 1, 0.2)
        self.world.start(3)
        self.hedges = hedges
        self.routes = {}
        self.next_events = {}
        self.hedged = 0

    def apply_step(self, step, choice, attempts_back):
        world = self.world
        if step == "ask":
            route = ("look", "book", "chat", "note", "chat", "look")[choice]
            self.routes[world.ask(route)] = route
        elif step == "advance_clock":
            world.configure(world.state.active_configuration)
            if self.hedges:
                hedge_fleet.learn_times(world, 0.05)
            world.run(0.05 * (1 + choice * choice))
        elif step == "unlist":
            world.apply(events.UpstreamUnlisted(f"up-{choice % 3}"))
        elif step == "list":
            listed = router_world.build_upstream(choice % 3)
            world.apply(events.UpstreamChanged(listed))
        elif self.routes:
            self.apply_upstream_step(step, choice, attempts_back)

    def apply_upstream_step(self, step, choice, attempts_back):
        """Applies an event of a request or of one of its attempts.

        The attempt may have ended already, so that the event is late.
        """
        request = list(self.routes)[choice % len(self.routes)]
        sent = self.world.sent(request)
        if step == "caller_left":
            self.world.apply(events.CallerLeft(request))
            return
        if not sent:
            return
        attempt = sent[max(0, len(sent) - 1 - attempts_back)].attempt
        key = (request, attempt)
        if step in HEADS and key not in self.next_events:
            self.send_head(key, step, choice)
        elif step in ("data", "partial_event") and self.next_events.get(key):
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
        """Sends an upstream's head.

        The stream may start with an event that the caller already has.
        """
        first = max(1, self.find_first_event(*key) - choice % 2)
        self.next_events[key] = (
            first if step in ("confident_head", "unsure_head") else 0
        )
        fields = {"request_id": key[0], "attempt": key[1], "status": 200}
        self.world.apply(events.UpstreamHead(**fields | HEADS[step]))

    def send_data(self, key, step):
        """Sends the next event; a partial one ends the attempt's data."""
        number = self.next_events[key]
        data = router_world.build_event(number)
        self.next_events[key] = number + 1
        if step == "partial_event":
            self.next_events[key] = 0
            data = data[:9]
        self.world.apply(events.UpstreamData(*key, data))

    def find_first_event(self, request, attempt):
        """Returns the number of the event at which an attempt's stream starts.

        An upstream resumes after the event that the router has named.
        """
        (sent_attempt,) = (
            x for x in self.world.sent(request) if x.attempt == attempt
        )
        return int(sent_attempt.resume_after or 0) + 1

    def check(self):
        world = self.world
        for request, route in self.routes.items():
            self.check_request(request, route)
        open_attempts = sum(
            len(opened.open_attempts)
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
        open_attempts = [x for x in opened.attempts if x.open]
        self.hedged += len(open_attempts) > 1
        assert len(open_attempts) <= 1 + self.hedges, opened.attempts
        assert sum(not x.is_hedge for x in open_attempts) <= 1, opened.attempts
        hedges = sum(x.is_hedge for x in opened.attempts)
        assert hedges <= self.hedges, opened.attempts


class RefusalChecker:
    """Checks that requests refused with 503 haven't run.

    Attributes:
        history: The history to check.
        states: States of each request's attempts before the current step, and
            whether they were open.
    """

    def __init__(self, history):
        self.history = history
        self.states = {}

    def record_states(self):
        for request, opened in self.history.world.state.open_requests.items():
            self.states[request] = [(x.state, x.open) for x in opened.attempts]

    def check(self):
        not_run_states = attempt_states.NOT_RUN_STATES
        for request in self.history.routes:
            for answer in self.history.world.answers(request):
                refused = isinstance(answer, effects.RefuseRequest)
                if not refused or answer.status != 503:
                    continue
                # The current step ended the attempt that was open.
                before = self.states.get(request, [])
                earlier = [state for state, is_open in before if not is_open]
                assert len(before) - len(earlier) <= 1, (request, before)
                assert all(x in not_run_states for x in earlier), (
                    request,
                    earlier,
                )


@then("in {count:d} generated histories no request violates an invariant")
def check_attempts(context, count):
    check_histories(count)


@then("the same holds in {count:d} generated histories with hedges")
def check_hedged_attempts(context, count):
    hedged = check_histories(count, hedges=True)
    assert hedged >= count / 2, hedged


def check_histories(count, *, hedges=False):
    hedged = []

    @hypothesis_settings(max_examples=count, deadline=None, derandomize=True)
    @hypothesis_given(ROUTES, STEPS)
    def check(routes, steps):
        history = History(hedges=hedges)
        checker = RefusalChecker(history)
        requests = [("ask", route, 0) for route in routes]
        if hedges:
            requests.append(("advance_clock", 1, 0))
        for step, choice, attempts_back in [*requests, *steps]:
            checker.record_states()
            history.apply_step(step, choice, attempts_back)
            history.check()
            checker.check()
        history.world.run(10.5)
        assert not history.world.state.open_requests
        for tracked in history.world.state.view.tracked.values():
            assert not tracked.attempts, tracked
        hedged.append(bool(history.hedged))

    check()
    return sum(hedged)


@then("in {count:d} generated histories a roll-out's record never regresses")
def check_records(context, count):
    for seed in range(count):
        fleet = rollout_fleet.RolloutFleet(rng=random.Random(seed))
        fleet.run(30.0)
        fleet.check()
    outcomes = rollout_fleet.RolloutFleet.outcomes
    print(f"outcomes: {outcomes}")
    assert outcomes["completed"] > count / 10, outcomes
    assert outcomes["rolled_back"] > count / 10, outcomes
