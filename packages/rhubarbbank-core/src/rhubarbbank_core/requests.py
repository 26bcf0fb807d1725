"""What a caller asks for, after the HTTP shell has taken it off the wire.

`parse_headers` and `parse_chat` turn untrusted input into a `CallerRequest`
or a `Problem`; the entry reducer only ever sees the checked form.
"""

import enum
from typing import Any

import msgspec

from rhubarbbank_core import crash_suspects
from rhubarbbank_core import defaults
from rhubarbbank_core import errors

ANY_MODEL = "auto"
DEFAULT_CLASS = "chat"
MAX_DIGITS = 9
FINGERPRINT_DIGITS = 16


class WorkKind(enum.StrEnum):
    """Whether a model engine or a plain service does the work."""

    CHAT = "chat"
    SERVICE = "service"


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One checked request.

    Attributes:
        request_id: Unique; made by the entry's shell.
        kind: Who does the work.
        organisation: The customer that is billed.
        session: The conversation, or empty.
        request_class: Such as `tag`, `chat`, `plan` or `booking`.
        priority: 0 is served first, 9 last; None takes the table's.
        deadline_s: Seconds from arrival until the answer is worthless.
        idempotency_key: The caller's key, or empty.
        idempotent: Whether running the work twice does no harm.
        model: A model, a `model@version`, a service, or `auto`.
        method: HTTP method, for services.
        path: Path below the service, for services.
        body: The caller's body, JSON for chats.
        stream: Whether the caller wants server-sent events.
        include_usage: Whether the caller wants the usage event.
        fingerprint: Hash of organisation and body, to know repeats by.
    """

    request_id: str
    kind: WorkKind
    organisation: str
    session: str = ""
    request_class: str = DEFAULT_CLASS
    priority: int | None = None
    deadline_s: float = defaults.DEADLINE_S
    idempotency_key: str = ""
    idempotent: bool = True
    model: str = ANY_MODEL
    method: str = "POST"
    path: str = ""
    body: bytes = b""
    stream: bool = False
    include_usage: bool = False
    fingerprint: int = 0


class CallerHeaders(msgspec.Struct, frozen=True, kw_only=True):
    """The headers that steer a request, as text; empty means absent."""

    organisation: str = ""
    session: str = ""
    request_class: str = ""
    priority: str = ""
    deadline_ms: str = ""
    idempotency_key: str = ""


class StreamOptions(msgspec.Struct, frozen=True):
    """The part of `stream_options` that matters here."""

    include_usage: bool = False


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat; the content's inner form is the engine's."""

    role: str
    content: Any = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a chat completion that the router reads."""

    messages: list[ChatMessage]
    model: str = ANY_MODEL
    stream: bool = False
    stream_options: StreamOptions | None = None


def refuse(detail: str) -> errors.Problem:
    """Returns the problem of a malformed request."""
    return errors.Problem(code=errors.ErrorCode.BAD_REQUEST, detail=detail)


def parse_whole(
    text: str, *, name: str, least: int, most: int
) -> int | errors.Problem:
    """Returns the header's whole number, or a problem that names it."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return refuse(f"{name} must be a whole number, got {text[:40]!r}.")
    number = int(text)
    if not least <= number <= most:
        return refuse(f"{name} must lie in {least}..{most}, got {number}.")
    return number


def check_headers(headers: CallerHeaders) -> errors.Problem | None:
    """Returns a problem when a name is missing or too long."""
    if not headers.organisation:
        return refuse("Header X-Organisation is missing.")
    names = (
        headers.organisation,
        headers.session,
        headers.request_class,
        headers.idempotency_key,
    )
    if max(map(len, names)) > defaults.MAX_NAME_CHARS:
        return refuse(
            f"A header is longer than {defaults.MAX_NAME_CHARS} characters."
        )
    return None


def parse_request(
    *,
    request_id: str,
    kind: WorkKind,
    headers: CallerHeaders,
    service: str = "",
    method: str = "POST",
    path: str = "",
    body: bytes = b"",
) -> CallerRequest | errors.Problem:
    """Returns the checked request, or the first problem found in it."""
    problem = check_headers(headers)
    if problem is not None:
        return problem
    deadline_ms = parse_whole(
        headers.deadline_ms or str(int(defaults.DEADLINE_S * 1000)),
        name="X-Deadline-Ms",
        least=1,
        most=int(defaults.MAX_DEADLINE_S * 1000),
    )
    if isinstance(deadline_ms, errors.Problem):
        return deadline_ms
    priority = parse_whole(
        headers.priority or "0", name="X-Priority", least=0, most=9
    )
    if isinstance(priority, errors.Problem):
        return priority
    chat: ChatBody | None = None
    if kind is WorkKind.CHAT:
        try:
            chat = msgspec.json.decode(body, type=ChatBody)
        except msgspec.MsgspecError as error:
            return refuse(f"The body is not a chat completion: {error}.")
        if not chat.messages:
            return refuse("The body's messages are empty.")
    idempotent = kind is WorkKind.CHAT or method in {"GET", "HEAD"}
    if not idempotent and not headers.idempotency_key:
        return refuse(
            "A call that may not be repeated needs an Idempotency-Key header."
        )
    options = chat.stream_options if chat else None
    return CallerRequest(
        request_id=request_id,
        kind=kind,
        organisation=headers.organisation,
        session=headers.session,
        request_class=headers.request_class or DEFAULT_CLASS,
        priority=priority if headers.priority else None,
        deadline_s=deadline_ms / 1000,
        idempotency_key=headers.idempotency_key,
        idempotent=idempotent,
        model=chat.model if chat else service,
        method=method,
        path=path,
        body=body,
        stream=chat.stream if chat else False,
        include_usage=bool(options and options.include_usage),
        fingerprint=compute_fingerprint(headers.organisation, body),
    )


def compute_fingerprint(organisation: str, body: bytes) -> int:
    """Returns 64 bits that repeats of a request have in common."""
    digits = crash_suspects.fingerprint(organisation=organisation, body=body)
    return int(digits[:FINGERPRINT_DIGITS], 16)


def build_engine_body(
    request: CallerRequest, *, model_version: str, resume_from: int
) -> bytes:
    """Returns the chat body for the engine: one version, always streamed."""
    if request.kind is WorkKind.SERVICE:
        return request.body
    fields = msgspec.json.decode(request.body, type=dict[str, msgspec.Raw])
    fields["model"] = msgspec.Raw(msgspec.json.encode(model_version))
    fields["stream"] = msgspec.Raw(b"true")
    fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    if resume_from:
        fields["resume_from"] = msgspec.Raw(str(resume_from).encode())
    return msgspec.json.encode(fields)
