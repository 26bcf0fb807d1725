"""A simulated router for tests, with a clock that the test advances.

Tests apply events to the router and check the effects that it returns.
"""

import random

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import callers
from rhubarbbank_router import configuration
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import options
from rhubarbbank_router import router
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial

HOST = "api.example"
KEY = "key-innsbruck"
ORGANISATION = "tc-innsbruck"
SIZES = ("small", "large")
HEADERS = (("X-Signature", "s"),)
ANSWER_EFFECTS = (
    effects.BeginAnswer,
    effects.WriteAnswer,
    effects.FinishAnswer,
    effects.AbortAnswer,
    effects.RelayAnswer,
    effects.RefuseRequest,
)


def build_settings(name="entry-0", data_centre="west-a", **bounds):
    return options.RouterSettings(
        name=name,
        data_centre=data_centre,
        caller_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        metrics_address="127.0.0.1:3",
        peer_address=f"127.0.0.1:{10 + int(name.rpartition('-')[2])}",
        store_address="127.0.0.1:5",
        bounds=options.RouterBounds(
            **{"retry_ratio": 0.9, "retry_extra": 56.0} | bounds
        ),
    )


def build_route(name, kind, **changes):
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": configuration.RouteKind(kind),
        "services": (
            configuration.WeightedService(service="pool", weight=1.0),
        ),
        "max_attempts": 3,
        "timeout_s": 10.0,
        "target_latency_s": 2.0,
        "target_gap_s": 1.5,
        "priority": 1,
    }
    return configuration.Route(**fields | changes)


# "look", "book" and "open" have buffered answers; "chat" and "note" stream.
# Only "chat" can be resumed, and has two model sizes. "open" needs no key.
ROUTES = (
    build_route("look", "idempotent", max_attempts=2, target_latency_s=0.2),
    build_route("book", "non_idempotent", max_attempts=1, target_latency_s=0.2),
    build_route("chat", "stream", resumable=True, sizes=SIZES),
    build_route("note", "stream"),
    build_route("open", "idempotent", public=True),
)


def build_configuration(
    revision=1, keys=(KEY,), routes=ROUTES, *, version=None, era=0
):
    return configuration.Configuration(
        version=revision if version is None else version,
        revision=revision,
        era=era,
        routes=routes,
        services={},
        keys={
            key: configuration.Organisation(name=ORGANISATION) for key in keys
        },
    )


def build_upstream(number, version="v1", **changes):
    fields = {
        "upstream_id": f"up-{number}",
        "service": "pool",
        "address": f"127.0.0.1:{9000 + number}",
        "data_centre": "west-a",
        "version": version,
        "slots": 64,
    }
    return upstreams.Upstream(**fields | changes)


def build_order(**changes):
    """Returns an order to roll the service "pool" out to version "v2"."""
    fields = {
        "service": "pool",
        "target": "v2",
        "duration_s": 60.0,
        "state": version_trial.OrderState.RUNNING,
        "revision": 9,
        "created_revision": 9,
    }
    return version_trial.RolloutOrder(**fields | changes)


class World:
    """A router and its effects.

    Attributes:
        router: The router.
        now: Current time, in seconds.
        effects: Effects that the router returned, oldest first.
        request_count: Number of requests sent so far.
    """

    def __init__(
        self,
        *,
        seed=1,
        name="entry-0",
        data_centre="west-a",
        sizes=None,
        **bounds,
    ):
        self.router = router.Router(
            settings=build_settings(name, data_centre, **bounds),
            incarnation=seed,
            rng=random.Random(seed),
            sizing_policy=sizes,
        )
        self.now = 100.0
        self.effects = []
        self.request_count = 0

    @property
    def state(self):
        return self.router.state

    def apply(self, event):
        """Applies an event, and returns its effects."""
        new_effects = self.router.step(now=self.now, event=event)
        self.effects += new_effects
        return new_effects

    def run(self, duration_s):
        """Advances the clock, and ticks the router after each period."""
        end = self.now + duration_s
        while self.now < end:
            self.now += defaults.TICK_S
            self.apply(core_events.Ticked())

    def configure(self, found=None):
        """Answers a read of the configuration that was just sent."""
        self.apply(
            events.ConfigurationRead(
                asked_at=self.now, found=found or build_configuration()
            )
        )

    def list_upstreams(self, *listed):
        self.apply(events.UpstreamsListed(listed))

    def start(self, count=3, orders=()):
        """Answers the first reads of orders, upstreams and configuration."""
        self.apply(events.RolloutsListed(orders))
        self.list_upstreams(*(build_upstream(n) for n in range(count)))
        self.apply(events.EvacuationsListed(()))
        self.configure()

    def ask(self, route, *, key=KEY, timeout_s=20.0, **changes):
        """Sends a request to a route, and returns its id."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        fields = {
            "request_id": request_id,
            "attempt_id": request_id,
            "method": "POST",
            "target": f"/{route}/1",
            "path": f"/{route}/1",
            "host": HOST,
            "key": key,
            "timeout_s": timeout_s,
            "body": request_id.encode(),
        }
        if route == "chat":
            fields["generation"] = build_generation(f"s{self.request_count}")
        request = callers.IncomingRequest(**fields | changes)
        self.apply(events.RequestArrived(request))
        return request.request_id

    def sent(self, request_id):
        """Returns the request's `SendAttempt` effects, oldest first."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, effects.SendAttempt)
            and effect.request_id == request_id
        ]

    def cancelled_attempts(self, request_id):
        """Returns the numbers of the request's cancelled attempts."""
        return [
            effect.attempt
            for effect in self.effects
            if isinstance(effect, effects.CancelAttempt)
            and effect.request_id == request_id
        ]

    def answers(self, request_id):
        """Returns the effects that answer the request, oldest first."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, ANSWER_EFFECTS)
            and effect.request_id == request_id
        ]

    def head(self, request_id, status=200, **changes):
        """Delivers the head of an answer to the newest attempt."""
        attempt = self.sent(request_id)[-1].attempt
        fields = {
            "request_id": request_id,
            "attempt": attempt,
            "status": status,
            "headers": HEADERS,
        }
        self.apply(events.UpstreamHead(**fields | changes))

    def data(self, request_id, data):
        """Delivers a part of the body of an answer to the newest attempt."""
        attempt = self.sent(request_id)[-1].attempt
        self.apply(events.UpstreamData(request_id, attempt, data))

    def end(self, request_id, end="complete"):
        """Ends the exchange of the newest attempt."""
        attempt = self.sent(request_id)[-1].attempt
        self.apply(
            events.UpstreamEnded(
                request_id=request_id,
                attempt=attempt,
                end=events.AttemptEnd(end),
                detail="test",
            )
        )

    def answer_whole(self, request_id, status=200):
        """Delivers a complete answer to the newest attempt."""
        self.head(request_id, status)
        self.data(request_id, b"body")
        self.end(request_id)

    def stream(self, request_id, first, last):
        """Delivers stream events with the ids first to last."""
        for number in range(first, last + 1):
            self.data(request_id, build_event(number))

    def written_event_ids(self, request_id):
        """Returns the ids of the events sent to the caller."""
        return [
            int(effect.data.split(b"\n")[0].removeprefix(b"id: "))
            for effect in self.answers(request_id)
            if isinstance(effect, effects.WriteAnswer)
        ]

    def decisions(self, request_id):
        """Returns the logged decisions on the request."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, fx.LogDecision)
            and effect.request_id == request_id
        ]

    def messages(self):
        """Returns the messages sent to other entries."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, core_effects.Send)
        ]


def build_generation(session, tokens=1000):
    parts = (
        callers.PromptPart(part_id="all", tokens=tokens // 4),
        callers.PromptPart(part_id=session, tokens=tokens // 4),
        callers.PromptPart(part_id=f"{session}-own", tokens=tokens // 2),
    )
    return callers.GenerationParameters(
        prompt=parts, prompt_tokens=tokens, max_output_tokens=100
    )


def build_event(number):
    return f"id: {number}\ndata: word {number}\n\n".encode()
