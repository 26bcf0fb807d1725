"""Initial inputs of the entry's and the sidecar's reducers.

Reducers that are built from the same start record and process the same events
produce the same effects. An event log therefore begins with the start record
of its process.
"""

import random

import msgspec

from rhubarbbank_core import effects
from rhubarbbank_core import entry
from rhubarbbank_core import entry_control
from rhubarbbank_core import options
from rhubarbbank_core import policies
from rhubarbbank_core import sidecar
from rhubarbbank_core import sidecar_control


class EntryStart(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="entry"
):
    """Everything needed to build an entry's reducer.

    Attributes:
        settings: The entry's settings.
        incarnation: Number that grows with each start of the process.
        seed: Seed of the reducer's random number generator.
        clock_offset_s: As in `entry_control.EntryIdentity`.
    """

    settings: options.EntrySettings
    incarnation: int
    seed: int
    clock_offset_s: float

    def build_reducer(self) -> entry.EntryReducer:
        """Returns a new reducer."""
        settings = self.settings
        return entry.EntryReducer(
            identity=entry_control.EntryIdentity(
                name=settings.name,
                incarnation=self.incarnation,
                peer_address=settings.peer_address,
                data_centre=settings.data_centre,
                region=settings.region,
                clock_offset_s=self.clock_offset_s,
            ),
            settings=entry_control.ControlSettings(
                shards=settings.shards,
                subset_size=settings.subset_size,
                store_writes_per_s=settings.store_writes_per_s,
                store_reads_per_s=settings.store_reads_per_s,
                serve_unconfirmed=settings.serve_unconfirmed,
            ),
            call_ids=effects.CallIds(),
            rng=random.Random(self.seed),
            stop_grace_s=settings.stop_grace_s,
            policy_names=policies.PolicyNames(
                placement=settings.placement, cascade=settings.cascade
            ),
        )


class SidecarStart(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, tag="sidecar"
):
    """Everything needed to build a sidecar's reducer.

    Attributes:
        settings: The sidecar's settings.
        incarnation: Number that grows with each start of the process.
        seed: Seed of the reducer's random number generator.
    """

    settings: options.SidecarSettings
    incarnation: int
    seed: int

    def build_reducer(self) -> sidecar.SidecarReducer:
        """Returns a new reducer."""
        settings = self.settings
        return sidecar.SidecarReducer(
            identity=sidecar_control.SidecarIdentity(
                name=settings.name,
                incarnation=self.incarnation,
                peer_address=settings.peer_address,
                data_centre=settings.data_centre,
                upstream=settings.upstream,
                kind=settings.kind,
                places=settings.places,
            ),
            call_ids=effects.CallIds(),
            rng=random.Random(self.seed),
            serve_unconfirmed=settings.serve_unconfirmed,
            stop_grace_s=settings.stop_grace_s,
        )


AnyStart = EntryStart | SidecarStart
