"""Steps for entry processes whose platform's store is restored."""

import http

from behave import then
from behave import when

from rhubarbbank_experiments import platform_fleet
from rhubarbbank_platform import wire


@when(
    "the configuration is written {count:d} times and the store goes back by "
    "{lost:d}"
)
def lose_versions(context, count, lost):
    fleet = context.platform
    backups = []
    for version in range(2, 2 + count):
        fleet.configure(version)
        backups.append(fleet.call(fleet.store.take_backup))
    context.last_version = 1 + count
    fleet.wait_until(
        lambda: all(
            context.last_version in list_adopted_versions(entry)
            for entry in fleet.entries
        ),
        "the last version is active",
    )
    fleet.call(lambda: fleet.store.restore(backups[-1 - lost]))


def list_adopted_versions(entry):
    """Returns the versions that an entry has activated, oldest first."""
    return [
        int(line["reason"].removeprefix("version "))
        for line in entry.read_log()
        if line.get("decision") == "configuration_adopted"
    ]


@when("the operators write the lost version and add a route")
def write_lost_version(context):
    added = platform_fleet.build_route(
        "added", "idempotent", platform_fleet.BOOKINGS
    )
    context.platform.configure(context.last_version)
    context.platform.configure(context.last_version + 1, extra=(added,))


@then("each entry serves the new route within {bound:g} s")
def check_new_route(context, bound):
    fleet = context.platform
    fleet.wait_until(
        lambda: all(
            fleet.ask("/added/x", entry=entry.number).status
            == http.HTTPStatus.OK
            for entry in fleet.entries
        ),
        "the new route",
        wait_s=bound,
    )


@then("no entry has activated an older version")
def check_versions(context):
    for entry in context.platform.entries:
        versions = list_adopted_versions(entry)
        assert versions == sorted(versions), versions


@when("the store is restored from a copy without the entries")
def lose_registrations(context):
    fleet = context.platform

    def restore():
        backup = fleet.store.take_backup()
        del backup.kinds[wire.ENTRY_KIND]
        fleet.store.restore(backup)

    fleet.call(restore)


@then("both entries are registered within {bound:g} s")
def check_registered(context, bound):
    fleet = context.platform
    names = {entry.name for entry in fleet.entries}
    fleet.wait_until(
        lambda: fleet.store.kinds.get(wire.ENTRY_KIND, {}).keys() == names,
        "the registrations",
        wait_s=bound,
    )
