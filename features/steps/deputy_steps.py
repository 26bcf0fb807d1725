"""Steps for the deputies of allowance owners: random runs of a plain model.

The log is modelled as the store's newest segment; writes to it and answers
take their time. Owners and deputies die, pause and come back.
"""

import random
import types

import allowances_steps
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec
from support import trials

from rhubarbbank_core import allowance_book
from rhubarbbank_core import allowance_bounds
from rhubarbbank_core import allowance_deputy
from rhubarbbank_core import allowance_owner
from rhubarbbank_core import allowance_raises
from rhubarbbank_core import allowances
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import entry_control
from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_takeover
from rhubarbbank_core import rendezvous

KEY = allowances_steps.KEY
PROCESSES = ("p0", "p1", "p2")
RETURN_S = 1.0
SLACK = 1e-6
Origin = ledger_takeover.ShardOrigin


class Process:
    """An owner of allowances, and a deputy of others."""

    def __init__(self, *, name, incarnation, world):
        self.name = name
        self.incarnation = incarnation
        self.paused_until = 0.0
        self.write_open = False
        self.owned = {}
        self.books = allowance_deputy.DeputyBooks(
            address=name, incarnation=incarnation
        )
        self.leases = allowance_owner.AllowanceOwner(
            name=name, shards=1, terms=world.terms, deputies=self.books
        )
        self.leases.set_allowances(requests_per_minute={KEY: world.limit})
        self.gate = allowance_raises.RaiseGate(
            leases=self.leases, ledger=types.SimpleNamespace(owned=self.owned)
        )


class DeputyWorld(allowances_steps.World):
    """Three processes, of which one owns the allowance at a time."""

    def __init__(self, **arguments):
        self.processes = {}
        self.seen = {}
        self.news = []
        self.store_down = False
        # Holders that don't hear who lives.
        self.deaf = set()
        self.runs = 0
        self.log = types.SimpleNamespace(
            sequence=0, owner="", fence=0, deputy=None, leases=None
        )
        self.superseded_at = {}
        self.inherited = 0
        self.pulled = 0
        super().__init__(**arguments)

    # The world's own owners are replaced by the processes.

    def add_owner(self, origin, leases=None):
        del origin, leases
        for name in PROCESSES:
            self.start(name)
        self.apply_news(float("inf"))

    def tell_live(self):
        for holder in self.holders.values():
            holder.set_live(names=PROCESSES)

    def start(self, name):
        self.runs += 1
        self.processes[name] = Process(
            name=name, incarnation=self.runs, world=self
        )
        self.news.append((self.now + RETURN_S, name, self.runs))

    def kill(self, name):
        if self.processes.pop(name, None) is not None:
            at = self.now + allowances_steps.DETECTION_S
            self.news.append((at, name, None))

    def part(self, name, seconds):
        """The others no longer see a process that goes on."""
        process = self.processes.get(name)
        if process is not None:
            self.news.append((self.now, name, None))
            back_at = self.now + seconds
            self.news.append((back_at, name, process.incarnation))

    def pause(self, name, seconds):
        process = self.processes.get(name)
        if process is None:
            return
        process.paused_until = self.now + seconds
        if seconds > allowances_steps.DETECTION_S:
            at = self.now + allowances_steps.DETECTION_S
            self.news.append((at, name, None))
            at = process.paused_until + RETURN_S
            self.news.append((at, name, process.incarnation))

    def apply_news(self, until):
        for item in sorted(self.news, key=lambda item: item[0]):
            at, name, incarnation = item
            if at > until:
                continue
            self.news.remove(item)
            if incarnation is None:
                self.seen.pop(name, None)
            else:
                self.seen[name] = incarnation

    # Time.

    def follow_kills(self):
        self.apply_news(self.now)
        for process in list(self.processes.values()):
            if self.now < process.paused_until:
                continue
            process.gate.set_live(incarnations=self.seen)
            self.name_deputy(process)
            self.send(process.gate.tick(now=self.now))
        self.move_shard()
        for name, holder in self.holders.items():
            if name not in self.deaf:
                holder.set_live(names=self.seen)
        self.check_slices()

    def check_slices(self):
        """All slices in use fit into the allowance, at any moment."""
        budget = allowances.budget_of(self.limit)
        used = [
            held
            for holder in self.holders.values()
            for held in holder.held.values()
            if self.now < held.ends_at
        ]
        rate_per_s = sum(held.rate_per_s for held in used)
        burst = sum(held.burst for held in used)
        assert rate_per_s <= budget.rate_per_s + SLACK, rate_per_s
        assert burst <= budget.burst + SLACK, burst

    def move_shard(self):
        """The preferred process takes the shard, or is given it."""
        subject = ledger_records.shard_subject(0)
        name = rendezvous.select(subject, self.seen)
        taker = self.processes.get(name)
        if taker is None or self.now < taker.paused_until or taker.owned:
            return
        holder = self.processes.get(self.log.owner)
        if holder is None or holder.name not in self.seen or not holder.owned:
            self.take_over(taker)
        elif self.now >= holder.paused_until and not holder.write_open:
            self.release(holder)
            self.take_over(taker)

    def release(self, process):
        if self.store_down or process.owned[0].fence != self.log.fence:
            return
        self.log.sequence += 1
        self.log.leases = process.leases.report(now=self.now, shard=0)
        del process.owned[0]
        process.leases.drop_shard(shard=0)

    def take_over(self, process):
        if self.store_down or process.write_open:
            return
        origin = Origin.SEIZED
        if self.log.fence == 0:
            origin = Origin.NEW
        elif self.log.leases is not None:
            origin = Origin.RELEASED
        leases = self.log.leases
        former = ledger_leases.FormerOwner(self.log.fence, self.log.deputy)
        self.superseded_at[self.log.fence] = self.now
        self.log.sequence += 1
        self.log.owner = process.name
        self.log.fence = self.log.sequence
        self.log.deputy = self.choose(process, None)
        self.log.leases = None
        fence, deputy = self.log.fence, self.log.deputy

        def finish():
            process.owned[0] = types.SimpleNamespace(
                shard=0,
                fence=fence,
                is_closing=False,
                naming=types.SimpleNamespace(settled=deputy),
            )
            bounds = process.books.close(shard=0, fence=fence, former=former)
            self.inherited += origin is Origin.SEIZED and bounds is not None
            process.leases.take_shard(
                now=self.now,
                shard=0,
                origin=origin,
                fence=fence,
                leases=leases,
                bounds=bounds,
            )

        self.answer_later(process, finish)

    def choose(self, process, known):
        chosen = process.gate.choose(shard=0)
        if chosen is None:
            return None
        if known is not None and (known.address, known.incarnation) == chosen:
            return known
        return ledger_leases.Deputy(*chosen, self.log.sequence)

    def name_deputy(self, process):
        """Writes a segment that names another deputy."""
        owned = process.owned.get(0)
        if owned is None or process.write_open or self.store_down:
            return
        settled = owned.naming.settled
        chosen = process.gate.choose(shard=0)
        known = settled and (settled.address, settled.incarnation)
        if chosen == known:
            return
        if self.log.fence != owned.fence:
            self.answer_later(process, lambda: self.lose(process, owned))
            return
        self.log.sequence += 1
        self.log.deputy = deputy = self.choose(process, settled)

        def finish():
            owned.naming.settled = deputy

        self.answer_later(process, finish)

    def lose(self, process, owned):
        if process.owned.get(0) is owned:
            del process.owned[0]
            process.leases.drop_shard(shard=0)

    def answer_later(self, process, finish):
        """The store's answer to a write that has taken effect."""
        process.write_open = True

        def land():
            if self.processes.get(process.name) is not process:
                return
            if self.now < process.paused_until:
                self.call_at(process.paused_until, land)
                return
            process.write_open = False
            finish()

        self.call_at(self.now + self.rng.choice([0.01, 0.1, 1.0]), land)

    def call_at(self, at, call):
        self.on_the_way.append((at, next(self.order), call))
        allowances_steps.heapq.heapify(self.on_the_way)

    # Messages.

    def is_confirmed(self, name):
        process = self.processes[name]
        owned = process.owned.get(0)
        if owned is None:
            return False
        if owned.fence == self.log.fence:
            return True
        passed_s = self.now - self.superseded_at[owned.fence]
        return passed_s <= self.terms.confirmation_s

    def deliver(self, send):
        if callable(send):
            send()
            return
        if send.address not in PROCESSES:
            super().deliver(send)
            return
        process = self.processes.get(send.address)
        if process is None:
            return
        if self.now < process.paused_until:
            # It reads them when it comes back.
            self.call_at(process.paused_until, lambda: self.deliver(send))
            return
        self.send(self.answer(process, send.message))

    def answer(self, process, message):
        if isinstance(message, deputy_messages.AnyDeputyMessage):
            was_whole = process.leases.is_whole(now=self.now, shard=0)
            out = process.gate.message(now=self.now, message=message)
            is_whole = process.leases.is_whole(now=self.now, shard=0)
            self.pulled += is_whole and not was_whole
            return out
        if isinstance(message, allowances.SliceApplied):
            return process.leases.applied(now=self.now, applied=message)
        answers = process.leases.request(
            now=self.now,
            request=message,
            is_confirmed=self.is_confirmed(process.name),
        )
        return process.gate.pass_on(now=self.now, shard=0, answers=answers)


def disturb(world, rng):
    """Something happens to the owner, its deputy or the store."""
    deputy = world.log.deputy.address if world.log.deputy else ""
    everyone = [world.log.owner, deputy]
    victims = rng.choice([everyone[:1], everyone[:1], everyone[1:], everyone])
    for name in victims:
        fate = rng.choice(["dies", "pauses", "is parted"])
        if fate == "dies":
            world.kill(name)
        elif fate == "is parted":
            world.part(name, rng.choice([2.0, 10.0]))
        else:
            world.pause(name, rng.choice([0.5, 3.0, 5.0, 12.0]))
    world.deaf = {name for name in world.holders if rng.random() < 0.5}
    world.store_down = rng.random() < 0.1
    for name in PROCESSES:
        if name not in world.processes and rng.random() < 0.7:
            world.start(name)


def check_random_run(rng):
    """Checks one run; returns how often a book spared a wait, and whose."""
    world = DeputyWorld(
        limit=rng.choice([12, 60, 300]),
        entries=rng.choice([2, 5]),
        seed=rng.random(),
        terms=rng.choice([allowances_steps.TERMS, entry_control.SLICE_TERMS]),
    )
    world.trouble = rng.choice([0.0, 0.1, 0.5])
    for _ in range(30):
        world.paused = {name for name in world.holders if rng.random() < 0.2}
        world.run(
            offered=rng.choice([0.5, 2.0, 5.0]) * world.limit,
            seconds=rng.choice([0.5, 2.0, 6.0, 12.0]),
            skew=rng.choice(["even", "one entry gets all"]),
        )
        allowances_steps.check_never_exceeded(world)
        if rng.random() < 0.5:
            disturb(world, rng)
    return world.inherited, world.pulled


@then("{runs:d} random allowance runs with deputies never exceed the allowance")
def random_deputy_runs(context, runs):
    inherited = []

    @trials.repeat(runs)
    @hypothesis.given(strategies.integers(0, 2**32))
    def run(seed):
        inherited.append(check_random_run(random.Random(seed)))

    run()
    own, pulled = (sum(counts) for counts in zip(*inherited, strict=True))
    print(f"take-overs with the own book: {own}, with another's: {pulled}")
    assert own >= runs // 2, own
    assert pulled >= runs // 10, pulled


# Single notes and grants.


@given("a deputy that knows all that an owner has leased")
def make_deputy(context):
    world = DeputyWorld(limit=600, entries=1)
    world.run(offered=300, seconds=20.0, skew="even")
    context.world = world
    context.former = world.processes[world.log.owner]
    context.deputy = world.processes[world.log.deputy.address]
    book = context.deputy.books.books[0]
    assert book.is_whole, book
    assert book.bounds, book


@when("the log names {what}")
def name_in_log(context, what):
    log = context.world.log
    deputy = log.deputy
    if what == "its former incarnation":
        number = deputy.incarnation - 1
        log.deputy = msgspec.structs.replace(deputy, incarnation=number)
    elif what == "it anew after another one":
        log.deputy = msgspec.structs.replace(deputy, generation=99)
    elif what == "another entry":
        log.deputy = msgspec.structs.replace(deputy, address="p9")
    elif what == "nobody":
        log.deputy = None
    elif what == "it under a later owner":
        log.fence += 1
    else:
        assert what == "it", what


@when("it seizes the shard")
def seize(context):
    context.fence = context.world.log.sequence + 1
    log = context.world.log
    bounds = context.deputy.books.close(
        shard=0,
        fence=context.fence,
        former=ledger_leases.FormerOwner(log.fence, log.deputy),
    )
    context.deputy.leases.take_shard(
        now=context.world.now,
        shard=0,
        origin=Origin.SEIZED,
        fence=context.fence,
        bounds=bounds,
    )


@when("it hands its book to a later owner")
def hand_over(context):
    log = context.world.log
    pull = deputy_messages.DeputyPull(
        reply_to="p9",
        shard=0,
        fence=log.sequence + 1,
        former_fence=log.fence,
        incarnation=log.deputy.incarnation,
        generation=log.deputy.generation,
    )
    for _ in range(2):
        (send,) = context.deputy.books.pull(pull)
        assert send.message.bounds, send


@when("the owner has leased to more holders than a deputy keeps")
def lease_to_many(context):
    world = context.world
    holders = context.former.leases.books[KEY].holders
    for number in range(allowance_deputy.MAX_BOUNDS + 1):
        item = allowance_book.LiveSlice(1, 0.0, 1.0, world.now + 60.0)
        holders[f"x{number}"] = allowance_book.HolderState([item])
    context.writes = world.log.sequence
    # The owner has to tell all of it to another deputy.
    world.kill(context.deputy.name)
    world.run(offered=60, seconds=45.0, skew="even")


@then("the log names nobody, after at most {most:d} writes")
def check_nobody_named(context, most):
    log = context.world.log
    assert log.deputy is None, log.deputy
    assert context.writes < log.sequence <= context.writes + most, log


def ask(context, process, **fields):
    world = context.world
    values = {
        "request_id": 2**60 + next(world.order),
        "reply_to": "e9",
        "key": KEY,
        "demand_per_s": 1.0,
        "applied_id": 0,
        "held_rate_per_s": 0.0,
        "held_burst": 0.0,
        "held_left_s": 0.0,
        "held_tokens": 0.0,
        "is_waiting": True,
        "fence": 0,
        "told_at": 0.0,
    }
    request = allowances.SliceRequest(**(values | fields))
    return process.leases.request(
        now=world.now, request=request, is_confirmed=True
    )


@then("it {verb} an entry that had no slice")
def check_newcomer(context, verb):
    (send,) = ask(context, context.deputy)
    burst = getattr(send.message, "burst", 0.0)
    assert (burst > 0.0) == (verb == "serves"), send


@then("what the former owner's holder may use counts until {after_s:f} s later")
def check_firm(context, after_s):
    world = context.world
    leases = context.deputy.leases

    def bound(at):
        return allowance_bounds.bound_of(
            leases.books, now=at, key=KEY, holder="e0"
        ).rate_per_s

    counted = bound(world.now)
    assert counted > 0.0
    (send,) = ask(context, context.deputy, reply_to="e0", demand_per_s=0.001)
    applied = allowances.SliceApplied(
        request_id=send.message.request_id,
        reply_to="e0",
        key=KEY,
        returned_tokens=0.0,
    )
    leases.applied(now=world.now, applied=applied)
    ask(context, context.deputy, reply_to="e0", demand_per_s=0.0)
    assert bound(world.now + after_s - 0.01) == counted
    assert bound(world.now + after_s + 0.01) == 0.0


@then("the former owner gets no word for a raise and grants {what} to nobody")
def check_no_raise(context, what):
    world = context.world
    former = context.former
    former.leases.books[KEY].tokens = 3.0
    fields = {"demand_per_s": 5.0}
    if what == "single requests":
        # The deputy counts with a burst of one request already.
        former.gate.links[0].sure[KEY, "e9"] = 0.0, 1.0
        fields = {"demand_per_s": 0.001}
    answers = ask(context, former, **fields)
    assert answers[0].message.burst > 0.0, answers
    if what == "single requests":
        assert answers[0].message.rate_per_s <= 0.0, answers
    (send,) = former.gate.pass_on(now=world.now, shard=0, answers=answers)
    assert isinstance(send.message, deputy_messages.DeputyNote), send
    assert not context.deputy.books.note(send.message)
    first = msgspec.structs.replace(send.message, sequence=1, is_whole=True)
    assert not context.deputy.books.note(first)


@then("a raise goes out when the deputy has acknowledged it, once")
def check_raise(context):
    former = context.former
    answers = ask(context, former, demand_per_s=5.0)
    now = context.world.now
    (note,) = former.gate.pass_on(now=now, shard=0, answers=answers)
    (ack,) = context.deputy.books.note(note.message)
    (again,) = context.deputy.books.note(note.message)
    assert former.gate.ack(ack.message) == answers
    assert former.gate.ack(again.message) == []


@when("the deputy dies in an outage")
def kill_deputy_in_outage(context):
    context.world.kill(context.deputy.name)
    context.world.store_down = True


@then("the owner prolongs the slices in use for {seconds:d} s")
def check_prolonged(context, seconds):
    world = context.world
    for _ in range(seconds):
        world.run(offered=300, seconds=1.0, skew="even")
        held = world.holders["e0"].held[KEY]
        assert held.ends_at > world.now, (held.ends_at, world.now)
        assert held.rate_per_s > 0.0, held


@then("a deputy that doesn't answer is replaced in the log within {limit:f} s")
def check_silent(context, limit):
    world = context.world
    process = context.former
    del world.processes[context.deputy.name]
    (note,) = process.gate.pass_on(
        now=world.now,
        shard=0,
        answers=ask(context, process, demand_per_s=5.0),
    )
    assert note.address == context.deputy.name
    former = world.log.deputy
    end = world.now + limit
    while world.log.deputy == former and world.now < end:
        world.run(offered=1, seconds=0.05, skew="even")
    assert world.log.deputy != former
