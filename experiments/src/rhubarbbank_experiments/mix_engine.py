"""A model engine in simulated time: batching, prefill in chunks, prefix cache.

`mix_world` asks for one step after another. In a step the engine reads a
chunk of prompts and generates one token for each stream whose prompt is read;
the step takes as long as both do. Long prompts so delay the tokens of all.
"""

import collections
import dataclasses

from rhubarbbank_experiments import mix_arrivals
from rhubarbbank_experiments import mix_settings
from rhubarbbank_router import callers
from rhubarbbank_router import upstreams

MS_PER_S = 1000.0
RunKey = tuple[int, str, int]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One attempt at an engine.

    Attributes:
        key: Its entry, request and attempt.
        arrival: What chance decided of the request.
        model: Which model answers.
        priority: 0 goes first.
        first_event: Number of the first event to send.
        unread: Tokens still to be read.
        made: Tokens generated, those of events that aren't sent included.
        sent: Number of the last event sent.
    """

    key: RunKey
    arrival: mix_arrivals.Arrival
    model: mix_settings.MixModel
    priority: int
    first_event: int = 1
    unread: int = 0
    made: int = 0
    sent: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the whole answer is generated."""
        return self.made >= self.arrival.answer_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Output:
    """What a run sends at the end of a step: an event, and perhaps its end."""

    run: Run
    event: int
    is_last: bool


class PromptCache:
    """Parts of prompts that are kept, the least recently used yield.

    A part counts only if all before it are kept for the same model.
    """

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self.kept: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def use(self, model: str, prompt: tuple[callers.PromptPart, ...]) -> int:
        """Returns how many tokens are kept, and keeps the whole prompt."""
        found = 0
        whole = True
        chain: tuple[str, ...] = (model,)
        for part in prompt:
            chain = (*chain, part.part_id)
            whole = whole and chain in self.kept
            if whole:
                found += part.tokens
                self.kept.move_to_end(chain)
            else:
                self.put(chain, part.tokens)
        return found

    def put(self, chain: tuple[str, ...], tokens: int) -> None:
        """Keeps one part."""
        self.tokens += tokens - self.kept.pop(chain, 0)
        self.kept[chain] = tokens
        while self.tokens > self.capacity:
            _, dropped = self.kept.popitem(last=False)
            self.tokens -= dropped


class Engine:
    """One engine.

    Attributes:
        settings: Its size and speed.
        slowness: Times its usual step.
        running: In the batch.
        waiting: Before it, in the order of their arrival.
        cache: Prompts that it keeps.
        generated: Tokens generated, by model.
        read: Tokens of prompts of all runs that began, by model.
        found: Of these, tokens that were kept.
    """

    def __init__(self, settings: mix_settings.EngineSettings) -> None:
        self.settings = settings
        self.slowness = 1.0
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.cache = PromptCache(capacity=settings.cache_tokens)
        self.generated: collections.Counter[str] = collections.Counter()
        self.read: collections.Counter[str] = collections.Counter()
        self.found = 0

    @property
    def load(self) -> upstreams.LoadReport:
        """What the heads of its answers tell."""
        return upstreams.LoadReport(
            running=len(self.running),
            waiting=len(self.waiting),
            slots=self.settings.slots,
        )

    @property
    def is_full(self) -> bool:
        """Whether it refuses what comes."""
        return len(self.waiting) >= self.settings.queue

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not (self.running or self.waiting)

    def submit(self, run: Run) -> None:
        """Queues a run."""
        self.waiting.append(run)

    def cancel(self, key: RunKey) -> None:
        """Stops a run."""
        self.running = [x for x in self.running if x.key != key]
        self.waiting = [x for x in self.waiting if x.key != key]

    def crash(self) -> list[Run]:
        """Loses everything; returns the runs that break off."""
        lost = self.running + self.waiting
        self.running = []
        self.waiting = []
        self.cache = PromptCache(capacity=self.settings.cache_tokens)
        return lost

    def begin_step(self) -> float:
        """Admits what waits and returns how long the next step takes."""
        self.admit()
        reading_s = self.read_prompts()
        return (self.generating_s() + reading_s) * self.slowness

    def admit(self) -> None:
        """Fills free slots, the most urgent first."""
        free = self.settings.slots - len(self.running)
        self.waiting.sort(key=lambda each: each.priority)
        for run in self.waiting[:free]:
            facts = run.arrival.generation
            prompt = facts.prompt if facts else ()
            known = self.cache.use(run.model.name, prompt)
            total = sum(each.tokens for each in prompt)
            self.found += known
            self.read[run.model.name] += total
            run.made = (run.first_event - 1) * self.settings.stride
            run.sent = run.first_event - 1
            # What was generated elsewhere is read like a prompt.
            run.unread = total - known + run.made
            self.running.append(run)
        del self.waiting[:free]

    def read_prompts(self) -> float:
        """Reads a chunk of prompts; returns how long that takes."""
        left = self.settings.chunk_tokens
        reading_ms = 0.0
        for run in self.running:
            tokens = min(left, run.unread)
            if not tokens:
                continue
            run.unread -= tokens
            left -= tokens
            reading_ms += (
                tokens * run.model.pace / self.settings.prefill_tokens_per_ms
            )
        return reading_ms / MS_PER_S

    def generating_s(self) -> float:
        """Returns how long one token for each stream takes."""
        paces = [x.model.pace for x in self.running if not x.unread]
        if not paces:
            return 0.0
        step_ms = self.settings.step_ms * max(paces)
        step_ms += self.settings.step_ms_per_stream * sum(paces)
        return step_ms / MS_PER_S

    def end_step(self) -> list[Output]:
        """Generates a token for each stream; returns the events."""
        out: list[Output] = []
        for run in self.running:
            if run.unread:
                continue
            run.made += 1
            self.generated[run.model.name] += 1
            if run.is_done or run.made % self.settings.stride == 0:
                run.sent += 1
                out.append(Output(run, run.sent, run.is_done))
        self.running = [x for x in self.running if not x.is_done]
        return out
