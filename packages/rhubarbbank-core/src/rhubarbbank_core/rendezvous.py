"""Rendezvous (highest random weight) hashing over names.

Processes that know the same names rank them equally for a subject. Adding or
removing a name moves only the subjects for which that name ranks first.
"""

import collections.abc

import xxhash


def compute_weight(subject: str, name: str) -> int:
    """Returns the 64-bit weight of a name for a subject."""
    return xxhash.xxh64_intdigest(f"{subject}\x00{name}".encode())


def rank(subject: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the names by descending weight for the subject."""
    return sorted(
        names,
        key=lambda name: (compute_weight(subject, name), name),
        reverse=True,
    )


def select(subject: str, names: collections.abc.Iterable[str]) -> str | None:
    """Returns the name with the highest weight, or None without names."""
    return max(
        names,
        key=lambda name: (compute_weight(subject, name), name),
        default=None,
    )
