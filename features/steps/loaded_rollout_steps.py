"""Steps for roll-outs with a lightly loaded target and busy incumbents."""

import heapq
import itertools

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_router import events
from rhubarbbank_router import upstreams
from rhubarbbank_router import version_trial

EVENTS_PER_STREAM = 8
REQUEST_INTERVAL_S = 0.05
LIGHT_LOAD = upstreams.LoadReport(running=2, waiting=0, slots=64)
BUSY_LOAD = upstreams.LoadReport(running=24, waiting=6, slots=64)


class StreamDriver:
    """Runs streams whose event rate depends on their version.

    Attributes:
        world: The router.
        scheduled: Heap of the events to come.
    """

    def __init__(self, world):
        self.world = world
        self.scheduled = []
        self.sequence = itertools.count()

    def run(self, duration_s, *, target, incumbent):
        """Runs streams for a time.

        Args:
            duration_s: The time in seconds.
            target: The target's load, and the seconds between its events.
            incumbent: The same for the incumbent.
        """
        world = self.world
        end = world.now + duration_s
        while world.now < end:
            number = next(self.sequence)
            request = world.ask(
                "chat",
                generation=router_world.build_generation(f"p{number}", 1000),
            )
            if world.sent(request):
                on_target = self.runs_on_target(world.sent(request)[-1])
                load, interval_s = target if on_target else incumbent
                world.head(request, confidence=90, load=load)
                self.schedule(request, 1, interval_s)
            world.run(REQUEST_INTERVAL_S)
            world.configure(world.state.active_configuration)
            self.deliver()

    def runs_on_target(self, sending):
        return int(sending.upstream_id.removeprefix("up-")) >= 10

    def schedule(self, request, event, interval_s):
        at = self.world.now + interval_s
        heapq.heappush(
            self.scheduled,
            (at, next(self.sequence), request, event, interval_s),
        )

    def deliver(self):
        while self.scheduled and self.scheduled[0][0] <= self.world.now:
            _, _, request, event, interval_s = heapq.heappop(self.scheduled)
            if request not in self.world.state.open_requests:
                continue
            self.world.stream(request, event, event)
            if event == EVENTS_PER_STREAM:
                self.world.end(request)
            else:
                self.schedule(request, event + 1, interval_s)


@given(
    "a router whose streams have had an event every {interval:g} s from "
    "lightly loaded engines"
)
def run_at_rest(context, interval):
    context.world = router_world.World(name="entry-3")
    context.world.start(4)
    context.streams = StreamDriver(context.world)
    light_load = (LIGHT_LOAD, interval)
    context.streams.run(6.0, target=light_load, incumbent=light_load)


@when('a roll-out to version "{target}" over {duration:g} s is ordered')
def order_rollout(context, target, duration):
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
    "for {duration:g} s streams have an event every {target:g} s on a lightly "
    "loaded target, and every {incumbent:g} s on a busy incumbent"
)
def run_busy_incumbent(context, duration, target, incumbent):
    context.streams.run(
        duration, target=(LIGHT_LOAD, target), incumbent=(BUSY_LOAD, incumbent)
    )


@then('version "{target}" doesn\'t get all requests')
def check_share(context, target):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == target
    assert trial.share < 1.0, trial.share
