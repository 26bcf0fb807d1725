"""The upstreams of a mix and the network before them, in simulated time.

Entries hand attempts over; heads, events and ends come back after the way that
they take. `mix_engine` and `mix_service` say what an upstream does.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import http

from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_clock
from rhubarbbank_experiments import mix_engine
from rhubarbbank_experiments import mix_service
from rhubarbbank_experiments import mix_settings
from rhubarbbank_experiments import mix_site
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0
FAILED = http.HTTPStatus.INTERNAL_SERVER_ERROR
FULL = http.HTTPStatus.SERVICE_UNAVAILABLE
OK = http.HTTPStatus.OK
# What an event tells: the model that made it.
DATA = "data: "

Listener = Callable[[int, events.AnyEvent], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trouble:
    """What goes wrong with the first engine.

    Attributes:
        slowness: Times its usual step, from `begins_s` to `ends_s`.
        crash_at: When it loses everything, and is away until `ends_s`; None
            for never.
        begins_s: When it begins, in seconds.
        ends_s: When it is over.
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


class MixUpstreams:
    """All upstreams, and the attempts that are under way.

    Attributes:
        mix: The site.
        clock: Simulated time.
        arrivals: What chance decided of each request, by number.
        hear: Takes what an upstream says, at the entry that it says it to.
        hosts: The upstreams by id.
        attempts: Where each open attempt is.
        sends: Attempts sent.
        far_tokens: Tokens of prompts sent to another data centre.
    """

    def __init__(
        self,
        *,
        mix: mix_settings.Mix,
        clock: mix_clock.Clock,
        arrivals: Sequence[mix_arrivals.Arrival],
        hear: Listener,
    ) -> None:
        self.mix = mix
        self.clock = clock
        self.arrivals = {x.number: x for x in arrivals}
        self.hear = hear
        self.hosts = {
            listed.upstream_id: Host(listed, engine, service)
            for listed, engine, service in mix_site.build_hosts(mix)
        }
        self.attempts: dict[mix_engine.RunKey, str] = {}
        self.sends = 0
        self.far_tokens = 0

    def find_arrival(
        self, sending: effects.SendAttempt
    ) -> mix_arrivals.Arrival:
        """Returns what chance decided of the request; its body names it."""
        return self.arrivals[int(sending.body)]

    # The network.

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
            facts = self.find_arrival(sending).generation
            self.far_tokens += facts.prompt_tokens if facts else 0
        connect_s = self.mix.network.connect_ms / MS_PER_S + 2.0 * way_s
        self.clock.after(
            connect_s + way_s, lambda: self.receive(key, host, sending)
        )

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
        self.clock.after(
            self.way_s(key[0], host), lambda: self.stop_run(key, host)
        )

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
                self.hear(key[0], event)

        self.clock.after(self.way_s(key[0], host), arrive)

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
            arrival=self.find_arrival(sending),
            model=self.mix.find_model(sending.model),
            priority=sending.priority,
            first_event=after + 1,
        )
        self.clock.after(
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
            self.clock.after(
                engine.begin_step(), lambda: self.end_step(host, engine)
            )

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
        data = f"id: {output.event}\n{DATA}{run.model.name}\n\n".encode()
        self.tell(run.key, host, events.UpstreamData(request_id, attempt, data))
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
        arrival = self.find_arrival(sending)
        number = min(sending.attempt, len(arrival.work_s))
        call = mix_service.Call(key=key, arrival=arrival, number=number)
        self.begin_calls(host, service.submit(call))

    def begin_calls(
        self, host: Host, begun: Sequence[mix_service.Call]
    ) -> None:
        """Lets calls run."""
        for call in begun:
            self.clock.after(
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
        """Lets things go wrong with the first engine, later on."""
        host = next(x for x in self.hosts.values() if x.engine is not None)
        if trouble.slowness > 1.0:
            self.clock.at(
                trouble.begins_s,
                lambda: self.set_slowness(host, trouble.slowness),
            )
            self.clock.at(trouble.ends_s, lambda: self.set_slowness(host, 1.0))
        if trouble.crash_at is not None:
            self.clock.at(trouble.crash_at, lambda: self.crash(host))
            self.clock.at(trouble.ends_s, lambda: self.come_back(host))

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


def read_model(event: bytes) -> str:
    """Returns which model made an event."""
    return event.decode().partition(DATA)[2].strip()
