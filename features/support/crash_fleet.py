"""Entries, and upstreams that crash when they run one particular request.

Its caller sends it repeatedly, to one entry after the other. A crash
interrupts that attempt and takes the upstream off the list; RESTART_S later
it has restarted.
"""

import dataclasses
import itertools

from rhubarbbank_router import effects
from rhubarbbank_router import events
from support import heartbeat_fleet
from support import router_world

BODY = b"crashes whatever runs it"
CRASH_AFTER_S = 0.02
RESTART_S = 2.5
# Crashes after which the request is refused.
CRASHES_TO_REFUSE = 3


@dataclasses.dataclass(frozen=True)
class CausedCrash:
    """One crash of an upstream that ran the request.

    Attributes:
        sent_at: When the attempt was sent, in seconds.
        entry: Name of the entry that sent it.
        upstream: Id of the upstream.
    """

    sent_at: float
    entry: str
    upstream: str


@dataclasses.dataclass(frozen=True)
class RunningAttempt:
    """An attempt of the request that an upstream is running.

    Attributes:
        ends_at: When the upstream crashes or answers with 500, in seconds.
        world: The entry that sent it.
        effect: The effect by which it was sent.
    """

    ends_at: float
    world: router_world.World
    effect: effects.SendAttempt


class CrashFleet(heartbeat_fleet.HeartbeatFleet):
    """Entries, their upstreams, and the caller of the request.

    Attributes:
        listed: Upstreams by id, as they are listed while they run.
        down: Time of the crash of each upstream that hasn't restarted, by id.
        running: Attempts of the request that upstreams are running.
        route: Name of the request's route.
        key: The caller's API key.
        configuration: The configuration of all entries.
        error_every: Every so many attempts, one is answered with 500 instead
            of a crash; 0 for none.
        attempts_ended: Attempts that crashed an upstream or got a 500.
        crashes_silently: Whether a crash leaves its connections open.
        is_harmless: Whether upstreams survive the request.
        unanswered: The last attempt that an upstream survived, until it is
            answered.
        lists_restarts: Whether crashes and restarts change the list.
        crashes: The crashes that the request caused.
        requests_sent: How often the caller has sent it.
        refusals: The codes with which requests were refused.
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

    def add_entry(self, number, data_centre):
        super().add_entry(number, data_centre)
        world = self.worlds[f"entry-{number}"]
        world.configure(self.configuration)
        world.list_upstreams(
            *(x for n, x in self.listed.items() if n not in self.down)
        )

    def replace(self, name):
        """Kills an entry's process and starts a new one."""
        settings = self.worlds[name].state.settings
        self.add_entry(int(name.rpartition("-")[2]), settings.data_centre)
        self.worlds[name].state.incarnation = int(self.now * 1000)
        self.register_entries()

    def change_key(self):
        """Replaces the only API key of the caller's organisation."""
        self.key = f"key-{self.requests_sent}"
        self.configuration = router_world.build_configuration(
            revision=self.configuration.revision + 1, keys=(self.key,)
        )
        self.configure()

    def configure(self):
        """Has all entries read the configuration."""
        for world in self.worlds.values():
            world.now = self.now
            world.configure(self.configuration)

    # Time.

    def run(self, duration_s, *, measure_age=False):
        end = self.now + duration_s
        while self.now < end:
            self.configure()
            for upstream_id, at in list(self.down.items()):
                if self.now >= at + RESTART_S:
                    self.restart_upstream(upstream_id)
            for attempt in [x for x in self.running if x.ends_at <= self.now]:
                self.running.remove(attempt)
                self.end_attempt(attempt)
            super().run(heartbeat_fleet.STEP_S, measure_age=measure_age)

    def send(self, world):
        for effect in world.effects:
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
        """Crashes the upstream of an attempt, or has it answer with 500."""
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
        """Answers the last attempt that an upstream survived."""
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
        """Called at each crash; a hook for subclasses."""

    def end_exchange(self, attempt, end):
        """Ends the exchange of an attempt with its upstream."""
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
        """Marks an upstream as crashed, and takes it off the list."""
        if not self.lists_restarts:
            return
        self.down[upstream_id] = self.now
        if self.crashes_silently:
            # It restarts before its entry in the list expires.
            return
        for world in self.worlds.values():
            world.now = self.now
            world.apply(events.UpstreamUnlisted(upstream_id))

    def restart_upstream(self, upstream_id):
        """Restarts a crashed upstream under the same id."""
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
        """Sends the request to the next entry by name; returns its name."""
        name = next(self.names)
        self.send_request(name)
        return name

    def send_request(self, name):
        """Sends the request to an entry."""
        world = self.worlds[name]
        world.now = self.now
        self.requests_sent += 1
        world.ask(self.route, key=self.key, body=BODY)
        self.send(world)

    def interrupt_others(self, count):
        """Interrupts this many other requests at each entry."""
        for world in self.worlds.values():
            world.now = self.now
            for _ in range(count):
                world.end(world.ask("note", key=self.key), "broken")
            self.send(world)

    # Checks.

    def count_late(self, after_s):
        """Counts attempts sent later than this after the third crash."""
        if len(self.crashes) < CRASHES_TO_REFUSE:
            return 0
        known_at = self.crashes[CRASHES_TO_REFUSE - 1].sent_at + CRASH_AFTER_S
        return sum(x.sent_at > known_at + after_s for x in self.crashes)

    def list_log_lines(self, decision):
        return [line for _, line in self.decisions if line.decision == decision]
