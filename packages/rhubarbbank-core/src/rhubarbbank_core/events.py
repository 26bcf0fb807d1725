"""Input events of the entry's and the sidecar's reducers.

Events are `msgspec.Struct`s, so that the message codec can also record them in
an event log and decode them for a replay.
"""

import enum

import msgspec

from rhubarbbank_core import path_messages
from rhubarbbank_core import requests
from rhubarbbank_core import store
from rhubarbbank_core import wire


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class RequestReceived(Event, frozen=True, tag="request_received"):
    """A caller's request arrived and passed validation."""

    request: requests.CallerRequest


class CallerGone(Event, frozen=True, tag="caller_gone"):
    """The caller closed the connection or reads too slowly."""

    request_id: str


class MessageReceived(Event, frozen=True, tag="message_received"):
    """Another process of the system sent a message."""

    message: wire.AnyMessage


class StoreReplied(Event, frozen=True, tag="store_replied"):
    """A call to the object API ended."""

    reply: store.StoreReply


class Ticked(Event, frozen=True, tag="ticked"):
    """The periodic tick of the timer service."""


class HostsListed(Event, frozen=True, tag="hosts_listed"):
    """The platform's list of hosts was read."""

    hosts: list[wire.ListedHost]


class ListenerRefused(Event, frozen=True, tag="listener_refused"):
    """A host refused a connection: no process listens at the address.

    Attributes:
        name: The entry that the address belongs to.
        address: The entry's peer address.
        asked_at: When the attempt began, as in `effects.AskListener`.
    """

    name: str
    address: str
    asked_at: float


class RatingReceived(Event, frozen=True, tag="rating_received"):
    """The rating service answered or failed.

    Attributes:
        request_id: The request.
        attempt: The attempt that produced the answer.
        rating: From 0 to 1, or None if the service failed.
    """

    request_id: str
    attempt: int
    rating: float | None


class UpstreamData(Event, frozen=True, tag="upstream_data"):
    """The upstream sent events of its answer, or a service its whole body."""

    request_id: str
    attempt: int
    events: list[bytes]


class UpstreamEnd(enum.StrEnum):
    """How a call to the upstream ended.

    COMPLETE: the answer is complete. REFUSED: an HTTP error. UNREACHED: no
    byte of the request left this host. BROKEN: the connection failed after
    the request was sent. TIMED_OUT: this process cancelled the call.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"


class UpstreamEnded(Event, frozen=True, kw_only=True, tag="upstream_ended"):
    """A call to the upstream ended.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        end: How the call ended.
        status: HTTP status, or 0.
        content_type: The content type of a service's answer.
        retry_after_s: The upstream's Retry-After in seconds, or 0.
    """

    request_id: str
    attempt: int
    end: UpstreamEnd
    status: int = 0
    content_type: str = ""
    retry_after_s: float = 0.0


class UpstreamObserved(Event, frozen=True, tag="upstream_observed"):
    """The sidecar polled the upstream's health, load and versions.

    Attributes:
        healthy: Whether the upstream answered.
        load: The upstream's load.
        versions: Loaded versions, as `model@version`; those of a plain
            service come from the settings.
        loading: Versions being loaded, in the same form.
        last_fence: The highest fencing number that the engine has seen, or
            0 if it has seen none.
    """

    healthy: bool
    load: path_messages.Load
    versions: list[str]
    loading: list[str] = []
    last_fence: int = 0


class OrderEnded(Event, frozen=True, tag="order_ended"):
    """The engine answered an order."""

    order_id: int
    status: int


class RetryDue(Event, frozen=True, tag="retry_due"):
    """The delay of a `program_effects.RetryAfter` has elapsed."""

    request_id: str


class StopRequested(Event, frozen=True, tag="stop_requested"):
    """The process was asked to stop gracefully.

    Attributes:
        age_s: Seconds since it was asked. A process that is still starting is
            told only once it has started.
    """

    age_s: float = 0.0


AnyEvent = (
    RequestReceived
    | CallerGone
    | MessageReceived
    | StoreReplied
    | Ticked
    | HostsListed
    | ListenerRefused
    | RatingReceived
    | UpstreamData
    | UpstreamEnded
    | UpstreamObserved
    | OrderEnded
    | RetryDue
    | StopRequested
)
