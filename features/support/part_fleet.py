"""Entries, and upstreams that crash when they run a part of a prompt.

Sound requests share their other parts with those that hold it. An upstream
begins a request some time after it was sent, streams its events, and crashes
soon after it has begun one that holds the part; that ends every attempt there,
of all entries. It restarts some seconds later under a new id.
"""

import dataclasses
import math

from rhubarbbank_router import callers
from rhubarbbank_router import effects
from rhubarbbank_router import events
from support import heartbeat_fleet
from support import router_world

BAD_PART = "bad0bad0"
BEGIN_S = (0.02, 0.12)
CRASH_AFTER_S = (0.005, 0.1)
RESTART_S = (2.5, 4.0)
# The list drops an upstream after three missed heartbeats.
UNLISTED_AFTER_S = 3.6
UNREACHED_AFTER_S = 0.01
EVENT_S = 0.1
EVENTS = (3, 12)
# Crashes that the users allow before the part must be known.
FREE_CRASHES = 5
# Sound requests are counted from some time after this crash on; the users count
# from the fifth, which a late probe may cause.
SETTLING_CRASHES = 4
# Sound requests with a first part that a check needs.
MIN_SOUND = 20
# Time for the entries to exchange what they know.
STABLE_S = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Running:
    """An attempt at an upstream.

    Attributes:
        world: The entry that sent it.
        effect: The effect by which it was sent.
        upstream: Id of the upstream, which is the id of its incarnation.
        parts: Ids of the prompt's parts.
        sent_at: When it was sent, in seconds.
        begins_at: When the upstream begins to run it.
        crashes_at: When it crashes the upstream; None if it doesn't.
        events_left: Number of events that are still to come.
        next_event_at: When the next one comes.
        has_begun: Whether the upstream has begun it.
        lost_at: When the upstream loses its answer, and goes on; None if it
            doesn't.
    """

    world: router_world.World
    effect: effects.SendAttempt
    upstream: str
    parts: tuple[str, ...]
    sent_at: float
    begins_at: float
    events_left: int
    next_event_at: float
    crashes_at: float | None = None
    has_begun: bool = False
    lost_at: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Sound:
    """A request without the part.

    Attributes:
        first_part: Its prompt's first part.
        arrived_at: When its caller sent it, in seconds.
        has_begun: Whether an upstream began it.
    """

    first_part: str
    arrived_at: float
    has_begun: bool = False


class PartFleet(heartbeat_fleet.HeartbeatFleet):
    """Entries, their upstreams and callers.

    Attributes:
        route: Route of the requests.
        end_of_crash: How a crash ends the attempts: "broken", "silent", or
            "close", as the end of an answer that names no length.
        addresses: Number of upstreams while none has crashed.
        listed: Upstreams that run, by id.
        down: When each crashed upstream restarts, by the id that it had.
        unlisted_at: When the list drops each crashed upstream, by id.
        running: Attempts at upstreams.
        crashes: When the part crashed an upstream, in seconds.
        bad_sent: When each attempt with the part was sent.
        sound: Sound requests, by entry's name and request id.
        refusals: Codes of refused requests, by whether they held the part.
        request_number: Number of requests that callers have sent.
    """

    def __init__(self, *, route="chat", addresses=8, **given):
        self.route = route
        self.end_of_crash = "broken"
        self.addresses = addresses
        self.listed = {
            f"up-{n}": router_world.build_upstream(n, started_ms=1)
            for n in range(addresses)
        }
        self.down = {}
        self.unlisted_at = {}
        self.running = []
        self.crashes = []
        self.bad_sent = []
        self.sound = {}
        self.refusals = []
        self.request_number = 0
        super().__init__(**given)

    # Entries.

    def add_entry(self, number, data_centre):
        super().add_entry(number, data_centre)
        world = self.worlds[f"entry-{number}"]
        world.configure()
        world.list_upstreams(*self.listed.values())

    def replace(self, name):
        """Kills an entry's process and starts a new one."""
        settings = self.worlds[name].state.settings
        self.running = [
            each for each in self.running if each.world is not self.worlds[name]
        ]
        self.add_entry(int(name.rpartition("-")[2]), settings.data_centre)
        self.worlds[name].state.incarnation = int(self.now * 1000)
        self.register_entries()

    # Time.

    def run(self, duration_s, *, measure_age=False):
        end = self.now + duration_s
        while self.now < end:
            for world in self.worlds.values():
                world.now = self.now
                world.configure()
            self.step_upstreams()
            super().run(heartbeat_fleet.STEP_S, measure_age=measure_age)

    def step_upstreams(self):
        """Begins, continues and ends attempts, and restarts upstreams."""
        for each in list(self.running):
            if each in self.running:
                self.step_attempt(each)
        for upstream_id, at in list(self.unlisted_at.items()):
            if self.now >= at:
                del self.unlisted_at[upstream_id]
                self.apply_to_all(events.UpstreamUnlisted(upstream_id))
        for upstream_id, at in list(self.down.items()):
            if self.now >= at:
                self.restart_upstream(upstream_id)

    def step_attempt(self, attempt):
        """Advances one attempt."""
        if attempt.upstream not in self.listed:
            # It was sent after the crash.
            if self.now >= attempt.sent_at + UNREACHED_AFTER_S:
                self.end(attempt, events.AttemptEnd.UNREACHED)
            return
        if not attempt.has_begun and self.now >= attempt.begins_at:
            attempt.has_begun = True
            self.record_begin(attempt)
            self.deliver_head(attempt)
        if attempt.crashes_at is not None and self.now >= attempt.crashes_at:
            self.crash_upstream(attempt.upstream)
            return
        while attempt.has_begun and self.now >= attempt.next_event_at:
            if not attempt.events_left:
                self.end(attempt, events.AttemptEnd.COMPLETE)
                return
            attempt.next_event_at += EVENT_S
            attempt.events_left -= 1
            self.deliver_event(attempt)

    # Attempts.

    def send(self, world):
        for effect in world.effects:
            match effect:
                case effects.SendAttempt():
                    self.start(world, effect)
                case effects.CancelAttempt(request_id, number):
                    self.running = [
                        each
                        for each in self.running
                        if (
                            each.world is not world
                            or each.effect.request_id != request_id
                            or each.effect.attempt != number
                        )
                    ]
                case effects.RefuseRequest():
                    key = (world.state.settings.name, effect.request_id)
                    self.refusals.append((key in self.sound, effect.code))
        super().send(world)

    def start(self, world, effect):
        """Starts an attempt at its upstream."""
        opened = world.state.open_requests[effect.request_id]
        parts = tuple(x.part_id for x in opened.request.generation.prompt)
        begins_at = self.now + self.rng.uniform(*BEGIN_S)
        attempt = Running(
            world=world,
            effect=effect,
            upstream=effect.upstream_id,
            parts=parts,
            sent_at=self.now,
            begins_at=begins_at,
            events_left=self.rng.randrange(*EVENTS),
            next_event_at=begins_at + EVENT_S,
        )
        if BAD_PART in parts[:-1]:
            attempt.crashes_at = begins_at + self.rng.uniform(*CRASH_AFTER_S)
            if effect.upstream_id in self.listed:
                self.bad_sent.append(self.now)
        self.running.append(attempt)

    def record_begin(self, attempt):
        """Records that an upstream has begun a request."""
        name = attempt.world.state.settings.name
        sound = self.sound.get((name, attempt.effect.request_id))
        if sound is not None:
            sound.has_begun = True

    def deliver_head(self, attempt):
        self.apply_to(
            attempt,
            events.UpstreamHead(
                request_id=attempt.effect.request_id,
                attempt=attempt.effect.attempt,
                status=200,
                headers=router_world.HEADERS,
                confidence=90,
            ),
        )

    def deliver_event(self, attempt):
        number = EVENTS[1] - attempt.events_left
        self.apply_to(
            attempt,
            events.UpstreamData(
                attempt.effect.request_id,
                attempt.effect.attempt,
                router_world.build_event(number),
            ),
        )

    def end(self, attempt, end, *, ended_by_close=False):
        """Ends the exchange of an attempt with its upstream."""
        self.running.remove(attempt)
        self.apply_to(
            attempt,
            events.UpstreamEnded(
                request_id=attempt.effect.request_id,
                attempt=attempt.effect.attempt,
                end=end,
                detail="test",
                ended_by_close=ended_by_close,
            ),
        )

    def apply_to(self, attempt, event):
        attempt.world.now = self.now
        attempt.world.apply(event)
        self.send(attempt.world)

    def apply_to_all(self, event):
        for world in self.worlds.values():
            world.now = self.now
            world.apply(event)
            self.send(world)

    # Upstreams.

    def crash_upstream(self, upstream_id):
        """Crashes an upstream and ends all attempts there."""
        self.crashes.append(self.now)
        self.down[upstream_id] = self.now + self.rng.uniform(*RESTART_S)
        self.unlisted_at[upstream_id] = self.now + UNLISTED_AFTER_S
        del self.listed[upstream_id]
        hit = [x for x in self.running if x.upstream == upstream_id]
        for attempt in hit:
            if attempt not in self.running:
                continue
            if self.end_of_crash == "silent":
                self.running.remove(attempt)
            elif self.end_of_crash == "close" and attempt.has_begun:
                self.end(
                    attempt, events.AttemptEnd.COMPLETE, ended_by_close=True
                )
            else:
                self.end(attempt, events.AttemptEnd.BROKEN)

    def restart_upstream(self, upstream_id):
        """Starts the next incarnation of a crashed upstream."""
        del self.down[upstream_id]
        number, _, generation = upstream_id.removeprefix("up-").partition(".")
        after = f"up-{number}.{int(generation or 0) + 1}"
        self.listed[after] = dataclasses.replace(
            router_world.build_upstream(int(number)),
            upstream_id=after,
            started_ms=int(self.now * 1000),
        )
        self.apply_to_all(events.UpstreamChanged(self.listed[after]))

    # Callers.

    def ask_bad(self, first_part="all", entry=None):
        """Sends a new request that holds the part to an entry."""
        subject = f"subject-{self.rng.randrange(4)}"
        self.ask(entry, (first_part, subject, BAD_PART))

    def ask_sound(self, first_part="all", *, entry=None, subject=None):
        """Sends a new request without the part to an entry."""
        subject = subject or f"subject-{self.rng.randrange(4)}"
        name, request_id = self.ask(entry, (first_part, subject))
        self.sound[name, request_id] = Sound(
            first_part=first_part, arrived_at=self.now
        )

    def ask(self, entry, shared_parts):
        """Sends a new request; returns its entry's name and its id."""
        name = entry or self.rng.choice(sorted(self.worlds))
        world = self.worlds[name]
        world.now = self.now
        self.request_number += 1
        own = f"own-{self.request_number}"
        generation = callers.GenerationParameters(
            prompt=tuple(
                callers.PromptPart(part_id=x, tokens=100)
                for x in (*shared_parts, own)
            ),
            prompt_tokens=400,
            max_output_tokens=100,
        )
        request_id = world.ask(
            self.route, generation=generation, body=own.encode()
        )
        return name, request_id

    def play(
        self,
        duration_s,
        *,
        bad_gap_s=0.75,
        bad_first="all",
        sound_per_s=6.0,
        rare_gap_s=None,
    ):
        """Sends requests for some time.

        Args:
            duration_s: How long, in seconds.
            bad_gap_s: Time between requests with the part, in seconds;
                infinite for none.
            bad_first: First part of their prompts.
            sound_per_s: Rate of sound requests with the usual first part.
            rare_gap_s: Time between sound requests with `bad_first`, in
                seconds; None for none. The first comes after the crashes.
        """
        end = self.now + duration_s
        next_bad = math.inf if math.isinf(bad_gap_s) else self.now + STABLE_S
        next_sound = self.now
        next_rare = next_bad + 2 * STABLE_S
        while self.now < end:
            if self.now >= next_bad:
                self.ask_bad(bad_first)
                next_bad += bad_gap_s
            while self.now >= next_sound:
                self.ask_sound()
                next_sound += self.rng.expovariate(sound_per_s)
            if rare_gap_s and self.now >= next_rare:
                self.ask_sound(bad_first)
                next_rare = self.now + self.rng.uniform(0.7, 1.3) * rare_gap_s
            self.on_step()
            self.run(heartbeat_fleet.STEP_S)

    def on_step(self):
        """Called at each step of a play; a hook for subclasses."""

    # Checks.

    def count_late(self):
        """Counts attempts with the part that were sent too late."""
        if len(self.crashes) < FREE_CRASHES:
            return 0
        known_at = self.crashes[FREE_CRASHES - 1] + STABLE_S
        return sum(at > known_at for at in self.bad_sent)

    def count_begun(self, first_part):
        """Returns how many settled sound requests came, and how many began."""
        settled_at = self.crashes[:SETTLING_CRASHES][-1] + 2 * STABLE_S
        came = [
            each
            for each in self.sound.values()
            if each.first_part == first_part
            and each.arrived_at >= settled_at
            and each.arrived_at < self.now - STABLE_S
        ]
        return len(came), sum(each.has_begun for each in came)
