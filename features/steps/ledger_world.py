"""A small world of ledger owners and clients over one fake store.

Messages and store calls wait in lists until the test delivers them, loses
them or repeats them. `check` compares the world with a naive dictionary that
is built from the first creation of each segment.
"""

import random

import ledger_fake_store

from rhubarbbank_core import effects
from rhubarbbank_core import ledger_client
from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import store
from rhubarbbank_core import store_client

Fault = ledger_fake_store.Fault
Kind = ledger_records.RecordKind
SHARDS = 2
TIMING = ledger_context.LedgerTiming(
    confirm_after_s=8.0, segment_keep_s=16.0, checkpoint_segments=3
)
LIMITS = store_client.StoreLimits(writes_per_s=20.0, reads_per_s=20.0)


class OtherLive:
    """Names the first other live entry as deputy."""

    def __init__(self, owner):
        self.owner = owner

    def choose(self, *, shard):
        del shard
        others = self.owner.live - {self.owner.context.name}
        return (min(others), 1) if others else None


class OwnerProcess:
    """An entry: a ledger owner with its store client."""

    def __init__(self, name, run):
        ids = effects.CallIds()
        rng = random.Random(f"{name}{run}")
        self.name = name
        self.run = run
        self.paused = False
        self.writes = []
        self.client = store_client.StoreClient(
            call_ids=ids, rng=rng, limits=LIMITS
        )
        self.owner = ledger_owner.LedgerOwner(
            name=name,
            incarnation=f"{name}/{run}",
            shards=SHARDS,
            call_ids=ids,
            rng=rng,
            calls_per_s=15.0,
            timing=TIMING,
        )
        self.owner.context.deputies = OtherLive(self.owner)


class World:
    """Owners a, b and c, clients x and y, and what is on its way."""

    def __init__(self, owners="abc", clients="xy"):
        self.now = 0.0
        self.down = False
        self.store = ledger_fake_store.FakeStore()
        self.first_segments = {}
        self.calls = []
        self.messages = []
        self.owners = {name: OwnerProcess(name, 0) for name in owners}
        self.clients = {
            name: ledger_client.LedgerClient(
                address=name, shards=SHARDS, rng=random.Random(name)
            )
            for name in clients
        }
        self.events = []
        self.held_back = lambda process, call: False
        self.puts = {}
        self.set_live(owners)

    # Events into the processes.

    def set_live(self, names, only=None):
        for process in self.owners.values():
            if only in {None, process.name} and not process.paused:
                process.owner.set_live(now=self.now, names=names)
        for client in self.clients.values():
            if only is None:
                client.set_live(now=self.now, names=names)

    def put(self, client, records, *, wait_durable):
        step = self.clients[client].put(
            now=self.now, records=records, wait_durable=wait_durable
        )
        self.take_client(client, step)
        for put_id in step.ids:
            self.puts[put_id] = (records, wait_durable)
        return step.ids

    def tick(self, name):
        if name in self.clients:
            self.take_client(name, self.clients[name].tick(now=self.now))
            return
        process = self.owners[name]
        if process.paused:
            return
        self.take_store(process, process.client.tick(now=self.now))
        self.take_owner(
            process,
            process.owner.tick(now=self.now, outage_confirmed=self.down),
        )

    def deliver(self, position, *, repeat=False):
        address, message = self.messages.pop(position)
        if repeat:
            self.messages.append((address, message))
        if address in self.clients:
            step = self.clients[address].message(now=self.now, message=message)
            self.take_client(address, step)
            return
        process = self.owners.get(address)
        if process is None:
            return
        if process.paused:
            self.messages.append((address, message))
            return
        self.take_owner(
            process,
            process.owner.message(
                now=self.now, message=message, outage_confirmed=self.down
            ),
        )

    def answer(self, position, fault=Fault.NONE):
        process, call = self.calls[position]
        if process.paused:
            return
        del self.calls[position]
        if self.down:
            fault = Fault.DOWN
        reply = self.store.call(call, fault)
        self.note_segments()
        if self.owners.get(process.name) is process:
            step = process.client.reply(now=self.now, reply=reply)
            self.take_store(process, step)

    def land(self):
        if not self.down:
            self.store.land()
            self.note_segments()

    def kill(self, name):
        self.owners[name] = OwnerProcess(name, self.owners[name].run + 1)

    # Effects out of the processes.

    def take_client(self, name, step):
        self.events.extend((name, event) for event in step.events)
        self.messages.extend((s.address, s.message) for s in step.sends)

    def take_owner(self, process, out):
        for effect in out:
            if isinstance(effect, effects.Send):
                self.messages.append((effect.address, effect.message))
            else:
                step = process.client.submit(now=self.now, call=effect)
                self.take_store(process, step)

    def take_store(self, process, step):
        for call in step.calls:
            self.calls.append((process, call))
            if call.operation in {
                store.StoreOperation.PUT,
                store.StoreOperation.DELETE,
            }:
                process.writes.append(self.now)
        for reply in step.settled:
            self.take_owner(
                process,
                process.owner.store_reply(
                    now=self.now, reply=reply, outage_confirmed=self.down
                ),
            )

    def run(self, seconds, step_s=0.1):
        """Lets time pass with every message and call carried out."""
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            for name in [*self.owners, *self.clients]:
                self.tick(name)
            for _ in range(30):
                self.carry()

    def carry(self):
        """Carries out what is on its way now, once."""
        for _ in range(len(self.messages)):
            self.deliver(0)
        position = 0
        while position < len(self.calls):
            process, call = self.calls[position]
            if process.paused or self.held_back(process, call):
                position += 1
            else:
                self.answer(position)

    # What must hold.

    def note_segments(self):
        for key, item in self.store.objects.items():
            if "/log/" in key:
                self.first_segments.setdefault(key, item.value)

    def committed(self):
        """The naive dictionary: first value by key, over the whole log."""
        values = {}
        for key in sorted(self.first_segments):
            segment = ledger_log.SEGMENT_DECODER.decode(
                self.first_segments[key]
            )
            for record in segment.records:
                assert record.key not in values, f"{record.key} stored twice"
                values[record.key] = record
        return values

    def recovered(self):
        """What a new owner would find, all shards together."""
        found = {}
        for shard in range(SHARDS):
            memory = ledger_memory.ShardMemory(
                retention=ledger_memory.Retention(),
                fold=ledger_records.DiscardEvidence(),
            )
            prefix = ledger_log.log_prefix(shard)
            item = self.store.objects.get(ledger_log.checkpoint_key(shard))
            assert ledger_memory.recover(
                memory,
                segments=[
                    (
                        ledger_log.sequence_of(key),
                        ledger_log.SEGMENT_DECODER.decode(segment.value),
                    )
                    for key, segment in sorted(self.store.objects.items())
                    if key.startswith(prefix)
                ],
                checkpoint=item
                and ledger_log.CHECKPOINT_DECODER.decode(item.value),
                now=self.now,
            ), "segments are missing"
            for records in memory.kept.values():
                found.update(
                    {key: kept.record for key, kept in records.items()}
                )
        return found

    def check(self):
        committed = self.committed()
        recovered = self.recovered()
        for key, record in committed.items():
            if record.kind not in {Kind.BILL, Kind.EVIDENCE}:
                assert recovered.get(key) == record, f"{key} lost"
        bills = ledger_log.read_bills(self.store.objects.values())
        keys = [bill.key for bill in bills]
        assert len(keys) == len(set(keys)), f"billed twice: {keys}"
        assert set(keys) == {
            key for key, item in committed.items() if item.kind is Kind.BILL
        }, "bills differ from what was committed"
        for _, event in self.events:
            if isinstance(event, ledger_client.PutSettled) and event.durable:
                self.check_durable(event, committed)
        for process in self.owners.values():
            check_budget(process)
        for shard in range(SHARDS):
            self.check_deputies(shard)

    def check_deputies(self, shard):
        """The owner knows whom the log names, and since when."""
        prefix = ledger_log.log_prefix(shard)
        log = {
            ledger_log.sequence_of(key): ledger_log.SEGMENT_DECODER.decode(
                value
            )
            for key, value in self.first_segments.items()
            if key.startswith(prefix)
        }
        if not log:
            return
        head = log[max(log)]
        if head.deputy is not None:
            for sequence in range(head.deputy.generation, max(log) + 1):
                assert log[sequence].deputy == head.deputy, sequence
                assert log[sequence].fence == head.fence, sequence
        for process in self.owners.values():
            owned = process.owner.owned.get(shard)
            if owned is None or owned.fence != head.fence or head.released:
                continue
            known = [owned.naming.settled]
            if owned.backlog.sealed_value:
                known.append(owned.naming.sealed)
            assert head.deputy in known, (head.deputy, known)

    def check_durable(self, event, committed):
        for status in event.statuses:
            record = committed.get(status.key)
            assert record is not None, f"{status.key} is not in the store"
            if record.kind not in {Kind.BILL, Kind.EVIDENCE}:
                assert status.value == record.value, f"{status.key} forked"

    def results(self, put_id):
        return [
            event
            for _, event in self.events
            if getattr(event, "put_id", None) == put_id
        ]


def check_budget(process):
    writes = process.writes
    if not writes:
        return
    # Only windows that end with the newest write are new.
    end = writes[-1]
    for count, start in enumerate(reversed(writes), start=1):
        allowed = LIMITS.writes_per_s * (1.0 + end - start)
        assert count <= allowed + 1e-6, "over the call budget"


def not_owner_count(world):
    return sum(
        isinstance(message, ledger_messages.LedgerNotOwner)
        for _, message in world.messages
    )
