"""Knows which requests crashed an upstream, and spreads it between entries.

What was in flight at a crash becomes suspect. A suspect may run once more,
alone, and only for the entry that gets the fleet's single claim on it; if it
crashes a second upstream it is convicted and refused everywhere, and if it
ends it is cleared. A fingerprint's state only moves up within an epoch, so
that notices may come late, twice and in any order; clearing starts the next
epoch.

Memory is bounded: past the bound the fingerprint that was noted first is
forgotten. It could then crash two upstreams once more.
"""

import collections
import dataclasses

from rhubarbbank_core import suspect_messages

Level = suspect_messages.SuspicionLevel
MAX_FINGERPRINTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of one fingerprint."""

    epoch: int = 0
    level: Level = Level.CLEAR
    incident: str = ""


NOTHING_KNOWN = Suspicion()


class Suspects:
    """What this entry knows of fingerprints.

    Attributes:
        known: By fingerprint, the first noted first.
    """

    def __init__(self) -> None:
        self.known: collections.OrderedDict[int, Suspicion] = (
            collections.OrderedDict()
        )

    def find(self, fingerprint: int) -> Suspicion:
        """Returns what is known of a fingerprint."""
        return self.known.get(fingerprint, NOTHING_KNOWN)

    def note_crash(
        self, fingerprint: int, *, incident: str
    ) -> suspect_messages.SuspectNotice | None:
        """Takes a crash that the fingerprint was part of.

        Returns:
            The notice to spread; None when the incident was known.
        """
        found = self.find(fingerprint)
        if found.level is Level.CONVICTED or found.incident == incident:
            return None
        level = Level.SUSPECT
        if found.level is Level.SUSPECT:
            level = Level.CONVICTED
        return self.set(fingerprint, Suspicion(found.epoch, level, incident))

    def clear(self, fingerprint: int) -> suspect_messages.SuspectNotice | None:
        """Takes that a suspect ran alone to its end."""
        found = self.find(fingerprint)
        if found.level is not Level.SUSPECT:
            return None
        return self.set(fingerprint, Suspicion(found.epoch + 1))

    def convict(
        self, fingerprint: int
    ) -> suspect_messages.SuspectNotice | None:
        """Takes that a suspect took a second upstream down.

        Its first one may have been lost without a word, so that nobody
        noted that crash.
        """
        found = self.find(fingerprint)
        if found.level is not Level.SUSPECT:
            return None
        convicted = Suspicion(found.epoch, Level.CONVICTED, found.incident)
        return self.set(fingerprint, convicted)

    def renew(self, fingerprint: int) -> suspect_messages.SuspectNotice | None:
        """Takes that a suspect's claimed run provably did not happen."""
        found = self.find(fingerprint)
        if found.level is not Level.SUSPECT:
            return None
        renewed = Suspicion(found.epoch + 1, Level.SUSPECT, found.incident)
        return self.set(fingerprint, renewed)

    def take_notice(self, notice: suspect_messages.SuspectNotice) -> None:
        """Takes another entry's word."""
        found = self.find(notice.fingerprint)
        level = notice.level
        if notice.epoch == found.epoch:
            both_suspect = found.level is level is Level.SUSPECT
            if both_suspect and found.incident != notice.incident:
                # Two crashes that two entries saw at the same time.
                level = Level.CONVICTED
            elif level <= found.level:
                return
        elif notice.epoch < found.epoch:
            return
        self.set(
            notice.fingerprint, Suspicion(notice.epoch, level, notice.incident)
        )

    def set(
        self, fingerprint: int, suspicion: Suspicion
    ) -> suspect_messages.SuspectNotice:
        """Notes a state and returns the notice of it."""
        self.known[fingerprint] = suspicion
        while len(self.known) > MAX_FINGERPRINTS:
            self.known.popitem(last=False)
        return self.make_notice(fingerprint)

    def make_notice(self, fingerprint: int) -> suspect_messages.SuspectNotice:
        """Returns the notice of what is known of a fingerprint."""
        found = self.find(fingerprint)
        return suspect_messages.SuspectNotice(
            fingerprint, found.epoch, found.level, found.incident
        )

    def list_notices(self) -> list[suspect_messages.SuspectNotice]:
        """Returns all that is known."""
        return [self.make_notice(x) for x in self.known]
