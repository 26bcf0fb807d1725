"""Short marks of names, as entries tell them to each other."""

import xxhash

Mark = int


def mark(name: str) -> Mark:
    """Returns a mark of 32 bits, the same at every entry."""
    return xxhash.xxh32_intdigest(name.encode())
