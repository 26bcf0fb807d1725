"""What the caller gets: headers, events and the end of an answer."""

from rhubarbbank_core import chat_assembly
from rhubarbbank_core import open_requests
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import requests


def is_for_caller(opened: open_requests.OpenRequest, event: bytes) -> bool:
    """Returns whether the caller gets the event.

    The end marker is left out here, since the answer ends only when its
    billing record is safe. The usage event goes to those who asked for it.
    """
    if event == chat_assembly.DONE_MARK:
        return False
    if opened.request.include_usage:
        return True
    return not chat_assembly.is_usage_only(event)


def start_answer(opened: open_requests.OpenRequest) -> fx.StartAnswer:
    """Returns the effect that begins the caller's stream."""
    return fx.StartAnswer(opened.request.request_id, build_headers(opened))


def name_request(opened: open_requests.OpenRequest) -> fx.AnswerHeader:
    """Returns the header that names the request, which every answer has."""
    return fx.AnswerHeader("X-Request-Id", opened.request.request_id)


def build_headers(
    opened: open_requests.OpenRequest,
) -> tuple[fx.AnswerHeader, ...]:
    """Returns the headers that tell the caller what served it."""
    return (
        name_request(opened),
        fx.AnswerHeader("X-Model-Version", str(opened.row.key)),
    )


def end_answer(
    opened: open_requests.OpenRequest, *, now: float
) -> list[fx.Effect]:
    """Returns the end of the caller's answer."""
    request = opened.request
    if opened.streams_through:
        begin = [] if opened.started else [start_answer(opened)]
        return [*begin, fx.EndAnswer(request.request_id)]
    if request.kind is requests.WorkKind.SERVICE:
        return [
            fx.WholeAnswer(
                request.request_id,
                opened.service_status,
                opened.content_type,
                b"".join(opened.answer),
                build_headers(opened),
            )
        ]
    if request.stream:
        wanted = [x for x in opened.answer if is_for_caller(opened, x)]
        return [
            start_answer(opened),
            fx.WriteEvents(request.request_id, wanted),
            fx.EndAnswer(request.request_id),
        ]
    return [
        fx.WholeAnswer(
            request.request_id,
            200,
            "application/json",
            assemble(opened, now=now),
            build_headers(opened),
        )
    ]


def assemble(opened: open_requests.OpenRequest, *, now: float) -> bytes:
    """Returns the whole chat completion of a request."""
    usage = chat_assembly.CompletionUsage(
        opened.prompt_tokens,
        opened.completion_tokens,
        opened.prompt_tokens + opened.completion_tokens,
    )
    return chat_assembly.assemble(
        opened.answer,
        request_id=opened.request.request_id,
        model=str(opened.row.key),
        usage=usage,
        created=int(now),
    )
