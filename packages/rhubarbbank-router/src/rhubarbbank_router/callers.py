"""Caller requests, as the ingress parses them for the router."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that several requests may have in common.

    Attributes:
        part_id: Identifies the content: equal parts have equal ids.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationParameters:
    """Parameters of a request for text generation.

    Attributes:
        model: Name of the model; empty if the caller accepts any.
        prompt: Parts of the prompt, in order. The last is unique to the
            request.
        unread_part_ids: Ids of the parts that follow an unreadable one, in
            order.
        prompt_tokens: Length of the prompt, in tokens.
        max_output_tokens: Maximum number of tokens to generate.
        expected_output_tokens: The caller's estimate of the output length; 0
            if it gave none.
    """

    model: str = ""
    prompt: tuple[PromptPart, ...] = ()
    unread_part_ids: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """Length in tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.prompt[:-1])

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        read = tuple(part.part_id for part in self.prompt)
        return (*read, *self.unread_part_ids)[:-1]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """An HTTP request of a caller.

    A caller that retries sends a new request with an attempt id of its own.

    Attributes:
        request_id: Unique among this entry's open requests.
        attempt_id: The caller's id of this attempt, forwarded unchanged.
        method: HTTP method.
        target: Request target (path and query), exactly as received.
        path: Path of the target, without the query.
        host: Value of the Host header.
        headers: Headers to forward, without those that the router sets.
        body: The complete body.
        key: The caller's API key; empty if it sent none.
        timeout_s: The caller's timeout, in seconds; None if it gave none.
        session: Groups the requests of a session; empty for none.
        resume_after: Id of the last stream event that the caller received;
            empty to start at the beginning.
        generation: Generation parameters; None for other requests.
    """

    request_id: str
    attempt_id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    key: str = ""
    timeout_s: float | None = None
    session: str = ""
    resume_after: str = ""
    generation: GenerationParameters | None = None

    @property
    def size_bytes(self) -> int:
        """Size of the target, the headers and the body, in bytes."""
        head = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + head + len(self.body)

    @property
    def affinity_key(self) -> str:
        """Equal for requests that can use each other's prefix cache."""
        if self.generation and len(self.generation.prompt) > 1:
            return self.generation.prompt[-2].part_id
        return self.session or self.attempt_id
