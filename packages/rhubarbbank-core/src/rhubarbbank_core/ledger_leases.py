"""What a shard's owner tells the next one of the slices that it leased.

The owner that releases a shard writes the slices that may still be in use
into the releasing segment. It grants nothing once that write is on its way,
so that the next owner counts on from there without a wait. Each segment names
the owner's deputy, if any, which can take the shard over without a wait too.
"""

import typing

import msgspec


class LeasedSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slice that its holder may still use.

    Attributes:
        key: The allowance key.
        holder: The holder's peer address.
        request_id: The holder's request that it was granted for.
        rate_per_s: Its rate.
        burst: Its burst, in requests.
        left_s: After how long it is over for certain.
        is_firm: Nothing that the holder says ends it earlier.
    """

    key: str
    holder: str
    request_id: int
    rate_per_s: float
    burst: float
    left_s: float
    is_firm: bool = False


class LeaseReport(msgspec.Struct, frozen=True, array_like=True):
    """The slices of one shard at its release.

    Attributes:
        slices: The slices; none if not all are known.
        is_whole: No other slice may be in use.
    """

    slices: tuple[LeasedSlice, ...]
    is_whole: bool


class Deputy(msgspec.Struct, frozen=True, array_like=True):
    """Who else knows what the owner of a shard has leased.

    Attributes:
        address: Its peer address.
        incarnation: Its incarnation; a later one knows nothing.
        generation: The segment that first named it. Named again after
            another one, it knows nothing of what was leased meanwhile.
    """

    address: str
    incarnation: int
    generation: int


class FormerOwner(msgspec.Struct, frozen=True, array_like=True):
    """The owner before, as the newest segment tells it.

    Attributes:
        fence: Its fencing number.
        deputy: Its deputy.
    """

    fence: int
    deputy: Deputy | None


class DeputySource(typing.Protocol):
    """Knows who should be the deputy for a shard of this process."""

    def choose(self, *, shard: int) -> tuple[str, int] | None:
        """Returns the address and incarnation of an entry, or None."""


class NoDeputies:
    """A `DeputySource` for programs that lease nothing."""

    def choose(self, *, shard: int) -> tuple[str, int] | None:
        """Returns nobody."""
        del shard
        return None


class LeaseSource(typing.Protocol):
    """Knows the slices leased in this process."""

    def report(self, *, now: float, shard: int) -> LeaseReport | None:
        """Returns the slices of a shard that may still be in use."""


class NoLeases:
    """A `LeaseSource` for programs that lease nothing."""

    def report(self, *, now: float, shard: int) -> LeaseReport | None:
        """Returns nothing."""
        del now, shard
        return None
