"""Steps for reading the platform's host list."""

import asyncio
import contextlib
import json
import random

import aiohttp
import aiohttp.web
from behave import given
from behave import then
from behave import when

from rhubarbbank_core import events
from rhubarbbank_experiments import slopes_entry
from rhubarbbank_runtime import hosts_http
from rhubarbbank_standins import hosts
from rhubarbbank_standins import settings

NO_ETAG_FAULTS = b'{"untagged": true}'
HISTORY_COUNT = 20
READS_PER_HISTORY = 60
PAUSES_S = (0.1, 1.0, 30.0, 700.0)


def build_host(index, state="live"):
    """Returns a host with the name and address of an `EntryBench` host."""
    is_entry = index % 2 == 0
    kind = "entry" if is_entry else "engine"
    start = slopes_entry.ENTRY_PORT if is_entry else slopes_entry.SIDECAR_PORT
    address = f"127.0.0.1:{start + index // 2}"
    return settings.Host(
        name=f"{kind}-{index // 2}",
        role="entry" if is_entry else "sidecar",
        data_centre=f"data-centre-{index // 2 % 2}",
        region="at-west",
        peer_address=address,
        upstream="" if is_entry else address,
        kind="" if is_entry else kind,
        state=state,
    )


def build_host_list(count):
    listed = tuple(build_host(index) for index in range(count))
    configured = settings.HostsSettings(kind="hosts", port=1, hosts=listed)
    return hosts.Hosts(configured=configured)


@contextlib.asynccontextmanager
async def serve(application):
    runner = aiohttp.web.AppRunner(application, access_log=None)
    await runner.setup()
    try:
        site = aiohttp.web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        async with aiohttp.ClientSession() as session:
            yield session, runner.addresses[0][1]
    finally:
        await runner.cleanup()


@given("a host list of {count:d} hosts")
def step_list(context, count):
    context.hosts = build_host_list(count)


@given("the host list sends no ETags")
def step_no_etags(context):
    context.hosts.set_faults(NO_ETAG_FAULTS)


@when("the list is read {count:d} times")
def step_read(context, count):
    async def run():
        application = context.hosts.make_application()
        async with serve(application) as (session, port):
            reader = hosts_http.HostListReader(
                session=session, url=f"http://127.0.0.1:{port}"
            )
            context.lists_read = [await reader.read() for _ in range(count)]
            etag = context.hosts.snapshots[-1].tag
            context.not_modified_bytes = await count_not_modified_bytes(
                port, etag
            )

    asyncio.run(run())
    assert all(x == context.lists_read[0] for x in context.lists_read)
    assert len(context.lists_read[0]) == len(context.hosts.snapshots[-1].hosts)


async def count_not_modified_bytes(port, etag):
    """Returns the size in bytes of the response to a conditional read."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = ["GET /hosts HTTP/1.1", "Host: x", f"If-None-Match: {etag}"]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    response = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return len(response)


@then("the host list answered {not_modified:d} of {count:d} reads with 304")
def step_not_modified(context, not_modified, count):
    # The raw read that measures a 304 response is counted too.
    counts = context.hosts.counts
    raw_not_modified = not context.hosts.faults.untagged
    assert counts.reads == count + 1, counts
    assert counts.unchanged == not_modified + raw_not_modified, counts


@then("it sent {bodies:d} body in total")
@then("it sent {bodies:d} bodies in total")
def step_bodies(context, bodies):
    # The raw read gets a body if the list has no ETag.
    raw_bodies = context.hosts.faults.untagged
    body_bytes = len(context.hosts.snapshots[-1].body)
    assert context.hosts.counts.body_bytes == (bodies + raw_bodies) * body_bytes
    print(f"list of {body_bytes} bytes, sent {bodies} times")


@then("a 304 response has at most {max_bytes:d} bytes")
def step_not_modified_bytes(context, max_bytes):
    print(f"304 response: {context.not_modified_bytes} bytes")
    assert context.not_modified_bytes <= max_bytes


def change_randomly(host_list, rng):
    """Removes or sets a random host, or leaves the list unchanged."""
    index = rng.randrange(6)
    match rng.randrange(6):
        case 0:
            remaining = dict(host_list.snapshots[-1].hosts)
            remaining.pop(build_host(index).name, None)
            host_list.change(remaining)
        case 1 | 2:
            host = build_host(index, rng.choice(["live", "leaving"]))
            host_list.change({**host_list.snapshots[-1].hosts, host.name: host})


def collect_state(bench):
    """Returns the entry's membership state and the messages it has sent."""
    membership = bench.reducer.state.control.fleet.membership
    return (
        vars(membership.hosts),
        dict(membership.sidecars),
        membership.directory.incarnations(),
        membership.targets,
        membership.find_upstreams(),
        membership.live_members(now=bench.now),
        bench.sent.messages,
    )


async def compare_entries(seed):
    """Compares two entries over a history; returns the number of 304 responses.

    The list has ETags for the first entry and none for the second.
    """
    rng = random.Random(seed)
    host_list = build_host_list(6)
    shape = slopes_entry.FleetShape(entries=3, sidecars=4, data_centres=2)
    benches = [slopes_entry.EntryBench(shape=shape) for _ in range(2)]
    async with serve(host_list.make_application()) as (session, port):
        readers = [
            hosts_http.HostListReader(
                session=session, url=f"http://127.0.0.1:{port}"
            )
            for _ in benches
        ]
        for _ in range(READS_PER_HISTORY):
            change_randomly(host_list, rng)
            is_down = rng.random() < 0.1
            pause_s = rng.choice(PAUSES_S)
            for bench, reader in zip(benches, readers, strict=True):
                faults = {"untagged": bench is benches[1], "down": is_down}
                host_list.set_faults(json.dumps(faults).encode())
                hosts_read = await reader.read()
                assert (hosts_read is None) == is_down
                bench.now += pause_s
                if hosts_read is not None:
                    bench.apply(events.HostsListed(hosts_read))
                bench.apply(events.Ticked())
            assert collect_state(benches[0]) == collect_state(benches[1]), seed
    return host_list.counts.unchanged


@then("entries with and without ETags have equal states over random histories")
def step_equal_states(context):
    not_modified = [
        asyncio.run(compare_entries(seed)) for seed in range(HISTORY_COUNT)
    ]
    print(
        f"304 responses to {READS_PER_HISTORY} reads, by seed: {not_modified}"
    )
    assert all(not_modified)


@when("a read answered with 304 ends after a read of a newer list")
def step_late(context):
    host_list = context.hosts

    async def run():
        answered, released = asyncio.Event(), asyncio.Event()

        @aiohttp.web.middleware
        async def delay_first_304(request, handler):
            response = await handler(request)
            if response.status == 304 and not answered.is_set():
                answered.set()
                await released.wait()
            return response

        application = host_list.make_application()
        application.middlewares.append(delay_first_304)
        async with serve(application) as (session, port):
            reader = hosts_http.HostListReader(
                session=session, url=f"http://127.0.0.1:{port}"
            )
            context.first = await reader.read()
            late = asyncio.create_task(reader.read())
            await answered.wait()
            host = build_host(6)
            host_list.change({**host_list.snapshots[-1].hosts, host.name: host})
            context.newer = await reader.read()
            released.set()
            context.late = await late
            context.next = await reader.read()

    asyncio.run(run())


@then("the late read returns the list whose ETag it sent")
def step_late_list(context):
    assert len(context.first) == 6
    assert context.late == context.first


@then("the next read returns the newer list")
def step_newer(context):
    assert len(context.newer) == 7
    assert context.next == context.newer
