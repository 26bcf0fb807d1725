"""Effects shared by the coordination components.

A component is a state machine without I/O: each method takes the time `now` in
seconds and one event, updates the component's state and returns a list of
effects. `Send` sends a message to another process, `store.StoreCall` calls the
object API, and `AskListener` checks whether a process listens at an address.
The remaining effects are in `program_effects`.
"""

import dataclasses

import msgspec

from rhubarbbank_core import store


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between the system's own processes.

    Each subclass sets a short `tag` that is unique across all modules and is
    listed in the union in `wire.py`. Messages are structs instead of data
    classes because the codec selects the class by its tag.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to the process that listens at `address`.

    Attributes:
        address: The peer address of the receiver, as "ip:port".
        message: The message. It may be lost, delayed, duplicated or
            reordered.
    """

    address: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class AskListener:
    """Opens a connection to check whether an entry's address refuses it.

    Attributes:
        name: The entry.
        address: Its peer address, as "ip:port".
        asked_at: When the attempt begins, in seconds; the resulting event
            repeats it.
    """

    name: str
    address: str
    asked_at: float


CoordinationEffect = Send | store.StoreCall | AskListener


class CallIds:
    """Allocates call ids that are unique within one process."""

    def __init__(self) -> None:
        self.last_id = 0

    def allocate(self) -> int:
        """Returns the next call id; the first is 1."""
        self.last_id += 1
        return self.last_id
