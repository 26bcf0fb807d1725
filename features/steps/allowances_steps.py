"""Steps for allowances: entries and owners with simulated message delays."""

import collections
import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from support import trials

from rhubarbbank_core import allowance_book
from rhubarbbank_core import allowance_holder
from rhubarbbank_core import allowance_outlast
from rhubarbbank_core import allowance_owner
from rhubarbbank_core import allowances
from rhubarbbank_core import entry_control
from rhubarbbank_core import ledger_takeover
from rhubarbbank_core import outage

KEY = allowances.allowance_key("club", "chat", "1")
TERMS = allowances.SliceTerms()
# From the death of an owner until another one has taken its shard.
DETECTION_S = 4.0
TICK_S = 0.05
MAX_WAIT_S = 1.0
Origin = ledger_takeover.ShardOrigin


class World:
    """Owners and holders of one allowance; time goes in ticks."""

    def __init__(self, *, limit, entries, seed=1, terms=TERMS):
        self.terms = terms
        self.kill_at = []
        self.outages = []
        self.cut = set()
        self.ended_at = {}
        self.replaced_at = None
        self.refused = []
        self.parted = set()
        self.rng = random.Random(seed)
        self.limit = limit
        self.now = 0.0
        self.trouble = 0.0
        self.replace_every_s = None
        self.origin = Origin.SEIZED
        self.cut_off_at = None
        self.paused = set()
        self.order = itertools.count()
        self.on_the_way = []
        self.owner_taken_at = {}
        self.owners = {}
        self.add_owner(Origin.NEW)
        self.holders = {
            f"e{number}": allowance_holder.AllowanceHolder(
                address=f"e{number}",
                shards=1,
                rng=random.Random(number),
                terms=terms,
            )
            for number in range(entries)
        }
        self.tell_live()
        self.used = []
        self.queues = [collections.deque() for _ in range(entries)]
        self.fixed = [
            allowances.FixedShare(requests_per_minute=limit, entries=entries)
            for _ in range(entries)
        ]
        self.fixed_used = 0

    def add_owner(self, origin, leases=None):
        name = f"o{len(self.owner_taken_at)}"
        owner = allowance_owner.AllowanceOwner(
            name=name, shards=1, terms=self.terms
        )
        owner.set_allowances(requests_per_minute={KEY: self.limit})
        owner.take_shard(
            now=self.now,
            shard=0,
            origin=origin,
            fence=len(self.owner_taken_at) + 1,
            leases=leases,
        )
        self.owners[name] = owner
        self.owner_taken_at[name] = self.now
        self.newest = name

    def tell_live(self):
        for name, holder in self.holders.items():
            is_parted = name in self.parted
            names = [self.newest] if is_parted else list(self.owners)
            holder.set_live(names=names)

    def replace_owner(self):
        former = self.owners.get(self.newest)
        leases = None
        if former is None:
            return
        if self.origin is Origin.RELEASED:
            leases = former.report(now=self.now, shard=0)
            former.drop_shard(shard=0)
        self.add_owner(self.origin, leases)
        # The former owner stays reachable until its confirmation is old.
        for name in list(self.owners)[:-2]:
            del self.owners[name]
        self.tell_live()

    def is_down(self):
        return any(begin <= self.now < end for begin, end in self.outages)

    def follow_outage(self, holder):
        """Tells a holder what it may know of outages and dead owners."""
        if not self.outages:
            return
        since = self.now - self.rng.uniform(0.0, outage.WINDOW_S)
        for begin, end in self.outages:
            if begin <= since < end:
                allowance_outlast.prolong(
                    holder,
                    began=begin,
                    since=since,
                    ended_at=self.ended_at,
                    now=self.now,
                )

    def follow_kills(self):
        """Kills the owner when it is time, and replaces it later."""
        if self.kill_at and self.now >= self.kill_at[0]:
            if self.owners.pop(self.newest, None) is not None:
                self.ended_at[self.newest] = self.now
            if self.is_down():
                # Once the store is back, some take over at once.
                waits_s = self.rng.choice([0.0, DETECTION_S])
                self.replaced_at = self.now + waits_s
            elif self.now >= (
                self.replaced_at or self.kill_at[0] + DETECTION_S
            ):
                self.replaced_at = None
                self.kill_at.pop(0)
                self.add_owner(Origin.SEIZED)
                self.tell_live()

    def is_confirmed(self, name):
        if self.cut_off_at is not None:
            return self.now < self.cut_off_at
        if name == self.newest:
            return True
        successor = f"o{int(name[1:]) + 1}"
        taken_at = self.owner_taken_at[successor]
        return self.now - taken_at <= self.terms.confirmation_s

    def send(self, sends):
        for send in sends:
            copies = 1
            delay_s = self.rng.uniform(0.001, 0.01)
            if self.rng.random() < self.trouble:
                copies = self.rng.choice([0, 1, 2])
                delay_s = self.rng.choice([0.01, 0.5, 2.0, 8.0])
            for _ in range(copies):
                item = (self.now + delay_s, next(self.order), send)
                heapq.heappush(self.on_the_way, item)

    def deliver_due(self, until):
        while self.on_the_way and self.on_the_way[0][0] <= until:
            at, _, send = heapq.heappop(self.on_the_way)
            self.now = max(self.now, at)
            if isinstance(send, int):
                self.retry(send)
            else:
                self.deliver(send)
        self.now = until

    def deliver(self, send):
        message = send.message
        if send.address in self.paused:
            return
        if {send.address, getattr(message, "reply_to", "")} & self.cut:
            return
        is_former = send.address in self.owners and send.address != self.newest
        if is_former and message.reply_to in self.parted:
            return
        if isinstance(message, allowances.SliceRequest):
            owner = self.owners.get(send.address)
            if owner is not None:
                out = owner.request(
                    now=self.now,
                    request=message,
                    is_confirmed=self.is_confirmed(send.address),
                )
                self.send(out)
            return
        if isinstance(message, allowances.SliceApplied):
            owner = self.owners.get(send.address)
            if owner is not None:
                owner.applied(now=self.now, applied=message)
            return
        holder = self.holders[send.address]
        if isinstance(message, allowances.SliceGrant):
            self.send(holder.grant(now=self.now, grant=message))
            self.retry(int(send.address[1:]), is_turn=False)
        else:
            self.send(holder.refusal(now=self.now, refusal=message))

    def arrive(self, number):
        """One request arrives at an entry."""
        name = f"e{number}"
        self.fixed_used += self.fixed[number].try_take(now=self.now)
        if name in self.paused:
            return
        retry_after_s = self.attempt(number, is_retry=False)
        if retry_after_s is None:
            return
        queue = self.queues[number]
        queue.append(self.now + MAX_WAIT_S)
        if len(queue) == 1:
            self.set_retry(number, retry_after_s)

    def attempt(self, number, *, is_retry):
        """Tries to take; returns when to try again, None if it may run."""
        admission = self.holders[f"e{number}"].try_take(
            now=self.now, key=KEY, is_retry=is_retry
        )
        self.send(admission.sends)
        if admission.admitted:
            self.used.append((self.now, number))
            return None
        assert admission.retry_after_s > 0.0
        return admission.retry_after_s

    def set_retry(self, number, after_s):
        item = (self.now + after_s, next(self.order), number)
        heapq.heappush(self.on_the_way, item)

    def retry(self, number, *, is_turn=True):
        """Tries the requests that wait at an entry, first come first."""
        queue = self.queues[number]
        if f"e{number}" in self.paused:
            queue.clear()
        while queue:
            if queue[0] < self.now:
                queue.popleft()
                self.refused.append(self.now)
                continue
            retry_after_s = self.attempt(number, is_retry=True)
            if retry_after_s is not None:
                if is_turn:
                    self.set_retry(number, retry_after_s)
                return
            queue.popleft()

    def run(self, *, offered, seconds, skew):
        rate_per_s = offered / 60.0
        arrival = self.now + self.rng.expovariate(rate_per_s)
        end = self.now + seconds
        next_change = self.replace_every_s or float("inf")
        while self.now < end:
            tick_at = self.now + TICK_S
            while arrival <= tick_at:
                self.deliver_due(arrival)
                self.arrive(pick_entry(self, skew))
                arrival += self.rng.expovariate(rate_per_s)
            self.deliver_due(tick_at)
            for name, holder in self.holders.items():
                if name not in self.paused:
                    self.follow_outage(holder)
                    self.send(holder.tick(now=self.now))
            self.follow_kills()
            if self.now >= next_change:
                self.replace_owner()
                next_change += self.replace_every_s
        self.seconds = seconds


def pick_entry(world, skew):
    count = len(world.holders)
    if skew == "one entry gets all":
        return 0
    if skew == "one entry gets most" and world.rng.random() < 0.9:
        return 0
    if skew == "a busy entry every 20 s" and world.rng.random() < 0.9:
        return int(world.now / 20.0) % count
    return world.rng.randrange(count)


def check_never_exceeded(world):
    times = [at for at, _ in world.used]
    first = 0
    for last, end in enumerate(times):
        while times[first] <= end - 60.0:
            first += 1
        count = last - first + 1
        assert count <= world.limit, f"{count} in the minute before {end}"


@given("an allowance of {limit:d} requests a minute and {entries:d} entries")
def make_world(context, limit, entries):
    context.allowance = World(limit=limit, entries=entries)


@given("a third of the allowance messages are lost, late or repeated")
def make_trouble(context):
    context.allowance.trouble = 0.33


@given(
    "the allowance owner is replaced every {seconds:d} s while the former one"
    " goes on unaware"
)
def replace_owners(context, seconds):
    context.allowance.replace_every_s = seconds


@given("half of the entries reach the newest allowance owner alone")
def part_entries(context):
    world = context.allowance
    world.parted = set(list(world.holders)[::2])


@given("the allowance owner releases its shard to another every {seconds:d} s")
def release_owners(context, seconds):
    context.allowance.replace_every_s = seconds
    context.allowance.origin = Origin.RELEASED


@given("allowance slices with the times of the entries")
def take_entry_terms(context):
    take_seeded_entry_terms(context, seed=1)


@given("allowance slices with the times of the entries and seed {seed:d}")
def take_seeded_entry_terms(context, seed):
    former = context.allowance
    context.allowance = World(
        limit=former.limit,
        entries=len(former.holders),
        seed=seed,
        terms=entry_control.SLICE_TERMS,
    )


@given("the allowance owner is killed at 30, 90 and 150 s")
def kill_owners(context):
    context.allowance.kill_at = [30.0, 90.0, 150.0]


@given("the allowance owner is killed at {at:d} s")
def kill_owner(context, at):
    context.allowance.kill_at = [float(at)]


@then("no request within the allowance was refused")
def check_none_refused(context):
    refused = context.allowance.refused
    assert not refused, refused


@then("at most {percent:d} in 100 requests within the allowance were refused")
def check_few_refused(context, percent):
    world = context.allowance
    asked = len(world.refused) + len(world.used)
    assert asked > 100, asked
    assert len(world.refused) <= percent / 100 * asked, len(world.refused)


@given("the store is down for everyone from {begin:d} s to {end:d} s")
def take_store_down(context, begin, end):
    context.allowance.outages.append((float(begin), float(end)))


@given("the allowance owner's shard is no longer confirmed after {seconds:d} s")
def cut_off(context, seconds):
    context.allowance.cut_off_at = float(seconds)


@when(
    "allowance traffic of {offered:d} requests a minute arrives for"
    ' {minutes:d} minutes, "{skew}"'
)
def run_traffic(context, offered, minutes, skew):
    context.allowance.run(offered=offered, seconds=minutes * 60.0, skew=skew)


@then("no minute sees more than the allowance")
def check_limit(context):
    check_never_exceeded(context.allowance)


def used_per_cent(world, used):
    return 100.0 * used / (world.limit * world.seconds / 60.0)


@then("at least {bound:d} per cent of the allowance are used")
def check_used(context, bound):
    world = context.allowance
    used = used_per_cent(world, len(world.used))
    print(f"leased slices: {used:.1f} per cent used")
    assert used >= bound, used


@then("with fixed shares at most {bound:d} per cent are used")
def check_fixed(context, bound):
    world = context.allowance
    used = used_per_cent(world, world.fixed_used)
    print(f"fixed shares: {used:.1f} per cent used")
    assert used <= bound, used


@then("each entry used some of the allowance")
def check_each(context):
    users = {number for _, number in context.allowance.used}
    assert users == set(range(len(context.allowance.holders))), users


@then("nothing of the allowance is used later than {seconds:d} s after that")
def check_lapsed(context, seconds):
    world = context.allowance
    last = max(at for at, _ in world.used)
    assert world.cut_off_at < last <= world.cut_off_at + seconds, last


@then("{runs:d} random allowance runs never exceed the allowance")
def random_runs(context, runs):
    @trials.repeat(runs)
    @hypothesis.given(strategies.integers(0, 2**32))
    def run(seed):
        check_random_run(random.Random(seed))

    run()


def check_random_run(rng):
    world = World(
        limit=rng.choice([3, 12, 60, 300]),
        entries=rng.choice([2, 5]),
        seed=rng.random(),
        terms=rng.choice([TERMS, entry_control.SLICE_TERMS]),
    )
    world.trouble = rng.choice([0.0, 0.1, 0.5])
    world.kill_at = rng.choice([[], [20.0, 50.0]])
    world.replace_every_s = rng.choice([None, 5.0, 15.0, 40.0])
    world.origin = rng.choice([Origin.SEIZED, Origin.RELEASED])
    for _ in range(8):
        world.paused = {name for name in world.holders if rng.random() < 0.2}
        world.run(
            offered=rng.choice([0.5, 2.0, 5.0]) * world.limit,
            seconds=rng.choice([2.0, 10.0, 20.0]),
            skew=rng.choice(["even", "one entry gets all"]),
        )
        check_never_exceeded(world)


@then("{runs:d} random allowance runs with outages never exceed the allowance")
def random_outages(context, runs):
    for seed in range(runs):
        check_outage_run(random.Random(seed))
        check_taken_before(random.Random(seed))


def check_outage_run(rng):
    """Cuts a holder off in an outage in which its owner may die."""
    world = World(
        limit=rng.choice([60, 300]),
        entries=rng.choice([2, 3]),
        seed=rng.random(),
        terms=entry_control.SLICE_TERMS,
    )
    end = rng.uniform(30.0, 80.0)
    world.outages = [(20.0, end)]
    cut_at = rng.uniform(20.0, end)
    if rng.random() < 0.7:
        world.kill_at = [rng.uniform(20.0, cut_at)]
    # Rates are leased while enough is there, and all is used afterwards.
    world.run(offered=0.9 * world.limit, seconds=cut_at, skew="even")
    world.cut = {"e0"}
    rest_s = end + 90.0 - cut_at
    world.run(offered=4.0 * world.limit, seconds=rest_s, skew="even")
    check_never_exceeded(world)


def check_taken_before(rng):
    """Has a former owner die right after another took its shard over."""
    world = World(
        limit=300, entries=2, seed=rng.random(), terms=entry_control.SLICE_TERMS
    )
    world.outages = [(20.0, 60.0)]
    world.run(offered=270.0, seconds=rng.uniform(18.0, 20.0), skew="even")
    former = world.newest
    world.replace_owner()
    world.holders["e0"].set_live(names=[former])
    world.run(offered=270.0, seconds=rng.uniform(0.1, 3.0), skew="even")
    del world.owners[former]
    world.ended_at[former] = world.now
    world.cut = {"e0"}
    world.run(offered=1200.0, seconds=90.0, skew="even")
    check_never_exceeded(world)


# Single grants.


@given("an allowance holder that asked at 0 s")
def make_holder(context):
    context.holder = allowance_holder.AllowanceHolder(
        address="e0", shards=1, rng=random.Random(1)
    )
    context.holder.set_live(names=["o0"])
    admission = context.holder.try_take(now=0.0, key=KEY)
    assert not admission.admitted
    context.request = admission.sends[0].message


def give(context, at, rate_per_s, burst, tokens):
    grant = allowances.SliceGrant(
        request_id=context.request.request_id,
        key=KEY,
        rate_per_s=rate_per_s,
        burst=burst,
        tokens=tokens,
        owner="o0",
        is_scarce=False,
    )
    context.holder.grant(now=at, grant=grant)


@when(
    "the allowance holder gets {rate:d} a second with a burst of {burst:d} at"
    " {at:f} s"
)
def give_slice(context, rate, burst, at):
    give(context, at, rate, burst, 0.0)


@when("the allowance holder gets 1 single request {times:d} times at {at:f} s")
def give_single(context, times, at):
    for _ in range(times):
        give(context, at, 0.0, 3.0, 1.0)


@when(
    "the allowance holder gets a smaller burst of {burst:d} for its next"
    " request at {at:f} s"
)
def give_smaller(context, burst, at):
    (send,) = context.holder.tick(now=at)
    context.request = send.message
    grant = allowances.SliceGrant(
        request_id=send.message.request_id,
        key=KEY,
        rate_per_s=10.0,
        burst=float(burst),
        tokens=0.0,
        owner="o0",
        is_scarce=False,
    )
    (send,) = context.holder.grant(now=at, grant=grant)
    context.applied = send.message


@then("the allowance holder gives {count:d} requests back")
def check_given_back(context, count):
    assert context.applied.returned_tokens == count, context.applied


@then("the allowance owner counts them once when it is told twice")
def check_counted_once(context):
    owner = allowance_owner.AllowanceOwner(name="o0", shards=1)
    owner.set_allowances(requests_per_minute={KEY: 600.0})
    owner.take_shard(now=0.0, shard=0, origin=Origin.NEW)
    book = allowance_book.LeaseBook(counted_at=0.0)
    owner.books[KEY] = book
    last_id = context.applied.request_id
    budget = allowances.budget_of(600.0)
    book.holders["e0"] = allowance_book.HolderState(
        slices=[
            allowance_book.LiveSlice(last_id - 1, budget.rate_per_s, 5.0, 9.0),
            allowance_book.LiveSlice(last_id, budget.rate_per_s, 2.0, 9.0),
        ]
    )
    for _ in range(2):
        owner.applied(now=0.1, applied=context.applied)
        assert book.tokens == context.applied.returned_tokens, book.tokens


@then(
    "the allowance holder admits a request at {at:f} s but none at {late:f} s"
)
def check_term(context, at, late):
    assert context.holder.try_take(now=at, key=KEY).admitted
    assert not context.holder.try_take(now=late, key=KEY).admitted


@then("the allowance holder admits {count:d} of {tried:d} requests at {at:f} s")
def check_admitted(context, count, tried, at):
    admitted = sum(
        context.holder.try_take(now=at, key=KEY).admitted for _ in range(tried)
    )
    assert admitted == count, admitted


@given("an allowance owner that seized a shard at {at:f} s")
def seize_shard(context, at):
    context.owner = allowance_owner.AllowanceOwner(name="o0", shards=1)
    context.owner.set_allowances(requests_per_minute={KEY: 600.0})
    context.owner.take_shard(now=at, shard=0, origin=Origin.SEIZED, fence=7)


@then(
    "it {verb} a former slice told at {told_at:f} s that lasts {left_s:f} s"
    " more"
)
def check_former_slice(context, verb, told_at, left_s):
    request = allowances.SliceRequest(
        request_id=1,
        reply_to=f"e{told_at}-{left_s}",
        key=KEY,
        demand_per_s=1.0,
        applied_id=0,
        held_rate_per_s=2.0,
        held_burst=2.0,
        held_left_s=left_s,
        held_tokens=0.0,
        is_waiting=False,
        fence=7,
        told_at=told_at,
    )
    # However late the request comes, only what it tells counts.
    (send,) = context.owner.request(
        now=12.0, request=request, is_confirmed=True
    )
    is_granted = isinstance(send.message, allowances.SliceGrant)
    assert is_granted == (verb == "prolongs"), send


@when('an allowance owner takes a "{origin}" shard at 0 s')
def take_shard(context, origin):
    context.owner = allowance_owner.AllowanceOwner(name="o0", shards=1)
    context.owner.set_allowances(requests_per_minute={KEY: 600.0})
    context.owner.take_shard(now=0.0, shard=0, origin=Origin[origin.upper()])


def ask_owner(context, at):
    request = allowances.SliceRequest(
        request_id=int(at * 10) + 100,
        reply_to="e0",
        key=KEY,
        demand_per_s=5.0,
        applied_id=0,
        held_rate_per_s=0.0,
        held_burst=0.0,
        held_left_s=0.0,
        held_tokens=0.0,
        is_waiting=True,
        fence=0,
        told_at=0.0,
    )
    (send,) = context.owner.request(now=at, request=request, is_confirmed=True)
    return getattr(send.message, "rate_per_s", 0.0)


@then(
    "the allowance owner refuses a new holder at {refuses:f} s and grants at"
    " {grants:f} s"
)
def check_wait(context, refuses, grants):
    if refuses > 0.0:
        assert ask_owner(context, refuses) == 0.0
    assert ask_owner(context, grants) > 0.0
