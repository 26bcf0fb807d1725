"""Sends this entry's heartbeats, and takes what other entries send.

Within a data centre heartbeats go twice a second, and long work is told in
between; other data centres hear less often, the more so the more entries
there are. All that entries learn from one
another comes in here and is handed to the part that it concerns.
"""

import msgspec

from rhubarbbank_core import effects as core_effects
from rhubarbbank_core import program_effects as fx
from rhubarbbank_router import defaults
from rhubarbbank_router import effects
from rhubarbbank_router import engine_load
from rhubarbbank_router import messages
from rhubarbbank_router import rollouts
from rhubarbbank_router import state as states
from rhubarbbank_router import store_reading
from rhubarbbank_router import upstream_list


def take_news(
    state: states.RouterState, message: core_effects.Message, *, now: float
) -> list[effects.Effect]:
    """Takes a message of another entry."""
    match message:
        case messages.EntryNews():
            return take_heartbeat(state, message, now=now)
        case messages.EntryLoads(name=name, loads=loads):
            state.others.take(name, loads, now=now)
            return []
        case messages.StoreAsk():
            return store_reading.take_ask(state, message, now=now)
        case messages.StoreTold():
            return take_told(state, message, now=now)
        case _:
            return []


def take_told(
    state: states.RouterState, told: messages.StoreTold, *, now: float
) -> list[effects.Effect]:
    """Takes what a reader of the store tells."""
    if not state.relay.reading:
        store_reading.note_contact(state, told, now=now)
    is_current = store_reading.take_proof(state, told)
    out: list[effects.Effect] = []
    for event in store_reading.list_changes(state, told):
        out += upstream_list.take_event(state, event, now=now)
    if is_current:
        store_reading.note_informed(state, told, now=now)
    return out


def take_heartbeat(
    state: states.RouterState, message: messages.EntryNews, *, now: float
) -> list[effects.Effect]:
    """Takes what another entry tells of itself."""
    is_new = state.entries.take(message, now=now)
    state.suspects.take(message.name, message.suspects)
    state.others.take(message.name, message.loads, now=now)
    rollouts.take_news(state, message, now=now)
    out = take_leaving(state, message)
    if not is_new:
        return out
    return [
        *out,
        fx.LogDecision(
            decision="entry_heard",
            reason=message.name,
            inputs=(("incarnation", message.incarnation),),
        ),
    ]


def take_leaving(
    state: states.RouterState, message: messages.EntryNews
) -> list[effects.Effect]:
    """Takes which upstreams have told another entry that they shut down."""
    return [
        fx.LogDecision(
            decision="upstream_leaving",
            upstream=upstream_id,
            reason=message.name,
            inputs=(("started_ms", started_ms),),
        )
        for upstream_id, started_ms in message.leaving
        if state.view.notices.note_leaving(upstream_id, started_ms)
    ]


def send_news(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Sends this entry's heartbeat, and counts the others."""
    state.news_at = now + defaults.NEWS_PERIOD_S
    state.loads_at = None
    out = forget(state, now=now)
    live = state.entries.list_live(now=now)
    known = max(len(live), len(state.entries.registered))
    if known:
        state.budget.note_entries(known + 1, now=now)
    settings = state.settings
    news = messages.EntryNews(
        name=settings.name,
        incarnation=state.incarnation,
        address=settings.peer_address,
        stopping=state.stopping,
        trials=rollouts.build_news(state, now=now),
        suspects=state.suspects.list_own(now=now),
        leaving=state.view.list_told_leaving(),
        loads=engine_load.list_loads(state.view, now=now),
        data_centre=settings.data_centre,
        reads=state.relay.reading,
    )
    near = state.entries.list_near(settings.data_centre)
    out += [core_effects.Send(address, news) for address in near]
    if now >= state.far_news_at:
        out += send_far_news(state, news, now=now, near=frozenset(near))
    out.append(fx.Gauge("open_requests", len(state.open)))
    out.append(fx.Gauge("upstreams", len(state.view.beliefs)))
    return out


def send_far_news(
    state: states.RouterState,
    news: messages.EntryNews,
    *,
    now: float,
    near: frozenset[str],
) -> list[effects.Effect]:
    """Sends the heartbeat to other data centres.

    To many entries it goes less often, and without small work.
    """
    addresses = [x for x in state.entries.list_addresses() if x not in near]
    trying = any(not each.is_over for each in state.trials.values())
    few = len(addresses) <= defaults.FEW_FAR_ENTRIES
    state.far_news_at = now + (
        defaults.FAR_NEWS_PERIOD_S
        if few or trying
        else defaults.MANY_FAR_NEWS_PERIOD_S
    )
    least_ms = 0 if few else defaults.FAR_TELLING_WORK_MS
    loads = tuple(each for each in news.loads if each.work_ms >= least_ms)
    shorter = msgspec.structs.replace(news, loads=loads)
    return [core_effects.Send(address, shorter) for address in addresses]


def send_pressing_news(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Sends a heartbeat to all entries at once."""
    state.far_news_at = now
    return send_news(state, now=now)


def forget(state: states.RouterState, *, now: float) -> list[effects.Effect]:
    """Forgets what is over: sessions, and entries that are silent."""
    alive_s = state.settings.bounds.session_s + defaults.SESSION_MARGIN_S
    state.sessions.forget(now=now, alive_s=alive_s)
    state.others.drop_silent(now=now)
    out: list[effects.Effect] = []
    for name in state.entries.forget_silent(now=now):
        out.append(fx.LogDecision(decision="entry_silent", reason=name))
        out.append(effects.UnlistEntry(name))
    return out


def send_loads(
    state: states.RouterState, *, now: float
) -> list[effects.Effect]:
    """Tells the entries nearby of new work, before the next heartbeat."""
    state.loads_at = None
    loads = messages.EntryLoads(
        name=state.settings.name,
        loads=engine_load.list_loads(state.view, now=now),
    )
    near = state.entries.list_near(state.settings.data_centre)
    return [core_effects.Send(address, loads) for address in near]
