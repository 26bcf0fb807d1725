"""Messages that carry the table between processes."""

from rhubarbbank_core import effects


class TableNews(effects.Message, frozen=True, array_like=True, tag="tn"):
    """Says at once that the sender has adopted a revision."""

    name: str
    address: str
    revision: int
    digest: int


class TablePull(effects.Message, frozen=True, array_like=True, tag="tl"):
    """Asks for the table, if the receiver's revision is higher."""

    name: str
    address: str
    revision: int


class TablePush(effects.Message, frozen=True, array_like=True, tag="tp"):
    """Carries the whole table in its stored form."""

    name: str
    raw: bytes
