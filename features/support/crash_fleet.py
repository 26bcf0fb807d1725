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
CRASH_AFTER_S = 0.02
RESTART_S = 2.5
# Upstreams that may end before the request is known for what it is.
CRASHES_TO_REFUSE = 3


@dataclasses.dataclass(frozen=True)
class CausedCrash:
    """One time that the request reached an upstream, which ended.

    Attributes:
        at: When it was sent.
        entry: Who sent it.
        upstream: The upstream.
    """

    sent_at: float
    entry: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class RunningAttempt:
    """An attempt of the request that an upstream runs.

    Attributes:
        ends_at: When the upstream ends, or fails the attempt.
        world: The entry.
        effect: What it sent.
    """

    ends_at: float
    world: router_world.World
    effect: effects.SendAttempt


class CrashFleet(news_fleet.NewsFleet):
    """Entries, their upstreams, and the caller of the request.

    Attributes:
        listed: Upstreams by id, as they are listed when they run.
        down: Those that have ended and aren't back, with the time.
        running: Attempts of the request.
        route: The request's route.
        key: The key of its caller.
        configuration: In force at all entries.
        error_every: Of so many attempts, the last is answered with 500 and ends
            nothing; 0 for none.
        attempts_ended: Attempts of the request so far.
        crashes_silently: Whether upstreams end without a reset.
        is_harmless: Whether upstreams bear the request.
        unanswered: The last attempt that an upstream bore, unanswered.
        lists_restarts: Whether the list tells of ends and starts of upstreams.
        crashes: Each time that it ended an upstream.
        requests_sent: How often the caller sent it.
        refusals: The codes with which it was refused.
    """

    def __init__(self, *, route="note", upstreams=8, **given):
        self.listed = {
            f"up-{n}": router_world.build_upstream(n, started_ms=1)
            for n in range(upstreams)
        }
        self.down = {}
        self.running = []
        self.route = route
        self.key = router_world.KEY
        self.configuration = router_world.build_configuration()
        self.error_every = 0
        self.attempts_ended = 0
        self.crashes_silently = False
        self.is_harmless = False
        self.unanswered = None
        self.lists_restarts = True
        self.crashes = []
        self.requests_sent = 0
        self.refusals = []
        super().__init__(**given)
        self.names = itertools.cycle(sorted(self.worlds))

    # Entries.

    def build(self, number, place):
        super().build(number, place)
        world = self.worlds[f"entry-{number}"]
        world.configure(self.configuration)
        world.list_upstreams(
            *(x for n, x in self.listed.items() if n not in self.down)
        )

    def replace(self, name):
        """An entry's process is killed, and another one starts."""
        settings = self.worlds[name].state.settings
        self.build(int(name.rpartition("-")[2]), settings.data_centre)
        self.worlds[name].state.incarnation = int(self.now * 1000)
        self.register()

    def change_key(self):
        """The caller's organisation gets another key, its only one."""
        self.key = f"key-{self.requests_sent}"
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
            for upstream_id, at in list(self.down.items()):
                if self.now >= at + RESTART_S:
                    self.restart_upstream(upstream_id)
            for attempt in [x for x in self.running if x.ends_at <= self.now]:
                self.running.remove(attempt)
                self.end_attempt(attempt)
            super().run(news_fleet.STEP_S, look=look)

    def send(self, world):
        for effect in world.done:
            if isinstance(effect, effects.RefuseRequest):
                self.refusals.append(effect.code)
            ours = isinstance(effect, effects.SendAttempt)
            if not ours or effect.body != BODY:
                continue
            attempt = RunningAttempt(self.now + CRASH_AFTER_S, world, effect)
            if self.is_harmless:
                self.unanswered = attempt
            else:
                self.running.append(attempt)
        super().send(world)

    # Upstreams.

    def end_attempt(self, attempt):
        """The upstream ends that runs an attempt, or it fails the attempt."""
        self.attempts_ended += 1
        effect = attempt.effect
        if self.error_every and self.attempts_ended % self.error_every == 0:
            attempt.world.now = self.now
            attempt.world.apply(
                events.UpstreamHead(
                    request_id=effect.request_id,
                    attempt=effect.attempt,
                    status=500,
                )
            )
            self.end_exchange(attempt, events.AttemptEnd.COMPLETE)
            return
        name = attempt.world.state.settings.name
        crash = CausedCrash(
            attempt.ends_at - CRASH_AFTER_S, name, effect.upstream_id
        )
        self.crashes.append(crash)
        self.on_crash(crash)
        if not self.crashes_silently:
            self.end_exchange(attempt, events.AttemptEnd.BROKEN)
        self.crash_upstream(effect.upstream_id)

    def answer_pending(self):
        """The attempt that an upstream bore has a good answer."""
        attempt = self.unanswered
        attempt.world.now = self.now
        request_id, number = attempt.effect.request_id, attempt.effect.attempt
        attempt.world.apply(
            events.UpstreamHead(
                request_id=request_id, attempt=number, status=200
            )
        )
        event = router_world.build_event(1)
        attempt.world.apply(events.UpstreamData(request_id, number, event))
        self.end_exchange(attempt, events.AttemptEnd.COMPLETE)

    def on_crash(self, crash):
        """Takes what is known of the sender now."""

    def end_exchange(self, attempt, end):
        """An exchange with an upstream ends."""
        attempt.world.now = self.now
        attempt.world.apply(
            events.UpstreamEnded(
                request_id=attempt.effect.request_id,
                attempt=attempt.effect.attempt,
                end=end,
                detail="Connection reset by peer",
            )
        )
        self.send(attempt.world)

    def crash_upstream(self, upstream_id):
        """The list drops an upstream that has ended."""
        if not self.lists_restarts:
            return
        self.down[upstream_id] = self.now
        if self.crashes_silently:
            # It is back before its line lapses.
            return
        for world in self.worlds.values():
            world.now = self.now
            world.apply(events.UpstreamUnlisted(upstream_id))

    def restart_upstream(self, upstream_id):
        """An upstream that has ended is back, under its id."""
        del self.down[upstream_id]
        before = self.listed[upstream_id]
        self.listed[upstream_id] = dataclasses.replace(
            before, started_ms=before.started_ms + 1
        )
        for world in self.worlds.values():
            world.now = self.now
            world.apply(events.UpstreamChanged(self.listed[upstream_id]))

    # Callers.

    def send_next(self):
        """The caller sends the request to the next entry by name."""
        name = next(self.names)
        self.send_request(name)
        return name

    def send_request(self, name):
        """The caller sends the request to an entry."""
        world = self.worlds[name]
        world.now = self.now
        self.requests_sent += 1
        world.ask(self.route, key=self.key, body=BODY)
        self.send(world)

    def interrupt_others(self, count):
        """As many other requests break off at each entry."""
        for world in self.worlds.values():
            world.now = self.now
            for _ in range(count):
                world.end(world.ask("note", key=self.key), "broken")
            self.send(world)

    # What must hold.

    def count_late(self, after_s):
        """How often it was sent later than this after the third end."""
        if len(self.crashes) < CRASHES_TO_REFUSE:
            return 0
        known_at = self.crashes[CRASHES_TO_REFUSE - 1].sent_at + CRASH_AFTER_S
        return sum(x.sent_at > known_at + after_s for x in self.crashes)

    def list_log_lines(self, decision):
        return [line for _, line in self.lines if line.decision == decision]
