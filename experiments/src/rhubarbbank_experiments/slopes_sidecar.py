"""Drives one sidecar's reducer amid entries that greet it once a second."""

import random
import time

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import events
from rhubarbbank_core import membership_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar
from rhubarbbank_core import sidecar_control
from rhubarbbank_core import wire
from rhubarbbank_experiments import slopes_entry

TICKS_PER_GREETING = 10
TICKS_PER_OBSERVATION = 5


class SidecarBench:
    """One sidecar amid entries.

    Attributes:
        entries: How many entries greet it.
        reducer: The sidecar.
        now: Seconds.
        cpu_s: Processor time of the sidecar's steps and codec.
        sent: What the sidecar sent.
        received: What the sidecar received.
        echoes: The last sequence heard by each entry.
    """

    def __init__(self, *, entries: int) -> None:
        self.entries = entries
        self.reducer = sidecar.SidecarReducer(
            identity=sidecar_control.SidecarIdentity(
                name="engine-0",
                incarnation=1,
                peer_address="127.0.0.1:2",
                data_centre="data-centre-0",
                upstream="engine-0",
                kind=requests.WorkKind.CHAT,
            ),
            call_ids=effects.CallIds(),
            rng=random.Random(1),
        )
        self.now = 1000.0
        self.cpu_s = 0.0
        self.sent = slopes_entry.Traffic()
        self.received = slopes_entry.Traffic()
        self.echoes = [0] * entries
        self.sequence = 0
        self.ticks = 0

    def apply(self, event: events.AnyEvent) -> None:
        """Steps the sidecar and encodes what it sends."""
        begin = time.process_time()
        out = self.reducer.step(now=self.now, event=event)
        frames = [
            (x.message, wire.ENCODER.encode([x.message]))
            for x in out
            if isinstance(x, effects.Send)
        ]
        self.cpu_s += time.process_time() - begin
        for message, frame in frames:
            self.sent.add(message, len(frame))

    def greet(self, number: int) -> None:
        """Lets one entry greet the sidecar."""
        self.sequence += 1
        hello = membership_messages.Hello(
            name=f"entry-{number}",
            incarnation=1,
            address=f"127.0.0.1:{slopes_entry.ENTRY_PORT + number}",
            sequence=self.sequence,
            echo=0,
            revision=0,
            digest=0,
            known_incarnation=1,
            known_generation=2,
            confirmed_age_ms=400,
        )
        frame = wire.encode_frame([hello])
        begin = time.process_time()
        messages = wire.decode_frame(frame)
        self.cpu_s += time.process_time() - begin
        self.received.add(hello, len(frame))
        for message in messages:
            self.apply(events.MessageReceived(message))

    def tick(self) -> None:
        """Lets one tick's time pass; each entry greets once a second."""
        self.now += defaults.TICK_S
        self.ticks += 1
        turn = self.ticks % TICKS_PER_GREETING
        for number in range(turn, self.entries, TICKS_PER_GREETING):
            self.greet(number)
        if self.ticks % TICKS_PER_OBSERVATION == 0:
            load = path_messages.Load(3, 0, 32, 0.2)
            self.apply(events.UpstreamObserved(True, load, ["model-0@v1"]))
        self.apply(events.Ticked())

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / defaults.TICK_S)):
            self.tick()

    def reset(self) -> None:
        """Starts counting anew."""
        self.cpu_s = 0.0
        self.sent = slopes_entry.Traffic()
        self.received = slopes_entry.Traffic()
