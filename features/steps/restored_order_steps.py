"""Steps for roll-out orders that are read from a restored store."""

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import version_trial

SETTLE_S = 0.2


def build_order(revision, era, state="running", **changes):
    fields = {
        "revision": revision,
        "created_revision": revision,
        "era": era,
        "state": version_trial.OrderState(state),
    }
    return router_world.build_order(**fields | changes)


def list_orders(context, era, *orders):
    context.world.apply(events.StoreEraRead(era))
    context.world.apply(events.RolloutsListed(orders))


@given("a router with a roll-out whose order has revision 90 of era 1")
def start_trial(context):
    context.world = router_world.World()
    context.world.start()
    list_orders(context, 1, build_order(90, 1))
    for number in (10, 11):
        listed = router_world.build_upstream(number, "v2")
        context.world.apply(events.UpstreamChanged(listed))
    context.world.run(SETTLE_S)


@given("a router with a rejected target whose order has revision 90 of era 1")
def start_rejected(context):
    start_trial(context)
    reject_target(context)
    context.world.effects.clear()


@when("the target is rejected")
def reject_target(context):
    context.world.state.trials["pool"].hold(now=context.world.now)


@given("a router with a completed roll-out at revision 90 of era 1")
def start_completed(context):
    start_trial(context)
    order = build_order(91, 1, "completed", created_revision=90)
    context.world.apply(events.RolloutChanged(order))
    context.world.effects.clear()


@when(
    "the list of era 2 has the order at revision {revision:d}, as "
    '"{order_state}"'
)
def list_order(context, revision, order_state):
    created = {"created_revision": 40}
    list_orders(context, 2, build_order(revision, 2, order_state, **created))


@when("the list of era 2 has no order")
def list_no_order(context):
    list_orders(context, 2)


@when('the list of era 2 has an earlier order for version "{version}"')
def list_earlier_order(context, version):
    list_orders(context, 2, build_order(40, 2, "completed", target=version))


@when(
    "the order is written at revision {revision:d} of era {era:d}, as "
    '"{order_state}"'
)
def write_order(context, revision, era, order_state):
    order = build_order(revision, era, order_state)
    context.world.apply(events.RolloutChanged(order))


def list_recorded(context):
    return [
        (effect.state.value, effect.order.revision)
        for effect in context.world.effects
        if isinstance(effect, effects.RecordRollout)
    ]


@then('the outcome "{outcome}" is recorded at revision {revision:d}')
def check_recorded(context, outcome, revision):
    assert (outcome, revision) in list_recorded(context), list_recorded(context)


@then("no outcome is recorded")
def check_none_recorded(context):
    assert not list_recorded(context), list_recorded(context)


@then("the target is rejected")
def check_rejected(context):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == "v2", trial.order
    assert trial.held


@then("the target is on trial")
def check_on_trial(context):
    trial = context.world.state.trials["pool"]
    assert trial.order.target == "v2", trial.order
    assert not trial.held


@then("all requests go to the target")
def check_all_to_target(context):
    assert context.world.state.trials["pool"].share == 1.0
