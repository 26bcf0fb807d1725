"""Chooses which upstreams each entry talks to.

Every entry computes the same assignment from the same member lists, so no
message is needed to agree on it; two entries with different lists only lose a
little balance. The idea is a greedy many-to-many matching: all pairs (entry,
upstream) are ordered by a hash of both names, and a pair is taken while the
entry still wants upstreams and the upstream is below its cap. The order does
not depend on list positions, so that one host that joins or leaves moves few
pairs; the cap keeps the number of entries per upstream even.

The matching runs twice: once inside each data centre for the local share of
a subset, once between data centres for the rest.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import operator

import numpy as np
import numpy.typing as npt
import xxhash

Hashes = npt.NDArray[np.uint64]
Pairs = npt.NDArray[np.bool_]

HASH_SPAN = 2**64
FIRST_BAND = 2
HASH_MULTIPLIER = np.uint64(0x9E3779B97F4A7C15)
MIX_MULTIPLIER_1 = np.uint64(0xBF58476D1CE4E5B9)
MIX_MULTIPLIER_2 = np.uint64(0x94D049BB133111EB)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Member:
    """A host that takes part in the assignment.

    Attributes:
        name: Unique among entries, or among upstreams.
        data_centre: Where it stands.
    """

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubsetSettings:
    """How large subsets are and how they spread.

    Attributes:
        size: Upstreams for each entry and version; all when there are fewer.
        local_share: Share of a subset from the entry's own data centre, 0
            to 1.
        slack: Sum of all caps as a multiple of the pairs wanted, at least
            1. More slack moves fewer pairs when a host joins or leaves and
            costs balance.
    """

    size: int = 12
    local_share: float = 0.75
    slack: float = 1.05


DEFAULT_SUBSET_SETTINGS = SubsetSettings()

# The members' own order, which is slower to ask for.
order_key = operator.attrgetter("name", "data_centre")


def hash_text(text: str) -> int:
    """Returns the 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())


def hash_names(names: Iterable[str], *, salt: str) -> Hashes:
    """Returns one 64-bit hash for each name."""
    return np.array(
        [hash_text(f"{salt}/{name}") for name in names],
        dtype=np.uint64,
    )


def mix_pairs(left: Hashes, right: Hashes) -> Hashes:
    """Returns the matrix of pair hashes, one row for each left hash."""
    mixed = left[:, None] * HASH_MULTIPLIER ^ right[None, :]
    mixed = (mixed ^ (mixed >> np.uint64(30))) * MIX_MULTIPLIER_1
    mixed = (mixed ^ (mixed >> np.uint64(27))) * MIX_MULTIPLIER_2
    return np.asarray(mixed ^ (mixed >> np.uint64(31)), dtype=np.uint64)


def match_pairs(
    pairs: Iterable[tuple[int, int]],
    *,
    wanted: list[int],
    room: list[int],
    chosen: list[set[int]],
) -> None:
    """Takes pairs in order while the entry wants more and room is left.

    Args:
        pairs: (entry index, upstream index), best first.
        wanted: How many upstreams each entry still wants; counted down.
        room: How many entries each upstream still takes; counted down.
        chosen: The upstreams of each entry; grows.
    """
    for entry, upstream in pairs:
        if wanted[entry] == 0 or room[upstream] == 0:
            continue
        if upstream in chosen[entry]:
            continue
        chosen[entry].add(upstream)
        wanted[entry] -= 1
        room[upstream] -= 1


def order_pairs(
    weights: Hashes,
    allowed: Pairs,
    *,
    wanted: list[int],
    room: list[int],
) -> Iterator[list[tuple[int, int]]]:
    """Yields the allowed pairs in bands, lowest hash first.

    The matching takes most pairs of the first band and has few entries left
    that want more, so each further band leaves out those that are done; their
    pairs would be passed over.

    Args:
        weights: The pair hashes, uniform over 64 bits.
        allowed: Which pairs count.
        wanted: How many upstreams each entry still wants, as matched so far.
        room: How many entries each upstream still takes.
    """
    count = int(allowed.sum())
    low = 0
    width = min(HASH_SPAN, FIRST_BAND * HASH_SPAN * sum(wanted) // (count or 1))
    while low < HASH_SPAN and any(wanted):
        high = min(HASH_SPAN, low + width + 1)
        rows = np.flatnonzero(wanted)
        columns = np.flatnonzero(room)
        open_pairs = np.ix_(rows, columns)
        found = weights[open_pairs]
        band = allowed[open_pairs] & (found >= np.uint64(low))
        band &= found <= np.uint64(high - 1)
        at_rows, at_columns = np.nonzero(band)
        order = np.argsort(found[at_rows, at_columns], kind="stable")
        yield list(
            zip(
                rows[at_rows[order]].tolist(),
                columns[at_columns[order]].tolist(),
                strict=True,
            )
        )
        low, width = high, width * 2


def spread_caps(
    tie_breaks: Hashes, *, demand: int, supply: int, slack: float
) -> list[int]:
    """Returns how many entries each upstream takes at most.

    The mean is rounded up for some upstreams and down for others, by their
    hash, so that a small change of the mean changes few caps.

    Args:
        tie_breaks: One hash for each upstream.
        demand: How many pairs are wanted.
        supply: Among how many upstreams.
        slack: The caps' sum as a multiple of the demand.
    """
    mean = demand * slack / max(1, supply)
    offsets = tie_breaks.astype(np.float64) / HASH_SPAN
    caps = np.maximum(1, np.floor(mean + offsets)).astype(np.int64)
    return [int(cap) for cap in caps]


class Assignment:
    """The subsets of all entries for one version.

    Attributes:
        entries: All entries, sorted.
        upstreams: All upstreams, sorted.
        chosen: For each entry the indexes of its upstreams.
    """

    def __init__(
        self,
        *,
        key: str,
        entries: Iterable[Member],
        upstreams: Iterable[Member],
        settings: SubsetSettings = DEFAULT_SUBSET_SETTINGS,
    ) -> None:
        """Computes the assignment.

        Args:
            key: The version as "model@version"; salts the hashes.
            entries: The live entries; order does not matter.
            upstreams: The upstreams of the version; order does not matter.
            settings: Sizes and shares.
        """
        self.entries: Sequence[Member] = sorted(set(entries), key=order_key)
        self.upstreams: Sequence[Member] = sorted(set(upstreams), key=order_key)
        self.settings = settings
        self.chosen: list[set[int]] = [set() for _ in self.entries]
        if len(self.upstreams) <= settings.size:
            self.chosen = [
                set(range(len(self.upstreams))) for _ in self.entries
            ]
            return
        self.weights = mix_pairs(
            hash_names((e.name for e in self.entries), salt=key),
            hash_names((u.name for u in self.upstreams), salt=key),
        )
        self.tie_breaks = hash_names(
            (u.name for u in self.upstreams), salt=f"cap/{key}"
        )
        self.local = self.find_local_pairs()
        supply = [int(count) for count in self.local.sum(axis=1)]
        share = round(settings.size * settings.local_share)
        total = len(self.upstreams)
        local = [
            min(count, max(share, settings.size - (total - count)))
            for count in supply
        ]
        self.match(self.local, local, self.cap_local(local))
        remote = [settings.size - len(chosen) for chosen in self.chosen]
        caps = spread_caps(
            self.tie_breaks,
            demand=sum(remote),
            supply=total,
            slack=settings.slack,
        )
        self.match(~self.local, remote, caps)
        self.fill_over_cap()

    def find_local_pairs(self) -> Pairs:
        """Returns which pairs stand in one data centre."""
        # Numbers compare faster than texts.
        numbers: dict[str, int] = {}
        entry_places, upstream_places = (
            np.array(
                [numbers.setdefault(m.data_centre, len(numbers)) for m in x]
            )
            for x in (self.entries, self.upstreams)
        )
        return np.asarray(
            entry_places[:, None] == upstream_places[None, :], dtype=np.bool_
        )

    def cap_local(self, wanted: Sequence[int]) -> list[int]:
        """Returns each upstream's cap for entries of its data centre."""
        demand: collections.Counter[str] = collections.Counter()
        for entry, want in zip(self.entries, wanted, strict=True):
            demand[entry.data_centre] += want
        supply = collections.Counter(u.data_centre for u in self.upstreams)
        by_place = {
            place: spread_caps(
                self.tie_breaks,
                demand=demand[place],
                supply=count,
                slack=self.settings.slack,
            )
            for place, count in supply.items()
        }
        return [
            by_place[upstream.data_centre][index]
            for index, upstream in enumerate(self.upstreams)
        ]

    def match(
        self,
        allowed: Pairs,
        wanted: Sequence[int],
        caps: Sequence[int],
    ) -> None:
        """Takes allowed pairs in hash order within demand and caps."""
        left, room = list(wanted), list(caps)
        for pairs in order_pairs(self.weights, allowed, wanted=left, room=room):
            match_pairs(pairs, wanted=left, room=room, chosen=self.chosen)

    def fill_over_cap(self) -> None:
        """Fills the subsets that the caps left short."""
        wanted = [self.settings.size - len(taken) for taken in self.chosen]
        if any(wanted):
            allowed = np.ones_like(self.local)
            caps = [len(self.entries)] * len(self.upstreams)
            self.match(allowed, wanted, caps)

    def of(self, entry: Member) -> frozenset[str]:
        """Returns the names of the entry's upstreams; empty if unknown."""
        if entry not in self.entries:
            return frozenset()
        chosen = self.chosen[self.entries.index(entry)]
        return frozenset(self.upstreams[index].name for index in chosen)


def choose_by_rendezvous(
    names: Iterable[str], *, key: str, count: int
) -> tuple[str, ...]:
    """Returns the `count` names with the highest hash for `key`."""
    ranked = sorted(
        names,
        key=lambda name: (hash_text(f"{key}/{name}"), name),
        reverse=True,
    )
    return tuple(ranked[:count])
