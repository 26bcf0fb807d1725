"""What the deputies of allowance owners know, in each entry.

An owner names its deputy in the log of the shard and tells it bounds of what
is leased, each before it grants more. When the deputy takes the shard over,
it knows all that may be in use and need not wait for that to lapse.
"""

import dataclasses

from rhubarbbank_core import deputy_messages
from rhubarbbank_core import effects
from rhubarbbank_core import ledger_leases

# An owner with more holders in a shard names no deputy.
MAX_BOUNDS = 4_000
# After so many ticks without an answer, the wait for slices is over soon.
MAX_PULLS = 40


@dataclasses.dataclass(slots=True)
class DeputyBook:
    """The bounds that one owner told.

    Attributes:
        fence: Its fencing number.
        generation: The segment that named this process.
        is_whole: The first note has come, so that nothing is missing.
        bounds: The bounds by key and holder, with the notes' numbers.
    """

    fence: int
    generation: int
    is_whole: bool = False
    bounds: dict[tuple[str, str], tuple[int, deputy_messages.LeaseBound]] = (
        dataclasses.field(default_factory=dict)
    )

    def take(self, note: deputy_messages.DeputyNote) -> bool:
        """Takes a note's bounds; returns whether they count now."""
        if note.is_whole == self.is_whole:
            # The first note, come again, is in here already.
            return note.is_whole or self.update(note)
        if not note.is_whole:
            return self.update(note)
        if len(note.bounds) > MAX_BOUNDS:
            return False
        self.is_whole = True
        return self.update(note)

    def update(self, note: deputy_messages.DeputyNote) -> bool:
        """Takes the bounds that are newer than the known ones."""
        if not self.is_whole:
            return False
        if len(self.bounds) + len(note.bounds) > 2 * MAX_BOUNDS:
            return False
        for bound in note.bounds:
            place = bound.key, bound.holder
            known = self.bounds.get(place)
            if known is not None and known[0] > note.sequence:
                continue
            if bound.burst > 0.0:
                self.bounds[place] = note.sequence, bound
            else:
                # An older note that comes late may bring a bound back: that
                # counts too much, never too little.
                self.bounds.pop(place, None)
        return True


@dataclasses.dataclass(slots=True)
class OpenPull:
    """A pull that is not answered."""

    deputy: str
    pull: deputy_messages.DeputyPull
    left: int = MAX_PULLS


class DeputyBooks:
    """Keeps a book for each shard whose owner named this process.

    Guarantee: a note is acknowledged only if the next owner, be it this
    process or another that pulls the book, counts with the note.

    Attributes:
        address: This process's peer address.
        incarnation: Its incarnation; another one's book is lost.
        newest: The highest fencing number known, by shard.
        books: The books by shard.
        pulls: What is asked of other deputies, by shard.
    """

    def __init__(self, *, address: str, incarnation: int) -> None:
        self.address = address
        self.incarnation = incarnation
        self.newest: dict[int, int] = {}
        self.books: dict[int, DeputyBook] = {}
        self.pulls: dict[int, OpenPull] = {}

    def note(self, note: deputy_messages.DeputyNote) -> list[effects.Send]:
        """Takes a note; the answer says that it counts."""
        if note.incarnation != self.incarnation:
            return []
        if note.fence < self.newest.get(note.shard, 0):
            return []
        self.newest[note.shard] = note.fence
        book = self.books.get(note.shard)
        found = note.fence, note.generation
        if book is None or (book.fence, book.generation) < found:
            book = DeputyBook(note.fence, note.generation)
            self.books[note.shard] = book
        if (book.fence, book.generation) != found or not book.take(note):
            return []
        ack = deputy_messages.DeputyAck(
            sender=self.address,
            shard=note.shard,
            fence=note.fence,
            generation=note.generation,
            sequence=note.sequence,
        )
        return [effects.Send(note.reply_to, ack)]

    def close(
        self,
        *,
        shard: int,
        fence: int,
        former: ledger_leases.FormerOwner | None,
    ) -> tuple[deputy_messages.LeaseBound, ...] | None:
        """Ends a book, as this process now owns the shard.

        If another process is the deputy, it is asked at the next ticks.

        Args:
            shard: The shard.
            fence: This process's fencing number for it.
            former: Whom the newest segment names as owner and deputy.

        Returns:
            All that the former owner's holders may use, if that is known.
        """
        self.newest[shard] = max(fence, self.newest.get(shard, 0))
        book = self.books.pop(shard, None)
        self.pulls.pop(shard, None)
        if former is None or former.deputy is None:
            return None
        deputy = former.deputy
        pull = deputy_messages.DeputyPull(
            reply_to=self.address,
            shard=shard,
            fence=fence,
            former_fence=former.fence,
            incarnation=deputy.incarnation,
            generation=deputy.generation,
        )
        if deputy.address != self.address:
            self.pulls[shard] = OpenPull(deputy.address, pull)
            return None
        return self.read(book, pull)

    def read(
        self, book: DeputyBook | None, pull: deputy_messages.DeputyPull
    ) -> tuple[deputy_messages.LeaseBound, ...] | None:
        """Returns a book's bounds if it is the one meant, and whole."""
        if book is None or not book.is_whole:
            return None
        here = book.fence, self.incarnation, book.generation
        if here != (pull.former_fence, pull.incarnation, pull.generation):
            return None
        return tuple(bound for _, bound in book.bounds.values())

    def tick(self) -> list[effects.Send]:
        """Asks deputies of former owners."""
        out = []
        for shard, item in list(self.pulls.items()):
            item.left -= 1
            out.append(effects.Send(item.deputy, item.pull))
            if item.left <= 0:
                del self.pulls[shard]
        return out

    def pull(self, pull: deputy_messages.DeputyPull) -> list[effects.Send]:
        """Hands a book to the next owner; the former one's notes are over."""
        if pull.fence < self.newest.get(pull.shard, 0):
            return []
        bounds = self.read(self.books.get(pull.shard), pull)
        if bounds is None:
            return []
        self.newest[pull.shard] = pull.fence
        found = deputy_messages.DeputyBounds(
            shard=pull.shard, fence=pull.fence, bounds=bounds
        )
        return [effects.Send(pull.reply_to, found)]

    def is_asked(self, found: deputy_messages.DeputyBounds) -> bool:
        """Returns whether an answer is for the pull that is open; ends it."""
        item = self.pulls.get(found.shard)
        if item is None or item.pull.fence != found.fence:
            return False
        del self.pulls[found.shard]
        return True
