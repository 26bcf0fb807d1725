"""The operators' configuration as the router uses it: typed and frozen.

The adapter of a platform builds these from what its store holds; intake and
dispatch read them. A configuration is replaced as a whole.
"""

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """What may be repeated on a route.

    IDEMPOTENT: any request may run more than once. NON_IDEMPOTENT: at most
    once. STREAM: a stream of events, at most once unless it may be resumed.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its share relative to the others'; at least 0.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route.

    Attributes:
        name: Unique in the configuration.
        host: The Host header that it serves, without a port.
        prefix: The path's beginning, with a slash at both ends.
        kind: What may be repeated.
        services: Where its requests go, by weight.
        max_attempts: Most upstreams that one request may run on.
        timeout_s: Longest time until the final answer.
        objective_s: Time to the answer, or to a stream's first event, within
            which it earns its full worth.
        pause_s: Longest pause between a stream's events that is on time.
        priority: 0 is the most urgent.
        sizes: Models that may answer, smallest first; empty where the
            request names its model.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    max_attempts: int
    timeout_s: float
    objective_s: float
    pause_s: float
    priority: int
    sizes: tuple[str, ...] = ()
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelPrice:
    """A model of a service.

    Attributes:
        name: The model.
        cost: Per 1,000 tokens generated; tokens read count as a quarter.
    """

    name: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service, run by upstreams.

    Attributes:
        name: The service.
        max_connections: What one upstream takes from all callers together.
        models: Its models; empty for a plain service.
    """

    name: str
    max_connections: int
    models: tuple[ModelPrice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer.

    Attributes:
        name: As upstreams know it.
        priority: Goes before the route's; None where it has none.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
        max_header_bytes: Of a request's head.
        max_body_bytes: Of a request's body.
        header_timeout_s: From a head's first byte to its last.
        idle_timeout_s: Between two requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: As the operators count it.
        revision: Of the store, which grows with each change.
        routes: All routes.
        services: All services by name.
        keys: The organisation of each key; None where no keys are used.
        limits: Bounds on callers.
    """

    version: int
    revision: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, Organisation] | None
    limits: CallerLimits = CallerLimits()
