"""Simulates sessions at several routers in memory during a roll-out.

Each request of a session goes to a random router. The roll-out begins while
sessions are alive. Heartbeats are delayed, and some are lost.
"""

import dataclasses
import heapq
import itertools

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import peers
from rhubarbbank_router import version_trial
from support import router_world

SERVICE = "pool"
STEP_S = 0.1
ORDER_AT_S = 3.0
DURATION_S = 24.0
SESSION_S = 8.5
ORDER = version_trial.RolloutOrder(
    service=SERVICE,
    target="v2",
    duration_s=DURATION_S,
    state=version_trial.OrderState.RUNNING,
    revision=50,
    created_revision=50,
)


@dataclasses.dataclass
class Session:
    """A session of a caller.

    Attributes:
        key: The session's name and the common part of its prompts.
        version: Version that the last request ran on; empty before the first.
        ended_at: When the last request ended.
    """

    key: str
    version: str = ""
    ended_at: float = 0.0


class SessionFleet:
    """Routers that serve the same sessions, and the sessions' moves.

    Attributes:
        early_moves: Moves to the target in the first half of the roll-out, as
            pairs of time and session.
        moves_back: Moves from the target back to the old version.
        target_requests: Requests that ran on the target in the first half.
        send_effects: By router and request, the effects that sent the attempt.
    """

    def __init__(
        self, *, rng, entries, sessions, data_centres=1, loss_rate=0.0
    ):
        self.rng = rng
        self.loss_rate = loss_rate
        self.data_centres = data_centres
        self.now = 0.0
        self.sequence = itertools.count()
        self.scheduled = []
        self.send_effects = {}
        self.early_moves = []
        self.moves_back = []
        self.target_requests = 0
        self.worlds = [self.build_world(n) for n in range(entries)]
        self.world_by_address = {
            x.state.settings.peer_address: x for x in self.worlds
        }
        for number in range(sessions):
            self.schedule(
                rng.uniform(0, 6), self.send_request, Session(f"s{number}")
            )

    def build_world(self, number, incarnation=None, orders=()):
        world = router_world.World(
            seed=incarnation or number + 1,
            name=f"entry-{number}",
            data_centre=f"west-{number % self.data_centres}",
            session_s=SESSION_S,
        )
        world.now = self.now
        world.start(0, orders)
        world.list_upstreams(
            *(router_world.build_upstream(n) for n in range(3))
        )
        return world

    def schedule(self, delay_s, call, *args):
        entry = (self.now + delay_s, next(self.sequence), call, args)
        heapq.heappush(self.scheduled, entry)

    def run(self, duration_s):
        for world in self.worlds:
            world.apply(events.EntriesListed(self.list_entries()))
        self.schedule(ORDER_AT_S, self.issue_order)
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self.scheduled and self.scheduled[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self.scheduled)
                call(*args)
            for world in self.worlds:
                self.step(world)

    def list_entries(self):
        return tuple(
            peers.PeerAddress(
                name=x.state.settings.name,
                address=x.state.settings.peer_address,
            )
            for x in self.worlds
        )

    def issue_order(self):
        for world in self.worlds:
            self.schedule(
                self.rng.uniform(0, 0.4), self.deliver_order, world, ORDER
            )

    def deliver_order(self, world, order):
        world.now = self.now
        world.apply(events.RolloutChanged(order))
        for number in range(10, 13):
            listed = router_world.build_upstream(number, "v2")
            world.apply(events.UpstreamChanged(listed))

    def step(self, world):
        world.now = self.now
        world.configure(world.state.active_configuration)
        begun = len(world.effects)
        world.apply(core_events.Ticked())
        self.deliver_heartbeats(world, begun)

    def deliver_heartbeats(self, world, begun):
        """Schedules delivery of the heartbeats that a router has just sent."""
        for effect in world.effects[begun:]:
            if not isinstance(effect, core_effects.Send):
                continue
            peer = self.world_by_address[effect.address]
            if peer is world or self.rng.random() < self.loss_rate:
                continue
            self.schedule(
                self.rng.uniform(0, 0.05),
                self.deliver_message,
                peer,
                effect.message,
            )
        del world.effects[begun:]

    def deliver_message(self, world, message):
        world.now = self.now
        world.apply(core_events.MessageReceived(message))

    def send_request(self, session):
        """Sends the session's next request to a random router."""
        world = self.rng.choice(self.worlds)
        world.now = self.now
        begun = len(world.effects)
        request = world.ask(
            "chat",
            session=session.key,
            generation=router_world.build_generation(session.key, 1000),
        )
        sending = world.sent(request)[-1]
        number = int(sending.upstream_id.removeprefix("up-"))
        version = "v2" if number >= 10 else "v1"
        self.record_move(session, version)
        session.version = version
        self.schedule(
            0.1, self.start_answer, world, request, world.effects[begun:]
        )
        run_s = self.rng.uniform(0.2, 1.0)
        self.schedule(run_s, self.end_answer, world, request, session)

    def start_answer(self, world, request, done):
        """Starts the answer; `done` holds the effects of sending."""
        self.send_effects[world, request] = [
            x for x in done if self.is_send_attempt(x)
        ]
        self.run_upstream(
            world, request, lambda: world.head(request, confidence=90)
        )
        self.run_upstream(world, request, lambda: world.stream(request, 1, 2))

    def end_answer(self, world, request, session):
        self.run_upstream(world, request, lambda: world.end(request))
        del self.send_effects[world, request]
        session.ended_at = self.now
        self.schedule(self.rng.uniform(0.1, 7.0), self.send_request, session)

    def run_upstream(self, world, request, call):
        """Runs an upstream's action and clears the router's recorded effects.

        The action needs the effects that sent the attempt.
        """
        world.now = self.now
        world.effects[:0] = self.send_effects[world, request]
        call()
        world.effects.clear()

    @staticmethod
    def is_send_attempt(effect):
        return isinstance(effect, effects.SendAttempt)

    def record_move(self, session, version):
        age_s = self.now - ORDER_AT_S
        first_half = age_s < DURATION_S / 2
        self.target_requests += first_half and version == "v2"
        if not session.version or version == session.version:
            return
        if self.now - session.ended_at >= SESSION_S:
            return
        if version == "v2" and first_half:
            self.early_moves.append((round(self.now, 2), session.key))
        if version == "v1":
            self.moves_back.append((round(self.now, 2), session.key))
