"""The entry's part in roll-outs: gives orders while it has the duty.

The duty goes with the ownership of one ledger shard, whose fencing number
every order carries. It is acted on only while that ownership was confirmed
lately, the table is fresh and the store is not out for everyone; a paused
owner's orders are refused by their number at the sidecars.
"""

from rhubarbbank_core import effects
from rhubarbbank_core import entry_state
from rhubarbbank_core import ledger_records
from rhubarbbank_core import membership_messages
from rhubarbbank_core import order_messages
from rhubarbbank_core import program_effects as fx
from rhubarbbank_core import rollout
from rhubarbbank_core import rollout_duty

CONFIRMED_WITHIN_S = 2.5
# A new owner hears the sidecars first: what it hasn't heard of looks missing.
FIRST_ROUND_AFTER_S = 4.0


def tick(state: entry_state.EntryState, *, now: float) -> list[fx.Effect]:
    """Gives the orders of one round, once a second, if this is the owner."""
    if now < state.rollout_at:
        return []
    state.rollout_at = now + rollout_duty.PERIOD_S
    fence = find_fence(state, now)
    if fence is None:
        state.rollout_since = None
        return []
    if state.rollout_since is None:
        state.rollout_since = now
    settled = now - state.rollout_since >= FIRST_ROUND_AFTER_S
    if not settled or not state.rows.revision or state.stopping:
        return []
    found = state.rollout.plan(
        now=now,
        rows=state.rows,
        engines=find_engines(state, now),
        services=find_services(state),
        fence=fence,
    )
    return send(state, found, fence)


def find_fence(state: entry_state.EntryState, now: float) -> int | None:
    """Returns the duty's fencing number; None if the duty isn't here."""
    owner = state.control.owner
    shard = ledger_records.shard_of(rollout_duty.DUTY_KEY, owner.shards)
    owned = owner.owned.get(shard)
    if owned is None or state.control.is_outage(now):
        return None
    if state.control.fleet.freshness.verdict(now=now).problem is not None:
        return None
    confirmed = owner.is_confirmed(
        now=now, shard=shard, within_s=CONFIRMED_WITHIN_S
    )
    return owned.fence if confirmed else None


def find_engines(
    state: entry_state.EntryState, now: float
) -> list[membership_messages.SidecarRow]:
    """Returns the rows of all live engines that don't leave."""
    view = state.control.fleet.membership
    dead = view.find_dead(now)
    return [
        row
        for name, row in sorted(view.directory.sidecars.items())
        if row.kind is membership_messages.HostKind.ENGINE
        and name not in dead
        and not view.is_leaving(name)
        and not view.hosts.is_gone(name)
    ]


def find_services(state: entry_state.EntryState) -> frozenset[str]:
    """Returns the models that plain services offer.

    While a listed service host hasn't been heard of, any model that no
    engine holds may be its own.
    """
    view = state.control.fleet.membership
    sidecars = view.directory.sidecars
    rows = sidecars.values()
    service = membership_messages.HostKind.SERVICE
    found = {
        key.model
        for row in rows
        if row.kind is service
        for key in rollout_duty.read_keys(row.versions)
    }
    unheard = any(
        host.kind is service and host.name not in sidecars
        for host in view.hosts.upstreams()
    )
    if unheard:
        held = {
            key.model
            for row in rows
            if row.kind is not service
            for key in rollout_duty.read_keys(row.versions)
        }
        found |= {row.model for row in state.rows.rows} - held
    return frozenset(found)


def send(
    state: entry_state.EntryState, found: rollout.Reconciliation, fence: int
) -> list[fx.Effect]:
    """Returns the messages of one round and the log lines of its orders."""
    reply_to = state.identity.peer_address
    sidecars = state.control.fleet.membership.directory.sidecars
    out: list[fx.Effect] = [
        effects.Send(
            sidecars[name].address,
            order_messages.FenceAnnounce(fence, reply_to),
        )
        for name in found.announce
    ]
    for order in found.orders:
        key = order.key
        message = order_messages.RolloutOrder(
            fence, order.action, key.model, key.version, reply_to
        )
        out += [
            effects.Send(sidecars[order.upstream].address, message),
            fx.LogDecision(
                decision="ordered",
                model=key.model,
                version=key.version,
                upstream=order.upstream,
                reason=order.action,
            ),
            fx.Count(f"entry.ordered.{order.action}"),
        ]
    return out
