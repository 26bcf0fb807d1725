"""Descriptions of the deployments that tests, demo and experiments run.

A deployment file says which models, organisations and request classes there
are; `build_table` turns it into the operators' table.
"""

import pathlib

import msgspec

from rhubarbbank_core import table
from rhubarbbank_core import table_codec

BOOKING_CLASS = "booking"


class ModelSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One model version.

    Attributes:
        model: Its name.
        version: Its version.
        price_per_1k_tokens: In millicents.
        mean_tokens: Mean length of an answer.
        classes: Request classes that it may serve; empty means all.
        quality_target: In per mille.
        qualities: True quality by request class, 0 to 1.
    """

    model: str
    version: str
    price_per_1k_tokens: int
    mean_tokens: int
    classes: tuple[str, ...]
    quality_target: int
    qualities: dict[str, float]

    @property
    def key(self) -> str:
        """As `model@version`."""
        return f"{self.model}@{self.version}"


class OrganisationSpec(msgspec.Struct, frozen=True):
    """One organisation and its allowance a minute."""

    name: str
    requests_per_minute: int


class ClassSpec(msgspec.Struct, frozen=True):
    """One request class: its share of the traffic and a prompt."""

    name: str
    share: int
    prompt: str


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment.

    Attributes:
        name: Its name.
        region: Where it stands.
        data_centres: Those of its region.
        entries: Number of entry hosts.
        engines: Number of model engines.
        services: Number of runners of the plain service.
        service: The plain service, as `model@version`.
        models: All model versions; each engine loads all of them.
        organisations: The customers.
        classes: The request classes.
    """

    name: str
    region: str
    data_centres: list[str]
    entries: int
    engines: int
    services: int
    service: str
    models: list[ModelSpec]
    organisations: list[OrganisationSpec]
    classes: list[ClassSpec]


def read_deployment(path: pathlib.Path) -> Deployment:
    """Returns the deployment in a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=Deployment)


def build_rows(deployment: Deployment) -> tuple[table.Row, ...]:
    """Returns the table's rows: every organisation may use everything."""
    rows = []
    service, _, service_version = deployment.service.partition("@")
    chat_classes = tuple(
        x.name for x in deployment.classes if x.name != BOOKING_CLASS
    )
    for organisation in deployment.organisations:
        for spec in deployment.models:
            rows.append(
                table.Row(
                    organisation=organisation.name,
                    model=spec.model,
                    version=spec.version,
                    classes=spec.classes or chat_classes,
                    requests_per_minute=organisation.requests_per_minute,
                    price_per_1k_tokens=spec.price_per_1k_tokens,
                    quality_target=spec.quality_target,
                )
            )
        rows.append(
            table.Row(
                organisation=organisation.name,
                model=service,
                version=service_version,
                classes=(BOOKING_CLASS,),
                requests_per_minute=organisation.requests_per_minute,
                price_per_1k_tokens=10,
            )
        )
    return tuple(
        sorted(rows, key=lambda x: (x.organisation, x.model, x.version))
    )


def encode_table(deployment: Deployment) -> bytes:
    """Returns the first table as the object API keeps it."""
    return table_codec.encode_table(
        table_codec.StoredTable(
            table=table.Table(revision=1, rows=build_rows(deployment)),
            write_id=f"{deployment.name}/first",
        )
    )
