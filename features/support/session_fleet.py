"""Routers in memory whose callers' sessions move between entries.

A roll-out begins while sessions are under way. Heartbeats are delivered a
moment late, and some are lost.
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
    """A session's last run.

    Attributes:
        key: Its name, and what its prompts share.
        version: That its last request ran on; empty before the first.
        ended_at: When that ended.
    """

    key: str
    version: str = ""
    ended_at: float = 0.0


class SessionFleet:
    """Entries that share sessions, and what was seen of the sessions.

    Attributes:
        early: Moves to the target in the first half of the roll-out.
        back: Moves from the target to the version before it.
        on_target: Requests that ran on the target in the first half.
    """

    def __init__(self, *, rng, entries, sessions, places=1, loss=0.0):
        self.rng = rng
        self.loss = loss
        self.places = places
        self.now = 0.0
        self.numbers = itertools.count()
        self.due = []
        self.attempts = {}
        self.early = []
        self.back = []
        self.on_target = 0
        self.worlds = [self.build_world(n) for n in range(entries)]
        self.by_address = {
            x.state.settings.peer_address: x for x in self.worlds
        }
        for number in range(sessions):
            self.after(rng.uniform(0, 6), self.ask, Session(f"s{number}"))

    def build_world(self, number):
        world = router_world.World(
            seed=number + 1,
            name=f"entry-{number}",
            data_centre=f"west-{number % self.places}",
            session_s=SESSION_S,
        )
        world.now = self.now
        world.start(0)
        world.list_upstreams(
            *(router_world.build_upstream(n) for n in range(3))
        )
        return world

    def after(self, delay_s, call, *given):
        entry = (self.now + delay_s, next(self.numbers), call, given)
        heapq.heappush(self.due, entry)

    def run(self, duration_s):
        listed = tuple(
            peers.PeerAddress(
                name=x.state.settings.name,
                address=x.state.settings.peer_address,
            )
            for x in self.worlds
        )
        for world in self.worlds:
            world.apply(events.EntriesListed(listed))
        self.after(ORDER_AT_S, self.order)
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            while self.due and self.due[0][0] <= self.now:
                _, _, call, given = heapq.heappop(self.due)
                call(*given)
            for world in self.worlds:
                self.step(world)

    def order(self):
        for world in self.worlds:
            self.after(self.rng.uniform(0, 0.4), self.tell, world, ORDER)

    def tell(self, world, order):
        world.now = self.now
        world.apply(events.RolloutChanged(order))
        for number in range(10, 13):
            listed = router_world.build_upstream(number, "v2")
            world.apply(events.UpstreamChanged(listed))

    def step(self, world):
        world.now = self.now
        world.configure(world.state.active_configuration)
        begun = len(world.done)
        world.apply(core_events.Ticked())
        self.send(world, begun)

    def send(self, world, begun):
        """Delivers the heartbeats among what a router has just done."""
        for effect in world.done[begun:]:
            if not isinstance(effect, core_effects.Send):
                continue
            peer = self.by_address[effect.address]
            if peer is world or self.rng.random() < self.loss:
                continue
            self.after(
                self.rng.uniform(0, 0.05), self.deliver, peer, effect.message
            )
        del world.done[begun:]

    def deliver(self, world, message):
        world.now = self.now
        world.apply(core_events.MessageReceived(message))

    def ask(self, session):
        """The session's next request, at any entry."""
        world = self.rng.choice(self.worlds)
        world.now = self.now
        begun = len(world.done)
        request = world.ask(
            "chat",
            session=session.key,
            generation=router_world.build_generation(session.key, 1000),
        )
        sending = world.sent(request)[-1]
        number = int(sending.upstream_id.removeprefix("up-"))
        version = "v2" if number >= 10 else "v1"
        self.check(session, version)
        session.version = version
        self.after(0.1, self.answer, world, request, world.done[begun:])
        run_s = self.rng.uniform(0.2, 1.0)
        self.after(run_s, self.end, world, request, session)

    def answer(self, world, request, done):
        """The request's events come; `done` is what its sending led to."""
        self.attempts[world, request] = [x for x in done if self.is_sending(x)]
        self.act(world, request, lambda: world.head(request, confidence=90))
        self.act(world, request, lambda: world.stream(request, 1, 2))

    def end(self, world, request, session):
        self.act(world, request, lambda: world.end(request))
        del self.attempts[world, request]
        session.ended_at = self.now
        self.after(self.rng.uniform(0.1, 7.0), self.ask, session)

    def act(self, world, request, call):
        """Lets the request's upstream act; the world's log is kept short."""
        world.now = self.now
        world.done[:0] = self.attempts[world, request]
        call()
        world.done.clear()

    @staticmethod
    def is_sending(effect):
        return isinstance(effect, effects.SendAttempt)

    def check(self, session, version):
        age_s = self.now - ORDER_AT_S
        first_half = age_s < DURATION_S / 2
        self.on_target += first_half and version == "v2"
        if not session.version or version == session.version:
            return
        if self.now - session.ended_at >= SESSION_S:
            return
        if version == "v2" and first_half:
            self.early.append((round(self.now, 2), session.key))
        if version == "v1":
            self.back.append((round(self.now, 2), session.key))
