"""The settings of a router and their validation."""

import msgspec

from rhubarbbank_core import options

# More hedges would repeat answers that are no slower than others.
MAX_HEDGE_SHARE = 0.2


class RouterBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Service-level bounds that the operators guarantee to their users.

    Attributes:
        revoke_ms: Maximum time after which a revoked API key is rejected.
        grace_s: Time from a stop request until the process is killed.
        retry_ratio: Maximum number of retries per request to a service.
        retry_extra: Retries allowed beyond `retry_ratio` in each window.
        retry_window_s: Length of the window of the retry limits.
        config_apply_ms: Maximum time after which a configuration change is
            active on all entries.
        drain_ms: Maximum time after which a leaving upstream receives no new
            requests.
        session_s: Maximum time between two requests of a session.
        evac_ms: Maximum time after which the upstreams of an evacuated data
            centre receive no new requests; None if evacuations aren't
            followed. Setting or unsetting it requires a restart.
        cold_overshoot: Factor by which the rate that a cold upstream tolerates
            may be exceeded in one second; None if upstreams are never cold.
        cold_slack: Requests allowed beyond that; None likewise.
    """

    revoke_ms: float = 5_000.0
    grace_s: float = 8.0
    retry_ratio: float = 0.5
    retry_extra: float = 10.0
    retry_window_s: float = 10.0
    config_apply_ms: float = 2_000.0
    drain_ms: float = 2_000.0
    session_s: float = 5.0
    evac_ms: float | None = None
    cold_overshoot: float | None = None
    cold_slack: float | None = None


class HedgingSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limit on hedges: second attempts for requests that are slow.

    Attributes:
        max_share: Largest share of the requests that may be repeated which
            get a hedge; above 0, at most MAX_HEDGE_SHARE.
    """

    max_share: float


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The host's limits on the process; None for those that it finds itself.

    Attributes:
        memory_mb: Memory, in MB.
        max_descriptors: Descriptors that the process may open.
        link_mbps: Bandwidth of the host's link, in Mbit/s.
    """

    memory_mb: float | None = None
    max_descriptors: int | None = None
    link_mbps: float | None = None


class RouterSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry that routes on a platform.

    Addresses have the form "ip:port".

    Attributes:
        name: The entry's name, unique among all entries.
        data_centre: The data centre in which the entry runs.
        caller_address: Listening address for callers.
        ready_address: Listening address for the load balancer's readiness
            checks.
        metrics_address: Listening address for metrics.
        peer_address: Listening address for other entries.
        store_address: Address of the platform's store.
        bounds: Service-level bounds.
        log_level: Name of the lowest level to log, such as INFO.
        seed: Seed of the random number generator; 0 to seed it from the
            system.
        hedging: Limit on hedges; None for no hedges.
        host: The host's limits on the process.
    """

    name: str
    data_centre: str
    caller_address: str
    ready_address: str
    metrics_address: str
    peer_address: str
    store_address: str
    bounds: RouterBounds = RouterBounds()
    log_level: str = "INFO"
    seed: int = 0
    hedging: HedgingSettings | None = None
    host: HostSettings = HostSettings()


ADDRESS_FIELDS = (
    "caller_address",
    "ready_address",
    "metrics_address",
    "peer_address",
    "store_address",
)


def is_too_low(field: str, value: float | None) -> bool:
    """Returns whether a bound is too low; None means that there is none."""
    if value is None:
        return False
    return value < 0 if field == "cold_slack" else value <= 0


def parse_settings(
    text: bytes,
) -> RouterSettings | list[options.SettingsFault]:
    """Parses settings from JSON; returns all faults if they are invalid."""
    try:
        settings = msgspec.json.decode(text, type=RouterSettings)
    except msgspec.MsgspecError as error:
        return [
            options.SettingsFault(
                field="file",
                fault=str(error),
                remedy="Correct this field; other fields aren't checked yet.",
            )
        ]
    found = [
        options.check_address(field, getattr(settings, field))
        for field in ADDRESS_FIELDS
    ]
    faults = [fault for fault in found if fault is not None]
    faults += [
        options.SettingsFault(
            field=f"bounds.{field}",
            fault=f"{getattr(settings.bounds, field)} is not above 0",
            remedy="Set it to the bound agreed with the users.",
        )
        for field in settings.bounds.__struct_fields__
        if is_too_low(field, getattr(settings.bounds, field))
    ]
    if not settings.name:
        faults.append(
            options.SettingsFault(
                field="name",
                fault="it is empty",
                remedy="Set a name that no other entry has.",
            )
        )
    faults += check_hedging(settings.hedging)
    return faults or settings


def list_changes(
    before: msgspec.Struct, after: msgspec.Struct, *, prefix: str = ""
) -> list[str]:
    """Returns the names of the fields that differ, such as "bounds.grace_s"."""
    names: list[str] = []
    for field in before.__struct_fields__:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        name = prefix + field
        if isinstance(old, msgspec.Struct) and isinstance(new, type(old)):
            names += list_changes(old, new, prefix=f"{name}.")
        else:
            names.append(name)
    return names


def check_hedging(
    settings: HedgingSettings | None,
) -> list[options.SettingsFault]:
    """Returns the faults in the limit on hedges."""
    if settings is None or 0.0 < settings.max_share <= MAX_HEDGE_SHARE:
        return []
    return [
        options.SettingsFault(
            field="hedging.max_share",
            fault=f"{settings.max_share} isn't above 0 and at most"
            f" {MAX_HEDGE_SHARE}",
            remedy="Set a share such as 0.05, or leave out hedging.",
        )
    ]
