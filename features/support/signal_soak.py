"""Plays seeded series of signals, restarts and changes beside callers.

Each entry has a thread that disturbs it, so that what happens to different
entries overlaps. Callers keep their connections until the entry closes them.
"""

import contextlib
import dataclasses
import http.client
import itertools
import json
import random
import signal
import threading
import time

from rhubarbbank_experiments import platform_fleet
from support import signals

CALLERS = 8
CALLER_PAUSE_S = 0.02
ANSWER_WAIT_S = 6.0
SERVED_WAIT_S = 10.0
STOP_WAIT_S = 9.0
# A request that arrives while its connection is being closed isn't lost.
LOSS_SLACK_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request and how it ended.

    Attributes:
        attempt_id: Its id.
        pid: The process that it was sent to.
        wait_s: From its last byte to its end, in seconds.
        status: The answer's status; 0 if the connection ended without one.
    """

    attempt_id: str
    pid: int
    wait_s: float
    status: int


class Caller(threading.Thread):
    """Sends requests on one connection after the other.

    Attributes:
        calls: The requests that were sent whole.
    """

    def __init__(self, soak, number):
        super().__init__()
        self.soak = soak
        self.number = number
        self.rng = random.Random(f"{soak.seed}-caller-{number}")
        self.calls = []

    def run(self):
        for turn in itertools.count():
            if self.soak.closing.is_set():
                return
            number = self.rng.randrange(len(self.soak.locks))
            with contextlib.suppress(OSError):
                self.use_connection(number, turn)
            time.sleep(CALLER_PAUSE_S)

    def use_connection(self, entry_number, turn):
        """Sends requests until the entry closes the connection."""
        # A new process may listen before the fleet names it.
        with self.soak.locks[entry_number]:
            entry = self.soak.fleet.entries[entry_number]
            connection = http.client.HTTPConnection(
                platform_fleet.LOCAL, entry.ports[0], timeout=ANSWER_WAIT_S
            )
            connection.connect()
        pid = entry.process.pid
        with contextlib.closing(connection):
            for number in itertools.count():
                name = f"s{self.soak.seed}-{self.number}-{turn}-{number}"
                if self.soak.closing.is_set():
                    return
                if not self.send(connection, name, pid):
                    return
                time.sleep(CALLER_PAUSE_S)

    def send(self, connection, name, pid):
        """Sends a request; returns whether the connection goes on."""
        route = self.rng.choice(("book", "look"))
        headers = {
            "Host": platform_fleet.HOST,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": "2500",
            "Authorization": f"Bearer {platform_fleet.KEY}",
        }
        connection.request("POST", f"/{route}/{name}", b"{}", headers)
        sent_at = time.monotonic()
        status = 0
        closes = True
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = connection.getresponse()
            answer.read()
            status = answer.status
            closes = answer.will_close
        self.calls.append(
            Call(
                attempt_id=name,
                pid=pid,
                wait_s=time.monotonic() - sent_at,
                status=status,
            )
        )
        return status != 0 and not closes


class Disturber(threading.Thread):
    """Disturbs one entry by signals, restarts and changes.

    Attributes:
        failure: What ended the thread; None if it ended as planned.
        actions: What it has done, for the report of a failure.
    """

    def __init__(self, soak, number):
        super().__init__()
        self.soak = soak
        self.number = number
        self.rng = random.Random(f"{soak.seed}-entry-{number}")
        self.failure = None
        self.actions = []

    @property
    def entry(self):
        return self.soak.fleet.entries[self.number]

    def run(self):
        choices = (
            self.send_series,
            self.change,
            self.change_in_halves,
            self.stop,
            self.kill,
            self.configure,
        )
        try:
            while not self.soak.closing.wait(self.rng.uniform(0.05, 0.8)):
                action = self.rng.choice(choices)
                self.actions.append(action.__name__)
                action()
        except BaseException as error:
            self.failure = error
            raise

    def send_series(self):
        """Sends SIGHUPs, one shortly after the other."""
        process = self.entry.process
        pause_s = self.rng.choice((0.0, 0.005, 0.03))
        for _ in range(self.rng.randint(1, 20)):
            process.send_signal(signal.SIGHUP)
            time.sleep(pause_s)

    def build_text(self):
        settings = self.soak.fleet.build_settings(self.number, self.entry.ports)
        extra = self.rng.uniform(50.0, 60.0)
        settings["bounds"] = settings["bounds"] | {"retry_extra": extra}
        return json.dumps(settings).encode()

    def change(self):
        """Writes other settings, with a series of signals or without one."""
        self.entry.settings.write_bytes(self.build_text())
        if self.rng.random() < 0.5:
            self.send_series()

    def change_in_halves(self):
        """Writes a half of other settings, and the rest a little later."""
        text = self.build_text()
        self.entry.settings.write_bytes(text[: len(text) // 2])
        self.entry.process.send_signal(signal.SIGHUP)
        time.sleep(self.rng.uniform(0.0, 0.5))
        self.entry.settings.write_bytes(text)

    def configure(self):
        """Writes a configuration as the operators do."""
        with self.soak.lock:
            self.soak.version += 1
            self.soak.fleet.configure(self.soak.version)

    def stop(self):
        """Stops the process beside further signals, and starts it again."""
        process = self.entry.process
        process.send_signal(signal.SIGTERM)
        ends_at = time.monotonic() + STOP_WAIT_S
        others = (signal.SIGHUP, signal.SIGTERM)
        is_noisy = self.rng.random() < 0.5
        while process.poll() is None:
            assert time.monotonic() < ends_at, "still there at the end"
            if is_noisy:
                process.send_signal(self.rng.choice(others))
            time.sleep(0.02)
        self.start_again()

    def kill(self):
        """Kills the process, and starts it again."""
        process = self.entry.process
        self.soak.killed.add(process.pid)
        process.kill()
        process.wait()
        self.start_again()

    def start_again(self):
        """Starts the process, mostly beside changes and signals."""
        self.soak.ended.append(self.entry.process)
        with self.soak.locks[self.number]:
            self.soak.fleet.relaunch_entry(self.number)
        signals.wait_listening(self.entry)
        time.sleep(self.rng.uniform(0.0, 0.5))
        if self.rng.random() < 0.8:
            self.change()
        if self.rng.random() < 0.2:
            self.stop()


class Soak:
    """One run of a fleet under disturbances.

    Attributes:
        seed: Seed of the disturbances and of the callers.
        fleet: The entries with their stand-ins.
        killed: Ids of the processes that were killed.
        ended: The processes that have ended.
        lock: Held while a configuration is written.
        locks: By entry, held while its process is started or connected to, so
            that each connection is known to belong to one process.
        version: Version of the configuration that was written last.
    """

    def __init__(self, *, seed, entries):
        self.seed = seed
        self.fleet = platform_fleet.PlatformFleet(entries=entries)
        self.killed = set()
        self.ended = []
        self.closing = threading.Event()
        self.lock = threading.Lock()
        self.locks = [threading.Lock() for _ in range(entries)]
        self.version = 1
        self.callers = [Caller(self, x) for x in range(CALLERS)]
        self.disturbers = [Disturber(self, x) for x in range(entries)]

    def play(self, duration_s):
        """Plays the run; returns all faults that were found."""
        with self.fleet:
            threads = [*self.callers, *self.disturbers]
            for thread in threads:
                thread.start()
            time.sleep(duration_s)
            self.closing.set()
            for thread in threads:
                thread.join()
            return {
                "ends": [*self.list_failures(), *self.list_ends()],
                "losses": self.list_losses(),
                "repeats": self.list_repeats(),
                "at_end": self.list_unserved(),
            }

    def describe(self, text):
        return f"seed {self.seed}: {text}"

    def list_failures(self):
        return [
            self.describe(f"entry {x.number}: {x.failure!r} in {x.actions}")
            for x in self.disturbers
            if x.failure is not None
        ]

    def list_ends(self):
        """Returns the processes that ended in another way than asked."""
        running = [x.process for x in self.fleet.entries]
        found = [
            (process.pid, process.poll(), process.pid in self.killed)
            for process in [*self.ended, *running]
        ]
        allowed = {False: {0, None}, True: {0, -signal.SIGKILL}}
        return [
            self.describe(f"process {pid} ended with {code}")
            for pid, code, killed in found
            if code not in allowed[killed]
        ]

    def list_losses(self):
        """Returns requests without an answer at processes not killed."""
        run = {x.attempt_id for x in self.fleet.list_runs()}
        return [
            self.describe(str(call))
            for caller in self.callers
            for call in caller.calls
            if call.status == 0
            and call.pid not in self.killed
            and (call.attempt_id in run or call.wait_s > LOSS_SLACK_S)
        ]

    def list_repeats(self):
        """Returns the bookings that ran more than once."""
        names = [x.attempt_id for x in self.fleet.list_runs("/book/")]
        return [self.describe(x) for x in names if names.count(x) > 1]

    def list_unserved(self):
        """Returns the entries that don't serve, or with older settings."""
        return [
            self.describe(f"entry {number}: {fault}")
            for number, entry in enumerate(self.fleet.entries)
            if (fault := self.find_fault(entry))
        ]

    def find_fault(self, entry):
        wanted = signals.compute_digest(entry.settings.read_bytes())
        try:
            self.fleet.wait_until(
                lambda: (
                    self.fleet.is_ready(entry)
                    and signals.find_digest(entry) == wanted
                ),
                "ready with the last settings",
                wait_s=SERVED_WAIT_S,
            )
        except AssertionError as error:
            return str(error)
        reply = self.fleet.ask("/look/last", entry=entry.number)
        return "" if reply.status == http.client.OK else str(reply)

    def count_answers(self):
        """Returns how many requests each status ended."""
        found = {}
        for caller in self.callers:
            for call in caller.calls:
                found[call.status] = found.get(call.status, 0) + 1
        return found
