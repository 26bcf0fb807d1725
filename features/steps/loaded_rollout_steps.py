"""Steps for roll-outs whose target is hardly loaded, beside busy incumbents."""

import heapq
import itertools

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_router import events
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial

EVENTS = 8
PERIOD_S = 0.05
AT_REST = upstreams.LoadReport(running=2, waiting=0, slots=64)
BUSY = upstreams.LoadReport(running=24, waiting=6, slots=64)
TARGET = "v2"


class StreamPlay:
    """Streams whose events come at the pace of their version.

    Attributes:
        world: The router.
        due: Events to come.
    """

    def __init__(self, world):
        self.world = world
        self.due = []
        self.numbers = itertools.count()

    def run(self, duration_s, *, target, incumbent):
        """Runs streams; each version has its load and pace, in seconds."""
        world = self.world
        end = world.now + duration_s
        while world.now < end:
            number = next(self.numbers)
            request = world.ask(
                "chat",
                generation=router_world.build_generation(f"p{number}", 1000),
            )
            if world.sent(request):
                new = self.is_new(world.sent(request)[-1])
                load, pace_s = target if new else incumbent
                world.head(request, confidence=90, load=load)
                self.schedule(request, 1, pace_s)
            world.run(PERIOD_S)
            world.configure(world.state.active_configuration)
            self.deliver()

    def is_new(self, sending):
        return int(sending.upstream_id.removeprefix("up-")) >= 10

    def schedule(self, request, event, pace_s):
        at = self.world.now + pace_s
        heapq.heappush(
            self.due, (at, next(self.numbers), request, event, pace_s)
        )

    def deliver(self):
        while self.due and self.due[0][0] <= self.world.now:
            _, _, request, event, pace_s = heapq.heappop(self.due)
            if request not in self.world.state.open:
                continue
            self.world.stream(request, event, event)
            if event == EVENTS:
                self.world.end(request)
            else:
                self.schedule(request, event + 1, pace_s)


@given("a router whose streams have come each {pace:g} s from engines at rest")
def run_at_rest(context, pace):
    context.world = router_world.World(name="entry-3")
    context.world.start(4)
    context.play = StreamPlay(context.world)
    at_rest = (AT_REST, pace)
    context.play.run(6.0, target=at_rest, incumbent=at_rest)


@when('a roll-out to version "{target}" over {duration:g} s is ordered')
def order(context, target, duration):
    world = context.world
    world.apply(
        events.RolloutChanged(
            router_world.build_order(
                target=target,
                duration_s=duration,
                state=version_trial.OrderState.ORDERED,
            )
        )
    )
    for number in range(10, 14):
        listed = router_world.build_upstream(number, target)
        world.apply(events.UpstreamChanged(listed))


@when(
    "for {duration:g} s the target's come each {target:g} s from engines at "
    "rest, and all others each {incumbent:g} s from busy ones"
)
def run_loaded(context, duration, target, incumbent):
    context.play.run(
        duration, target=(AT_REST, target), incumbent=(BUSY, incumbent)
    )


@then('version "{target}" has less than all requests')
def check_share(context, target):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == target
    assert trial.share < 1.0, trial.share
