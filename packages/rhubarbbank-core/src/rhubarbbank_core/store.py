"""Calls to the platform's object API, as data.

A coordination component returns a `StoreCall` as an effect; the shell executes
it over HTTP and passes back a `StoreReply` with the same call id. Components
do no I/O themselves. The object API gives every object a version that grows
with each change, and supports conditional writes. The answer to a call that
took effect may be lost.
"""

import dataclasses
import enum

ABSENT_VERSION = 0


class StoreOperation(enum.StrEnum):
    """The operation of a call.

    GET reads one object. PUT writes one object if its version is
    `expected_version` (`ABSENT_VERSION`: only if it does not exist). DELETE
    removes one object at any version. LIST reads all objects whose key
    starts with `key`. WATCH waits until an object under the prefix `key`
    changes after the store revision `expected_version`.
    """

    GET = "get"
    PUT = "put"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


class StoreOutcome(enum.StrEnum):
    """How a call ended.

    CONFLICT: the condition did not hold; nothing changed. THROTTLED: the
    store's rate limit refused the call; nothing changed. UNAVAILABLE: the call
    did not reach the store. UNKNOWN: the answer was lost; the call may have
    taken effect.
    """

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    THROTTLED = "throttled"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object as the store returned it.

    Attributes:
        key: The object's name, a path separated by slashes.
        version: The object's version, at least 1.
        value: The content, up to a megabyte.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCall:
    """An effect: one call to the object API.

    Attributes:
        call_id: Id that is unique within the process; the reply repeats it.
        operation: The operation.
        key: The object's key, or the prefix for LIST and WATCH.
        value: The content that a PUT writes.
        expected_version: The version that a PUT requires; for WATCH, the
            store revision after which changes are reported.
        timeout_s: The time after which the shell replies UNKNOWN.
    """

    call_id: int
    operation: StoreOperation
    key: str
    value: bytes = b""
    expected_version: int = ABSENT_VERSION
    timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreReply:
    """An event: how one call ended.

    Attributes:
        call_id: The id of the call.
        outcome: How the call ended.
        objects: The objects read (GET: one; LIST, WATCH: any number); for a
            PUT that took effect, the object with its new version; for a
            CONFLICT, the current object if the store returned it.
        revision: The store's revision when it answered a LIST or WATCH.
    """

    call_id: int
    outcome: StoreOutcome
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
