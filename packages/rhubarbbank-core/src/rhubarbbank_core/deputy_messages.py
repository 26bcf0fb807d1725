"""What an owner of allowances and its deputy say to each other."""

import msgspec

from rhubarbbank_core import effects


class LeaseBound(msgspec.Struct, frozen=True, array_like=True):
    """What one holder of one allowance uses at most.

    Attributes:
        key: The allowance key.
        holder: The holder's peer address.
        rate_per_s: Bound on its rate.
        burst: Bound on its burst, in requests; with it 0 nothing is in use.
    """

    key: str
    holder: str
    rate_per_s: float
    burst: float


class DeputyNote(effects.Message, frozen=True, array_like=True, tag="dn"):
    """Tells the deputy bounds that hold until another note of the holder.

    Attributes:
        reply_to: The owner's peer address.
        shard: The shard of the allowances.
        fence: The owner's fencing number for it.
        incarnation: Of the deputy that is meant.
        generation: The segment that first named this deputy.
        sequence: Counts the notes of a generation.
        is_whole: No other holder has anything; the first note of each
            generation.
        bounds: The bounds.
    """

    reply_to: str
    shard: int
    fence: int
    incarnation: int
    generation: int
    sequence: int
    is_whole: bool
    bounds: tuple[LeaseBound, ...]


class DeputyAck(effects.Message, frozen=True, array_like=True, tag="da"):
    """Says that the deputy counts with a note; see `DeputyNote`.

    Attributes:
        sender: The deputy's peer address.
    """

    sender: str
    shard: int
    fence: int
    generation: int
    sequence: int


class DeputyPull(effects.Message, frozen=True, array_like=True, tag="dp"):
    """Asks the former owner's deputy what that one had leased.

    Attributes:
        reply_to: The peer address of the owner that follows.
        shard: The shard of the allowances.
        fence: That owner's fencing number.
        former_fence: The former one's.
        incarnation: Of the deputy that is meant.
        generation: The segment that first named this deputy.
    """

    reply_to: str
    shard: int
    fence: int
    former_fence: int
    incarnation: int
    generation: int


class DeputyBounds(effects.Message, frozen=True, array_like=True, tag="db"):
    """Answers a pull, if the deputy knows all; see `DeputyPull`."""

    shard: int
    fence: int
    bounds: tuple[LeaseBound, ...]


AnyDeputyMessage = DeputyNote | DeputyAck | DeputyPull | DeputyBounds
