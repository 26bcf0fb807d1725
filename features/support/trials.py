"""How often, and with which randomness, generated cases are tried."""

import hypothesis


def repeat(examples: int) -> hypothesis.settings:
    """Returns settings that try the same cases in every run."""
    return hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=examples
    )
