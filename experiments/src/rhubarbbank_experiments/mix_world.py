"""Plays the requests of a mix through real routers in simulated time.

The entries are the product's reducers, as they run in its processes; network,
engines, services and callers are simulated. Nothing here takes real time, so
that a run is the same each time and arms are compared pair by pair.
"""

from collections.abc import Sequence
import functools
from typing import Any
from typing import cast

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_experiments import mix_arms
from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_callers
from rhubarbbank_experiments import mix_clock
from rhubarbbank_experiments import mix_settings
from rhubarbbank_experiments import mix_site
from rhubarbbank_experiments import mix_upstreams
from rhubarbbank_router import callers
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import router

MS_PER_S = 1000.0
# Each entry reads the configuration this often, as over a store's watch.
CONFIGURATION_PERIOD_S = 1.0
# Requests begin to come when entries have read all that they need.
START_S = 1.0
# After the last request, for answers that are still under way.
AFTER_S = 25.0
# A refused caller comes back once.
MOST_REFUSALS = 1


class MixWorld:
    """One arm, one mix, one seed.

    Attributes:
        mix: The site.
        telling: What the entries hear of one another's work.
        clock: Simulated time.
        routers: The entries.
        upstreams: What answers them.
        callers: What each request got, by number.
    """

    def __init__(
        self,
        *,
        mix: mix_settings.Mix,
        arm: mix_arms.Arm,
        arrivals: Sequence[mix_arrivals.Arrival],
        seed: int,
        trouble: mix_upstreams.Trouble = mix_upstreams.NO_TROUBLE,
    ) -> None:
        self.mix = mix
        self.telling = arm.telling
        self.clock = mix_clock.Clock()
        self.routers: list[router.Router] = [
            arm.build(
                settings=mix_site.build_settings(mix, number),
                number=number,
                seed=seed,
            )
            for number in range(mix.entries)
        ]
        self.upstreams = mix_upstreams.MixUpstreams(
            mix=mix, clock=self.clock, arrivals=arrivals, hear=self.step
        )
        self.upstreams.schedule_trouble(trouble)
        self.arrivals = arrivals
        self.callers = {
            x.number: mix_callers.Caller(arrival=x, asked_at=START_S + x.at)
            for x in arrivals
        }

    def run(self) -> None:
        """Plays everything."""
        for number in range(len(self.routers)):
            self.start_entry(number)
        for caller in self.callers.values():
            self.clock.at(caller.asked_at, functools.partial(self.ask, caller))
        last = self.arrivals[-1].at if self.arrivals else 0.0
        self.clock.run(until=START_S + last + AFTER_S)

    # Entries.

    def start_entry(self, number: int) -> None:
        """Tells an entry all that it reads at its start, and lets it tick."""
        listed = tuple(x.listed for x in self.upstreams.hosts.values())
        self.step(number, events.RolloutsListed(()))
        self.step(number, events.UpstreamsListed(listed))
        self.step(
            number, events.EntriesListed(mix_site.list_peers(self.mix, number))
        )
        self.read_configuration(number)
        phase_s = defaults.TICK_S * number / len(self.routers)
        self.clock.at(phase_s, lambda: self.tick(number))

    def read_configuration(self, number: int) -> None:
        """Lets an entry read the configuration, again and again."""
        found = mix_site.build_configuration(self.mix)
        self.step(
            number,
            events.ConfigurationRead(asked_at=self.clock.now, found=found),
        )
        self.clock.after(
            CONFIGURATION_PERIOD_S, lambda: self.read_configuration(number)
        )

    def tick(self, number: int) -> None:
        """Lets an entry's time pass."""
        self.step(number, core_events.Ticked())
        self.clock.after(defaults.TICK_S, lambda: self.tick(number))

    def step(self, number: int, event: events.AnyEvent) -> None:
        """Hands an event to an entry and does what it says."""
        for effect in self.routers[number].step(
            now=self.clock.now, event=event
        ):
            self.apply(number, effect)

    def apply(self, number: int, effect: effects.Effect) -> None:
        """Does what an entry says; logs and counts are nothing here."""
        match effect:
            case effects.SendAttempt():
                self.upstreams.send(number, effect)
            case effects.CancelAttempt(request_id, attempt):
                self.upstreams.cancel((number, request_id, attempt))
            case effects.WriteAnswer(request_id, data):
                caller = self.find_caller(request_id)
                caller.model = mix_upstreams.read_model(data)
                caller.note_event(self.clock.now)
            case effects.FinishAnswer(request_id):
                self.finish(request_id, mix_upstreams.OK)
            case effects.RelayAnswer(request_id=request_id, status=status):
                self.find_caller(request_id).note_event(self.clock.now)
                self.finish(request_id, status)
            case effects.RefuseRequest(
                request_id=request_id, retry_after_s=retry_after_s
            ):
                self.refuse(request_id, retry_after_s)
            case core_effects.Send(address, news):
                self.send_news(address, news)
            case _:
                pass

    def send_news(self, address: str, news: core_effects.Message) -> None:
        """Carries a message to another entry, as far as the arm tells it."""
        match self.telling, news:
            case mix_arms.Telling.AT_ONCE, _:
                pass
            case _, messages.LoadUpdate():
                return
            case mix_arms.Telling.NOTHING, messages.Heartbeat():
                news = msgspec.structs.replace(news, loads=())
        peer = mix_site.find_entry(address)
        # The event's type names the core's messages only.
        heard = core_events.MessageReceived(cast("Any", news))
        self.clock.after(
            self.mix.network.far_ms / MS_PER_S,
            lambda: self.step(peer, heard),
        )

    # Callers.

    def ask(self, caller: mix_callers.Caller) -> None:
        """Sends a caller's request, or sends it again."""
        arrival = caller.arrival
        refusals = caller.refusals
        entry = (arrival.entry + refusals) % len(self.routers)
        waited_s = self.clock.now - caller.asked_at
        request = callers.IncomingRequest(
            request_id=f"{arrival.number}.{refusals}",
            attempt_id=f"{arrival.number}.{refusals}",
            method="POST",
            target=f"/{arrival.wanted.name}/{arrival.number}",
            path=f"/{arrival.wanted.name}/{arrival.number}",
            host=mix_site.HOST,
            timeout_s=arrival.wanted.wait_s - waited_s,
            body=str(arrival.number).encode(),
            generation=arrival.generation,
        )
        self.step(entry, events.RequestArrived(request))

    def find_caller(self, request_id: str) -> mix_callers.Caller:
        """Returns who sent a request."""
        return self.callers[int(request_id.partition(".")[0])]

    def finish(self, request_id: str, status: int) -> None:
        """Ends an answer as complete."""
        self.find_caller(request_id).is_whole = status == mix_upstreams.OK

    def refuse(self, request_id: str, retry_after_s: float | None) -> None:
        """Lets a refused caller come back, once."""
        caller = self.find_caller(request_id)
        caller.refusals += 1
        if retry_after_s is None or caller.refusals > MOST_REFUSALS:
            return
        self.clock.after(retry_after_s, lambda: self.ask(caller))
