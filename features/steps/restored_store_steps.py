"""Steps for an entry that follows a store's stand-in, which is restored."""

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import when
from support import followed_store

from rhubarbbank_experiments import platform_fleet
from rhubarbbank_platform import wire
from rhubarbbank_standins import platform_store


@given("an entry that follows a store with version 4 at revision 2")
def prepare_follower(context):
    context.followed = followed_store.PolledConfiguration()
    context.changes = [lambda: context.followed.put(4)]


@given("the store names no era before its first restore")
def omit_first_era(context):
    context.followed.store.names_first_era = False


@then("the restore is noticed")
def check_noticed(context):
    assert context.followed.world.state.restored_at is not None


@when("the store is restored from a copy with version 3")
def restore_followed(context):
    def restore():
        store = context.followed.store
        spec = platform_fleet.build_configuration(3)
        stored = platform_store.StoredObject(
            wire.CONFIGURATION_NAME, 1, 1, spec
        )
        store.restore(
            platform_store.Backup(
                {wire.CONFIGURATION_KIND: {stored.name: stored}}, revision=1
            )
        )

    context.changes.append(restore)


@when("the operators write version {version:d}")
def write_version(context, version):
    # The first change after the restore gets the revision of the lost one.
    context.changes[-1] = combine(
        context.changes[-1], lambda: context.followed.put(version)
    )


def combine(first, second):
    def carry_out():
        first()
        second()

    return carry_out


@then("the follower passes on version {version:d}")
def check_passed_on(context, version):
    followed = context.followed
    asyncio.run(followed.run(context.changes))
    assert followed.versions == [4, version], followed.versions
    active = followed.world.state.active_configuration
    assert active.version == version, active.version
    assert active.era == followed.store.era, active.era


@given("an entry that watches a store with 3 upstreams")
def prepare_watch(context):
    context.watched = followed_store.WatchedUpstreams(3)


@when("the store is restored from a copy without upstream 2")
def restore_without_upstream(context):
    store = context.watched.store
    backup = store.take_backup()
    del backup.kinds[wire.UPSTREAM_KIND]["up-2"]
    context.backup = dataclasses.replace(backup, revision=store.revision - 1)


@when("upstreams 3, 4 and 5 register")
def register_upstreams(context):
    async def change():
        context.watched.store.restore(context.backup)
        for number in (3, 4, 5):
            context.watched.register(number)

    context.change = change


@then("the entry knows the store's upstreams within {bound:g} s")
def check_upstreams(context, bound):
    asyncio.run(context.watched.run(context.change, bound))
