"""The entry's coordination parts, joined: membership, table, ledger, leases.

`EntryControl` hands messages, store answers, host lists and ticks to the
parts that they are for, and moves what one part learns to the others. What
concerns requests (a table adopted, a put settled) goes back to the caller as
events in a `ControlStep`.
"""

from collections.abc import Iterable
import dataclasses
import random

from rhubarbbank_core import allowance_deputy
from rhubarbbank_core import allowance_holder
from rhubarbbank_core import allowance_outlast
from rhubarbbank_core import allowance_owner
from rhubarbbank_core import allowance_raises
from rhubarbbank_core import allowance_reserve
from rhubarbbank_core import allowances
from rhubarbbank_core import coordination
from rhubarbbank_core import deputy_messages
from rhubarbbank_core import effects
from rhubarbbank_core import freshness
from rhubarbbank_core import host_lines
from rhubarbbank_core import ledger_client
from rhubarbbank_core import ledger_context
from rhubarbbank_core import ledger_messages
from rhubarbbank_core import ledger_owner
from rhubarbbank_core import ledger_records
from rhubarbbank_core import membership_messages
from rhubarbbank_core import store
from rhubarbbank_core import store_client
from rhubarbbank_core import subset
from rhubarbbank_core import table
from rhubarbbank_core import table_sync_events
from rhubarbbank_core import table_version
from rhubarbbank_core import wire

LIVE_REFRESH_S = 0.5
# Longer than the entries take to tell each other of an outage for everyone.
CUT_OFF_AFTER_S = 3.0
ALONE_S = 5.0
# Slices outlast the time in which a dead owner is noticed and replaced, so
# that the next owner prolongs them without a gap.
SLICE_TERMS = allowances.SliceTerms(
    term_s=8.0, renew_s=0.4, idle_s=20.0, confirmation_s=2.5
)
LEDGER_TIMING = ledger_context.LedgerTiming(
    renew_after_s=1.0, handover_wait_s=0.5, handover_waits=12
)

CoordinationEffect = effects.CoordinationEffect


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryIdentity:
    """Who this process is.

    Attributes:
        name: Unique among processes.
        incarnation: Grows with each start of the process.
        peer_address: Where other processes reach it, "ip:port".
        data_centre: Where it stands.
        region: Where that stands.
        clock_offset_s: What to add to the reducer's time for seconds since
            1970, for times that people read.
    """

    name: str
    incarnation: int
    peer_address: str
    data_centre: str
    region: str
    clock_offset_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """What an operator may set of the coordination parts.

    Attributes:
        shards: Number of ledger shards; the same on all hosts, for good.
        subset_size: Upstreams of each version that this entry uses.
        store_writes_per_s: Most writes of this process.
        store_reads_per_s: Most reads of this process.
        serve_unconfirmed: Whether to serve when cut off.
    """

    shards: int = 8
    subset_size: int = 12
    store_writes_per_s: float = 60.0
    store_reads_per_s: float = 120.0
    serve_unconfirmed: bool = False


ControlEvent = (
    table_sync_events.TableAdopted
    | table_sync_events.TableFault
    | ledger_client.ClientEvent
)


@dataclasses.dataclass(slots=True)
class ControlStep:
    """What one step of the coordination parts led to.

    Attributes:
        effects: Messages to send and store calls to make.
        events: What concerns requests.
    """

    effects: list[CoordinationEffect] = dataclasses.field(default_factory=list)
    events: list[ControlEvent] = dataclasses.field(default_factory=list)


class EntryControl:
    """The coordination parts of one entry.

    Attributes:
        identity: Who this process is.
        fleet: Which processes live, the table and its freshness.
        host_lines: The platform's host list as membership takes it.
        store: The one way to the object API for ledger calls.
        owner: The ledger shards held here.
        client: Puts of this process into the ledger.
        leases: Slices of allowances granted here.
        raises: Grants that wait until this owner's deputy knows of them.
        slices: Slices of allowances held here.
        live_addresses: Peer addresses of the live entries.
        late_events: Events that came of a put or get at once.
        cut_off_since: Since when the store fails for this entry alone.
        started_at: When the first tick came, in seconds.
        loaded: The versions that some upstream has, as `model@version`.
        services: Those of them that are plain services.
        reserve: This entry's part of allowances that needs no owner.
        allowed: Requests a minute of all allowances in force, by key.
        entries_seen: Entries that may live.
    """

    def __init__(
        self,
        *,
        identity: EntryIdentity,
        settings: ControlSettings,
        call_ids: effects.CallIds,
        rng: random.Random,
        fold: ledger_records.EvidenceFold | None = None,
    ) -> None:
        address = identity.peer_address
        self.identity = identity
        self.fleet = coordination.EntryCoordination(
            name=identity.name,
            data_centre=identity.data_centre,
            address=address,
            incarnation=identity.incarnation,
            rng=rng,
            decode=table_version.read_version,
            call_ids=call_ids,
            freshness_settings=freshness.FreshnessSettings(
                serve_unconfirmed=settings.serve_unconfirmed
            ),
            subset_settings=subset.SubsetSettings(size=settings.subset_size),
        )
        self.host_lines = host_lines.HostLines()
        self.store = store_client.StoreClient(
            call_ids=call_ids,
            rng=rng,
            limits=store_client.StoreLimits(
                writes_per_s=settings.store_writes_per_s,
                reads_per_s=settings.store_reads_per_s,
            ),
        )
        self.owner = ledger_owner.LedgerOwner(
            name=address,
            incarnation=f"{identity.name}/{identity.incarnation}",
            shards=settings.shards,
            call_ids=call_ids,
            rng=rng,
            calls_per_s=settings.store_writes_per_s,
            timing=LEDGER_TIMING,
            fold=fold,
        )
        self.client = ledger_client.LedgerClient(
            address=address, shards=settings.shards, rng=rng
        )
        self.leases = allowance_owner.AllowanceOwner(
            name=address,
            shards=settings.shards,
            terms=SLICE_TERMS,
            deputies=allowance_deputy.DeputyBooks(
                address=address, incarnation=identity.incarnation
            ),
        )
        self.owner.context.leases = self.leases
        self.raises = allowance_raises.RaiseGate(
            leases=self.leases, ledger=self.owner
        )
        self.owner.context.deputies = self.raises
        self.slices = allowance_holder.AllowanceHolder(
            address=address,
            shards=settings.shards,
            rng=rng,
            terms=SLICE_TERMS,
        )
        self.live_addresses: frozenset[str] = frozenset()
        self.late_events: list[ControlEvent] = []
        self.refresh_at = 0.0
        self.cut_off_since: float | None = None
        self.started_at: float | None = None
        self.loaded: frozenset[str] = frozenset()
        self.services: frozenset[str] = frozenset()
        self.reserve = allowance_reserve.AllowanceReserve()
        self.allowed: dict[str, float] = {}
        self.entries_seen = 0

    # Events.

    def message(self, *, now: float, message: wire.AnyMessage) -> ControlStep:
        """Takes a message of another process."""
        step = ControlStep()
        match message:
            case ledger_messages.LedgerPut() | ledger_messages.LedgerGet():
                found = self.owner.message(
                    now=now,
                    message=message,
                    outage_confirmed=self.is_outage(now),
                )
                self.take_owner(step, now, found)
            case (
                ledger_messages.LedgerReply()
                | ledger_messages.LedgerNotOwner()
                | ledger_messages.LedgerValues()
            ):
                self.take_client(
                    step, self.client.message(now=now, message=message)
                )
            case allowances.SliceRequest():
                step.effects += self.grant_slice(now, message)
            case allowances.SliceApplied():
                step.effects += self.leases.applied(now=now, applied=message)
            case allowances.SliceGrant():
                step.effects += self.slices.grant(now=now, grant=message)
            case allowances.SliceRefusal():
                step.effects += self.slices.refusal(now=now, refusal=message)
            case (
                deputy_messages.DeputyNote()
                | deputy_messages.DeputyAck()
                | deputy_messages.DeputyPull()
                | deputy_messages.DeputyBounds()
            ):
                step.effects += self.raises.message(now=now, message=message)
            case _:
                found_step = self.fleet.on_message(message, now=now)
                self.take_fleet(step, found_step)
        return step

    def store_reply(
        self, *, now: float, reply: store.StoreReply
    ) -> ControlStep:
        """Takes the answer of a store call."""
        step = ControlStep()
        self.note_store_health(now, reply)
        if self.fleet.sync.owns_call(reply.call_id):
            self.take_fleet(step, self.fleet.on_store_reply(reply, now=now))
            if reply.outcome in store_client.REACHED_OUTCOMES:
                self.store.note_reached(now=now)
            return step
        was_down = self.store.is_down(now=now)
        found = self.store.reply(now=now, reply=reply)
        if was_down and not self.store.is_down(now=now):
            self.owner.retry_soon(now=now)
        self.take_store(step, now, found)
        return step

    def note_store_health(self, now: float, reply: store.StoreReply) -> None:
        """Tells freshness whether the store answered a call of the ledger."""
        if self.fleet.sync.owns_call(reply.call_id):
            return
        failed = reply.outcome in (
            store.StoreOutcome.UNAVAILABLE,
            store.StoreOutcome.UNKNOWN,
        )
        if not failed:
            self.fleet.freshness.note_store_answer(now=now)

    def hosts(self, *, now: float, listed: list[wire.ListedHost]) -> None:
        """Takes the platform's host list."""
        self.fleet.on_hosts(self.host_lines.convert(listed), now=now)

    def tick(self, *, now: float) -> ControlStep:
        """Does what is due; call it several times a second."""
        step = ControlStep()
        self.take_fleet(step, self.fleet.tick(now=now))
        if now >= self.refresh_at:
            self.refresh_at = now + LIVE_REFRESH_S
            self.loaded = frozenset(self.fleet.membership.find_upstreams())
            self.services = self.find_services()
            step.effects += self.note_cut_off(now)
            self.refresh_live(step, now)
        self.take_store(step, now, self.store.tick(now=now))
        self.owner.holds_off = not self.may_take_over(now)
        self.take_owner(
            step,
            now,
            self.owner.tick(now=now, outage_confirmed=self.is_outage(now)),
        )
        self.take_client(step, self.client.tick(now=now))
        step.effects += self.raises.tick(now=now)
        allowance_outlast.follow(
            self.slices, entry=self.fleet.freshness, now=now
        )
        step.effects += self.slices.tick(now=now)
        return step

    def put(
        self,
        *,
        now: float,
        record: ledger_records.Record,
        wait_durable: bool,
        is_resend: bool = False,
    ) -> tuple[int, ControlStep]:
        """Puts one record; returns the put's id and what it led to."""
        step = ControlStep()
        found = self.client.put(
            now=now,
            records=[record],
            wait_durable=wait_durable,
            is_resend=is_resend,
        )
        self.take_client(step, found)
        return found.ids[0], step

    def get(self, *, now: float, key: str) -> tuple[int, ControlStep]:
        """Asks for one record; returns the get's id and what it led to."""
        step = ControlStep()
        found = self.client.get(now=now, keys=[key])
        self.take_client(step, found)
        return found.ids[0], step

    def set_allowances(self, rows: table.Table) -> None:
        """Takes the allowances of a table that is now in force."""
        self.allowed = {
            allowances.allowance_key(
                row.organisation, row.model, row.version
            ): float(row.requests_per_minute)
            for row in rows.rows
        }
        self.leases.set_allowances(
            requests_per_minute={
                key: allowed * allowance_reserve.LEASED_SHARE
                for key, allowed in self.allowed.items()
            }
        )
        self.share_reserve()

    def share_reserve(self) -> None:
        """Takes this entry's part of what is not leased."""
        self.reserve.set_allowances(
            requests_per_minute=self.allowed, entries=self.entries_seen
        )

    def leave(self, *, now: float) -> list[effects.CoordinationEffect]:
        """Says that this entry leaves, and gives its shards up."""
        out: list[effects.CoordinationEffect] = [
            *self.fleet.membership.leave(now=now)
        ]
        step = ControlStep()
        self.refresh_live(step, now)
        self.take_owner(step, now, self.owner.tick(now=now))
        return [*out, *step.effects]

    # State.

    def is_outage(self, now: float) -> bool:
        """Returns whether the store is down for everyone, as far as known."""
        return self.fleet.freshness.outage_confirmed(now=now)

    def may_take_over(self, now: float) -> bool:
        """Returns whether shards that others may hold can be taken over.

        A process that hears nobody takes over nothing for a while after its
        start; then the listed others count as gone.
        """
        if self.started_at is None:
            self.started_at = now
        fresh = self.fleet.freshness
        if fresh.failed_at is None and fresh.recovered_at is None:
            alone_s = now - self.started_at
            return alone_s > ALONE_S or fresh.has_settled(now=now)
        return fresh.has_settled(now=now)

    def find_services(self) -> frozenset[str]:
        """Returns the versions that plain services serve."""
        rows = self.fleet.membership.directory.sidecars.values()
        return frozenset(
            version
            for row in rows
            if row.kind is membership_messages.HostKind.SERVICE
            for version in row.versions
        )

    def has_duties(self) -> bool:
        """Returns whether shards are held or puts are not settled."""
        return bool(self.owner.owned or self.client.open)

    # What one part tells the others.

    def take_fleet(
        self, step: ControlStep, found: table_sync_events.SyncStep
    ) -> None:
        """Moves on what membership and the table's synchronisation led to."""
        step.effects += found.effects
        for event in found.events:
            if isinstance(
                event,
                table_sync_events.TableAdopted | table_sync_events.TableFault,
            ):
                step.events.append(event)

    def take_client(
        self, step: ControlStep, found: ledger_client.ClientStep
    ) -> None:
        """Moves on what the ledger client led to."""
        step.effects += found.sends
        step.events += found.events

    def take_owner(
        self,
        step: ControlStep,
        now: float,
        found: list[effects.CoordinationEffect],
    ) -> None:
        """Sends the owner's store calls through the process's store client."""
        self.leases.follow(ledger=self.owner)
        for effect in found:
            if isinstance(effect, store.StoreCall):
                self.take_store(
                    step, now, self.store.submit(now=now, call=effect)
                )
            else:
                step.effects.append(effect)

    def take_store(
        self, step: ControlStep, now: float, found: store_client.StoreStep
    ) -> None:
        """Makes calls, and hands final answers to the ledger."""
        step.effects += found.calls
        for reply in found.settled:
            out = self.owner.store_reply(
                now=now, reply=reply, outage_confirmed=self.is_outage(now)
            )
            self.take_owner(step, now, out)

    def grant_slice(
        self, now: float, request: allowances.SliceRequest
    ) -> list[effects.CoordinationEffect]:
        """Answers a request for a slice of an allowance."""
        shard = ledger_records.shard_of(request.key, self.owner.shards)
        owned = self.owner.owned.get(shard)
        # The next owner trusts that nothing is granted after the release.
        is_closing = owned is not None and owned.is_closing
        confirmed = not is_closing and (
            self.is_outage(now)
            or self.owner.is_confirmed(
                now=now,
                shard=shard,
                within_s=self.leases.terms.confirmation_s,
            )
        )
        answers = self.leases.request(
            now=now, request=request, is_confirmed=confirmed
        )
        return self.raises.pass_on(now=now, shard=shard, answers=answers)

    def note_cut_off(self, now: float) -> list[effects.Send]:
        """Tells the other entries when only this one can't reach the store.

        They then take its shards over, which it couldn't serve.
        """
        is_alone = (
            self.store.is_down(now=now)
            and not self.is_outage(now)
            and self.fleet.freshness.hears_success(now=now)
        )
        if not is_alone:
            self.cut_off_since = None
        elif self.cut_off_since is None:
            self.cut_off_since = now
        since = self.cut_off_since
        is_cut_off = since is not None and now - since >= CUT_OFF_AFTER_S
        members = self.fleet.membership
        if is_cut_off == members.row.is_cut_off:
            return []
        return members.set_cut_off(is_cut_off=is_cut_off, now=now)

    def refresh_live(self, step: ControlStep, now: float) -> None:
        """Tells the ledger's parts which entries live."""
        seen = len(self.fleet.membership.required_entries())
        if seen != self.entries_seen:
            self.entries_seen = seen
            self.share_reserve()
        names = self.fleet.membership.ledger_entries(now=now)
        addresses = frozenset(self.find_addresses(names))
        rows = self.fleet.membership.directory.entries.values()
        self.raises.set_live(
            incarnations={
                row.address: row.incarnation
                for row in rows
                if row.address in addresses
            }
        )
        if addresses == self.live_addresses:
            return
        self.live_addresses = addresses
        self.take_owner(
            step, now, self.owner.set_live(now=now, names=addresses)
        )
        self.take_client(step, self.client.set_live(now=now, names=addresses))
        self.slices.set_live(names=addresses)

    def find_addresses(self, names: Iterable[str]) -> Iterable[str]:
        """Yields the peer addresses of entries."""
        for name in names:
            if name == self.identity.name:
                yield self.identity.peer_address
                continue
            address = self.fleet.membership.address_of(name)
            if address:
                yield address
