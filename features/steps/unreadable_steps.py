"""Steps for objects of the store that can't be read."""

import asyncio

from behave import given
from behave import then
from behave import when
from support import router_world

from rhubarbbank_platform import store_api
from rhubarbbank_platform import store_follower
from rhubarbbank_router import events

DEEP = b"[" * 100_000 + b"]" * 100_000
UPSTREAM = b'"addr":"127.0.0.1:9%b","state":"ready","service":"pool"'
# The members of a spec, by what is wrong with them.
CAUSES = {
    "unpaired surrogates": UPSTREAM % b"9" + b',"zone":"notes \\ud83c"',
    "deep nesting": UPSTREAM % b"9" + b',"notes":' + DEEP,
    "invalid escapes": UPSTREAM % b"9" + rb',"zone":"\x41"',
    "invalid numbers": UPSTREAM % b"9" + b',"slots":NaN',
    "invalid UTF-8": UPSTREAM % b"9" + b',"zone":"\xff\xfe"',
    "unreadable names": UPSTREAM % b"9",
    "huge numbers": UPSTREAM % b"9" + b',"slots":' + b"9" * 25,
    "a long port": UPSTREAM % (b"9" * 5_000),
    "duplicate keys": UPSTREAM % b"9" + b',"slots":4,"slots":"4"',
}
CUTS = {
    "inside a text": b'{"store_revision":1,"items":[{"metadata":{"na',
    "before its last bracket": b'{"store_revision":1,"items":[]',
    "with the wrong bracket": b'{"store_revision":1,"items":[\\ud83c}}',
}


def build_object(name, spec):
    return b'{"metadata":{"name":"%b","revision":1},"spec":{%b}}' % (name, spec)


def build_upstream(number):
    return build_object(b"up-%d" % number, UPSTREAM % b"%d" % number)


class ScriptedStore:
    """Replaces `StoreApi`: one list, one watch, and watches that don't end."""

    def __init__(self, listed, watched=b""):
        self.bodies = [listed, watched]

    async def list_page(self, kind, *, after):
        return await self.answer()

    async def watch(self, kind, *, revision, wait_s, allow_stale):
        return await self.answer()

    async def answer(self):
        if not self.bodies:
            await asyncio.Event().wait()
        return store_api.CallResult(
            outcome=store_api.CallOutcome.OK, body=self.bodies.pop(0)
        )


def build_page(items, more):
    return b'{"items":[%b],"store_revision":1,"has_more":%b}' % (
        b",".join(items),
        more,
    )


@given("a store whose objects can't be read because of {cause}")
def prepare_objects(context, cause):
    name = b"\\ud83c" if cause == "unreadable names" else b"foreign"
    foreign = build_object(name, CAUSES[cause])
    become = build_upstream(1)
    if cause != "unreadable names":
        become = build_object(b"up-1", CAUSES[cause])
    else:
        become = build_object(b"up-1", b'"service":"\\ud83c"')
    changed = [foreign, become, build_upstream(2)]
    context.objects = ScriptedStore(
        build_page([foreign, build_upstream(0), build_upstream(1)], b"false"),
        b'{"store_revision":2,"events":[%b]}'
        % b",".join(b'{"object":%b,"removed":false}' % x for x in changed),
    )


@given("a store whose list ends {place}")
def prepare_cut(context, place):
    context.objects = ScriptedStore(CUTS[place])


@given("a store whose first page has unreadable names only")
def prepare_unnamed(context):
    unnamed = build_object(b"\\ud83c", UPSTREAM % b"9")
    context.objects = ScriptedStore(build_page([unnamed], b"true"))


def follow(context, subjects_left):
    """Follows the upstreams until the script has been applied."""
    context.world = router_world.World()
    context.reported = []

    async def run():
        done = asyncio.Event()

        def apply(event):
            context.reported.append(event)
            context.world.apply(event)
            if isinstance(event, subjects_left):
                done.set()

        follower = store_follower.StoreFollower(
            api=context.objects,
            apply=apply,
            clock=lambda: context.world.now,
            read_policy=context.world.router,
        )
        kind = store_follower.FOLLOWED_KINDS[0]
        task = asyncio.ensure_future(follower.follow_kind(kind))
        waiting = asyncio.ensure_future(done.wait())
        await asyncio.wait(
            (task, waiting), timeout=5.0, return_when="FIRST_COMPLETED"
        )
        task.cancel()
        waiting.cancel()

    asyncio.run(run())


@when("an entry lists the upstreams, and a watch reports changes")
def list_and_watch(context):
    follow(context, (events.UpstreamsConfirmed, events.StoreFailed))


@when("an entry lists the upstreams")
def list_once(context):
    follow(context, (events.UpstreamsListed, events.StoreFailed))


@then("it knows the upstreams beside the unreadable one after each of them")
def check_known(context):
    listed = next(
        x for x in context.reported if isinstance(x, events.UpstreamsListed)
    )
    found = [x.upstream_id for x in listed.listed]
    assert found == ["up-0", "up-1"], found
    changed = [
        x.listed.upstream_id
        for x in context.reported
        if isinstance(x, events.UpstreamChanged)
    ]
    assert changed == ["up-2"], changed


@then("the upstream that became unreadable is gone")
def check_gone(context):
    gone = [
        x.upstream_id
        for x in context.reported
        if isinstance(x, events.UpstreamUnlisted)
    ]
    assert "up-1" in gone, gone


@then("the list counts as a failed call")
def check_failed(context):
    kinds = [type(x) for x in context.reported]
    assert events.StoreFailed in kinds, kinds
    assert events.UpstreamsListed not in kinds, kinds


@when("it reads a configuration that is nested too deeply")
def read_deep(context):
    context.objects.body = (
        b'{"metadata":{"name":"main","revision":9},"spec":{"version":9,"x":%b}}'
        % DEEP
    )
    follower = context.follower
    assert not asyncio.run(follower.read_configuration(context.world.now))
