"""What the failure features' steps share: fleets, traffic, faults, members."""

import base64
import concurrent.futures
import contextlib
import itertools
import json
import signal
from typing import Any
import weakref

from behave import runner

from rhubarbbank_core import ledger_log
from rhubarbbank_core import ledger_records
from rhubarbbank_experiments import fleet
from support import callers
from support import fleets
from support import operators

ORGANISATION = "tc-innsbruck"
SETTLE_ANSWERS = 20
FRESH = "fresh"
SHARED: weakref.WeakKeyDictionary[contextlib.ExitStack, fleet.Fleet] = (
    weakref.WeakKeyDictionary()
)


def share_fleet(context: runner.Context, **changes: Any) -> fleet.Fleet:
    """Returns the fleet of this feature, and starts it for the first one."""
    stack = context.feature_stack
    if stack not in SHARED:
        SHARED[stack] = stack.enter_context(
            fleets.run_fleet("platzwart", **changes)
        )
    return SHARED[stack]


def wait_served(running: fleet.Fleet, versions: tuple[str, ...]) -> None:
    """Waits until every entry serves every version."""

    def wait(name: str, version: str) -> None:
        fleets.wait_until(
            lambda: (
                callers.ask(
                    running, name, "?", organisation=ORGANISATION, model=version
                ).is_whole
            ),
            f"{name} serves {version}",
        )

    names = [x.name for x in running.find_places("entry")]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        list(
            pool.map(
                wait, *zip(*itertools.product(names, versions), strict=True)
            )
        )


def check_fresh(running: fleet.Fleet, name: str) -> None:
    """Checks that an entry's table is confirmed and that it serves."""
    status = operators.read_status(running, name)
    assert status["freshness"] == FRESH, status
    asked = callers.ask(
        running, name, "?", organisation=ORGANISATION, model="kurz"
    )
    assert asked.is_whole, asked


def set_store_faults(running: fleet.Fleet, **faults: Any) -> None:
    """Switches the store's faults; none clears them."""
    fleets.set_faults(running.store_url, **faults)


def start_traffic(context: runner.Context, **chat: Any) -> callers.Traffic:
    """Starts callers that end with the scenario."""
    chat.setdefault("organisation", ORGANISATION)
    traffic = callers.Traffic(running=context.fleet, **chat)
    context.stack.callback(traffic.close)
    context.traffic = traffic
    wait_for_answers(traffic)
    return traffic


def wait_for_answers(
    traffic: callers.Traffic, more: int = SETTLE_ANSWERS
) -> None:
    """Waits until more whole answers have come."""
    wanted = traffic.count_answers() + more
    fleets.wait_until(
        lambda: traffic.count_answers() >= wanted, f"{more} more answers"
    )


def ensure_runs(running: fleet.Fleet, name: str) -> None:
    """Starts a member again unless it runs."""
    process = running.members[name].process
    if process is not None and process.poll() is None:
        return
    running.members[name].start()


def kill(context: runner.Context, name: str) -> None:
    """Kills a member; it runs again after the scenario."""
    context.fleet.members[name].kill()
    context.stack.callback(restore, context.fleet, name)


def restore(running: fleet.Fleet, name: str) -> None:
    """Starts a member again if need be, and waits until all is settled."""
    set_store_faults(running)
    ensure_runs(running, name)
    for place in running.find_places("entry"):
        running.wait_ready(place)
    running.wait_settled()
    fleets.wait_until(
        lambda: min(operators.read_lowest_revisions(running).values()) > 0,
        "every entry and sidecar is known again",
    )


def freeze(context: runner.Context, name: str) -> None:
    """Stops a member's process until `thaw` or the scenario's end."""
    member = context.fleet.members[name]
    member.send(signal.SIGSTOP)
    context.stack.callback(member.send, signal.SIGCONT)


def read_objects(running: fleet.Fleet, prefix: str) -> dict[str, bytes]:
    """Returns the store's objects under a prefix, by key."""
    listed = json.loads(
        fleet.fetch(f"{running.store_url}/objects?prefix={prefix}")
    )
    return {x["key"]: base64.b64decode(x["value"]) for x in listed["objects"]}


def find_owner(running: fleet.Fleet, key: str) -> str:
    """Returns the name of the entry that owns a ledger key's shard."""
    return find_owners(running)[ledger_records.shard_of(key, fleet.SHARDS)]


def find_owners(running: fleet.Fleet) -> list[str]:
    """Returns the name of the entry that owns each shard of the ledger.

    It is the writer of the newest segment in the shard's log.
    """
    names = {x.peer_address: x.name for x in running.find_places("entry")}
    found = []
    for shard in range(fleet.SHARDS):
        segments = read_objects(running, ledger_log.log_prefix(shard))
        newest = ledger_log.SEGMENT_DECODER.decode(segments[max(segments)])
        found.append(names[newest.owner])
    return found
