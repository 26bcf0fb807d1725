"""Builds one whole chat completion out of a stream's events.

The entry always asks upstreams for a stream. Callers that want a single
answer, and answers that are rated before they are shown, are put together
here.
"""

import msgspec

DONE_MARK = b"[DONE]"


class Delta(msgspec.Struct, frozen=True):
    """The new part of a message."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of an answer event."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class CompletionUsage(msgspec.Struct, frozen=True):
    """Token counts, as the protocol names them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class ChunkEvent(msgspec.Struct, frozen=True):
    """The fields of an answer event that matter here."""

    choices: list[Choice] = []
    usage: CompletionUsage | None = None


class WholeMessage(msgspec.Struct, frozen=True):
    """The message of a whole completion."""

    role: str
    content: str


class WholeChoice(msgspec.Struct, frozen=True):
    """The single choice of a whole completion."""

    index: int
    message: WholeMessage
    finish_reason: str


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A whole chat completion."""

    id: str
    object: str = "chat.completion"
    created: int
    model: str
    choices: list[WholeChoice]
    usage: CompletionUsage


EVENT_DECODER = msgspec.json.Decoder(ChunkEvent)


def read_text(stream: list[bytes]) -> str:
    """Returns the text of an answer from its events."""
    parts = []
    for event in stream:
        if event != DONE_MARK:
            for choice in EVENT_DECODER.decode(event).choices:
                parts.append(choice.delta.content or "")
    return "".join(parts)


def is_usage_only(event: bytes) -> bool:
    """Returns whether the event only reports token counts."""
    if b'"usage"' not in event:
        return False
    found = EVENT_DECODER.decode(event)
    return found.usage is not None and not found.choices


def assemble(
    stream: list[bytes],
    *,
    request_id: str,
    model: str,
    usage: CompletionUsage,
    created: int,
) -> bytes:
    """Returns the JSON of the whole completion.

    Args:
        stream: All events of the answer, in order.
        request_id: Becomes the completion's id.
        model: As `model@version`.
        usage: Token counts.
        created: Seconds, as the entry counts them.
    """
    finish_reason = "stop"
    for event in stream:
        if event == DONE_MARK:
            continue
        for choice in EVENT_DECODER.decode(event).choices:
            finish_reason = choice.finish_reason or finish_reason
    message = WholeMessage("assistant", read_text(stream))
    return msgspec.json.encode(
        Completion(
            id=f"chatcmpl-{request_id}",
            created=created,
            model=model,
            choices=[WholeChoice(0, message, finish_reason)],
            usage=usage,
        )
    )
