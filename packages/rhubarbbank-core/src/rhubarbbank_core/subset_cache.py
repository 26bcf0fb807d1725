"""One entry's subsets of all versions, recomputed only on a change."""

from collections.abc import Iterable
from collections.abc import Mapping

from rhubarbbank_core import subset

SPONSORS = 2
SHARED_KEY = "subset"
LEAST_ENTRIES_PER_UPSTREAM = 2

# The entries and the upstreams of one assignment.
Inputs = tuple[frozenset[subset.Member], frozenset[subset.Member]]


class SubsetCache:
    """The upstreams that one entry talks to.

    Attributes:
        own: The entry.
        settings: Sizes and shares of subsets.
        by_version: The chosen upstreams of each version, with replacements.
        inputs: The members that each version's choice was made from.
        shares: This entry's upstreams by such members, for all versions.
        computed: How many assignments were computed so far.
    """

    def __init__(
        self, *, own: subset.Member, settings: subset.SubsetSettings
    ) -> None:
        self.own = own
        self.settings = settings
        self.by_version: dict[str, frozenset[str]] = {}
        self.base: dict[str, frozenset[str]] = {}
        self.inputs: dict[str, Inputs] = {}
        self.shares: dict[Inputs, frozenset[str]] = {}
        self.computed = 0

    def get(self, version: str) -> frozenset[str]:
        """Returns the upstreams of a version, empty if there are none."""
        return self.by_version.get(version, frozenset())

    def refresh(
        self,
        *,
        entries: frozenset[subset.Member],
        upstreams: Mapping[str, frozenset[subset.Member]],
        dead: frozenset[str],
    ) -> None:
        """Recomputes what changed.

        Args:
            entries: The live entries.
            upstreams: The upstreams of each version that do not leave.
            dead: Probed upstreams that do not answer.
        """
        computed = self.computed
        for version in self.by_version.keys() - upstreams.keys():
            del self.by_version[version]
            del self.base[version]
            del self.inputs[version]
        for version, members in upstreams.items():
            inputs = (entries, members)
            if self.inputs.get(version) != inputs:
                self.base[version] = self.share(inputs)
                self.inputs[version] = inputs
            self.by_version[version] = self.replace_dead(version, members, dead)
        if self.computed != computed:
            kept = set(self.inputs.values())
            self.shares = {x: y for x, y in self.shares.items() if x in kept}

    def share(self, inputs: Inputs) -> frozenset[str]:
        """Returns this entry's share of an assignment, computed once."""
        found = self.shares.get(inputs)
        if found is None:
            found = self.shares[inputs] = self.compute(*inputs)
        return found

    def compute(
        self,
        entries: frozenset[subset.Member],
        members: frozenset[subset.Member],
    ) -> frozenset[str]:
        """Returns this entry's share of the assignment of some upstreams."""
        if len(members) <= self.settings.size:
            return frozenset(member.name for member in members)
        self.computed += 1
        # One key for all versions: upstreams that run several versions are
        # then shared between their subsets, which saves probes.
        assignment = subset.Assignment(
            key=SHARED_KEY,
            entries=entries | {self.own},
            upstreams=members,
            settings=self.settings,
        )
        return assignment.of(self.own)

    def replace_dead(
        self,
        version: str,
        members: frozenset[subset.Member],
        dead: frozenset[str],
    ) -> frozenset[str]:
        """Adds others when over half of the subset does not answer."""
        chosen = self.base[version]
        missing = len(chosen & dead)
        if missing * 2 <= len(chosen):
            return chosen
        others = {m.name for m in members} - chosen - dead
        return chosen | set(
            subset.choose_by_rendezvous(
                others, key=f"{version}/{self.own.name}", count=missing
            )
        )

    def is_thin(self, *, entries: int, upstreams: int) -> bool:
        """Returns whether subsets may leave an upstream without an entry."""
        pairs = entries * min(self.settings.size, upstreams)
        return pairs < LEAST_ENTRIES_PER_UPSTREAM * upstreams

    def find_sponsored(
        self, names: Iterable[str], *, entries: frozenset[subset.Member]
    ) -> frozenset[str]:
        """Returns which of the upstreams this entry probes as a sponsor.

        A sponsor probes an upstream that may be in nobody's subset, so that
        its rows reach the others.
        """
        everyone = {member.name for member in entries} | {self.own.name}
        return frozenset(
            name
            for name in names
            if self.own.name
            in subset.choose_by_rendezvous(
                everyone, key=f"sponsor/{name}", count=SPONSORS
            )
        )
