"""A fleet in memory: real reducers, driven with events alone.

`World` holds entries and sidecars as reducers, a dictionary for the object
API, and engines that count what they run. Time is a number that moves on;
whatever is under way lies in one queue, where a seeded generator loses,
repeats and reorders messages. No socket, clock or thread takes part.

The naive model is what callers and engines saw: `check` compares each answer
with the text that its request must get, and runs with what was refused.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import json
import random

import ledger_fake_store
import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_billing
from rhubarbbank_core import event_log
from rhubarbbank_core import events
from rhubarbbank_core import ledger_log
from rhubarbbank_core import path_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar
from rhubarbbank_core import store
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from support import fleet_reducers
from support import naive_answers

TICK_S = 0.1
TOKEN_S = 0.15


@dataclasses.dataclass(kw_only=True)
class Process:
    """One run of a process: its reducer, and its events as recorded."""

    name: str
    incarnation: int
    reducer: entry.EntryReducer | sidecar.SidecarReducer
    recorded: list[bytes] = dataclasses.field(default_factory=list)
    effects: list[list[fx.Effect]] = dataclasses.field(default_factory=list)


class World:
    """The fleet, its platform and its callers.

    Attributes:
        delays_of: Returns when copies of a message arrive, in seconds; none
            when it is lost.
        handed_over: Every call that an upstream was handed, in order.
        ratings: What ratings are drawn from; None is a failed service.
        ratings_late_s: When they come, in seconds, drawn as well.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = 0
        self.queue: list[tuple[float, int, str, int, events.AnyEvent]] = []
        self.store = ledger_fake_store.FakeStore()
        self.store_down = False
        self.lose_replies = 0.0
        self.lose_messages = 0.0
        self.lost_kinds: tuple[type[effects.Message], ...] = ()
        self.tables: dict[int, table.Table] = {}
        self.processes: dict[str, Process] = {}
        self.all_processes: list[Process] = []
        self.incarnations: collections.Counter[str] = collections.Counter()
        self.callers = naive_answers.Callers()
        self.calls: set[tuple[str, str, int]] = set()
        self.handed_over: list[fx.CallUpstream] = []
        self.ratings: list[float | None] = [0.2, 0.9, None]
        # Some come only after every deadline.
        self.ratings_late_s = [0.2, 0.2, 0.2, 30.0]
        self.delays_of: Callable[[effects.Message], list[float]] = (
            self.draw_delays
        )
        self.edit({})
        for name in (
            *fleet_reducers.ENTRIES,
            *fleet_reducers.ENGINES,
            *fleet_reducers.SERVICES,
        ):
            self.start(name)

    # Processes.

    def start(self, name: str) -> None:
        """Starts a process, or does nothing when it runs."""
        if name in self.processes:
            return
        self.incarnations[name] += 1
        number = self.incarnations[name]
        process = Process(
            name=name,
            incarnation=number,
            reducer=fleet_reducers.make_reducer(name, number),
        )
        self.processes[name] = process
        self.all_processes.append(process)

    def kill(self, name: str) -> None:
        """Ends a process without a warning."""
        self.processes.pop(name, None)
        self.calls = {x for x in self.calls if x[0] != name}

    def edit(
        self,
        states: dict[str, table.VersionState],
        *,
        requests_per_minute: int = naive_answers.REQUESTS_PER_MINUTE,
    ) -> None:
        """Writes a table in which versions have these states."""
        revision = len(self.tables) + 1
        rows = naive_answers.make_rows(states, requests_per_minute)
        written = table.Table(revision=revision, rows=rows)
        self.tables[revision] = written
        value = table_codec.encode_table(
            table_codec.StoredTable(table=written, write_id=f"edit/{revision}")
        )
        found = self.store.objects.get("table")
        self.store.apply(
            store.StoreCall(
                call_id=0,
                operation=store.StoreOperation.PUT,
                key="table",
                value=value,
                expected_version=found.version if found else 0,
            )
        )

    # Time.

    def run(self, seconds: float) -> None:
        """Lets time go by; everything that is due happens."""
        end = self.now + seconds
        while self.now < end:
            beat_at = round(self.now + TICK_S, 3)
            while self.queue and self.queue[0][0] <= beat_at:
                # What an event leads to comes later than it, not later than
                # the next beat: an answer takes the time of its messages.
                self.now, _, name, number, event = heapq.heappop(self.queue)
                self.apply(name, number, event, at=self.now)
            self.now = beat_at
            beat = round(self.now / TICK_S)
            for name in list(self.processes):
                self.beat(name, beat)

    def beat(self, name: str, beat: int) -> None:
        """Gives a process its regular events."""
        number = self.processes[name].incarnation
        if beat % 10 == 0 and name in fleet_reducers.ENTRIES:
            listed = events.HostsListed(fleet_reducers.list_hosts())
            self.apply(name, number, listed, at=self.now)
        if beat % 5 == 0 and name not in fleet_reducers.ENTRIES:
            seen = events.UpstreamObserved(
                True,
                path_messages.Load(running=0, waiting=0, max_batch=8),
                [naive_answers.SERVICE]
                if name in fleet_reducers.SERVICES
                else list(naive_answers.MODELS),
            )
            self.apply(name, number, seen, at=self.now)
        self.apply(name, number, events.Ticked(), at=self.now)

    def later(
        self, after_s: float, name: str, number: int, event: events.AnyEvent
    ) -> None:
        """Puts an event into the queue; it finds only the run it is for."""
        self.order += 1
        heapq.heappush(
            self.queue, (self.now + after_s, self.order, name, number, event)
        )

    def apply(
        self, name: str, number: int, event: events.AnyEvent, *, at: float
    ) -> None:
        """Steps a process, records the event, and carries effects out."""
        process = self.processes.get(name)
        if process is None or number not in (0, process.incarnation):
            return
        if isinstance(event, events.UpstreamData | events.UpstreamEnded):
            call = (name, event.request_id, event.attempt)
            if call not in self.calls:
                return
            if isinstance(event, events.UpstreamEnded):
                self.calls.remove(call)
        done = process.reducer.step(now=at, event=event)
        process.recorded.append(
            msgspec.msgpack.encode(event_log.RecordedEvent(at, event))
        )
        process.effects.append(done)
        for effect in done:
            self.carry_out(process, effect)

    # Effects.

    def carry_out(self, process: Process, effect: fx.Effect) -> None:
        """Does what one effect says."""
        match effect:
            case effects.Send(address, message):
                for late_s in self.delays_of(message):
                    received = events.MessageReceived(message)
                    self.later(late_s, address, 0, received)
            case effects.AskListener(name, address, asked_at):
                if address not in self.processes:
                    refused = events.ListenerRefused(name, address, asked_at)
                    self.later(0.01, process.name, process.incarnation, refused)
            case store.StoreCall():
                self.call_store(process, effect)
            case fx.CallUpstream():
                self.call_upstream(process, effect)
            case fx.CancelUpstream(request_id, attempt):
                self.calls.discard((process.name, request_id, attempt))
            case fx.AskRating(request_id=request_id, attempt=attempt):
                answer = events.RatingReceived(
                    request_id, attempt, self.rng.choice(self.ratings)
                )
                late_s = self.rng.choice(self.ratings_late_s)
                self.later(late_s, process.name, process.incarnation, answer)
            case _:
                self.callers.take(effect)

    def draw_delays(self, message: effects.Message) -> list[float]:
        """Draws whether a message is lost, repeated or overtaken."""
        copies = 0 if isinstance(message, self.lost_kinds) else 1
        if self.rng.random() < self.lose_messages:
            copies = self.rng.choice([0, 0, 2])
        longest_s = 0.4 if self.lose_messages else 0.01
        return [self.rng.random() * longest_s for _ in range(copies)]

    def call_store(self, process: Process, call: store.StoreCall) -> None:
        """Answers a store call; a watch answers when it has waited."""
        fault = ledger_fake_store.Fault.NONE
        if self.store_down:
            fault = ledger_fake_store.Fault.DOWN
        elif self.rng.random() < self.lose_replies:
            fault = ledger_fake_store.Fault.ANSWER_LOST
        wait_s = 0.01
        if call.operation is store.StoreOperation.WATCH:
            wait_s = 0.5
            reply = self.watch(call)
        else:
            reply = self.store.call(call, fault)
        reply = dataclasses.replace(reply, call_id=call.call_id)
        self.later(
            wait_s,
            process.name,
            process.incarnation,
            events.StoreReplied(reply),
        )

    def watch(self, call: store.StoreCall) -> store.StoreReply:
        """Returns what changed under a prefix."""
        if self.store_down:
            return store.StoreReply(
                call_id=call.call_id, outcome=store.StoreOutcome.UNAVAILABLE
            )
        changed = tuple(
            found
            for key, found in sorted(self.store.objects.items())
            if key.startswith(call.key)
            and found.version > call.expected_version
        )
        return store.StoreReply(
            call_id=call.call_id,
            outcome=store.StoreOutcome.OK,
            objects=changed,
            revision=self.store.revision,
        )

    def call_upstream(self, process: Process, call: fx.CallUpstream) -> None:
        """Runs a call and counts it; its answer comes piece by piece."""
        self.calls.add((process.name, call.request_id, call.attempt))
        self.handed_over.append(call)
        kind = ""
        if call.streamed:
            version, pieces = naive_answers.make_stream(call)
        else:
            key = call.idempotency_key
            version, kind = naive_answers.SERVICE, "application/json"
            self.callers.bodies[key] = f'{{"done":"{key}"}}'.encode()
            pieces = [self.callers.bodies[key]]
        rows = self.tables[process.reducer.rows.revision]
        self.callers.note_run(call, version, rows)
        for place, piece in enumerate(pieces):
            data = events.UpstreamData(call.request_id, call.attempt, [piece])
            self.later(
                TOKEN_S * (place + 1),
                process.name,
                process.incarnation,
                data,
            )
        ended = events.UpstreamEnded(
            request_id=call.request_id,
            attempt=call.attempt,
            end=events.UpstreamEnd.COMPLETE,
            status=200,
            content_type=kind,
        )
        self.later(
            TOKEN_S * (len(pieces) + 1),
            process.name,
            process.incarnation,
            ended,
        )

    def break_calls(self, name: str) -> None:
        """Breaks off what an upstream runs."""
        for called, request_id, attempt in sorted(self.calls):
            if called == name:
                ended = events.UpstreamEnded(
                    request_id=request_id,
                    attempt=attempt,
                    end=events.UpstreamEnd.BROKEN,
                )
                number = self.processes[name].incarnation
                self.apply(name, number, ended, at=self.now)

    # Callers.

    def ask(
        self,
        name: str,
        prompt: str,
        *,
        kind: requests.WorkKind = requests.WorkKind.CHAT,
        key: str = "",
        session: str = "",
        stream: bool = True,
        model: str = requests.ANY_MODEL,
    ) -> None:
        """Sends a request to an entry, if that entry runs."""
        if name not in self.processes:
            return
        self.order += 1
        body = {
            "model": model,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        }
        request = requests.parse_request(
            request_id=f"r{self.order}",
            kind=kind,
            headers=requests.CallerHeaders(
                organisation=naive_answers.ORGANISATION,
                session=session,
                request_class="booking" if key else "chat",
                idempotency_key=key,
                deadline_ms=f"{naive_answers.DEADLINE_S * 1000:.0f}",
            ),
            service="booking",
            path="/booking/courts",
            body=json.dumps(body).encode(),
        )
        assert isinstance(request, requests.CallerRequest), request
        self.callers.asked[request.request_id] = naive_answers.Asked(
            request=request, prompt=prompt, entry=name
        )
        self.apply(name, 0, events.RequestReceived(request), at=self.now)

    def hang_up(self) -> None:
        """Has the caller of the last request that is open leave."""
        for asked in reversed(list(self.callers.asked.values())):
            if not asked.answered and asked.problem is None:
                gone = events.CallerGone(asked.request.request_id)
                self.apply(asked.entry, 0, gone, at=self.now)
                return

    def read_bills(self) -> list[str]:
        """Returns the request ids that the ledger has bills of."""
        bills = ledger_log.read_bills(self.store.objects.values())
        return [
            msgspec.json.decode(x.value, type=entry_billing.Bill).request_id
            for x in bills
        ]
