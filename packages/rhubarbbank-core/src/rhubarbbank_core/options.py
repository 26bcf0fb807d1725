"""Settings of the entry and the sidecar, and their validation.

A settings file is one JSON object. `check_settings` returns either the
settings or the faults found, each with its field and a remedy. The values are
checked only when all fields are known, present and of the right type.
"""

import dataclasses
import enum
import ipaddress
from typing import TypeVar

import msgspec

from rhubarbbank_core import defaults
from rhubarbbank_core import policies
from rhubarbbank_core import requests

MAX_PORT = 65_535


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an entry host.

    Attributes:
        name: Unique among all processes.
        data_centre: Data centre of the host.
        region: Region of the data centre.
        http_address: Address for callers and operators, "ip:port".
        peer_address: Address for the other processes, "ip:port".
        store_url: Base URL of the object API.
        hosts_url: Base URL of the host list.
        rating_url: Base URL of the rating service; empty for none.
        statsd_address: StatsD server, "ip:port"; empty to send no metrics.
        shards: Number of ledger shards; must be the same on all hosts and
            never change.
        subset_size: Number of upstreams of each version that this entry
            uses.
        store_writes_per_s: Maximum rate of writes to the object API.
        store_reads_per_s: Maximum rate of reads from the object API.
        serve_unconfirmed: Whether to serve while neither the store nor a
            process connected to it is reachable. The guarantee on table
            changes does not hold during that time.
        placement: Policy that chooses among upstreams; values other than the
            default are for experiments.
        cascade: Policy that chooses among models; values other than the
            default are for experiments.
        record_events: Whether to record every event in the log.
        log_level: Lowest level that is logged, such as INFO.
        stop_grace_s: Time limit of a graceful stop.
        seed: Seed of the random number generator; 0 takes one from the
            operating system.
    """

    name: str
    data_centre: str
    region: str
    http_address: str
    peer_address: str
    store_url: str
    hosts_url: str
    rating_url: str = ""
    statsd_address: str = ""
    shards: int = 8
    subset_size: int = 12
    store_writes_per_s: float = 60.0
    store_reads_per_s: float = 120.0
    serve_unconfirmed: bool = False
    placement: policies.PlacementName = policies.PlacementName.MODEL_AWARE
    cascade: policies.CascadeName = policies.CascadeName.MODEL_AWARE
    record_events: bool = False
    log_level: str = "INFO"
    stop_grace_s: float = defaults.STOP_GRACE_S
    seed: int = 0


class SidecarSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a sidecar.

    Attributes:
        name: Unique among all processes.
        data_centre: Data centre of the host.
        region: Region of the data centre.
        peer_address: Address for the other processes, "ip:port".
        upstream: Name of the upstream that this sidecar serves.
        upstream_url: Base URL of the upstream.
        kind: `chat` for a model engine, `service` for a plain service.
        service_version: For a plain service, its `model@version`.
        places: Number of versions that the engine can load at once.
        statsd_address: StatsD server, "ip:port"; empty to send no metrics.
        serve_unconfirmed: As for the entry.
        record_events: Whether to record every event in the log.
        log_level: Lowest level that is logged, such as INFO.
        stop_grace_s: Time limit of a graceful stop.
        seed: Seed of the random number generator; 0 takes one from the
            operating system.
    """

    name: str
    data_centre: str
    region: str
    peer_address: str
    upstream: str
    upstream_url: str
    kind: requests.WorkKind
    service_version: str = ""
    places: int = defaults.PLACES
    statsd_address: str = ""
    serve_unconfirmed: bool = False
    record_events: bool = False
    log_level: str = "INFO"
    stop_grace_s: float = defaults.STOP_GRACE_S
    seed: int = 0


AnySettings = TypeVar("AnySettings", EntrySettings, SidecarSettings)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        field: Name of the field; empty for the file as a whole.
        fault: What is wrong.
        remedy: What to write instead.
    """

    field: str
    fault: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.field or 'file'}: {self.fault} {self.remedy}"


def check_address(field: str, text: str) -> SettingsFault | None:
    """Returns a fault unless the text has the form "ip:port"."""
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        is_valid = 0 < int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if is_valid:
        return None
    return SettingsFault(
        field=field,
        fault=f"{text!r} is not an address.",
        remedy='Write an IP address and a port, such as "127.0.0.1:8080".',
    )


def check_url(field: str, text: str) -> SettingsFault | None:
    """Returns a fault unless the text is an HTTP base URL."""
    if text.startswith(("http://", "https://")) and not text.endswith("/"):
        return None
    return SettingsFault(
        field=field,
        fault=f"{text!r} is not a base URL.",
        remedy='Write it as "http://127.0.0.1:9000", without a trailing slash.',
    )


def check_positive(field: str, number: float) -> SettingsFault | None:
    """Returns a fault unless the number is greater than 0."""
    if number > 0:
        return None
    return SettingsFault(
        field=field,
        fault=f"{number} is not greater than 0.",
        remedy="Write a number greater than 0.",
    )


def check_not_empty(field: str, text: str) -> SettingsFault | None:
    """Returns a fault when the text is empty."""
    if text:
        return None
    return SettingsFault(
        field=field, fault="It is empty.", remedy="Enter a value."
    )


def find_value_faults(
    settings: EntrySettings | SidecarSettings,
) -> list[SettingsFault]:
    """Returns every invalid value in settings with the right types."""
    found = [
        check_not_empty("name", settings.name),
        check_not_empty("data_centre", settings.data_centre),
        check_not_empty("region", settings.region),
        check_address("peer_address", settings.peer_address),
        check_positive("stop_grace_s", settings.stop_grace_s),
    ]
    if settings.statsd_address:
        found.append(check_address("statsd_address", settings.statsd_address))
    if isinstance(settings, EntrySettings):
        found.append(check_address("http_address", settings.http_address))
        found.append(check_url("store_url", settings.store_url))
        found.append(check_url("hosts_url", settings.hosts_url))
        found.append(check_positive("shards", settings.shards))
        if settings.rating_url:
            found.append(check_url("rating_url", settings.rating_url))
    else:
        found.append(check_not_empty("upstream", settings.upstream))
        found.append(check_url("upstream_url", settings.upstream_url))
        found.append(check_service_version(settings))
        found.append(check_positive("places", settings.places))
    return [fault for fault in found if fault is not None]


def check_service_version(settings: SidecarSettings) -> SettingsFault | None:
    """Returns a fault when a plain service has no `model@version`."""
    if settings.kind is requests.WorkKind.CHAT:
        return None
    if settings.service_version.count("@") == 1:
        return None
    return SettingsFault(
        field="service_version",
        fault=f"{settings.service_version!r} is not a model@version.",
        remedy='Write it as "booking@v1".',
    )


def find_field_faults(
    text: bytes, settings_type: type[AnySettings]
) -> list[SettingsFault]:
    """Returns every missing, unknown or wrongly typed field."""
    try:
        given = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        return [
            SettingsFault(
                field="", fault=f"{error}.", remedy="Write one JSON object."
            )
        ]
    known = {x.name: x for x in msgspec.structs.fields(settings_type)}
    faults = [
        SettingsFault(
            field=name, fault="Unknown field.", remedy="Remove or correct it."
        )
        for name in given
        if name not in known
    ]
    for name, field in known.items():
        if name not in given:
            if field.required:
                faults.append(
                    SettingsFault(
                        field=name, fault="It is missing.", remedy="Add it."
                    )
                )
            continue
        try:
            msgspec.json.decode(given[name], type=field.type)
        except msgspec.MsgspecError as error:
            faults.append(
                SettingsFault(
                    field=name,
                    fault=f"{error}.",
                    remedy=describe_remedy(field.type),
                )
            )
    return faults


def describe_remedy(wanted: object) -> str:
    """Returns the remedy for a value of the wrong type."""
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return f"Write one of {', '.join(x.value for x in wanted)}."
    return "Correct its type."


def check_settings(
    text: bytes, settings_type: type[AnySettings]
) -> AnySettings | list[SettingsFault]:
    """Returns the settings in a file's text, or the faults found."""
    faults = find_field_faults(text, settings_type)
    if faults:
        return faults
    settings = msgspec.json.decode(text, type=settings_type)
    return find_value_faults(settings) or settings
