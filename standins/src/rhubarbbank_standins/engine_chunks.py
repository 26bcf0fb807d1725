"""The shapes of the model engine's answers in the chat-completions API.

A token's chunk is made from a byte template, which is built once a request;
the last chunk carries the finish reason and the usage.
"""

import msgspec

from rhubarbbank_standins import engine_batch
from rhubarbbank_standins import engine_text

# A character that JSON leaves as it is and that no name holds.
TEXT_MARK = "\u2063"


def make_completion(
    stream: engine_batch.Stream, resume_from: int
) -> dict[str, object]:
    """Returns a whole completion, from a token on."""
    message = {
        "role": "assistant",
        "content": stream.answer.get_text(resume_from),
    }
    choice = {
        "index": 0,
        "message": message,
        "finish_reason": stream.answer.finish_reason,
    }
    return {
        "id": stream.request_id,
        "object": "chat.completion",
        "created": 0,
        "model": stream.model_version,
        "choices": [choice],
        "usage": make_usage(stream),
    }


def make_usage(stream: engine_batch.Stream) -> dict[str, object]:
    """Returns the usage of a finished answer, tokens from the first on."""
    prompt_tokens = engine_text.count_prompt_tokens(stream.prompt)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": stream.answer.total,
        "total_tokens": prompt_tokens + stream.answer.total,
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }


def make_chunk(
    request_id: str, model_version: str, choice: object, usage: object = None
) -> bytes:
    """Returns one server-sent event of a streamed completion."""
    chunk: dict[str, object] = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model_version,
        "choices": [choice],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def make_chunk_template(
    request_id: str, model_version: str
) -> tuple[bytes, bytes]:
    """Returns what stands before and after a token's text in its event."""
    choice = {
        "index": 0,
        "delta": {"content": TEXT_MARK},
        "finish_reason": None,
    }
    event = make_chunk(request_id, model_version, choice)
    head, _, tail = event.rpartition(TEXT_MARK.encode())
    return head, tail


def make_last_chunk(stream: engine_batch.Stream) -> bytes:
    """Returns the event with the finish reason and the usage."""
    choice = {
        "index": 0,
        "delta": {},
        "finish_reason": stream.answer.finish_reason,
    }
    return make_chunk(
        stream.request_id, stream.model_version, choice, make_usage(stream)
    )
