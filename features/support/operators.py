"""Runs operator commands against a fleet and reads its table revisions."""

import json
import os
import subprocess
import sys
import threading
import time
from typing import Any

from rhubarbbank_core import table
from rhubarbbank_core import table_codec
from rhubarbbank_experiments import fleet
from support import fleets

# Bound on the time until an accepted edit is in force on every process.
MAX_PROPAGATION_S = 7.0
COMMAND_TIMEOUT_S = 60.0
COMMAND_MODULE = "rhubarbbank_entry.main"
SAMPLE_INTERVAL_S = 0.1


def start_table_command(
    running: fleet.Fleet, *arguments: str, author: str = "operator"
) -> subprocess.Popen[str]:
    """Starts a command under `rhubarbbank table`."""
    return subprocess.Popen(
        [
            *(sys.executable, "-m", COMMAND_MODULE, "table"),
            *("--store_url", running.store_url),
            *("--hosts_url", running.hosts_url),
            *("--author", author),
            *arguments,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"UV_USE_IO_URING": "0"},
    )


def wait_for_exit(
    command: subprocess.Popen[str],
) -> subprocess.CompletedProcess[str]:
    """Waits until a command exits; returns its output and exit code."""
    output, errors = command.communicate(timeout=COMMAND_TIMEOUT_S)
    return subprocess.CompletedProcess(
        command.args, command.returncode, output, errors
    )


def run_table_command(
    running: fleet.Fleet, *arguments: str, author: str = "operator"
) -> subprocess.CompletedProcess[str]:
    """Runs a command under `rhubarbbank table` until it exits."""
    return wait_for_exit(
        start_table_command(running, *arguments, author=author)
    )


def run_edit(running: fleet.Fleet, *arguments: str) -> int:
    """Runs an edit, checks that it is accepted, and returns its revision."""
    completed = run_table_command(running, *arguments)
    assert completed.returncode == 0, (completed.stdout, completed.stderr)
    accepted = completed.stdout.partition("Accepted as revision ")[2]
    return int(accepted.partition(".")[0])


def read_table(running: fleet.Fleet) -> table.Table:
    """Returns the table that the store holds."""
    raw = fleet.fetch(f"{running.store_url}/objects/{table_codec.TABLE_KEY}")
    return table_codec.decode_table(raw).table


def read_status(running: fleet.Fleet, name: str) -> Any:
    """Returns the `/status` of an entry, or None if it doesn't respond."""
    place = running.places[name]
    try:
        return json.loads(fleet.fetch(f"http://{place.http_address}/status"))
    except OSError:
        return None


def read_lowest_revisions(running: fleet.Fleet) -> dict[str, int]:
    """Returns the lowest revision reported for each process, or -1 for none."""
    revisions = dict.fromkeys(running.places, -1)
    for place in running.find_places("entry"):
        status = read_status(running, place.name)
        if status is None:
            continue
        revisions[place.name] = status["table_revision"]
        for name, revision in status["sidecars"].items():
            if revisions[name] == -1 or revision < revisions[name]:
                revisions[name] = revision
    return revisions


def wait_in_force(running: fleet.Fleet, revision: int) -> None:
    """Waits until every process reports the revision, within the bound."""
    fleets.wait_until(
        lambda: min(read_lowest_revisions(running).values()) >= revision,
        f"revision {revision} is in force everywhere",
        wait_s=MAX_PROPAGATION_S,
    )


def count_version_runs(running: fleet.Fleet, version: str) -> int:
    """Returns how many runs of a version the engines have started."""
    counts = fleets.read_counts(running, "engine")
    return sum(x["runs_by_version"].get(version, 0) for x in counts)


class RevisionMonitor:
    """Polls the table revision of each entry and records any decrease.

    Attributes:
        running: The fleet to monitor.
        decreases: Decreases, as (entry, revision before, revision after).
    """

    def __init__(self, *, running: fleet.Fleet) -> None:
        self.running = running
        self.decreases: list[tuple[str, int, int]] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self) -> None:
        """Compares each status of an entry with its previous one."""
        last_revisions: dict[tuple[str, int], int] = {}
        while not self.stopping.is_set():
            for place in self.running.find_places("entry"):
                pid = self.running.members[place.name].pid
                status = read_status(self.running, place.name)
                # A restarted process has no table at first. Revisions are
                # kept by process ID, so this doesn't count as a decrease.
                if status is None:
                    continue
                self.compare(last_revisions, (place.name, pid), status)
            time.sleep(SAMPLE_INTERVAL_S)

    def compare(
        self,
        last_revisions: dict[tuple[str, int], int],
        process: tuple[str, int],
        status: Any,
    ) -> None:
        """Records a decrease of a process's revision."""
        revision = status["table_revision"]
        before = last_revisions.get(process, revision)
        if revision < before:
            self.decreases.append((process[0], before, revision))
        last_revisions[process] = revision

    def close(self) -> None:
        """Stops polling."""
        self.stopping.set()
        self.thread.join()
