"""Makes the calls of a load run and notes how each ended."""

import asyncio
import dataclasses
import json
import random

import aiohttp

from rhubarbbank_experiments import deployment as deployments
from rhubarbbank_experiments import load_settings

CHAT_PATH = "/v1/chat/completions"
CHAT_CLASS = "chat"
OK_STATUS = 200
DONE_MARK = b"[DONE]"
GRACE_S = 5.0
MS_PER_S = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One call: what was offered, and how it ended.

    Attributes:
        phase: Number of its phase.
        at_s: When it was due, from the run's begin.
        request_class: Its class.
        organisation: Who calls.
        session: Its session, or empty.
        first_s: Time to the first byte of the answer; None without one.
        whole_s: Time to the end of a whole answer; None without one.
        failure: The error's code, or what broke; empty after success.
        request_id: As the entry named it; empty without an answer.
    """

    phase: int
    at_s: float
    request_class: str
    organisation: str
    session: str = ""
    first_s: float | None = None
    whole_s: float | None = None
    failure: str = ""
    request_id: str = ""


class LoadCaller:
    """Makes the calls of one run against one deployment.

    Attributes:
        settings: What to offer.
        deployment: The deployment that runs.
        addresses: HTTP addresses of the entries, used in turn.
        session: The HTTP session; the owner closes it.
    """

    def __init__(
        self,
        *,
        settings: load_settings.LoadSettings,
        deployment: deployments.Deployment,
        addresses: list[str],
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.deployment = deployment
        self.addresses = addresses
        self.session = session
        self.loop = asyncio.get_running_loop()
        self.prompts = {x.name: x.prompt for x in deployment.classes}

    async def make(self, number: int, call: Call) -> None:
        """Makes one call and notes how it ended."""
        begin = self.loop.time()
        path, body, headers = self.build(number, call)
        timeout_s = self.settings.deadline_s + GRACE_S
        try:
            async with self.session.post(
                f"http://{self.addresses[number % len(self.addresses)]}{path}",
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                await self.read(response, call, begin)
        except (aiohttp.ClientError, TimeoutError) as error:
            call.failure = type(error).__name__

    def build(
        self, number: int, call: Call
    ) -> tuple[str, bytes, dict[str, str]]:
        """Returns path, body and headers of a call."""
        headers = {
            "Content-Type": "application/json",
            "X-Organisation": call.organisation,
            "X-Request-Class": call.request_class,
            "X-Deadline-Ms": str(round(self.settings.deadline_s * MS_PER_S)),
        }
        prompt = self.prompts[call.request_class]
        if call.request_class == deployments.BOOKING_CLASS:
            headers["Idempotency-Key"] = f"load-{number}"
            service = self.deployment.service.partition("@")[0]
            return f"/services/{service}/load", prompt.encode(), headers
        if call.session:
            headers["X-Session"] = call.session
        content = f"{prompt} ({number})"
        body = {
            "model": "auto",
            "stream": True,
            "messages": [{"role": "user", "content": content}],
        }
        return CHAT_PATH, json.dumps(body).encode(), headers

    async def read(
        self, response: aiohttp.ClientResponse, call: Call, begin: float
    ) -> None:
        """Reads an answer to its end."""
        call.request_id = response.headers.get("X-Request-Id", "")
        if response.status != OK_STATUS:
            call.failure = read_code(await response.read(), response.status)
            return
        whole = b""
        async for data in response.content.iter_any():
            if call.first_s is None:
                call.first_s = self.loop.time() - begin
            whole += data
        streamed = response.content_type == "text/event-stream"
        if streamed and DONE_MARK not in whole:
            last = whole.strip().rpartition(b"\n\n")[2]
            call.failure = read_code(last.removeprefix(b"data: "), 0)
            return
        call.whole_s = self.loop.time() - begin


def read_code(body: bytes, status: int) -> str:
    """Returns the code of an error answer, or its status."""
    try:
        return str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return f"status {status}" if status else "cut"


def plan_calls(
    settings: load_settings.LoadSettings,
    deployment: deployments.Deployment,
    arrivals: list[list[float]],
    *,
    seed: int,
) -> list[Call]:
    """Returns the calls of a run in the order of their arrival.

    Args:
        settings: What to offer.
        deployment: Whose classes and organisations.
        arrivals: The times of each phase, from the run's begin.
        seed: Equal seeds give equal calls.
    """
    rng = random.Random(seed + 1)
    names = [x.name for x in deployment.classes]
    shares = [x.share for x in deployment.classes]
    # Allowances say how large an organisation is.
    organisations = [x.name for x in deployment.organisations]
    sizes = [x.requests_per_minute for x in deployment.organisations]
    calls = []
    for phase, times in enumerate(arrivals):
        for at_s in times:
            call = Call(
                phase=phase,
                at_s=at_s,
                request_class=rng.choices(names, weights=shares)[0],
                organisation=rng.choices(organisations, weights=sizes)[0],
            )
            in_session = rng.random() < settings.session_share
            number = rng.randrange(settings.sessions)
            if call.request_class == CHAT_CLASS and in_session:
                call.session = f"session-{number}"
            calls.append(call)
    return calls
