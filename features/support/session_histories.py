"""Sessions during a whole roll-out, at entries that have troubles of their own.

Adds to `session_fleet` what sets marks on upstreams at single entries, entries
that are stopped and started in turn, and targets that are held by mistake or
because they are bad. Troubles hit single entries, so that the others serve what
those can't.
"""

import dataclasses

from rhubarbbank_core import events as core_events
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import version_trial
from support import router_world
from support import session_fleet

UPSTREAMS = 4
FIRST_TARGET = 10
TROUBLE_PERIOD_S = 1.0
TROUBLE_S = (0.5, 2.5)
# Share of the attempts that end unreached at an entry with a bad link.
UNREACHED_RATE = 0.7
# A stop takes this long; the entry is back at once.
STOP_S = 2.5
RESTART_PERIOD_S = 1.5
# Share of the requests after which the caller begins another session.
SESSION_END_RATE = 0.25
HOLD_AT_S = (14.0, 18.0)
# The states of an order that it may have once the outcome is known.
FINAL = version_trial.FINAL_STATES


class SessionHistory(session_fleet.SessionFleet):
    """A roll-out from its order to its end, and the sessions meanwhile.

    Attributes:
        troubles: Names of the troubles that entries have.
        record_s: How long a write of the outcome takes, in seconds.
        is_bad: Whether half of the target's answers fail.
        record: The order as the store has it.
        recorded_at: When the store accepted the outcome; None before.
        held_at: When the first entry held the target; None before.
        bad_until: Until when an entry's link is bad, by name.
        stopping: Names of the entries that callers aren't sent to.
        served: Number of requests that were answered.
        refused: Number of requests that were refused.
        late_target_requests: Requests on the target later than `bound_s`
            after it was held.
        bound_s: How long a bad target may get requests after it was held.
    """

    def __init__(self, *, troubles, record_s=0.0, is_bad=False, **options):
        self.troubles = troubles
        self.record_s = record_s
        self.is_bad = is_bad
        self.record = session_fleet.ORDER
        self.recorded_at = None
        self.held_at = None
        self.bad_until = {}
        self.stopping = set()
        self.served = 0
        self.refused = 0
        self.late_target_requests = 0
        self.bound_s = 5.0
        super().__init__(**options)
        self.schedule(1.0, self.begin_trouble)
        if "restarts" in troubles:
            self.schedule(4.0, self.restart_next, 0)
        if "holds" in troubles:
            self.schedule(self.rng.uniform(*HOLD_AT_S), self.hold_by_mistake)

    # The store.

    def deliver_order(self, world, order):
        super().deliver_order(world, order)
        self.list_target(world)

    def list_target(self, world):
        for number in range(FIRST_TARGET, FIRST_TARGET + UPSTREAMS):
            listed = router_world.build_upstream(number, "v2")
            world.apply(events.UpstreamChanged(listed))

    def step(self, world):
        super().step(world)
        trial = world.state.trials.get(session_fleet.SERVICE)
        if trial is not None and trial.held and self.held_at is None:
            self.held_at = self.now

    def deliver_heartbeats(self, world, begun):
        for effect in world.effects[begun:]:
            if isinstance(effect, effects.RecordRollout):
                self.schedule(self.record_s, self.write_record, effect)
            elif self.is_send_attempt(effect):
                self.send_effects[world, effect.request_id] = [effect]
        super().deliver_heartbeats(world, begun)

    def write_record(self, effect):
        if effect.order.revision != self.record.revision:
            return
        self.record = dataclasses.replace(
            self.record, state=effect.state, revision=self.record.revision + 1
        )
        if effect.state in FINAL:
            self.recorded_at = self.now
        for world in self.worlds:
            self.schedule(
                self.rng.uniform(0.0, 0.05),
                self.deliver_record,
                world,
                self.record,
            )

    def deliver_record(self, world, order):
        if world in self.worlds:
            world.now = self.now
            world.apply(events.RolloutChanged(order))

    # Troubles.

    def begin_trouble(self):
        """Gives an entry a bad link, or marks on all upstreams of a version."""
        self.schedule(TROUBLE_PERIOD_S, self.begin_trouble)
        world = self.rng.choice(self.worlds)
        kind = self.rng.choice(("link", "set aside", "closed"))
        first = self.rng.choice((0, FIRST_TARGET))
        if kind not in self.troubles:
            return
        duration_s = self.rng.uniform(*TROUBLE_S)
        if kind == "link":
            name = world.state.settings.name
            self.bad_until[name] = self.now + duration_s
            return
        for number in range(first, first + UPSTREAMS):
            upstream = f"up-{number}"
            if kind == "closed":
                world.state.view.record_closed(
                    upstream, duration_s, now=self.now
                )
            else:
                world.state.view.record_failure(
                    upstream, now=self.now, weight=10
                )

    def restart_next(self, number):
        """Stops an entry gracefully, and starts it again."""
        world = self.worlds[number % len(self.worlds)]
        self.stopping.add(world.state.settings.name)
        world.now = self.now
        world.apply(core_events.StopRequested())
        self.schedule(STOP_S, self.start_again, world)
        self.schedule(RESTART_PERIOD_S, self.restart_next, number + 1)

    def start_again(self, stopped):
        place = self.worlds.index(stopped)
        is_ordered = self.now >= session_fleet.ORDER_AT_S
        world = self.build_world(
            place,
            incarnation=int(self.now * 1000),
            orders=(self.record,) if is_ordered else (),
        )
        self.worlds[place] = world
        self.world_by_address[world.state.settings.peer_address] = world
        if is_ordered:
            self.list_target(world)
        world.apply(events.EntriesListed(self.list_entries()))
        self.stopping.discard(world.state.settings.name)

    def hold_by_mistake(self):
        """Has one entry hold the target, though it is good."""
        world = self.rng.choice(self.worlds)
        trial = world.state.trials[session_fleet.SERVICE]
        if not trial.is_finished:
            trial.hold(now=self.now)

    # Sessions.

    def send_request(self, session):
        choices = [
            x for x in self.worlds if x.state.settings.name not in self.stopping
        ]
        world = self.rng.choice(choices)
        world.now = self.now
        begun = len(world.effects)
        request = world.ask(
            "chat",
            session=session.key,
            generation=router_world.build_generation(session.key, 1000),
        )
        self.follow(world, request, session, begun)

    def follow(self, world, request, session, begun):
        """Plays what happens to a request that an entry has got."""
        bad = self.now < self.bad_until.get(world.state.settings.name, 0.0)
        tries = 0
        while (
            request in world.state.open_requests
            and bad
            and tries < 8
            and self.rng.random() < UNREACHED_RATE
        ):
            tries += 1
            world.end(request, "unreached")
        if request in world.state.held_requests:
            # The entry is starting; its caller waits.
            self.schedule(0.1, self.follow_held, world, request, session)
            return
        if request not in world.state.open_requests:
            self.refused += 1
            del world.effects[begun:]
            self.schedule(
                self.rng.uniform(0.2, 0.8), self.send_request, session
            )
            return
        self.serve(world, request, session, begun)

    def follow_held(self, world, request, session):
        """Plays what happens to a request that waited for the entry."""
        world.now = self.now
        begun = len(world.effects)
        world.effects += self.send_effects.pop((world, request), [])
        self.follow(world, request, session, begun)
        del world.effects[begun:]

    def serve(self, world, request, session, begun):
        sending = world.sent(request)[-1]
        number = int(sending.upstream_id.removeprefix("up-"))
        version = "v2" if number >= FIRST_TARGET else "v1"
        self.record_move(session, version)
        session.version = version
        self.served += 1
        is_late = (
            self.held_at is not None and self.now - self.held_at > self.bound_s
        )
        self.late_target_requests += is_late and version == "v2"
        self.schedule(
            0.1, self.start_answer, world, request, world.effects[begun:]
        )
        run_s = self.rng.uniform(0.2, 1.0)
        self.schedule(run_s, self.end_answer, world, request, session)

    def start_answer(self, world, request, done):
        """Starts the answer, or fails it; `done` holds the sending effects."""
        if request not in world.state.open_requests:
            return
        sent = [x for x in done if self.is_send_attempt(x)]
        number = int(sent[-1].upstream_id.removeprefix("up-"))
        is_failure = number >= FIRST_TARGET and self.rng.random() < 0.5
        if not (self.is_bad and is_failure):
            super().start_answer(world, request, done)
            return
        world.now = self.now
        world.effects[:0] = sent
        world.head(request, 500)
        if world.sent(request)[-1] is sent[-1]:
            world.end(request)
        done = list(world.effects)
        world.effects.clear()
        self.schedule(0.0, self.start_answer, world, request, done)

    def end_answer(self, world, request, session):
        if (world, request) in self.send_effects:
            self.run_upstream(world, request, lambda: world.end(request))
            del self.send_effects[world, request]
        session.ended_at = self.now
        if self.rng.random() < SESSION_END_RATE:
            session = session_fleet.Session(f"{session.key}+")
        self.schedule(self.rng.uniform(0.1, 7.0), self.send_request, session)

    def record_move(self, session, version):
        rolled_back = (
            self.recorded_at is not None
            and self.record.state is version_trial.OrderState.ROLLED_BACK
        )
        if not rolled_back and not self.is_bad:
            super().record_move(session, version)
