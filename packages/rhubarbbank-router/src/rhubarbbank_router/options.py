"""Settings of a router: their form, and a check that finds all faults."""

import msgspec

from rhubarbbank_core import options


class RouterBounds(msgspec.Struct, frozen=True, kw_only=True):
    """What the deployment's operators have agreed with their users.

    Attributes:
        revoke_ms: After this a key that was taken away opens nothing.
        grace_s: From the request to stop until the process is killed.
        retry_ratio: Additional sends to a service for each request.
        retry_extra: Additional sends besides, in each window.
        retry_window_s: The window's length.
        config_apply_ms: After this a change of the configuration is in force
            everywhere.
        drain_ms: After this an upstream that leaves gets nothing new.
        session_s: Requests of a session follow each other within this.
    """

    revoke_ms: float = 5_000.0
    grace_s: float = 8.0
    retry_ratio: float = 0.5
    retry_extra: float = 10.0
    retry_window_s: float = 10.0
    config_apply_ms: float = 2_000.0
    drain_ms: float = 2_000.0
    session_s: float = 5.0


class RouterSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry that routes on a platform.

    Attributes:
        name: Unique among all entries.
        data_centre: Where the host stands.
        caller_address: Where callers connect, "ip:port".
        ready_address: Where the balancer asks, "ip:port".
        metrics_address: Where metrics are read, "ip:port".
        peer_address: Where other entries connect, "ip:port".
        store_address: The platform's store, "ip:port".
        bounds: What has been agreed with users.
        log_level: Such as INFO.
        seed: Of the process's randomness; 0 takes the system's.
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


ADDRESS_FIELDS = (
    "caller_address",
    "ready_address",
    "metrics_address",
    "peer_address",
    "store_address",
)


def parse_settings(
    text: bytes,
) -> RouterSettings | list[options.SettingsFault]:
    """Returns the settings in a JSON text, or every fault in it."""
    try:
        settings = msgspec.json.decode(text, type=RouterSettings)
    except msgspec.MsgspecError as error:
        return [
            options.SettingsFault(
                field="file",
                fault=str(error),
                remedy="Correct this field; the others are checked after it.",
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
            remedy="Write the bound that was agreed with the users.",
        )
        for field in settings.bounds.__struct_fields__
        if getattr(settings.bounds, field) <= 0
    ]
    if not settings.name:
        faults.append(
            options.SettingsFault(
                field="name",
                fault="it is empty",
                remedy="Write a name that no other entry has.",
            )
        )
    return faults or settings
