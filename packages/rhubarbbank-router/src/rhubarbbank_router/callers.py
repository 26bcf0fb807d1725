"""A caller's request, as the ingress hands it to the router."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """One part of a prompt, which other requests may share.

    Attributes:
        part_id: The same wherever the part is the same.
        tokens: Its length.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationFacts:
    """What a request says of the generation that it asks for.

    Attributes:
        model: The model's name; empty where any will do.
        prompt: Parts of the prompt, in order; the last is its own.
        prompt_tokens: Length of the prompt.
        max_output_tokens: Most tokens to generate.
        expected_output_tokens: The caller's estimate; 0 for none.
    """

    model: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0

    @property
    def shared_tokens(self) -> int:
        """Length of the parts that other requests may share."""
        return sum(part.tokens for part in self.prompt[:-1])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """One attempt of a caller.

    Attributes:
        request_id: Unique among this entry's open requests.
        attempt_id: The caller's id of the attempt, passed on as it came.
        method: HTTP method.
        target: Path and query, byte for byte.
        path: The path alone.
        host: The Host header.
        headers: Headers to pass on, without those that the router sets.
        body: The whole body.
        key: The caller's key, or empty.
        wait_s: How long the caller waits; None if it didn't say.
        session: Requests with the same one belong together; may be empty.
        resume_after: Id of the last event that the caller has; may be empty.
        generation: For requests to a model.
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
    wait_s: float | None = None
    session: str = ""
    resume_after: str = ""
    generation: GenerationFacts | None = None

    @property
    def affinity_key(self) -> str:
        """What requests with a common cached prompt have in common."""
        if self.generation and len(self.generation.prompt) > 1:
            return self.generation.prompt[-2].part_id
        return self.session or self.attempt_id
