"""Proves that a silent entry is dead, and not only cut off.

A host refuses a connection to a port on which no process listens. An entry
listens before it first calls the store and as long as it runs, so that a
refusal of its peer address shows that the process which was heard there has
ended, while silence shows nothing. The next process of the name may start
right after the refusal; a refusal therefore counts for a few seconds only
and is asked for again and again.

Assumptions: a refusal comes from the host of the address and not from a
device on the way, and an entry of a name starts again at the same address.
"""

import dataclasses

from rhubarbbank_core import effects

ASK_AFTER_S = 1.75
ASK_INTERVAL_S = 1.0
# Whoever is forgotten counts as silent, and is asked again.
MOST_REFUSALS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """An entry that was heard once.

    Attributes:
        name: The entry.
        address: Its peer address.
        heard_at: When it was last heard.
    """

    name: str
    address: str
    heard_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An address that refused a connection.

    Attributes:
        address: The peer address.
        asked_at: When the newest attempt that was refused began.
    """

    address: str
    asked_at: float


class DeadEntries:
    """What refused connections prove of silent entries.

    Attributes:
        asked_at: When each silent entry's address was last tried.
        refusals: The newest refusal of each name, kept when the name is heard
            again or the list drops it; the oldest go first.
    """

    def __init__(self) -> None:
        self.asked_at: dict[str, float] = {}
        self.refusals: dict[str, Refusal] = {}

    def ask(
        self, silences: list[Silence], *, now: float
    ) -> list[effects.AskListener]:
        """Returns the attempts that are due; call it with every tick."""
        out = []
        for silence in silences:
            if now - silence.heard_at < ASK_AFTER_S:
                continue
            asked_at = self.asked_at.get(silence.name)
            if asked_at is not None and now - asked_at < ASK_INTERVAL_S:
                continue
            self.asked_at[silence.name] = now
            out.append(effects.AskListener(silence.name, silence.address, now))
        return out

    def note_refusal(self, *, name: str, address: str, asked_at: float) -> None:
        """Takes that an address refused an attempt that began then.

        A refusal that comes late proves what it did when it was asked for.
        """
        known = self.refusals.get(name)
        if known is None or asked_at > known.asked_at:
            self.refusals.pop(name, None)
            self.refusals[name] = Refusal(address, asked_at)
            while len(self.refusals) > MOST_REFUSALS:
                del self.refusals[next(iter(self.refusals))]

    def refused_since(
        self, name: str, *, heard_at: float, oldest: float
    ) -> float | None:
        """Returns when a name was refused since it was heard; None if not.

        Args:
            name: The entry.
            heard_at: When it was last heard.
            oldest: Refusals that were asked for earlier don't count.
        """
        found = self.refusals.get(name)
        if found is None or found.asked_at <= heard_at:
            return None
        return found.asked_at if found.asked_at >= oldest else None

    def ended_at(self) -> dict[str, float]:
        """Returns when each address that refused was tried.

        Whatever process was heard there before has ended, even if the next
        one runs by now.
        """
        return {x.address: x.asked_at for x in self.refusals.values()}

    def forget_except(self, names: frozenset[str]) -> None:
        """Asks no more for entries that are gone."""
        for name in self.asked_at.keys() - names:
            del self.asked_at[name]
