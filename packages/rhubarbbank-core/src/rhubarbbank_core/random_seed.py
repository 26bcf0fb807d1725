"""Choice of the seed of a process's random number generator."""

import random

SEED_BITS = 63


def draw_seed(seed: int) -> int:
    """Returns `seed`, or a random seed from the system if `seed` is 0."""
    return seed or random.SystemRandom().getrandbits(SEED_BITS)
