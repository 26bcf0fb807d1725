"""What the entries of a mix are told: settings, configuration, upstreams."""

from rhubarbbank_experiments import mix_engine
from rhubarbbank_experiments import mix_service
from rhubarbbank_experiments import mix_settings
from rhubarbbank_router import configuration
from rhubarbbank_router import options
from rhubarbbank_router import peers
from rhubarbbank_router import upstreams

HOST = "api.example"
MODELS_SERVICE = "models"
PLAIN_SERVICE = "plain"
VERSION = "v1"
FIRST_PEER_PORT = 20_000
UNUSED_ADDRESS = "127.0.0.1:1"

Built = tuple[
    upstreams.Upstream, mix_engine.Engine | None, mix_service.Service | None
]


def place_of(mix: mix_settings.Mix, number: int) -> str:
    """Returns the data centre of the n-th entry, engine or service."""
    return mix.data_centres[number % len(mix.data_centres)]


def name_entry(number: int) -> str:
    """Returns an entry's name."""
    return f"entry-{number}"


def find_entry(address: str) -> int:
    """Returns which entry hears its peers at an address."""
    return int(address.rpartition(":")[2]) - FIRST_PEER_PORT


def list_peers(
    mix: mix_settings.Mix, number: int
) -> tuple[peers.PeerAddress, ...]:
    """Returns where the other entries hear their peers."""
    return tuple(
        peers.PeerAddress(name=name_entry(x), address=peer_address(x))
        for x in range(mix.entries)
        if x != number
    )


def peer_address(number: int) -> str:
    """Returns where an entry hears its peers."""
    return f"127.0.0.1:{FIRST_PEER_PORT + number}"


def build_settings(
    mix: mix_settings.Mix, number: int
) -> options.RouterSettings:
    """Returns the settings of one entry."""
    return options.RouterSettings(
        name=name_entry(number),
        data_centre=place_of(mix, number),
        caller_address=UNUSED_ADDRESS,
        ready_address=UNUSED_ADDRESS,
        metrics_address=UNUSED_ADDRESS,
        peer_address=peer_address(number),
        store_address=UNUSED_ADDRESS,
        bounds=options.RouterBounds(
            retry_ratio=mix.retry.ratio,
            retry_extra=mix.retry.extra,
            retry_window_s=mix.retry.window_s,
        ),
    )


def build_route(
    mix: mix_settings.Mix, wanted: mix_settings.MixClass
) -> configuration.Route:
    """Returns the route of a class."""
    service = MODELS_SERVICE if wanted.is_generation else PLAIN_SERVICE
    sizes = tuple(x.name for x in mix.models) if wanted.is_generation else ()
    return configuration.Route(
        name=wanted.name,
        host=HOST,
        prefix=f"/{wanted.name}/",
        kind=wanted.kind,
        services=(configuration.WeightedService(service=service, weight=1.0),),
        max_attempts=wanted.attempts,
        timeout_s=wanted.wait_s,
        target_latency_s=wanted.objective_s,
        target_gap_s=wanted.pause_s,
        priority=wanted.priority,
        sizes=sizes,
        resumable=wanted.is_generation,
    )


def build_configuration(
    mix: mix_settings.Mix,
) -> configuration.Configuration:
    """Returns the configuration; no keys are used."""
    prices = tuple(
        configuration.ModelPrice(name=x.name, cost=x.cost) for x in mix.models
    )
    return configuration.Configuration(
        version=1,
        revision=1,
        routes=tuple(build_route(mix, x) for x in mix.classes),
        services={
            MODELS_SERVICE: configuration.Service(
                name=MODELS_SERVICE, max_connections=1_000, models=prices
            ),
            PLAIN_SERVICE: configuration.Service(
                name=PLAIN_SERVICE, max_connections=1_000
            ),
        },
        keys=None,
    )


def build_hosts(mix: mix_settings.Mix) -> list[Built]:
    """Returns all upstreams and what runs there."""
    built: list[Built] = []
    for number in range(mix.engines.count):
        listed = build_upstream(mix, MODELS_SERVICE, number, mix.engines.slots)
        built.append((listed, mix_engine.Engine(mix.engines), None))
    for number in range(mix.services.count):
        listed = build_upstream(mix, PLAIN_SERVICE, number, mix.services.slots)
        built.append((listed, None, mix_service.Service(mix.services)))
    return built


def build_upstream(
    mix: mix_settings.Mix, service: str, number: int, slots: int
) -> upstreams.Upstream:
    """Returns an upstream as the platform lists it."""
    return upstreams.Upstream(
        upstream_id=f"{service}-{number}",
        service=service,
        address=UNUSED_ADDRESS,
        data_centre=place_of(mix, number),
        version=VERSION,
        slots=slots,
    )
