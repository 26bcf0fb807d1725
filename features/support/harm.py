"""What failure tests do to a fleet, and what they read of it afterwards."""

import base64
import collections
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import contextlib
import json
import signal
from typing import Any

import msgspec

from rhubarbbank_core import entry_billing
from rhubarbbank_core import ledger_log
from rhubarbbank_core import store
from rhubarbbank_experiments import fleet
from support import caller_threads
from support import fleets


def find_entry(running: fleet.Fleet, number: int) -> str:
    """Returns where an entry serves callers."""
    return running.places[f"entry-{number}"].http_address


def find_server(running: fleet.Fleet, caller: caller_threads.Caller) -> str:
    """Returns the sidecar that a stream was placed at last."""
    url = f"http://{caller.sent.address}/explain/{caller.request_id}"
    lines = json.loads(fleet.fetch(url))["decisions"]
    return [x["upstream"] for x in lines if x["decision"] == "placed"][-1]


def list_ledger(running: fleet.Fleet) -> list[store.StoredObject]:
    """Returns every object of the ledger, sorted by key."""
    listing = json.loads(
        fleet.fetch(f"{running.store_url}/objects?prefix=ledger/")
    )
    return [
        store.StoredObject(x["key"], x["version"], base64.b64decode(x["value"]))
        for x in listing["objects"]
        if not x.get("deleted")
    ]


def read_bills(running: fleet.Fleet) -> list[entry_billing.Bill]:
    """Returns every bill in the object API."""
    return [
        msgspec.json.decode(x.value, type=entry_billing.Bill)
        for x in ledger_log.read_bills(list_ledger(running))
    ]


def read_owners(running: fleet.Fleet) -> dict[int, str]:
    """Returns which entry wrote each shard of the ledger last."""
    names = {x.peer_address: x.name for x in running.find_places("entry")}
    owners: dict[int, str] = {}
    for found in list_ledger(running):
        if "/log/" in found.key:
            shard = int(found.key.split("/")[1])
            segment = ledger_log.SEGMENT_DECODER.decode(found.value)
            owners[shard] = names[segment.owner]
    return owners


def read_status(running: fleet.Fleet, name: str) -> Any:
    """Returns an entry's status."""
    address = running.places[name].http_address
    return json.loads(fleet.fetch(f"http://{address}/status"))


def count_bills(running: fleet.Fleet) -> collections.Counter[str]:
    """Returns how many bills each request id has."""
    return collections.Counter(x.request_id for x in read_bills(running))


def has_process(member: fleet.Member) -> bool:
    """Returns whether a member's process runs."""
    return member.process is not None and member.process.poll() is None


def list_running_entries(running: fleet.Fleet) -> list[str]:
    """Returns the entries whose processes run."""
    return [
        place.name
        for place in running.find_places("entry")
        if has_process(running.members[place.name])
    ]


def wait_for_flush(running: fleet.Fleet) -> None:
    """Waits until no running entry has a bill that isn't durable."""

    def is_flushed() -> bool:
        return not any(
            read_status(running, name)["unsettled_records"]
            for name in list_running_entries(running)
        )

    fleets.wait_until(is_flushed, "every bill is durable")


def check_bills(
    running: fleet.Fleet,
    asked: Sequence[caller_threads.Caller],
    *,
    ambiguous: Sequence[caller_threads.Caller] = (),
) -> None:
    """Checks that each answered request has one bill and no other has any.

    Args:
        running: The fleet.
        asked: The requests.
        ambiguous: Those whose entry died between record and last byte; each
            may have one bill, and none has two.
    """
    answered = {x.request_id for x in asked if x.is_answered}
    fleets.wait_until(
        lambda: answered <= count_bills(running).keys(),
        f"a bill for each of {len(answered)} answers",
    )
    wait_for_flush(running)
    counts = count_bills(running)
    open_ids = {x.request_id for x in ambiguous}
    for caller in asked:
        found = counts[caller.request_id]
        if caller.request_id in open_ids:
            assert found <= 1, (found, caller.describe())
            continue
        assert found == int(caller.is_answered), (found, caller.describe())


def kill(running: fleet.Fleet, name: str) -> None:
    """Ends a process without a warning."""
    running.members[name].kill()


def restart(running: fleet.Fleet, name: str) -> None:
    """Starts a process anew and waits until the fleet uses it."""
    running.members[name].start()
    place = running.places[name]
    if place.kind == "entry":
        running.wait_ready(place)
        running.wait_settled()
        return
    wait_for_sidecar(running, name)


def wait_for_sidecar(running: fleet.Fleet, name: str) -> None:
    """Waits until each entry hears a sidecar's table revision."""

    def is_known() -> bool:
        found = [
            read_status(running, x.name) for x in running.find_places("entry")
        ]
        return all(
            x["sidecars"].get(name) == x["table_revision"] for x in found
        )

    fleets.wait_until(is_known, f"every entry hears {name}")


def wait_served(running: fleet.Fleet) -> None:
    """Waits until each entry answers a chat again."""

    def is_served() -> bool:
        asked = [
            caller_threads.stream(
                x.http_address, "Are you there?", model="kurz"
            )
            for x in running.find_places("entry")
        ]
        caller_threads.join_all(asked)
        return all(x.is_answered for x in asked)

    fleets.wait_until(is_served, "every entry answers a chat")


@contextlib.contextmanager
def paused(running: fleet.Fleet, name: str) -> Iterator[None]:
    """Stops a process for the length of a block, as a long pause does."""
    running.members[name].send(signal.SIGSTOP)
    try:
        yield
    finally:
        running.members[name].send(signal.SIGCONT)


def set_upstream_faults(
    running: fleet.Fleet, *kinds: str, **faults: object
) -> None:
    """Switches the faults of all upstreams of some kinds."""
    for place in running.find_places(*kinds):
        fleets.set_faults(place.upstream_url, **faults)


def clear_faults(running: fleet.Fleet) -> None:
    """Clears every fault."""
    set_upstream_faults(running, "engine", "service")
    fleets.set_faults(running.store_url)


def count_runs(running: fleet.Fleet, key: str) -> int:
    """Returns how often the services have run a key."""
    counts = fleets.read_counts(running, "service")
    return sum(x["runs_by_key"].get(key, 0) for x in counts)


def check_not_run(
    running: fleet.Fleet, asked: Sequence[caller_threads.Caller]
) -> None:
    """Checks that no request which was refused as not run has run."""
    counts = fleets.read_counts(running, "engine", "service")
    for caller in asked:
        if caller.error is None or caller.error["run_state"] != "not_run":
            continue
        runs = sum(
            x["runs_by_request_id"].get(caller.request_id, 0) for x in counts
        )
        assert not runs, caller.describe()


def find_runner(
    running: fleet.Fleet, key: str, caller: caller_threads.Caller
) -> str:
    """Returns the service that runs a caller's key, once one does."""

    def find() -> list[str]:
        return [
            place.name
            for place in running.find_places("service")
            if json.loads(fleet.fetch(f"{place.upstream_url}/counts"))[
                "runs_by_key"
            ].get(key)
        ]

    fleets.wait_until(
        lambda: find() or caller.is_over(), f"a service runs {key}"
    )
    found = find()
    assert found, f"{key} doesn't run: {caller.describe()}"
    return found[0]


def find_healthy(running: fleet.Fleet) -> fleet.Place:
    """Returns an engine that is up, once one is."""

    def list_up() -> list[fleet.Place]:
        return [
            place
            for place in running.find_places("engine")
            if fleet.answers(f"{place.upstream_url}/health")
        ]

    fleets.wait_until(list_up, "an engine is up")
    return list_up()[0]


def read_undisturbed(
    running: fleet.Fleet, caller: caller_threads.Caller, *, version: str
) -> str:
    """Returns the text that a version gives to a request when left alone."""
    place = find_healthy(running)
    body = json.loads(caller.sent.body) | {"model": version, "stream": False}
    found = json.loads(
        fleet.post_json(f"{place.upstream_url}/v1/chat/completions", body)
    )
    return str(found["choices"][0]["message"]["content"])


def check_whole(
    running: fleet.Fleet, asked: Sequence[caller_threads.Caller]
) -> None:
    """Checks that streams have the undisturbed text, each piece once."""
    set_upstream_faults(running, "engine")

    def read(caller: caller_threads.Caller) -> str:
        assert caller.is_answered, caller.describe()
        version = caller.headers["X-Model-Version"]
        return read_undisturbed(running, caller, version=version)

    with futures.ThreadPoolExecutor(len(asked)) as pool:
        wanted = list(pool.map(read, asked))
    for caller, text in zip(asked, wanted, strict=True):
        assert caller.text == text, (caller.text, text)
        assert caller.finishes == 1, caller.describe()


def check_refused(
    caller: caller_threads.Caller, *, code: str, run_state: str
) -> None:
    """Checks a refusal's code and run state."""
    assert caller.error is not None, caller.describe()
    found = (caller.error["code"], caller.error["run_state"])
    assert found == (code, run_state), caller.describe()
