"""Steps for requests whose answers are lost by upstreams that go on."""

import random

from behave import given
from behave import then
from behave import when
from support import loss_fleet
from support import part_fleet

from rhubarbbank_core import events as core_events
from rhubarbbank_router import messages

# By then all entries have exchanged heartbeats.
SETTLE_S = 3.0
# By then every suspicion by lost answers must have ended.
SERVED_AFTER_S = 8.0
MIN_POLLS = 5
MAX_LATE = 3
MAX_CRASHES = 3
MAX_POLLS = 100
HISTORY_S = 45.0
FAULTLESS_S = 12.0


@given(
    "{entries:d} entries in {places:d} data centres, and upstreams that lose "
    'the answers of "{route}" polls by {end}'
)
def build_fleet(context, entries, places, route, end):
    fleet = loss_fleet.LossFleet(
        rng=random.Random(entries),
        data_centres=places,
        entries=entries // places,
        route=route,
    )
    fleet.end_of_loss = end
    fleet.lossy.add("poll")
    fleet.run(SETTLE_S)
    context.loss_fleet = fleet


@given("the store is away")
def lose_store(context):
    context.loss_fleet.lose_store()


@given('the polls differ, and share the part "{part}"')
def share_part(context, part):
    context.loss_fleet.differ = True
    context.loss_fleet.parts = ("all", part)


@given('"fatal" polls crash upstreams, which {restart}')
def add_fatal_polls(context, restart):
    fleet = context.loss_fleet
    fleet.fatal.add("fatal")
    fleet.keeps_ids = restart == "keep their ids"


@given("a crash goes on to answer others for {takes:g} s")
def delay_crashes(context, takes):
    context.loss_fleet.crash_takes_s = takes


@when(
    "{rate:g} other requests a second and fatal polls come for {duration:g} s"
)
def play_fatal_beside(context, rate, duration):
    fleet = context.loss_fleet
    fleet.play_polls(duration, "fatal", sound_per_s=rate)


@when("they lose them for {lost:g} s, and polls come for {after:g} s more")
def play_losses(context, lost, after):
    play(context.loss_fleet, lost, after)


@when(
    "they lose them until a poll is refused, beside {rate:g} other requests a "
    "second"
)
def play_until_refused(context, rate):
    fleet = context.loss_fleet
    context.rate = rate
    for _ in range(MAX_POLLS):
        fleet.play_polls(0.3, "poll", sound_per_s=rate)
        if find_last_poll(fleet).refused == "crash_suspect":
            break
    fleet.lossy.clear()


@then(
    "a poll that returns whenever it is told to is served at most {most:g} s "
    "later, at its {returns:d}. return"
)
def check_return(context, most, returns):
    fleet = context.loss_fleet
    began_at = fleet.now
    for _ in range(returns):
        poll = find_last_poll(fleet)
        assert poll.refused == "crash_suspect", poll
        wait_s = poll.arrived_at + poll.retry_after_s - fleet.now
        fleet.play_polls(wait_s, sound_per_s=context.rate)
        fleet.poll()
    assert fleet.now <= began_at + most, (began_at, fleet.now)
    fleet.run(SETTLE_S)
    assert find_last_poll(fleet).is_served, find_last_poll(fleet)


def find_last_poll(fleet):
    return list(fleet.polls.values())[-1]


@when(
    "they lose them for {lost:g} s, and polls come for {after:g} s more beside "
    "{rate:g} other requests a second"
)
def play_losses_beside(context, lost, after, rate):
    play(context.loss_fleet, lost, after, sound_per_s=rate)


def play(fleet, lost, after, **given):
    fleet.losing_until = fleet.now + lost
    fleet.play_polls(lost + after, "poll", **given)


@when(
    'they lose them for {lost:g} s while "{place}" is cut off, and for '
    "{after:g} s more"
)
def play_with_partition(context, lost, place, after):
    fleet = context.loss_fleet
    fleet.isolated.add(place)
    play(fleet, lost, after)
    fleet.isolated.discard(place)
    fleet.run(SETTLE_S)


@when(
    "they lose them for {lost:g} s while an entry starts {after:g} s after the "
    "last loss"
)
def play_with_start(context, lost, after):
    fleet = context.loss_fleet
    play(fleet, lost, 0.0)
    fleet.run(after)
    fleet.replace("entry-3")
    fleet.run(SERVED_AFTER_S)


@when(
    "they lose them for {lost:g} s while an entry is suspended, and for "
    "{after:g} s more"
)
def play_with_suspension(context, lost, after):
    fleet = context.loss_fleet
    play(fleet, lost / 2, 0.0)
    fleet.suspended.add("entry-3")
    fleet.losing_until = fleet.now + lost / 2
    while fleet.now < fleet.losing_until:
        fleet.poll(entry=fleet.rng.choice(["entry-0", "entry-1", "entry-2"]))
        fleet.run(loss_fleet.POLL_GAP_S)
    fleet.run(after)
    fleet.resume("entry-3")
    # It reads what it missed as if that had just happened.
    fleet.run(SERVED_AFTER_S)


@when(
    "they lose them for {lost:g} s while an entry of an earlier release "
    "reports them repeatedly"
)
def play_with_earlier_release(context, lost):
    """Repeats the reports of the losses as they were, without an end."""
    fleet = context.loss_fleet
    play(fleet, lost, 0.0)
    world = fleet.worlds["entry-0"]
    reported = [
        messages.SuspectReport(
            trait=each.trait, crashes=each.crashes, age_ms=0, ends=each.ends
        )
        for each in world.state.suspects.build_reports(now=fleet.now)
    ]
    began_at = fleet.now
    while fleet.now < began_at + 2 * SERVED_AFTER_S:
        for each in fleet.worlds.values():
            report_again(fleet, each, reported, age_s=fleet.now - began_at)
        fleet.run(0.5)


def report_again(fleet, world, reported, *, age_s):
    """Has an entry of an earlier release report crashes to an entry."""
    older = tuple(
        messages.SuspectReport(
            trait=each.trait,
            crashes=each.crashes,
            ends=tuple(
                messages.CrashReport(
                    upstream=end.upstream, age_ms=end.age_ms + int(1000 * age_s)
                )
                for end in each.ends
            ),
        )
        for each in reported
    )
    heartbeat = messages.Heartbeat(
        name="entry-99",
        incarnation=0,
        address="none",
        stopping=False,
        suspects=older,
    )
    world.now = fleet.now
    world.apply(core_events.MessageReceived(heartbeat))


@when(
    "they lose them for {lost:g} s, and all upstreams are replaced as planned "
    "within {within:g} s"
)
def play_with_release(context, lost, within):
    fleet = context.loss_fleet
    # Nothing but the list shows that the upstreams go on.
    play(fleet, lost, 0.0, gap_s=0.3, sound_per_s=0.0)
    fleet.run(0.6)
    before = sorted(fleet.listed)
    for upstream_id in before:
        fleet.begin_leaving(upstream_id)
    fleet.run(within - 0.6)
    for upstream_id in before:
        fleet.end_planned(upstream_id)
        fleet.down[upstream_id] = fleet.now
    fleet.run(SETTLE_S)


@when("{count:d} upstreams leave as planned, each while it runs a poll")
def play_with_planned_ends(context, count):
    fleet = context.loss_fleet
    fleet.lossy.clear()
    for _ in range(count):
        fleet.poll()
        if not fleet.running:
            # It was refused, which the check of the entries shows.
            continue
        attempt = fleet.running[-1]
        fleet.run(0.02)
        fleet.begin_leaving(attempt.upstream)
        fleet.run(0.02)
        fleet.end_planned(attempt.upstream)
        fleet.lose_answer(attempt)
        fleet.down[attempt.upstream] = fleet.now + SETTLE_S
        fleet.run(SETTLE_S)


@when(
    "the links of an entry to all upstreams are reset every {gap:g} s for "
    "{duration:g} s"
)
def play_with_cuts(context, gap, duration):
    fleet = context.loss_fleet
    fleet.lossy.clear()
    end = fleet.now + duration
    while fleet.now < end:
        fleet.poll(entry="entry-0")
        fleet.play_polls(gap - 0.3, sound_per_s=20.0)
        fleet.poll(entry="entry-0")
        fleet.run(0.3)
        for upstream_id in sorted(fleet.listed):
            fleet.cut_link("entry-0", upstream_id)
    fleet.play_polls(20.0, "poll")


@when(
    "both come for {duration:g} s, and answers are lost for {lost:g} s of them"
)
def play_both(context, duration, lost):
    fleet = context.loss_fleet
    fleet.losing_until = fleet.now + lost
    fleet.loss_share = 0.6
    fleet.play_polls(duration, "poll", "fatal")


@when(
    "its answers are lost for {lost:g} s, and then it crashes upstreams for "
    "{duration:g} s"
)
def play_losses_then_crashes(context, lost, duration):
    fleet = context.loss_fleet
    play(fleet, lost, 0.0)
    fleet.lossy.clear()
    fleet.fatal.add("poll")
    fleet.play_polls(duration, "poll")


@when("the store is away for {duration:g} s, and both come meanwhile")
def play_without_store(context, duration):
    fleet = context.loss_fleet
    fleet.lose_store()
    fleet.loss_share = 0.6
    fleet.play_polls(duration, "poll", "fatal", sound_per_s=40.0)


@when(
    "the {who} is suspended for {pause:g} s after each of {times:d} that an "
    "entry sends, and the store is away"
)
def play_with_suspensions(context, who, pause, times):
    fleet = context.loss_fleet
    name = "entry-0" if who == "entry" else "entry-1"
    fleet.lossy.clear()
    fleet.lose_store()
    for _ in range(times):
        fleet.poll("fatal", entry="entry-0")
        fleet.run(0.02)
        fleet.suspended.add(name)
        fleet.disturbed_until[name] = fleet.now + pause
        fleet.run(pause)
        fleet.resume(name)
        fleet.play_polls(loss_fleet.UNDISTURBED_S + 1.0, sound_per_s=40.0)


@then("at least {count:d} answers were lost")
def check_lost(context, count):
    lost = context.loss_fleet.lost_at
    assert len(lost) >= count, lost


@then("every poll later than {after:g} s after the last loss is served")
def check_served(context, after):
    fleet = context.loss_fleet
    fleet.run(part_fleet.STABLE_S)
    check_polls(fleet, since=fleet.lost_at[-1] + after)


def check_polls(fleet, *, since):
    later = fleet.list_polls("poll", since=since)
    assert len(later) >= MIN_POLLS, len(later)
    unserved = [each for each in later if not each.is_served]
    assert not unserved, (len(unserved), len(later), unserved[0], since)


@then("every entry sends a poll to an upstream")
def check_all_send(context):
    fleet = context.loss_fleet
    fleet.lossy.clear()
    for name in fleet.worlds:
        fleet.poll(entry=name)
    fleet.run(SETTLE_S)
    latest = list(fleet.polls.values())[-len(fleet.worlds) :]
    unserved = [each for each in latest if not each.is_served]
    assert not unserved, unserved


@then(
    "at most {most:d} attempts of the fatal polls are sent later than "
    "{after:g} s after the third crash"
)
def check_late(context, most, after):
    fleet = context.loss_fleet
    assert after == part_fleet.STABLE_S
    assert fleet.poll_crashes
    late = fleet.count_late_fatal()
    assert late <= most, (late, fleet.poll_crashes)


@then("at most {most:d} upstreams crash")
def check_crashes(context, most):
    crashes = context.loss_fleet.poll_crashes
    assert len(crashes) <= most, crashes


@then(
    "in {count:d} histories of {entries:d} entries in {places:d} data centres "
    "with {what} both promises hold"
)
def check_histories(context, count, entries, places, what):
    lost, crashed = 0, 0
    for seed in range(count):
        fleet = play_history(seed, entries, places, what)
        lost += len(fleet.lost_at)
        crashed += len(fleet.poll_crashes)
        assert fleet.count_late_fatal() <= MAX_LATE, (seed, fleet.poll_crashes)
        if places == 1:
            # No entry is cut off.
            assert len(fleet.poll_crashes) <= MAX_CRASHES, (
                seed,
                fleet.poll_crashes,
            )
        check_polls(fleet, since=fleet.losing_until + SERVED_AFTER_S)
    print("answers lost:", lost, "crashes:", crashed)
    assert lost >= 3 * count or "lost" not in what
    assert crashed >= 3 * count or "crashes" not in what


def play_history(seed, entries, places, what):
    """Plays a history with random faults; returns its fleet."""
    rng = random.Random(seed)
    fleet = loss_fleet.LossFleet(
        rng=rng,
        data_centres=places,
        entries=entries // places,
        route=rng.choice(["look", "note", "chat"]),
    )
    fleet.keeps_ids = rng.random() < 0.5
    fleet.end_of_loss = rng.choice(["reset", "event", "close"])
    fleet.loss_share = rng.choice([0.4, 0.7, 1.0])
    if "lost" in what:
        fleet.lossy.add("poll")
    names = ["poll"]
    if "crashes" in what:
        fleet.fatal.add("fatal")
        names.append("fatal")
    fleet.run(SETTLE_S)
    ends_at = fleet.now + HISTORY_S
    fleet.losing_until = ends_at - SERVED_AFTER_S - FAULTLESS_S
    while fleet.now < fleet.losing_until:
        inject_fault(fleet)
        fleet.play_polls(rng.uniform(0.5, 3.0), *names)
    mark_isolated(fleet)
    fleet.isolated = set()
    fleet.loss_rate = 0.0
    fleet.play_polls(ends_at - fleet.now, *names)
    fleet.run(part_fleet.STABLE_S)
    return fleet


def inject_fault(fleet):
    """Cuts off a data centre, drops messages or replaces an entry."""
    mark_isolated(fleet)
    match fleet.rng.randrange(6):
        case 0:
            fleet.isolated = {f"west-{fleet.rng.randrange(2)}"}
        case 1:
            fleet.isolated = set()
        case 2:
            fleet.loss_rate = fleet.rng.choice([0.0, 0.1, 0.3])
        case 3:
            name = fleet.rng.choice(sorted(fleet.worlds))
            fleet.replace(name)
            fleet.disturbed_until[name] = fleet.now


def mark_isolated(fleet):
    """Records that the entries that are cut off are disturbed up to now."""
    for place in fleet.isolated:
        for name in fleet.list_names(place):
            fleet.disturbed_until[name] = fleet.now
