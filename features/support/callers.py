"""Callers that keep a fleet busy and remember every answer."""

import dataclasses
import http.client
import itertools
import threading
import time
from typing import Any

from rhubarbbank_experiments import fleet
from support import fleets

PAUSE_S = 0.02
DONE_MARK = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One request and how it ended.

    Attributes:
        entry: Where it went.
        sent_at: When, in seconds of the monotonic clock.
        answer: The whole answer, or None.
        failure: Why there is none.
        stream: Whether it asked for a stream.
    """

    entry: str
    sent_at: float
    answer: fleets.Answer | None = None
    failure: str = ""
    stream: bool = False

    @property
    def refused_cleanly(self) -> bool:
        """Whether an error says that the request did not run."""
        if self.answer is None or self.answer.status == http.client.OK:
            return False
        return bool(self.answer.error["run_state"] == "not_run")

    @property
    def never_connected(self) -> bool:
        """Whether nothing listened, so that nothing was sent."""
        return self.failure.startswith("ConnectionRefusedError")

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete to its last byte."""
        if self.answer is None or self.answer.status != http.client.OK:
            return False
        if not self.stream:
            return bool(self.answer.json["choices"][0]["message"]["content"])
        if not self.answer.body.endswith(DONE_MARK):
            return False
        return not any("error" in x for x in self.answer.events)


class Traffic:
    """Threads that ask entries again and again.

    Attributes:
        running: The fleet.
        entries: The names of the entries to ask.
        calls: What came of each request.
    """

    def __init__(
        self,
        *,
        running: fleet.Fleet,
        entries: list[str] | None = None,
        callers: int = 2,
        **chat: Any,
    ) -> None:
        self.running = running
        self.entries = entries or [x.name for x in running.find_places("entry")]
        self.chat = chat
        self.calls: list[Call] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.ask_on, args=(name,), daemon=True)
            for name in self.entries
            for _ in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def ask_on(self, name: str) -> None:
        """Asks one entry until it is told to stop."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            self.calls.append(
                ask(self.running, name, f"Court {number}?", **self.chat)
            )
            time.sleep(PAUSE_S)

    def count_answers(self) -> int:
        """Returns how many whole answers have come so far."""
        return sum(call.is_whole for call in list(self.calls))

    def close(self) -> None:
        """Lets every caller finish its last request."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def ask(running: fleet.Fleet, name: str, text: str, **chat: Any) -> Call:
    """Sends one chat to an entry and returns what came of it."""
    sent_at = time.monotonic()
    stream = bool(chat.get("stream", False))
    try:
        answer = fleets.chat(running.places[name].http_address, text, **chat)
    except (OSError, http.client.HTTPException) as error:
        return Call(
            entry=name, sent_at=sent_at, failure=repr(error), stream=stream
        )
    return Call(entry=name, sent_at=sent_at, answer=answer, stream=stream)
