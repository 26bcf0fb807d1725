"""What a process does with signals, and the settings it has in force."""

import contextlib
import dataclasses
import datetime as dt
import hashlib
import pathlib
import signal
import socket
import threading
import time

from rhubarbbank_experiments import platform_fleet

SAMPLE_PERIOD_S = 0.001
DIGEST_DIGITS = 12
ENDED_STATES = ("Z", "X")
LISTEN_WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """The signals that a process handled or ignored at a moment.

    Attributes:
        at_s: Seconds since the first sample.
        handled: The signals.
    """

    at_s: float
    handled: frozenset[signal.Signals]


def read_status(pid):
    """Returns the fields of a process's status; none if it is gone."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    except (FileNotFoundError, ProcessLookupError):
        return {}
    fields = (line.split(":", 1) for line in text.splitlines())
    return {name: value.strip() for name, value in fields}


def is_ended(status):
    return not status or status["State"].startswith(ENDED_STATES)


def read_handled(status):
    """Returns the signals that have no default action."""
    mask = int(status["SigCgt"], 16) | int(status["SigIgn"], 16)
    return frozenset(x for x in signal.Signals if mask >> (x - 1) & 1)


@contextlib.contextmanager
def watch_handlers(pid):
    """Yields a list that samples are added to until the process has ended."""
    samples = []
    closing = threading.Event()

    def sample():
        begun_at = time.monotonic()
        while not closing.is_set():
            status = read_status(pid)
            if is_ended(status):
                return
            samples.append(
                Sample(
                    at_s=time.monotonic() - begun_at,
                    handled=read_handled(status),
                )
            )
            time.sleep(SAMPLE_PERIOD_S)

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield samples
    finally:
        closing.set()
        thread.join()


def wait_zombie(pid, *, wait_s=10.0):
    """Waits until a process has ended, without reaping it."""
    ends_at = time.monotonic() + wait_s
    while not is_ended(read_status(pid)):
        assert time.monotonic() < ends_at, "it still runs"
        time.sleep(0.005)


def wait_mapped(process, library, *, wait_s=10.0):
    """Waits until a process that starts has loaded a library."""
    ends_at = time.monotonic() + wait_s
    path = pathlib.Path(f"/proc/{process.pid}/maps")
    while library not in path.read_text(encoding="utf-8"):
        assert process.poll() is None, process.returncode
        assert time.monotonic() < ends_at, f"{library} isn't loaded"
        time.sleep(0.002)


def wait_listening(entry):
    """Waits until a process has opened its socket for callers."""
    ends_at = time.monotonic() + LISTEN_WAIT_S
    while True:
        try:
            address = (platform_fleet.LOCAL, entry.ports[0])
            socket.create_connection(address, timeout=1.0).close()
        except OSError:
            assert entry.process.poll() is None, entry.process.returncode
            assert time.monotonic() < ends_at, "no socket for callers"
            time.sleep(0.002)
        else:
            return


def compute_digest(text):
    """Returns the digest under which an entry logs a settings file."""
    return hashlib.sha256(text).hexdigest()[:DIGEST_DIGITS]


def list_settings_lines(entry):
    """Returns the log lines that name the settings in force, oldest first."""
    return [
        line
        for line in entry.read_log()
        if "settings_sha256" in line.get("inputs", {})
    ]


def find_digest(entry):
    """Returns the digest of the settings in force; empty before the start."""
    lines = list_settings_lines(entry)
    return lines[-1]["inputs"]["settings_sha256"] if lines else ""


def read_time(line):
    """Returns when a line was logged, in seconds of the time of day."""
    return dt.datetime.fromisoformat(line["time"]).timestamp()


def find_digest_time(entry, digest):
    """Returns when settings came into force."""
    return next(
        read_time(line)
        for line in list_settings_lines(entry)
        if line["inputs"]["settings_sha256"] == digest
    )


def find_started_time(entry):
    """Returns when an entry had started."""
    return next(
        read_time(line)
        for line in entry.read_log()
        if line.get("decision") == "started"
    )


def count_decisions(entry, decision):
    """Returns how often an entry has logged a decision."""
    return sum(x.get("decision") == decision for x in entry.read_log())
