import random

import behave
import fleet as fleets
import hypothesis
from hypothesis import strategies as st
import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import gossip
from rhubarbbank_core import membership
from rhubarbbank_core import membership_messages
from rhubarbbank_core import subset

ENTRIES = ["a-1", "a-2", "a-3", "b-1", "b-2"]
SIDECARS = ["a-s1", "a-s2", "b-s1"]
RUMOUR_S = 3.0


@behave.given("a small fleet whose members know each other")
def given_fleet(context):
    context.fleet = fleets.Fleet(entries=ENTRIES, sidecars=SIDECARS)
    context.fleet.list_hosts()
    context.fleet.run(5)


def find_candidates(fleet, name):
    found = fleet.node(name).membership.candidates(
        fleets.VERSION, now=fleet.now
    )
    return {candidate.name for candidate in found}


@behave.when("sidecar {name} says that it leaves")
def when_leaving(context, name):
    fleet = context.fleet
    node = fleet.node(name)
    sent = node.presence.announce(
        now=fleet.now, report=node.report(), leaving=True
    )
    for effect in sent:
        fleet.send(fleet.place(name), effect)


@behave.when("entry {name} says that it leaves")
def when_entry_leaves(context, name):
    fleet = context.fleet
    for effect in fleet.node(name).membership.leave(now=fleet.now):
        fleet.send(fleet.place(name), effect)


@behave.when("sidecar {name} reports its upstream unhealthy")
def when_unhealthy(context, name):
    context.fleet.node(name).presence.healthy = False


@behave.when("the members run for {seconds:g} s")
def when_run(context, seconds):
    context.fleet.run(seconds)


@behave.when("member {name} crashes")
def when_crash(context, name):
    context.fleet.stop(name)


@behave.when("member {name} restarts")
def when_restart(context, name):
    context.fleet.start(name)
    context.fleet.list_hosts()


@behave.when("entry {entry} fails to reach {name}")
def when_failure(context, entry, name):
    fleet = context.fleet
    fleet.node(entry).membership.report_failure(name, now=fleet.now)


@behave.when("the platform's list says that {name} leaves")
def when_listed_leaving(context, name):
    fleet = context.fleet
    hosts = [
        msgspec_replace(host) if host.name == name else host
        for host in fleet.hosts()
    ]
    for entry in ENTRIES:
        fleet.node(entry).on_hosts(hosts, now=fleet.now)


def msgspec_replace(host):
    return membership_messages.HostSeen(
        name=host.name,
        role=host.role,
        data_centre=host.data_centre,
        peer_address=host.peer_address,
        state=membership_messages.HostState.LEAVING,
    )


@behave.then("the candidates of {entry} are {names}")
def then_candidates(context, entry, names):
    found = find_candidates(context.fleet, entry)
    assert found == set(names.split(", ")), found


@behave.then("every entry that runs sees these live entries: {names}")
def then_live(context, names):
    fleet = context.fleet
    for name in ENTRIES:
        if fleet.place(name).node is None:
            continue
        found = fleet.node(name).membership.live_entries(now=fleet.now)
        assert found == tuple(names.split(", ")), (name, found)


@behave.then("{entry} knows that {name} leaves")
def then_is_leaving(context, entry, name):
    assert context.fleet.node(entry).membership.is_leaving(name)


@behave.then("random crashes and losses never offer a leaving upstream")
def then_random(context):
    actions = st.lists(
        st.tuples(
            st.sampled_from(["leave", "crash", "restart", "lossy", "sound"]),
            st.sampled_from(SIDECARS + ENTRIES),
            st.integers(0, 16),
        ),
        max_size=12,
    )

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=40,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(st.integers(0, 2**20), actions)
    def run(seed, story):
        fleet = fleets.Fleet(entries=ENTRIES, sidecars=SIDECARS, seed=seed)
        fleet.list_hosts()
        known = {}
        for action, name, ticks in story:
            act(fleet, action, name)
            for _ in range(ticks):
                fleet.tick()
                check_view(fleet, known)
        heal(fleet)

    run()


def act(fleet, action, name):
    is_sidecar = name in SIDECARS
    running = fleet.place(name).node is not None
    if action == "leave" and is_sidecar and running:
        node = fleet.node(name)
        for effect in node.presence.announce(
            now=fleet.now, report=node.report(), leaving=True
        ):
            fleet.send(fleet.place(name), effect)
    elif action == "crash":
        fleet.stop(name)
    elif action == "restart":
        fleet.start(name)
        fleet.list_hosts()
    elif action == "lossy":
        fleet.loss, fleet.late = 0.3, 0.3
    elif action == "sound":
        fleet.loss, fleet.late = 0.0, 0.0


def check_view(fleet, known):
    """An entry that heard of a leave never offers that incarnation again."""
    for entry in ENTRIES:
        place = fleet.place(entry)
        if place.node is None:
            continue
        view = place.node.membership
        offered = find_candidates(fleet, entry)
        for row in view.directory.sidecars.values():
            key = (entry, place.incarnation, row.name)
            rank = (row.incarnation, row.generation)
            assert rank >= known.get(key, (0, 0)), "a row went back"
            known[key] = rank
            if row.leaving:
                assert row.name not in offered, (entry, row)
            sidecar = fleet.place(row.name)
            if row.name in offered and sidecar.node is None:
                heard_at = view.sidecars[row.name].heard_at
                assert fleet.now - heard_at <= view.suspect_after_s()


def heal(fleet):
    fleet.loss = fleet.late = 0.0
    for name in ENTRIES + SIDECARS:
        if fleet.place(name).node is None:
            fleet.start(name)
    fleet.list_hosts()
    fleet.run(8 + RUMOUR_S)
    wanted = {
        name for name in SIDECARS if not fleet.node(name).presence.row.leaving
    }
    for entry in ENTRIES:
        assert find_candidates(fleet, entry) == wanted
        live = fleet.node(entry).membership.live_entries(now=fleet.now)
        assert live == tuple(sorted(ENTRIES))


@behave.then("news reaches all {count:d} entries in {most:d} hops")
def then_hops(context, count, most):
    entries = [
        subset.Member(f"entry-{i:03d}", f"centre-{i % 3}") for i in range(count)
    ]
    links = {entry.name: set() for entry in entries}
    for entry in entries:
        for peer in gossip.choose_peers(entries, own=entry):
            links[entry.name].add(peer)
            links[peer].add(entry.name)
    widest = 0
    for start in list(links)[::37]:
        reached, edge, hops = {start}, {start}, 0
        while edge:
            edge = {p for name in edge for p in links[name]} - reached
            reached |= edge
            hops += bool(edge)
        assert len(reached) == count
        widest = max(widest, hops)
    print(f"{widest} hops at most")
    assert widest <= most, widest


@behave.then("a node's control traffic at the target size stays in its budget")
def then_bytes(context):
    """Adds up encoded sizes of what one second brings at the target size."""
    traffic = measure_traffic(entries=370, sidecars=600)
    for line in traffic.lines():
        print(line)
    assert traffic.entry_mean < 5000
    assert traffic.entry_most < 6000
    assert traffic.sidecar_most < 5000


class Traffic:
    def __init__(self, entry, sidecar):
        self.entry_mean = sum(entry) / len(entry)
        self.entry_most = max(entry)
        self.sidecar_mean = sum(sidecar) / len(sidecar)
        self.sidecar_most = max(sidecar)

    def lines(self):
        yield f"entry: mean {self.entry_mean:.0f} B/s, most {self.entry_most}"
        yield (
            f"sidecar: mean {self.sidecar_mean:.0f} B/s, "
            f"most {self.sidecar_most}"
        )


def measure_traffic(*, entries, sidecars):
    rng = random.Random(5)
    sender = membership.Membership(
        name="entry-111",
        data_centre="at-west-1",
        address="10.1.0.111:7400",
        incarnation=1_764_800_000,
        rng=rng,
    )
    report = membership_messages.LocalReport(
        revision=4711, digest=2**63 + 5, confirmed_age_s=1.2
    )
    sender.last_report = report
    row = membership_messages.SidecarRow(
        name="runner-111",
        incarnation=1_764_800_000,
        generation=300,
        address="10.2.0.111:7400",
        data_centre="at-west-1",
        upstream="10.2.0.111:8000",
        kind=membership_messages.HostKind.ENGINE,
        versions=("schedule-planner@2026-11-30",),
    )
    sender.directory.merge_sidecar(row)
    hello = sender.probe_sidecar("runner-111", 10.0)[0].message
    answer = membership_messages.SidecarHeartbeat(
        name=row.name,
        incarnation=row.incarnation,
        sequence=2**31,
        echo=2**31,
        revision=4711,
        digest=2**63 + 5,
        running=64,
        waiting=300,
        max_batch=64,
        load_age_ms=400,
    )
    sender.entries_heard["entry-222"] = 9.5
    heartbeat = sender.make_heartbeat(
        "entry-222", "10.1.0.222:7400", report, 10.0, wants=True
    ).message
    encode = msgspec.msgpack.encode
    pair = len(encode(hello)) + len(encode(answer))
    peer_pair = 2 * len(encode(heartbeat))
    print(f"hello and answer {pair} B, two entry heartbeats {peer_pair} B")
    assert isinstance(heartbeat, effects.Message)

    members = [
        subset.Member(f"entry-{i:03d}", f"at-west-{i % 3}")
        for i in range(entries)
    ]
    upstreams = [
        subset.Member(f"runner-{i:03d}", f"at-west-{i % 3}")
        for i in range(sidecars)
    ]
    chosen = subset.Assignment(
        key="subset", entries=members, upstreams=upstreams
    )
    load = {m.name: 0 for m in members + upstreams}
    for member in members:
        for name in chosen.of(member):
            load[member.name] += pair
            load[name] += pair
        for name in gossip.choose_peers(members, own=member):
            load[member.name] += peer_pair
            load[name] += peer_pair
    return Traffic(
        [load[m.name] for m in members], [load[u.name] for u in upstreams]
    )
