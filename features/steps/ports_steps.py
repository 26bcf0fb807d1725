"""Steps for the ports and the shard owners of a planned fleet."""

import contextlib
import socket

from behave import then
from behave import when
from support import fleets

from rhubarbbank_experiments import fleet
from rhubarbbank_experiments import ports

FLEET_PORT_COUNT = 40


@when("a fleet's ports are chosen and {count:d} connections are then opened")
def open_connections(context, count):
    finder = ports.PortFinder(seed=0)
    context.ports = [finder.find() for _ in range(FLEET_PORT_COUNT)]
    stack = context.stack.enter_context(contextlib.ExitStack())
    listener = stack.enter_context(socket.create_server((ports.LOCAL, 0)))
    for _ in range(count):
        client = stack.enter_context(socket.socket())
        client.connect(listener.getsockname())
        stack.enter_context(listener.accept()[0])


@then("each of the fleet's ports can still be listened on")
def check_ports(context):
    unavailable = [x for x in context.ports if not ports.is_free(x)]
    assert not unavailable, unavailable


@when("two finders that begin at the same port find {count:d} ports each")
def find_ports(context, count):
    finders = [ports.PortFinder(seed=7) for _ in range(2)]
    context.found = [[x.find() for _ in range(count)] for x in finders]


@then("no port is found twice")
def check_distinct(context):
    first, second = context.found
    assert not set(first) & set(second), (first[:3], second[:3])


@when("{count:d} fleets of three entries are planned")
def plan_fleets(context, count):
    context.entry_addresses = []
    for _ in range(count):
        planned_fleet = fleet.Fleet(
            deployment=fleets.read_deployment("platzwart")
        )
        planned_fleet.close()
        places = planned_fleet.find_places("entry")
        context.entry_addresses.append([x.peer_address for x in places])


@then("each of their entries is the preferred owner of a shard")
def check_owners(context):
    for addresses in context.entry_addresses:
        assert len(addresses) == 3
        assert fleet.find_owners(addresses) == set(addresses)
