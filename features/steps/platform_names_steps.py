"""Steps that check that only the adapter uses the platform's names."""

import pathlib
import re

from behave import then

from rhubarbbank_platform import headers
from rhubarbbank_platform import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Generic names, and names that the product's own interface uses as well.
GENERIC_NAMES = {
    "X-Deadline-Ms",
    "X-Model",
    "Authorization",
    "Host",
    "Last-Event-Id",
    "Session",
    "*",
    "bearer ",
}
GENERIC_FIELDS = re.compile(
    "^(name|host|kind|priority|sizes|service|weight|max_attempts|public|"
    "resumable|cost|models|version|routes|services|limits|state|zone|slots|"
    "target|duration_s|address|revision|items|events|object|removed|spec|"
    "status|metadata|engine|timeout_ms|has_more|max_header_bytes|"
    "max_body_bytes|traffic_split|deleting|header_timeout_ms|"
    "idle_timeout_ms)$"
)
STRUCTS = (
    wire.Metadata,
    wire.Listing,
    wire.WireRoute,
    wire.WireService,
    wire.WireTenant,
    wire.WireConfiguration,
    wire.WireUpstream,
)


def read_sources(folder):
    return {
        path: path.read_text(encoding="utf-8")
        for path in (ROOT / folder).rglob("*.py")
    }


def list_names():
    names = {
        value
        for name, value in vars(headers).items()
        if name.isupper() and isinstance(value, str)
    }
    names -= GENERIC_NAMES
    fields = {
        field
        for struct in STRUCTS
        for field in struct.__struct_fields__
        if not GENERIC_FIELDS.match(field)
    }
    return names, fields


@then("no header or field name of the platform occurs in the packages")
def check_names(context):
    names, fields = list_names()
    assert len(names) > 10, names
    assert {"path_prefix", "store_revision", "api_keys"} <= fields, fields
    sources = read_sources("packages")
    assert len(sources) > 100
    for path, text in sources.items():
        for name in names:
            assert name.lower() not in text.lower(), (path, name)
        for field in fields:
            assert not re.search(rf"\b{field}\b", text), (path, field)


@then("the adapter has less than a tenth of the product's lines")
def check_size(context):
    adapter = sum(x.count("\n") for x in read_sources("platform").values())
    product = sum(x.count("\n") for x in read_sources("packages").values())
    print(f"{adapter} lines of {adapter + product}")
    assert adapter < 0.1 * (adapter + product)
