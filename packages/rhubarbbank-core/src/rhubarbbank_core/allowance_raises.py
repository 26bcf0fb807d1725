"""Holds grants back until the owner's deputy knows of them.

The deputy counts with each holder's bound when it takes the shard over. So a
grant that lets a holder use more than its bound, or brings it requests at
once, goes out only when the deputy has acknowledged a higher bound; other
grants go out at once. Nothing is held back while no deputy could take over
without a wait: none is named in the log, or the one named was told nothing.
"""

import collections.abc
import dataclasses

import msgspec

from rhubarbbank_core import allowance_bounds
from rhubarbbank_core import allowance_deputy
from rhubarbbank_core import allowance_owner
from rhubarbbank_core import allowances
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_leases
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import ledger_shard
from rhubarbbank_core import rendezvous

RESEND_S = 0.08
SLOW_RESEND_S = 1.0
# After so many sends without an answer the deputy counts as silent.
MAX_SENDS = 6
# A silent deputy is named again after so long.
SILENCE_S = 10.0
# A shard with too many holders is looked at again after so long.
CROWDED_S = 60.0
# Holders ask again long before; a grant that waits longer is dropped.
HELD_S = 2.0
MAX_OPEN_NOTES = 256
LOWER_EVERY_S = 1.0

Place = tuple[str, str]


@dataclasses.dataclass(slots=True)
class OpenNote:
    """A note that is not acknowledged.

    Attributes:
        deputy: The peer address that it goes to.
        note: The note.
        sends: The grants that wait for it.
        since: When it was first sent, in seconds.
        sent_at: When it was last sent, in seconds.
        count: How often it was sent.
    """

    deputy: str
    note: deputy_messages.DeputyNote
    sends: list[effects.CoordinationEffect]
    since: float
    sent_at: float
    count: int = 1


@dataclasses.dataclass(slots=True)
class DeputyLink:
    """What the owner knows of its deputy for one shard.

    Attributes:
        fence: The owner's fencing number.
        deputy: The deputy that the log names for certain.
        is_told: The first note was sent.
        sequence: Of the newest note.
        open: Notes that are not acknowledged, by sequence.
        sure: The least rate and burst that the deputy counts with.
        newest: The newest note of each holder that has one open.
        lower_at: When to look next for bounds that have become lower, in
            seconds.
    """

    fence: int
    deputy: ledger_leases.Deputy | None
    is_told: bool = False
    sequence: int = 0
    open: dict[int, OpenNote] = dataclasses.field(default_factory=dict)
    sure: dict[Place, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    newest: dict[Place, int] = dataclasses.field(default_factory=dict)
    lower_at: float = 0.0

    def is_silent(self) -> bool:
        """Returns whether some note was sent often and not answered."""
        return any(item.count >= MAX_SENDS for item in self.open.values())

    def covers(self, holder: str, grant: allowances.SliceGrant) -> bool:
        """Returns whether the deputy counts with a grant already."""
        if not self.is_told or grant.burst <= 0.0:
            return True
        rate_per_s, burst = self.sure.get((grant.key, holder), (0.0, 0.0))
        return (
            grant.tokens <= 0.0
            and grant.rate_per_s <= rate_per_s
            and grant.burst <= burst
        )

    def note_sent(
        self, bounds: collections.abc.Iterable[deputy_messages.LeaseBound]
    ) -> None:
        """Counts with the lower bound until a note is acknowledged."""
        for bound in bounds:
            place = bound.key, bound.holder
            known = self.sure.get(place, (0.0, 0.0))
            self.set_sure(
                place,
                min(known[0], bound.rate_per_s),
                min(known[1], bound.burst),
            )
            self.newest[place] = self.sequence

    def note_known(self, note: deputy_messages.DeputyNote) -> None:
        """Takes the bounds that no later note has replaced."""
        for bound in note.bounds:
            place = bound.key, bound.holder
            if self.newest.get(place) == note.sequence:
                del self.newest[place]
                self.set_sure(place, bound.rate_per_s, bound.burst)

    def set_sure(self, place: Place, rate_per_s: float, burst: float) -> None:
        """Keeps what the deputy counts with, if anything."""
        if burst > 0.0:
            self.sure[place] = rate_per_s, burst
        else:
            self.sure.pop(place, None)


class RaiseGate:
    """Stands between an `AllowanceOwner` and the holders.

    Attributes:
        leases: The owner of allowances whose grants pass here.
        ledger: Knows the shards owned, and the deputies that the log names.
        live: The incarnations of the live entries, by peer address.
        silent: Until when an entry is not named, by address and incarnation.
        chosen: Who is to be named, by shard.
        crowded: Until when nobody is named, by shard: it has too many holders.
        links: The deputies by shard.
    """

    def __init__(
        self,
        *,
        leases: allowance_owner.AllowanceOwner,
        ledger: ledger_owner.LedgerOwner,
    ) -> None:
        self.leases = leases
        self.ledger = ledger
        self.live: dict[str, int] = {}
        self.silent: dict[tuple[str, int], float] = {}
        self.chosen: dict[int, tuple[str, int]] = {}
        self.crowded: dict[int, float] = {}
        self.links: dict[int, DeputyLink] = {}

    # Who is the deputy.

    def set_live(
        self, *, incarnations: collections.abc.Mapping[str, int]
    ) -> None:
        """Takes the live entries' incarnations, by peer address."""
        if self.live != incarnations:
            self.live = dict(incarnations)
            self.choose_all()

    def choose_all(self) -> None:
        """Chooses for each shard who would own it after this process.

        Whoever else owns it then asks the deputy.
        """
        self.chosen = {}
        others = [
            name
            for name, incarnation in self.live.items()
            if name != self.leases.name
            and (name, incarnation) not in self.silent
        ]
        for shard in range(self.leases.shards):
            subject = ledger_records.shard_subject(shard)
            name = rendezvous.select(subject, others)
            if name is not None:
                self.chosen[shard] = name, self.live[name]

    def choose(self, *, shard: int) -> tuple[str, int] | None:
        """Returns the address and incarnation to be named, or None."""
        return None if shard in self.crowded else self.chosen.get(shard)

    def note_silent(
        self, now: float, deputy: ledger_leases.Deputy | None
    ) -> None:
        """Chooses another one in place of a deputy that doesn't answer."""
        if deputy is None:
            return
        place = deputy.address, deputy.incarnation
        if place not in self.silent:
            self.silent[place] = now + SILENCE_S
            self.choose_all()

    # Events.

    def message(
        self, *, now: float, message: deputy_messages.AnyDeputyMessage
    ) -> list[effects.CoordinationEffect]:
        """Takes what owners and deputies say to each other."""
        match message:
            case deputy_messages.DeputyNote():
                return [*self.leases.deputies.note(message)]
            case deputy_messages.DeputyAck():
                return self.ack(message)
            case deputy_messages.DeputyPull():
                return [*self.leases.deputies.pull(message)]
            case deputy_messages.DeputyBounds():
                self.leases.learn(now=now, found=message)
        return []

    def pass_on(
        self,
        *,
        now: float,
        shard: int,
        answers: collections.abc.Iterable[effects.CoordinationEffect],
    ) -> list[effects.CoordinationEffect]:
        """Returns the answers that may go out now; others wait."""
        owned = self.ledger.owned.get(shard)
        if owned is None:
            return [*answers]
        out = self.follow(owned)
        link = self.links[shard]
        for answer in answers:
            if isinstance(answer, effects.Send) and isinstance(
                answer.message, allowances.SliceGrant
            ):
                grant = answer.message
                if not link.covers(answer.address, grant):
                    out += self.raise_bound(now, owned, answer, grant)
                    continue
            out.append(answer)
        return out

    def ack(
        self, ack: deputy_messages.DeputyAck
    ) -> list[effects.CoordinationEffect]:
        """Lets the grants go that waited for a note."""
        for place in [p for p in self.silent if p[0] == ack.sender]:
            del self.silent[place]
            self.choose_all()
        link = self.links.get(ack.shard)
        owned = self.ledger.owned.get(ack.shard)
        if link is None or link.deputy is None or owned is None:
            return []
        meant = link.fence, link.deputy.generation
        if meant != (ack.fence, ack.generation) or owned.fence != ack.fence:
            return []
        item = link.open.pop(ack.sequence, None)
        if item is None:
            return []
        link.note_known(item.note)
        # The next owner trusts that nothing is granted after the release.
        return [] if owned.is_closing else item.sends

    def tick(self, *, now: float) -> list[effects.CoordinationEffect]:
        """Tells deputies what they don't know, and finds silent ones."""
        out: list[effects.CoordinationEffect] = [*self.leases.deputies.tick()]
        for place in [p for p, at in self.silent.items() if now >= at]:
            del self.silent[place]
            self.choose_all()
        for shard in [s for s, at in self.crowded.items() if now >= at]:
            del self.crowded[shard]
        for shard in [s for s in self.links if s not in self.ledger.owned]:
            del self.links[shard]
        for shard, owned in self.ledger.owned.items():
            out += self.follow(owned)
            link = self.links[shard]
            if link.deputy is not None and not owned.is_closing:
                out += self.tell(now, owned, link)
        return out

    def follow(
        self, owned: ledger_shard.OwnedShard
    ) -> list[effects.CoordinationEffect]:
        """Takes the deputy that the log names for certain.

        The former one's book is worth nothing from then on: what waited for
        it goes out, and is in the first note to the new one.
        """
        link = self.links.get(owned.shard)
        known = (link.fence, link.deputy) if link else None
        if known == (owned.fence, owned.naming.settled):
            return []
        self.links[owned.shard] = DeputyLink(owned.fence, owned.naming.settled)
        if link is None or link.fence != owned.fence or owned.is_closing:
            return []
        return [send for item in link.open.values() for send in item.sends]

    # Notes.

    def raise_bound(
        self,
        now: float,
        owned: ledger_shard.OwnedShard,
        answer: effects.Send,
        grant: allowances.SliceGrant,
    ) -> list[effects.CoordinationEffect]:
        """Notes a holder's higher bound; the grant waits for the answer.

        A deputy that is silent would only pile grants up: while it can't be
        replaced in the log, slices are prolonged within their bounds, and
        what goes beyond them is dropped; the holders ask again.
        """
        link = self.links[owned.shard]
        if len(link.open) >= MAX_OPEN_NOTES or link.is_silent():
            return self.prolong(link, answer, grant)
        bound = allowance_bounds.bound_of(
            self.leases.books, now=now, key=grant.key, holder=answer.address
        )
        return self.send_note(now, owned, (bound,), [answer])

    def prolong(
        self,
        link: DeputyLink,
        answer: effects.Send,
        grant: allowances.SliceGrant,
    ) -> list[effects.CoordinationEffect]:
        """Grants a slice without requests at once, if the bound allows it."""
        less = msgspec.structs.replace(grant, tokens=0.0)
        if not link.covers(answer.address, less):
            return []
        self.leases.books[grant.key].tokens += grant.tokens
        return [effects.Send(answer.address, less)]

    def tell(
        self,
        now: float,
        owned: ledger_shard.OwnedShard,
        link: DeputyLink,
    ) -> list[effects.CoordinationEffect]:
        """Sends the first note, lower bounds, and what got no answer."""
        if not link.is_told:
            return self.tell_all(now, owned, link)
        out: list[effects.CoordinationEffect] = []
        for item in link.open.values():
            if now - item.since > HELD_S:
                item.sends = []
            pause_s = RESEND_S if item.count < MAX_SENDS else SLOW_RESEND_S
            if now - item.sent_at >= pause_s:
                item.sent_at = now
                item.count += 1
                out.append(effects.Send(item.deputy, item.note))
        if link.is_silent():
            self.note_silent(now, link.deputy)
        elif now >= link.lower_at:
            link.lower_at = now + LOWER_EVERY_S
            out += self.tell_lower(now, owned, link)
        return out

    def tell_all(
        self,
        now: float,
        owned: ledger_shard.OwnedShard,
        link: DeputyLink,
    ) -> list[effects.CoordinationEffect]:
        """Sends the first note, once all that is in use is known here."""
        if not self.leases.is_whole(now=now, shard=owned.shard):
            return []
        bounds = allowance_bounds.bounds_of(
            self.leases.books_of(owned.shard), now=now
        )
        if len(bounds) > allowance_deputy.MAX_BOUNDS:
            self.crowded[owned.shard] = now + CROWDED_S
            return []
        link.is_told = True
        # A deputy without this note knows that its book is not whole.
        for bound in bounds:
            link.set_sure(
                (bound.key, bound.holder), bound.rate_per_s, bound.burst
            )
        return self.send_note(now, owned, bounds, [])

    def tell_lower(
        self,
        now: float,
        owned: ledger_shard.OwnedShard,
        link: DeputyLink,
    ) -> list[effects.CoordinationEffect]:
        """Tells which holders use less than the deputy counts with."""
        lower = []
        for (key, holder), (rate_per_s, burst) in link.sure.items():
            bound = allowance_bounds.bound_of(
                self.leases.books, now=now, key=key, holder=holder
            )
            if bound.rate_per_s < rate_per_s or bound.burst < burst:
                lower.append(bound)
        if not lower or len(link.open) >= MAX_OPEN_NOTES:
            return []
        return self.send_note(now, owned, tuple(lower), [])

    def send_note(
        self,
        now: float,
        owned: ledger_shard.OwnedShard,
        bounds: tuple[deputy_messages.LeaseBound, ...],
        sends: list[effects.CoordinationEffect],
    ) -> list[effects.CoordinationEffect]:
        """Sends a note, and keeps it until it is acknowledged."""
        link = self.links[owned.shard]
        deputy = link.deputy
        if deputy is None:
            return []
        link.sequence += 1
        note = deputy_messages.DeputyNote(
            reply_to=self.leases.name,
            shard=owned.shard,
            fence=owned.fence,
            incarnation=deputy.incarnation,
            generation=deputy.generation,
            sequence=link.sequence,
            is_whole=link.sequence == 1,
            bounds=bounds,
        )
        link.note_sent(bounds)
        link.open[link.sequence] = OpenNote(
            deputy.address, note, sends, since=now, sent_at=now
        )
        return [effects.Send(deputy.address, note)]
