"""A streaming caller that notes when the first and each later token came."""

import asyncio
from collections.abc import Sequence
import dataclasses
import json

import aiohttp

from rhubarbbank_experiments import report_latency

TEXT_MARK = b'"content"'
DONE_MARK = b"[DONE]"
OK_STATUS = 200
TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Where calls go.

    Attributes:
        url: The whole URL of the chat completions.
        model: What the body names as the model.
        organisations: Who calls, in turn.
    """

    url: str
    model: str
    organisations: Sequence[str]


class Observations:
    """What came of the calls of one target.

    Attributes:
        first_token: From the call to the first token.
        gap: From one token to the next.
        whole: From the call to the end of the answer.
        tokens: Tokens that came.
        failures: Calls without a whole answer, by what came instead.
    """

    def __init__(self) -> None:
        self.first_token = report_latency.Latencies()
        self.gap = report_latency.Latencies()
        self.whole = report_latency.Latencies()
        self.tokens = 0
        self.failures: dict[str, int] = {}

    def note_failure(self, what: str) -> None:
        """Counts a call that failed."""
        self.failures[what] = self.failures.get(what, 0) + 1

    def note_tokens(self, count: int, *, now: float, last: float) -> None:
        """Notes tokens that came together; the later ones waited for none."""
        self.tokens += count
        self.gap.record(now - last)
        for _ in range(count - 1):
            self.gap.record(0.0)


class StreamCaller:
    """Calls one target.

    Attributes:
        target: Where calls go.
        session: The HTTP session; the owner closes it.
        observations: What came of the calls.
    """

    def __init__(
        self, *, target: Target, session: aiohttp.ClientSession
    ) -> None:
        self.target = target
        self.session = session
        self.observations = Observations()
        self.loop = asyncio.get_running_loop()

    async def call(self, number: int, *, max_tokens: int) -> None:
        """Makes one streaming call and notes what came of it."""
        begin = self.loop.time()
        try:
            async with self.session.post(
                self.target.url,
                data=self.build_body(number, max_tokens),
                headers=self.build_headers(number),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                if response.status != OK_STATUS:
                    self.observations.note_failure(str(response.status))
                    return
                await self.read(response, begin)
        except (aiohttp.ClientError, TimeoutError) as error:
            self.observations.note_failure(type(error).__name__)

    def build_body(self, number: int, max_tokens: int) -> bytes:
        """Returns the body of a call."""
        text = f"Plan number {number} for the coming season."
        body = {
            "model": self.target.model,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        return json.dumps(body).encode()

    def build_headers(self, number: int) -> dict[str, str]:
        """Returns the headers of a call."""
        organisations = self.target.organisations
        return {
            "Content-Type": "application/json",
            "X-Organisation": organisations[number % len(organisations)],
        }

    async def read(
        self, response: aiohttp.ClientResponse, begin: float
    ) -> None:
        """Reads a stream to its end."""
        seen = self.observations
        last: float | None = None
        tail = b""
        async for data in response.content.iter_any():
            now = self.loop.time()
            tail = (tail + data)[-len(DONE_MARK) - 4 :]
            count = data.count(TEXT_MARK)
            if not count:
                continue
            if last is None:
                seen.first_token.record(now - begin)
                seen.tokens += 1
                count -= 1
                last = now
            if count:
                seen.note_tokens(count, now=now, last=last)
                last = now
        if DONE_MARK not in tail:
            seen.note_failure("cut")
            return
        seen.whole.record(self.loop.time() - begin)
