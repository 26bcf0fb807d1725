"""Entries before upstreams that end when they run one certain request.

Its caller sends it again and again, to one entry after the other. Whatever an
upstream has open breaks off when it ends; some seconds later it is back.
"""

import dataclasses
import itertools

from rhubarbbank_router import effects
from rhubarbbank_router import events
from support import news_fleet
from support import router_world

BODY = b"ends whatever runs it"
RUNS_S = 0.02
BACK_S = 2.5
# Upstreams that may end before the request is known for what it is.
KNOWN_AFTER = 3


@dataclasses.dataclass(frozen=True)
class Sending:
    """One time that the request reached an upstream, which ended.

    Attributes:
        at: When it was sent.
        entry: Who sent it.
        upstream: The upstream.
    """

    at: float
    entry: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class Running:
    """An attempt of the request that an upstream runs.

    Attributes:
        until: When the upstream ends, or fails the attempt.
        world: The entry.
        effect: What it sent.
    """

    until: float
    world: router_world.World
    effect: effects.SendAttempt


class CrashFleet(news_fleet.NewsFleet):
    """Entries, their upstreams, and the caller of the request.

    Attributes:
        listed: Upstreams by id, as they are listed when they run.
        absent: Those that have ended and aren't back, with the time.
        running: Attempts of the request.
        route: The request's route.
        key: The key of its caller.
        configuration: In force at all entries.
        fail_each: Of so many attempts, the last is answered with 500 and ends
            nothing; 0 for none.
        reached: Attempts of the request so far.
        silent: Whether upstreams end without a reset.
        spares: Whether upstreams bear the request.
        spared: The last attempt that an upstream bore; it has no answer yet.
        tells_ends: Whether the list tells of ends and starts of upstreams.
        sendings: Each time that it ended an upstream.
        asked: How often the caller sent it.
        refusals: The codes with which it was refused.
    """

    def __init__(self, *, route="note", upstreams=8, **given):
        self.listed = {
            f"up-{n}": router_world.build_upstream(n, started_ms=1)
            for n in range(upstreams)
        }
        self.absent = {}
        self.running = []
        self.route = route
        self.key = router_world.KEY
        self.configuration = router_world.build_configuration()
        self.fail_each = 0
        self.reached = 0
        self.silent = False
        self.spares = False
        self.spared = None
        self.tells_ends = True
        self.sendings = []
        self.asked = 0
        self.refusals = []
        super().__init__(**given)
        self.names = itertools.cycle(sorted(self.worlds))

    # Entries.

    def build(self, number, place):
        super().build(number, place)
        world = self.worlds[f"entry-{number}"]
        world.configure(self.configuration)
        world.list_upstreams(
            *(x for n, x in self.listed.items() if n not in self.absent)
        )

    def replace(self, name):
        """An entry's process is killed, and another one starts."""
        settings = self.worlds[name].state.settings
        self.build(int(name.rpartition("-")[2]), settings.data_centre)
        self.worlds[name].state.incarnation = int(self.now * 1000)
        self.register()

    def change_key(self):
        """The caller's organisation gets another key, its only one."""
        self.key = f"key-{self.asked}"
        self.configuration = router_world.build_configuration(
            revision=self.configuration.revision + 1, keys=(self.key,)
        )
        self.configure()

    def configure(self):
        """All entries read the configuration."""
        for world in self.worlds.values():
            world.now = self.now
            world.configure(self.configuration)

    # Time.

    def run(self, duration_s, *, look=False):
        end = self.now + duration_s
        while self.now < end:
            self.configure()
            for upstream_id, at in list(self.absent.items()):
                if self.now >= at + BACK_S:
                    self.start_upstream(upstream_id)
            for each in [x for x in self.running if x.until <= self.now]:
                self.running.remove(each)
                self.end_attempt(each)
            super().run(news_fleet.STEP_S, look=look)

    def send(self, world):
        for effect in world.done:
            if isinstance(effect, effects.RefuseRequest):
                self.refusals.append(effect.code)
            ours = isinstance(effect, effects.SendAttempt)
            if not ours or effect.body != BODY:
                continue
            each = Running(self.now + RUNS_S, world, effect)
            if self.spares:
                self.spared = each
            else:
                self.running.append(each)
        super().send(world)

    # Upstreams.

    def end_attempt(self, each):
        """The upstream ends that runs an attempt, or it fails the attempt."""
        self.reached += 1
        effect = each.effect
        if self.fail_each and self.reached % self.fail_each == 0:
            each.world.now = self.now
            each.world.apply(
                events.UpstreamHead(
                    request_id=effect.request_id,
                    attempt=effect.attempt,
                    status=500,
                )
            )
            self.end_exchange(each, events.AttemptEnd.COMPLETE)
            return
        name = each.world.state.settings.name
        sending = Sending(each.until - RUNS_S, name, effect.upstream_id)
        self.sendings.append(sending)
        self.note_sending(sending)
        if not self.silent:
            self.end_exchange(each, events.AttemptEnd.BROKEN)
        self.end_upstream(effect.upstream_id)

    def answer_spared(self):
        """The attempt that an upstream bore has a good answer."""
        each = self.spared
        each.world.now = self.now
        request_id, number = each.effect.request_id, each.effect.attempt
        each.world.apply(
            events.UpstreamHead(
                request_id=request_id, attempt=number, status=200
            )
        )
        event = router_world.build_event(1)
        each.world.apply(events.UpstreamData(request_id, number, event))
        self.end_exchange(each, events.AttemptEnd.COMPLETE)

    def note_sending(self, sending):
        """Takes what is known of the sender now."""

    def end_exchange(self, each, end):
        """An exchange with an upstream ends."""
        each.world.now = self.now
        each.world.apply(
            events.UpstreamEnded(
                request_id=each.effect.request_id,
                attempt=each.effect.attempt,
                end=end,
                detail="Connection reset by peer",
            )
        )
        self.send(each.world)

    def end_upstream(self, upstream_id):
        """The list drops an upstream that has ended."""
        if not self.tells_ends:
            return
        self.absent[upstream_id] = self.now
        if self.silent:
            # It is back before its line lapses.
            return
        for world in self.worlds.values():
            world.now = self.now
            world.apply(events.UpstreamUnlisted(upstream_id))

    def start_upstream(self, upstream_id):
        """An upstream that has ended is back, under its id."""
        del self.absent[upstream_id]
        before = self.listed[upstream_id]
        self.listed[upstream_id] = dataclasses.replace(
            before, started_ms=before.started_ms + 1
        )
        for world in self.worlds.values():
            world.now = self.now
            world.apply(events.UpstreamChanged(self.listed[upstream_id]))

    # Callers.

    def ask_next(self):
        """The caller sends the request to the next entry by name."""
        name = next(self.names)
        self.ask(name)
        return name

    def ask(self, name):
        """The caller sends the request to an entry."""
        world = self.worlds[name]
        world.now = self.now
        self.asked += 1
        world.ask(self.route, key=self.key, body=BODY)
        self.send(world)

    def break_others(self, count):
        """As many other requests break off at each entry."""
        for world in self.worlds.values():
            world.now = self.now
            for _ in range(count):
                world.end(world.ask("note", key=self.key), "broken")
            self.send(world)

    # What must hold.

    def count_late(self, after_s):
        """How often it was sent later than this after the third end."""
        if len(self.sendings) < KNOWN_AFTER:
            return 0
        known_at = self.sendings[KNOWN_AFTER - 1].at + RUNS_S
        return sum(x.at > known_at + after_s for x in self.sendings)

    def list_lines(self, decision):
        return [line for _, line in self.lines if line.decision == decision]
