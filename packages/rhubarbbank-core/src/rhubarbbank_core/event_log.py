"""Encodes, decodes and replays the recorded events of a process.

A process with `record_events` set logs its start record, then each event with
its time, and after each event a digest of the effects. A new reducer that is
built from the same start record produces the same effects for these events;
`find_difference` compares its effects with the digests.
"""

from collections.abc import Iterable
import dataclasses
from typing import Protocol

import msgspec
import xxhash

from rhubarbbank_core import events
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import program_start


class RecordedEvent(msgspec.Struct, frozen=True, array_like=True, tag="event"):
    """One event and when it was applied, in seconds of the process's clock."""

    now: float
    event: events.AnyEvent


class RecordedEffects(
    msgspec.Struct, frozen=True, array_like=True, tag="effects"
):
    """Digest of the effects of the preceding event.

    It is missing after an event for which the reducer raised an exception.

    Attributes:
        count: The number of effects.
        digest: Hash of the effects' types and contents, in order.
    """

    count: int
    digest: int


AnyRecord = (
    program_start.EntryStart
    | program_start.SidecarStart
    | RecordedEvent
    | RecordedEffects
)


class Reducer(Protocol):
    """The reducer of an entry or a sidecar."""

    def step(self, *, now: float, event: events.AnyEvent) -> list[fx.Effect]:
        """Applies one event; returns the effects."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """The first event whose effects differ from the recorded ones.

    Attributes:
        number: The index of the event in the log, from 0.
        event: The event.
        recorded: The recorded digest of its effects.
        found: The effects of the replay.
    """

    number: int
    event: RecordedEvent
    recorded: RecordedEffects
    found: list[fx.Effect]


ENCODER = msgspec.msgpack.Encoder()
# Sorts sets and mappings, so that equal effects have equal digests.
DIGEST_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
DECODER = msgspec.msgpack.Decoder(AnyRecord)


def encode(record: AnyRecord) -> bytes:
    """Encodes one record."""
    return ENCODER.encode(record)


def decode(data: bytes) -> AnyRecord:
    """Decodes one record.

    Raises:
        msgspec.MsgspecError: The data is not a valid record.
    """
    return DECODER.decode(data)


def digest(effects: list[fx.Effect]) -> RecordedEffects:
    """Returns the record of an event's effects."""
    named_effects = [(type(each).__name__, each) for each in effects]
    data = DIGEST_ENCODER.encode(named_effects)
    return RecordedEffects(len(effects), xxhash.xxh64_intdigest(data))


def replay(
    reducer: Reducer, records: Iterable[RecordedEvent]
) -> list[list[fx.Effect]]:
    """Applies the events; returns the effects of each, in order."""
    return [
        reducer.step(now=record.now, event=record.event) for record in records
    ]


def find_difference(
    reducer: Reducer, records: Iterable[AnyRecord]
) -> Difference | None:
    """Returns the first event whose replayed effects differ, or None.

    Args:
        reducer: A new reducer, built from the log's start record.
        records: The log; an event without recorded effects isn't compared.
    """
    number = -1
    event: RecordedEvent | None = None
    found: list[fx.Effect] = []
    for record in records:
        if isinstance(record, RecordedEvent):
            number += 1
            event = record
            found = reducer.step(now=record.now, event=record.event)
        if not isinstance(record, RecordedEffects) or event is None:
            continue
        if digest(found) != record:
            return Difference(
                number=number, event=event, recorded=record, found=found
            )
    return None
