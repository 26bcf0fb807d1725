"""Stand-in of the users' runners, by their published protocol.

Speaks HTTP over a plain socket, so that it can misbehave in any way: shed,
fail, cut, garble, answer early, hang. Notes every request that it runs.
"""

import asyncio
import contextlib
import dataclasses
import enum
import socket
import struct
import zlib

LOCAL = "127.0.0.1"
EVENT_PERIOD_S = 0.01
HANG_S = 3600.0
FULL_CONFIDENCE = 90
LOW_CONFIDENCE = 20
# A prompt whose path holds this is too hard for the smallest model.
HARD = "hard"
LINGER_RESET = struct.pack("ii", 1, 0)


# Seconds, as the header has them.
CLOSED_S = "1.5"


class Misdeed(enum.StrEnum):
    """What a runner does wrong with the next requests.

    SHED: refuses as not run. ANOTHER: is another runner. FAIL: runs and
    answers 500. DENY: runs and answers 503, without the header that says that
    it hasn't run. CUT: runs and closes before the answer. CUT_MIDWAY: closes
    in the middle of the answer. RESET_UNFRAMED: sends part of an answer without
    length and resets. UNFRAMED: sends a whole answer without length. EXTRA:
    sends a second answer after the first. FOREIGN: answers with another id.
    EARLY: answers before it has read the body. HANG: never answers. STALL:
    stops in the middle of a stream. LEAVE: answers well, and says that it
    shuts down. CLOSE: refuses, and wants nothing for CLOSED_S.
    """

    NONE = "none"
    SHED = "shed"
    ANOTHER = "another"
    FAIL = "fail"
    DENY = "deny"
    CUT = "cut"
    CUT_MIDWAY = "cut_midway"
    RESET_UNFRAMED = "reset_unframed"
    UNFRAMED = "unframed"
    EXTRA = "extra"
    FOREIGN = "foreign"
    EARLY = "early"
    HANG = "hang"
    STALL = "stall"
    LEAVE = "leave"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a runner began to work on."""

    runner: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """The caller's id of its attempt."""
        return self.headers.get("x-attempt-id", "")


class PlatformRunner:
    """One runner.

    Attributes:
        name: Its id.
        streams: Whether it answers with streams.
        events: Events of a stream.
        runs: What it ran.
        misdeeds: What it does wrong, one a request; then nothing.
        misdeed: What it does wrong with every request.
        port: Where it listens.
        working: Requests under way.
        limit: The requests a second that it names in its answers, as text; no
            limit if it is empty.
    """

    def __init__(self, *, name: str, streams: bool, events: int = 6) -> None:
        self.name = name
        self.streams = streams
        self.events = events
        self.runs: list[Run] = []
        self.misdeeds: list[Misdeed] = []
        self.misdeed = Misdeed.NONE
        self.port = 0
        self.working = 0
        self.limit = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether another may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        found = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        misdeed = self.misdeeds.pop(0) if self.misdeeds else self.misdeed
        expected = found.get("x-expect-instance", self.name)
        if misdeed is Misdeed.ANOTHER or expected != self.name:
            writer.write(build_head(421, {"X-Instance-Id": "i-other"}, 0))
            return True
        if misdeed is Misdeed.CLOSE:
            wish = {"X-Not-Executed": "1", "Retry-After": CLOSED_S}
            writer.write(build_head(503, wish, 0))
            return True
        if misdeed is Misdeed.SHED:
            writer.write(build_head(503, {"X-Not-Executed": "1"}, 0))
            return True
        if misdeed is Misdeed.EARLY:
            # Rejects a long request before it is in.
            writer.write(build_head(400, {"X-Not-Executed": "1"}, 0))
            return True
        body = await read_body(reader, found)
        run = Run(self.name, method, target, found, body)
        self.runs.append(run)
        self.working += 1
        try:
            return await self.answer(run, misdeed, reader, writer)
        finally:
            self.working -= 1

    async def answer(
        self,
        run: Run,
        misdeed: Misdeed,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request that runs."""
        if misdeed is Misdeed.HANG:
            await wait_closed(reader)
            return False
        if misdeed is Misdeed.CUT:
            return False
        head = {
            "X-Attempt-Id": run.attempt_id,
            "X-Response-Stamp": f"stamp.{self.name}",
            "X-Server-Load": f"{self.working},0,8",
            "X-Weight-Versions": "1",
        }
        if self.limit:
            head["Server-Limit"] = self.limit
        if misdeed is Misdeed.LEAVE:
            head["Server-Leaving"] = "1"
        if misdeed is Misdeed.FOREIGN:
            head["X-Attempt-Id"] = "somebody-else"
        if misdeed is Misdeed.FAIL:
            writer.write(build_head(500, head, 6) + b"failed")
            return True
        if misdeed is Misdeed.DENY:
            writer.write(build_head(503, head, 6) + b"failed")
            return True
        if self.streams:
            return await self.stream(run, misdeed, head, reader, writer)
        return self.send_plain(run, misdeed, head, writer)

    def send_plain(
        self,
        run: Run,
        misdeed: Misdeed,
        head: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a plain answer: a digest of what was asked."""
        body = build_body(run)
        match misdeed:
            case Misdeed.CUT_MIDWAY:
                writer.write(build_head(200, head, len(body)) + body[:5])
                return False
            case Misdeed.UNFRAMED:
                writer.write(build_head(200, head, None) + body)
                return False
            case Misdeed.RESET_UNFRAMED:
                writer.write(build_head(200, head, None) + body[:5])
                reset(writer)
                return False
            case Misdeed.EXTRA:
                answer = build_head(200, head, len(body)) + body
                writer.write(answer + answer)
                return True
            case _:
                writer.write(build_head(200, head, len(body)) + body)
                return True

    async def stream(
        self,
        run: Run,
        misdeed: Misdeed,
        head: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends a stream of events, from after the one that is named."""
        model = run.headers.get("x-model", "")
        unsure = HARD in run.target and model == "small"
        head["X-Confidence"] = str(
            LOW_CONFIDENCE if unsure else FULL_CONFIDENCE
        )
        head["Content-Type"] = "text/event-stream"
        writer.write(build_head(200, head, chunked=True))
        first = int(run.headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, self.events + 1):
            middle = number == self.events // 2 + 1
            if middle and misdeed is Misdeed.CUT_MIDWAY:
                writer.write(b"9\r\nid: 99\nda\r\n")
                return False
            if middle and misdeed is Misdeed.STALL:
                await wait_closed(reader)
                return False
            data = f"id: {number}\ndata: {model} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await asyncio.sleep(EVENT_PERIOD_S)
            if writer.is_closing() or reader.at_eof():
                return False
        writer.write(b"0\r\n\r\n")
        return True


def build_body(run: Run) -> bytes:
    """Returns the answer to a plain request: what the runner was asked."""
    digest = zlib.crc32(run.body)
    return f"{run.method} {run.target} {len(run.body)} {digest}".encode()


def build_head(
    status: int,
    headers: dict[str, str],
    length: int | None = None,
    *,
    chunked: bool = False,
) -> bytes:
    """Returns the head of an answer; without a length it ends unframed."""
    lines = [f"HTTP/1.1 {status} Reason"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Reads a body, by length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Waits until the other side closes the connection."""
    async with asyncio.timeout(HANG_S):
        while not reader.at_eof():
            await reader.read(1)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets the connection once what was written is on its way."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
