"""Starts entries with the command of the deploy file, and the stand-ins."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

import stand_ins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "club.example"
KEY = "key-one"
TENANT = "club-one"
MODELS = "rhubarb-pool"
BOOKINGS = "booking-api"
SIZES = ["small", "medium", "large"]
# The bounds of the deployment platzwart-prod.
BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 8,
    "retry_ratio": 0.9,
    "retry_extra": 56,
    "retry_window_s": 10,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "session_s": 5,
}
HOST_LIMITS = {"memory_mb": 150, "max_descriptors": 4100, "link_mbps": 1000.0}
READY_WAIT_S = 20.0


def build_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Returns a route as the operator writes it."""
    route = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 20000 if kind == "stream" else 800,
        "target_latency_ms": 2000 if kind == "stream" else 150,
        "priority": 1,
        "service": service,
        "max_attempts": 3 if kind == "stream" else 1,
        "public": False,
    }
    if kind == "stream":
        route |= {"sticky": True, "resumable": True, "gap_aim_ms": 1500}
        route |= {"sizes": SIZES}
    return route | changes


def build_configuration(version: int, **changes: object) -> dict:
    """Returns a configuration as the operator writes it."""
    models = [{"name": x, "cost": 0.1 * (n + 1)} for n, x in enumerate(SIZES)]
    return {
        "version": version,
        "routes": [
            build_route("chat", "stream", MODELS),
            build_route("look", "idempotent", BOOKINGS, max_attempts=2),
            build_route("book", "non_idempotent", BOOKINGS),
        ],
        "services": [
            {
                "name": MODELS,
                "health_path": "/health",
                "max_conns": 370,
                "engine": {"slots": 64, "models": models},
            },
            {"name": BOOKINGS, "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | changes


class Entry:
    """One entry: a process of its own."""

    def __init__(self, fleet: "Fleet", number: int, store_port: int) -> None:
        self.name = f"front-{number}"
        self.fleet = fleet
        ports = [stand_ins.find_port() for _ in range(4)]
        self.port, self.ready_port, _, _ = ports
        addresses = [f"{stand_ins.LOCAL}:{x}" for x in ports]
        settings = {
            "name": self.name,
            "data_centre": "at-west-a",
            "caller_address": addresses[0],
            "ready_address": addresses[1],
            "metrics_address": addresses[2],
            "peer_address": addresses[3],
            "store_address": f"{stand_ins.LOCAL}:{store_port}",
            "bounds": BOUNDS,
            "host": HOST_LIMITS,
        }
        self.store_port = store_port
        self.settings_path = fleet.folder / f"{self.name}.json"
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")
        self.log_path = fleet.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/entry.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": "target/deps",
                    "RHUBARBBANK_CONFIG": str(self.settings_path),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Returns whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                stand_ins.LOCAL, self.ready_port
            )
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await stand_ins.read_message(reader)
        writer.close()
        return answer is not None and answer.words[1] == "200"

    async def wait_ready(self) -> None:
        """Waits until the process is ready."""
        ends_at = time.monotonic() + READY_WAIT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)


class Fleet:
    """Entries, the store and runners."""

    def __init__(self) -> None:
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = stand_ins.Store()
        self.entries: list[Entry] = []
        self.runners: dict[str, stand_ins.Runner] = {}

    async def open(self, *, entries: int, configuration: dict) -> None:
        """Starts the store and the entries, and waits until they are ready."""
        ports = await self.store.open(entries)
        self.store.put("config", "main", spec=configuration)
        for number, port in enumerate(ports):
            self.entries.append(Entry(self, number, port))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()

    async def add_runner(
        self,
        name: str,
        service: str,
        respond: stand_ins.Respond,
        **spec: object,
    ) -> stand_ins.Runner:
        """Starts a runner and registers it."""
        runner = stand_ins.Runner(name, respond)
        await runner.open()
        self.runners[name] = runner
        self.register(name, service, **spec)
        return runner

    def register(self, name: str, service: str, **changes: object) -> None:
        """Writes a runner's entry in the store."""
        spec = {
            "service": service,
            "addr": f"{stand_ins.LOCAL}:{self.runners[name].port}",
            "zone": "at-west-a",
            "version": "v1",
            "slots": 6 if service == BOOKINGS else 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, spec=spec | changes)

    async def close(self) -> None:
        """Ends all processes that were started."""
        for entry in self.entries:
            if entry.is_running():
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
            if entry.process is not None:
                entry.process.wait()
        for runner in self.runners.values():
            runner.close()
        self.store.close()
        self.temporary.cleanup()

    def read_logs(self) -> str:
        """Returns what the entries have written."""
        return "".join(
            f"== {x.name}\n{x.log_path.read_text(encoding='utf-8')}"
            for x in self.entries
        )
