"""Random histories of a fleet with a request that crashes its upstreams.

Entries are killed, suspended or cut off with their data centre, and messages
are lost, while the caller sends the request to random entries.
"""

from support import crash_fleet

# An entry counts as undisturbed if its last fault ended this long ago.
UNDISTURBED_S = 4.0


class CrashHistory(crash_fleet.CrashFleet):
    """A fleet with random faults.

    Attributes:
        disturbed_until: End of the last fault of each entry, in seconds.
        wake_at: When each suspended entry resumes, in seconds.
        heal_at: When each partition of a data centre ends, in seconds.
        undisturbed: Crashes caused by attempts of undisturbed entries.
    """

    def __init__(self, **given):
        self.disturbed_until = {}
        self.wake_at = {}
        self.heal_at = {}
        self.undisturbed = []
        super().__init__(**given)

    def run_with_faults(self, duration_s):
        """Sends requests and injects faults at random times."""
        end = self.now + duration_s
        while self.now < end:
            self.lift_faults()
            if self.rng.random() < 0.3:
                self.inject_fault()
            awake = sorted(self.worlds.keys() - self.suspended)
            if awake and self.rng.random() < 0.7:
                self.send_request(self.rng.choice(awake))
            self.run(self.rng.uniform(0.1, 1.5))

    def inject_fault(self):
        """Injects a fault at an entry, its data centre or all links."""
        name = self.rng.choice(sorted(self.worlds))
        until = self.now + self.rng.uniform(0.5, 5.0)
        match self.rng.randrange(4):
            case 0:
                self.replace(name)
                self.disturbed_until[name] = self.now
            case 1:
                self.suspended.add(name)
                self.wake_at[name] = until
                self.disturbed_until[name] = until
            case 2:
                place = self.worlds[name].state.settings.data_centre
                self.isolated.add(place)
                self.heal_at[place] = until
                for each in self.list_names(place):
                    self.disturbed_until[each] = until
            case _:
                self.loss_rate = self.rng.choice([0.0, 0.1, 0.3])

    def lift_faults(self):
        """Resumes entries and ends partitions that are due."""
        for name, at in list(self.wake_at.items()):
            if self.now >= at:
                del self.wake_at[name]
                self.resume(name)
        for place, at in list(self.heal_at.items()):
            if self.now >= at:
                del self.heal_at[place]
                self.isolated.discard(place)

    def on_crash(self, crash):
        disturbed_until = self.disturbed_until.get(crash.entry, 0.0)
        if crash.sent_at - disturbed_until > UNDISTURBED_S:
            self.undisturbed.append(crash)

    def count_late_undisturbed(self):
        """Counts late attempts of entries that were undisturbed."""
        if len(self.crashes) < crash_fleet.CRASHES_TO_REFUSE:
            return 0
        third = self.crashes[crash_fleet.CRASHES_TO_REFUSE - 1]
        known_at = third.sent_at + crash_fleet.CRASH_AFTER_S
        return sum(
            x.sent_at > known_at + UNDISTURBED_S for x in self.undisturbed
        )
