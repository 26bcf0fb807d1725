"""Short marks of names, as entries tell them to each other."""

import xxhash

NameHash = int


def hash_name(name: str) -> NameHash:
    """Returns a mark of 32 bits, the same at every entry."""
    return xxhash.xxh32_intdigest(name.encode())
