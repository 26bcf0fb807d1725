"""Steps for an allowance whose owner dies: whole entries in memory."""

import dataclasses
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import ledger_fake_store

from rhubarbbank_core import allowances
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import entry_control
from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous
from rhubarbbank_core import store
from rhubarbbank_core import wire

KEY = allowances.allowance_key("club", "chat", "1")
SHARDS = 2
NAMES = ("entry-0", "entry-1", "entry-2")
TICK_S = 0.05


class Trio:
    """Three entries, a store and messages that take some milliseconds."""

    def __init__(self):
        self.rng = random.Random(1)
        self.now = 100.0
        self.order = itertools.count()
        self.queue = []
        self.store = ledger_fake_store.FakeStore()
        self.entries = {}
        self.runs = 0
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.runs += 1
        self.entries[name] = control = entry_control.EntryControl(
            identity=entry_control.EntryIdentity(
                name=name,
                incarnation=self.runs,
                peer_address=name,
                data_centre="here",
                region="region",
            ),
            settings=entry_control.ControlSettings(shards=SHARDS),
            call_ids=effects.CallIds(),
            rng=random.Random(self.runs),
        )
        control.leases.set_allowances(requests_per_minute={KEY: 600.0})

    def carry_out(self, name, found):
        for effect in found:
            if isinstance(effect, effects.Send):
                self.later(0.005, effect.address, None, effect.message)
                continue
            wait_s = 0.02
            if effect.operation is store.StoreOperation.WATCH:
                wait_s = 0.5
                reply = store.StoreReply(
                    call_id=effect.call_id,
                    outcome=store.StoreOutcome.OK,
                    revision=self.store.revision,
                )
            else:
                reply = self.store.call(effect)
            reply = dataclasses.replace(reply, call_id=effect.call_id)
            self.later(wait_s, name, self.entries[name], reply)

    def later(self, wait_s, name, control, event):
        item = (self.now + wait_s, next(self.order), name, control, event)
        heapq.heappush(self.queue, item)

    def run(self, seconds, busy=()):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            while self.queue and self.queue[0][0] <= self.now:
                _, _, name, control, event = heapq.heappop(self.queue)
                self.take(name, control, event)
            for name, control in list(self.entries.items()):
                control.hosts(now=self.now, listed=list_hosts())
                self.carry_out(name, control.tick(now=self.now).effects)
                if name in busy and self.rng.random() < 0.05:
                    self.try_take(name, is_retry=False)

    def take(self, name, control, event):
        entry = self.entries.get(name)
        if entry is None or control not in (None, entry):
            return
        if isinstance(event, store.StoreReply):
            step = entry.store_reply(now=self.now, reply=event)
        else:
            step = entry.message(now=self.now, message=event)
        self.carry_out(name, step.effects)

    def try_take(self, name, *, is_retry):
        found = self.entries[name].slices.try_take(
            now=self.now, key=KEY, is_retry=is_retry
        )
        self.carry_out(name, found.sends)
        return found.admitted

    def owner(self):
        shard = ledger_records.shard_of(KEY, SHARDS)
        for name, control in self.entries.items():
            if shard in control.owner.owned:
                return name
        return None


def list_hosts():
    return [
        wire.ListedHost(
            name=name,
            role="entry",
            data_centre="here",
            region="region",
            peer_address=name,
        )
        for name in NAMES
    ]


@given("three entries in memory, one of which uses an allowance of another")
def make_trio(context):
    context.trio = trio = Trio()
    subject = ledger_records.shard_subject(ledger_records.shard_of(KEY, SHARDS))
    ranked = rendezvous.rank(subject, NAMES)
    context.first, context.second, context.third = ranked
    trio.run(20.0, busy=[context.second])
    assert trio.owner() == context.first


@when("the owner of the allowance dies and {which} owns it")
def kill_owner(context, which):
    trio = context.trio
    del trio.entries[context.first]
    while trio.owner() != context.second:
        trio.run(TICK_S, busy=[context.second])
    context.name = context.third
    if which == "its restarted process":
        trio.start(context.first)
        while trio.owner() != context.first:
            trio.run(TICK_S, busy=[context.second])
        context.name = context.first


@then("a request at an entry that had no slice of it is admitted in time")
def check_admitted(context):
    trio = context.trio
    end = trio.now + defaults.SLICE_WAIT_S
    admitted = trio.try_take(context.name, is_retry=False)
    while not admitted and trio.now < end:
        trio.run(TICK_S, busy=[context.second])
        admitted = trio.try_take(context.name, is_retry=True)
    assert admitted
