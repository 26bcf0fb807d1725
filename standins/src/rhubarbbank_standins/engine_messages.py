"""What the model engine reads and answers, as data.

The faults it takes, the requests it reads, the load it reports and the counts
it keeps. The shapes of a streamed answer stand in `engine_chunks`.
"""

import dataclasses

from rhubarbbank_standins import engine_text


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineFaults:
    """Faults of a model engine.

    Attributes:
        crash_on: A request whose messages hold this text crashes the engine
            when it starts to run; empty for none.
        slow_factor: Steps and prefills take this many times as long.
        error_rate: Share of requests answered 500 without having run.
        hang: No stream advances until this is cleared.
        crash_now: Crashes once, at once.
        bad_quality: Quality loss by "model@version"; such an answer begins
            with a marker that the rating service reads.
    """

    crash_on: str = ""
    slow_factor: float = 1.0
    error_rate: float = 0.0
    hang: bool = False
    crash_now: bool = False
    bad_quality: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """What the engine reads of a chat-completions request."""

    model: str
    messages: list[engine_text.MessageFields]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    resume_from: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExportRequest:
    """Whose KV cache to export."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvExport:
    """An exported KV cache; opaque to callers."""

    request_id: str
    model_version: str
    blocks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What `GET /load` reports; `age_s` tells how old it is."""

    running: int
    waiting: int
    max_batch: int
    tokens_per_s: float
    kv_used_fraction: float
    age_s: float


@dataclasses.dataclass(slots=True)
class Counts:
    """What happened to requests."""

    errors: int = 0
    unknown_versions: int = 0
    cancelled: int = 0
    finished: int = 0
    crashes: int = 0
    refused_while_away: int = 0
