"""A router in memory: events in, effects out, time by hand."""

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
    given = {
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
    return configuration.Route(**given | changes)


ROUTES = (
    build_route("look", "idempotent", max_attempts=2, target_latency_s=0.2),
    build_route("book", "non_idempotent", max_attempts=1, target_latency_s=0.2),
    build_route("chat", "stream", resumable=True, sizes=SIZES),
    build_route("note", "stream"),
    build_route("open", "idempotent", public=True),
)


def build_configuration(revision=1, keys=(KEY,), routes=ROUTES):
    return configuration.Configuration(
        version=revision,
        revision=revision,
        routes=routes,
        services={},
        keys={
            key: configuration.Organisation(name=ORGANISATION) for key in keys
        },
    )


def build_upstream(number, version="v1", **changes):
    given = {
        "upstream_id": f"up-{number}",
        "service": "pool",
        "address": f"127.0.0.1:{9000 + number}",
        "data_centre": "west-a",
        "version": version,
        "slots": 64,
    }
    return upstreams.Upstream(**given | changes)


def build_order(**changes):
    """A roll-out of the pool to the next version."""
    given = {
        "service": "pool",
        "target": "v2",
        "duration_s": 60.0,
        "state": version_trial.OrderState.RUNNING,
        "revision": 9,
        "created_revision": 9,
    }
    return version_trial.RolloutOrder(**given | changes)


class World:
    """One router and what it did."""

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
        self.done = []
        self.asked = 0

    @property
    def state(self):
        return self.router.state

    def apply(self, event):
        found = self.router.step(now=self.now, event=event)
        self.done += found
        return found

    def run(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += defaults.TICK_S
            self.apply(core_events.Ticked())

    def configure(self, found=None):
        self.apply(
            events.ConfigurationRead(
                asked_at=self.now, found=found or build_configuration()
            )
        )

    def list_upstreams(self, *listed):
        self.apply(events.UpstreamsListed(listed))

    def start(self, count=3):
        """Reads configuration, orders and upstreams."""
        self.apply(events.RolloutsListed(()))
        self.list_upstreams(*(build_upstream(n) for n in range(count)))
        self.configure()

    def ask(self, route, *, key=KEY, timeout_s=20.0, **changes):
        self.asked += 1
        request_id = f"r{self.asked}"
        given = {
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
            given["generation"] = build_generation(f"s{self.asked}")
        request = callers.IncomingRequest(**given | changes)
        self.apply(events.RequestArrived(request))
        return request.request_id

    def sent(self, request_id):
        """The request's attempts, oldest first."""
        return [
            each
            for each in self.done
            if isinstance(each, effects.SendAttempt)
            and each.request_id == request_id
        ]

    def cancelled(self, request_id):
        return [
            each.attempt
            for each in self.done
            if isinstance(each, effects.CancelAttempt)
            and each.request_id == request_id
        ]

    def answers(self, request_id):
        return [
            each
            for each in self.done
            if isinstance(each, ANSWER_EFFECTS)
            and each.request_id == request_id
        ]

    def head(self, request_id, status=200, **changes):
        """The upstream of the newest attempt answers with a head."""
        attempt = self.sent(request_id)[-1].attempt
        given = {
            "request_id": request_id,
            "attempt": attempt,
            "status": status,
            "headers": HEADERS,
        }
        self.apply(events.UpstreamHead(**given | changes))

    def data(self, request_id, data):
        attempt = self.sent(request_id)[-1].attempt
        self.apply(events.UpstreamData(request_id, attempt, data))

    def end(self, request_id, end="complete"):
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
        self.head(request_id, status)
        self.data(request_id, b"body")
        self.end(request_id)

    def stream(self, request_id, first, last):
        """The upstream sends events with the ids first to last."""
        for number in range(first, last + 1):
            self.data(request_id, build_event(number))

    def written(self, request_id):
        """Ids of the events that the caller has."""
        return [
            int(each.data.split(b"\n")[0].removeprefix(b"id: "))
            for each in self.answers(request_id)
            if isinstance(each, effects.WriteAnswer)
        ]

    def decisions(self, request_id):
        return [
            each
            for each in self.done
            if isinstance(each, fx.LogDecision)
            and each.request_id == request_id
        ]

    def messages(self):
        return [
            each for each in self.done if isinstance(each, core_effects.Send)
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
