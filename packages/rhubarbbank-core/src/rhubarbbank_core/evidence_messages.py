"""Messages between entries about evidence on versions and holds."""

import msgspec

from rhubarbbank_core import effects


class EvidenceTally(msgspec.Struct, frozen=True, array_like=True):
    """Totals of one version on one entry since the entry started.

    Attributes:
        model: The model's name.
        version: The version's name.
        rated: Answers that were rated.
        rating_sum: Sum of their ratings, each in [0, 1].
        rating_square_sum: Sum of the squares of their ratings.
        requests: Requests that ended.
        errors: Requests that failed.
        slow: Requests whose first token was late.
    """

    model: str
    version: str
    rated: int = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    requests: int = 0
    errors: int = 0
    slow: int = 0


class EvidenceReport(effects.Message, frozen=True, array_like=True, tag="er"):
    """Reports an entry's totals for the versions of a model to its judge.

    The tallies are totals since the entry's start, not increments, so lost,
    late or repeated reports do no harm.

    Attributes:
        entry: The entry's name.
        incarnation: The entry's incarnation.
        tallies: One for each version that the entry has evidence on.
    """

    entry: str
    incarnation: int
    tallies: tuple[EvidenceTally, ...]


class HoldNotice(effects.Message, frozen=True, array_like=True, tag="hn"):
    """Announces a hold that the table may not record, or not yet."""

    model: str
    version: str
