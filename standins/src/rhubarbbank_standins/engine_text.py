"""The model engine's answers, made without a model.

An answer's tokens depend only on "model@version", the messages and the
token's index, so that any engine can go on with a stream that another one
began. The answer's length depends on the same and on the model's mean. The
prompt is hashed in a chain of 64-character blocks, which is what the prefix
cache works on: two prompts share their leading blocks exactly as far as their
texts agree.
"""

from collections.abc import Sequence
import dataclasses
import hashlib
import random
import zlib

import msgspec

BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_CHARS // CHARS_PER_TOKEN
TOKEN_BYTES = 6
WORD_COUNT = 4096
SHORTEST_SHARE_OF_MEAN = 0.5

MessageFields = dict[str, object]


def make_words() -> tuple[bytes, ...]:
    """Returns the vocabulary: words of one width, each with a space."""
    letters = random.Random(0)
    alphabet = "abcdefghijklmnopqrstuvwxyz"
    return tuple(
        (" " + "".join(letters.choices(alphabet, k=TOKEN_BYTES - 1))).encode()
        for _ in range(WORD_COUNT)
    )


WORDS = make_words()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """One request's whole answer, token by token.

    Attributes:
        seed: What its tokens are drawn from.
        total: How many tokens it has.
        finish_reason: "stop", or "length" if the caller's limit cut it.
        first_text: Stands in place of token 0, if not empty.
    """

    seed: int
    total: int
    finish_reason: str
    first_text: bytes = b""

    def get_token(self, index: int) -> bytes:
        """Returns the text of the token at an index, from 0."""
        if index == 0 and self.first_text:
            return self.first_text
        drawn = zlib.crc32(index.to_bytes(4, "big"), self.seed)
        return WORDS[drawn % WORD_COUNT]

    def get_text(self, start: int) -> str:
        """Returns the text from a token on."""
        tokens = [self.get_token(i) for i in range(start, self.total)]
        return b"".join(tokens).decode()


def render_message(role: str, content: object) -> str:
    """Returns one message as it stands in the prompt."""
    if not isinstance(content, str):
        content = msgspec.json.encode(content, order="sorted").decode()
    return f"{role}: {content}\n"


def render_prompt(messages: Sequence[MessageFields]) -> str:
    """Returns the prompt that a list of messages makes."""
    return "".join(
        render_message(str(message.get("role")), message.get("content"))
        for message in messages
    )


def make_answer(
    *,
    model_version: str,
    prompt: str,
    mean_tokens: float,
    max_tokens: int | None,
    first_text: bytes = b"",
) -> Answer:
    """Returns the answer of a version to a prompt."""
    digest = hashlib.blake2b(
        f"{model_version}\n{prompt}".encode(), digest_size=8
    ).digest()
    seed = int.from_bytes(digest[:4], "big")
    length_share = int.from_bytes(digest[4:], "big") / 2**32
    natural = int(mean_tokens * (SHORTEST_SHARE_OF_MEAN + length_share))
    natural = max(1, natural)
    total = natural if max_tokens is None else min(natural, max_tokens)
    return Answer(
        seed=seed,
        total=total,
        finish_reason="stop" if total == natural else "length",
        first_text=first_text,
    )


def count_prompt_tokens(prompt: str) -> int:
    """Returns how many tokens a prompt has, at least 1."""
    return max(1, len(prompt) // CHARS_PER_TOKEN)


def hash_blocks(model_version: str, text: str) -> tuple[str, ...]:
    """Returns the hashes of a text's full leading blocks, in order.

    Each hash covers the version and all text up to its block's end.
    """
    hashes: list[str] = []
    previous = model_version
    full_chars = len(text) - len(text) % BLOCK_CHARS
    for start in range(0, full_chars, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS]
        digest = hashlib.blake2b(f"{previous}\n{block}".encode(), digest_size=8)
        previous = digest.hexdigest()
        hashes.append(previous)
    return tuple(hashes)
