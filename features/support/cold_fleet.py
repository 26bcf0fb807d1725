"""Entries under uneven load, and upstreams that are cold.

Counts what a cold upstream gets within any second, from all entries: also
those that are cut off, or have just started.
"""

import dataclasses

import msgspec

from rhubarbbank_router import cold_sharing
from rhubarbbank_router import configuration
from rhubarbbank_router import events
from support import limit_fleet
from support import router_world

WINDOW_S = 1.0
COLD_S = 3.0
OVERSHOOT = 1.5
SLACK = 5.0
BOUNDS = {"cold_overshoot": OVERSHOOT, "cold_slack": SLACK}


class ColdFleet(limit_fleet.LimitFleet):
    """Entries, upstreams that may be cold, and callers.

    Attributes:
        rate_per_s: What a cold upstream tolerates.
        bounds: Bounds of the settings that differ from the default.
        division: How entries divide permits; None for the default.
        dark: Ids of upstreams that can't be reached.
        cold_from: Since when an upstream is cold, by id.
    """

    def __init__(self, *, rate_per_s, bounds=None, division=None, **given):
        self.bounds = BOUNDS if bounds is None else bounds
        self.rate_per_s = rate_per_s
        self.division = division
        self.dark = set()
        self.cold_from = {}
        service = configuration.Service(
            name="pool",
            max_connections=100,
            cold_duration_s=COLD_S,
            cold_rate_per_s=rate_per_s,
        )
        self.configuration = dataclasses.replace(
            router_world.build_configuration(2), services={"pool": service}
        )
        super().__init__(**given)

    def add_entry(self, number, data_centre):
        super().add_entry(number, data_centre)
        world = self.worlds[f"entry-{number}"]
        settings = world.state.settings
        bounds = msgspec.structs.replace(settings.bounds, **self.bounds)
        world.router.apply_settings(
            msgspec.structs.replace(settings, bounds=bounds)
        )
        world.configure(self.configuration)
        if self.division is not None:
            world.state.view.cold.division = self.division

    def read_configurations(self):
        for world in self.worlds.values():
            world.now = self.now
            if world.state.settings.data_centre not in self.isolated:
                world.configure(self.configuration)

    def ask(self, route):
        """Sends a request; half as many callers choose the second entry.

        Some requests need no key, and are served without fresh proof of it.
        """
        if route == "note":
            route = "open"
        names = list(self.worlds)
        weights = [1.0 / (1 + number) for number in range(len(names))]
        (name,) = self.rng.choices(names, weights)
        world = self.worlds[name]
        world.now = self.now
        self.asked += 1
        world.ask(route, session=f"s{self.rng.randrange(50)}", timeout_s=5.0)
        self.send(world)

    # Upstreams.

    def list_changed(self, upstream, **changes):
        """Lists a change of an upstream; isolated entries don't hear it."""
        listed = dataclasses.replace(self.listed[upstream], **changes)
        self.listed[upstream] = listed
        self.cold_from[upstream] = self.now
        for world in self.worlds.values():
            if world.state.settings.data_centre not in self.isolated:
                world.now = self.now
                world.apply(events.UpstreamChanged(listed))

    def end_evacuation(self, data_centre):
        for upstream, listed in self.listed.items():
            if listed.data_centre == data_centre:
                self.cold_from[upstream] = self.now
        for world in self.worlds.values():
            cold_sharing.record_evacuation_end(
                world.state, data_centre, now=self.now
            )

    def accept(self, world, effect):
        super().accept(world, effect)
        if effect.upstream_id in self.dark:
            self.arrivals.pop()

    def answer(self, pending):
        world, effect = pending.world, pending.effect
        if effect.upstream_id not in self.dark:
            super().answer(pending)
            return
        if self.worlds.get(world.state.settings.name) is not world:
            return
        world.now = self.now
        world.apply(
            events.UpstreamEnded(
                request_id=effect.request_id,
                attempt=effect.attempt,
                end=events.AttemptEnd.UNREACHED,
            )
        )
        self.send(world)

    # The checked conditions.

    def counts(self, arrival):
        """Returns whether an arrival counts: whoever sent it."""
        cold_from = self.cold_from.get(arrival.upstream)
        return cold_from is not None and arrival.at >= cold_from

    def find_most(self, upstream):
        """Returns the most arrivals that count within any WINDOW_S."""
        at = self.list_counted(upstream)
        return max(
            (sum(x <= y < x + WINDOW_S for y in at) for x in at), default=0
        )

    def compute_allowed(self, upstream):
        del upstream
        return self.rate_per_s * OVERSHOOT + SLACK
