"""Steps for evacuations of a data centre, without a network."""

import random

from behave import given
from behave import then
from behave import when
from support import evacuation_fleet
from support import router_world

from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import effects
from rhubarbbank_router import evacuations
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import options
from rhubarbbank_router import store_position
from rhubarbbank_router import version_trial

DATA_CENTRES = ("west-a", "west-a", "west-b")
BOUNDS = {"evac_ms": 5000.0, "config_apply_ms": 4000.0, "drain_ms": 4000.0}
VERSIONS = ("v1", "v1", "v2")
POLICIES = {
    "Evacuations": evacuations.Evacuations,
    "LatestList": evacuations.LatestListEvacuations,
}


def start(*, bounds=BOUNDS, versions=("v1",) * 3, reads_evacuations=True):
    world = router_world.World(**bounds)
    world.apply(events.RolloutsListed(()))
    world.list_upstreams(
        *(
            router_world.build_upstream(n, versions[n], data_centre=name)
            for n, name in enumerate(DATA_CENTRES)
        )
    )
    world.configure()
    if reads_evacuations:
        position = store_position.StorePosition(1, 60)
        world.apply(events.EvacuationsListed((), position, asked_at=world.now))
    return world


@given(
    'a router that follows evacuations, with upstreams 0 and 1 in "west-a" and '
    '2 in "west-b"'
)
def start_router(context):
    context.world = start()


@given("a router that follows evacuations and has read all else")
def start_without_list(context):
    context.world = start(reads_evacuations=False)


@when('"{name}" is evacuated')
def evacuate(context, name):
    found = evacuations.Evacuation(data_centre=name)
    context.world.apply(events.EvacuationChanged(found))


@when('the evacuation of "{name}" is taken back')
def take_back(context, name):
    context.world.apply(events.EvacuationRemoved(name))


@when('a list at revision {revision:d} of era {era:d} evacuates "{name}"')
def list_evacuation(context, revision, era, name):
    position = store_position.StorePosition(era, revision)
    listed = () if not name else (evacuations.Evacuation(data_centre=name),)
    context.world.apply(
        events.EvacuationsListed(
            listed, position=position, asked_at=context.world.now
        )
    )


@when("a list at revision {revision:d} of era {era:d} has no evacuations")
def list_none(context, revision, era):
    list_evacuation(context, revision, era, "")


@when("the watch is complete at revision {revision:d} of era {era:d}")
def confirm(context, revision, era):
    context.world.apply(
        events.EvacuationsConfirmed(
            position=store_position.StorePosition(era, revision),
            current_at=context.world.now,
        )
    )


@when("reads of the evacuations fail for {duration:g} s")
def fail_reads(context, duration):
    world = context.world
    for _ in range(int(duration)):
        world.apply(events.StoreFailed(events.Subject.EVACUATIONS, "away"))
        world.run(1.0)
        world.configure()


@when('every upstream of "{name}" is closed for {duration:g} s')
def close(context, name, duration):
    world = context.world
    for number, data_centre in enumerate(DATA_CENTRES):
        if data_centre == name:
            world.state.view.record_closed(
                f"up-{number}", duration, now=world.now
            )


OUTCOMES = {
    "drops the connection": lambda world, r: world.end(r, "broken"),
    "is unreachable": lambda world, r: world.end(r, "unreached"),
    "refuses the request as overloaded": lambda world, r: world.head(
        r, 503, refused=True
    ),
    "answers with little confidence": lambda world, r: (
        world.head(r, confidence=5),
        world.stream(r, 1, 3),
        world.end(r),
    ),
    "breaks its stream after event 3": lambda world, r: (
        world.head(r, confidence=90),
        world.stream(r, 1, 3),
        world.end(r, "broken"),
    ),
}


@when("then its upstream {outcome}")
def apply_outcome(context, outcome):
    OUTCOMES[outcome](context.world, context.request)


def list_data_centres(world, request):
    return [
        DATA_CENTRES[int(x.upstream_id.removeprefix("up-"))]
        for x in world.sent(request)
    ]


@then('its attempts went to data centres "{names}"')
def check_attempts(context, names):
    found = list_data_centres(context.world, context.request)
    assert ", ".join(found) == names, found


@then('{count:d} requests for "{route}" go to data centre "{name}"')
def check_requests(context, count, route, name):
    world = context.world
    for _ in range(count):
        request = world.ask(route)
        found = list_data_centres(world, request)
        assert found == [name], found
        world.head(request, confidence=90)
        world.end(request)


@then('the end of the evacuation of "{name}" is known')
def check_end(context, name):
    known = context.world.state.evacuations
    assert known.ended_at == {name: context.world.now}, known.ended_at
    assert not known.active


@then('the log tells that evacuations of "{name}" began and ended')
def check_log(context, name):
    found = [
        (x.decision, dict(x.inputs).keys())
        for x in context.world.effects
        if isinstance(x, fx.LogDecision) and x.reason == name
    ]
    inputs = {"in_force_s", "known_age_s", "era", "position", "reads"}
    assert found == [
        ("evacuation_begun", inputs),
        ("evacuation_ended", inputs),
    ], found


@then(
    'Retry-After is between {low:g} and {high:g} s, and the log names "{names}"'
)
def check_refusal(context, low, high, names):
    (refused,) = context.world.answers(context.request)
    assert refused.status == 503, refused
    assert low <= refused.retry_after_s <= high, refused
    inputs = dict(context.world.decisions(context.request)[-1].inputs)
    assert inputs["evacuated"] == names, inputs
    assert inputs["evacuations_age_s"] == 0.0, inputs


@then(
    'the metrics show that "{name}" has been evacuated and "{other}" no longer'
)
def check_gauges(context, name, other):
    context.world.effects.clear()
    context.world.run(2.0)
    found = {
        x.metric: x.value
        for x in context.world.effects
        if isinstance(x, fx.Gauge)
    }
    assert found["evacuations"] == 1, found
    assert 1.0 <= found[f"evacuated_s.{name.replace('-', '_')}"] <= 2.0, found
    assert found[f"evacuated_s.{other.replace('-', '_')}"] == 0.0, found


@when(
    '{rate:d} requests/s run under the "{policy}" policy while a copy lacks an '
    "evacuation for {lost:g} s"
)
def play_restore(context, rate, policy, lost):
    known = POLICIES[policy]()
    wanted = evacuations.Evacuation(data_centre="west-a")
    copied = store_position.StorePosition(2, 70)
    known.put(wanted, now=100.0)
    known.confirm(store_position.StorePosition(1, 90), at=100.0, now=100.0)
    context.sent = 0
    for number in range(int(4.0 * rate)):
        now = 101.0 + number / rate
        if number == 0:
            known.replace((), position=copied, at=now, now=now)
        if now >= 101.0 + lost:
            known.put(wanted, now=now)
        context.sent += not known.is_evacuated("west-a")
        known.confirm(copied, at=now, now=now)


@then("{count:d} of them go to the evacuated data centre")
def check_sent(context, count):
    assert context.sent == count, context.sent


@when("a roll-out to the version of upstream 2 is ordered, for {duration:g} s")
def order(context, duration):
    known = context.world
    context.world = start(versions=VERSIONS)
    for name in known.state.evacuations.active:
        evacuate(context, name)
    order = router_world.build_order(duration_s=duration)
    context.world.apply(events.RolloutChanged(order))


@when('{duration:d} s of requests for "{route}" pass')
def run_requests(context, duration, route):
    world = context.world
    context.requests = []
    for _ in range(duration * 10):
        context.requests.append(world.ask(route))
        world.answer_whole(context.requests[-1])
        world.run(0.1)
        world.configure()


@when('the target gets all requests, and "{name}" is evacuated')
def reach_all_requests(context, name):
    (trial,) = context.world.state.trials.values()
    trial.set_step(len(trial.plan.steps) - 1, now=context.world.now)
    evacuate(context, name)


@then("all of them ran on upstreams 0 and 1")
def check_ran(context):
    for request in context.requests:
        found = list_data_centres(context.world, request)
        assert found == ["west-a"], found


def list_recorded(world):
    return [
        x.state for x in world.effects if isinstance(x, effects.RecordRollout)
    ]


@then("the roll-out isn't recorded as completed")
def check_not_completed(context):
    recorded = list_recorded(context.world)
    assert version_trial.OrderState.COMPLETED not in recorded, recorded


@then("the roll-out is recorded as completed")
def check_completed(context):
    context.world.run(2.0)
    assert version_trial.OrderState.COMPLETED in list_recorded(context.world)


@then("the router is ready")
def check_ready(context):
    assert context.world.router.is_ready(now=context.world.now)


def tell(context, evacuated, revision):
    world = context.world
    update = messages.StoreUpdate(
        name="entry-",
        asked_at=world.now,
        revision=1,
        proof_age_s=0.0,
        position=0,
        list_age_s=0.0,
        version=1,
        evacuated=evacuated,
        evacuations_position=revision,
        evacuations_era=1,
    )
    world.apply(core_events.MessageReceived(update))


@when('a reader tells that "{name}" has been evacuated for {age:g} s')
def tell_evacuated(context, name, age):
    report = messages.EvacuationReport(
        data_centre=name, age_ms=round(age * 1000), position=80, era=1
    )
    tell(context, (report,), 90)
    known = context.world.state.evacuations.active[name]
    assert known.begun_at == context.world.now - age, known


@when("a reader's older news says that nothing is evacuated")
def tell_old(context):
    tell(context, (), 85)


@when("a reader tells that nothing is evacuated")
def tell_none(context):
    tell(context, (), 95)


@then(
    "without the setting, the same requests have the same effects whatever is "
    "evacuated"
)
def check_unchanged(context):
    worlds = [start(bounds={}) for _ in range(2)]
    evacuated = evacuations.Evacuation(data_centre="west-a")
    worlds[0].apply(events.EvacuationsListed((evacuated,)))
    worlds[0].apply(events.EvacuationChanged(evacuated))
    for world in worlds:
        for route in ("look", "book") * 10:
            request = world.ask(route)
            world.answer_whole(request)
            world.run(0.2)
            world.configure()
    assert worlds[0].effects == worlds[1].effects
    assert worlds[0].router.is_ready(now=worlds[0].now)


@then("without the setting, the kind isn't read")
def check_not_read(context):
    subject = events.Subject.EVACUATIONS
    assert not start(bounds={}).router.should_read(subject)
    assert context.world.router.should_read(subject)


@then("a bound of 0 is refused, and none isn't")
def check_bounds(context):
    template = (
        b'{"name":"e","data_centre":"d","caller_address":"127.0.0.1:1",'
        b'"ready_address":"127.0.0.1:2","metrics_address":"127.0.0.1:3",'
        b'"peer_address":"127.0.0.1:4","store_address":"127.0.0.1:5",'
        b'"bounds":{%s}}'
    )
    (fault,) = options.parse_settings(template % b'"evac_ms":0')
    assert fault.field == "bounds.evac_ms", fault
    assert options.parse_settings(template % b"").bounds.evac_ms is None
    assert options.parse_settings(template % b'"evac_ms":9').bounds.evac_ms == 9


@then(
    "in history {seed:d} with {entries:d} entries and restores no evacuation "
    "is unknown after its bound"
)
def check_history(context, seed, entries):
    fleet = evacuation_fleet.EvacuationFleet(
        rng=random.Random(seed),
        entries=entries,
        loss_rate=0.03,
        restores=True,
        own_changes=True,
    )
    fleet.run(40.0)
    assert not fleet.violations, (seed, fleet.violations[:5])


@then(
    "in {count:d} histories with {entries:d} entries no evacuation is unknown "
    "after its bound"
)
def check_histories(context, count, entries):
    for seed in range(count):
        fleet = evacuation_fleet.EvacuationFleet(
            rng=random.Random(seed),
            entries=entries,
            loss_rate=0.03,
            restores=seed % 2 == 1,
            own_changes=True,
        )
        fleet.run(40.0)
        assert fleet.checked, seed
        assert not fleet.violations, (seed, fleet.violations[:5])
