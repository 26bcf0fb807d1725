"""Messages from the owner of the roll-out duty to sidecars."""

from rhubarbbank_core import effects


class FenceAnnounce(effects.Message, frozen=True, array_like=True, tag="of"):
    """Tells a sidecar the duty's fencing number; lower ones are void.

    The sidecar answers `reply_to` with its row, which shows the number.
    """

    fence: int
    reply_to: str


class RolloutOrder(effects.Message, frozen=True, array_like=True, tag="oo"):
    """Asks a sidecar to have its engine load or unload a version.

    `action` is a value of `rollout.Action`. The sidecar answers `reply_to`
    with its row, which shows what came of it.
    """

    fence: int
    action: str
    model: str
    version: str
    reply_to: str
