"""Fresh reducers of the fleet in memory, the same for the same arguments."""

import random

from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_control
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar
from rhubarbbank_core import sidecar_control
from rhubarbbank_core import wire

ENTRIES = ("entry-0", "entry-1")
ENGINES = ("engine-0", "engine-1")
SERVICES = ("service-0",)


def make_reducer(
    name: str, incarnation: int
) -> entry.EntryReducer | sidecar.SidecarReducer:
    """Returns a fresh reducer; the same for the same arguments."""
    rng = random.Random(f"{name}/{incarnation}")
    if name in ENTRIES:
        return entry.EntryReducer(
            identity=entry_control.EntryIdentity(
                name=name,
                incarnation=incarnation,
                peer_address=name,
                data_centre="here",
                region="region",
            ),
            settings=entry_control.ControlSettings(shards=2),
            call_ids=effects.CallIds(),
            rng=rng,
        )
    kind = requests.WorkKind.CHAT
    if name in SERVICES:
        kind = requests.WorkKind.SERVICE
    return sidecar.SidecarReducer(
        identity=sidecar_control.SidecarIdentity(
            name=name,
            incarnation=incarnation,
            peer_address=name,
            data_centre="here",
            upstream=name,
            kind=kind,
        ),
        call_ids=effects.CallIds(),
        rng=rng,
    )


def list_hosts() -> list[wire.ListedHost]:
    """Returns the platform's list."""
    return [
        wire.ListedHost(
            name=name,
            role="entry" if name in ENTRIES else "sidecar",
            data_centre="here",
            region="region",
            peer_address=name,
            upstream="" if name in ENTRIES else name,
            kind={"engine": "engine", "service": "service"}.get(
                name.partition("-")[0], ""
            ),
        )
        for name in (
            *ENTRIES,
            *ENGINES,
            *SERVICES,
        )
    ]
