"""Steps for what upstreams announce in the headers of their answers."""

import dataclasses

from behave import given
from behave import then
from behave import when

from rhubarbbank_core import events as core_events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import effects
from rhubarbbank_router import events
from rhubarbbank_router import messages
from rhubarbbank_router import peers

PEER = peers.PeerAddress(name="entry-9", address="127.0.0.1:19")


def ask_until_sent(world, upstream):
    """Sends requests until one goes to the upstream; answers the others."""
    for _ in range(200):
        request = world.ask("look")
        if world.sent(request)[-1].upstream_id == upstream:
            return request
        world.answer_whole(request)
    raise AssertionError(f"nothing was sent to {upstream}")


def count_sent(world, upstream, count):
    """Sends requests; returns how many of them went to the upstream."""
    found = 0
    for _ in range(count):
        request = world.ask("look")
        if any(x.upstream_id == upstream for x in world.sent(request)):
            found += 1
        if not world.answers(request):
            world.answer_whole(request)
    return found


def relist(world, upstream, **changes):
    tracked = world.state.view.tracked[upstream]
    listed = dataclasses.replace(tracked.listed, **changes)
    world.apply(events.UpstreamChanged(listed))


@when('upstream "{upstream}" answers {status:d} and announces its shutdown')
def announce_shutdown(context, upstream, status):
    world = context.world
    request = ask_until_sent(world, upstream)
    world.head(
        request,
        status,
        leaving=True,
        refused=status == 503,
        misdirected=status == 421,
    )
    if not world.answers(request):
        world.end(request)


@when(
    'upstream "{upstream}" refuses a request and asks for a pause of {pause} s'
)
def ask_for_pause(context, upstream, pause):
    world = context.world
    request = ask_until_sent(world, upstream)
    world.head(request, 503, refused=True, closed_for_s=float(pause))
    if not world.answers(request):
        world.answer_whole(request)


@when("a request's other upstream breaks the connection")
def break_other(context):
    world = context.world
    context.request = world.ask("look")
    world.end(context.request, "broken")


@then("its caller has an answer at once")
def check_answered(context):
    assert context.world.answers(context.request)
    assert len(context.world.sent(context.request)) == 1


@when('the list shows "{upstream}" as ready again')
def list_again(context, upstream):
    relist(context.world, upstream, leaving=False)


@when('"{upstream}" is removed from the list and added again')
def remove_and_add(context, upstream):
    listed = context.world.state.view.tracked[upstream].listed
    context.world.apply(events.UpstreamUnlisted(upstream))
    context.world.apply(events.UpstreamChanged(listed))


@when('"{upstream}" restarts with the same id')
def restart(context, upstream):
    relist(context.world, upstream, started_ms=77)


@then('none of {count:d} new requests goes to "{upstream}"')
def check_none(context, count, upstream):
    found = count_sent(context.world, upstream, count)
    assert found == 0, found


@then('some of {count:d} new requests go to "{upstream}"')
def check_some(context, count, upstream):
    found = count_sent(context.world, upstream, count)
    assert found > 0, context.world.state.view.tracked[upstream]


@given("a peer of the router")
def add_peer(context):
    context.world.apply(events.EntriesListed((PEER,)))


@then('the heartbeat to the peer names "{upstream}" as shutting down')
def check_heartbeat(context, upstream):
    sent = context.world.messages()[-1]
    names = [name for name, _ in sent.message.leaving]
    assert names == ([upstream] if upstream else []), sent


@then('the heartbeat to the peer names "" as shutting down')
def check_heartbeat_empty(context):
    check_heartbeat(context, "")


@when('"{upstream}" is removed from the list')
def remove_from_list(context, upstream):
    context.listed = context.world.state.view.tracked[upstream].listed
    context.world.apply(events.UpstreamUnlisted(upstream))


@when('"{upstream}" is added to the list again, unchanged')
def list_as_before(context, upstream):
    assert context.listed.upstream_id == upstream
    context.world.apply(events.UpstreamChanged(context.listed))


@then('1 log line says that "{upstream}" is leaving, with the peer as reason')
def check_log_line(context, upstream):
    (line,) = [
        x
        for x in context.world.effects
        if isinstance(x, fx.LogDecision) and x.decision == "upstream_leaving"
    ]
    assert line.upstream == upstream, line
    assert line.reason == PEER.name, line


@when('the peer names "{upstream}" as shutting down')
def receive_from_peer(context, upstream):
    news = messages.Heartbeat(
        name=PEER.name,
        incarnation=1,
        address=PEER.address,
        stopping=False,
        leaving=((upstream, 0),),
    )
    context.world.apply(core_events.MessageReceived(news))


@then("a new request is refused as not run")
def check_refused(context):
    context.request = context.world.ask("book")
    (answer,) = context.world.answers(context.request)
    assert isinstance(answer, effects.RefuseRequest), answer
    assert answer.status == 503, answer
    assert not context.world.sent(context.request)


@then("its Retry-After is {low:g} to {high:g} s")
def check_retry_after(context, low, high):
    (answer,) = context.world.answers(context.request)
    assert low <= answer.retry_after_s <= high, answer
