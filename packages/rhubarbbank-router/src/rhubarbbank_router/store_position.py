"""Positions in the history of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A revision of the store, and the era in which it was given out.

    A store that is restored from a copy gives revisions out again, for other
    changes. The era grows with each restore, so that a later position is
    always greater.
    """

    era: int = 0
    revision: int = 0


START = StorePosition()
