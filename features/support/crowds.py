"""Crowds of callers that misbehave, against one entry process.

Each member of a crowd has a connection of its own, sends what its conduct
yields, and then stays connected until the crowd ends.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import threading
import time

from rhubarbbank_experiments import platform_fleet
from support import platform_callers

BODY_BYTES = 4_000_000
PIECE_BYTES = 2_000
BYTES_MARGIN = 10
PAUSE_S = 0.5
POLL_S = 0.02
CONNECT_TIMEOUT_S = 5.0
MB = 1_000_000

Conduct = Callable[[str], AsyncIterator[bytes]]


def build_head(target: str, *lines: str) -> bytes:
    return platform_callers.build_request(
        target, lines=lines or ("Content-Length: 0",)
    )


async def send_at_once(target):
    yield build_head(target, f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - BYTES_MARGIN)


async def send_pieces(target):
    yield build_head(target, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES


async def send_byte_chunks(target):
    yield build_head(target, "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"1\r\nx\r\n" * PIECE_BYTES


async def send_too_long(target):
    yield build_head(target, f"Content-Length: {100 * BODY_BYTES}")
    while True:
        yield b"x" * PIECE_BYTES * 10


async def send_endless_chunks(target):
    yield build_head(target, "Transfer-Encoding: chunked")
    while True:
        yield b"4e20\r\n" + b"x" * 20_000 + b"\r\n"


async def send_chunk_extensions(target):
    yield build_head(target, "Transfer-Encoding: chunked")
    yield b"1"
    while True:
        yield b";a=b" * PIECE_BYTES


async def send_trailers(target):
    yield build_head(target, "Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n0\r\n"
    while True:
        yield b"a: b\r\n" * PIECE_BYTES


async def send_endless_fields(target):
    yield build_head(target)[:-2]
    while True:
        yield b"a: b\r\n" * PIECE_BYTES


async def send_one_long_field(target):
    yield build_head(target)[:-2] + b"A: "
    while True:
        yield b"x" * PIECE_BYTES * 10


def repeat(*lines: str, query: str = "", stop_short: bool = True) -> Conduct:
    """Returns the conduct of sending a request over and over."""

    async def send(target):
        head = build_head(target + query, *lines, "Content-Length: 4")
        yield head + b"123"
        while True:
            yield b"4" + head + b"123"

    async def send_ahead(target):
        while True:
            yield build_head(target + query, *lines, "Content-Length: 0") * 50

    return send if stop_short else send_ahead


def stop_after(size: int) -> Conduct:
    """Returns the conduct of stopping within the head, then sending slowly."""

    async def send(target):
        yield build_head(target)[:size]
        while True:
            await asyncio.sleep(PAUSE_S)
            yield b"x"

    return send


async def send_slow_body(target):
    yield build_head(target, f"Content-Length: {BODY_BYTES}")
    while True:
        await asyncio.sleep(PAUSE_S)
        yield b"x"


async def send_once(target):
    lines = ("X-Model: *", "X-Token-Usage: 1000,50", "X-Prompt-Prefix: aa:1000")
    yield build_head(target, *lines, "Content-Length: 0")


CONDUCTS = {
    "bodies in one piece": send_at_once,
    "bodies in small pieces": send_pieces,
    "bodies in chunks of a byte": send_byte_chunks,
    "bodies over the limit": send_too_long,
    "chunks without end": send_endless_chunks,
    "chunk extensions": send_chunk_extensions,
    "trailers": send_trailers,
    "header fields without end": send_endless_fields,
    "one endless field": send_one_long_field,
    "header fields": repeat(*(f"a{n}: b" for n in range(100))),
    "query fields": repeat(query="?" + "a=b&" * 2_000),
    "cookies": repeat("Cookie: " + "a=b; " * 1_600),
    "connection tokens": repeat("Connection: " + "a," * 4_000),
    "prompt parts": repeat(
        "X-Model: *",
        "X-Token-Usage: 8000,5",
        "X-Prompt-Prefix: " + ",".join(f"p{n}:1" for n in range(1_000)),
    ),
    "requests sent ahead": repeat(stop_short=False),
    "part of a request line": stop_after(8),
    "part of a header": stop_after(60),
    "part of a body": send_slow_body,
    "requests, and read nothing": send_once,
}


@dataclasses.dataclass(slots=True)
class Usage:
    """The most that a process has used.

    Attributes:
        memory_bytes: Resident memory.
        descriptors: Open descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self, pid: int) -> None:
        folder = pathlib.Path(f"/proc/{pid}")
        for line in (folder / "status").read_text().splitlines():
            if line.startswith("VmHWM"):
                self.memory_bytes = int(line.split()[1]) * 1024
        count = sum(1 for _ in (folder / "fd").iterdir())
        self.descriptors = max(self.descriptors, count)


class Crowd:
    """Callers that share a conduct, in a thread of their own.

    Attributes:
        conduct: Yields what each of them sends.
        target: The path that they request.
        port: The port that they connect to.
        size: How many they are.
        open_count: How many have connected or failed to.
    """

    def __init__(
        self, *, conduct: Conduct, target: str, port: int, size: int
    ) -> None:
        self.conduct = conduct
        self.target = target
        self.port = port
        self.size = size
        self.open_count = 0
        self.loop = asyncio.new_event_loop()
        self.ended = asyncio.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.loop.call_soon_threadsafe(self.ended.set)
        self.thread.join()

    def run(self):
        self.loop.run_until_complete(self.gather())
        self.loop.close()

    async def gather(self):
        # All connect first, so that the busy ones keep none of them away.
        writers = await asyncio.gather(
            *(self.connect() for _ in range(self.size))
        )
        members = [
            asyncio.create_task(self.misbehave(writer))
            for writer in writers
            if writer is not None
        ]
        await self.ended.wait()
        for member in members:
            member.cancel()
        await asyncio.gather(*members, return_exceptions=True)

    async def connect(self):
        try:
            # The limit keeps each member from reading its answers.
            _, writer = await asyncio.open_connection(
                platform_fleet.LOCAL, self.port, limit=1
            )
        except OSError:
            return None
        finally:
            self.open_count += 1
        return writer

    async def misbehave(self, writer):
        try:
            with contextlib.suppress(OSError):
                async with contextlib.aclosing(
                    self.conduct(self.target)
                ) as pieces:
                    async for piece in pieces:
                        writer.write(piece)
                        await writer.drain()
            await self.ended.wait()
        finally:
            writer.transport.abort()

    def watch(self, process, usage: Usage, *, duration_s: float) -> None:
        """Samples a process while the crowd misbehaves."""
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            assert process.poll() is None, process.returncode
            usage.sample(process.pid)
            time.sleep(POLL_S)
