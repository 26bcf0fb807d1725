"""Steps for the ledger."""

import random
import tracemalloc

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import ledger_fake_store
import ledger_world

from rhubarbbank_core import allowance_owner
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_client
from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_memory
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import rendezvous
from rhubarbbank_core import store

Fault = ledger_world.Fault
Kind = ledger_records.RecordKind
ACTIONS = (
    *["put"] * 6,
    *["message"] * 4,
    *["call"] * 4,
    *["run"] * 3,
    *["tick"] * 3,
    "drop",
    "repeat",
    "advance",
    "land",
    "pause",
    "resume",
    "kill",
    "live",
    "view",
    "down",
    "up",
)


@then("{runs:d} random ledger runs agree with a naive dictionary")
def random_runs(context, runs):
    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=runs,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.integers(0, 2**32), strategies.integers(20, 90)
    )
    def run(seed, steps):
        check_random_run(random.Random(seed), steps)

    run()


def check_random_run(rng, steps):
    world = ledger_world.World()
    for number in range(steps):
        act(world, rng, number)
        world.check()
    heal(world)
    world.check()
    check_settled(world)


def act(world, rng, number):
    """Does one random thing to the world."""
    action = rng.choice(ACTIONS)
    owner = world.owners[rng.choice("abc")]
    if action in {"message", "repeat", "drop", "call"}:
        carry_one(world, rng, action)
    elif action in {"pause", "resume", "kill", "live", "view"}:
        disturb_owner(world, rng, action, owner)
    elif action == "put":
        put_random(world, rng, number)
    elif action == "run":
        world.run(rng.choice([0.1, 0.5]))
    elif action == "tick":
        world.tick(rng.choice("abcxy"))
    elif action == "advance":
        world.now += rng.choice([0.2, 2.0, 9.0, 20.0])
    elif action == "land":
        world.land()
    else:
        world.down = action == "down"


def carry_one(world, rng, action):
    """Delivers, repeats or loses one message, or carries out one call."""
    if action == "call":
        if world.calls:
            fault = rng.choice([*[Fault.NONE] * 4, *Fault])
            world.answer(rng.randrange(len(world.calls)), fault)
        return
    if not world.messages:
        return
    position = rng.randrange(len(world.messages))
    if action == "drop":
        world.messages.pop(position)
    else:
        world.deliver(position, repeat=action == "repeat")


def disturb_owner(world, rng, action, owner):
    """Pauses, resumes or restarts an owner, or changes who seems alive."""
    if action in {"pause", "resume"}:
        owner.paused = action == "pause"
    elif action == "kill":
        world.kill(owner.name)
    else:
        names = [name for name in "abc" if rng.random() < 0.7] or ["a"]
        world.set_live(names, only=owner.name if action == "view" else None)


def put_random(world, rng, number):
    records = []
    for _ in range(rng.choice([1, 1, 1, 2])):
        kind = rng.choice(list(Kind))
        if kind is Kind.BILL:
            # A bill's value belongs to its request, whoever hands it in.
            name = f"bill/{number - rng.choice([0, 0, 0, 1, 2])}"
            records.append(ledger_records.Record(name, kind, name.encode()))
            continue
        name = f"{kind.name.lower()}/{rng.randrange(6)}"
        value = f"{number}/{rng.randrange(100)}".encode()
        records.append(ledger_records.Record(name, kind, value))
    world.put(rng.choice("xy"), records, wait_durable=rng.random() < 0.5)


def heal(world):
    world.down = False
    for process in world.owners.values():
        process.paused = False
    world.set_live("abc")
    world.run(20.0, step_s=0.2)


def check_settled(world):
    for client in world.clients.values():
        assert not client.open, client.open
    for put_id in world.puts:
        results = world.results(put_id)
        assert results, f"put {put_id} was never answered"
        last = results[-1]
        if isinstance(last, ledger_client.PutSettled):
            assert last.durable, "accepted and then forgotten"


# Single situations.


def owner_of(world, key):
    shard = ledger_records.shard_of(key, ledger_world.SHARDS)
    subject = ledger_records.shard_subject(shard)
    live = next(iter(world.clients.values())).live
    return rendezvous.select(subject, live)


def put_one(context, client, kind, key, value, *, wait_durable):
    record = ledger_records.Record(key, Kind[kind.upper()], value.encode())
    (context.put_id,) = context.world.put(
        client, [record], wait_durable=wait_durable
    )
    context.key = key


@given("a ledger with the owners {names} and a client")
def make_world(context, names):
    context.world = ledger_world.World(names.replace(", ", ""))
    context.world.run(5.0)


@given('the ledger holds the {kind} "{key}" as "{value}"')
@when('the ledger client puts the {kind} "{key}" as "{value}"')
def put_durable(context, kind, key, value):
    put_one(context, "x", kind, key, value, wait_durable=True)
    context.world.run(0.3)


@when('the ledger client puts the {kind} "{key}" as "{value}" without waiting')
def put_provisional(context, kind, key, value):
    put_one(context, "x", kind, key, value, wait_durable=False)
    context.world.run(0.3)


@when("the store does not answer the ledger")
def store_silent(context):
    context.world.held_back = lambda process, call: True


@when(
    'another ledger client puts the {kind} "{key}" as "{value}" without waiting'
)
def put_other_provisional(context, kind, key, value):
    put_one(context, "y", kind, key, value, wait_durable=False)
    context.world.run(0.3)


@then('the first ledger client\'s put was answered "{told}"')
def check_first(context, told):
    context.put_id = next(iter(context.world.puts))
    check_told(context, told)


@when('another ledger client puts the {kind} "{key}" as "{value}"')
def put_other(context, kind, key, value):
    put_one(context, "y", kind, key, value, wait_durable=True)
    context.world.run(0.3)


@when("the ledger's former owner resumes with the same put already in hand")
def resume_with_put(context):
    context.former.paused = False
    context.world.run(0.5)


@when("the ledger owner of that key is paused for {seconds:d} seconds")
def pause_owner(context, seconds):
    world = context.world
    context.former = world.owners[owner_of(world, context.key)]
    context.former.paused = True
    others = [name for name in world.owners if name != context.former.name]
    world.set_live(others)
    world.run(seconds, step_s=0.2)


@when("the ledger owner of that key is killed")
def kill_owner(context):
    world = context.world
    name = owner_of(world, context.key)
    del world.owners[name]
    world.set_live(list(world.owners))
    world.run(1.0)


@when("the ledger owner of that bill is killed")
def kill_bill_owner(context):
    context.key = "bill/0"
    kill_owner(context)


@when("the ledger owner of that key leaves in good order")
def leave(context):
    world = context.world
    name = owner_of(world, context.key)
    world.set_live([other for other in world.owners if other != name])
    world.run(1.5)


@when("the store is down for everyone")
def store_down(context):
    context.world.down = True
    context.world.run(1.0)


@when("the store is back")
def store_back(context):
    context.world.down = False


@when("{seconds:d} ledger seconds pass")
def pass_time(context, seconds):
    context.world.run(seconds)


@then('the ledger client was told "{told}"')
def check_told(context, told):
    results = context.world.results(context.put_id)
    seen = []
    for event in results:
        for status in event.statuses:
            word = status.status.name.lower()
            durable = getattr(event, "durable", False)
            value = status.value.decode()
            seen.append(f"{word} {value}{' durable' * durable}".strip())
    assert ", then ".join(seen) == told, seen
    context.world.check()


@then("the ledger client was not answered yet")
def check_unanswered(context):
    assert not context.world.results(context.put_id)


@then("the ledger's former owner holds no shard")
def check_former(context):
    assert not context.former.owner.owned, context.former.owner.owned


@when("the ledger client puts {count:d} bills, each of them twice")
def put_bills(context, count):
    world = context.world
    for number in range(count):
        name = f"bill/{number}"
        record = ledger_records.Record(name, Kind.BILL, b"x" * 80)
        for client in ("x", "y"):
            world.put(client, [record], wait_durable=True)
        world.run(0.2)


@then("each of the {count:d} bills is in the ledger's objects once")
def check_bills(context, count):
    objects = context.world.store.objects
    bills = ledger_log.read_bills(objects.values())
    assert sorted(bill.key for bill in bills) == sorted(
        f"bill/{number}" for number in range(count)
    )
    context.world.check()


@then("the ledger's log is at most {count:d} segments long")
def check_log_length(context, count):
    for shard in range(ledger_world.SHARDS):
        prefix = ledger_log.log_prefix(shard)
        keys = [k for k in context.world.store.objects if k.startswith(prefix)]
        assert 1 <= len(keys) <= count, keys


@then("each ledger owner's allowance owner owns what it owns, confirmed")
def check_follow(context):
    world = context.world
    origins = set()
    for process in world.owners.values():
        owner = allowance_owner.AllowanceOwner(
            name=process.name, shards=ledger_world.SHARDS
        )
        owner.follow(ledger=process.owner)
        assert set(owner.tenures) == set(process.owner.owned)
        for shard, tenure in owner.tenures.items():
            origins.add(tenure.origin.name)
            assert process.owner.is_confirmed(
                now=world.now, shard=shard, within_s=6.0
            )
    assert "RELEASED" in origins, origins


# Rare orders of events.


def one_owner(context):
    """Returns the owner of shard 0 and a key maker for that shard."""
    world = context.world
    subject = ledger_records.shard_subject(0)
    name = rendezvous.select(subject, world.owners)
    keys = (f"key/{number}" for number in range(1000))
    shard_keys = (
        key
        for key in keys
        if ledger_records.shard_of(key, ledger_world.SHARDS) == 0
    )
    return world.owners[name], shard_keys


def replace_owner(world, former):
    former.paused = True
    world.set_live([name for name in world.owners if name != former.name])


def put_many(world, client, keys, kind, count):
    for _ in range(count):
        key = next(keys)
        record = ledger_records.Record(key, kind, key.encode())
        world.put(client, [record], wait_durable=True)
        world.run(0.3)


@when(
    "a ledger owner's segment is created only after its successor deleted"
    " that one"
)
def late_segment(context):
    world = context.world
    former, keys = one_owner(context)
    world.held_back = lambda process, call: process is former
    put_many(world, "x", keys, Kind.CLAIM, 1)
    ((_, call),) = [item for item in world.calls if "/log/" in item[1].key]
    replace_owner(world, former)
    world.run(4.0)
    put_many(world, "y", keys, Kind.CLAIM, 8)
    world.run(30.0)
    context.former = former
    assert call.key not in world.store.objects
    former.paused = False
    world.held_back = lambda process, call: False
    world.answer(world.calls.index((former, call)))
    assert call.key in world.store.objects, "the create did not succeed"


@then("that ledger owner tells nobody that the records are durable")
def check_no_false_reply(context):
    for _ in range(10):
        assert not any(
            message.durable
            for _, message in context.world.messages
            if isinstance(message, ledger_messages.LedgerReply)
        )
        context.world.run(0.1)


@when("a ledger checkpoint lands after the next owner read the former one")
def late_checkpoint(context):
    world = context.world
    former, keys = one_owner(context)
    world.held_back = lambda process, call: call.key.endswith("/checkpoint")
    put_many(world, "x", keys, Kind.CLAIM, 3)
    put_many(world, "x", keys, Kind.BILL, 4)
    replace_owner(world, former)
    world.held_back = lambda process, call: (
        process is not former
        and call.operation is store.StoreOperation.PUT
        and "/log/" not in call.key
    )
    world.run(4.0)
    former.paused = False
    world.run(3.0)
    world.held_back = lambda process, call: False
    put_many(world, "y", keys, Kind.BILL, 4)
    world.run(5.0)
    context.bills = 8


@then("each bill that the ledger clients put is there once")
def check_bill_count(context):
    context.world.check()
    objects = context.world.store.objects.values()
    assert len(ledger_log.read_bills(objects)) == context.bills


@when("the answer to a ledger owner's release is lost in an outage")
def lost_release(context):
    world = context.world
    former, keys = one_owner(context)
    put_many(world, "x", keys, Kind.CLAIM, 1)
    context.key = next(keys)
    context.former = former
    world.set_live([name for name in world.owners if name != former.name])
    world.held_back = lambda process, call: True
    world.tick(former.name)
    world.run(2.5)
    (position,) = [
        position
        for position, (process, call) in enumerate(world.calls)
        if process is former
        and "0/log/" in call.key
        and ledger_log.SEGMENT_DECODER.decode(call.value).released
    ]
    world.answer(position, Fault.ANSWER_LOST)
    world.down = True
    world.held_back = lambda process, call: False
    world.set_live(list(world.owners))
    world.run(1.0)


@then("that ledger owner accepts nothing without durability")
def check_no_acceptance(context):
    world = context.world
    assert 0 in context.former.owner.owned
    record = ledger_records.Record(context.key, Kind.PIN, b"v")
    (put_id,) = world.put("x", [record], wait_durable=False)
    world.run(2.0)
    assert not any(
        isinstance(event, ledger_client.PutSettled)
        for event in world.results(put_id)
    )


@when(
    "{count:d} ledger puts are accepted in an outage and every answer is lost"
)
def lose_answers(context, count):
    world = context.world
    _, keys = one_owner(context)
    world.down = True
    world.run(1.0)
    for _ in range(count):
        record = ledger_records.Record(next(keys), Kind.PIN, b"v")
        world.put("x", [record], wait_durable=False)
    world.run(0.5)
    assert len(world.clients["x"].open) == count
    world.down = False
    for _ in range(60):
        world.now += 0.1
        for name in world.owners:
            world.tick(name)
        world.carry()
        world.messages.clear()
    assert len(world.clients["x"].open) == count


@then("the ledger client knows within {seconds:d} seconds that all are durable")
def check_drained(context, seconds):
    context.world.run(seconds)
    assert not context.world.clients["x"].open
    context.world.check()


# Cost.


class Load:
    """One owner with one shard, driven at a steady rate in ticks of 0.5 s."""

    def __init__(self):
        self.store = ledger_fake_store.FakeStore()
        self.written = 0
        self.calls = 0
        self.replies = []
        self.now = 0.0
        self.count = 0
        self.down = False
        self.rewritten = 0
        self.owner = ledger_owner.LedgerOwner(
            name="a",
            incarnation="a/0",
            shards=1,
            call_ids=effects.CallIds(),
            rng=random.Random(1),
            calls_per_s=10.0,
        )
        self.owner.set_live(now=0.0, names=["a"])

    def carry(self, out):
        for effect in out:
            if isinstance(effect, effects.Send):
                self.replies.append(effect.message)
                continue
            fault = Fault.DOWN if self.down else Fault.NONE
            if effect.operation is store.StoreOperation.PUT:
                self.written += len(effect.value)
            if effect.operation is not store.StoreOperation.GET:
                self.calls += 1
            reply = self.store.call(effect, fault)
            self.carry(
                self.owner.store_reply(
                    now=self.now, reply=reply, outage_confirmed=self.down
                )
            )

    def run(self, seconds, per_s, kinds):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            out = self.owner.tick(now=self.now, outage_confirmed=self.down)
            self.carry(out)
            records = []
            for _ in range(per_s // 2):
                self.count += 1
                kind = kinds[self.count % len(kinds)]
                key = f"{kind.name.lower()}/{self.count:020d}"
                records.append(ledger_records.Record(key, kind, b"x" * 92))
            put = ledger_messages.LedgerPut(
                put_id=self.count,
                reply_to="x",
                shard=0,
                records=tuple(records),
                wait_durable=False,
            )
            self.carry(
                self.owner.message(
                    now=self.now, message=put, outage_confirmed=self.down
                )
            )
            self.rewritten += self.rewritten_size()

    def rewritten_size(self):
        """The bytes of the one object that rewriting would write now."""
        owned = self.owner.owned.get(0)
        if owned is None:
            return 0
        kept = sum(owned.memory.kept_bytes.values())
        digests = len(owned.memory.digests) * ledger_memory.DIGEST_BYTES
        bills = sum(
            ledger_memory.size_of(bill) for _, bill in owned.memory.bills
        )
        return kept + digests + bills


@when(
    "a ledger shard takes {per_s:d} records a second of about 120 bytes for"
    " {seconds:d} seconds"
)
def steady_load(context, per_s, seconds):
    context.load = Load()
    context.load.run(1.0, 0, [Kind.PIN])
    context.load.run(seconds, per_s, [Kind.BILL, Kind.PIN])


@then(
    "the ledger writes at most {bound:d} bytes a record, and rewriting one"
    " object {times:d} times as many or more"
)
def check_written(context, bound, times):
    load = context.load
    segments = load.written / load.count
    rewriting = load.rewritten / load.count
    print(
        f"bytes a record: segments {segments:.0f}, rewriting {rewriting:.0f};"
        f" writing calls a second {load.calls / load.now:.1f}"
    )
    assert segments <= bound, segments
    assert rewriting >= times * segments, rewriting


@when(
    "the store is down for {seconds:d} seconds for a ledger shard with"
    " {per_s:d} records a second"
)
def outage_load(context, seconds, per_s):
    load = context.load = Load()
    load.run(1.0, 0, [Kind.PIN])
    load.down = True
    tracemalloc.start()
    load.run(seconds, per_s, [Kind.BILL, Kind.PIN])
    context.memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    load.down = False


@then(
    "the ledger shard holds {count:d} records in at most {megabytes:d} MB and"
    " stores all of them afterwards"
)
def check_outage(context, count, megabytes):
    load = context.load
    owned = load.owner.owned[0]
    held = len(owned.backlog.pending) + len(owned.backlog.sealed)
    print(
        f"held in the outage: {held} records,"
        f" {owned.backlog.size_bytes / 1e6:.1f} MB of records,"
        f" {context.memory_bytes / 1e6:.1f} MB of memory with their replies"
    )
    assert held == count, held
    assert context.memory_bytes <= megabytes * 1e6, context.memory_bytes
    load.run(30.0, 0, [Kind.PIN])
    assert owned.backlog.is_empty()
    bills = ledger_log.read_bills(load.store.objects.values())
    assert len(bills) == count / 2, len(bills)
