"""The naive model: what each request must get, and what has run.

A version answers a prompt with one text, always; a service answers a key
with one body. Whatever a caller gets is compared with these, and whatever an
engine is handed with the table that is in force where it was handed over.
Each token also bears the number of the attempt that made it, as with engines
whose reruns differ: a caller must get no token of an attempt after one of a
later attempt.
"""

import collections
import dataclasses
import json
import re

from rhubarbbank_core import errors
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests
from rhubarbbank_core import table

ORGANISATION = "club"
MODELS = ("kurz@v1", "kurz@v2", "lang@v1")
SERVICE = "booking@v1"
TOKENS = 12
DEADLINE_S = 20.0
MARK = re.compile(r"#(\d+)")
REQUESTS_PER_MINUTE = 60_000


def spell(version: str, prompt: str) -> list[str]:
    """Returns the tokens that a version answers a prompt with."""
    return [f"<{version}:{prompt}:{i}>" for i in range(TOKENS)]


def make_rows(
    states: dict[str, table.VersionState],
    requests_per_minute: int = REQUESTS_PER_MINUTE,
) -> tuple[table.Row, ...]:
    """Returns the table's rows, with versions in these states."""
    rows = []
    for key in (*MODELS, SERVICE):
        model, _, version = key.partition("@")
        rows.append(
            table.Row(
                organisation=ORGANISATION,
                model=model,
                version=version,
                classes=("booking",) if key == SERVICE else ("chat",),
                state=states.get(key, table.VersionState.OFFERED),
                requests_per_minute=requests_per_minute,
                price_per_1k_tokens=100 if model == "lang" else 10,
            )
        )
    return tuple(sorted(rows, key=lambda x: (x.model, x.version)))


def make_stream(call: fx.CallUpstream) -> tuple[str, list[bytes]]:
    """Returns the version that a chat asks for and its answer's events."""
    body = json.loads(call.body)
    version = body["model"]
    tokens = spell(version, body["messages"][0]["content"])
    marked = [f"{token}#{call.attempt}" for token in tokens]
    events = [
        json.dumps({"choices": [{"index": 0, "delta": {"content": token}}]})
        for token in marked[body.get("resume_from", 0) :]
    ]
    last = {
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 1, "completion_tokens": TOKENS},
    }
    return version, [x.encode() for x in (*events, json.dumps(last), "[DONE]")]


def read_contents(written: list[bytes]) -> str:
    """Returns the text in answer events."""
    return "".join(
        choice["delta"].get("content", "")
        for event in written
        for choice in json.loads(event)["choices"]
    )


@dataclasses.dataclass(kw_only=True)
class Asked:
    """One request and what its caller got."""

    request: requests.CallerRequest
    prompt: str
    entry: str
    version: str = ""
    text: str = ""
    body: bytes = b""
    answered: bool = False
    problem: errors.Problem | None = None


class Callers:
    """All requests, and all runs, as the naive model knows them."""

    def __init__(self) -> None:
        self.asked: dict[str, Asked] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.bodies: dict[str, bytes] = {}
        self.versions: dict[str, str] = {}

    def note_run(
        self, call: fx.CallUpstream, version: str, rows: table.Table
    ) -> None:
        """Checks a run against the table in force where it begins."""
        asked = self.asked[call.request_id]
        self.runs[call.request_id] += 1
        row = next(x for x in rows.rows if str(x.key) == version)
        assert row.organisation == asked.request.organisation
        assert row.state is not table.VersionState.WITHDRAWN, version
        if row.state is table.VersionState.DRAINING:
            assert asked.request.session, f"{version} takes no new work"
        if call.idempotency_key and not call.streamed:
            self.runs_by_key[call.idempotency_key] += 1
            assert self.runs_by_key[call.idempotency_key] == 1, (
                f"{call.idempotency_key} ran twice"
            )

    def take(self, effect: fx.Effect) -> None:
        """Takes what a caller gets, and checks it."""
        match effect:
            case fx.StartAnswer(request_id, headers):
                self.asked[request_id].version = headers[1].value
            case fx.WriteEvents(request_id, written):
                self.asked[request_id].text += read_contents(written)
            case fx.EndAnswer(request_id):
                self.end(self.asked[request_id])
            case fx.WholeAnswer(request_id):
                asked = self.asked[request_id]
                asked.body = effect.body
                if asked.request.kind is requests.WorkKind.CHAT:
                    asked.version = effect.headers[1].value
                    message = json.loads(effect.body)["choices"][0]["message"]
                    asked.text = message["content"]
                self.end(asked)
            case fx.RefuseCaller(request_id, problem):
                self.refuse(self.asked[request_id], problem)
            case _:
                pass

    def end(self, asked: Asked) -> None:
        """Checks a whole answer."""
        assert not asked.answered
        assert asked.problem is None
        asked.answered = True
        if asked.request.kind is requests.WorkKind.SERVICE:
            assert asked.body == self.bodies[asked.request.idempotency_key]
            return
        wanted = "".join(spell(asked.version, asked.prompt))
        assert MARK.sub("", asked.text) == wanted, asked.text
        attempts = [int(x) for x in MARK.findall(asked.text)]
        assert attempts == sorted(attempts), asked.text
        session = asked.request.session
        if session:
            known = self.versions.setdefault(session, asked.version)
            assert known == asked.version, f"{session}: {known}"

    def refuse(self, asked: Asked, problem: errors.Problem) -> None:
        """Checks a refusal."""
        assert not asked.answered
        asked.problem = problem
        if problem.run_state is errors.RunState.NOT_RUN:
            assert not self.runs[asked.request.request_id], problem

    def check_bills(self, bills: list[str]) -> None:
        """Checks the ledger's bills, as request ids, against the answers.

        A request that was broken off with its entry may have one bill.
        """
        counts = collections.Counter(bills)
        assert not counts or max(counts.values()) == 1, counts
        unfinished = {
            x.request.request_id
            for x in self.asked.values()
            if not x.answered and x.problem is None
        }
        billed_bookings = set()
        for asked in self.asked.values():
            request = asked.request
            billed = counts[request.request_id]
            if request.kind is requests.WorkKind.SERVICE:
                if billed:
                    assert request.idempotency_key not in billed_bookings
                    billed_bookings.add(request.idempotency_key)
                continue
            if request.request_id not in unfinished:
                assert billed == int(asked.answered), asked
        for asked in self.asked.values():
            request = asked.request
            if asked.answered and request.kind is requests.WorkKind.SERVICE:
                assert request.idempotency_key in billed_bookings, asked
