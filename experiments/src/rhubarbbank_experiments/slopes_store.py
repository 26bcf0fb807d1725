"""An object API in memory that counts the calls that it answers."""

import collections

from rhubarbbank_core import store


class CountingStore:
    """Answers at once; a watch stays open and is only counted.

    Attributes:
        objects: What is stored, by key.
        revision: Grows with each change.
        calls: Answered calls by operation.
        bytes_written: Sum of the values of the PUTs.
    """

    def __init__(self) -> None:
        self.objects: dict[str, store.StoredObject] = {}
        self.revision = 0
        self.calls: collections.Counter[store.StoreOperation] = (
            collections.Counter()
        )
        self.bytes_written = 0

    def call(self, call: store.StoreCall) -> store.StoreReply | None:
        """Carries out a call; returns None for a watch, which waits."""
        self.calls[call.operation] += 1
        found = self.objects.get(call.key)
        objects: tuple[store.StoredObject, ...] = (found,) if found else ()
        outcome = store.StoreOutcome.OK
        match call.operation:
            case store.StoreOperation.WATCH:
                return None
            case store.StoreOperation.LIST:
                objects = tuple(
                    item
                    for key, item in sorted(self.objects.items())
                    if key.startswith(call.key)
                )
            case store.StoreOperation.DELETE:
                self.objects.pop(call.key, None)
            case store.StoreOperation.PUT:
                if call.expected_version != (found.version if found else 0):
                    outcome = store.StoreOutcome.CONFLICT
                else:
                    objects = (self.put(call.key, call.value),)
            case store.StoreOperation.GET:
                if found is None:
                    outcome = store.StoreOutcome.NOT_FOUND
        return store.StoreReply(
            call_id=call.call_id,
            outcome=outcome,
            objects=objects,
            revision=self.revision,
        )

    def put(self, key: str, value: bytes) -> store.StoredObject:
        """Stores a value under a new version and returns the object."""
        self.revision += 1
        self.bytes_written += len(value)
        item = store.StoredObject(key, self.revision, value)
        self.objects[key] = item
        return item
