"""Entries before upstreams that end when they run one certain request.

Its caller sends it again and again, to one entry after the other. Whatever an
upstream has open breaks off when it ends; some seconds later it is back.
"""

import dataclasses
import itertools

from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import effects
from rhubarbbank_router import events
from support import news_fleet
from support import router_world

BODY = b"ends whatever runs it"
BACK_S = 2.5


@dataclasses.dataclass
class Sending:
    """One time that the request reached an upstream.

    Attributes:
        at: When.
        entry: Who sent it.
        upstream: The upstream, which ended.
    """

    at: float
    entry: str
    upstream: str


class CrashFleet(news_fleet.NewsFleet):
    """Entries, their upstreams, and the caller of the request.

    Attributes:
        listed: Upstreams by id, as they are listed when they run.
        absent: Those that have ended and aren't back, with the time.
        route: The request's route.
        key: The key of its caller.
        sendings: Each time that it reached an upstream.
        refusals: The codes with which it was refused unsent.
    """

    def __init__(self, *, route="note", upstreams=8, **given):
        self.listed = {
            f"up-{n}": router_world.build_upstream(n, started_ms=1)
            for n in range(upstreams)
        }
        self.absent = {}
        self.route = route
        self.key = router_world.KEY
        self.sendings = []
        self.refusals = []
        super().__init__(**given)
        self.names = itertools.cycle(sorted(self.worlds))

    def build(self, number, place):
        super().build(number, place)
        world = self.worlds[f"entry-{number}"]
        world.list_upstreams(
            *(x for n, x in self.listed.items() if n not in self.absent)
        )

    def replace(self, name):
        """An entry's process is killed, and another one starts."""
        settings = self.worlds[name].state.settings
        self.build(int(name.rpartition("-")[2]), settings.data_centre)
        world = self.worlds[name]
        world.state.incarnation = int(self.now * 1000)
        self.register()

    def run(self, duration_s, *, look=False):
        end = self.now + duration_s
        while self.now < end:
            for upstream_id, at in list(self.absent.items()):
                if self.now >= at + BACK_S:
                    self.start_upstream(upstream_id)
            for world in self.worlds.values():
                world.now = self.now
                world.configure()
            super().run(min(0.5, end - self.now), look=look)

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

    def end_upstream(self, upstream_id):
        """An upstream ends, and with it all that it has open."""
        self.absent[upstream_id] = self.now
        for world in self.worlds.values():
            world.now = self.now
            for opened in list(world.state.open.values()):
                attempt = opened.current
                if attempt is not None and attempt.upstream == upstream_id:
                    self.break_off(world, opened.request.request_id, attempt)
        for world in self.worlds.values():
            world.apply(events.UpstreamUnlisted(upstream_id))

    def break_off(self, world, request_id, attempt):
        world.apply(
            events.UpstreamEnded(
                request_id=request_id,
                attempt=attempt.number,
                end=events.AttemptEnd.BROKEN,
                detail="Connection reset by peer",
            )
        )

    def ask(self, name=None):
        """The caller sends the request to an entry, the next one by name."""
        name = name or next(self.names)
        world = self.worlds[name]
        world.now = self.now
        request_id = world.ask(self.route, key=self.key, body=BODY)
        while request_id in world.state.open:
            attempt = world.state.open[request_id].current
            self.sendings.append(Sending(self.now, name, attempt.upstream))
            self.end_upstream(attempt.upstream)
        self.refusals += [
            each.code
            for each in world.answers(request_id)
            if isinstance(each, effects.RefuseRequest)
        ]
        self.send(world)

    def ask_often(self, times, *, every_s=1.0):
        for _ in range(times):
            self.ask()
            self.run(every_s)

    def count_late(self, after_s):
        """How often it was sent later than this after the third end."""
        if len(self.sendings) < 3:
            return 0
        third_at = self.sendings[2].at
        return sum(x.at > third_at + after_s for x in self.sendings)

    def list_lines(self, decision):
        return [
            line
            for _, line in self.lines
            if isinstance(line, fx.LogDecision) and line.decision == decision
        ]
