"""Carries heartbeats between data centres in bundles.

Between all entries of two data centres, heartbeats grow with the square of
the entries, and these bytes cost. So the entries whose names come first in
each data centre, its carriers, bundle what its entries told last, and send
that to the other data centres, the first carrier to the first one there, the
second to the second; who gets a bundle hands it on nearby.

    west-a                          west-b
    entries --> carrier 1 --bundle--> carrier 1 --> entries
       |                                              ^
       +-----> carrier 2 --bundle--> carrier 2 -------+

Each heartbeat keeps its age, so that a silent entry is found silent at the
same time everywhere; a carrier that was suspended can't tell the age of what
waited for it, and pauses. The loss of a carrier needs no agreement: the other
one goes on, and the next by name takes its place once it counts as silent.
Who hasn't been heard of lately is told directly.
"""

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


def shorten(news: messages.EntryNews) -> messages.EntryNews:
    """Returns a heartbeat without the small work that it tells of."""
    least_ms = defaults.REMOTE_MIN_REPORTED_WORK_MS
    loads = tuple(each for each in news.loads if each.work_ms >= least_ms)
    return msgspec.structs.replace(news, loads=loads)


def leave_out_sessions(news: messages.EntryNews) -> messages.EntryNews:
    """Returns a heartbeat without the sessions that stay on their version.

    Each entry tells all that it has heard of, so that once a bundle is enough.
    """
    trials = tuple(
        msgspec.structs.replace(each, kept_sessions=()) for each in news.trials
    )
    return msgspec.structs.replace(news, trials=trials)


def find_period_s(state: states.RouterState) -> float:
    """Returns how long a carrier waits between two bundles, in seconds."""
    if any(not each.is_finished for each in state.trials.values()):
        return defaults.TRIAL_BUNDLE_PERIOD_S
    return defaults.BUNDLE_PERIOD_S


def note_beat(state: states.RouterState, *, now: float) -> None:
    """Notes that a heartbeat is sent, and whether the beat was missed."""
    if is_overdue(state, now=now):
        state.may_carry_from = now + defaults.PEER_TIMEOUT_S


def is_overdue(state: states.RouterState, *, now: float) -> bool:
    """Returns whether this entry has been suspended just before."""
    return 0.0 < state.next_heartbeat_at < now - defaults.SUSPENDED_S


def may_carry(state: states.RouterState, *, now: float) -> bool:
    """Returns whether the ages of what was heard here are right."""
    return now >= state.may_carry_from and not is_overdue(state, now=now)


def find_rank(state: states.RouterState, *, now: float) -> int | None:
    """Returns this entry's place among its carriers; None if it is none."""
    if state.stopping or not may_carry(state, now=now):
        return None
    settings = state.settings
    near = state.entries.list_live_near(settings.data_centre, now=now)
    rank = sum(each.name < settings.name for each in near)
    return rank if rank < defaults.CARRIERS else None


def update_rank(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Takes up or gives up carrying; returns the line if that changes."""
    rank = find_rank(state, now=now)
    if rank == state.carrier_rank:
        return []
    state.carrier_rank = rank
    near = state.entries.list_live_near(state.settings.data_centre, now=now)
    return [
        fx.LogDecision(
            decision="carrying_ended" if rank is None else "carrying_begun",
            reason=explain_rank(state, rank, now=now),
            inputs=(("live_nearby", len(near)),),
        )
    ]


def explain_rank(
    state: states.RouterState, rank: int | None, *, now: float
) -> str:
    """Returns why an entry carries or doesn't, for the log."""
    if rank is not None:
        return f"place {rank + 1} by name"
    if state.stopping:
        return "stopping"
    if not may_carry(state, now=now):
        return "was suspended"
    return "others come first by name"


def list_receivers(
    state: states.RouterState, rank: int, *, now: float
) -> list[str]:
    """Returns the addresses of other data centres' carriers of a rank.

    Where a data centre has fewer entries, its last one is meant.
    """
    by_place: dict[str, list[messages.EntryNews]] = {}
    for news in state.entries.list_live(now=now):
        if news.data_centre != state.settings.data_centre and not news.stopping:
            by_place.setdefault(news.data_centre, []).append(news)
    receivers: list[str] = []
    for found in by_place.values():
        found.sort(key=lambda each: each.name)
        receivers.append(found[min(rank, len(found) - 1)].address)
    return receivers


def list_unheard(
    state: states.RouterState, addresses: list[str], *, now: float
) -> list[str]:
    """Returns those addresses whose entries haven't been heard of lately."""
    heard = {each.address for each in state.entries.list_live(now=now)}
    return [each for each in addresses if each not in heard]


def send_bundles(
    state: states.RouterState, own: messages.EntryNews, *, now: float
) -> list[effects.Effect]:
    """Sends what the entries nearby told last, if this one carries it."""
    out = update_rank(state, now=now)
    rank = state.carrier_rank
    if rank is None:
        return out
    told = (
        messages.AgedNews(age_ms=0, news=shorten(own)),
        *(
            messages.AgedNews(
                age_ms=measure_age_ms(known, now=now),
                news=leave_out_sessions(shorten(known.news)),
            )
            for known in list_known_near(state, now=now)
        ),
    )
    bundle = messages.NewsBundle(told=told, onward=True)
    receivers = list_receivers(state, rank, now=now)
    return [*out, *(core_effects.Send(each, bundle) for each in receivers)]


def list_known_near(
    state: states.RouterState, *, now: float
) -> list[peers.KnownPeer]:
    """Returns the live entries nearby, and those that stop."""
    return [
        known
        for known in state.entries.heard.values()
        if known.news.data_centre == state.settings.data_centre
        and now - known.heard_at <= defaults.PEER_TIMEOUT_S
    ]


def measure_age_ms(known: peers.KnownPeer, *, now: float) -> int:
    """Returns a heartbeat's age, never as less than it is."""
    return math.ceil((now - known.heard_at) * MS_PER_S)


def hand_on(
    state: states.RouterState, bundle: messages.NewsBundle, *, now: float
) -> list[effects.Effect]:
    """Hands a bundle from elsewhere on to the entries nearby."""
    if not bundle.onward or not may_carry(state, now=now):
        return []
    onward = msgspec.structs.replace(bundle, onward=False)
    return [
        core_effects.Send(known.news.address, onward)
        for known in list_known_near(state, now=now)
    ]
