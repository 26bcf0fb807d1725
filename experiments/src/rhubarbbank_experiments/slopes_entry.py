"""Drives one entry's reducer through time amid a fleet of plain replies.

The bench steps a real `EntryReducer` ten times a second. Sidecars and other
entries are simple: they answer each heartbeat, send the entry as many probes
as it sends, and know the same table. Only the reducer's own steps, the
encoding of what it sends and the decoding of what it gets are timed.
"""

import collections
import dataclasses
import random
import time

import msgspec

from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_control
from rhubarbbank_core import events
from rhubarbbank_core import membership_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import store
from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_core import wire
from rhubarbbank_experiments import slopes_store

OWN_NAME = "entry-0"
OWN_ADDRESS = "127.0.0.1:1"
TABLE_KEY = "table"
ENTRY_PORT = 10_000
SIDECAR_PORT = 20_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """The fleet around the entry.

    Attributes:
        entries: With the one that is driven.
        sidecars: Upstreams in all.
        subset_size: Upstreams of each version that an entry uses.
        versions: Versions; each upstream has loaded one of them.
        data_centres: Data centres.
        organisations: Organisations; the table has a row for each version.
        shards: Ledger shards.
    """

    entries: int = 10
    sidecars: int = 60
    subset_size: int = 12
    versions: int = 1
    data_centres: int = 4
    organisations: int = 10
    shards: int = 8


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and bytes of one direction, by kind of message."""

    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    sizes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, message: effects.Message, size: int) -> None:
        """Counts one message."""
        kind = type(message).__name__
        self.messages[kind] += 1
        self.sizes[kind] += size

    def count(self) -> int:
        """Returns the number of messages."""
        return sum(self.messages.values())

    def size(self) -> int:
        """Returns the number of bytes."""
        return sum(self.sizes.values())


def build_table(shape: FleetShape, *, revision: int = 1) -> bytes:
    """Returns the stored table of a fleet."""
    rows = tuple(
        table.Row(
            organisation=f"organisation-{x:04d}",
            model=f"model-{y}",
            version="v1",
            classes=("chat", "plan", "tag"),
            requests_per_minute=6000,
            price_per_1k_tokens=100 + y,
        )
        for x in range(shape.organisations)
        for y in range(shape.versions)
    )
    return table_codec.encode_table(
        table_codec.StoredTable(
            table=table.Table(revision=revision, rows=rows),
            write_id=f"bench/{revision}",
        )
    )


class EntryBench:
    """One entry amid a fleet.

    Attributes:
        shape: The fleet around it.
        reducer: The entry.
        store: The object API.
        now: Seconds.
        cpu_s: Processor time of the entry's steps and codec.
        sent: What the entry sent.
        received: What the entry received.
        effects: Effects other than messages and store calls, as they came.
        host_list: The platform's host list in JSON, read each second.
        kept_list: The last list read, and its JSON; it is sent, and decoded,
            once.
    """

    def __init__(self, *, shape: FleetShape, seed: int = 1) -> None:
        self.shape = shape
        self.reducer = entry.EntryReducer(
            identity=entry_control.EntryIdentity(
                name=OWN_NAME,
                incarnation=1,
                peer_address=OWN_ADDRESS,
                data_centre=self.place(0),
                region="at-west",
            ),
            settings=entry_control.ControlSettings(
                shards=shape.shards, subset_size=shape.subset_size
            ),
            call_ids=effects.CallIds(),
            rng=random.Random(seed),
        )
        self.store = slopes_store.CountingStore()
        self.store.put(TABLE_KEY, build_table(shape))
        self.now = 1000.0
        self.cpu_s = 0.0
        self.sent = Traffic()
        self.received = Traffic()
        self.effects: list[fx.Effect] = []
        self.own: collections.deque[wire.AnyMessage] = collections.deque()
        self.sequence = 0
        self.hosts_due = 0.0
        self.host_list = b""
        self.kept_list: tuple[bytes, list[wire.ListedHost]] = (b"", [])
        self.tell_hosts()
        self.tell_entries()

    # The fleet around the entry.

    def place(self, number: int) -> str:
        """Returns the data centre of the n-th process of a kind."""
        return f"data-centre-{number % self.shape.data_centres}"

    def make_host(self, kind: str, number: int) -> wire.ListedHost:
        """Returns a line of the host list."""
        is_entry = kind == "entry"
        port = (ENTRY_PORT if is_entry else SIDECAR_PORT) + number
        address = f"127.0.0.1:{port}"
        return wire.ListedHost(
            name=f"{kind}-{number}",
            role="entry" if is_entry else "sidecar",
            data_centre=self.place(number),
            region="at-west",
            peer_address=OWN_ADDRESS if (is_entry and not number) else address,
            upstream="" if is_entry else address,
            kind="" if is_entry else "engine",
        )

    def tell_hosts(self) -> None:
        """Gives the entry the platform's host list."""
        hosts = [self.make_host("entry", x) for x in range(self.shape.entries)]
        hosts += [
            self.make_host("engine", x) for x in range(self.shape.sidecars)
        ]
        self.host_list = msgspec.json.encode(hosts)
        self.read_hosts()

    def read_hosts(self) -> None:
        """Lets the entry read the platform's list, decoding included."""
        if self.kept_list[0] != self.host_list:
            begin = time.process_time()
            hosts = msgspec.json.decode(
                self.host_list, type=list[wire.ListedHost]
            )
            self.cpu_s += time.process_time() - begin
            self.kept_list = (self.host_list, hosts)
        self.apply(events.HostsListed(self.kept_list[1]))

    def make_row(self, number: int) -> membership_messages.SidecarRow:
        """Returns what a sidecar says of itself."""
        host = self.make_host("engine", number)
        return membership_messages.SidecarRow(
            name=host.name,
            incarnation=1,
            generation=1,
            address=host.peer_address,
            data_centre=host.data_centre,
            upstream=host.upstream,
            kind=membership_messages.HostKind.ENGINE,
            versions=(f"model-{number % self.shape.versions}@v1",),
        )

    def tell_entries(self) -> None:
        """Gives the entry the directory that others already have."""
        rows = tuple(
            membership_messages.EntryRow(
                name=f"entry-{x}",
                incarnation=1,
                refutation=0,
                address=self.make_host("entry", x).peer_address,
                data_centre=self.place(x),
            )
            for x in range(1, self.shape.entries)
        )
        update = membership_messages.DirectoryUpdate(
            name="entry-1",
            entries=rows,
            sidecars=tuple(
                self.make_row(x) for x in range(self.shape.sidecars)
            ),
        )
        self.deliver(update)

    # Events and effects.

    def apply(self, event: events.AnyEvent) -> None:
        """Steps the entry and carries out its effects."""
        begin = time.process_time()
        out = self.reducer.step(now=self.now, event=event)
        self.cpu_s += time.process_time() - begin
        for effect in out:
            if isinstance(effect, effects.Send):
                self.send(effect)
            elif isinstance(effect, store.StoreCall):
                reply = self.store.call(effect)
                if reply is not None:
                    self.apply(events.StoreReplied(reply))
            else:
                self.effects.append(effect)

    def deliver(self, message: wire.AnyMessage) -> None:
        """Lets the entry receive a message, decoding included."""
        frame = wire.encode_frame([message])
        begin = time.process_time()
        messages = wire.decode_frame(frame)
        self.cpu_s += time.process_time() - begin
        self.received.add(message, len(frame))
        for each in messages:
            self.apply(events.MessageReceived(each))

    def send(self, effect: effects.Send) -> None:
        """Takes what the entry sends, and answers as the fleet would."""
        message = effect.message
        if effect.address == OWN_ADDRESS:
            self.own.append(message)  # type: ignore[arg-type]
            return
        begin = time.process_time()
        frame = wire.ENCODER.encode([message])
        self.cpu_s += time.process_time() - begin
        self.sent.add(message, len(frame))
        if isinstance(message, membership_messages.Hello):
            self.deliver(self.answer_hello(effect.address, message))
        elif isinstance(message, membership_messages.EntryHeartbeat):
            self.answer_heartbeat(effect.address, message)

    def answer_hello(
        self, address: str, hello: membership_messages.Hello
    ) -> membership_messages.SidecarHeartbeat:
        """Returns a sidecar's answer."""
        number = int(address.rpartition(":")[2]) - SIDECAR_PORT
        self.sequence += 1
        return membership_messages.SidecarHeartbeat(
            name=f"engine-{number}",
            incarnation=1,
            sequence=self.sequence,
            echo=hello.sequence,
            revision=hello.revision,
            digest=hello.digest,
            running=3,
            max_batch=32,
            load_age_ms=250,
            row=None if hello.known_incarnation else self.make_row(number),
        )

    def answer_heartbeat(
        self, address: str, probe: membership_messages.EntryHeartbeat
    ) -> None:
        """Answers an entry's probe, and probes it as often."""
        if not probe.wants_reply:
            return
        number = int(address.rpartition(":")[2]) - ENTRY_PORT
        for wants_reply in (False, True):
            self.sequence += 1
            self.deliver(
                membership_messages.EntryHeartbeat(
                    name=f"entry-{number}",
                    sequence=self.sequence,
                    echo=probe.sequence,
                    revision=probe.revision,
                    digest=probe.digest,
                    directory_digest=probe.directory_digest,
                    view_size=probe.view_size,
                    confirmed_age_ms=400,
                    wants_reply=wants_reply,
                )
            )

    def tick(self) -> None:
        """Lets one tick's time pass."""
        self.now += defaults.TICK_S
        if self.now >= self.hosts_due:
            self.hosts_due = self.now + defaults.HOST_LIST_PERIOD_S
            self.read_hosts()
        self.apply(events.Ticked())
        self.carry_own()

    def carry_own(self) -> None:
        """Delivers what the entry sent to itself."""
        while self.own:
            self.apply(events.MessageReceived(self.own.popleft()))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / defaults.TICK_S)):
            self.tick()

    def reset(self) -> None:
        """Starts counting anew."""
        self.cpu_s = 0.0
        self.sent = Traffic()
        self.received = Traffic()
        self.store.calls.clear()
        self.effects.clear()
