"""Steps for copies of the configuration that entries send each other."""

import asyncio
import dataclasses
import random

from behave import given
from behave import then
from behave import when
import msgspec
from support import configuration_store
from support import loop_blocks
from support import relay_fleet
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_platform import configuration_decoder
from rhubarbbank_platform import copy_decoder
from rhubarbbank_platform import wire
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages

BOUNDS = {"config_apply_ms": 3_000, "drain_ms": 3_000}
COPY = b"copy"
READER = "entry-1"
REPORT_PERIOD_S = 0.4
HISTORY_DURATION_S = 60.0
READ_AGE_S = 0.25
PROOF_AGE_S = 1.0


@then(
    "in {count:d} histories in which the store turns a third of {entries:d} "
    "entries away all data stays within its age limits"
)
def check_histories(context, count, entries):
    copies = 0
    for seed in range(count):
        fleet = relay_fleet.RelayFleet(
            rng=random.Random(seed),
            entries=entries,
            faults=False,
            turns_away=True,
        )
        fleet.run(HISTORY_DURATION_S)
        copies += fleet.decoded
        assert not fleet.violations, (seed, fleet.violations[:5])
    assert copies


def build_configuration(version):
    found = router_world.build_configuration(version)
    return dataclasses.replace(found, encoded=COPY)


def start_world():
    world = router_world.World(**BOUNDS)
    world.start()
    return world


@given("a reader of version {version:d} with a copy of it")
def start_reader(context, version):
    context.world = start_world()
    context.world.configure(build_configuration(version))


def request_update(context, precedence):
    context.world.effects.clear()
    context.world.apply(
        core_events.MessageReceived(
            messages.StoreUpdateRequest(
                name="entry-2",
                address="127.0.0.1:12",
                asked_at=context.world.now,
                position=0,
                configuration=precedence,
            )
        )
    )


@when("an entry with version {version:d} requests an update")
def request_newer(context, version):
    request_update(context, (version, 0, version))


@when("an entry of a release without copies requests an update")
def request_as_earlier_release(context):
    request_update(context, None)


@when("the reader's list of upstreams changes")
def change_list(context):
    context.world.effects.clear()
    context.world.apply(events.UpstreamChanged(router_world.build_upstream(7)))
    context.world.apply(
        events.UpstreamsConfirmed(
            position=dataclasses.replace(
                context.world.router.list_position, revision=9
            ),
            current_at=context.world.now,
        )
    )


def find_update(context):
    found = [
        each.message
        for each in context.world.messages()
        if isinstance(each.message, messages.StoreUpdate)
    ]
    assert len(found) == 1, found
    return found[0]


@then("the update has the copy")
def check_copy(context):
    assert find_update(context).encoded == COPY


@then("the update has no copy")
def check_no_copy(context):
    assert not find_update(context).encoded


def send_update(context, *, version, encoded=b""):
    world = context.world
    context.read_at = world.now - READ_AGE_S
    world.apply(
        core_events.MessageReceived(
            messages.StoreUpdate(
                name=READER,
                asked_at=world.now,
                version=version,
                revision=version,
                proof_age_s=READ_AGE_S,
                position=1,
                list_age_s=READ_AGE_S,
                encoded=encoded,
            )
        )
    )


@given("an entry that another one informs")
def start_informed(context):
    context.world = start_world()
    context.world.run(PROOF_AGE_S)
    context.world.state.relay.is_reader = False


@when("a reader's update has version {version:d} with a copy")
def send_copy(context, version):
    send_update(context, version=version, encoded=COPY)


@when("a reader's update has version {version:d} without a copy")
def send_no_copy(context, version):
    send_update(context, version=version)


@when("readers report version {version:d} without a copy for {duration:g} s")
def report_version(context, version, duration):
    world = context.world
    end = world.now + duration
    while world.now < end:
        send_update(context, version=version)
        # The store confirms the older version no more, but it did just now.
        world.state.proof.confirm(sent_at=world.now)
        world.run(min(REPORT_PERIOD_S, end - world.now))


def list_decoded(context):
    return [
        each
        for each in context.world.effects
        if isinstance(each, effects.DecodeConfiguration)
    ]


def reads_configuration(context):
    return context.world.router.should_read(events.Subject.CONFIGURATION)


@then("it decodes the copy, and doesn't read the configuration")
def check_decoded(context):
    assert [each.encoded for each in list_decoded(context)] == [COPY]
    assert not reads_configuration(context)


@when("the copy is decoded")
def finish_decoding(context):
    (effect,) = list_decoded(context)
    context.world.apply(
        events.ConfigurationRead(
            asked_at=effect.confirmed_at,
            found=build_configuration(effect.version),
            source=effect.source,
        )
    )


@then("version {version:d} is active, confirmed when the reader read it")
def check_confirmed(context, version):
    state = context.world.state
    assert state.active_configuration.version == version
    assert state.proof.read_sent_at == context.read_at


@when("the copy is rejected")
def reject(context):
    context.world.apply(events.CopyRejected(source=READER, detail="cut off"))


@then("it reads the configuration")
def check_read(context):
    assert reads_configuration(context)


@then("it reads the configuration, and the log names the reader")
def check_read_logged(context):
    assert reads_configuration(context)
    reasons = [
        each.reason
        for each in context.world.effects
        if getattr(each, "decision", "") == "configuration_copy_rejected"
    ]
    assert reasons == [READER], reasons


def build_object(routes):
    objects = configuration_store.ConfigurationStore()
    objects.put([configuration_store.build_route(n) for n in range(routes)])
    return msgspec.json.decode(objects.body, type=wire.StoredObject)


def decode_object(stored):
    decoder = configuration_decoder.ConfigurationDecoder()
    return asyncio.run(decoder.decode(stored))


@given("a reader's configuration of {count:d} routes")
def build_original(context, count):
    context.stored = build_object(count)
    context.original = decode_object(context.stored)


def decode_copy(context, *, encoded, version):
    found = []
    decoder = copy_decoder.CopyDecoder(
        decoder=configuration_decoder.ConfigurationDecoder(),
        apply=found.append,
        spawn=asyncio.ensure_future,
    )
    work = decoder.decode(
        effects.DecodeConfiguration(
            source=READER,
            encoded=encoded,
            version=version,
            era=context.original.era,
            revision=context.original.revision,
            confirmed_at=1.0,
        )
    )
    with loop_blocks.freeze_old_objects():
        context.longest_s = asyncio.run(
            loop_blocks.measure_longest_block_s(work)
        )
    (context.decoded,) = found


@when("another entry decodes its copy")
def decode_whole(context):
    decode_copy(
        context,
        encoded=context.original.encoded,
        version=context.original.version,
    )


@when("another entry decodes its copy, {damage}")
def decode_damaged(context, damage):
    encoded, version = context.original.encoded, context.original.version
    match damage:
        case "cut off":
            encoded = encoded[:-10]
        case "overwritten":
            encoded = encoded[:30] + bytes(20) + encoded[50:]
        case "of another version":
            version += 1
    decode_copy(context, encoded=encoded, version=version)


@then("both have the same configuration, and the copy a tenth of its bytes")
def check_same(context):
    assert context.decoded.found == context.original
    assert context.decoded.found.encoded == context.original.encoded
    size = len(bytes(context.stored.spec))
    assert len(context.original.encoded) * 10 <= size


@then("the event loop was never blocked for more than {most:g} ms of CPU time")
def check_blocks(context, most):
    assert 0.0 < context.longest_s * 1000.0 <= most, context.longest_s


@then("the copy is rejected")
def check_rejected(context):
    assert isinstance(context.decoded, events.CopyRejected), context.decoded
