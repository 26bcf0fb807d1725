"""Names what several requests that crash upstreams may have in common.

A *trait* is a property by which a crash can be attributed to its cause. Every
request has a fingerprint, which is the same each time its caller sends it, and
a trait for each part of its prompt that other requests may share.
"""

import xxhash

from rhubarbbank_router import callers

PART_PREFIX = "part:"
# Longer part ids are hashed, because callers choose them.
MAX_PART_ID_LENGTH = 32


def list_traits(
    request: callers.IncomingRequest, *, organisation: str
) -> tuple[str, ...]:
    """Returns a request's traits, its fingerprint first.

    Args:
        request: The request.
        organisation: Its organisation.
    """
    parts = request.generation.shared_part_ids if request.generation else ()
    return (
        compute_fingerprint(request, organisation=organisation),
        *(name_part(part_id) for part_id in dict.fromkeys(parts)),
    )


def compute_fingerprint(
    request: callers.IncomingRequest, *, organisation: str
) -> str:
    """Returns a hash that is the same each time a caller sends a request.

    Args:
        request: The request.
        organisation: Its organisation, which may have several API keys.
    """
    digest = xxhash.xxh64()
    for part in (organisation, request.method, request.target):
        digest.update(part.encode())
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()


def name_part(part_id: str) -> str:
    """Returns the trait of the requests whose prompts hold a part."""
    if len(part_id) > MAX_PART_ID_LENGTH:
        part_id = xxhash.xxh64_hexdigest(part_id.encode())
    return PART_PREFIX + part_id
