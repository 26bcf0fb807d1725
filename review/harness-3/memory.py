"""What the cases share in which an entry exceeds its memory.

The stand-in of the platform kills an entry whose memory exceeds its limit, and
starts it again. Meanwhile clients read streams of sound runners over kept
connections; a case counts those that were passed on to a runner, and whose
connection ends without any byte of an answer.
"""

import asyncio
import collections
from collections.abc import Coroutine
import pathlib
import signal
import time
from typing import Any

import fleet
import stand_ins

HELD, BROKEN, NOT_RUN = 0, 1, 2
LENGTH_S = 30.0
STREAMERS = 6
STREAM_DEADLINE_MS = 20_000
# Within the objective of 2 s for the first event.
FIRST_EVENT_S = 1.2
EVENTS = 20
EVENT_PAUSE_S = 0.02
MEMORY_BYTES = fleet.HOST_LIMITS["memory_mb"] * 1_000_000
CHECK_S = 0.05
RESTART_DELAY_S = 0.5
MAX_LOST = 3
RUN_LIMIT_S = 100.0
# Lines of the record that are printed: the counts, and what six runners ran.
SUMMARY_LINES = 10


async def stream(
    runner: stand_ins.Runner, run: stand_ins.Run, writer: asyncio.StreamWriter
) -> bool:
    """Answers with a stream of events."""
    head = runner.build_headers(run) | {
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
        "X-Confidence": "90",
        "X-Weight-Versions": "1",
    }
    await asyncio.sleep(FIRST_EVENT_S)
    if writer.is_closing():
        return False
    writer.write(stand_ins.build_head(200, head))
    first = int(run.message.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {run.attempt_id}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(EVENT_PAUSE_S)
        if writer.is_closing():
            return False
    writer.write(b"0\r\n\r\n")
    return True


def build_request(path: str, name: str, deadline_ms: int, body: bytes) -> bytes:
    """Returns a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"X-Attempt-Id: {name}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {fleet.KEY}",
        f"Content-Length: {len(body)}",
    ]
    if path.startswith("/chat/"):
        lines += ["X-Model: *", "X-Token-Usage: 800,300"]
        lines += [f"X-Prompt-Prefix: 5c1e07a2:200,{time.time_ns():x}:600"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class MemoryCase:
    """One run of a case.

    Attributes:
        record: What is written to the record.
        others: How the other requests ended: their status, or what else
            happened.
        streams: The same of the streams.
        lost: Streams from kept connections that were passed on and got nothing.
        kills: How often the entry's memory exceeded its limit.
        peak_bytes: The most memory that it held.
    """

    def __init__(self) -> None:
        self.fleet = fleet.Fleet()
        self.record: list[str] = []
        self.others: collections.Counter[str] = collections.Counter()
        self.streams: collections.Counter[str] = collections.Counter()
        self.lost: list[str] = []
        self.kills = 0
        self.peak_bytes = 0
        self.ends_at = 0.0

    @property
    def entry(self) -> fleet.Entry:
        """The only entry."""
        return self.fleet.entries[0]

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        left_s = self.ends_at - time.monotonic()
        self.record.append(f"{LENGTH_S - left_s:6.2f} s  {text}")

    async def follow_streams(self, number: int) -> None:
        """Reads streams, one after the other over a kept connection."""
        count = 0
        while time.monotonic() < self.ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    stand_ins.LOCAL, self.entry.port
                )
            except OSError:
                self.streams["not connected"] += 1
                await asyncio.sleep(0.3)
                continue
            first = count + 1
            while time.monotonic() < self.ends_at:
                count += 1
                name = f"s{number}-{count}"
                answer = head = None
                try:
                    writer.write(
                        build_request(
                            f"/chat/{name}", name, STREAM_DEADLINE_MS, b"hello"
                        )
                    )
                    await writer.drain()
                    head = await stand_ins.read_head(reader)
                    if head is not None:
                        answer = await stand_ins.read_body(reader, head)
                except ConnectionError:
                    pass
                if answer is not None:
                    self.note(f"stream {name}: answered {answer.words[1]}")
                if answer is not None and answer.words[1] == "200":
                    self.streams["whole"] += 1
                    continue
                if answer is not None:
                    self.streams[answer.words[1]] += 1
                    await asyncio.sleep(0.3)
                    break
                runs = [
                    run.runner
                    for runner in self.fleet.runners.values()
                    for run in runner.runs
                    if run.attempt_id == name
                ]
                ended = "closed without an answer" if head is None else "cut"
                self.streams[ended] += 1
                self.note(f"stream {name} {ended}; it was sent to {runs}")
                is_kept = count > first
                if runs and is_kept and head is None:
                    self.lost.append(name)
                break
            writer.close()

    async def watch_memory(self) -> None:
        """Kills the entry when it exceeds its memory, and starts it again."""
        while time.monotonic() < self.ends_at:
            held = read_resident_bytes(self.entry.process.pid)
            self.peak_bytes = max(self.peak_bytes, held)
            if held > MEMORY_BYTES:
                self.kills += 1
                self.note(f"memory {held / 1e6:.0f} MB: killed")
                self.entry.send_signal(signal.SIGKILL)
                self.entry.process.wait()
                await asyncio.sleep(RESTART_DELAY_S)
                self.entry.start()
                await self.entry.wait_ready()
            await asyncio.sleep(CHECK_S)

    async def start(self) -> None:
        """Starts the runners of the streams and the entry."""
        for number in range(3):
            await self.fleet.add_runner(f"m-{number}", fleet.MODELS, stream)
        await self.fleet.open(
            entries=1, configuration=fleet.build_configuration(1)
        )
        self.ends_at = time.monotonic() + LENGTH_S

    async def judge(self, *others: Coroutine[Any, Any, None]) -> int:
        """Runs other clients beside the streams; returns the exit code."""
        await asyncio.gather(
            self.watch_memory(),
            *others,
            *(self.follow_streams(number) for number in range(STREAMERS)),
        )
        self.note(f"other requests {dict(self.others)}")
        self.note(f"streams {dict(self.streams)}")
        self.note(
            f"killed {self.kills} times, peak"
            f" {self.peak_bytes / 1e6:.0f} MB of {MEMORY_BYTES / 1e6:.0f}"
        )
        self.note(f"streams lost: {len(self.lost)}")
        return BROKEN if len(self.lost) > MAX_LOST else HELD

    async def close(self, folder: pathlib.Path) -> None:
        """Ends all processes, and writes the record."""
        await self.fleet.close()
        for name, runner in sorted(self.fleet.runners.items()):
            ids = " ".join(run.attempt_id for run in runner.runs)
            self.record.append(f"{name} ran {len(runner.runs)}: {ids}")
        text = "\n".join(self.record) + "\n"
        (folder / "record.txt").write_text(text, encoding="utf-8")
        print("\n".join(self.record[-SUMMARY_LINES:]))


def run_case(work: Coroutine[Any, Any, int]) -> int:
    """Runs a case within its time; returns the exit code."""
    try:
        return asyncio.run(asyncio.wait_for(work, RUN_LIMIT_S))
    except (OSError, RuntimeError, TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        return NOT_RUN


def read_resident_bytes(pid: int) -> int:
    """Returns the memory that a process holds; 0 once it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0
