"""A plain object store in memory, with faults chosen call by call."""

import enum

from rhubarbbank_core import store


class Fault(enum.Enum):
    """What happens to one call."""

    NONE = "none"
    ANSWER_LOST = "answer lost"
    REQUEST_LOST = "request lost"
    DELAYED = "delayed"
    THROTTLED = "throttled"
    DOWN = "down"


class FakeStore:
    """Applies calls at once; `delayed` ones when `land` is called."""

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.applied = []
        self.delayed = []

    def call(self, call, fault=Fault.NONE):
        outcome = store.StoreOutcome.UNKNOWN
        if fault is Fault.NONE:
            return self.apply(call)
        if fault is Fault.ANSWER_LOST:
            self.apply(call)
        if fault is Fault.DELAYED:
            self.delayed.append(call)
        if fault is Fault.THROTTLED:
            outcome = store.StoreOutcome.THROTTLED
        if fault is Fault.DOWN:
            outcome = store.StoreOutcome.UNAVAILABLE
        return store.StoreReply(call_id=call.call_id, outcome=outcome)

    def land(self):
        delayed, self.delayed = self.delayed, []
        for call in delayed:
            self.apply(call)

    def apply(self, call):
        outcome = store.StoreOutcome.OK
        found = self.objects.get(call.key)
        objects = (found,) if found else ()
        if call.operation is store.StoreOperation.LIST:
            objects = tuple(
                item
                for key, item in sorted(self.objects.items())
                if key.startswith(call.key)
            )
        elif call.operation is store.StoreOperation.DELETE:
            self.objects.pop(call.key, None)
        elif call.operation is store.StoreOperation.PUT:
            if call.expected_version != (found.version if found else 0):
                outcome = store.StoreOutcome.CONFLICT
            else:
                self.revision += 1
                item = store.StoredObject(call.key, self.revision, call.value)
                self.objects[call.key] = item
                self.applied.append(call.value)
                objects = (item,)
        elif not found:
            outcome = store.StoreOutcome.NOT_FOUND
        return store.StoreReply(
            call_id=call.call_id,
            outcome=outcome,
            objects=objects,
            revision=self.revision,
        )
