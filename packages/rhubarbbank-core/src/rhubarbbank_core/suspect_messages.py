"""Messages between entries about requests that crash their upstreams."""

import enum

from rhubarbbank_core import effects


class SuspicionLevel(enum.IntEnum):
    """What is known of a fingerprint; within an epoch the higher wins."""

    CLEAR = 0
    SUSPECT = 1
    CONVICTED = 2


class SuspectNotice(effects.Message, frozen=True, array_like=True, tag="sn"):
    """Tells another entry what is known of a fingerprint.

    Attributes:
        fingerprint: Of organisation and body.
        epoch: Grows each time the fingerprint is cleared.
        level: What is known of it in that epoch.
        incident: The crash that made it suspect; empty when cleared.
    """

    fingerprint: int
    epoch: int
    level: SuspicionLevel
    incident: str


class SuspectPull(effects.Message, frozen=True, array_like=True, tag="sp"):
    """Asks an entry for all that it knows, after a start."""

    reply_to: str
