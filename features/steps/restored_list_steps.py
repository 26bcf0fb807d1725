"""Steps for lists of upstreams that are read from a restored store."""

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_router import events
from rhubarbbank_router import store_position


def list_upstreams(context, first, last, era):
    listed = tuple(
        router_world.build_upstream(number) for number in range(first, last + 1)
    )
    context.world.apply(events.StoreEraRead(era))
    context.world.apply(
        events.UpstreamsListed(
            listed,
            position=store_position.StorePosition(era, 100 // era),
            asked_at=context.world.now,
        )
    )


@given(
    "a router that has listed upstreams {first:d} to {last:d} in era {era:d}"
)
def start_with_list(context, first, last, era):
    context.world = router_world.World()
    context.world.apply(events.RolloutsListed(()))
    list_upstreams(context, first, last, era)
    context.world.configure()


@when("the list of era {era:d} has upstreams {first:d} to {last:d}")
def list_again(context, era, first, last):
    list_upstreams(context, first, last, era)


@when("the list of era {era:d} is still complete")
def confirm_list(context, era):
    context.world.apply(
        events.UpstreamsConfirmed(
            position=store_position.StorePosition(era, 100 // era),
            current_at=context.world.now,
        )
    )


@when("upstream {number:d} is registered")
def register_upstream(context, number):
    register_with_slots(context, number, 64)


@when("upstream {number:d} is registered with {slots:d} slots")
def register_with_slots(context, number, slots):
    listed = router_world.build_upstream(number, slots=slots)
    context.world.apply(events.UpstreamChanged(listed))


def list_accepting(context):
    accepting = context.world.state.view.list_accepting(
        "pool", now=context.world.now
    )
    return {each.listed.upstream_id for each in accepting}


@then("upstream {number:d} accepts requests")
def check_accepting(context, number):
    assert f"up-{number}" in list_accepting(context)


@then("upstream {number:d} accepts no requests")
def check_not_accepting(context, number):
    assert f"up-{number}" not in list_accepting(context)


@then("upstream {number:d} is unknown")
def check_unknown(context, number):
    assert f"up-{number}" not in context.world.state.view.tracked
