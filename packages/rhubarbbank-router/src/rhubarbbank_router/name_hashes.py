"""Short hashes of names, which stand for the names in messages to entries."""

import xxhash

NameHash = int


def hash_name(name: str) -> NameHash:
    """Returns a 32-bit hash of a name, the same at every entry."""
    return xxhash.xxh32_intdigest(name.encode())
