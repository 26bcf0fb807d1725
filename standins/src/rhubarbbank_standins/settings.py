"""Settings of the stand-ins and how they are read from JSON.

A settings file holds `{"standins": [{"kind": "engine", "port": 9000, ...}]}`.
Every kind has one frozen data class; a field that the file leaves out takes
its default, and a field that the class doesn't know is refused, so that a
misspelt setting or fault is never silently without effect. The same strict
reader serves the bodies of `POST /faults`.
"""

from collections.abc import Sequence
import dataclasses
import pathlib
from typing import ClassVar
from typing import Protocol
from typing import TypeVar

import msgspec


class DataClass(Protocol):
    """Any data class."""

    __dataclass_fields__: ClassVar[dict[str, "dataclasses.Field[object]"]]


Decoded = TypeVar("Decoded", bound=DataClass)


class SettingsError(ValueError):
    """A settings file or a fault body that can't be used."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectApiSettings:
    """Settings of the object API.

    Attributes:
        kind: Always "object_api".
        port: Where it listens on 127.0.0.1.
        seed: Seed of its random faults.
        writes_per_s: Rate of PUT and DELETE above which it answers 429.
        reads_per_s: Rate of GET, list and watch above which it answers 429.
        burst_s: How many seconds' worth of calls may come at once.
    """

    kind: str
    port: int
    seed: int = 1
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    burst_s: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Settings of a model engine.

    Attributes:
        kind: Always "engine".
        port: Where it listens on 127.0.0.1.
        name: Its name, as it reports it.
        seed: Seed of its random faults.
        versions: What is loaded at the start, as "model@version".
        role: Its role at the start.
        mean_tokens: Mean answer length by model, in tokens.
        default_mean_tokens: The mean for a model not named there.
        max_batch: How many streams run at once.
        base_step_ms: Time of one step with an empty batch.
        per_running_ms: What each running stream adds to a step.
        prefill_tokens_per_s: How fast prompt tokens are taken in.
        cache_blocks: Capacity of the prefix cache, in 64-character blocks.
        cache_event_lag_s: How late cache events are published.
        cache_event_drop: Share of cache events never published.
        load_lag_s: How often the reported load is refreshed.
        check_fence: Whether an order with an old fence is refused.
        load_seconds: How long loading a version takes.
        weights_url: The weight store, as "http://ip:port"; empty for none.
        restart_s: How long a crashed engine stays away.
    """

    kind: str
    port: int
    name: str = ""
    seed: int = 1
    versions: Sequence[str] = ()
    role: str = "mixed"
    mean_tokens: dict[str, float] = dataclasses.field(default_factory=dict)
    default_mean_tokens: float = 100.0
    max_batch: int = 32
    base_step_ms: float = 15.0
    per_running_ms: float = 0.2
    prefill_tokens_per_s: float = 8000.0
    cache_blocks: int = 4096
    cache_event_lag_s: float = 0.5
    cache_event_drop: float = 0.0
    load_lag_s: float = 0.5
    check_fence: bool = True
    load_seconds: float = 1.0
    weights_url: str = ""
    restart_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSettings:
    """Settings of a plain service.

    Attributes:
        kind: Always "service".
        port: Where it listens on 127.0.0.1.
        name: Its name, as it reports it.
        seed: Seed of its random faults.
        service_time_ms: How long one call takes.
        max_parallel: How many calls run at once; others wait.
        load_lag_s: How often the reported load is refreshed.
        restart_s: How long a crashed service stays away.
    """

    kind: str
    port: int
    name: str = ""
    seed: int = 1
    service_time_ms: float = 10.0
    max_parallel: int = 8
    load_lag_s: float = 0.5
    restart_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingSettings:
    """Settings of the rating service.

    Attributes:
        kind: Always "rating".
        port: Where it listens on 127.0.0.1.
        seed: Seed of the noise and of the random faults.
        qualities: True quality, 0 to 1, by "model@version" and then by
            request class; the class "*" stands for all others.
        default_quality: The quality of what isn't named there.
        noise_concentration: How closely ratings gather around the true
            quality; small values give ratings near 0 or 1.
        delay_s: How long a rating takes.
    """

    kind: str
    port: int
    seed: int = 1
    qualities: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    default_quality: float = 0.5
    noise_concentration: float = 4.0
    delay_s: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightsSettings:
    """Settings of the weight store.

    Attributes:
        kind: Always "weights".
        port: Where it listens on 127.0.0.1.
        fetch_seconds: How long one fetch takes.
        fetches_per_minute: How many fetches may start within any minute.
    """

    kind: str
    port: int
    fetch_seconds: float = 1.0
    fetches_per_minute: int = 30


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """One host as the platform lists it.

    Attributes:
        name: Its unique name.
        role: "entry" or "sidecar".
        data_centre: Where it stands.
        region: The region of its data centre.
        peer_address: Where its process hears other processes, "ip:port".
        http_address: Where its process serves HTTP, "ip:port".
        upstream: For a sidecar the upstream beside it, "ip:port".
        kind: For a sidecar "engine" or "service"; empty for an entry.
        state: "live" or "leaving".
    """

    name: str
    role: str
    data_centre: str = ""
    region: str = ""
    peer_address: str = ""
    http_address: str = ""
    upstream: str = ""
    kind: str = ""
    state: str = "live"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostsSettings:
    """Settings of the host list.

    Attributes:
        kind: Always "hosts".
        port: Where it listens on 127.0.0.1.
        hosts: The list at the start.
        lag_s: How far the list lags behind.
    """

    kind: str
    port: int
    hosts: tuple[Host, ...] = ()
    lag_s: float = 0.0


StandinSettings = (
    ObjectApiSettings
    | EngineSettings
    | ServiceSettings
    | RatingSettings
    | WeightsSettings
    | HostsSettings
)

SETTINGS_BY_KIND: dict[str, type[StandinSettings]] = {
    "object_api": ObjectApiSettings,
    "engine": EngineSettings,
    "service": ServiceSettings,
    "rating": RatingSettings,
    "weights": WeightsSettings,
    "hosts": HostsSettings,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """The one field that tells which class reads a stand-in's settings."""

    kind: str


def decode_strictly(data: bytes, target: type[Decoded]) -> Decoded:
    """Reads JSON into a data class and refuses fields it doesn't know.

    Args:
        data: One JSON object; empty bytes stand for `{}`.
        target: The data class to fill.

    Raises:
        SettingsError: If the JSON is broken, a field is unknown, or a value
            has the wrong type.
    """
    data = data or b"{}"
    try:
        given = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        decoded = msgspec.json.decode(data, type=target)
    except msgspec.DecodeError as error:
        raise SettingsError(f"{target.__name__}: {error}") from error
    known = {field.name for field in dataclasses.fields(target)}
    unknown = sorted(given.keys() - known)
    if unknown:
        raise SettingsError(f"{target.__name__}: unknown fields {unknown}")
    return decoded


def decode_standin(data: bytes) -> StandinSettings:
    """Reads one stand-in's settings by their `kind`.

    Raises:
        SettingsError: If the kind is unknown or its settings are unusable.
    """
    try:
        kind = msgspec.json.decode(data, type=Kind).kind
    except msgspec.DecodeError as error:
        raise SettingsError(str(error)) from error
    if kind not in SETTINGS_BY_KIND:
        raise SettingsError(f"unknown kind {kind!r}")
    return decode_strictly(data, SETTINGS_BY_KIND[kind])


def read_bundle(path: pathlib.Path) -> tuple[StandinSettings, ...]:
    """Reads a settings file with a list of stand-ins.

    Raises:
        SettingsError: If the file is no such list.
    """
    try:
        listed = msgspec.json.decode(
            path.read_bytes(), type=dict[str, list[msgspec.Raw]]
        )
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    if set(listed) != {"standins"}:
        raise SettingsError(f'{path}: wants the one field "standins"')
    return tuple(decode_standin(bytes(raw)) for raw in listed["standins"])


def read_one(path: pathlib.Path, kind: str) -> StandinSettings:
    """Reads a settings file of a single stand-in; `kind` may be left out.

    Raises:
        SettingsError: If the file does not describe a stand-in of `kind`.
    """
    try:
        given = msgspec.json.decode(
            path.read_bytes(), type=dict[str, msgspec.Raw]
        )
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    given.setdefault("kind", msgspec.Raw(msgspec.json.encode(kind)))
    settings = decode_standin(msgspec.json.encode(given))
    if settings.kind != kind:
        raise SettingsError(f"{path}: describes a {settings.kind}")
    return settings
