"""The operators' configuration as immutable, typed objects.

The platform adapter builds these objects from the contents of its store;
`intake` and `dispatch` read them. A configuration is only replaced as a whole.
"""

import dataclasses
import enum

# Version, era of the store and revision of a configuration.
Precedence = tuple[int, int, int]
NO_CONFIGURATION: Precedence = (0, 0, 0)


class RouteKind(enum.StrEnum):
    """Whether a route's requests may be retried.

    IDEMPOTENT: a request may run more than once. NON_IDEMPOTENT: a request
    runs at most once. STREAM: the response is an event stream; the request
    runs at most once unless the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that receives a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its relative share; at least 0.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Matches requests by host and path, and says how to serve them.

    Attributes:
        name: The route's name, unique in the configuration.
        host: The Host header that the route matches, without a port.
        prefix: The path prefix that the route matches, with a leading and a
            trailing slash.
        kind: Whether requests may be retried.
        services: The services that requests are distributed to, by weight.
        max_attempts: The maximum number of upstreams that may run a request.
        timeout_s: The maximum time until the response is complete.
        target_latency_s: Time within which the response, or the first event
            of a stream, has its full value.
        target_gap_s: The longest gap between two events of a stream that
            still counts as on time.
        priority: The default priority; 0 is the most urgent.
        sizes: The models that may answer, smallest first; empty if the
            request names its model.
        public: Whether requests are accepted without an API key.
        resumable: Whether a stream may be continued by another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    max_attempts: int
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    priority: int
    sizes: tuple[str, ...] = ()
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelPrice:
    """A model of a service and its price.

    Attributes:
        name: The model's name.
        cost: The cost of 1,000 generated tokens; a prompt token costs a
            quarter of a generated one.
    """

    name: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service that one or more upstreams provide.

    Attributes:
        name: The service's name.
        max_connections: The number of connections that one upstream accepts
            from all callers together.
        models: The service's models; empty if it isn't an engine.
        cold_duration_s: For how long an upstream that starts during traffic is
            cold, in seconds.
        cold_rate_per_s: Requests a second that a cold upstream tolerates from
            all entries together; 0 if upstreams are never cold.
    """

    name: str
    max_connections: int
    models: tuple[ModelPrice, ...] = ()
    cold_duration_s: float = 0.0
    cold_rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """The tenant that an API key belongs to.

    Attributes:
        name: The name that is sent to upstreams.
        priority: Overrides the route's priority; None to keep it.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the requests and connections of a caller.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_s: Maximum time from the first byte of a head to its
            last byte.
        idle_timeout_s: Maximum time between two requests on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: The version number that the operators assigned; each new
            version has a higher one.
        revision: The store's revision of this version; it grows with every
            change in the store, until the store is restored from a copy.
        era: The store's era in which it was read.
        encoded: Its content in compressed form, as one entry sends it to
            another; empty if unknown. Only the platform adapter can decode it.
        routes: All routes.
        services: All services by name.
        keys: The organisation of each API key; None if the deployment uses
            no keys.
        limits: Limits that apply to all callers.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, Organisation] | None
    limits: CallerLimits = CallerLimits()
    era: int = 0
    encoded: bytes = dataclasses.field(default=b"", repr=False, compare=False)

    @property
    def precedence(self) -> Precedence:
        """Orders configurations; a newer one is greater.

        The version comes first: a store that was restored from a copy holds
        an older version until the operators write the newest one again.
        """
        return self.version, self.era, self.revision
