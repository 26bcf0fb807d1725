"""Draws the seed of a process's randomness."""

import random

SEED_BITS = 63


def draw_seed(seed: int) -> int:
    """Returns the seed as set, or for 0 one of the system's randomness."""
    return seed or random.SystemRandom().getrandbits(SEED_BITS)
