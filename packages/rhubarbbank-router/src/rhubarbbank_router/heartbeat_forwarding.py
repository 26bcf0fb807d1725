"""Forwards heartbeats between data centres in bundles.

If every entry sent heartbeats to every remote entry, their number would grow
with the square of the number of entries, and traffic between data centres is
costly. So a few entries of each data centre, its forwarders, bundle the latest
heartbeats of their data centre. The first forwarder sends its bundle to the
first forwarder of each other data centre, the second to the second. The
receiver of a bundle forwards it to all entries of its own data centre, which
takes much of a slow link. So the forwarders are the entries whose hosts have
the fastest links; among equals the names decide.

    west-a                              west-b
    entries --> forwarder 1 --bundle--> forwarder 1 --> entries
       |                                                  ^
       +------> forwarder 2 --bundle--> forwarder 2 ------+

Each heartbeat carries its age, so that a silent entry times out at the same
time everywhere. A forwarder that was suspended does not know the age of the
messages that queued meanwhile, so it stops forwarding for a while. Failover
needs no agreement: the other forwarder continues, and the next entry
replaces the lost one once that one has timed out. Entries that have not been
heard from lately get heartbeats directly.
"""

import dataclasses
import functools
import math

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import messages
from rhubarbbank_router import peers
from rhubarbbank_router import state as states

MS_PER_S = 1000.0


def remove_small_loads(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    """Returns a heartbeat without the loads that are too small to matter."""
    min_work_ms = defaults.REMOTE_MIN_REPORTED_WORK_MS
    loads = tuple(
        each for each in heartbeat.loads if each.work_ms >= min_work_ms
    )
    return msgspec.structs.replace(heartbeat, loads=loads)


def remove_kept_sessions(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
    """Returns a heartbeat without the sessions that keep their version.

    Each entry reports all such sessions that it knows of, so that one list per
    bundle is enough.
    """
    trials = tuple(
        msgspec.structs.replace(each, kept_sessions=())
        for each in heartbeat.trials
    )
    return msgspec.structs.replace(heartbeat, trials=trials)


def get_bundle_period_s(state: states.RouterState) -> float:
    """Returns the interval between two bundles, in seconds."""
    if any(not each.is_finished for each in state.trials.values()):
        return defaults.TRIAL_BUNDLE_PERIOD_S
    return defaults.BUNDLE_PERIOD_S


def pause_if_suspended(state: states.RouterState, *, now: float) -> None:
    """Pauses forwarding if the heartbeat about to be sent is late.

    A late heartbeat shows that this entry was suspended.
    """
    if is_heartbeat_late(state, now=now):
        state.may_forward_from = now + defaults.PEER_TIMEOUT_S


def is_heartbeat_late(state: states.RouterState, *, now: float) -> bool:
    """Returns whether the next heartbeat is overdue by SUSPENDED_S."""
    return 0.0 < state.next_heartbeat_at < now - defaults.SUSPENDED_S


def has_run_steadily(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry hasn't been suspended lately.

    Otherwise the ages of what it receives can't be trusted.
    """
    return now >= state.may_forward_from and not is_heartbeat_late(
        state, now=now
    )


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class ForwarderKey:
    """Orders entries by how soon they become forwarders, the first one least.

    Attributes:
        link_mbps: Bandwidth of the entry's host, in Mbit/s; 0 if unknown.
        name: The entry's name.
    """

    link_mbps: float
    name: str

    def __lt__(self, other: "ForwarderKey") -> bool:
        """Returns whether this entry becomes a forwarder before the other."""
        return (-self.link_mbps, self.name) < (-other.link_mbps, other.name)


def build_forwarder_key(heartbeat: messages.Heartbeat) -> ForwarderKey:
    """Returns the key of the entry that a heartbeat is from."""
    return ForwarderKey(heartbeat.link_mbps, heartbeat.name)


def compute_rank(state: states.RouterState, *, now: float) -> int | None:
    """Returns this entry's rank as a forwarder; None if it isn't one."""
    if state.stopping or not has_run_steadily(state, now=now):
        return None
    settings = state.settings
    nearby = state.entries.list_live_in(settings.data_centre, now=now)
    own = ForwarderKey(settings.host.link_mbps or 0.0, settings.name)
    rank = sum(build_forwarder_key(each) < own for each in nearby)
    return rank if rank < defaults.FORWARDERS_PER_DATA_CENTRE else None


def update_rank(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Updates this entry's rank; returns a log line if it has changed."""
    rank = compute_rank(state, now=now)
    if rank == state.forwarder_rank:
        return []
    state.forwarder_rank = rank
    nearby = state.entries.list_live_in(state.settings.data_centre, now=now)
    return [
        fx.LogDecision(
            decision="carrying_ended" if rank is None else "carrying_begun",
            reason=explain_rank(state, rank, now=now),
            inputs=(("live_nearby", len(nearby)),),
        )
    ]


def explain_rank(
    state: states.RouterState, rank: int | None, *, now: float
) -> str:
    """Returns the reason for a rank, for the log."""
    if rank is not None:
        return f"place {rank + 1} by link and name"
    if state.stopping:
        return "stopping"
    if not has_run_steadily(state, now=now):
        return "was suspended"
    return "others come first by link and name"


def list_receivers(
    state: states.RouterState, rank: int, *, now: float
) -> list[str]:
    """Returns the address of the forwarder of a rank in each data centre.

    This entry's own data centre is left out. A data centre with too few entries
    is represented by its last one.
    """
    by_data_centre: dict[str, list[messages.Heartbeat]] = {}
    for heartbeat in state.entries.list_live(now=now):
        if (
            heartbeat.data_centre != state.settings.data_centre
            and not heartbeat.stopping
        ):
            by_data_centre.setdefault(heartbeat.data_centre, []).append(
                heartbeat
            )
    receivers: list[str] = []
    for live in by_data_centre.values():
        live.sort(key=build_forwarder_key)
        receivers.append(live[min(rank, len(live) - 1)].address)
    return receivers


def filter_unheard(
    state: states.RouterState, addresses: list[str], *, now: float
) -> list[str]:
    """Returns the addresses of entries that haven't been heard from lately."""
    live = {each.address for each in state.entries.list_live(now=now)}
    return [each for each in addresses if each not in live]


def send_bundles(
    state: states.RouterState, own: messages.Heartbeat, *, now: float
) -> list[effects.Effect]:
    """Sends this data centre's heartbeats if this entry is a forwarder."""
    out = update_rank(state, now=now)
    rank = state.forwarder_rank
    if rank is None:
        return out
    forwarded = (
        messages.ForwardedHeartbeat(age_ms=0, news=remove_small_loads(own)),
        *(
            messages.ForwardedHeartbeat(
                age_ms=compute_age_ms(known, now=now),
                news=remove_kept_sessions(remove_small_loads(known.heartbeat)),
            )
            for known in list_live_peers_nearby(state, now=now)
        ),
    )
    bundle = messages.HeartbeatBundle(told=forwarded, onward=True)
    receivers = list_receivers(state, rank, now=now)
    return [*out, *(core_effects.Send(each, bundle) for each in receivers)]


def list_live_peers_nearby(
    state: states.RouterState, *, now: float
) -> list[peers.KnownPeer]:
    """Returns the live entries of this data centre, also stopping ones."""
    return [
        known
        for known in state.entries.peers.values()
        if known.heartbeat.data_centre == state.settings.data_centre
        and now - known.received_at <= defaults.PEER_TIMEOUT_S
    ]


def compute_age_ms(known: peers.KnownPeer, *, now: float) -> int:
    """Returns a heartbeat's age, rounded up so that it never looks newer."""
    return math.ceil((now - known.received_at) * MS_PER_S)


def forward_bundle(
    state: states.RouterState, bundle: messages.HeartbeatBundle, *, now: float
) -> list[effects.Effect]:
    """Forwards a remote bundle to the entries of this data centre."""
    if not bundle.onward or not has_run_steadily(state, now=now):
        return []
    onward = msgspec.structs.replace(bundle, onward=False)
    return [
        core_effects.Send(known.heartbeat.address, onward)
        for known in list_live_peers_nearby(state, now=now)
    ]
