"""The sidecar's coordination: presence, table and freshness.

A sidecar never calls the object API. It answers the hellos of entries,
receives the table from them, and uses their confirmations to decide whether
its table is fresh enough to accept new work.
"""

import dataclasses
import random

import msgspec

from rhubarbbank_core import coordination
from rhubarbbank_core import defaults
from rhubarbbank_core import effects
from rhubarbbank_core import errors
from rhubarbbank_core import freshness
from rhubarbbank_core import membership_messages
from rhubarbbank_core import path_messages
from rhubarbbank_core import presence
from rhubarbbank_core import requests
from rhubarbbank_core import sidecar_orders
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import table_version
from rhubarbbank_core import wire


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SidecarIdentity:
    """The identity of a sidecar process.

    Attributes:
        name: Unique among processes.
        incarnation: Increases with each start of the process.
        peer_address: Its address for other processes, as "ip:port".
        data_centre: The data centre of its host.
        upstream: The name of the upstream that it serves.
        kind: Model engine or plain service.
        places: How many versions the engine can have loaded at once.
    """

    name: str
    incarnation: int
    peer_address: str
    data_centre: str
    upstream: str
    kind: requests.WorkKind
    places: int = defaults.PLACES


class SidecarControl:
    """The coordination of one sidecar with the entries.

    Attributes:
        fleet: Presence, the table and its freshness.
    """

    def __init__(
        self,
        *,
        identity: SidecarIdentity,
        call_ids: effects.CallIds,
        rng: random.Random,
        serve_unconfirmed: bool,
    ) -> None:
        kind = membership_messages.HostKind.ENGINE
        if identity.kind is requests.WorkKind.SERVICE:
            kind = membership_messages.HostKind.SERVICE
        self.fleet = coordination.SidecarCoordination(
            row=membership_messages.SidecarRow(
                name=identity.name,
                incarnation=identity.incarnation,
                generation=1,
                address=identity.peer_address,
                data_centre=identity.data_centre,
                upstream=identity.upstream,
                kind=kind,
                places=identity.places,
            ),
            rng=rng,
            decode=table_version.read_version,
            call_ids=call_ids,
            freshness_settings=freshness.FreshnessSettings(
                bound_s=freshness.SIDECAR_BOUND_S,
                serve_unconfirmed=serve_unconfirmed,
            ),
        )
        self.fleet.presence.healthy = False

    def handle_message(
        self, *, now: float, message: wire.AnyMessage
    ) -> table_sync_events.SyncStep:
        """Handles a coordination message from an entry."""
        return self.fleet.on_message(message, now=now)

    def check_freshness(self, *, now: float) -> errors.Problem | None:
        """Returns the problem if the table is too old for new work."""
        return self.fleet.freshness.verdict(now=now).problem

    def observe(
        self,
        *,
        now: float,
        healthy: bool,
        load: path_messages.Load,
        orders: sidecar_orders.OrderReport,
    ) -> list[effects.Send]:
        """Stores the upstream's health and load, and reports changes."""
        own_presence = self.fleet.presence
        changed = healthy != own_presence.healthy
        own_presence.healthy = healthy
        own_presence.load = presence.SidecarLoad(
            running=load.running,
            waiting=load.waiting,
            max_batch=load.max_batch,
            reported_at=now - load.age_s,
        )
        sends = self.announce_orders(now=now, orders=orders) if healthy else []
        if changed and not sends:
            return own_presence.broadcast(now=now, report=self.fleet.report())
        return sends

    def announce_orders(
        self, *, now: float, orders: sidecar_orders.OrderReport
    ) -> list[effects.Send]:
        """Updates the sidecar's row, and announces it if it changed."""
        own_presence = self.fleet.presence
        row = msgspec.structs.replace(
            own_presence.row,
            fence=orders.fence,
            versions=orders.versions,
            loading=orders.loading,
            unloading=orders.unloading,
        )
        if row == own_presence.row:
            return []
        own_presence.row = row
        return own_presence.announce(now=now, report=self.fleet.report())

    def build_row_update(self, address: str) -> effects.Send:
        """Returns a message with the row for the sender of an order."""
        row = self.fleet.presence.row
        update = membership_messages.DirectoryUpdate(row.name, sidecars=(row,))
        return effects.Send(address, update)

    def announce_leaving(self, *, now: float) -> list[effects.Send]:
        """Announces that this upstream takes no new work."""
        return self.fleet.presence.announce(
            now=now, report=self.fleet.report(), leaving=True
        )

    def list_entry_addresses(self) -> list[str]:
        """Returns the peer addresses of the entries heard recently."""
        return [address for _, address in self.fleet.presence.greeted.values()]
