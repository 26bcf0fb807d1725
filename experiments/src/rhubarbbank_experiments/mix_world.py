"""Plays the requests of a mix through real routers in simulated time.

The entries are the product's reducers, as they run in its processes; network,
engines, services and callers are simulated. Nothing here takes real time, so
that a run is the same each time and arms are compared pair by pair.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import heapq
import itertools
from typing import Any
from typing import cast

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_experiments import mix_arms
from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_callers
from rhubarbbank_experiments import mix_engine
from rhubarbbank_experiments import mix_service
from rhubarbbank_experiments import mix_settings
from rhubarbbank_experiments import mix_site
from rhubarbbank_router import callers
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import router
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0
# Each entry reads the configuration this often, as over a store's watch.
CONFIGURATION_PERIOD_S = 1.0
# Requests begin to come when entries have read all that they need.
START_S = 1.0
# After the last request, for answers that are still under way.
AFTER_S = 25.0
# A refused caller comes back once.
MOST_REFUSALS = 1
FAILED = 500
FULL = 503
OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trouble:
    """What goes wrong with the first engine.

    Attributes:
        slowness: Times its usual step, from `begins_s` to `ends_s`.
        crash_at: When it loses everything, and is away until `ends_s`; None
            for never.
        begins_s: In seconds after the first request may come.
        ends_s: Likewise.
    """

    slowness: float = 1.0
    crash_at: float | None = None
    begins_s: float = 0.0
    ends_s: float = 0.0


NO_TROUBLE = Trouble()


@dataclasses.dataclass(slots=True, eq=False)
class Host:
    """An upstream and where it stands.

    Attributes:
        listed: As the platform lists it.
        engine: What runs there, if it runs models.
        service: What runs there otherwise.
        is_stepping: Whether an engine's step is under way.
        is_away: Whether nothing listens there.
    """

    listed: upstreams.Upstream
    engine: mix_engine.Engine | None
    service: mix_service.Service | None
    is_stepping: bool = False
    is_away: bool = False


class MixWorld:
    """One arm, one mix, one seed.

    Attributes:
        mix: The site.
        now: Simulated time in seconds.
        routers: The entries.
        hosts: The upstreams by id.
        callers: What each request got, by number.
        sends: Attempts sent.
        far_sends: Attempts sent to another data centre.
        tokens_sent: Tokens of prompts sent to another data centre.
    """

    def __init__(
        self,
        *,
        mix: mix_settings.Mix,
        arm: mix_arms.Arm,
        arrivals: Sequence[mix_arrivals.Arrival],
        seed: int,
        trouble: Trouble = NO_TROUBLE,
    ) -> None:
        self.mix = mix
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.routers: list[router.Router] = [
            arm.build(
                settings=mix_site.build_settings(mix, number),
                number=number,
                seed=seed,
            )
            for number in range(mix.entries)
        ]
        self.hosts = {
            listed.upstream_id: Host(listed, engine, service)
            for listed, engine, service in mix_site.build_hosts(mix)
        }
        self.arrivals = arrivals
        self.callers = {
            x.number: mix_callers.Caller(arrival=x, asked_at=START_S + x.at)
            for x in arrivals
        }
        self.attempts: dict[mix_engine.RunKey, str] = {}
        self.sends = 0
        self.far_sends = 0
        self.far_tokens = 0
        self.schedule_trouble(trouble)

    # Time.

    def at(self, time: float, act: Callable[[], None]) -> None:
        """Lets something happen at a time."""
        heapq.heappush(self.queue, (time, next(self.order), act))

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Lets something happen after a while."""
        self.at(self.now + delay_s, act)

    def run(self) -> None:
        """Plays everything."""
        for number in range(len(self.routers)):
            self.start_entry(number)
        for caller in self.callers.values():
            self.at(caller.asked_at, functools.partial(self.ask, caller))
        last = self.arrivals[-1].at if self.arrivals else 0.0
        end = START_S + last + AFTER_S
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()

    # Entries.

    def start_entry(self, number: int) -> None:
        """Tells an entry all that it reads at its start, and lets it tick."""
        listed = tuple(x.listed for x in self.hosts.values())
        self.step(number, events.RolloutsListed(()))
        self.step(number, events.UpstreamsListed(listed))
        self.step(
            number, events.EntriesListed(mix_site.list_peers(self.mix, number))
        )
        self.read_configuration(number)
        phase_s = defaults.TICK_S * number / len(self.routers)
        self.at(phase_s, lambda: self.tick(number))

    def read_configuration(self, number: int) -> None:
        """Lets an entry read the configuration, again and again."""
        found = mix_site.build_configuration(self.mix)
        self.step(
            number,
            events.ConfigurationRead(asked_at=self.now, found=found),
        )
        self.after(
            CONFIGURATION_PERIOD_S, lambda: self.read_configuration(number)
        )

    def tick(self, number: int) -> None:
        """Lets an entry's time pass."""
        self.step(number, core_events.Ticked())
        self.after(defaults.TICK_S, lambda: self.tick(number))

    def step(self, number: int, event: events.AnyEvent) -> None:
        """Hands an event to an entry and does what it says."""
        for effect in self.routers[number].step(now=self.now, event=event):
            self.apply(number, effect)

    def apply(self, number: int, effect: effects.Effect) -> None:
        """Does what an entry says; logs and counts are nothing here."""
        match effect:
            case effects.SendAttempt():
                self.send(number, effect)
            case effects.CancelAttempt(request_id, attempt):
                self.cancel((number, request_id, attempt))
            case effects.WriteAnswer(request_id):
                self.find_caller(request_id).note_event(self.now)
            case effects.FinishAnswer(request_id):
                self.finish(request_id, OK)
            case effects.RelayAnswer(request_id=request_id, status=status):
                self.find_caller(request_id).note_event(self.now)
                self.finish(request_id, status)
            case effects.RefuseRequest(
                request_id=request_id, retry_after_s=retry_after_s
            ):
                self.refuse(request_id, retry_after_s)
            case core_effects.Send(address, messages.EntryNews() as news):
                peer = mix_site.find_entry(address)
                # The event's type names the core's messages only.
                heard = core_events.MessageReceived(cast("Any", news))
                self.after(
                    self.mix.network.far_ms / MS_PER_S,
                    lambda: self.step(peer, heard),
                )
            case _:
                pass

    # Callers.

    def ask(self, caller: mix_callers.Caller) -> None:
        """Sends a caller's request, or sends it again."""
        arrival = caller.arrival
        refusals = caller.refusals
        entry = (arrival.entry + refusals) % len(self.routers)
        waited_s = self.now - caller.asked_at
        request = callers.IncomingRequest(
            request_id=f"{arrival.number}.{refusals}",
            attempt_id=f"{arrival.number}.{refusals}",
            method="POST",
            target=f"/{arrival.wanted.name}/{arrival.number}",
            path=f"/{arrival.wanted.name}/{arrival.number}",
            host=mix_site.HOST,
            wait_s=arrival.wanted.wait_s - waited_s,
            body=str(arrival.number).encode(),
            generation=arrival.generation,
        )
        self.step(entry, events.RequestArrived(request))

    def find_caller(self, request_id: str) -> mix_callers.Caller:
        """Returns who sent a request."""
        return self.callers[int(request_id.partition(".")[0])]

    def finish(self, request_id: str, status: int) -> None:
        """Ends an answer as complete."""
        self.find_caller(request_id).is_whole = status == OK

    def refuse(self, request_id: str, retry_after_s: float | None) -> None:
        """Lets a refused caller come back, once."""
        caller = self.find_caller(request_id)
        caller.refusals += 1
        if retry_after_s is None or caller.refusals > MOST_REFUSALS:
            return
        self.after(retry_after_s, lambda: self.ask(caller))

    # Upstreams.

    def way_s(self, number: int, host: Host) -> float:
        """Returns the one-way latency between an entry and an upstream."""
        network = self.mix.network
        near = mix_site.place_of(self.mix, number) == host.listed.data_centre
        return (network.near_ms if near else network.far_ms) / MS_PER_S

    def send(self, number: int, sending: effects.SendAttempt) -> None:
        """Opens a connection and sends an attempt over it."""
        host = self.hosts[sending.upstream_id]
        key = (number, sending.request_id, sending.attempt)
        self.attempts[key] = sending.upstream_id
        self.sends += 1
        way_s = self.way_s(number, host)
        if host.listed.data_centre != mix_site.place_of(self.mix, number):
            self.far_sends += 1
            facts = self.find_caller(sending.request_id).arrival.generation
            self.far_tokens += facts.prompt_tokens if facts else 0
        connect_s = self.mix.network.connect_ms / MS_PER_S + 2.0 * way_s
        self.after(connect_s + way_s, lambda: self.receive(key, host, sending))

    def receive(
        self,
        key: mix_engine.RunKey,
        host: Host,
        sending: effects.SendAttempt,
    ) -> None:
        """Takes an attempt at its upstream."""
        if key not in self.attempts:
            return
        if host.is_away:
            self.end(key, host, events.AttemptEnd.UNREACHED)
            return
        if host.engine is not None:
            self.submit_run(key, host, host.engine, sending)
        elif host.service is not None:
            self.submit_call(key, host, host.service, sending)

    def cancel(self, key: mix_engine.RunKey) -> None:
        """Closes an attempt's connection."""
        upstream_id = self.attempts.pop(key, None)
        if upstream_id is None:
            return
        host = self.hosts[upstream_id]
        self.after(self.way_s(key[0], host), lambda: self.stop_run(key, host))

    def stop_run(self, key: mix_engine.RunKey, host: Host) -> None:
        """Ends the work on an attempt whose connection was closed."""
        if host.engine is not None:
            host.engine.cancel(key)
        if host.service is not None:
            self.begin_calls(host, host.service.remove(key))

    def tell(
        self, key: mix_engine.RunKey, host: Host, event: events.AnyEvent
    ) -> None:
        """Sends what an upstream says on its way to the entry."""

        def arrive() -> None:
            if key in self.attempts:
                self.step(key[0], event)

        self.after(self.way_s(key[0], host), arrive)

    def end(
        self, key: mix_engine.RunKey, host: Host, end: events.AttemptEnd
    ) -> None:
        """Ends an exchange."""
        _, request_id, attempt = key
        self.tell(
            key,
            host,
            events.UpstreamEnded(
                request_id=request_id, attempt=attempt, end=end
            ),
        )

    def tell_head(
        self,
        key: mix_engine.RunKey,
        host: Host,
        *,
        status: int,
        load: upstreams.LoadReport,
        confidence: int | None = None,
    ) -> None:
        """Sends the head of an answer."""
        _, request_id, attempt = key
        self.tell(
            key,
            host,
            events.UpstreamHead(
                request_id=request_id,
                attempt=attempt,
                status=status,
                refused=status == FULL,
                confidence=confidence,
                load=load,
            ),
        )

    # Engines.

    def submit_run(
        self,
        key: mix_engine.RunKey,
        host: Host,
        engine: mix_engine.Engine,
        sending: effects.SendAttempt,
    ) -> None:
        """Queues a run, or refuses it."""
        if engine.is_full:
            self.tell_head(key, host, status=FULL, load=engine.load)
            return
        after = int(sending.resume_after) if sending.resume_after else 0
        run = mix_engine.Run(
            key=key,
            arrival=self.find_caller(sending.request_id).arrival,
            model=self.mix.find_model(sending.model),
            priority=sending.priority,
            first_event=after + 1,
        )
        self.after(
            self.mix.engines.first_ms / MS_PER_S,
            lambda: self.admit_run(host, engine, run),
        )

    def admit_run(
        self, host: Host, engine: mix_engine.Engine, run: mix_engine.Run
    ) -> None:
        """Hands a run to its engine."""
        if run.key not in self.attempts:
            return
        if host.is_away:
            self.end(run.key, host, events.AttemptEnd.BROKEN)
            return
        engine.submit(run)
        if not host.is_stepping:
            self.begin_step(host, engine)

    def begin_step(self, host: Host, engine: mix_engine.Engine) -> None:
        """Lets an engine take its next step, if there is anything to do."""
        host.is_stepping = not engine.is_idle
        if host.is_stepping:
            self.after(engine.begin_step(), lambda: self.end_step(host, engine))

    def end_step(self, host: Host, engine: mix_engine.Engine) -> None:
        """Sends what a step made."""
        for output in engine.end_step():
            self.tell_event(host, engine, output)
        self.begin_step(host, engine)

    def tell_event(
        self,
        host: Host,
        engine: mix_engine.Engine,
        output: mix_engine.Output,
    ) -> None:
        """Sends one event, after the head if it is the first."""
        run = output.run
        _, request_id, attempt = run.key
        if output.event == run.first_event:
            self.tell_head(
                run.key,
                host,
                status=OK,
                load=engine.load,
                confidence=run.arrival.rate_confidence(run.model),
            )
        data = f"id: {output.event}\ndata: {run.model.name}\n\n".encode()
        self.tell(run.key, host, events.UpstreamData(request_id, attempt, data))
        self.find_caller(request_id).model = run.model.name
        if output.is_last:
            self.end(run.key, host, events.AttemptEnd.COMPLETE)

    # Services.

    def submit_call(
        self,
        key: mix_engine.RunKey,
        host: Host,
        service: mix_service.Service,
        sending: effects.SendAttempt,
    ) -> None:
        """Queues a call, or refuses it."""
        if service.is_full:
            self.tell_head(key, host, status=FULL, load=service.load)
            return
        arrival = self.find_caller(sending.request_id).arrival
        number = min(sending.attempt, len(arrival.work_s))
        call = mix_service.Call(key=key, arrival=arrival, number=number)
        self.begin_calls(host, service.submit(call))

    def begin_calls(
        self, host: Host, begun: Sequence[mix_service.Call]
    ) -> None:
        """Lets calls run."""
        for call in begun:
            self.after(
                call.work_s, functools.partial(self.end_call, host, call)
            )

    def end_call(self, host: Host, call: mix_service.Call) -> None:
        """Answers a call that is done."""
        service = host.service
        if service is None or not service.has(call.key):
            return
        begun = service.remove(call.key)
        _, request_id, attempt = call.key
        status = FAILED if call.fails else OK
        self.tell_head(call.key, host, status=status, load=service.load)
        self.tell(
            call.key, host, events.UpstreamData(request_id, attempt, b"done")
        )
        self.end(call.key, host, events.AttemptEnd.COMPLETE)
        self.begin_calls(host, begun)

    # Trouble.

    def schedule_trouble(self, trouble: Trouble) -> None:
        """Lets things go wrong with the first engine."""
        host = next(x for x in self.hosts.values() if x.engine is not None)
        if trouble.slowness > 1.0:
            self.at(
                START_S + trouble.begins_s,
                lambda: self.set_slowness(host, trouble.slowness),
            )
            self.at(
                START_S + trouble.ends_s, lambda: self.set_slowness(host, 1.0)
            )
        if trouble.crash_at is not None:
            self.at(START_S + trouble.crash_at, lambda: self.crash(host))
            self.at(START_S + trouble.ends_s, lambda: self.come_back(host))

    def set_slowness(self, host: Host, slowness: float) -> None:
        """Makes an engine slower, or as fast as before."""
        if host.engine is not None:
            host.engine.slowness = slowness

    def crash(self, host: Host) -> None:
        """Breaks off all that runs at an engine."""
        host.is_away = True
        for run in host.engine.crash() if host.engine else []:
            self.end(run.key, host, events.AttemptEnd.BROKEN)

    def come_back(self, host: Host) -> None:
        """Lets an engine run again, with nothing kept."""
        host.is_away = False
