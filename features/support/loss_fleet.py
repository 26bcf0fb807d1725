"""Entries, and upstreams that lose answers or crash under repeated requests.

A poll is a request that its caller sends again and again. An upstream that
loses its answer goes on: it stays listed, and answers other requests. The
entries' lists of upstreams are confirmed as current while the store is there.
"""

import dataclasses
import math

from rhubarbbank_router import callers
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import store_position
from support import heartbeat_fleet
from support import part_fleet
from support import router_world

LOST_AFTER_S = (0.005, 0.05)
LIST_PERIOD_S = 0.5
LIST_AGE_S = 0.02
POLL_GAP_S = 1.1
# Subjects of the other requests, which spread over the upstreams by these.
SUBJECTS = 64
OK = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class Poll:
    """One sending of a poll by its caller.

    Attributes:
        name: The poll's name.
        entry: The entry that got it.
        arrived_at: When it was sent, in seconds.
        refused: The code with which it was refused, or "".
        retry_after_s: When its caller was told to return.
        is_served: Whether it had a whole answer.
    """

    name: str
    entry: str
    arrived_at: float
    refused: str = ""
    retry_after_s: float | None = None
    is_served: bool = False


class LossFleet(part_fleet.PartFleet):
    """Entries, upstreams, and the callers of polls.

    Attributes:
        end_of_loss: How a lost answer ends: "reset", "close" after its head,
            "event" within an event, "silence", or "caller", who leaves.
        lossy: Names of the polls whose answers are lost.
        fatal: Names of the polls that crash upstreams; these have a subject of
            their own.
        losing_until: Until when answers are lost, in seconds.
        loss_share: Share of the lossy polls' answers that are lost.
        lost_at: When answers were lost.
        poll_crashes: Crashes that fatal polls caused, by time.
        fatal_sent: When, and by which entry, each attempt of a fatal poll was
            sent to an upstream that ran.
        disturbed_until: End of the last fault of each entry, in seconds.
        polls: Polls by the entry's process and request id, which a later
            process may use again.
        parts: The shared parts of the polls' prompts.
        differ: Whether the polls of one name differ, and share only `parts`.
        store_is_away: Whether the store answers nobody.
        keeps_ids: Whether an upstream restarts under its id.
        crash_takes_s: How long a crash goes on to answer others after it has
            ended the connection of its cause, in seconds.
        crashing: When each upstream of these crashes, by id.
        held_events: Events of upstreams for suspended entries, by name.
        confirmed_at: When the lists were last confirmed.
        revision: The store's revision at that time.
    """

    def __init__(self, **given):
        self.end_of_loss = "reset"
        self.lossy = set()
        self.fatal = set()
        self.losing_until = math.inf
        self.loss_share = 1.0
        self.lost_at = []
        self.poll_crashes = []
        self.fatal_sent = []
        self.disturbed_until = {}
        self.polls = {}
        self.parts = ("all", "subject")
        self.differ = False
        self.store_is_away = False
        self.keeps_ids = False
        self.crash_takes_s = 0.0
        self.crashing = {}
        self.held_events = {}
        self.confirmed_at = 0.0
        self.revision = 0
        super().__init__(**given)

    # The store.

    def step_upstreams(self):
        super().step_upstreams()
        for upstream_id, at in list(self.crashing.items()):
            if self.now >= at:
                del self.crashing[upstream_id]
                super().crash_upstream(upstream_id)
        if self.store_is_away:
            return
        if self.now >= self.confirmed_at + LIST_PERIOD_S:
            self.confirm_lists()

    def confirm_lists(self):
        """Tells all entries that their lists of upstreams are current."""
        self.confirmed_at = self.now
        self.revision += 1
        self.apply_to_all(
            events.UpstreamsConfirmed(
                position=store_position.StorePosition(0, self.revision),
                current_at=self.now - LIST_AGE_S,
            )
        )

    def lose_store(self):
        """Has the store answer nobody any more."""
        self.store_is_away = True
        self.apply_to_all(
            events.StoreFailed(events.Subject.UPSTREAMS, "connection reset")
        )

    def apply_to_all(self, event):
        """Applies an event to all entries; none that needs the store."""
        changes = (events.UpstreamChanged, events.UpstreamUnlisted)
        if not (self.store_is_away and isinstance(event, changes)):
            super().apply_to_all(event)

    # Upstreams.

    def apply_to(self, attempt, event):
        """Applies an event of an attempt, once its entry isn't suspended."""
        name = attempt.world.state.settings.name
        if name in self.suspended:
            self.held_events.setdefault(name, []).append((attempt, event))
            return
        super().apply_to(attempt, event)

    def resume(self, name):
        super().resume(name)
        for attempt, event in self.held_events.pop(name, ()):
            super().apply_to(attempt, event)

    def start(self, world, effect):
        super().start(world, effect)
        attempt = self.running[-1]
        poll = self.polls.get((world, effect.request_id))
        if poll is None:
            return
        if poll.name in self.fatal:
            if effect.upstream_id in self.listed:
                self.fatal_sent.append((self.now, poll.entry))
            attempt.crashes_at = attempt.begins_at + self.rng.uniform(
                *part_fleet.CRASH_AFTER_S
            )
        if (
            poll.name in self.lossy
            and self.now < self.losing_until
            and self.rng.random() < self.loss_share
        ):
            attempt.lost_at = attempt.begins_at + self.rng.uniform(
                *LOST_AFTER_S
            )

    def step_attempt(self, attempt):
        if (
            attempt.lost_at is not None
            and attempt.upstream in self.listed
            and self.now >= attempt.lost_at
        ):
            self.lose_answer(attempt)
            return
        super().step_attempt(attempt)

    def lose_answer(self, attempt):
        """Loses the answer of an attempt; its upstream goes on."""
        self.lost_at.append(self.now)
        request_id = attempt.effect.request_id
        match self.end_of_loss:
            case "reset":
                self.end(attempt, events.AttemptEnd.BROKEN)
            case "close":
                self.deliver_head(attempt)
                self.end(
                    attempt, events.AttemptEnd.COMPLETE, ended_by_close=True
                )
            case "event":
                self.deliver_head(attempt)
                cut = router_world.build_event(1)[:-2]
                number = attempt.effect.attempt
                self.apply_to(
                    attempt, events.UpstreamData(request_id, number, cut)
                )
                self.end(
                    attempt, events.AttemptEnd.COMPLETE, ended_by_close=True
                )
            case "silence":
                self.running.remove(attempt)
            case "caller":
                self.running.remove(attempt)
                self.apply_to(attempt, events.CallerLeft(request_id))

    def cut_link(self, entry, upstream_id):
        """Resets all connections between an entry and an upstream."""
        for attempt in list(self.running):
            if attempt.upstream == upstream_id and attempt in self.running:
                name = attempt.world.state.settings.name
                if name == entry:
                    self.lost_at.append(self.now)
                    self.end(attempt, events.AttemptEnd.BROKEN)

    def crash_upstream(self, upstream_id):
        causes = [
            each
            for each in self.running
            if each.upstream == upstream_id
            and each.crashes_at is not None
            and self.now >= each.crashes_at
        ]
        if causes:
            self.poll_crashes.append(self.now)
        if not self.crash_takes_s:
            super().crash_upstream(upstream_id)
            return
        for each in causes:
            self.end(each, events.AttemptEnd.BROKEN)
        self.crashing.setdefault(upstream_id, self.now + self.crash_takes_s)

    def restart_upstream(self, upstream_id):
        if not self.keeps_ids:
            super().restart_upstream(upstream_id)
            return
        del self.down[upstream_id]
        self.unlisted_at.pop(upstream_id, None)
        number = int(upstream_id.removeprefix("up-"))
        self.listed[upstream_id] = router_world.build_upstream(
            number, started_ms=int(self.now * 1000)
        )
        self.apply_to_all(events.UpstreamChanged(self.listed[upstream_id]))

    def begin_leaving(self, upstream_id):
        """Lists an upstream as shutting down."""
        self.listed[upstream_id] = dataclasses.replace(
            self.listed[upstream_id], leaving=True
        )
        self.apply_to_all(events.UpstreamChanged(self.listed[upstream_id]))

    def end_planned(self, upstream_id):
        """Removes an upstream whose shutdown is complete."""
        del self.listed[upstream_id]
        self.apply_to_all(events.UpstreamUnlisted(upstream_id))

    # Callers.

    def poll(self, name="poll", *, entry=None):
        """Sends a poll to an entry, a random one by default."""
        entry = entry or self.rng.choice(sorted(self.worlds))
        world = self.worlds[entry]
        world.now = self.now
        self.request_number += 1
        own = f"{name}-{self.request_number}" if self.differ else name
        parts = self.parts if name in self.lossy else ("all", name)
        generation = callers.GenerationParameters(
            prompt=tuple(
                callers.PromptPart(part_id=x, tokens=100) for x in (*parts, own)
            ),
            prompt_tokens=400,
            max_output_tokens=100,
        )
        key = (world, f"r{world.request_count + 1}")
        self.polls[key] = Poll(name=name, entry=entry, arrived_at=self.now)
        world.ask(self.route, generation=generation, body=own.encode())
        self.send(world)

    def send(self, world):
        for effect in world.effects:
            match effect:
                case effects.RefuseRequest():
                    poll = self.polls.get((world, effect.request_id))
                    if poll is not None:
                        poll.refused = effect.code
                        poll.retry_after_s = effect.retry_after_s
                case effects.FinishAnswer():
                    self.record_served(world, effect.request_id)
                case effects.RelayAnswer() if effect.status == OK:
                    self.record_served(world, effect.request_id)
        super().send(world)

    def record_served(self, world, request_id):
        poll = self.polls.get((world, request_id))
        if poll is not None:
            poll.is_served = True

    def play_polls(self, duration_s, *names, sound_per_s=6.0, gap_s=POLL_GAP_S):
        """Sends polls and sound requests for some time."""
        end = self.now + duration_s
        # Polls of different names come at different times.
        next_polls = {
            name: self.now + gap_s * place / len(names)
            for place, name in enumerate(names)
        }
        next_sound = self.now if sound_per_s else math.inf
        while self.now < end:
            for name in names:
                if self.now >= next_polls[name]:
                    self.poll(name)
                    next_polls[name] += gap_s
            while self.now >= next_sound:
                self.ask_sound(
                    subject=f"subject-{self.rng.randrange(SUBJECTS)}"
                )
                next_sound += self.rng.expovariate(sound_per_s)
            self.on_step()
            self.run(heartbeat_fleet.STEP_S)

    # Checks.

    def list_polls(self, name, *, since):
        """Returns the polls of a name from a time on that have ended."""
        ended_by = self.now - part_fleet.STABLE_S
        return [
            each
            for each in self.polls.values()
            if each.name == name and since <= each.arrived_at < ended_by
        ]

    def count_late_fatal(self):
        """Counts attempts of fatal polls long after the third crash.

        Only those of entries without a recent fault count.
        """
        if len(self.poll_crashes) < FREE_POLL_CRASHES:
            return 0
        known_at = self.poll_crashes[FREE_POLL_CRASHES - 1]
        known_at += part_fleet.STABLE_S
        return sum(
            at > known_at
            and at > self.disturbed_until.get(entry, 0.0) + UNDISTURBED_S
            for at, entry in self.fatal_sent
        )


# Crashes that the users allow before a repeated request must be known.
FREE_POLL_CRASHES = 3
# An entry counts as undisturbed if its last fault ended this long ago.
UNDISTURBED_S = 4.0
