"""Steps for configurations that are read from a restored store."""

import random

from behave import given
from behave import then
from behave import when
from support import relay_fleet
from support import router_world

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import events as core_events
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import peers

LOSS_RATE = 0.03
HISTORY_DURATION_S = 60.0
ENTRIES = 6
READ_PERIOD_S = 0.2


def read_version(context, version, revision, era):
    """Lets the router read a configuration that the store holds."""
    world = context.world
    world.apply(events.StoreEraRead(era))
    world.configure(
        router_world.build_configuration(revision, version=version, era=era)
    )
    context.active_versions.append(world.state.active_configuration.version)


@given(
    "a router that knows version {version:d}, at revision {revision:d} of era "
    "{era:d}"
)
def start_settled_router(context, version, revision, era):
    """Starts a router that has seen the store in that era for long enough."""
    context.world = router_world.World()
    context.world.apply(events.StoreEraRead(era))
    context.world.run(defaults.RESTORE_SETTLE_S + READ_PERIOD_S)
    start_router(context, version, revision, era)


@given(
    "a router that starts and reads version {version:d}, at revision "
    "{revision:d} of era {era:d}"
)
def start_new_router(context, version, revision, era):
    context.world = router_world.World()
    start_router(context, version, revision, era)


def start_router(context, version, revision, era):
    context.active_versions = []
    context.world.apply(events.StoreEraRead(era))
    context.world.start()
    context.world.state.active_configuration = None
    read_version(context, version, revision, era)


@when("version {version:d}, at revision {revision:d} of era {era:d}, is read")
def read_once(context, version, revision, era):
    context.world.run(READ_PERIOD_S)
    read_version(context, version, revision, era)


@when(
    "version {version:d}, at revision {revision:d} of era {era:d}, is read for "
    "{duration:g} s"
)
def read_repeatedly(context, version, revision, era, duration):
    end = context.world.now + duration
    while context.world.now < end:
        read_version(context, version, revision, era)
        context.world.run(READ_PERIOD_S / 2)


@when("the store is away for {duration:g} s, and comes back in era {era:d}")
def restore_store(context, duration, era):
    world = context.world
    for subject in events.Subject:
        world.apply(events.StoreFailed(subject, "test"))
    world.run(duration)
    world.apply(events.StoreEraRead(era))
    for subject in events.Subject:
        world.apply(events.StoreAnswered(subject))


@then("version {version:d} is active")
def check_active(context, version):
    assert context.active_versions[-1] == version, context.active_versions


@then("version {version:d} has never been active since")
def check_never_active(context, version):
    assert version not in context.active_versions, context.active_versions


def compute_proof_age_s(context):
    return context.world.state.proof.age(now=context.world.now)


@then("the proof of freshness is at least {least:g} s old")
def check_old_proof(context, least):
    assert compute_proof_age_s(context) >= least, compute_proof_age_s(context)


@then("the proof of freshness is at most {most:g} s old")
def check_new_proof(context, most):
    assert compute_proof_age_s(context) <= most, compute_proof_age_s(context)


@when(
    "a peer that has known version {version:d} for {age:g} s sends a heartbeat"
)
def send_heartbeat(context, version, age):
    peer = start_peer(context, age)
    peer.configure(router_world.build_configuration(90, version=version, era=1))
    deliver_heartbeat(context, peer)


@when("a peer that noticed era {era:d} {age:g} s ago sends a heartbeat")
def send_restore(context, era, age):
    peer = start_peer(context, age)
    peer.apply(events.StoreEraRead(era - 1))
    peer.apply(events.StoreEraRead(era))
    deliver_heartbeat(context, peer)


@when("a peer that has seen era {era:d} for {age:g} s sends a heartbeat")
def send_era(context, era, age):
    peer = start_peer(context, age)
    peer.apply(events.StoreEraRead(era))
    deliver_heartbeat(context, peer)


@when("a registration that has era {era:d} as settled is {place}")
def register_peer(context, era, place):
    peer = peers.PeerAddress(
        name="entry-1", address="10.0.0.9:1", settled_era=era
    )
    event = events.EntryListed(peer)
    if place == "listed":
        event = events.EntriesListed((peer,))
    context.world.apply(event)


@then("era {era:d} is registered as settled {count:d} times")
def check_registered(context, era, count):
    wanted = effects.RegisterEntry(settled_era=era)
    assert context.world.effects.count(wanted) == count


def start_peer(context, age):
    """Starts another entry, some seconds ago."""
    peer = router_world.World(name="entry-1")
    peer.start()
    context.world.run(READ_PERIOD_S)
    peer.now = context.world.now - age
    return peer


def deliver_heartbeat(context, peer):
    """Delivers the peer's heartbeat to the router."""
    address = context.world.state.settings.peer_address
    listed = peers.PeerAddress(name="entry-0", address=address)
    peer.apply(events.EntriesListed((listed,)))
    peer.effects.clear()
    peer.now = context.world.now
    peer.state.next_heartbeat_at = 0.0
    peer.apply(core_events.Ticked())
    heartbeats = [
        effect.message
        for effect in peer.effects
        if isinstance(effect, core_effects.Send)
        and isinstance(effect.message, messages.Heartbeat)
    ]
    assert heartbeats
    context.world.apply(core_events.MessageReceived(heartbeats[-1]))


@then(
    "in {count:d} histories with restores all data stays within its age limits"
)
def check_histories(context, count):
    for seed in range(count):
        fleet = relay_fleet.RelayFleet(
            rng=random.Random(seed),
            entries=ENTRIES,
            loss_rate=LOSS_RATE,
            restores=True,
        )
        fleet.run(HISTORY_DURATION_S)
        assert not fleet.violations, (seed, fleet.violations[:5])


@when("the store names era {era:d}")
def name_era(context, era):
    context.world.apply(events.StoreEraRead(era))


@when("a reader that knows no era sends an update")
def send_update(context):
    context.world.apply(
        core_events.MessageReceived(
            messages.StoreUpdate(
                name="entry-1",
                asked_at=context.world.now,
                revision=1,
                proof_age_s=0.0,
                position=1,
                list_age_s=0.0,
            )
        )
    )


@then("no restore of the store is noticed")
def check_no_restore(context):
    assert context.world.state.restored_at is None
